//! A router process on the operators' platform that is stopped and let go on by the system, while clients, a server and
//! signals go on: all that happened meanwhile is there at once when it runs again.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
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

/// A model server that answers everything and says which requests came.
fn server(seen: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen) = (stream.unwrap(), seen.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(id) = read_request(&mut reader) {
                    if seen.send(id).is_err() {
                        return;
                    }
                    let answer = format!("{ANSWER}{:x}\r\n{EVENT}\r\n0\r\n\r\n", EVENT.len());
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
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
struct Router {
    process: Child,
    listen: SocketAddr,
    seen: Receiver<String>,
    _dir: tempfile::TempDir,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Router {
    fn start(host: &str) -> Router {
        Router::start_with(host, "error", Stdio::inherit())
    }

    /// With so much logged, and where to.
    fn start_with(host: &str, level: &str, log: Stdio) -> Router {
        let (sender, seen) = channel();
        let server = server(sender);
        let list = format!(
            r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s-1","dial":"{server}","site":"a","class":"combined",
               "block":0,"health":"ready","share":1.0,"born_ms":0}}]}}"#
        );
        let discovery = discovery(list.clone());
        // Free a moment ago, on an address of the loopback range that nobody else listens on.
        let listen = TcpListener::bind((host, 0)).unwrap().local_addr().unwrap();
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{list},
            "settings":{{"balancers":1,"slot_no":0,"my_zone":"a","localities":["a"],"machine_types":["combined"],
            "services":[{{"name":"chat","slo_s":9.0,"deadline_s":20.0,"idempotency":"repeatable","dedup_scope":"all",
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

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.process.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Stopped by the system: the signal acts before the next line.
    fn stop(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.process.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            thread::yield_now();
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        stream
    }

    /// One request and its answer on a connection that stays.
    fn ask(&self, stream: &mut TcpStream, id: &str) -> String {
        stream.write_all(request(id).as_bytes()).unwrap();
        answer(stream)
    }
}

fn request(id: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: chat\r\nReq-Deadline: 15.0\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    )
}

/// Reads to the end of one answer or of the connection.
fn answer(stream: &mut TcpStream) -> String {
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

fn served(text: &str) -> bool {
    text.starts_with("HTTP/1.1 200 ") && text.ends_with("0\r\n\r\n")
}

/// The client sent its request and closed while the router stood still for longer than the rules allow an attempt to begin
/// after it.
#[test]
fn who_came_and_went_while_the_router_stood_still_is_not_served() {
    let router = Router::start("127.0.83.1");
    let mut kept = router.connect();
    assert!(served(&router.ask(&mut kept, "a1")));
    router.stop();
    let mut fresh = router.connect();
    for (stream, id) in [(&mut kept, "gone-1"), (&mut fresh, "gone-2")] {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    drop((kept, fresh));
    router.signal("CONT");
    let mut after = router.connect();
    assert!(served(&router.ask(&mut after, "a2")));
    drop(after);
    let seen: Vec<_> = router.seen.try_iter().collect();
    assert_eq!(seen, ["a1", "a2"]);
}

/// Two words to stop, a new configuration, a request on a resting connection and one on a new connection, all while the
/// router stood still: both requests are answered and the process ends by itself.
#[test]
fn signals_and_requests_that_came_together_lose_nothing() {
    let mut router = Router::start("127.0.83.2");
    let mut kept = router.connect();
    assert!(served(&router.ask(&mut kept, "a1")));
    router.stop();
    for name in ["TERM", "HUP", "TERM"] {
        router.signal(name);
    }
    let mut fresh = router.connect();
    for (stream, id) in [(&mut kept, "a2"), (&mut fresh, "a3")] {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    router.signal("CONT");
    assert!(served(&answer(&mut kept)), "on the resting connection");
    assert!(served(&answer(&mut fresh)), "on the new connection");
    let mut rest = Vec::new();
    assert_eq!(kept.read_to_end(&mut rest).expect("an end, no reset"), 0);
    assert!(router.process.wait().unwrap().success(), "it ends by itself");
}

/// A log on a disk that is full costs lines of the log and nothing else.
#[test]
fn a_router_whose_log_can_not_be_written_serves_and_ends_well() {
    let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
    let mut router = Router::start_with("127.0.83.3", "debug", full.into());
    let mut kept = router.connect();
    assert!(served(&router.ask(&mut kept, "a1")));
    router.signal("HUP");
    assert!(served(&router.ask(&mut kept, "a2")));
    router.signal("TERM");
    assert!(router.process.wait().unwrap().success(), "it ends by itself");
}
