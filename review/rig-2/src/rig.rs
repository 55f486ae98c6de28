//! What every case needs: the record, free addresses, chance, the router processes.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

/// `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The record of a case: what was sent, answered and run, by the time since the start in ms.
pub struct Record {
    origin: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { origin: Instant::now(), lines: Mutex::default() })
    }

    pub fn now_ms(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    pub fn note(&self, text: impl Into<String>) {
        let at_ms = self.now_ms();
        self.lines.lock().unwrap().push((at_ms, text.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = File::create(path).expect("record.txt");
        for (at_ms, text) in lines {
            writeln!(file, "{at_ms:10.1} {text}").expect("record.txt");
        }
    }
}

/// Numbers by chance (xorshift), started from a seed.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address on which nobody listens at present.
pub fn free_address() -> SocketAddr {
    listener().1
}

/// One router process, started by the `run` line of the deploy file. Ended when dropped.
pub struct Router {
    pub name: String,
    pub listen: SocketAddr,
    pub child: Child,
}

pub fn run_line(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run ")).expect("the line run");
    line.split('"').nth(1).expect("the command of run").to_owned()
}

impl Router {
    /// Starts a router. `config` is its configuration file's text.
    pub fn start(
        root: &Path,
        dir: &Path,
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        config: &str,
    ) -> Router {
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration");
        let log = dir.join(format!("{name}.log"));
        let temporary = dir.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let out = File::options().create(true).append(true).open(&log).expect("the log");
        let mut command = Command::new("/bin/sh");
        // A router does not outlive this process, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        let child = command
            .arg("-c")
            .arg(run_line(root))
            .current_dir(root)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", listen.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_CONFIG", &path)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(out.try_clone().expect("the log"))
            .stderr(out)
            .process_group(0)
            .spawn()
            .expect("the router");
        Router { name: name.to_owned(), listen, child }
    }

    pub fn signal(&self, signal: i32) {
        // The shell has replaced itself by the router (`exec`), so this is the router's own process id.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until `GET /_health` returns 200.
    pub fn wait_ready(&self, within_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(within_ms);
        while Instant::now() < until {
            if let Ok(stream) = std::net::TcpStream::connect(self.listen) {
                let mut conn = crate::http::Conn::new(stream);
                let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(500)));
                let sent =
                    conn.send("GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
                if sent.is_ok() && conn.message().is_ok_and(|answer| answer.first.contains(" 200")) {
                    return true;
                }
            }
            sleep_ms(20);
        }
        false
    }

    /// How the process ended; none while it runs.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Router {
    /// CPU time that the process has used, in s.
    pub fn cpu_s(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<_> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |row: usize| fields.get(row).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
