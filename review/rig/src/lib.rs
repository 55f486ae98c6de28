//! Stand-ins for the cases of the review: clients, servers and discovery of the platform, and a router process
//! that is started with the command of the deploy file. Standard library only; every address is a loopback one.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The record of a run: one line for each thing that was sent, answered or done, with the ms since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|cause| could_not_run(&format!("record: {cause}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn at(&self, when: Instant) -> f64 {
        when.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, when: Instant, text: &str) {
        let line = format!("{:>10.1} {text}\n", self.at(when));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The case could not be played: exit code 2.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

/// Whether the disruption is wanted: `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folder of the case and the root of the repository, as `run.sh` gives them.
pub fn folders() -> (PathBuf, PathBuf, PathBuf) {
    let folder = |name: &str| {
        PathBuf::from(std::env::var(name).unwrap_or_else(|_| could_not_run(&format!("{name} is not set"))))
    };
    (folder("CASE_DIR"), folder("ROOT_DIR"), folder("CASE_TMP"))
}

/// The value of a line `name = "..."` of the deploy file.
fn deploy_command(root: &Path, name: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|cause| could_not_run(&format!("deploy file: {cause}")));
    let line = text.lines().find(|line| line.trim_start().starts_with(&format!("{name} =")));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or_else(|| could_not_run("the deploy file has no such line")).to_owned()
}

/// A listener on a free loopback port.
pub fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|cause| could_not_run(&format!("bind: {cause}")))
}

/// One entry of a list of discovery.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub class: &'static str,
    pub health: &'static str,
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let rows: Vec<String> = hosts
        .iter()
        .map(|Host { name, dial, class, health }| {
            format!(
                "{{\"host\":\"{name}\",\"dial\":\"{dial}\",\"site\":\"a\",\"class\":\"{class}\",\"block\":0,\
                 \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
            )
        })
        .collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", rows.join(","))
}

/// The configuration of one router. The settings are those of the example in the operators' wire page (one
/// zone, `resume` as given), with the limits of a scored day.
pub struct Setup {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub resume: bool,
    pub deadline_s: f64,
}

impl Setup {
    pub fn json(&self) -> String {
        let Setup { listen, discovery, known, resume, deadline_s } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"balancers":1,"slot_no":0,"my_zone":"a","localities":["a"],
"machine_types":["prefill","decode","combined"],"kind_of_service":"twostage","discovery":"automatic",
"caps":{{"cancel":true,"conn_idle_s":30.0,"connect_timeout_s":0.25,"max_attempts":5,"max_retry_after_s":0.5,
"peers":false,"probes":true,"retry_after":true,"second_copies":true,"streams_per_conn":32}},
"clients":{{"marks_retry":false}},
"family_info":{{"aim_us_per_1000_prompt_tokens":[40000.0],"holds_allowed":true,
"kv_tokens":[270295.0,209230.0,257542.0],"pin_limit_s":0.5,"resume":{resume},
"role_by_kind":["read","write","both"],"self_prefill":true}},
"invariants":{{"answer_slack_s":0.008,"cold_s":12.0,"cold_share":0.28,"drain_grace_s":1.0,
"fall_multiple":2.5,"fall_s":2.0,"must_ask_in_s":10.0}},
"over_share_worth":0.2,"report":{{"how":"answers","names":["cpu_share","pending","x0"]}},
"resolution_s":0.002,
"services":[{{"deadline_s":{deadline_s},"dedup_scope":"all","idempotency":"repeatable","importance":3.0,
"late_worth":0.1,"name":"member-chat","slo_s":1.5,"stream":true,"window_s":5.0}}],
"tenants":[{{"name":"buurtwinkels","portion":1.0,"quota_per_s":60.0}}],
"tier":0,"tiers":["model-fleet"],"weights":"rough","worth_by":"work"}}}}"#
        )
    }
}

/// A router process, started with the command `run` of the deploy file; killed when this value is dropped.
pub struct Router {
    pub child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    name: String,
    /// Holds the process id while the process runs, for `run.sh` to clean up after a case that was cut short.
    pid_file: PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

impl Router {
    pub fn start(root: &Path, tmp: &Path, name: &str, setup: &Setup, record: &Record) -> Router {
        let config = tmp.join(format!("{name}.json"));
        std::fs::write(&config, setup.json()).unwrap_or_else(|cause| could_not_run(&cause.to_string()));
        let log = File::create(tmp.join(format!("{name}.log"))).unwrap();
        let command = deploy_command(root, "run");
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", setup.listen.to_string())
            .env("EDGE_DISCOVERY", setup.discovery.to_string())
            .env("EDGE_CONFIG", &config)
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|cause| could_not_run(&format!("router: {cause}")));
        record.line(&format!("router {name} started: {command}; it listens on {}", setup.listen));
        let pid_file = tmp.join(format!("{name}.pid"));
        let _ = std::fs::write(&pid_file, child.id().to_string());
        let router = Router { child, listen: setup.listen, config, name: name.to_owned(), pid_file };
        for _ in 0..1000 {
            if get_health(router.listen).is_ok_and(|status| status == 200) {
                record.line(&format!("router {name} is ready"));
                return router;
            }
            thread::sleep(ms(10));
        }
        drop(router);
        could_not_run("the router did not become ready");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, setup: &Setup, record: &Record) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, setup.json()).and_then(|()| std::fs::rename(&new, &self.config)).unwrap();
        self.signal("HUP");
        record
            .line(&format!("router {}: new configuration, discovery {}, SIGHUP", self.name, setup.discovery));
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let sent = Command::new("/bin/sh").args(["-c", &command]).status();
        if !sent.is_ok_and(|status| status.success()) {
            could_not_run("the signal could not be sent");
        }
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

fn get_health(at: SocketAddr) -> Result<u16> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(ms(2000)))?;
    stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    read_answer(&mut BufReader::new(stream), |_| {}).map(|answer| answer.status)
}

/// A request as a server read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its first and its last byte were read.
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.field("req-id")
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_fields(reader: &mut impl BufRead) -> Result<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(fields);
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads one request; `UnexpectedEof` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Result<Request> {
    if reader.fill_buf()?.is_empty() {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let first_byte = Instant::now();
    let line = read_line(reader)?;
    let mut parts = line.split(' ');
    let (method, target) = (parts.next().unwrap_or("").to_owned(), parts.next().unwrap_or("").to_owned());
    let fields = read_fields(reader)?;
    let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Request { method, target, fields, body, first_byte, last_byte: Instant::now() })
}

/// An answer as a client read it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// It came to its end: the last chunk, or its whole length.
    pub whole: bool,
    /// When its first line and its last byte were read.
    pub first_line: Instant,
    pub last_byte: Instant,
}

/// Reads one answer; `on_part` is called with each chunk as it comes. An error before the end of the head is an
/// error; one after it makes an answer that is not whole.
pub fn read_answer(reader: &mut impl BufRead, mut on_part: impl FnMut(&[u8])) -> Result<Answer> {
    let line = read_line(reader)?;
    let first_line = Instant::now();
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).ok_or(ErrorKind::InvalidData)?;
    let fields = read_fields(reader)?;
    let mut body = Vec::new();
    let mut rest = || -> Result<()> {
        if fields.get("transfer-encoding").is_some_and(|value| value == "chunked") {
            loop {
                let line = read_line(reader)?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk)?;
                if size == 0 {
                    return Ok(());
                }
                on_part(&chunk[..size]);
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body)
    };
    let whole = rest().is_ok();
    Ok(Answer { status, fields, body, whole, first_line, last_byte: Instant::now() })
}

/// A running stand-in server: its address, and a way to make it die.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    dead: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each connection on a thread of its own; `handle` answers one request and says whether the
    /// connection goes on.
    pub fn start<F>(handle: F) -> Server
    where
        F: Fn(&Request, &mut TcpStream) -> Result<bool> + Send + Sync + 'static,
    {
        let listener = free_listener();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let (dead, connections) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let server = Server { address, dead: dead.clone(), connections: connections.clone() };
        let handle = Arc::new(handle);
        thread::spawn(move || {
            while !dead.load(Ordering::SeqCst) {
                let stream = match listener.accept() {
                    Ok((stream, _)) => stream,
                    Err(_) => {
                        thread::sleep(Duration::from_micros(300));
                        continue;
                    }
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                connections.lock().unwrap().extend(stream.try_clone());
                let handle = handle.clone();
                thread::spawn(move || {
                    let Ok(mut out) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Ok(request) = read_request(&mut reader) {
                        if !handle(&request, &mut out).is_ok_and(|goes_on| goes_on) {
                            break;
                        }
                    }
                    let _ = out.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    /// As when its process dies: its connections break and new ones are refused.
    pub fn die(&self) {
        self.dead.store(true, Ordering::SeqCst);
        thread::sleep(ms(5));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The state of a discovery stand-in: a versioned list, with the version at which each entry last changed.
pub struct Discovery {
    state: Mutex<(u64, Vec<(u64, Host)>)>,
    changed: Condvar,
    /// Since when a watch waits, if one does.
    waiting: Mutex<Option<Instant>>,
}

impl Discovery {
    pub fn new(seq: u64, hosts: &[Host]) -> Arc<Discovery> {
        let rows = hosts.iter().map(|host| (seq, host.clone())).collect();
        Arc::new(Discovery {
            state: Mutex::new((seq, rows)),
            changed: Condvar::new(),
            waiting: Mutex::default(),
        })
    }

    pub fn set_health(&self, name: &str, health: &'static str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let seq = state.0;
        for (changed, host) in state.1.iter_mut().filter(|(_, host)| host.name == name) {
            (*changed, host.health) = (seq, health);
        }
        self.changed.notify_all();
        seq
    }

    /// Returns once a watch has waited for a moment, so that the router is known to be within a call.
    pub fn await_watch(&self) {
        for _ in 0..1000 {
            if self.waiting.lock().unwrap().is_some_and(|since| since.elapsed() > ms(200)) {
                return;
            }
            thread::sleep(ms(10));
        }
        could_not_run("no watch came");
    }

    fn whole(state: &(u64, Vec<(u64, Host)>)) -> String {
        let hosts: Vec<_> = state.1.iter().map(|(_, host)| host.clone()).collect();
        list_json(state.0, true, &hosts)
    }

    /// The answer to a call: the whole list, or a watch. A watch waits until something newer than its version
    /// exists or its time is over, then gets the changes. A version that this discovery has not reached is none
    /// of its own: nothing newer exists, and after the wait the whole list is the answer.
    fn answer(&self, target: &str) -> String {
        let value = |name: &str| {
            let query = target.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<f64>().ok())
        };
        let mut state = self.state.lock().unwrap();
        let Some(from) = value("from").map(|from| from as u64) else { return Discovery::whole(&state) };
        let until = Instant::now() + Duration::from_secs_f64(value("hold_ms").unwrap_or(0.0) / 1e3);
        *self.waiting.lock().unwrap() = Some(Instant::now());
        while state.0 <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        *self.waiting.lock().unwrap() = None;
        if from > state.0 {
            return Discovery::whole(&state);
        }
        let hosts: Vec<_> =
            state.1.iter().filter(|(changed, _)| *changed > from).map(|(_, host)| host.clone()).collect();
        list_json(state.0, false, &hosts)
    }

    pub fn serve(self: &Arc<Self>, name: &'static str, record: Record) -> Server {
        let discovery = self.clone();
        let calls = AtomicU64::new(0);
        Server::start(move |request, out| {
            let body = discovery.answer(&request.target);
            let number = calls.fetch_add(1, Ordering::SeqCst);
            if number < 40 || body.contains("draining") && number % 20 == 0 {
                record.line(&format!("{name}: GET {} answered: {}", request.target, short(&body)));
            }
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json";
            out.write_all(format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
            Ok(true)
        })
    }
}

/// The version of a list, and each entry's health.
fn short(list: &str) -> String {
    let head = list.split("\"hosts\"").next().unwrap_or("").trim_end_matches(',');
    let entries: Vec<String> = list
        .split("\"host\":\"")
        .skip(1)
        .map(|row| {
            let name = row.split('"').next().unwrap_or("");
            let health = row.split("\"health\":\"").nth(1).and_then(|rest| rest.split('"').next());
            format!("{name} {}", health.unwrap_or(""))
        })
        .collect();
    format!("{head}}} [{}]", entries.join(", "))
}

pub const LOAD: &str = "TEXT util=0.1, queue=0, x0=0.1";
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn event(content: &str, last: bool) -> String {
    let end = if last { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":{end}}}]}}\n\n"
    )
}

pub fn usage() -> String {
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":9,\
     \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n"
        .to_owned()
        + &format!(": Srv-Load: {LOAD}\n\n")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Answers the calls that carry no completion: probes, holds and releases. `None` for a completion.
pub fn answer_call(request: &Request, out: &mut TcpStream) -> Result<Option<bool>> {
    let answer = |status: &str, body: &str| {
        format!("HTTP/1.1 {status}\r\nSrv-Load: {LOAD}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let answer = match (request.method.as_str(), request.target.as_str()) {
        ("GET", "/ping") => answer("200 OK", ""),
        ("GET", "/_load") => answer("200 OK", LOAD),
        ("DELETE", target) if target.starts_with("/bootstrap/rooms/") => answer("204 No Content", ""),
        ("POST", target) if target.starts_with("/bootstrap/rooms/") => answer("409 Conflict", ""),
        ("POST", "/v1/chat/completions") => return Ok(None),
        _ => answer("404 Not Found", ""),
    };
    out.write_all(answer.as_bytes())?;
    Ok(Some(true))
}

/// A request of a client, as the protocol page shows it, with a body of about `prompt_bytes`.
pub fn completion(id: &str, session: &str, deadline_s: f64, prompt_bytes: usize, tokens: usize) -> Vec<u8> {
    let prompt = "abcdefg ".repeat(prompt_bytes / 8 + 1);
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":64,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
        &prompt[..prompt_bytes]
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: member-chat\r\n\
         Req-Owner: buurtwinkels\r\nReq-Key: {session}\r\nReq-Deadline: {deadline_s:.3}\r\n\
         Req-Extra: prompt_len={tokens},max_out=64\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reproducible numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// In [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Ends the run: the line goes to the record and to standard output.
pub fn verdict(record: &Record, broken: bool, text: &str) -> i32 {
    let text = format!("{}: {text}", if broken { "RULE BROKEN" } else { "rule held" });
    record.line(&text);
    println!("{text}");
    i32::from(broken)
}
