//! Bad clients beside usual ones: requests of a class that does not exist, with bodies in
//! small chunks, sent at full speed. Every usual request has to get its final answer in time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Client, Prompt};
use crate::platform::{Deployment, Fleet, Manners, Pace, Worker};
use crate::rig::{sleep_ms, Chance, Record};
use crate::{Setting, Verdict};

/// Bad clients, a third of each kind; how long all clients come.
const BAD_CLIENTS: usize = 150;
const RUN_S: u64 = 30;
/// Usual clients.
const CLIENTS: u64 = 9;

/// A final answer counts up to half a second after the request's time, and 50 ms more on sockets; the rest is
/// for this process's own delays.
const LATE_MS: f64 = 500.0 + 50.0 + 200.0;

/// The kinds of bad requests, in turn.
#[derive(Clone, Copy)]
enum Bad {
    /// A class that does not exist; the body, of a length that is allowed, comes in chunks of one byte.
    NoSuchClass,
    /// A head that never ends.
    EndlessHead,
    /// A body of 60 MB.
    HugeBody,
}

/// Sends one bad request after the other on new connections, at full speed, and reads what it is sent.
fn bad_client(router: SocketAddr, kind: Bad, stop: &AtomicBool, sent: &AtomicU64, refused: &AtomicU64) {
    let head = |rest: &str| {
        format!("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: bad\r\nReq-Deadline: 5.0\r\n{rest}")
    };
    let (head, part, parts) = match kind {
        Bad::NoSuchClass => {
            let body = format!("{}0\r\n\r\n", "1\r\nx\r\n".repeat(255_000));
            (head("Req-Kind: no-such-class\r\nTransfer-Encoding: chunked\r\n\r\n"), body, 1)
        }
        Bad::EndlessHead => (head("Req-Extra: "), "y".repeat(65_536), usize::MAX),
        Bad::HugeBody => (head("Content-Length: 60000000\r\n\r\n"), "z".repeat(60_000), 1000),
    };
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(router) else { continue };
        sent.fetch_add(1, Ordering::SeqCst);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let _ = stream.set_write_timeout(Some(Duration::from_secs(8)));
        let mut left = parts;
        let mut going = stream.write_all(head.as_bytes()).is_ok();
        while going && left > 0 && !stop.load(Ordering::SeqCst) {
            going = stream.write_all(part.as_bytes()).is_ok();
            left -= 1;
        }
        let mut answer = [0; 1000];
        if matches!(stream.read(&mut answer), Ok(count) if count > 0) {
            refused.fetch_add(1, Ordering::SeqCst);
        }
    }
}

pub fn run(setting: &Setting, record: &Arc<Record>) -> Verdict {
    let deployment = Deployment { routers: 1, ..Deployment::default() };
    let names = deployment.names;
    let fleet = Fleet::new(record, names);
    let start =
        |name: &str, kind, zone| Worker::start(&fleet, name, kind, zone, Pace::default(), Manners::default());
    let hosts = super::usual_hosts(&start, 4, 3, 3);
    let (mut routers, _agents) = match super::start(setting, record, &deployment, &hosts, 41) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, refused) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    let router = routers[0].listen;
    for row in 0..if setting.trouble { BAD_CLIENTS } else { 0 } {
        let kind = [Bad::NoSuchClass, Bad::EndlessHead, Bad::HugeBody][row % 3];
        let (stop, sent, refused) = (stop.clone(), sent.clone(), refused.clone());
        threads.push(std::thread::spawn(move || bad_client(router, kind, &stop, &sent, &refused)));
    }
    let (started, began_s) = (Instant::now(), routers[0].cpu_s());
    let all = Arc::new(Mutex::new(Vec::new()));
    for client in 0..CLIENTS {
        let (record, stop, all, seed) = (record.clone(), stop.clone(), all.clone(), setting.seed);
        threads.push(std::thread::spawn(move || {
            let (mut asking, mut chance) = (Client::new(router), Chance::new(seed * 1000 + client));
            for row in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{:08x}{client:02x}{row:04x}", chance.next() as u32);
                let session = format!("{:016x}", chance.next());
                // What is left of their time when they come: all of it, or a part.
                let deadline_s = if chance.next() % 2 == 0 { 7.5 } else { chance.between(0.5, 2.0) };
                record.note(format!("client {client}: sends {id}, which waits {deadline_s:.3} s"));
                let got = asking.ask(&Prompt { names, id: &id, session: &session, deadline_s, tokens: 1200 });
                record.note(format!(
                    "client {client}: {id} got status {} after {:.0} ms, whole {}",
                    got.status, got.head_ms, got.whole
                ));
                all.lock().unwrap().push((id, deadline_s, got));
                sleep_ms(chance.between(50.0, 250.0) as u64);
            }
        }));
    }
    while started.elapsed().as_secs() < RUN_S {
        sleep_ms(100);
    }
    let (cpu_s, took_s) = (routers[0].cpu_s() - began_s, started.elapsed().as_secs_f64());
    record.note(format!(
        "{} bad requests were sent, {} got an error",
        sent.load(Ordering::SeqCst),
        refused.load(Ordering::SeqCst)
    ));
    record.note(format!("the router used {cpu_s:.1} s of CPU in {took_s:.1} s"));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    if let Some(verdict) = super::crashed(&mut routers) {
        return verdict;
    }
    let all = all.lock().unwrap();
    let late: Vec<_> = all.iter().filter(|(_, s, got)| got.head_ms > s * 1e3 + LATE_MS).collect();
    let mut heads: Vec<_> = all.iter().map(|(_, _, got)| got.head_ms).collect();
    heads.sort_by(f64::total_cmp);
    println!(
        "{} usual requests, {} late; to the head at most {:.0} ms, median {:.0} ms; {} bad requests, {} refused",
        all.len(), late.len(), heads.last().unwrap_or(&0.0), heads.get(heads.len() / 2).unwrap_or(&0.0),
        sent.load(Ordering::SeqCst), refused.load(Ordering::SeqCst)
    );
    match late.first() {
        None if all.len() < 20 => Verdict::CouldNotRun("too few requests".into()),
        None => Verdict::Held,
        Some((id, s, got)) => Verdict::Broken(format!(
            "{} requests had no final answer in time; the first, {id}, waited {s:.1} s and got {} after {:.0} ms",
            late.len(), got.status, got.head_ms
        )),
    }
}
