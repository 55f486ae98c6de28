//! Some good streams are followed by a second answer some milliseconds late; no client may get the events of
//! another client's request.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::client::{Client, Prompt};
use crate::platform::{Deployment, Fleet, Manners, Pace, Worker};
use crate::rig::{sleep_ms, Chance, Record};
use crate::{Setting, Verdict};

const CLIENTS: u64 = 18;
const RUN_S: u64 = 60;
/// One stream in so many is followed by a second answer.
const ONE_IN: u64 = 8;
/// How late the second answer comes, in ms: "some milliseconds".
const LATE_MS: (f64, f64) = (2.0, 9.0);

pub fn run(setting: &Setting, record: &Arc<Record>) -> Verdict {
    let deployment = Deployment::default();
    let names = deployment.names;
    let fleet = Fleet::new(record, deployment.names);
    let chance = Mutex::new(Chance::new(setting.seed));
    let (trouble, second) = (setting.trouble, Arc::new(AtomicU64::new(0)));
    let counted = second.clone();
    let after = move |_id: &str, answer: &str| {
        let mut chance = chance.lock().unwrap();
        if !trouble || chance.next() % ONE_IN != 0 {
            return None;
        }
        counted.fetch_add(1, Ordering::SeqCst);
        Some((chance.between(LATE_MS.0, LATE_MS.1), answer.to_owned()))
    };
    let manners = Manners { after: Some(Arc::new(after)), ..Manners::default() };
    let start = |name: &str, kind, zone| {
        Worker::start(&fleet, name, kind, zone, Pace { token_ms: 10, ..Pace::default() }, manners.clone())
    };
    let hosts = super::usual_hosts(&start, 4, 3, 3);
    let (mut routers, _agents) = match super::start(setting, record, &deployment, &hosts, 41) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let foreign = Arc::new(Mutex::new(Vec::<String>::new()));
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let router = routers[number as usize % routers.len()].listen;
            let (record, foreign, seed) = (record.clone(), foreign.clone(), setting.seed);
            let (served, other) = (served.clone(), other.clone());
            std::thread::spawn(move || {
                let (mut client, mut chance) = (Client::new(router), Chance::new(seed * 1000 + number));
                for row in 0.. {
                    if started.elapsed().as_secs() >= RUN_S {
                        return;
                    }
                    let id = format!("{:08x}{number:02x}{row:04x}", chance.next() as u32);
                    let session = format!("{:016x}", chance.next());
                    record.note(format!("client {number}: sends {id}"));
                    let got = client.ask(&Prompt {
                        names,
                        id: &id,
                        session: &session,
                        deadline_s: 7.5,
                        tokens: 1200,
                    });
                    let wrong =
                        got.events.iter().find(|event| event.contains("content") && !event.contains(&id));
                    record.note(format!(
                        "client {number}: {id} got status {}, {} parts, whole {}, {:.0} ms",
                        got.status,
                        got.events.len(),
                        got.whole,
                        got.took_ms
                    ));
                    if let Some(wrong) = wrong {
                        let text = format!("{id} got an event of another request: {}", wrong.lines().next().unwrap_or(""));
                        record.note(format!("client {number}: {text}"));
                        foreign.lock().unwrap().push(text);
                    }
                    let count = if got.status == 200 && got.whole { &served } else { &other };
                    count.fetch_add(1, Ordering::SeqCst);
                    sleep_ms(chance.between(20.0, 120.0) as u64);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    for router in &mut routers {
        if let Some(how) = router.ended() {
            return Verdict::Broken(format!("router {} has ended: {how}", router.name));
        }
    }
    let foreign = foreign.lock().unwrap();
    record.note(format!(
        "{} served, {} otherwise, {} second answers, {} clients' answers with foreign events",
        served.load(Ordering::SeqCst),
        other.load(Ordering::SeqCst),
        second.load(Ordering::SeqCst),
        foreign.len()
    ));
    println!(
        "{} served, {} otherwise, {} second answers, {} foreign",
        served.load(Ordering::SeqCst),
        other.load(Ordering::SeqCst),
        second.load(Ordering::SeqCst),
        foreign.len()
    );
    match foreign.first() {
        None if served.load(Ordering::SeqCst) < 500 => {
            Verdict::CouldNotRun("too few requests were served".into())
        }
        None => Verdict::Held,
        Some(first) => {
            Verdict::Broken(format!("{} answers held foreign events; the first: {first}", foreign.len()))
        }
    }
}
