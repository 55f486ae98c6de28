//! A router process on the operators' platform between blocking stand-ins: one model server, one discovery.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const FIRST_EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n";
const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,\
    \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";

/// Reads one request with a body of two bytes, or none; the id that it bears.
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
        if let Some(said) = line.strip_prefix("Req-Id: ") {
            id = said.to_owned();
        }
        if let Some(said) = line.strip_prefix("Content-Length: ") {
            length = said.parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(id)
}

/// Requests whose ids begin so get a first event and then nothing; or an event each [`DRIP`] for a minute; or the rest of
/// the stream only after [`LASTS`].
pub const HANGS: &str = "hangs";
pub const DRIPS: &str = "drips";
const DRIP: Duration = Duration::from_millis(100);
pub const LASTING: &str = "lasts";
/// How long the stream of a lasting answer takes.
pub const LASTS: Duration = Duration::from_millis(1000);

/// A model server that answers by the request's id and says which requests came.
fn server(seen: Sender<String>) -> SocketAddr {
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
    if id.starts_with(DRIPS) {
        stream.write_all(ANSWER.as_bytes())?;
        for _ in 0..600 {
            stream.write_all(event(FIRST_EVENT).as_bytes())?;
            thread::sleep(DRIP);
        }
    }
    if id.starts_with(HANGS) || id.starts_with(LASTING) {
        stream.write_all(format!("{ANSWER}{}", event(FIRST_EVENT)).as_bytes())?;
        if id.starts_with(HANGS) {
            thread::sleep(Duration::from_secs(60));
        }
        thread::sleep(LASTS);
        return stream.write_all(format!("{}0\r\n\r\n", event(EVENT)).as_bytes());
    }
    stream.write_all(format!("{ANSWER}{}0\r\n\r\n", event(EVENT)).as_bytes())
}

/// A discovery that names one server, and has nothing new ever after.
fn discovery(list: String) -> SocketAddr {
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
                        // A watch without news.
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

/// A router process that this test started; ended with it, whatever happens.
pub struct Router {
    pub process: Child,
    pub listen: SocketAddr,
    /// Ids of the requests that reached the server.
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

    /// With the deadline of its only class in s, with so much logged, and where to.
    pub fn start_with(host: &str, deadline_s: f64, level: &str, log: Stdio) -> Router {
        let (sender, seen) = channel();
        let server = server(sender);
        let list = format!(
            r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s-1","dial":"{server}","site":"a","class":"combined",
               "block":0,"health":"ready","share":1.0,"born_ms":0}}]}}"#
        );
        let discovery = discovery(list.clone());
        // Free a moment ago, on an address of the loopback range that nobody else listens on.
        let listen = TcpListener::bind((host, 0)).unwrap().local_addr().unwrap();
        let slo_s = deadline_s * 0.45;
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{list},
            "settings":{{"balancers":1,"slot_no":0,"my_zone":"a","localities":["a"],"machine_types":["combined"],
            "services":[{{"name":"chat","slo_s":{slo_s},"deadline_s":{deadline_s},"idempotency":"repeatable","dedup_scope":"all",
            "window_s":5.0,"importance":1.0}}],"tenants":[],
            "caps":{{"cancel":false,"second_copies":true,"retry_after":true,"max_retry_after_s":0.5,"max_attempts":5,
            "conn_idle_s":30.0,"connect_timeout_s":0.25,"probes":false}},
            "family_info":{{"aim_us_per_1000_prompt_tokens":[0.0],"holds_allowed":true,"kv_tokens":[200000.0],
            "pin_limit_s":0.5,"role_by_kind":["both"],"self_prefill":true}},
            "invariants":{{"cold_s":12.0,"cold_share":0.3,"fall_multiple":2.5,"fall_s":2.0}},"resolution_s":0.002}}}}"#
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
                let ask = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                stream.write_all(ask.as_bytes()).unwrap();
                let mut answer = String::new();
                if stream.read_to_string(&mut answer).is_ok() && answer.starts_with("HTTP/1.1 200 ") {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the router is never ready");
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.process.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Stopped by the system: the signal acts before the next line.
    pub fn stop(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            thread::yield_now();
        }
    }

    /// A new connection of a client.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream
    }

    /// One request and its answer on a connection that stays.
    pub fn ask(&self, stream: &mut TcpStream, id: &str) -> String {
        stream.write_all(request(id).as_bytes()).unwrap();
        answer(stream)
    }
}

/// A request with 15 s for its answer.
pub fn request(id: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: chat\r\nReq-Deadline: 15.0\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

/// Reads to the end of one answer or of the connection.
pub fn answer(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut part = [0; 1024];
    while !text.ends_with("0\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(read) => text += std::str::from_utf8(&part[..read]).unwrap(),
            Err(cause) => panic!("after '{text}': {cause}"),
        }
    }
    text
}

/// Whether it is a whole stream.
pub fn served(text: &str) -> bool {
    text.starts_with("HTTP/1.1 200 ") && text.ends_with("0\r\n\r\n")
}
