//! One attempt: a task that sends a request to a server, forwards the answer, and reports to the core how the
//! attempt ended.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use paddleproxy::interface::LoadReport;
use paddleproxy_platform::head::{Framing, ResponseHead};
use paddleproxy_platform::request::refusal;
use paddleproxy_router::clock::{duration, Clock};
use paddleproxy_routing::{OutgoingDispatch, SocketEnd, Stage, StallDetector, Withdrawal, WriteCheck};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};

use crate::incoming_answer::{GrantedStream, IncomingAnswer};
use crate::limits::{REJECTION_BODY_TIMEOUT_MS, STREAM_IDLE_TIMEOUT_MS, STREAM_QUEUE_PARTS};
use crate::messages::{AttemptCommand, AttemptEnd, ClientRequest, CoreEvent, CoreSender, StreamPart};
use crate::pool::{Connection, Pool};
use crate::servers::ServerDirectory;

pub struct Attempt {
    pub sending: OutgoingDispatch,
    pub address: Option<SocketAddr>,
    pub request: Rc<ClientRequest>,
    pub directory: Rc<RefCell<ServerDirectory>>,
    pub commands: mpsc::Receiver<AttemptCommand>,
    pub pool: Rc<Pool>,
    pub clock: Clock,
    pub core: CoreSender,
    /// Reported by the server so far.
    pub cached_tokens: f64,
    pub load: Option<LoadReport>,
}

/// A connection with an unread body at the time when the attempt's result is known. The body is drained after
/// the result is reported, so that the connection can be reused.
type UnreadBody = Option<(Connection, Framing)>;

impl Attempt {
    pub async fn run(mut self) {
        let started = Instant::now();
        let (completion, seq) = (self.sending.completion, self.sending.seq);
        let (end, unread) = match self.exchange(started).await {
            Ok((end, unread)) => (end, unread),
            Err(end) => (end, None),
        };
        let took_ms = started.elapsed().as_secs_f64() * 1e3;
        let end = AttemptEnd { end, cached_tokens: self.cached_tokens, load: self.load };
        // Fails only if the core has ended before its attempts; nobody needs the result then.
        let _ = self.core.send(CoreEvent::Ended { completion, seq, took_ms, end }).await;
        if let Some((mut connection, framing)) = unread {
            let read = timeout(duration(REJECTION_BODY_TIMEOUT_MS), connection.body(framing)).await;
            if matches!(read, Ok(Ok(_))) {
                self.pool.put_back(connection);
            }
        }
    }

    /// Sends the request and handles the answer.
    async fn exchange(&mut self, started: Instant) -> Result<(SocketEnd, UnreadBody), SocketEnd> {
        let address = self.address.ok_or(SocketEnd::NoAddress)?;
        let deadline = self.clock.at(self.sending.until_ms);
        let (pool, request) = (self.pool.clone(), self.request.clone());
        let write_by = self.clock.at(self.sending.write_by_ms.min(self.sending.repeat_by_ms));
        let check = self.write_check(address);
        let response = async move {
            let written = async {
                let mut connection = pool.acquire(address).await?;
                loop {
                    // Lets the runtime poll the sockets: the client may have closed, or a new server list may
                    // have arrived in the meantime.
                    tokio::task::yield_now().await;
                    let head = request_head(&request, check().time_left_ms().map_err(SocketEnd::Withdrawn)?);
                    if connection.write(&[head.as_bytes(), &request.body]).await.is_ok() {
                        return Ok(connection);
                    }
                    // A server starts no request before it has received all of it, so a failed write on a
                    // reused connection is repeated on a new one; on a new connection the attempt ends.
                    if connection.idle_before_ms.is_none() {
                        return Err(SocketEnd::NeverWritten);
                    }
                    connection = pool.connect(address).await?;
                }
            };
            // Biased: an available connection is used even when the write deadline has passed.
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
            _ = self.commands.recv() => return Err(SocketEnd::Stopped),
            response = response => response?,
            () = sleep_until(deadline) => return Err(SocketEnd::TimedOut),
        };
        self.load = head.load;
        if let Some(end) = refusal(head.status, head.declined) {
            let unread = head.connection_reusable().then_some((connection, head.framing));
            return Ok((end, unread));
        }
        match (head.status, self.sending.stage) {
            (202, Stage::Read) => self.finish_read(connection, head, deadline).await,
            (202, _) => Err(SocketEnd::Nonsense("202 on a request that was not sent for a read".into())),
            _ => self.forward_answer(connection, head, deadline, started).await,
        }
    }

    /// The conditions that must still hold at the moment of the write.
    fn write_check(&self, address: SocketAddr) -> impl Fn() -> WriteCheck {
        let (directory, clock, client) = (self.directory.clone(), self.clock, self.request.client.clone());
        let OutgoingDispatch { until_ms, repeat_by_ms, .. } = self.sending;
        let worker = self.sending.worker.clone();
        move || WriteCheck {
            now_ms: clock.now_ms(),
            until_ms,
            repeat_by_ms,
            server_ready: directory.borrow().is_ready(&worker, address),
            client_gone: client.is_gone(),
        }
    }

    /// Handles the answer of a reader: the state is in place, and the body reports the cached tokens.
    async fn finish_read(
        &mut self,
        mut connection: Connection,
        head: ResponseHead,
        deadline: Instant,
    ) -> Result<(SocketEnd, UnreadBody), SocketEnd> {
        let body = tokio::select! {
            biased;
            _ = self.commands.recv() => return Err(SocketEnd::Stopped),
            body = connection.body(head.framing) => body?,
            () = sleep_until(deadline) => return Err(SocketEnd::TimedOut),
        };
        self.cached_tokens = paddleproxy_platform::events::parse_cached_tokens(&body).unwrap_or(0.0);
        if head.connection_reusable() {
            self.pool.put_back(connection);
        }
        Ok((SocketEnd::ReadDone, None))
    }

    /// Forwards the event stream of an answer to the client once the core has granted it.
    async fn forward_answer(
        &mut self,
        connection: Connection,
        head: ResponseHead,
        deadline: Instant,
        started: Instant,
    ) -> Result<(SocketEnd, UnreadBody), SocketEnd> {
        if head.framing != Framing::Chunked {
            return Err(SocketEnd::Nonsense("the stream is not chunked".into()));
        }
        let mut answer = IncomingAnswer::new(connection);
        loop {
            let decoded = answer.decode();
            // Reported with the end of the attempt even if the stream turns out to be invalid.
            (self.cached_tokens, self.load) = (answer.events.cached_tokens, answer.events.load.or(self.load));
            let decoded = decoded?;
            self.forward_events(&mut answer, decoded.events, started).await?;
            if decoded.done {
                break;
            }
            self.receive_more(&mut answer, deadline).await?;
        }
        if let Some(GrantedStream { parts, .. }) = answer.granted {
            let _ = parts.send(StreamPart::End).await;
        }
        if head.connection_reusable() {
            self.pool.put_back(answer.connection);
        }
        Ok((SocketEnd::AnswerDone, None))
    }

    /// Forwards complete events, and requests the grant before the first one. What precedes the first event is
    /// discarded.
    async fn forward_events(
        &mut self,
        answer: &mut IncomingAnswer,
        complete_events: Bytes,
        started: Instant,
    ) -> Result<(), SocketEnd> {
        if answer.events.events == 0 || complete_events.is_empty() {
            return Ok(());
        }
        let first = answer.granted.is_none();
        if first {
            let parts = self.request_grant(started).await?;
            let stall_detector = StallDetector::new(self.clock.now_ms(), STREAM_IDLE_TIMEOUT_MS);
            answer.granted = Some(GrantedStream { parts, stall_detector });
        }
        let Some(GrantedStream { parts, stall_detector }) = answer.granted.as_mut() else { return Ok(()) };
        // Time spent waiting for a slow client doesn't count as the server's silence.
        let sent = tokio::select! {
            biased;
            _ = self.commands.recv() => return Err(SocketEnd::Stopped),
            sent = parts.send(StreamPart::Events(complete_events)) => sent,
        };
        sent.map_err(|_| SocketEnd::Stopped)?;
        // The stall detector started with the first event, so that event ends no gap.
        if !first {
            stall_detector.record_event(self.clock.now_ms());
        }
        Ok(())
    }

    /// Reads more of an answer, until `deadline` before its first event and until the server stalls after it.
    async fn receive_more(
        &mut self,
        answer: &mut IncomingAnswer,
        deadline: Instant,
    ) -> Result<(), SocketEnd> {
        let limit = answer
            .granted
            .as_ref()
            .map_or(deadline, |granted| self.clock.at(granted.stall_detector.deadline_ms()));
        loop {
            let read = tokio::select! {
                biased;
                _ = self.commands.recv() => return Err(SocketEnd::Stopped),
                read = answer.read() => read,
                () = sleep_until(limit) => {
                    // The timer may fire because this process was stalled. If bytes wait on the socket, the
                    // server wasn't silent: let the runtime poll the socket and read them. The limits of an
                    // event and of what precedes the first one bound how often this happens.
                    if answer.connection.has_unread() {
                        tokio::task::yield_now().await;
                        continue;
                    }
                    return Err(answer.end(SocketEnd::TimedOut, SocketEnd::Stalled));
                }
            };
            return if matches!(read, Ok(read) if read > 0) {
                Ok(())
            } else {
                Err(answer.end(SocketEnd::BrokeWithinAnswer, SocketEnd::BrokeAfterFirst))
            };
        }
    }

    /// Reports the first event to the core and waits until it grants or stops this stream: only one attempt
    /// of a request may answer the client.
    async fn request_grant(&mut self, started: Instant) -> Result<mpsc::Sender<StreamPart>, SocketEnd> {
        let (completion, seq) = (self.sending.completion, self.sending.seq);
        let took_ms = started.elapsed().as_secs_f64() * 1e3;
        let _ = self.core.send(CoreEvent::Began { completion, seq, took_ms }).await;
        match self.commands.recv().await {
            Some(AttemptCommand::Grant(parts)) => Ok(parts),
            Some(AttemptCommand::Stop) | None => Err(SocketEnd::Stopped),
        }
    }
}

/// The bounded channel between a granted attempt and its client's connection.
pub fn stream_channel() -> (mpsc::Sender<StreamPart>, mpsc::Receiver<StreamPart>) {
    mpsc::channel(STREAM_QUEUE_PARTS)
}

/// The head of the request; `left_ms` is the time left until the attempt's deadline.
fn request_head(request: &ClientRequest, left_ms: f64) -> String {
    let ClientRequest { id, method, target, idempotency_key, body, .. } = request;
    let key = idempotency_key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let wait_s = left_ms / 1e3;
    format!(
        "{method} {target} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\n\
         Req-Deadline: {wait_s:.3}\r\n{key}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
}

#[cfg(test)]
mod tests;
