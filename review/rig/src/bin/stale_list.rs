//! Discovery dies; the operator names another one in the configuration and sends SIGHUP. Does the router follow
//! the list of the new one?

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::*;

const DEADLINE_S: f64 = 7.5;
/// Seconds from the death of the first discovery to the new configuration.
const DOWN_MS: u64 = 3000;
/// From SIGHUP to the drain: a new configuration counts 4 s after SIGHUP, whatever fails.
const DRAIN_AFTER_MS: u64 = 6000;
/// A change counts as told at the latest this long after discovery had it.
const TOLD_MS: u64 = 6000;
/// The deployment's grace for drains, the 50 ms of every limit, and a hold-up of the router.
const GRACE_MS: u64 = 1000 + 50 + 150;
const WATCHED_MS: u64 = 10_000;

fn main() {
    let (case, root, tmp) = folders();
    let record = Record::create(&case.join("record.txt"));
    let trouble = trouble();
    record.line(&format!(
        "trouble {trouble}: the first discovery dies {DOWN_MS} ms before the new configuration"
    ));
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let hosts: Vec<Host> = (0..4)
        .map(|number| {
            let (record, arrivals) = (record.clone(), arrivals.clone());
            let server = Server::start(move |request, out| {
                if let Some(goes_on) = answer_call(request, out)? {
                    return Ok(goes_on);
                }
                let id = request.id();
                record.line_at(request.first_byte, &format!("s-{number} got {id}"));
                arrivals.lock().unwrap().push((request.first_byte, format!("s-{number}")));
                thread::sleep(ms(30));
                let stream = [chunk(&event(id, true)), chunk(&usage())].concat();
                out.write_all(format!("{STREAM_HEAD}{stream}0\r\n\r\n").as_bytes())?;
                Ok(true)
            });
            Host { name: format!("s-{number}"), dial: server.address, class: "combined", health: "ready" }
        })
        .collect();
    let first_list = Discovery::new(41, &hosts);
    let first = first_list.serve("first discovery", record.clone());
    // It counts from its own start. For a look: with 41 or more nothing breaks.
    let version = std::env::var("SECOND_VERSION").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let second = Discovery::new(version, &hosts);
    let second_server = second.serve("second discovery", record.clone());
    let listen = free_listener().local_addr().unwrap();
    let known = list_json(41, true, &hosts);
    let setup = Setup { listen, discovery: first.address, known, resume: true, deadline_s: DEADLINE_S };
    let mut router = Router::start(&root, &tmp, "n0", &setup, &record);

    let stop = Arc::new(AtomicBool::new(false));
    let (served, other) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..4u64)
        .map(|number| {
            let (stop, served, other, record) = (stop.clone(), served.clone(), other.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random(number);
                let mut kept: Option<BufReader<TcpStream>> = None;
                while !stop.load(Ordering::SeqCst) {
                    let (id, session) =
                        (format!("{:016x}", random.next()), format!("{:016x}", random.next()));
                    let mut reader = match kept
                        .take()
                        .map_or_else(|| TcpStream::connect(listen).map(BufReader::new), Ok)
                    {
                        Ok(reader) => reader,
                        Err(_) => return,
                    };
                    let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(20)));
                    let sent = reader.get_mut().write_all(&completion(&id, &session, DEADLINE_S, 2000, 500));
                    match sent.and_then(|()| read_answer(&mut reader, |_| {})) {
                        Ok(answer) if answer.status == 200 && answer.whole => {
                            served.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("client {id}: 200"));
                            kept = Some(reader);
                        }
                        Ok(answer) => {
                            other.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("client {id}: {}", answer.status));
                        }
                        Err(cause) => {
                            other.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("client {id}: {cause}"));
                        }
                    }
                    thread::sleep(ms(150 + random.next() % 100));
                }
            })
        })
        .collect();

    thread::sleep(ms(4000));
    if trouble {
        first.die();
        record.line("the first discovery died: its connections are reset, new ones refused");
    }
    thread::sleep(ms(DOWN_MS));
    if !trouble {
        first_list.await_watch();
    }
    let setup = Setup { discovery: second_server.address, ..setup };
    router.reload(&setup, &record);
    thread::sleep(ms(1500));
    if !trouble {
        first.die();
        record.line("the first discovery closes, as planned");
    }
    thread::sleep(ms(DRAIN_AFTER_MS - 1500));
    let seq = second.set_health("s-0", "draining");
    let drains = Instant::now();
    record.line(&format!("second discovery, version {seq}: s-0 drains"));
    let too_late = drains + ms(TOLD_MS + GRACE_MS);
    thread::sleep(ms(TOLD_MS + GRACE_MS + WATCHED_MS));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs = router.runs();
    drop(router);
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|(at, name)| name == "s-0" && *at > too_late).collect();
    let all = arrivals.iter().filter(|(at, _)| *at > too_late).count();
    if !runs || all == 0 {
        could_not_run(&format!("router ran {runs}, {all} requests reached servers after the drain"));
    }
    let text = format!(
        "{} of {all} requests in the last {WATCHED_MS} ms went to s-0, over {} ms after it began to drain; \
         answered {} and otherwise {}; router ran {runs}",
        late.len(),
        TOLD_MS + GRACE_MS,
        served.load(Ordering::SeqCst),
        other.load(Ordering::SeqCst),
    );
    std::process::exit(verdict(&record, !late.is_empty(), &text));
}
