//! Discovery becomes slow: each answer takes some seconds. What it has to tell has to be heard all the same.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::platform::{Deployment, Fleet, Host, Manners, Pace, Worker};
use crate::rig::{sleep_ms, Record};
use crate::{Setting, Verdict};

/// How long discovery takes to answer, and for how long it is so.
const SLOW_MS: u64 = 3200;
const SLOW_FOR_MS: u64 = 20_000;
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_AFTER_MS: f64 = 6000.0;
/// Every time limit is longer by 50 ms on sockets; a router may be held up for 150 ms.
const SLACK_MS: f64 = 50.0 + 150.0;

pub fn run(setting: &Setting, record: &Arc<Record>) -> Verdict {
    let deployment = Deployment::default();
    let fleet = Fleet::new(record, deployment.names);
    let start =
        |name: &str, kind, zone| Worker::start(&fleet, name, kind, zone, Pace::default(), Manners::default());
    let hosts = super::usual_hosts(&start, 4, 3, 3);
    let (mut routers, agents) = match super::start(setting, record, &deployment, &hosts, 41) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let clients = super::Clients::start(setting, record, &routers, deployment.names);
    sleep_ms(4000);
    if setting.trouble {
        agents.iter().for_each(|agent| agent.slow_ms.store(SLOW_MS, Ordering::SeqCst));
        record.note(format!("discovery takes {SLOW_MS} ms for each answer"));
    }
    sleep_ms(3000);
    // A release: some servers begin to drain.
    let drained: Vec<_> = hosts.iter().filter(|host| host.name.ends_with('0')).cloned().collect();
    let drained_ms = record.now_ms();
    for agent in &agents {
        for host in &drained {
            agent.change(Host { health: "draining", ..host.clone() });
        }
    }
    sleep_ms(SLOW_FOR_MS - 3000);
    agents.iter().for_each(|agent| agent.slow_ms.store(0, Ordering::SeqCst));
    record.note("discovery answers at once again");
    sleep_ms(4000);
    clients.end();
    let latest_ms = drained_ms + TOLD_AFTER_MS + deployment.drain_grace_ms + SLACK_MS;
    let attempts = fleet.attempts.lock().unwrap().clone();
    let late: Vec<_> = attempts
        .iter()
        .filter(|sent| sent.at_ms > latest_ms && drained.iter().any(|host| host.name == sent.worker))
        .collect();
    for sent in &late {
        let after_ms = sent.at_ms - drained_ms;
        record.note(format!("{} came to {} {after_ms:.0} ms after the change", sent.id, sent.worker));
    }
    if let Some(verdict) = super::crashed(&mut routers) {
        return verdict;
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
            "{} requests came to draining servers after the grace, the last {:.0} ms after discovery had the change",
            late.len(),
            last.at_ms - drained_ms
        )),
    }
}
