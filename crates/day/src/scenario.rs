//! A running day: the emulated fleet in this process, and one child process per router.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use paddleproxy_fleet::record::{Record, What};
use paddleproxy_fleet::Fleet;
use paddleproxy_settings::day::{DaySettings, RouterOverrides};
use paddleproxy_settings::process_faults::Traffic;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::load::ClientConditions;
use crate::mesh::{Endpoint, Mesh};

/// Executable whose `serve` command runs a router, and the extra environment variables of its processes.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub environment: Vec<(String, std::ffi::OsString)>,
}

impl From<&Path> for Program {
    fn from(path: &Path) -> Program {
        Program { path: path.to_owned(), environment: Vec::new() }
    }
}

/// A day that is being played: settings, record, fleet, relays and router processes.
pub struct RunningScenario {
    pub day: Rc<DaySettings>,
    pub record: Record,
    pub fleet: Fleet,
    pub conditions: Rc<ClientConditions>,
    /// Relays between the processes; only for days whose routers are configured with peers.
    pub mesh: Option<Rc<Mesh>>,
    program: Program,
    dir: PathBuf,
    /// Client address of each router. It changes with each start, since routers listen on port 0.
    pub client_addresses: Rc<RefCell<Vec<SocketAddr>>>,
    admin_addresses: RefCell<Vec<Option<SocketAddr>>>,
    /// Process of each router; None while it is down.
    pub children: RefCell<Vec<Option<Child>>>,
    /// Router count in a router's settings, where it differs from the day's.
    pub router_counts: RefCell<Vec<Option<usize>>>,
    /// Address at which each router reaches the list service: the service itself or a relay.
    list_addresses: RefCell<Vec<SocketAddr>>,
    /// First failure of the test environment, if any.
    failure: RefCell<Option<String>>,
}

impl RunningScenario {
    /// Starts the fleet in this process and each router as a child process, then waits for the routers to
    /// converge (where they have peers) and 300 ms for their server lists.
    pub async fn start(day: Rc<DaySettings>, program: Program, dir: &Path) -> Result<Rc<RunningScenario>> {
        for router in 0..day.routers {
            let old = dir.join(format!("router-{router}"));
            if old.exists() {
                std::fs::remove_dir_all(&old).with_context(|| format!("removing {}", old.display()))?;
            }
        }
        std::fs::create_dir_all(dir).with_context(|| format!("creating {}", dir.display()))?;
        let record = Record::default();
        let fleet = Fleet::start(day.fleet.clone(), record.clone()).await?;
        let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
        let zones = &day.router.names.zones;
        let zones = (0..day.routers).map(|router| zones[router % zones.len()].clone()).collect();
        let mesh = match day.router.peers.is_some() {
            true => Some(Mesh::start(zones, day.seed).await?),
            false => None,
        };
        let mut list_addresses = vec![fleet.list_address; day.routers];
        if let Some(mesh) = &mesh {
            start_list_and_worker_relays(mesh, &fleet, &mut list_addresses).await?;
        }
        let scenario = Rc::new(RunningScenario {
            record,
            fleet,
            mesh,
            admin_addresses: RefCell::new(vec![None; day.routers]),
            router_counts: RefCell::new(vec![None; day.routers]),
            list_addresses: RefCell::new(list_addresses),
            conditions: Rc::default(),
            program,
            dir: dir.to_owned(),
            client_addresses: Rc::new(RefCell::new(vec![closed_port; day.routers])),
            children: RefCell::new((0..day.routers).map(|_| None).collect()),
            failure: RefCell::default(),
            day,
        });
        for router in 0..scenario.day.routers {
            scenario.start_router(router).await;
        }
        scenario.check()?;
        if scenario.mesh.is_some() {
            scenario.wait_for_convergence().await;
        }
        sleep(Duration::from_millis(300)).await;
        Ok(scenario)
    }

    /// Records a failure of the test environment itself; the first one is kept.
    pub fn record_failure(&self, what: String) {
        self.failure.borrow_mut().get_or_insert(what);
    }

    pub fn check(&self) -> Result<()> {
        match self.failure.borrow().as_ref() {
            Some(what) => bail!("failed to play the day: {what}"),
            None => Ok(()),
        }
    }

    fn zone(&self, router: usize) -> &str {
        let zones = &self.day.router.names.zones;
        &zones[router % zones.len()]
    }

    pub fn routers_of(&self, zone: &str) -> Vec<usize> {
        (0..self.day.routers).filter(|router| self.zone(*router) == zone).collect()
    }

    pub async fn start_router(&self, router: usize) {
        if self.children.borrow()[router].is_some() {
            return;
        }
        match self.spawn(router).await {
            Ok((child, address)) => {
                self.client_addresses.borrow_mut()[router] = address;
                self.children.borrow_mut()[router] = Some(child);
                self.record.add(What::RouterUp { router });
            }
            Err(cause) => self.record_failure(format!("router {router}: {cause:#}")),
        }
    }

    pub fn state_dir(&self, router: usize) -> PathBuf {
        self.dir.join(format!("router-{router}"))
    }

    pub fn admin(&self, router: usize) -> Option<SocketAddr> {
        self.admin_addresses.borrow()[router]
    }

    async fn spawn(&self, router: usize) -> Result<(Child, SocketAddr)> {
        let (child, startup) = self.spawn_process(router, router, &format!("router-{router}")).await?;
        let at = |name: &str| startup[name].as_str().and_then(|address| address.parse::<SocketAddr>().ok());
        self.admin_addresses.borrow_mut()[router] = at("admin");
        if let Some(mesh) = &self.mesh {
            mesh.set_listen_address(router, at("peers"));
        }
        Ok((child, at("listening").context("startup line has no valid client address (\"listening\")")?))
    }

    /// Starts a second process with the index of a router that is already running; dropping it kills it.
    pub async fn start_duplicate_router(&self, router: usize) -> Option<Child> {
        let mesh = self.mesh.as_ref()?;
        match self.spawn_process(router, mesh.spare_node(), &format!("namesake-{router}")).await {
            Ok((child, startup)) => {
                mesh.set_listen_address(
                    mesh.spare_node(),
                    startup["peers"].as_str().and_then(|at| at.parse().ok()),
                );
                Some(child)
            }
            Err(cause) => {
                self.record_failure(format!("duplicate of router {router}: {cause:#}"));
                None
            }
        }
    }

    /// Starts a router process at a node of the mesh; returns it with the JSON line that it prints when it is
    /// ready.
    async fn spawn_process(
        &self,
        router: usize,
        node: usize,
        name: &str,
    ) -> Result<(Child, serde_json::Value)> {
        let settings = RouterOverrides {
            number: router,
            zone: self.zone(router),
            list: &self.list_addresses.borrow()[router].to_string(),
            listen: "127.0.0.1:0",
            admin: self.mesh.as_ref().map(|_| "127.0.0.1:0"),
            state_dir: &self.dir.join(name).display().to_string(),
            seed: self.day.seed.wrapping_add(node as u64) & u64::from(u32::MAX),
            peers: self.mesh.as_ref().map(|mesh| mesh.addresses_of(node)),
            router_count: self.router_counts.borrow()[router],
        };
        let config = self.dir.join(format!("{name}.kdl"));
        std::fs::write(&config, self.day.router_document(&settings))?;
        let log =
            std::fs::File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")))?;
        let mut child = Command::new(&self.program.path)
            .envs(self.program.environment.iter().map(|(name, value)| (name, value)))
            .args(["--log", "info", "serve", "--config"])
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}", self.program.path.display()))?;
        let out = child.stdout.take().context("stdout of the router process is not piped")?;
        let mut lines = BufReader::new(out).lines();
        let line = timeout(Duration::from_secs(20), lines.next_line())
            .await
            .context("router printed no startup line within 20 s")??;
        let line = line.with_context(|| format!("router exited before its startup line; see {name}.log"))?;
        Ok((child, serde_json::from_str(&line)?))
    }

    /// Waits at most 15 s until every router receives from all others, reports the status "whole" and holds a
    /// current allocation. Differences that remain after that are for the checker to find.
    async fn wait_for_convergence(&self) {
        let until = tokio::time::Instant::now() + Duration::from_secs(15);
        while tokio::time::Instant::now() < until {
            let mut converged = 0;
            for router in 0..self.day.routers {
                let Some(admin) = self.admin(router) else { continue };
                let Ok(Some(status)) =
                    timeout(Duration::from_millis(400), crate::process_faults::peer_status(admin)).await
                else {
                    continue;
                };
                let complete = status["hears"] == self.day.routers && status["mind"] == "whole";
                converged += usize::from(complete && status["shares"]["for_ms"].is_number());
            }
            if converged == self.day.routers {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Kills a router process with SIGKILL.
    pub async fn kill_router(&self, router: usize) {
        let child = self.children.borrow_mut()[router].take();
        if let Some(mut child) = child {
            // Two lines, because the process ends at an unknown time between them.
            self.record.add(What::RouterDown { router });
            let _ = child.kill().await;
            self.record.add(What::RouterDown { router });
        }
    }

    /// Sends SIGTERM to a router and waits until it exits, so that its open answers can finish.
    pub async fn stop_router(&self, router: usize) {
        let child = self.children.borrow_mut()[router].take();
        let Some(mut child) = child else { return };
        let pid = child.id().and_then(|id| rustix::process::Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
        let exit_timeout = Duration::from_secs_f64(self.day.router.front.stop_ms / 1e3 + 10.0);
        if timeout(exit_timeout, child.wait()).await.is_err() {
            self.record_failure(format!("router {router} did not exit in time after SIGTERM"));
        }
    }

    /// Process id and processor time so far, in ms, of each running router.
    pub fn cpu_times(&self) -> BTreeMap<usize, (u32, f64)> {
        let children = self.children.borrow();
        let ids =
            children.iter().enumerate().filter_map(|(router, child)| Some((router, child.as_ref()?.id()?)));
        ids.filter_map(|(router, id)| Some((router, (id, cpu_ms(id)?)))).collect()
    }

    /// Kills all routers. Records the processor time of each since `cpu_at_start`, unless it was restarted
    /// meanwhile.
    pub async fn stop_all(&self, cpu_at_start: &BTreeMap<usize, (u32, f64)>) {
        for (router, (id, now_ms)) in self.cpu_times() {
            if let Some((_, before_ms)) = cpu_at_start.get(&router).filter(|(before_id, _)| *before_id == id)
            {
                self.record.add(What::CpuUsed { router, cpu_ms: now_ms - before_ms });
            }
        }
        for router in 0..self.day.routers {
            let child = self.children.borrow_mut()[router].take();
            if let Some(mut child) = child {
                let _ = child.kill().await;
            }
        }
    }
}

/// Processor time of a process in ms, on systems with procfs.
fn cpu_ms(process: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The process name may contain any character, so fields are counted after its closing parenthesis: user
    // and system time are the 12th and 13th, in ticks of 10 ms.
    let mut fields = text.rsplit(')').next()?.split_whitespace().skip(11);
    let mut ticks = || fields.next()?.parse::<f64>().ok();
    Some((ticks()? + ticks()?) * 10.0)
}

/// Starts a relay between each router and the list service, and between each router and each server.
async fn start_list_and_worker_relays(
    mesh: &Rc<Mesh>,
    fleet: &Fleet,
    list_addresses: &mut [SocketAddr],
) -> Result<()> {
    let mut relays = BTreeMap::new();
    for (router, list) in list_addresses.iter_mut().enumerate() {
        let from = Endpoint::Router(router);
        *list = mesh.start_relay(from.clone(), Endpoint::List, *list, Traffic::List).await?;
        for name in fleet.names() {
            let Some(server) = fleet.server(name) else { continue };
            let real = server.address.get();
            let to = Endpoint::Worker { name: name.clone(), zone: server.row.zone.clone() };
            let relay = mesh.start_relay(from.clone(), to, real, Traffic::Work).await?;
            relays.insert((router, real.to_string()), relay.to_string());
        }
    }
    *fleet.shared.list.address_overrides.borrow_mut() = relays;
    Ok(())
}
