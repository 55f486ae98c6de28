//! Streams that come spoilt.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::client::{Client, Got, Prompt};
use crate::platform::{Deployment, Fleet, Manners, Pace, Worker};
use crate::rig::{sleep_ms, Chance, Record, Router};
use crate::{Setting, Verdict};

const CLIENTS: u64 = 9;

/// Clients that ask one request after the other; returns what each request got.
fn ask_all(
    setting: &Setting,
    record: &Arc<Record>,
    routers: &[Router],
    deployment: &Deployment,
    for_s: u64,
    prompt_tokens: &(dyn Fn(&mut Chance) -> usize + Sync),
    pause_ms: (f64, f64),
) -> Vec<(String, Got)> {
    let all = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let (names, deadline_s) = (deployment.names, deployment.deadline_s);
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let router = routers[number as usize % routers.len()].listen;
            let (record, all, seed) = (record.clone(), all.clone(), setting.seed);
            scope.spawn(move || {
                let (mut client, mut chance) = (Client::new(router), Chance::new(seed * 1000 + number));
                for row in 0.. {
                    if started.elapsed().as_secs() >= for_s {
                        return;
                    }
                    let id = format!("{:08x}{number:02x}{row:04x}", chance.next() as u32);
                    let session = format!("{:016x}", chance.next());
                    record.note(format!("client {number}: sends {id}"));
                    let tokens = prompt_tokens(&mut chance);
                    let got = client.ask(&Prompt { names, id: &id, session: &session, deadline_s, tokens });
                    record.note(format!(
                        "client {number}: {id} got status {}, {} parts, whole {}, {:.0} ms",
                        got.status,
                        got.events.len(),
                        got.whole,
                        got.took_ms
                    ));
                    all.lock().unwrap().push((id, got));
                    sleep_ms(chance.between(pause_ms.0, pause_ms.1) as u64);
                }
            });
        }
    });
    let all = all.lock().unwrap().clone();
    all
}

/// One stream in so many comes spoilt.
const SPOILT_ONE_IN: u64 = 10;

/// In some streams the size of one chunk does not fit. Such a stream has to end without the last chunk.
pub fn spoilt(setting: &Setting, record: &Arc<Record>) -> Verdict {
    let deployment = Deployment::default();
    let fleet = Fleet::new(record, deployment.names);
    let (trouble, count) = (setting.trouble, Arc::new(AtomicU64::new(0)));
    let (chance, counted) = (Mutex::new(Chance::new(setting.seed)), count.clone());
    let spoil = move |_id: &str| {
        let mut chance = chance.lock().unwrap();
        if !trouble || chance.next() % SPOILT_ONE_IN != 0 {
            return None;
        }
        counted.fetch_add(1, Ordering::SeqCst);
        let sizes = ["0", "7", "7f0", "zz"];
        Some((2, sizes[(chance.next() % 4) as usize].to_owned()))
    };
    let manners = Manners { spoil: Some(Arc::new(spoil)), ..Manners::default() };
    let start =
        |name: &str, kind, zone| Worker::start(&fleet, name, kind, zone, Pace::default(), manners.clone());
    let hosts = super::usual_hosts(&start, 4, 3, 3);
    let (mut routers, _agents) = match super::start(setting, record, &deployment, &hosts, 41) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let all = ask_all(setting, record, &routers, &deployment, 30, &|_| 1200, (50.0, 250.0));
    if let Some(verdict) = super::crashed(&mut routers) {
        return verdict;
    }
    let cut = |got: &Got| {
        got.status == 200 && got.whole && !got.events.iter().any(|event| event.contains("[DONE]"))
    };
    let short: Vec<_> = all.iter().filter(|(_, got)| cut(got)).collect();
    for (id, got) in &short {
        record.note(format!(
            "{id} ended with the last chunk after {} parts and without its end: {:?}",
            got.events.len(),
            got.events
        ));
    }
    let whole = all.iter().filter(|(_, got)| got.status == 200 && got.whole && !cut(got)).count();
    println!(
        "{} requests, {whole} whole, {} spoilt, {} short ones passed for whole",
        all.len(),
        count.load(Ordering::SeqCst),
        short.len()
    );
    match short.first() {
        None if whole < 200 => Verdict::CouldNotRun("too few requests were served".into()),
        None => Verdict::Held,
        Some((id, _)) => Verdict::Broken(format!(
            "{} spoilt streams ended with the last chunk, the first {id}",
            short.len()
        )),
    }
}
