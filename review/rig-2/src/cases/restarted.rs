//! Routers are killed and start again while discovery is slow. Servers that drain since long before must get
//! nothing.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use crate::platform::{list, Deployment, Fleet, Host, Manners, Pace, Worker};
use crate::rig::{sleep_ms, Record, Router, SIGKILL};
use crate::{Setting, Verdict};

/// How long discovery takes to answer.
const SLOW_MS: u64 = 1500;
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
    let drained: Vec<_> = hosts.iter().filter(|host| host.name.ends_with('0')).cloned().collect();
    for agent in &agents {
        for host in &drained {
            agent.change(Host { health: "draining", ..host.clone() });
        }
    }
    sleep_ms(3000);
    if setting.trouble {
        agents.iter().for_each(|agent| agent.slow_ms.store(SLOW_MS, Ordering::SeqCst));
    }
    sleep_ms(100);
    // The list as it was some seconds ago.
    let known = list(41, true, &hosts);
    let addresses: Vec<_> = routers.iter().map(|router| router.listen).collect();
    routers.drain(..).for_each(|router| router.signal(SIGKILL));
    record.note("all routers were killed");
    sleep_ms(300);
    let started_ms = record.now_ms();
    for (number, listen) in addresses.iter().enumerate() {
        let agent = agents[number].address;
        let config = deployment.config(number, *listen, agent, &known);
        routers.push(Router::start(
            &setting.root,
            &setting.dir,
            &format!("n{number}"),
            *listen,
            agent,
            &config,
        ));
    }
    for router in &routers {
        if !router.wait_ready(10_000) {
            return Verdict::CouldNotRun(format!("{} was not ready within 10 s", router.name));
        }
        record.note(format!(
            "router {} is ready {:.0} ms after its start",
            router.name,
            record.now_ms() - started_ms
        ));
    }
    let clients = super::Clients::start(setting, record, &routers, deployment.names);
    sleep_ms(6000);
    clients.end();
    let latest_ms = started_ms + deployment.drain_grace_ms + SLACK_MS;
    let attempts = fleet.attempts.lock().unwrap().clone();
    let late: Vec<_> = attempts
        .iter()
        .filter(|sent| sent.at_ms > latest_ms && drained.iter().any(|host| host.name == sent.worker))
        .collect();
    println!("{} attempts, {} late at draining servers", attempts.len(), late.len());
    match late.last() {
        None if attempts.len() < 50 => Verdict::CouldNotRun("too few requests".into()),
        None => Verdict::Held,
        Some(last) => Verdict::Broken(format!(
            "{} requests came to draining servers, the last {:.0} ms after the routers had started",
            late.len(),
            last.at_ms - started_ms
        )),
    }
}
