//! The platform's side: settings, discovery agents, model servers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{chunk, plain, Conn};
use crate::rig::{listener, sleep_ms, Record};

/// The names of a customer's deployment.
pub struct Names {
    pub zones: [&'static str; 3],
    /// Servers that read, write, do both.
    pub kinds: [&'static str; 3],
    pub class: &'static str,
    pub tenant: Option<&'static str>,
    pub report: &'static str,
}

pub const AFBETALEN: Names = Names {
    zones: ["brussel", "gent", "luik"],
    kinds: ["prefill", "decode", "combined"],
    class: "member-chat",
    tenant: Some("buurtwinkels"),
    report: r#"{"how":"answers","names":["cpu_share","pending","x0"]}"#,
};

/// The deployment of a case: three routers before ten or eleven servers.
#[derive(Clone)]
pub struct Deployment {
    pub names: &'static Names,
    pub routers: usize,
    pub deadline_s: f64,
    pub target_s: f64,
    pub target_us_per_1000: f64,
    pub drain_grace_ms: f64,
    pub pin_limit_s: f64,
    pub idle_s: f64,
    pub fall: (f64, f64),
    pub resume: bool,
    pub self_prefill: bool,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            names: &AFBETALEN,
            routers: 3,
            deadline_s: 7.5,
            target_s: 1.5,
            target_us_per_1000: 40000.0,
            drain_grace_ms: 1000.0,
            pin_limit_s: 0.5,
            idle_s: 30.0,
            fall: (2.5, 2.0),
            resume: true,
            self_prefill: true,
        }
    }
}

impl Deployment {
    fn settings(&self, number: usize) -> String {
        let Deployment {
            names,
            routers,
            deadline_s,
            target_s,
            pin_limit_s,
            idle_s,
            resume,
            self_prefill,
            ..
        } = self;
        let Names { zones, kinds, class, report, .. } = names;
        let (grace_s, (fall_multiple, fall_s)) = (self.drain_grace_ms / 1e3, self.fall);
        let (zone, us) = (zones[number % 3], self.target_us_per_1000);
        let tenants = names.tenant.map_or(String::new(), |name| {
            format!("{{\"name\":\"{name}\",\"portion\":1.0,\"quota_per_s\":50.0}}")
        });
        format!(
            r#"{{"balancers":{routers},"slot_no":{number},"tier":0,"tiers":["model-fleet"],"my_zone":"{zone}",
"localities":{zones:?},"machine_types":{kinds:?},"discovery":"automatic",
"kind_of_service":"twostage","resolution_s":0.002,"over_share_worth":0.2,"weights":"rough","worth_by":"work",
"caps":{{"cancel":true,"conn_idle_s":{idle_s},"connect_timeout_s":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,
"max_attempts":5,"max_open":20000,"max_retry_after_s":0.5,"peers":false,"probes":true,"retry_after":true,
"second_copies":true,"streams_per_conn":32}},
"clients":{{"marks_retry":false}},
"costs":{{"connection":0.0,"cross_zone":0.0095,"waste":0.03,"probe":0.003}},
"family_info":{{"aim_us_per_1000_prompt_tokens":[{us}],"holds_allowed":{resume},"kv_tokens":[270000,200000,250000],
"pin_limit_s":{pin_limit_s},"report_x0":"share of memory that is held","resume":{resume},
"role_by_kind":["read","write","both"],"self_prefill":{self_prefill},"token_aim_s":[0.06],"transfer_price":0.08}},
"invariants":{{"answer_slack_s":0.008,"cold_s":12.0,"cold_share":0.28,"drain_grace_s":{grace_s},
"fall_multiple":{fall_multiple},"fall_s":{fall_s},"must_ask_in_s":10.0}},
"report":{report},
"score_parts":{{"whole":0.5,"worst_class":0.3,"worst_tenant":0.1,"worst_window":0.1}},
"services":[{{"name":"{class}","slo_s":{target_s},"deadline_s":{deadline_s},"idempotency":"repeatable",
"dedup_scope":"all","window_s":5.0,"importance":3.0,"late_worth":0.1,"stream":true}}],
"tenants":[{tenants}]}}"#
        )
    }

    pub fn config(&self, number: usize, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        format!(
            "{{\"name\":\"n{number}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be9{number:02x}\",\n\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":80,\"sockets\":512}},\n\"known\":{known},\n\"settings\":{}}}",
            self.settings(number)
        )
    }
}

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub zone: usize,
    /// `prefill`, `decode` or `combined`: what it does.
    pub kind: &'static str,
    pub names: &'static Names,
    pub block: usize,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    fn json(&self) -> String {
        let kind = AFBETALEN.kinds.iter().position(|kind| *kind == self.kind).unwrap_or(2);
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"{}\",\"block\":{},\"health\":\"{}\",\"share\":1.0,\"born_ms\":{}}}",
            self.name, self.dial, self.names.zones[self.zone], self.names.kinds[kind], self.block, self.health, self.born_ms
        )
    }
}

pub fn list(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let rows: Vec<_> = hosts.iter().map(Host::json).collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", rows.join(","))
}

struct Listed {
    seq: u64,
    hosts: Vec<Host>,
    /// The version of each host's last change.
    changed: BTreeMap<String, u64>,
    first_seq: u64,
}

/// A discovery agent: the whole list, and watches that wait for changes. A watch from a version that the
/// agent never had gets the whole list at once.
pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    record: Arc<Record>,
    listed: Mutex<Listed>,
    news: Condvar,
    /// How long it takes to answer, beyond the time for which a watch waits.
    pub slow_ms: AtomicU64,
}

impl Agent {
    pub fn start(name: &str, record: &Arc<Record>, seq: u64, hosts: &[Host]) -> Arc<Agent> {
        let (socket, address) = listener();
        let listed = Listed { seq, hosts: hosts.to_vec(), changed: BTreeMap::new(), first_seq: seq };
        let agent = Arc::new(Agent {
            name: name.to_owned(),
            address,
            record: record.clone(),
            listed: Mutex::new(listed),
            news: Condvar::new(),
            slow_ms: AtomicU64::new(0),
        });
        let accepting = agent.clone();
        std::thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(request) = conn.message() {
            let target = request.target().to_owned();
            let number = |name: &str| {
                let query = target.split_once('?')?.1;
                query.split('&').find_map(|part| part.strip_prefix(&format!("{name}="))?.parse::<u64>().ok())
            };
            let from = number("from");
            let until = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0).min(60_000));
            let mut listed = self.listed.lock().unwrap();
            if let Some(from) = from {
                // Only a version that this agent has had can be waited on.
                while from >= listed.first_seq && from == listed.seq && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    listed = self.news.wait_timeout(listed, left).unwrap().0;
                }
            }
            let text = match from.filter(|from| *from >= listed.first_seq && *from <= listed.seq) {
                Some(from) => {
                    let new = |host: &&Host| listed.changed.get(&host.name).is_some_and(|at| *at > from);
                    let hosts: Vec<_> = listed.hosts.iter().filter(new).cloned().collect();
                    list(listed.seq, false, &hosts)
                }
                None => {
                    let hosts: Vec<_> =
                        listed.hosts.iter().filter(|host| host.health != "gone").cloned().collect();
                    list(listed.seq, true, &hosts)
                }
            };
            drop(listed);
            sleep_ms(self.slow_ms.load(Ordering::SeqCst));
            let seen: String = text.chars().take(34).collect();
            if conn.send(&plain("200 OK", "Content-Type: application/json\r\n", &text)).is_err() {
                return;
            }
            self.record.note(format!("discovery {}: GET {target} answered {seen}", self.name));
        }
    }

    /// Changes the health of a host, or adds it.
    pub fn change(&self, host: Host) {
        let mut listed = self.listed.lock().unwrap();
        listed.seq += 1;
        let seq = listed.seq;
        listed.changed.insert(host.name.clone(), seq);
        self.record.note(format!("discovery {}: version {seq}: {} is {}", self.name, host.name, host.health));
        match listed.hosts.iter_mut().find(|known| known.name == host.name) {
            Some(known) => *known = host,
            None => listed.hosts.push(host),
        }
        self.news.notify_all();
    }
}

/// One attempt as a model server received it.
#[derive(Clone)]
pub struct Attempt {
    pub at_ms: f64,
    pub worker: String,
    pub id: String,
}

/// What all model servers share: the record, the states that wait, what was received.
pub struct Fleet {
    pub record: Arc<Record>,
    pub states: Mutex<BTreeMap<String, String>>,
    pub attempts: Mutex<Vec<Attempt>>,
    pub names: &'static Names,
}

impl Fleet {
    pub fn new(record: &Arc<Record>, names: &'static Names) -> Arc<Fleet> {
        Arc::new(Fleet {
            record: record.clone(),
            states: Mutex::default(),
            attempts: Mutex::default(),
            names,
        })
    }
}

/// The pace of a model server.
#[derive(Clone)]
pub struct Pace {
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    pub token_ms: u64,
    /// Events of an answer.
    pub events: usize,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { read_per_s: 20000.0, token_ms: 20, events: 6 }
    }
}

/// What a server does besides serving. Each is asked with the request's id.
#[derive(Clone, Default)]
pub struct Manners {
    /// Whether the answer is spoilt: comment lines without end in place of its first event.
    pub endless: Option<Arc<dyn Fn(&str) -> bool + Send + Sync>>,
    /// The event with this number comes as a chunk with this size line.
    pub spoil: Option<Arc<dyn Fn(&str) -> Option<(usize, String)> + Send + Sync>>,
}

#[derive(Clone)]
pub struct Worker {
    pub host: Host,
    pub fleet: Arc<Fleet>,
    pub pace: Pace,
    pub manners: Manners,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn event(id: &str, row: usize, last: bool) -> String {
    let reason = if last { "\"stop\"" } else { "null" };
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id}.{row} \"}},\"finish_reason\":{reason}}}]}}\n\n")
}

fn ending(prompt: usize, tokens: usize, report: &str) -> String {
    let report = if report.is_empty() { String::new() } else { format!(": Srv-Load: {report}\n\n") };
    format!(
        "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{tokens},\
         \"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\ndata: [DONE]\n\n{report}"
    )
}

impl Worker {
    /// Starts a model server; `kind` is `prefill`, `decode` or `combined`.
    pub fn start(
        fleet: &Arc<Fleet>,
        name: &str,
        kind: &'static str,
        zone: usize,
        pace: Pace,
        manners: Manners,
    ) -> Host {
        let (socket, dial) = listener();
        let host = Host {
            name: name.into(),
            dial,
            zone,
            kind,
            names: fleet.names,
            block: zone,
            health: "ready",
            born_ms: 0,
        };
        let worker = Worker { host: host.clone(), fleet: fleet.clone(), pace, manners };
        std::thread::spawn(move || worker.accept(socket));
        host
    }

    fn accept(self, socket: TcpListener) {
        for stream in socket.incoming().flatten() {
            let worker = self.clone();
            std::thread::spawn(move || {
                let _ = worker.serve(stream);
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut conn = Conn::new(stream);
        loop {
            let request = conn.message()?;
            let id = request.field("req-id").unwrap_or("").to_owned();
            let target = request.target().to_owned();
            match (request.method(), target.as_str()) {
                ("GET", "/_load") if self.report().is_empty() => {
                    conn.send(&plain("200 OK", "", "TEXT inflight=3, queue=0, x0=0.10, x1=0.5"))?
                }
                ("GET", "/_load") => conn.send(&plain("200 OK", "", self.report()))?,
                ("GET", "/ping") => conn.send(&plain("200 OK", "", ""))?,
                ("DELETE", path) => {
                    let id = path.rsplit('/').next().unwrap_or("");
                    self.fleet.states.lock().unwrap().remove(id);
                    self.fleet.record.note(format!("server {}: release of {id}", self.host.name));
                    conn.send("HTTP/1.1 204 No Content\r\n\r\n")?;
                }
                ("POST", "/v1/chat/completions") => self.complete(&mut conn, &id, request.body.len() / 4)?,
                _ => conn.send(&plain("404 Not Found", "", ""))?,
            }
        }
    }

    /// Whether a server that writes reads a prompt itself.
    fn self_prefill(&self) -> bool {
        self.host.names.tenant.is_some()
    }

    /// The load report of an answer, where answers carry one.
    fn report(&self) -> &'static str {
        if self.host.names.report.contains("answers") {
            "TEXT util=0.20, queue=0, x0=0.10"
        } else {
            ""
        }
    }

    fn arrived(&self, id: &str, ran: bool) {
        let record = &self.fleet.record;
        let name = &self.host.name;
        record.note(format!("server {name}: request {id} arrived{}", if ran { " and runs" } else { "" }));
        let attempt = Attempt { at_ms: record.now_ms(), worker: name.clone(), id: id.into() };
        self.fleet.attempts.lock().unwrap().push(attempt);
    }

    /// Writes comment lines at full speed until the router closes the connection.
    fn comment_on(&self, conn: &mut Conn, id: &str) -> std::io::Result<()> {
        let (record, name) = (&self.fleet.record, &self.host.name);
        record.note(format!("server {name}: the answer of {id} is comment lines without end"));
        let part = chunk(":\n").repeat(8192);
        let (mut written, started) = (0u64, std::time::Instant::now());
        let ended = loop {
            match conn.send(&part) {
                Ok(()) => written += part.len() as u64,
                Err(cause) => break cause,
            }
        };
        let (took_s, mb) = (started.elapsed().as_secs_f64(), written / 1_000_000);
        record.note(format!("server {name}: {id} ended after {took_s:.1} s and {mb} MB: {ended}"));
        Err(ended)
    }

    fn complete(&self, conn: &mut Conn, id: &str, prompt: usize) -> std::io::Result<()> {
        let read_ms = (prompt as f64 / self.pace.read_per_s * 1e3) as u64 + 5;
        if self.host.kind == "prefill" {
            self.arrived(id, false);
            sleep_ms(read_ms);
            self.fleet.states.lock().unwrap().insert(id.into(), self.host.name.clone());
            let report = match self.report() {
                "" => String::new(),
                report => format!("Srv-Load: {report}\r\n"),
            };
            return conn.send(&plain("202 Accepted", &report, "{\"cached_tokens\":0}"));
        }
        let state = self.fleet.states.lock().unwrap().remove(id);
        if state.is_none() && self.host.kind == "decode" && !self.self_prefill() {
            self.arrived(id, false);
            return conn.send(&plain("410 Gone", "Srv-Declined: 1\r\n", ""));
        }
        self.arrived(id, true);
        sleep_ms(if state.is_some() { 5 } else { read_ms });
        conn.send(HEAD)?;
        if self.manners.endless.as_ref().is_some_and(|endless| endless(id)) {
            return self.comment_on(conn, id);
        }
        let spoilt = self.manners.spoil.as_ref().and_then(|spoil| spoil(id));
        for row in 0..self.pace.events {
            let mut part = chunk(&event(id, row, row + 1 == self.pace.events));
            if let Some((_, size)) = spoilt.as_ref().filter(|(at, _)| *at == row) {
                self.fleet
                    .record
                    .note(format!("server {}: a chunk of {id} has the size '{size}'", self.host.name));
                part = format!("{size}{}", part.trim_start_matches(|digit: char| digit.is_ascii_hexdigit()));
            }
            let sent = conn.send(&part);
            if let Err(cause) = sent {
                self.fleet
                    .record
                    .note(format!("server {}: {id} cut off before part {row}: {cause}", self.host.name));
                return Err(cause);
            }
            sleep_ms(self.pace.token_ms);
        }
        let end = format!("{}0\r\n\r\n", chunk(&ending(prompt, self.pace.events, self.report())));
        conn.send(&end)?;
        self.fleet.record.note(format!("server {}: answer of {id} written to its end", self.host.name));
        if spoilt.is_some() {
            // The connection stays open and is of no further use.
            while conn.fill().is_ok() {}
            return Ok(());
        }
        Ok(())
    }
}
