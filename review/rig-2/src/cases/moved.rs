//! Discovery moves to another address by a new configuration while the old agent is down; what the new agent
//! tells has to be heard.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crate::client::{Client, Prompt};
use crate::platform::{list, Agent, Deployment, Fleet, Host, Manners, Pace, Worker};
use crate::rig::{sleep_ms, Chance, Record, SIGHUP};
use crate::{Setting, Verdict};

const CLIENTS: u64 = 9;
/// What discovery has to tell counts as told so long after SIGHUP.
const TOLD_AFTER_HUP_MS: f64 = 4000.0;
/// Every time limit is longer by 50 ms on sockets; the rest is for this process's own delays.
const SLACK_MS: f64 = 50.0 + 200.0;

pub fn run(setting: &Setting, record: &Arc<Record>) -> Verdict {
    let deployment = Deployment::default();
    let names = deployment.names;
    let fleet = Fleet::new(record, deployment.names);
    let start =
        |name: &str, kind, zone| Worker::start(&fleet, name, kind, zone, Pace::default(), Manners::default());
    let hosts = super::usual_hosts(&start, 4, 3, 3);
    let (mut routers, agents) = match super::start(setting, record, &deployment, &hosts, 4100) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let router = routers[number as usize % routers.len()].listen;
            let (record, stop, seed) = (record.clone(), stop.clone(), setting.seed);
            std::thread::spawn(move || {
                let (mut client, mut chance) = (Client::new(router), Chance::new(seed * 1000 + number));
                for row in 0.. {
                    if stop.load(Ordering::SeqCst) {
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
                    record.note(format!(
                        "client {number}: {id} got status {}, whole {}",
                        got.status, got.whole
                    ));
                    sleep_ms(chance.between(50.0, 250.0) as u64);
                }
            })
        })
        .collect();
    sleep_ms(5000);
    // New agents at other addresses, with the same list under versions of their own.
    let moved: Vec<_> =
        (0..routers.len()).map(|row| Agent::start(&format!("b{row}"), record, 7, &hosts)).collect();
    if setting.trouble {
        agents.iter().for_each(|agent| agent.stop());
        sleep_ms(1500);
    }
    for (number, (router, agent)) in routers.iter().zip(&moved).enumerate() {
        let known = list(4100, true, &hosts);
        router.replace_config(&deployment.config(number, router.listen, agent.address, &known));
        router.signal(SIGHUP);
        record.note(format!("router {}: SIGHUP, discovery moves to {}", router.name, agent.address));
    }
    let hup_ms = record.now_ms();
    sleep_ms(1500);
    if !setting.trouble {
        agents.iter().for_each(|agent| agent.stop());
    }
    sleep_ms(1500);
    // A release: a quarter of the servers begins to drain.
    let drained: Vec<_> = hosts.iter().filter(|host| host.name.ends_with('0')).cloned().collect();
    for agent in &moved {
        for host in &drained {
            agent.change(Host { health: "draining", ..host.clone() });
        }
    }
    let drained_ms = record.now_ms();
    sleep_ms(12_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let told_ms = drained_ms.max(hup_ms + TOLD_AFTER_HUP_MS);
    let latest_ms = told_ms + deployment.drain_grace_ms + SLACK_MS;
    let attempts = fleet.attempts.lock().unwrap().clone();
    let late: Vec<_> = attempts
        .iter()
        .filter(|sent| sent.at_ms > latest_ms && drained.iter().any(|host| host.name == sent.worker))
        .collect();
    for sent in &late {
        record.note(format!(
            "request {} came to {} at {:.0}, told by {told_ms:.0}",
            sent.id, sent.worker, sent.at_ms
        ));
    }
    for router in &mut routers {
        if let Some(how) = router.ended() {
            return Verdict::Broken(format!("router {} has ended: {how}", router.name));
        }
    }
    let after = attempts.iter().filter(|sent| sent.at_ms > latest_ms).count();
    println!(
        "{} attempts, {after} after the grace, {} of them at draining servers",
        attempts.len(),
        late.len()
    );
    match late.last() {
        None if after < 50 => Verdict::CouldNotRun("too few requests".into()),
        None => Verdict::Held,
        Some(last) => Verdict::Broken(format!(
            "{} requests came to draining servers after the grace, the last {:.0} ms after the servers counted as told",
            late.len(),
            last.at_ms - told_ms
        )),
    }
}
