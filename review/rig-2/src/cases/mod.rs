mod foreign;
mod moved;
mod restarted;
mod streams;

use std::sync::Arc;

use crate::platform::{list, Agent, Deployment, Host};
use crate::rig::{free_address, Record, Router};
use crate::{Setting, Verdict};

pub fn run(case: &str, setting: &Setting, record: &Arc<Record>) -> Verdict {
    match case {
        "foreign" => foreign::run(setting, record),
        "moved" => moved::run(setting, record),
        "restarted" => restarted::run(setting, record),
        "spoilt" => streams::spoilt(setting, record),
        "preempted" => streams::preempted(setting, record),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    }
}

/// Starts the routers of a deployment, each with an agent of its own, and waits until they are ready.
pub fn start(
    setting: &Setting,
    record: &Arc<Record>,
    deployment: &Deployment,
    hosts: &[Host],
    seq: u64,
) -> Result<(Vec<Router>, Vec<Arc<Agent>>), Verdict> {
    let (mut routers, mut agents) = (Vec::new(), Vec::new());
    for number in 0..deployment.routers {
        let agent = Agent::start(&format!("a{number}"), record, seq, hosts);
        let listen = free_address();
        let known = list(seq, true, hosts);
        let config = deployment.config(number, listen, agent.address, &known);
        let name = format!("n{number}");
        let router = Router::start(&setting.root, &setting.dir, &name, listen, agent.address, &config);
        if !router.wait_ready(10_000) {
            return Err(Verdict::CouldNotRun(format!("{name} was not ready within 10 s")));
        }
        record.note(format!("router {name} is ready at {listen}"));
        routers.push(router);
        agents.push(agent);
    }
    Ok((routers, agents))
}

/// The usual servers of a small deployment.
pub fn usual_hosts(
    start: &dyn Fn(&str, &'static str, usize) -> Host,
    prefill: usize,
    decode: usize,
    combined: usize,
) -> Vec<Host> {
    let mut hosts = Vec::new();
    for (kind, count) in [("prefill", prefill), ("decode", decode), ("combined", combined)] {
        for row in 0..count {
            hosts.push(start(&format!("s-{kind}{row}"), kind, row % 3));
        }
    }
    hosts
}
