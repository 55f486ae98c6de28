//! Router processes: started with the fault-injecting library, signalled and awaited.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use paddleproxy_faults::{library, Control, CONTROL_VARIABLE};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

use crate::record::{Record, RouterId, RouterProcess};

/// One router: its address and files are fixed, its process may be ended and started again.
pub struct Router {
    record: Record,
    /// Its index.
    pub id: RouterId,
    /// Where it listens.
    pub listen: SocketAddr,
    program: PathBuf,
    configuration: PathBuf,
    log: PathBuf,
    /// Controls which system calls fail in its processes.
    pub control: Control,
    child: RefCell<Option<Child>>,
    /// Id of its process from its start until its exit: a process that is being ended may still need SIGCONT.
    pid: Cell<Option<u32>>,
    /// Set while a trouble ends the process and starts the next, so that only one trouble does at a time.
    pub being_restarted: Cell<bool>,
}

impl Router {
    /// A router without a process, with its files in `dir`.
    ///
    /// # Errors
    /// The control file can't be created.
    pub fn new(
        record: Record,
        id: RouterId,
        listen: SocketAddr,
        program: &Path,
        dir: &Path,
        seed: u64,
    ) -> Result<Rc<Router>> {
        let control = Control::create(&dir.join(format!("faults-{id}")), seed ^ id as u64)?;
        Ok(Rc::new(Router {
            record,
            id,
            listen,
            program: program.to_owned(),
            configuration: dir.join(format!("router-{id}.json")),
            log: dir.join(format!("router-{id}.log")),
            control,
            child: RefCell::default(),
            pid: Cell::new(None),
            being_restarted: Cell::new(false),
        }))
    }

    /// Replaces the configuration file atomically.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn configure(&self, configuration: &Value) -> Result<()> {
        let new = self.configuration.with_extension("new");
        std::fs::write(&new, configuration.to_string())?;
        std::fs::rename(&new, &self.configuration)?;
        Ok(())
    }

    /// Starts a process.
    ///
    /// # Errors
    /// The library is not built, or the process can't be started.
    pub fn start(&self) -> Result<()> {
        let library = library()
            .context("the fault-injecting library is not built: cargo build -p paddleproxy-interpose")?;
        let log = std::fs::File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(["--log", "info", "platform"])
            .env("EDGE_CONFIG", &self.configuration)
            .env("LD_PRELOAD", library)
            .env(CONTROL_VARIABLE, self.control.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .context("starting a router")?;
        self.pid.set(child.id());
        *self.child.borrow_mut() = Some(child);
        let process = RouterProcess { started_ms: self.record.now_ms(), ..RouterProcess::default() };
        self.record.with(|observed| observed.processes[self.id].push(process));
        Ok(())
    }

    fn change_process(&self, generation: usize, change: impl FnOnce(&mut RouterProcess)) {
        self.record.with(|observed| observed.processes[self.id].get_mut(generation).map(change));
    }

    /// Whether its health endpoint reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let probe = async {
            let mut stream = TcpStream::connect(self.listen).await.ok()?;
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            Some(answer.starts_with("HTTP/1.1 200 "))
        };
        matches!(timeout(Duration::from_millis(500), probe).await, Ok(Some(true)))
    }

    /// Waits until the process is ready, for at most `within`. Returns whether it is.
    pub async fn wait_until_ready(&self, within: Duration) -> bool {
        let generation = self.record.generation(self.id);
        let probe = async {
            while !self.is_ready().await {
                sleep(Duration::from_millis(15)).await;
            }
        };
        let ready = timeout(within, probe).await.is_ok();
        if ready {
            let now_ms = self.record.now_ms();
            self.change_process(generation, |process| process.ready_ms = Some(now_ms));
        }
        ready
    }

    /// Id of its process, if it has one.
    pub fn pid(&self) -> Option<u32> {
        self.pid.get()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM, and SIGKILL after `kill_after`; waits for the exit.
    pub async fn terminate(&self, kill_after: Duration) {
        let generation = self.record.generation(self.id);
        let now_ms = self.record.now_ms();
        self.change_process(generation, |process| process.terminated_ms = Some(now_ms));
        self.signal(Signal::TERM);
        let child = self.child.borrow_mut().take();
        let Some(mut child) = child else { return };
        if timeout(kill_after, child.wait()).await.is_err() {
            let now_ms = self.record.now_ms();
            self.change_process(generation, |process| process.killed_ms = Some(now_ms));
            let _ = child.start_kill();
        }
        self.record_end(generation, &mut child).await;
    }

    /// Sends SIGKILL and waits for the exit.
    pub async fn kill(&self) {
        let generation = self.record.generation(self.id);
        let child = self.child.borrow_mut().take();
        let Some(mut child) = child else { return };
        let now_ms = self.record.now_ms();
        self.change_process(generation, |process| process.killed_ms = Some(now_ms));
        let _ = child.start_kill();
        self.record_end(generation, &mut child).await;
    }

    async fn record_end(&self, generation: usize, child: &mut Child) {
        let Ok(status) = child.wait().await else { return };
        self.pid.set(None);
        let code = status.code().ok_or(status.signal().unwrap_or(0));
        let now_ms = self.record.now_ms();
        self.change_process(generation, |process| process.ended = Some((now_ms, code)));
    }

    /// Records the exit of a process that has ended unexpectedly. Returns whether it has.
    pub fn record_exit(&self) -> bool {
        let ended = self.child.borrow_mut().as_mut().and_then(|child| child.try_wait().ok().flatten());
        let Some(status) = ended else { return false };
        self.pid.set(None);
        let (generation, now_ms) = (self.record.generation(self.id), self.record.now_ms());
        let code = status.code().ok_or(status.signal().unwrap_or(0));
        self.change_process(generation, |process| {
            process.ended.get_or_insert((now_ms, code));
        });
        true
    }

    /// Open descriptors and resident memory in MiB of its process.
    pub fn resources(&self) -> Option<(usize, f64)> {
        let process = self.pid()?.to_string();
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
        Some((descriptors, paddleproxy_day::resident_mib(&process)?))
    }
}
