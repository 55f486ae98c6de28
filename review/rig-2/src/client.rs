//! Clients of the routers.

use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::platform::Names;

pub struct Prompt<'a> {
    pub names: &'static Names,
    pub id: &'a str,
    pub session: &'a str,
    pub deadline_s: f64,
    pub tokens: usize,
}

/// What a client got for one request.
#[derive(Debug, Default, Clone)]
pub struct Got {
    /// 0 where the connection ended without an answer.
    pub status: u16,
    pub events: Vec<String>,
    /// The answer came to its last byte.
    pub whole: bool,
    /// From the last byte of the request to the head of the answer, or to the connection's end.
    pub head_ms: f64,
    pub took_ms: f64,
}

pub fn request(prompt: &Prompt) -> String {
    let text = "x".repeat((prompt.tokens * 4).saturating_sub(90));
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":200,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    let owner = prompt.names.tenant.map_or(String::new(), |tenant| format!("Req-Owner: {tenant}\r\n"));
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Kind: {}\r\n\
         {owner}Req-Key: {}\r\nReq-Deadline: {:.3}\r\n\
         Req-Extra: prompt_len={},max_out=200\r\nContent-Length: {}\r\n\r\n{body}",
        prompt.id,
        prompt.names.class,
        prompt.session,
        prompt.deadline_s,
        prompt.tokens,
        body.len()
    )
}

fn answer(conn: &mut Conn, got: &mut Got) -> Result<()> {
    let sent = Instant::now();
    let head = conn.head();
    got.head_ms = sent.elapsed().as_secs_f64() * 1e3;
    let head = head?;
    got.status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    if crate::http::field(&head, "transfer-encoding").is_some() {
        loop {
            let part = conn.chunk()?;
            if part.is_empty() {
                break;
            }
            got.events.push(String::from_utf8_lossy(&part).into_owned());
        }
    } else {
        let length =
            crate::http::field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        conn.exact(length)?;
    }
    got.whole = true;
    Ok(())
}

/// A client with one connection at a time, kept between requests.
pub struct Client {
    pub router: SocketAddr,
    conn: Option<Conn>,
}

impl Client {
    pub fn new(router: SocketAddr) -> Client {
        Client { router, conn: None }
    }

    /// Sends one request and reads its answer. Waits for 3 s beyond the deadline at most between two parts.
    pub fn ask(&mut self, prompt: &Prompt) -> Got {
        let started = Instant::now();
        let text = request(prompt);
        let mut got = Got::default();
        for _ in 0..2 {
            let kept = self.conn.is_some();
            let conn = match self.conn.take() {
                Some(conn) => Some(conn),
                None => TcpStream::connect(self.router).ok().map(Conn::new),
            };
            let Some(mut conn) = conn else { break };
            let wait = Duration::from_secs_f64(prompt.deadline_s + 3.0);
            let _ = conn.stream.set_read_timeout(Some(wait));
            got = Got::default();
            let sent = conn.send(&text);
            let read = sent.and_then(|()| answer(&mut conn, &mut got));
            // A kept connection that the router closed meanwhile: once more on a new one.
            if kept && read.is_err() && got.status == 0 && started.elapsed() < Duration::from_millis(500) {
                continue;
            }
            if read.is_ok() {
                self.conn = Some(conn);
            }
            break;
        }
        got.took_ms = started.elapsed().as_secs_f64() * 1e3;
        got
    }
}
