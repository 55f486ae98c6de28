//! Where a day is played: the fleet here, each router as a process of its own.

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
use paddleproxy_settings::day::{DaySettings, Own};
use paddleproxy_settings::rig::Carries;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::load::Mood;
use crate::mesh::{End, Mesh};

/// The program whose `serve` is a router, and what its processes find in their environment.
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

/// Where a day is played.
pub struct Stage {
    pub day: Rc<DaySettings>,
    pub record: Record,
    pub fleet: Fleet,
    pub mood: Rc<Mood>,
    /// Relays between the processes, where the day has fellows.
    pub mesh: Option<Rc<Mesh>>,
    program: Program,
    dir: PathBuf,
    /// Where clients reach each router, and where operators do.
    pub addresses: Rc<RefCell<Vec<SocketAddr>>>,
    admins: RefCell<Vec<Option<SocketAddr>>>,
    pub children: RefCell<Vec<Option<Child>>>,
    /// Places in a router's settings, if not the day's.
    pub places: RefCell<Vec<Option<usize>>>,
    lists: RefCell<Vec<SocketAddr>>,
    failure: RefCell<Option<String>>,
}

impl Stage {
    /// Starts the fleet here and each router as a process, and waits until they have their list.
    pub async fn start(day: Rc<DaySettings>, program: Program, dir: &Path) -> Result<Rc<Stage>> {
        for router in 0..day.routers {
            let old = dir.join(format!("router-{router}"));
            if old.exists() {
                std::fs::remove_dir_all(&old).with_context(|| format!("removing {}", old.display()))?;
            }
        }
        std::fs::create_dir_all(dir).with_context(|| format!("making {}", dir.display()))?;
        let record = Record::default();
        let fleet = Fleet::start(day.fleet.clone(), record.clone()).await?;
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let zones = &day.router.names.zones;
        let zones = (0..day.routers).map(|router| zones[router % zones.len()].clone()).collect();
        let mesh = match day.router.peers.is_some() {
            true => Some(Mesh::start(zones, day.seed).await?),
            false => None,
        };
        let mut lists = vec![fleet.list_address; day.routers];
        if let Some(mesh) = &mesh {
            between(mesh, &fleet, &mut lists).await?;
        }
        let stage = Rc::new(Stage {
            record,
            fleet,
            mesh,
            admins: RefCell::new(vec![None; day.routers]),
            places: RefCell::new(vec![None; day.routers]),
            lists: RefCell::new(lists),
            mood: Rc::default(),
            program,
            dir: dir.to_owned(),
            addresses: Rc::new(RefCell::new(vec![nowhere; day.routers])),
            children: RefCell::new((0..day.routers).map(|_| None).collect()),
            failure: RefCell::default(),
            day,
        });
        for router in 0..stage.day.routers {
            stage.start_router(router).await;
        }
        stage.check()?;
        if stage.mesh.is_some() {
            stage.know_each_other().await;
        }
        sleep(Duration::from_millis(300)).await;
        Ok(stage)
    }

    /// Keeps the first thing that went wrong with the stage itself.
    pub fn fail(&self, what: String) {
        self.failure.borrow_mut().get_or_insert(what);
    }

    pub fn check(&self) -> Result<()> {
        match self.failure.borrow().as_ref() {
            Some(what) => bail!("the day could not be played: {what}"),
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
                self.addresses.borrow_mut()[router] = address;
                self.children.borrow_mut()[router] = Some(child);
                self.record.add(What::RouterUp { router });
            }
            Err(cause) => self.fail(format!("router {router}: {cause:#}")),
        }
    }

    pub fn state_dir(&self, router: usize) -> PathBuf {
        self.dir.join(format!("router-{router}"))
    }

    pub fn admin(&self, router: usize) -> Option<SocketAddr> {
        self.admins.borrow()[router]
    }

    async fn spawn(&self, router: usize) -> Result<(Child, SocketAddr)> {
        let (child, said) = self.process(router, router, &format!("router-{router}")).await?;
        let at = |name: &str| said[name].as_str().and_then(|address| address.parse::<SocketAddr>().ok());
        self.admins.borrow_mut()[router] = at("admin");
        if let Some(mesh) = &self.mesh {
            mesh.listens(router, at("peers"));
        }
        Ok((child, at("listening").context("does not say where it listens")?))
    }

    /// A second process under the place of a router; it ends when it is dropped.
    pub async fn start_namesake(&self, router: usize) -> Option<Child> {
        let mesh = self.mesh.as_ref()?;
        match self.process(router, mesh.extra(), &format!("namesake-{router}")).await {
            Ok((child, said)) => {
                mesh.listens(mesh.extra(), said["peers"].as_str().and_then(|at| at.parse().ok()));
                Some(child)
            }
            Err(cause) => {
                self.fail(format!("namesake of router {router}: {cause:#}"));
                None
            }
        }
    }

    /// Starts a process with a router's number, at a node of the mesh; what it says when it is ready.
    async fn process(&self, router: usize, node: usize, name: &str) -> Result<(Child, serde_json::Value)> {
        let own = Own {
            number: router,
            zone: self.zone(router),
            list: &self.lists.borrow()[router].to_string(),
            listen: "127.0.0.1:0",
            admin: self.mesh.as_ref().map(|_| "127.0.0.1:0"),
            state_dir: &self.dir.join(name).display().to_string(),
            seed: self.day.seed.wrapping_add(node as u64) & u64::from(u32::MAX),
            peers: self.mesh.as_ref().map(|mesh| mesh.own(node)),
            places: self.places.borrow()[router],
        };
        let config = self.dir.join(format!("{name}.kdl"));
        std::fs::write(&config, self.day.router_document(&own))?;
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
        let out = child.stdout.take().context("no output")?;
        let mut lines = BufReader::new(out).lines();
        let line =
            timeout(Duration::from_secs(20), lines.next_line()).await.context("not ready in 20 s")??;
        let line = line.with_context(|| format!("ended at once; see {name}.log"))?;
        Ok((child, serde_json::from_str(&line)?))
    }

    /// Waits until all routers hear all others and go by one page, at most some seconds; what then differs is the
    /// judge's matter.
    async fn know_each_other(&self) {
        let until = tokio::time::Instant::now() + Duration::from_secs(15);
        while tokio::time::Instant::now() < until {
            let mut good = 0;
            for router in 0..self.day.routers {
                let Some(admin) = self.admin(router) else { continue };
                let Ok(Some(view)) = timeout(Duration::from_millis(400), crate::rig::view(admin)).await
                else {
                    continue;
                };
                let all = view["hears"] == self.day.routers && view["mind"] == "whole";
                good += usize::from(all && view["shares"]["for_ms"].is_number());
            }
            if good == self.day.routers {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Killed outright.
    pub async fn kill_router(&self, router: usize) {
        let child = self.children.borrow_mut()[router].take();
        if let Some(mut child) = child {
            // Dying takes a moment: it is down from some time between the two.
            self.record.add(What::RouterDown { router });
            let _ = child.kill().await;
            self.record.add(What::RouterDown { router });
        }
    }

    /// Told to stop; waited for until it has, so that its open answers end.
    pub async fn stop_router(&self, router: usize) {
        let child = self.children.borrow_mut()[router].take();
        let Some(mut child) = child else { return };
        let pid = child.id().and_then(|id| rustix::process::Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
        let longest = Duration::from_secs_f64(self.day.router.front.stop_ms / 1e3 + 10.0);
        if timeout(longest, child.wait()).await.is_err() {
            self.fail(format!("router {router} did not stop when told to"));
        }
    }

    /// Processor time of each router's process so far, by its process.
    pub fn used(&self) -> BTreeMap<usize, (u32, f64)> {
        let children = self.children.borrow();
        let ids =
            children.iter().enumerate().filter_map(|(router, child)| Some((router, child.as_ref()?.id()?)));
        ids.filter_map(|(router, id)| Some((router, (id, cpu_ms(id)?)))).collect()
    }

    /// Ends all; what each router used since `began` is recorded where its process is still the same.
    pub async fn end(&self, began: &BTreeMap<usize, (u32, f64)>) {
        for (router, (id, now_ms)) in self.used() {
            if let Some((_, then_ms)) = began.get(&router).filter(|(then, _)| *then == id) {
                self.record.add(What::Used { router, cpu_ms: now_ms - then_ms });
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

/// Processor time of a process, where the system tells it.
fn cpu_ms(process: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // Fields after the name, which may hold anything: user and system time are the 12th and 13th, in ticks of 10 ms.
    let mut fields = text.rsplit(')').next()?.split_whitespace().skip(11);
    let mut ticks = || fields.next()?.parse::<f64>().ok();
    Some((ticks()? + ticks()?) * 10.0)
}

/// Puts a relay on each router's way to the list service and to each server.
async fn between(mesh: &Rc<Mesh>, fleet: &Fleet, lists: &mut [SocketAddr]) -> Result<()> {
    let mut ways = BTreeMap::new();
    for (router, list) in lists.iter_mut().enumerate() {
        let from = End::Router(router);
        *list = mesh.relay(from.clone(), End::List, *list, Carries::List).await?;
        for name in fleet.names() {
            let Some(server) = fleet.server(name) else { continue };
            let real = server.address.get();
            let to = End::Worker { name: name.clone(), zone: server.row.zone.clone() };
            let relay = mesh.relay(from.clone(), to, real, Carries::Work).await?;
            ways.insert((router, real.to_string()), relay.to_string());
        }
    }
    *fleet.shared.list.address_overrides.borrow_mut() = ways;
    Ok(())
}
