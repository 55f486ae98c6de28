//! Some answers are spoilt and never end: comment lines in place of the first event. Every request has to get
//! its final answer in time all the same.

use std::sync::{Arc, Mutex};

use crate::platform::{Deployment, Fleet, Manners, Pace, Worker};
use crate::rig::{sleep_ms, Chance, Record};
use crate::{Setting, Verdict};

const RUN_S: u64 = 40;
/// One answer in so many is spoilt, from the fifth second on.
const SPOILT_ONE_IN: u64 = 20;
const FROM_MS: f64 = 5000.0;
/// A final answer counts up to half a second after the request's time, and 50 ms more on sockets; the rest is
/// for this process's own delays.
const LATE_MS: f64 = 500.0 + 50.0 + 200.0;

pub fn run(setting: &Setting, record: &Arc<Record>) -> Verdict {
    let deployment = Deployment::default();
    let fleet = Fleet::new(record, deployment.names);
    let (trouble, clock) = (setting.trouble, record.clone());
    let chance = Mutex::new(Chance::new(setting.seed));
    let endless = move |_id: &str| {
        trouble && clock.now_ms() > FROM_MS && chance.lock().unwrap().next() % SPOILT_ONE_IN == 0
    };
    let manners = Manners { endless: Some(Arc::new(endless)), ..Manners::default() };
    let start =
        |name: &str, kind, zone| Worker::start(&fleet, name, kind, zone, Pace::default(), manners.clone());
    let hosts = super::usual_hosts(&start, 4, 3, 3);
    let (mut routers, _agents) = match super::start(setting, record, &deployment, &hosts, 41) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let began: Vec<_> = routers.iter().map(|router| router.cpu_s()).collect();
    let clients = super::Clients::start(setting, record, &routers, deployment.names);
    sleep_ms(RUN_S * 1000);
    for (router, began_s) in routers.iter().zip(began) {
        record.note(format!("router {} used {:.1} s of CPU", router.name, router.cpu_s() - began_s));
    }
    let all = clients.end();
    if let Some(verdict) = super::crashed(&mut routers) {
        return verdict;
    }
    let deadline_ms = deployment.deadline_s * 1e3;
    let late: Vec<_> = all.iter().filter(|(_, got)| got.head_ms > deadline_ms + LATE_MS).collect();
    for (id, got) in &late {
        record.note(format!("{id} had no final answer {:.0} ms after it was sent", got.head_ms));
    }
    let served = all.iter().filter(|(_, got)| got.status == 200 && got.whole).count();
    println!("{} requests, {served} served, {} without a final answer in time", all.len(), late.len());
    match late.first() {
        None if served < 100 => Verdict::CouldNotRun("too few requests were served".into()),
        None => Verdict::Held,
        Some((id, got)) => Verdict::Broken(format!(
            "{} requests had no final answer in time; the first, {id}, had none after {:.1} s",
            late.len(),
            got.head_ms / 1e3
        )),
    }
}
