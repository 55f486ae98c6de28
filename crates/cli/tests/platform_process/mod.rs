//! Starts a router process on the operators' platform with a blocking fake model server and a fake discovery
//! service.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const FIRST_EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n";
const LAST_EVENTS: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,\
    \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";

/// Reads one request and returns its `Req-Id`; `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("Req-Id: ") {
            id = value.to_owned();
        }
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(id)
}

/// A request whose id has this prefix gets a first event and then nothing.
pub const HANGING: &str = "hangs";
/// A request whose id has this prefix gets an event every [`EVENT_INTERVAL`] for a minute.
pub const TRICKLING: &str = "drips";
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// A request whose id has this prefix gets a first event, and the rest of the stream after
/// [`SLOW_ANSWER_TIME`].
pub const SLOW: &str = "lasts";
pub const SLOW_ANSWER_TIME: Duration = Duration::from_millis(1000);

/// A model server that chooses its answer by the request's id and sends the ids that arrive to `seen`.
fn start_server(seen: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen) = (stream.unwrap(), seen.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(id) = read_request(&mut reader) {
                    if seen.send(id.clone()).is_err() {
                        return;
                    }
                    if answer_by_id(&mut stream, &id).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn answer_by_id(stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
    let event = |event: &str| format!("{:x}\r\n{event}\r\n", event.len());
    if id.starts_with(TRICKLING) {
        stream.write_all(RESPONSE_HEAD.as_bytes())?;
        for _ in 0..600 {
            stream.write_all(event(FIRST_EVENT).as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
    }
    if id.starts_with(HANGING) || id.starts_with(SLOW) {
        stream.write_all(format!("{RESPONSE_HEAD}{}", event(FIRST_EVENT)).as_bytes())?;
        if id.starts_with(HANGING) {
            thread::sleep(Duration::from_secs(60));
        }
        thread::sleep(SLOW_ANSWER_TIME);
        return stream.write_all(format!("{}0\r\n\r\n", event(LAST_EVENTS)).as_bytes());
    }
    stream.write_all(format!("{RESPONSE_HEAD}{}0\r\n\r\n", event(LAST_EVENTS)).as_bytes())
}

/// A discovery service that always answers with the same list of one server.
fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, list) = (stream.unwrap(), list.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                    if line.starts_with("GET ") && line.contains("hold_ms") {
                        // A long poll: the list does not change, so hold the answer.
                        thread::sleep(Duration::from_secs(2));
                    }
                    if line == "\r\n" {
                        let length = list.len();
                        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}");
                        if stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// A router process that is killed when this value is dropped.
pub struct Router {
    pub process: Child,
    pub listen: SocketAddr,
    /// Ids of the requests that reached the model server.
    pub seen: Receiver<String>,
    _dir: tempfile::TempDir,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Router {
    pub fn start(host: &str) -> Router {
        Router::start_with(host, 20.0, "error", Stdio::inherit())
    }

    /// Starts a router with the given deadline (in s) of its only request class, log level and log output.
    pub fn start_with(host: &str, deadline_s: f64, level: &str, log: Stdio) -> Router {
        let (sender, seen) = channel();
        let server = start_server(sender);
        let list = format!(
            r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s-1","dial":"{server}","site":"a","class":"combined",
               "block":0,"health":"ready","share":1.0,"born_ms":0}}]}}"#
        );
        let discovery = start_discovery(list.clone());
        // A port that was free a moment ago, on a loopback address that no other test uses.
        let listen = TcpListener::bind((host, 0)).unwrap().local_addr().unwrap();
        let slo_s = deadline_s * 0.45;
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{list},
            "settings":{{"balancers":1,"slot_no":0,"my_zone":"a","localities":["a"],
            "machine_types":["combined"],
            "services":[{{"name":"chat","slo_s":{slo_s},"deadline_s":{deadline_s},"idempotency":"repeatable",
            "dedup_scope":"all",
            "window_s":5.0,"importance":1.0}}],"tenants":[],
            "caps":{{"cancel":false,"second_copies":true,"retry_after":true,"max_retry_after_s":0.5,
            "max_attempts":5,
            "conn_idle_s":30.0,"connect_timeout_s":0.25,"probes":false}},
            "family_info":{{"aim_us_per_1000_prompt_tokens":[0.0],"holds_allowed":true,"kv_tokens":[200000.0],
            "pin_limit_s":0.5,"role_by_kind":["both"],"self_prefill":true}},
            "invariants":{{"cold_s":12.0,"cold_share":0.3,"fall_multiple":2.5,"fall_s":2.0}},
            "resolution_s":0.002}}}}"#
        );
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, config).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
            .args(["--log", level, "platform"])
            .env("EDGE_CONFIG", &file)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let router = Router { process, listen, seen, _dir: dir };
        router.until_ready();
        router
    }

    fn until_ready(&self) {
        for _ in 0..2000 {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let request = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                stream.write_all(request.as_bytes()).unwrap();
                let mut answer = String::new();
                if stream.read_to_string(&mut answer).is_ok() && answer.starts_with("HTTP/1.1 200 ") {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the router did not become ready");
    }

    /// Sends the signal of this name to the process.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.process.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Sends SIGSTOP and waits until the process is stopped.
    pub fn pause(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            thread::yield_now();
        }
    }

    /// Opens a new client connection.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream
    }

    /// Sends one request on a persistent connection and returns its answer.
    pub fn exchange(&self, stream: &mut TcpStream, id: &str) -> String {
        stream.write_all(request(id).as_bytes()).unwrap();
        read_answer(stream)
    }
}

/// A request with a deadline of 15 s.
pub fn request(id: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: chat\r\n\
         Req-Deadline: 15.0\r\nContent-Length: 2\r\n\r\n{{}}"
    )
}

/// Reads until the end of one answer or of the connection.
pub fn read_answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.ends_with("0\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => text += std::str::from_utf8(&buffer[..read]).unwrap(),
            Err(error) => panic!("after '{text}': {error}"),
        }
    }
    text
}

/// Whether the text is a complete successful stream.
pub fn is_complete_answer(text: &str) -> bool {
    text.starts_with("HTTP/1.1 200 ") && text.ends_with("0\r\n\r\n")
}
