//! Plays a day: starts the fleet here and each router as a process of its own, lets clients and troubles loose, and
//! writes down what the sockets carried.

use std::cell::RefCell;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use paddleproxy_fleet::record::{Line, Record, What};
use paddleproxy_fleet::Fleet;
use paddleproxy_settings::day::{DaySettings, Own};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::audit::Facts;
use crate::load::{Clients, Mood};
use crate::troubles::befall;

/// Where a day is played.
pub struct Stage {
    pub day: Rc<DaySettings>,
    pub record: Record,
    pub fleet: Fleet,
    pub mood: Rc<Mood>,
    program: PathBuf,
    dir: PathBuf,
    addresses: Rc<RefCell<Vec<SocketAddr>>>,
    children: RefCell<Vec<Option<Child>>>,
    failure: RefCell<Option<String>>,
}

/// The files of a recorded day.
pub const RECORD: &str = "record.jsonl";
pub const FACTS: &str = "facts.json";

/// Plays a day with `program` as the router; its record goes to `dir` as well.
///
/// # Errors
/// What could not be started or written.
pub async fn play(day: DaySettings, program: &Path, dir: &Path) -> Result<(Facts, Vec<Line>)> {
    let day = Rc::new(day);
    let stage = Stage::start(day.clone(), program, dir).await?;
    let record = stage.record.clone();
    // The day's clock starts once all are up.
    record.restart();
    let clients = Clients::new(day.clone(), record.clone(), stage.mood.clone(), stage.addresses.clone());
    let clients = Rc::new(clients);
    let loads: Vec<_> =
        (0..day.clients.len()).map(|row| tokio::task::spawn_local(clients.clone().run(row))).collect();
    let troubles: Vec<_> = paddleproxy_emulator::troubles::spread(&day, 1)
        .into_iter()
        .map(|trouble| tokio::task::spawn_local(befall(stage.clone(), trouble)))
        .collect();
    for task in loads.into_iter().chain(troubles) {
        task.await?;
    }
    let rest = async {
        while clients.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        // States of the last answers get the time that the rules give them.
        sleep(Duration::from_secs_f64(2.0 * day.router.decisions.pin_limit_ms / 1e3)).await;
    };
    let _ = timeout(Duration::from_secs_f64(day.rest_ms / 1e3), rest).await;
    stage.check()?;
    stage.end().await;
    let (facts, lines) = (Facts::of(&day), record.lines());
    write(dir, &facts, &lines)?;
    Ok((facts, lines))
}

/// Keeps the fleet and the routers of a day running, without its clients and troubles, until `stop` turns true.
///
/// # Errors
/// What could not be started.
pub async fn keep(
    day: DaySettings,
    program: &Path,
    dir: &Path,
    ready: impl FnOnce(&[SocketAddr]),
    mut stop: tokio::sync::watch::Receiver<bool>,
) -> Result<()> {
    let stage = Stage::start(Rc::new(day), program, dir).await?;
    ready(&stage.addresses.borrow());
    while !*stop.borrow_and_update() && stop.changed().await.is_ok() {}
    for router in 0..stage.day.routers {
        stage.stop_router(router).await;
    }
    stage.check()
}

impl Stage {
    /// Starts the fleet here and each router as a process, and waits until they have their list.
    async fn start(day: Rc<DaySettings>, program: &Path, dir: &Path) -> Result<Rc<Stage>> {
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
        let stage = Rc::new(Stage {
            record,
            fleet,
            mood: Rc::default(),
            program: program.to_owned(),
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
        sleep(Duration::from_millis(300)).await;
        Ok(stage)
    }

    /// Keeps the first thing that went wrong with the stage itself.
    pub fn fail(&self, what: String) {
        self.failure.borrow_mut().get_or_insert(what);
    }

    fn check(&self) -> Result<()> {
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

    async fn spawn(&self, router: usize) -> Result<(Child, SocketAddr)> {
        let state_dir = self.dir.join(format!("router-{router}"));
        let own = Own {
            number: router,
            zone: self.zone(router),
            list: &self.fleet.list_address.to_string(),
            listen: "127.0.0.1:0",
            admin: None,
            state_dir: &state_dir.display().to_string(),
            seed: self.day.seed.wrapping_add(router as u64) & u64::from(u32::MAX),
        };
        let config = self.dir.join(format!("router-{router}.kdl"));
        std::fs::write(&config, self.day.router_document(&own))?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("router-{router}.log")))?;
        let mut child = Command::new(&self.program)
            .args(["--log", "info", "serve", "--config"])
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("starting {}", self.program.display()))?;
        let out = child.stdout.take().context("no output")?;
        let mut lines = BufReader::new(out).lines();
        let line =
            timeout(Duration::from_secs(20), lines.next_line()).await.context("not ready in 20 s")??;
        let line = line.with_context(|| format!("ended at once; see router-{router}.log"))?;
        let said: serde_json::Value = serde_json::from_str(&line)?;
        let address = said["listening"].as_str().context("does not say where it listens")?.parse()?;
        Ok((child, address))
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

    async fn end(&self) {
        for router in 0..self.day.routers {
            let child = self.children.borrow_mut()[router].take();
            if let Some(mut child) = child {
                let _ = child.kill().await;
            }
        }
    }
}

/// Writes the record of a day into a folder that is there.
///
/// # Errors
/// A file that can't be written.
pub fn write(dir: &Path, facts: &Facts, lines: &[Line]) -> Result<()> {
    std::fs::write(dir.join(FACTS), serde_json::to_vec_pretty(facts)?)?;
    let mut out = std::io::BufWriter::new(std::fs::File::create(dir.join(RECORD))?);
    for line in lines {
        serde_json::to_writer(&mut out, line)?;
        out.write_all(b"\n")?;
    }
    out.flush()?;
    Ok(())
}

/// Reads a recorded day.
///
/// # Errors
/// A file that can't be read or a line that is none.
pub fn read(dir: &Path) -> Result<(Facts, Vec<Line>)> {
    let open = |name: &str| {
        let path = dir.join(name);
        std::fs::read_to_string(&path).with_context(|| format!("reading {}", path.display()))
    };
    let facts = serde_json::from_str(&open(FACTS)?).with_context(|| FACTS.to_owned())?;
    let lines = open(RECORD)?;
    let parse = |(row, line): (usize, &str)| {
        serde_json::from_str(line).with_context(|| format!("{RECORD}: line {}", row + 1))
    };
    Ok((facts, lines.lines().enumerate().map(parse).collect::<Result<_>>()?))
}
