//! A server sends a second answer some milliseconds behind a good one. Does every client get its own answer?

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::*;

/// How late the second answer comes, in ms ("some milliseconds").
const LATE_MS: u64 = 5;
/// One stream in this many is followed by a second answer.
const ONE_IN: u64 = 3;
const SERVERS: u64 = 4;
const REQUESTS: usize = 2500;
/// The 22 a second of the deployment, in a burst of half as much again.
const RATE_PER_S: f64 = 33.0;
const DEADLINE_S: f64 = 7.5;

fn main() {
    let (case, root, tmp) = folders();
    let record = Record::create(&case.join("record.txt"));
    let trouble = trouble();
    record.line(&format!("trouble {trouble}: a second answer {LATE_MS} ms behind one stream in {ONE_IN}"));
    let mut hosts = Vec::new();
    for number in 0..SERVERS {
        let (record, random) = (record.clone(), Mutex::new(Random(100 + number)));
        let server = Server::start(move |request, out| {
            if let Some(goes_on) = answer_call(request, out)? {
                return Ok(goes_on);
            }
            let id = request.id();
            let (spoilt, pause) = {
                let mut random = random.lock().unwrap();
                (random.next() % ONE_IN == 0, 10 + random.next() % 20)
            };
            record.line_at(request.last_byte, &format!("s-{number} got {id}"));
            thread::sleep(ms(pause));
            let stream = format!("{STREAM_HEAD}{}", chunk(&event(&format!("for-{id}"), false)));
            out.write_all(stream.as_bytes())?;
            thread::sleep(ms(pause));
            let end = format!("{}{}0\r\n\r\n", chunk(&event(&format!("for-{id}"), true)), chunk(&usage()));
            out.write_all(end.as_bytes())?;
            record.line(&format!("s-{number} finished {id}"));
            if trouble && spoilt {
                thread::sleep(ms(LATE_MS));
                out.write_all(format!("{stream}{end}").as_bytes())?;
                record.line(&format!("s-{number} sent a second answer, for {id} again"));
            }
            Ok(true)
        });
        let name = format!("s-{number}");
        hosts.push(Host { name, dial: server.address, class: "combined", health: "ready" });
    }
    let discovery = Discovery::new(41, &hosts).serve("discovery", record.clone());
    let listen = free_listener().local_addr().unwrap();
    let known = list_json(41, true, &hosts);
    let setup = Setup { listen, discovery: discovery.address, known, resume: true, deadline_s: DEADLINE_S };
    let mut router = Router::start(&root, &tmp, "n0", &setup, &record);

    // Clients arrive at random; each takes a kept connection or opens one.
    let idle: Arc<Mutex<Vec<BufReader<TcpStream>>>> = Arc::default();
    let figures: Arc<Mutex<BTreeMap<&'static str, u64>>> = Arc::default();
    let (mut random, mut clients) = (Random(7), Vec::new());
    let mut at = Instant::now();
    for number in 0..REQUESTS {
        at += Duration::from_secs_f64(-(1.0 - random.unit()).ln() / RATE_PER_S);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let (session, id) =
            (format!("{:016x}", random.next()), format!("{number:04x}{:012x}", random.next() >> 16));
        let (idle, figures, record) = (idle.clone(), figures.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let request = completion(&id, &session, DEADLINE_S, 2000, 500);
            let exchange = |mut reader: BufReader<TcpStream>| {
                let _ = reader.get_ref().set_nodelay(true);
                let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(20)));
                record.line(&format!("client sent {id}"));
                reader.get_mut().write_all(&request)?;
                read_answer(&mut reader, |_| {}).map(|answer| (answer, reader))
            };
            // A kept connection that the router has closed meanwhile: once more on a new one, as the page says.
            let kept = idle.lock().unwrap().pop();
            let answer = match kept.map(exchange) {
                Some(Ok(answer)) => Ok(answer),
                _ => TcpStream::connect(listen).map(BufReader::new).and_then(exchange),
            };
            let count = |name| *figures.lock().unwrap().entry(name).or_default() += 1;
            match answer {
                Err(cause) => {
                    record.line(&format!("client {id}: no answer: {cause}"));
                    count("no answer");
                }
                Ok((answer, reader)) => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let for_ids: Vec<&str> =
                        text.split("for-").skip(1).map(|rest| rest.split('"').next().unwrap_or("")).collect();
                    // A stream that is cut has failed and is not lost: only whole answers count.
                    let foreign =
                        answer.status == 200 && answer.whole && for_ids.iter().any(|other| *other != id);
                    record.line(&format!(
                        "client {id}: {} whole {} with the answer for {for_ids:?}{}",
                        answer.status,
                        answer.whole,
                        if foreign { " FOREIGN" } else { "" }
                    ));
                    count(match answer.status {
                        _ if foreign => "200 with another request's answer",
                        200 if answer.whole => "200 whole",
                        200 => "200 broken",
                        429 | 503 => "refused",
                        _ => "failed",
                    });
                    if answer.whole && !answer.fields.get("connection").is_some_and(|value| value == "close")
                    {
                        idle.lock().unwrap().push(reader);
                    }
                }
            }
        }));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs = router.runs();
    drop(router);
    let figures = figures.lock().unwrap().clone();
    let whole = figures.get("200 whole").copied().unwrap_or(0);
    if !runs || whole < REQUESTS as u64 / 2 {
        could_not_run(&format!("router ran {runs}, {whole} answers came whole"));
    }
    let foreign = figures.get("200 with another request's answer").copied().unwrap_or(0);
    let text = format!(
        "{foreign} of {REQUESTS} clients got another request's answer; {figures:?}; router ran {runs}"
    );
    std::process::exit(verdict(&record, foreign > 0, &text));
}
