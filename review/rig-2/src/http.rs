//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

pub struct Message {
    /// Method and target, or version and status.
    pub first: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.head, name)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub bytes: Vec<u8>,
}

fn ended() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "the connection ended")
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, bytes: Vec::new() }
    }

    pub fn fill(&mut self) -> Result<()> {
        let mut part = [0; 16384];
        match self.stream.read(&mut part)? {
            0 => Err(ended()),
            count => {
                self.bytes.extend_from_slice(&part[..count]);
                Ok(())
            }
        }
    }

    pub fn head(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
                self.bytes.drain(..end + 4);
                return Ok(head);
            }
            self.fill()?;
        }
    }

    pub fn exact(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.bytes.len() < count {
            self.fill()?;
        }
        Ok(self.bytes.drain(..count).collect())
    }

    /// One chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| Error::new(ErrorKind::InvalidData, "no chunk size"))?;
                self.bytes.drain(..end + 2);
                let mut data = self.exact(size + 2)?;
                data.truncate(size);
                return Ok(data);
            }
            self.fill()?;
        }
    }

    /// A whole message with a length or without a body; chunked bodies are left unread.
    pub fn message(&mut self) -> Result<Message> {
        let head = self.head()?;
        let length = field(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = self.exact(length)?;
        let first = head.lines().next().unwrap_or("").to_owned();
        Ok(Message { first, head, body })
    }

    pub fn send(&mut self, text: &str) -> Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

pub fn plain(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
