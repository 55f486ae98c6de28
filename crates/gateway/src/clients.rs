//! Client connections: each request is read completely, validated and answered exactly once; then its
//! connection is kept open or closed.

use std::rc::Rc;

use bytes::BytesMut;
use paddleproxy::interface::CompletionId;
use paddleproxy::shutdown::retry_after_ms;
use paddleproxy_platform::head::{RequestError, RequestHead};
use paddleproxy_platform::request;
use paddleproxy_router::clock::duration;
use paddleproxy_router::pending_answer::PendingAnswer;
use paddleproxy_sockets::Stream;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::endings::{ConnectionEnd, OpenRequest, RequestEnd};
use crate::frontend::{stage_reached, Activity, ConnectionSlot, Lifecycle};
use crate::inbound::Inbound;
use crate::limits::{
    CLIENT_IDLE_FACTOR, EVICTED_LINGER_MS, LINGER_MS, MAX_READ_AHEAD_BYTES, REQUEST_READ_TIMEOUT_MS,
};
use crate::messages::{ClientPresence, ClientRequest, CoreEvent, Reply, StreamPart};
use crate::outbound::{error_body, retry_after_field, write, write_answer, Answer, ClientGone};
use crate::received_request::{ReadFailure, ReceivedRequest};

/// Why a connection is closed, and how.
#[derive(Clone, Copy, Debug)]
enum ConnectionClose {
    /// Shuts down the sending side first and reads what still arrives, so that the client can read its
    /// answer.
    Graceful(ConnectionEnd),
    /// Closes without lingering: the client has gone, or the descriptor is needed for another connection.
    Immediate(ConnectionEnd),
}

impl From<ClientGone> for ConnectionClose {
    fn from(_: ClientGone) -> ConnectionClose {
        ConnectionClose::CLIENT_LEFT
    }
}

impl ConnectionClose {
    const CLIENT_LEFT: ConnectionClose = ConnectionClose::Immediate(ConnectionEnd::ClientLeft);

    fn end(self) -> ConnectionEnd {
        let (ConnectionClose::Graceful(end) | ConnectionClose::Immediate(end)) = self;
        end
    }

    /// How the request ended that was open when the connection closed.
    fn request_end(self) -> RequestEnd {
        match self.end() {
            ConnectionEnd::StreamBroke => RequestEnd::Broken,
            _ => RequestEnd::ClientLeft,
        }
    }
}

/// Interval in ms at which a connection is checked for its close while unread bytes are pending on it.
const CLOSE_POLL_MS: f64 = 50.0;

/// Sent for an incomplete request too: the rest of it may already be in transit and needs an answer.
const EVICTED: RequestError = RequestError::new(503, "the connection is wanted elsewhere; come again");

const TOO_SLOW: RequestError = RequestError::new(408, "the request did not come whole in time");

const SHUTTING_DOWN: RequestError = RequestError::new(503, "the router stops");

/// Serves one connection until it closes.
pub async fn serve(slot: ConnectionSlot, mut stream: Stream) {
    let mut inbound = Inbound::new(slot.frontend.clock);
    let ended = loop {
        match slot.serve_request(&mut stream, &mut inbound).await {
            Ok(()) => {
                // An idle connection keeps no buffer.
                inbound.release_if_empty();
                slot.set_activity(Activity::Idle);
            }
            Err(ended) => break ended,
        }
    };
    slot.frontend.endings.connection(slot.number, slot.requests.get(), ended.end());
    if matches!(ended, ConnectionClose::Immediate(_)) {
        return;
    }
    slot.set_activity(Activity::NoRequest);
    // Closing with unread bytes would send a reset, and the client might never read its answer.
    let _ = stream.shutdown().await;
    let linger = async {
        let mut rest = BytesMut::new();
        while stream.read_some(&mut rest).await.is_ok_and(|read| read > 0) {
            rest.clear();
        }
    };
    let linger_ms = if slot.is_evicted() { EVICTED_LINGER_MS } else { LINGER_MS };
    tokio::select! {
        _ = timeout(duration(linger_ms), linger) => {}
        () = slot.eviction.notified() => {}
    }
}

impl ConnectionSlot {
    /// Reads one request and answers it.
    async fn serve_request(&self, stream: &mut Stream, inbound: &mut Inbound) -> Result<(), ConnectionClose> {
        let connected = self.since(Activity::NoRequest);
        self.wait_for_request(stream, inbound, connected).await?;
        let deadline = connected.unwrap_or_else(Instant::now) + duration(REQUEST_READ_TIMEOUT_MS);
        let mut lifecycle = self.frontend.lifecycle.clone();
        let received = tokio::select! {
            biased;
            received = ReceivedRequest::read(stream, inbound, &self.frontend) => received,
            // Completed later, it might still be unanswered when the process is killed.
            () = stage_reached(&mut lifecycle, Lifecycle::Refusing) => Err(SHUTTING_DOWN.into()),
            () = sleep_until(deadline) => Err(TOO_SLOW.into()),
            () = self.eviction.notified() => Err(EVICTED.into()),
        };
        let received = match received {
            Ok(received) => received,
            Err(ReadFailure::ClientGone) => return Err(ConnectionClose::CLIENT_LEFT),
            Err(ReadFailure::Rejected(error)) => {
                self.frontend.endings.rejected_unread(error.status);
                self.reject(stream, error, true).await?;
                return Err(ConnectionClose::Graceful(ConnectionEnd::BadRequest));
            }
        };
        self.set_activity(Activity::Busy);
        let close = received.head.close;
        let request = self.register_request(&received.head);
        let answered = self.answer_received(stream, inbound, &request, received).await;
        self.finish_request(&request, answered.unwrap_or_else(ConnectionClose::request_end));
        answered?;
        if close {
            return Err(ConnectionClose::Graceful(ConnectionEnd::ClientRequestedClose));
        }
        if self.closes(stream, inbound) {
            let stopping = self.frontend.lifecycle() >= Lifecycle::Draining;
            let end = if stopping { ConnectionEnd::AnsweredAtShutdown } else { ConnectionEnd::Evicted };
            return Err(ConnectionClose::Graceful(end));
        }
        Ok(())
    }

    /// Answers a request that was received completely.
    async fn answer_received(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        request: &OpenRequest,
        received: ReceivedRequest,
    ) -> Result<RequestEnd, ConnectionClose> {
        let close = received.head.close;
        let answered = match (received.head.method.as_str(), path(&received.head.target)) {
            ("GET", "/_health") => match self.frontend.lifecycle() {
                Lifecycle::Starting => Err(RequestError::new(503, "not ready yet")),
                _ => {
                    let close = close || self.closes(stream, inbound);
                    let (reason, body) = ("OK", "{\"ready\":true}");
                    write_answer(stream, Answer { status: 200, reason, fields: "", body, close }).await?;
                    Ok(RequestEnd::Answered)
                }
            },
            ("POST", "/v1/chat/completions") => {
                self.answer_completion(stream, inbound, request, received).await?
            }
            (_, "/_health" | "/v1/chat/completions") => Err(RequestError::new(405, "not with this method")),
            _ => Err(RequestError::new(404, "nothing is served here")),
        };
        match answered {
            Ok(end) => Ok(end),
            Err(error) => {
                self.reject(stream, error, close || self.closes(stream, inbound)).await?;
                let stopping = error == SHUTTING_DOWN;
                Ok(if stopping { RequestEnd::RefusedShutdown } else { RequestEnd::Refused(error.status) })
            }
        }
    }

    /// Registers the next open request of this connection.
    fn register_request(&self, head: &RequestHead) -> Rc<OpenRequest> {
        self.requests.set(self.requests.get() + 1);
        let id = head.fields.id.as_deref().unwrap_or_default().into();
        let request = Rc::new(OpenRequest::new(id, self.number, self.requests.get()));
        self.set_open_request(Some(request.clone()));
        request
    }

    fn finish_request(&self, request: &OpenRequest, end: RequestEnd) {
        self.set_open_request(None);
        self.frontend.endings.request(request, end);
    }

    /// Whether the connection closes after the next answer. Requests that have already arrived on it are
    /// answered first, because a request that was read must not remain unanswered. Once a close was
    /// announced, it is final.
    fn closes(&self, stream: &Stream, inbound: &Inbound) -> bool {
        let closable = self.frontend.lifecycle() >= Lifecycle::Draining || self.is_evicted();
        let closes =
            self.close_announced.get() || closable && inbound.is_empty() && !stream.has_unread_bytes();
        self.close_announced.set(closes);
        closes
    }

    /// Waits for the first byte of a request.
    async fn wait_for_request(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        connected: Option<Instant>,
    ) -> Result<(), ConnectionClose> {
        if !inbound.is_empty() {
            return Ok(());
        }
        let idle_ms = self.frontend.platform_settings.borrow().server_idle_timeout_ms * CLIENT_IDLE_FACTOR;
        let until = connected
            .map_or(Instant::now() + duration(idle_ms), |since| since + duration(REQUEST_READ_TIMEOUT_MS));
        let mut lifecycle = self.frontend.lifecycle.clone();
        let ended = tokio::select! {
            biased;
            read = inbound.read(stream) => return match read {
                Ok(read) if read > 0 => Ok(()),
                _ => Err(ConnectionClose::CLIENT_LEFT),
            },
            () = sleep_until(until) => ConnectionClose::Graceful(ConnectionEnd::Idle),
            () = self.eviction.notified() => ConnectionClose::Immediate(ConnectionEnd::Evicted),
            () = stage_reached(&mut lifecycle, Lifecycle::Draining) => {
                ConnectionClose::Graceful(ConnectionEnd::IdleAtShutdown)
            }
        };
        // A request that has just arrived is answered instead of meeting a closed connection.
        if stream.has_unread_bytes() {
            return Ok(());
        }
        Err(ended)
    }

    /// Passes a completion request to the core and forwards its reply.
    async fn answer_completion(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        open: &OpenRequest,
        received: ReceivedRequest,
    ) -> Result<Result<RequestEnd, RequestError>, ConnectionClose> {
        let frontend = &self.frontend;
        if !frontend.accepts_requests() {
            return Ok(Err(SHUTTING_DOWN));
        }
        let ReceivedRequest { head, body, body_quota, received_ms } = received;
        let close = head.close;
        let id: Rc<str> = match request::id(&head.fields) {
            Ok(id) => id.into(),
            Err(error) => return Ok(Err(error)),
        };
        let completion = CompletionId(frontend.next_completion.get());
        let platform_settings = frontend.platform_settings.borrow().clone();
        let arrival = match request::arrival(&platform_settings, &head.fields, &body, completion, received_ms)
        {
            Ok(arrival) => arrival,
            Err(error) => return Ok(Err(error)),
        };
        let Some(_open) = frontend.open_id(&id) else {
            return Ok(Err(RequestError::new(400, "Req-Id is that of a request that is open")));
        };
        frontend.next_completion.set(completion.0.wrapping_add(1));
        let (pending_answer, mut reply) = PendingAnswer::new(frontend.dropped.clone());
        let client = Rc::new(ClientPresence::default());
        let RequestHead { method, target, fields, .. } = head;
        let idempotency_key = fields.idempotency_key;
        let request = ClientRequest {
            id,
            method,
            target,
            idempotency_key,
            body,
            client: client.clone(),
            _held: body_quota,
        };
        if frontend
            .core
            .send(CoreEvent::Arrived { arrival, request: Rc::new(request), pending_answer })
            .await
            .is_err()
        {
            return Ok(Err(SHUTTING_DOWN));
        }
        let reply = tokio::select! {
            biased;
            reply = &mut reply => reply.unwrap_or(Reply::Aborted),
            () = client_closed(stream, inbound) => {
                client.leave();
                let _ = frontend.core.send(CoreEvent::Left { completion }).await;
                return Err(ConnectionClose::CLIENT_LEFT);
            }
        };
        match reply {
            Reply::RateLimited { retry_after_ms } => {
                let answer = Answer {
                    status: 429,
                    reason: "Too Many Requests",
                    fields: &retry_after_field(retry_after_ms),
                    body: &error_body("no worker can take this now; trying again is harmless"),
                    close: close || self.closes(stream, inbound),
                };
                write_answer(stream, answer).await?;
                Ok(Ok(RequestEnd::RateLimited))
            }
            Reply::Aborted => {
                let answer = Answer {
                    status: 502,
                    reason: "Bad Gateway",
                    fields: "",
                    body: &error_body("the answer was lost; it may have run"),
                    close: close || self.closes(stream, inbound),
                };
                write_answer(stream, answer).await?;
                Ok(Ok(RequestEnd::Aborted))
            }
            Reply::Stream(parts) => {
                let streamed = self.forward_stream(stream, inbound, open, parts).await;
                if streamed.is_err() {
                    let _ = frontend.core.send(CoreEvent::Left { completion }).await;
                }
                streamed.map(|()| Ok(RequestEnd::Served))
            }
        }
    }

    /// Forwards the parts of a stream to the client.
    async fn forward_stream(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        open: &OpenRequest,
        mut parts: mpsc::Receiver<StreamPart>,
    ) -> Result<(), ConnectionClose> {
        let mut out = BytesMut::from(
            &b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
               Transfer-Encoding: chunked\r\n\r\n"[..],
        );
        loop {
            let part = tokio::select! {
                biased;
                part = parts.recv() => part,
                () = client_closed(stream, inbound) => return Err(ConnectionClose::CLIENT_LEFT),
            };
            match part {
                Some(StreamPart::Events(events)) => {
                    out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
                    out.extend_from_slice(&events);
                    out.extend_from_slice(b"\r\n");
                    write(stream, &out).await?;
                    open.part_forwarded();
                    out.clear();
                }
                Some(StreamPart::End) => return Ok(write(stream, b"0\r\n\r\n").await?),
                // The stream broke: everything before was written, and the connection closes without the last
                // chunk.
                None => return Err(ConnectionClose::Graceful(ConnectionEnd::StreamBroke)),
            }
        }
    }

    async fn reject(
        &self,
        stream: &mut Stream,
        error: RequestError,
        close: bool,
    ) -> Result<(), ConnectionClose> {
        let retry_after = if error == SHUTTING_DOWN { self.shutdown_retry_after() } else { String::new() };
        let (status, body) = (error.status, error_body(error.why));
        let answer = Answer { status, reason: "Refused", fields: &retry_after, body: &body, close };
        Ok(write_answer(stream, answer).await?)
    }

    /// The `Retry-After` field for a client that is rejected because the router shuts down.
    fn shutdown_retry_after(&self) -> String {
        let platform_settings = self.frontend.platform_settings.borrow();
        retry_after_field(retry_after_ms(
            platform_settings.settings.retry_after,
            platform_settings.settings.max_retry_after_ms,
        ))
    }
}

/// Returns when the client has closed. Pipelined bytes are buffered up to [`MAX_READ_AHEAD_BYTES`] and not
/// read beyond that; a close is detected nevertheless.
async fn client_closed(stream: &Stream, inbound: &mut Inbound) {
    while inbound.len() < MAX_READ_AHEAD_BYTES {
        if !inbound.read(stream).await.is_ok_and(|read| read > 0) {
            return;
        }
    }
    // Priority readiness reports the close of the connection and urgent data, which is ignored here.
    while stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        sleep(duration(CLOSE_POLL_MS)).await;
    }
}

fn path(target: &str) -> &str {
    target.split('?').next().unwrap_or_default()
}
