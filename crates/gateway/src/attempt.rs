//! One attempt: a task that sends a request to a server and tells the core how it ended.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use paddleproxy::interface::LoadReport;
use paddleproxy_platform::head::{AnswerHead, Framing};
use paddleproxy_platform::request::refusal;
use paddleproxy_platform::{Chunks, Events, BODY_BYTES};
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_routing::{OutgoingDispatch, SocketEnd, Stage, StallDetector, Withdrawal, WriteCheck};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};

use crate::limits::{DRAIN_MS, PIECES, SILENT_MS};
use crate::messages::{AttemptCommand, AttemptEnd, ClientRequest, CoreEvent, CoreSender, StreamPart};
use crate::pool::{Connection, Pool};
use crate::servers::ServerDirectory;

pub struct Attempt {
    pub sending: OutgoingDispatch,
    pub address: Option<SocketAddr>,
    pub request: Rc<ClientRequest>,
    pub fleet: Rc<RefCell<ServerDirectory>>,
    pub words: mpsc::Receiver<AttemptCommand>,
    pub pool: Rc<Pool>,
    pub clock: Clock,
    pub core: CoreSender,
    /// What it has learnt so far.
    pub kept_tokens: f64,
    pub load: Option<LoadReport>,
}

/// What is left of an answer that need not be waited for.
type Rest = Option<(Connection, Framing)>;

impl Attempt {
    pub async fn run(mut self) {
        let sent = Instant::now();
        let (completion, seq) = (self.sending.completion, self.sending.seq);
        let (end, rest) = match self.carry(sent).await {
            Ok((end, rest)) => (end, rest),
            Err(end) => (end, None),
        };
        let took_ms = sent.elapsed().as_secs_f64() * 1e3;
        let end = AttemptEnd { end, kept_tokens: self.kept_tokens, load: self.load };
        // The core outlives its attempts; if it does not, nobody is left to be told.
        let _ = self.core.send(CoreEvent::Ended { completion, seq, took_ms, end }).await;
        if let Some((mut connection, framing)) = rest {
            let read = timeout(duration(DRAIN_MS), connection.body(framing)).await;
            if matches!(read, Ok(Ok(_))) {
                self.pool.keep(connection);
            }
        }
    }

    async fn carry(&mut self, sent: Instant) -> Result<(SocketEnd, Rest), SocketEnd> {
        let address = self.address.ok_or(SocketEnd::NoAddress)?;
        let until = self.clock.at(self.sending.until_ms);
        let (pool, request) = (self.pool.clone(), self.request.clone());
        let write_by = self.clock.at(self.sending.write_by_ms.min(self.sending.repeat_by_ms));
        let check = self.write_check(address);
        let exchange = async move {
            let written = async {
                let mut connection = pool.take(address).await?;
                loop {
                    // Lets the sockets be looked at: the client's end, or a list, may have come meanwhile.
                    tokio::task::yield_now().await;
                    let head = head(&request, check().time_left_ms().map_err(SocketEnd::Withdrawn)?);
                    if connection.write(&[head.as_bytes(), &request.body]).await.is_ok() {
                        return Ok(connection);
                    }
                    // No worker begins a request that has not come whole.
                    if connection.rested_ms.is_none() {
                        return Err(SocketEnd::NeverWritten);
                    }
                    connection = pool.connect(address).await?;
                }
            };
            // Biased: a connection that is at hand is taken, however late it is.
            let mut connection = tokio::select! {
                biased;
                () = request.client.left() => return Err(SocketEnd::Withdrawn(Withdrawal::ClientGone)),
                written = written => written?,
                () = sleep_until(write_by) => return Err(SocketEnd::ConnectTimedOut),
            };
            let head = pool.head(&mut connection).await?;
            Ok((connection, head))
        };
        let (connection, head) = tokio::select! {
            biased;
            _ = self.words.recv() => return Err(SocketEnd::Stopped),
            answered = exchange => answered?,
            () = sleep_until(until) => return Err(SocketEnd::TimedOut),
        };
        self.load = head.load;
        if let Some(end) = refusal(head.status, head.declined) {
            let rest = head.stays().then_some((connection, head.framing));
            return Ok((end, rest));
        }
        match (head.status, self.sending.stage) {
            (202, Stage::Read) => self.read(connection, head, until).await,
            (202, _) => Err(SocketEnd::Nonsense("a read where an answer was asked for".into())),
            _ => self.answer(connection, head, until, sent).await,
        }
    }

    /// What has to hold at the write itself.
    fn write_check(&self, address: SocketAddr) -> impl Fn() -> WriteCheck {
        let (fleet, clock, client) = (self.fleet.clone(), self.clock, self.request.client.clone());
        let OutgoingDispatch { until_ms, repeat_by_ms, .. } = self.sending;
        let worker = self.sending.worker.clone();
        move || WriteCheck {
            now_ms: clock.now_ms(),
            until_ms,
            repeat_by_ms,
            server_ready: fleet.borrow().is_ready(&worker, address),
            client_gone: client.is_gone(),
        }
    }

    async fn read(
        &mut self,
        mut connection: Connection,
        head: AnswerHead,
        until: Instant,
    ) -> Result<(SocketEnd, Rest), SocketEnd> {
        let body = tokio::select! {
            biased;
            _ = self.words.recv() => return Err(SocketEnd::Stopped),
            body = connection.body(head.framing) => body?,
            () = sleep_until(until) => return Err(SocketEnd::TimedOut),
        };
        self.kept_tokens = paddleproxy_platform::events::read_kept(&body).unwrap_or(0.0);
        if head.stays() {
            self.pool.keep(connection);
        }
        Ok((SocketEnd::ReadDone, None))
    }

    async fn answer(
        &mut self,
        mut connection: Connection,
        head: AnswerHead,
        until: Instant,
        sent: Instant,
    ) -> Result<(SocketEnd, Rest), SocketEnd> {
        if head.framing != Framing::Chunked {
            return Err(SocketEnd::Nonsense("a stream that is not in chunks".into()));
        }
        let (mut chunks, mut events) = (Chunks::new(BODY_BYTES), Events::default());
        let mut stream: Option<(mpsc::Sender<StreamPart>, StallDetector)> = None;
        loop {
            let done = chunks
                .take(&mut connection.bytes, events.buffer())
                .map_err(|why| SocketEnd::Nonsense(why.to_string()))?;
            let whole = events.take().map_err(|why| SocketEnd::Nonsense(why.0.into()))?;
            (self.kept_tokens, self.load) = (events.kept_tokens, events.load.or(self.load));
            if done && !events.complete() {
                return Err(SocketEnd::Nonsense("the stream ends within an event".into()));
            }
            let first = stream.is_none();
            if first && events.events > 0 {
                let granted = self.begin(sent).await?;
                stream = Some((granted, StallDetector::new(self.clock.now_ms(), SILENT_MS)));
            }
            if let Some((pieces, pace)) = stream.as_mut().filter(|_| !whole.is_empty()) {
                // What the client takes its time for is not the worker's silence.
                let sent = tokio::select! {
                    biased;
                    _ = self.words.recv() => return Err(SocketEnd::Stopped),
                    sent = pieces.send(StreamPart::Events(whole)) => sent,
                };
                sent.map_err(|_| SocketEnd::Stopped)?;
                // The first event has begun the pace and is no gap.
                if !first {
                    pace.record_event(self.clock.now_ms());
                }
            }
            if done {
                if let Some((pieces, _)) = stream {
                    let _ = pieces.send(StreamPart::End).await;
                }
                if head.stays() {
                    self.pool.keep(connection);
                }
                return Ok((SocketEnd::AnswerDone, None));
            }
            let limit = stream.as_ref().map_or(until, |(_, pace)| self.clock.at(pace.deadline_ms()));
            let read = tokio::select! {
                biased;
                _ = self.words.recv() => return Err(SocketEnd::Stopped),
                read = connection.read() => read,
                () = sleep_until(limit) => {
                    // A router that stood still itself has only not looked: the runtime is to see what has come.
                    if connection.has_unread() {
                        tokio::task::yield_now().await;
                        continue;
                    }
                    return Err(if stream.is_some() { SocketEnd::Stalled } else { SocketEnd::TimedOut });
                }
            };
            if !matches!(read, Ok(true)) {
                let began = stream.is_some();
                return Err(if began { SocketEnd::BrokeAfterFirst } else { SocketEnd::BrokeWithinAnswer });
            }
        }
    }

    /// Asks the core whether this stream is the answer.
    async fn begin(&mut self, sent: Instant) -> Result<mpsc::Sender<StreamPart>, SocketEnd> {
        let (completion, seq) = (self.sending.completion, self.sending.seq);
        let took_ms = sent.elapsed().as_secs_f64() * 1e3;
        let _ = self.core.send(CoreEvent::Began { completion, seq, took_ms }).await;
        match self.words.recv().await {
            Some(AttemptCommand::Grant(pieces)) => Ok(pieces),
            Some(AttemptCommand::Stop) | None => Err(SocketEnd::Stopped),
        }
    }
}

/// Where a granted stream goes, and where its client takes it from.
pub fn pieces() -> (mpsc::Sender<StreamPart>, mpsc::Receiver<StreamPart>) {
    mpsc::channel(PIECES)
}

/// The head of an attempt; `left_ms` is how long we shall still wait.
fn head(request: &ClientRequest, left_ms: f64) -> String {
    let ClientRequest { id, method, target, idempotency_key, body, .. } = request;
    let key = idempotency_key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let wait_s = left_ms / 1e3;
    format!(
        "{method} {target} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Deadline: {wait_s:.3}\r\n{key}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
}

#[cfg(test)]
mod tests;
