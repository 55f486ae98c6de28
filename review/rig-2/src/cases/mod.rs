mod endless;
mod flood;
mod restarted;
mod slow;
mod streams;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use crate::client::{Client, Got, Prompt};
use crate::platform::{list, Agent, Deployment, Host, Names};
use crate::rig::{free_address, sleep_ms, Chance, Record, Router};
use crate::{Setting, Verdict};

pub fn run(case: &str, setting: &Setting, record: &Arc<Record>) -> Verdict {
    match case {
        "endless" => endless::run(setting, record),
        "flood" => flood::run(setting, record),
        "slow" => slow::run(setting, record),
        "restarted" => restarted::run(setting, record),
        "spoilt" => streams::spoilt(setting, record),
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

/// Three clients a router that ask one short prompt after the other until they are told to end.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    all: Arc<Mutex<Vec<(String, Got)>>>,
}

impl Clients {
    pub fn start(
        setting: &Setting,
        record: &Arc<Record>,
        routers: &[Router],
        names: &'static Names,
    ) -> Clients {
        let (stop, all) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let count = 3 * routers.len() as u64;
        let threads = (0..count).map(|number| {
            let router = routers[number as usize % routers.len()].listen;
            let (record, stop, all, seed) = (record.clone(), stop.clone(), all.clone(), setting.seed);
            std::thread::spawn(move || {
                let (mut client, mut chance) = (Client::new(router), Chance::new(seed * 1000 + number));
                let mut row = 0;
                while !stop.load(Ordering::SeqCst) {
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
                        "client {number}: {id} got status {}, {} parts, whole {}, {:.0} ms",
                        got.status,
                        got.events.len(),
                        got.whole,
                        got.took_ms
                    ));
                    all.lock().unwrap().push((id, got));
                    row += 1;
                    sleep_ms(chance.between(50.0, 250.0) as u64);
                }
            })
        });
        Clients { stop: stop.clone(), threads: threads.collect(), all }
    }

    /// Ends the clients; returns what each request got.
    pub fn end(self) -> Vec<(String, Got)> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let all = self.all.lock().unwrap().clone();
        all
    }
}

/// A verdict if a router has ended.
pub fn crashed(routers: &mut [Router]) -> Option<Verdict> {
    routers.iter_mut().find_map(|router| {
        let how = router.ended()?;
        Some(Verdict::Broken(format!("router {} has ended: {how}", router.name)))
    })
}
