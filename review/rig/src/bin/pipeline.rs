//! A client sends several requests at once on one connection. Does each get its final answer in its time?

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::*;

const DEADLINE_S: f64 = 4.8;
const REQUESTS: usize = 10;
/// As in the protocol's example: 5120 tokens of four characters.
const TOKENS: usize = 5120;
/// An answer up to half a second after its time only earns nothing; 50 ms on every limit, and a hold-up of 150.
const SLACK_MS: f64 = 500.0 + 50.0 + 150.0;
/// What an attempt may tell beyond what is left to the client, and the 50 ms.
const TOLD_SLACK_MS: f64 = 150.0 + 50.0;

/// One request as its client saw it.
struct Seen {
    id: String,
    /// When its last byte was written.
    sent: Instant,
    answer: Option<Answer>,
}

fn main() {
    let (case, root, tmp) = folders();
    let record = Record::create(&case.join("record.txt"));
    let trouble = trouble();
    // For a look: with prompts under 1,600 bytes all requests fit in what the router reads ahead.
    let prompt_bytes =
        std::env::var("PROMPT_BYTES").ok().and_then(|text| text.parse().ok()).unwrap_or(TOKENS * 4);
    record.line(&format!("trouble {trouble}: {REQUESTS} requests at once on one connection"));
    // What servers were told: the id, when its first byte came, and the seconds of Req-Deadline.
    let told: Arc<Mutex<Vec<(String, Instant, f64)>>> = Arc::default();
    let hosts: Vec<Host> = (0..3)
        .map(|number| {
            let (record, told) = (record.clone(), told.clone());
            let server = Server::start(move |request, out| {
                if let Some(goes_on) = answer_call(request, out)? {
                    return Ok(goes_on);
                }
                let (id, wait) = (request.id(), request.field("req-deadline"));
                record.line_at(request.last_byte, &format!("s-{number} got {id}, Req-Deadline {wait}"));
                let wait_s = wait.parse().unwrap_or(f64::NAN);
                told.lock().unwrap().push((id.to_owned(), request.first_byte, wait_s));
                thread::sleep(ms(500));
                out.write_all(format!("{STREAM_HEAD}{}", chunk(&event(id, false))).as_bytes())?;
                for _ in 0..5 {
                    thread::sleep(ms(100));
                    out.write_all(chunk(&event("oqvh", false)).as_bytes())?;
                }
                out.write_all(
                    format!("{}{}0\r\n\r\n", chunk(&event("x", true)), chunk(&usage())).as_bytes(),
                )?;
                record.line(&format!("s-{number} finished {id}"));
                Ok(true)
            });
            Host { name: format!("s-{number}"), dial: server.address, class: "combined", health: "ready" }
        })
        .collect();
    let discovery = Discovery::new(41, &hosts).serve("discovery", record.clone());
    let listen = free_listener().local_addr().unwrap();
    let known = list_json(41, true, &hosts);
    let setup = Setup { listen, discovery: discovery.address, known, resume: true, deadline_s: 7.5 };
    let mut router = Router::start(&root, &tmp, "n0", &setup, &record);

    // With the disruption all requests go out on one connection, without it each on one of its own.
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("{:016x}", 0x9b1f_03aa + number)).collect();
    let groups: Vec<Vec<String>> =
        if trouble { vec![ids] } else { ids.into_iter().map(|id| vec![id]).collect() };
    let clients: Vec<_> = groups
        .into_iter()
        .map(|group| {
            let record = record.clone();
            thread::spawn(move || send_at_once(listen, &group, prompt_bytes, &record))
        })
        .collect();
    let seen: Vec<Seen> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    let runs = router.runs();
    drop(router);

    if !runs || seen.len() < REQUESTS {
        could_not_run(&format!("router ran {runs}, {} requests were sent", seen.len()));
    }
    let deadline_ms = DEADLINE_S * 1e3;
    let since = |from: Instant, to: Instant| to.saturating_duration_since(from).as_secs_f64() * 1e3;
    let (mut lost, mut too_long) = (0, 0);
    for Seen { id, sent, answer } in &seen {
        // The deadline runs to the first event of a stream, which comes with the head of 200, or to the answer.
        let took_ms = answer.as_ref().map_or(f64::INFINITY, |answer| since(*sent, answer.first_line));
        if took_ms > deadline_ms + SLACK_MS {
            lost += 1;
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            record.line(&format!("LOST {id}: {status} began {:.0} ms after its time", took_ms - deadline_ms));
        }
    }
    for (id, at, wait_s) in told.lock().unwrap().iter() {
        let Some(Seen { sent, .. }) = seen.iter().find(|seen| seen.id == *id) else { continue };
        let left_ms = deadline_ms - since(*sent, *at);
        if wait_s * 1e3 > left_ms + TOLD_SLACK_MS {
            too_long += 1;
            record.line(&format!("TOLD TOO LONG {id}: Req-Deadline {wait_s:.3} with {left_ms:.0} ms left"));
        }
    }
    let text = format!(
        "{lost} of {} requests had no final answer in their time; {too_long} servers were told more than was left; \
         router ran {runs}",
        seen.len()
    );
    std::process::exit(verdict(&record, lost > 0, &text));
}

/// Writes these requests one right behind the other on one connection and reads their answers.
fn send_at_once(
    listen: std::net::SocketAddr,
    ids: &[String],
    prompt_bytes: usize,
    record: &Record,
) -> Vec<Seen> {
    let mut stream = TcpStream::connect(listen).unwrap_or_else(|cause| could_not_run(&cause.to_string()));
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut seen = Vec::new();
    for id in ids {
        if stream.write_all(&completion(id, id, DEADLINE_S, prompt_bytes, TOKENS)).is_err() {
            break;
        }
        record.line(&format!("client wrote the last byte of {id}"));
        seen.push(Seen { id: id.clone(), sent: Instant::now(), answer: None });
    }
    for Seen { id, sent, answer } in &mut seen {
        match read_answer(&mut reader, |_| {}) {
            Ok(got) => {
                let took = |at: Instant| at.saturating_duration_since(*sent).as_secs_f64() * 1e3;
                let (began, ended) = (took(got.first_line), took(got.last_byte));
                let Answer { status, whole, .. } = got;
                record.line(&format!("client {id}: {status} whole {whole}, began {began:.0} ms and ended {ended:.0} ms after its last byte"));
                *answer = Some(got);
            }
            Err(cause) => {
                record.line(&format!("client {id}: no answer: {cause}"));
                break;
            }
        }
    }
    seen
}
