//! Clients' connections: each request is read whole and checked, answered once, and its connection kept or closed.

use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use paddleproxy::interface::CompletionId;
use paddleproxy::shutdown::retry_after_ms;
use paddleproxy_platform::head::{self, Fault, Framing, RequestHead};
use paddleproxy_platform::{request, Chunks, BODY_BYTES};
use paddleproxy_router::clock::duration;
use paddleproxy_router::duty::Duty;
use paddleproxy_sockets::Stream;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::endings::{ConnectionEnd, OpenRequest, RequestEnd};
use crate::frontend::{reached, Activity, ConnectionSlot, Lifecycle};
use crate::inbound::Inbound;
use crate::limits::{AHEAD_BYTES, CLIENT_IDLE, GIVEN_UP_LINGER_MS, LINGER_MS, REQUEST_MS, SLOW_CLIENT_MS};
use crate::messages::{BodyBytes, ClientPresence, ClientRequest, CoreEvent, Reply, StreamPart};

/// Why a connection ends, and how.
#[derive(Clone, Copy, Debug)]
enum ConnectionOver {
    /// Nothing more to say on it.
    Close(ConnectionEnd),
    /// Nobody is there any more, or its descriptor is wanted elsewhere: there is nothing to wait for.
    Left(ConnectionEnd),
}

impl ConnectionOver {
    const CLIENT_LEFT: ConnectionOver = ConnectionOver::Left(ConnectionEnd::ClientLeft);

    fn end(self) -> ConnectionEnd {
        let (ConnectionOver::Close(end) | ConnectionOver::Left(end)) = self;
        end
    }

    /// How the request ended during which the connection did.
    fn request_end(self) -> RequestEnd {
        match self.end() {
            ConnectionEnd::StreamBroke => RequestEnd::Broken,
            _ => RequestEnd::ClientLeft,
        }
    }
}

/// A request that was read to its last byte.
struct WholeRequest {
    head: RequestHead,
    body: Bytes,
    held: BodyBytes,
    /// When its last byte came.
    received_ms: f64,
}

/// Between two looks for the end of a connection that has something else to say, in ms.
const LOOK_AGAIN_MS: f64 = 50.0;

const OVERLOADED: Fault = Fault::new(503, "more bytes are open than memory allows; come again");

/// The rest of the request may be on its way, so that it gets an answer.
const GIVES_WAY: Fault = Fault::new(503, "the connection is wanted elsewhere; come again");

const STOPS: Fault = Fault::new(503, "the router stops");

/// Serves one connection until it closes.
pub async fn serve(slot: ConnectionSlot, mut stream: Stream) {
    let mut inbound = Inbound::new(slot.frontend.clock);
    let over = loop {
        match slot.serve_request(&mut stream, &mut inbound).await {
            Ok(()) => {
                // An idle connection holds no buffer.
                inbound.rest();
                slot.set_activity(Activity::Idle);
            }
            Err(over) => break over,
        }
    };
    slot.frontend.endings.connection(slot.number, slot.requests.get(), over.end());
    if matches!(over, ConnectionOver::Left(_)) {
        return;
    }
    slot.set_activity(Activity::NoRequest);
    // Unread bytes would turn the close into a reset, and the client might never read its answer.
    let _ = stream.shutdown().await;
    let linger = async {
        let mut rest = BytesMut::new();
        while stream.read_some(&mut rest).await.is_ok_and(|read| read > 0) {
            rest.clear();
        }
    };
    let linger_ms = if slot.given_up() { GIVEN_UP_LINGER_MS } else { LINGER_MS };
    tokio::select! {
        _ = timeout(duration(linger_ms), linger) => {}
        () = slot.close.notified() => {}
    }
}

impl ConnectionSlot {
    /// One request and its answer.
    async fn serve_request(&self, stream: &mut Stream, inbound: &mut Inbound) -> Result<(), ConnectionOver> {
        let first = self.since(Activity::NoRequest);
        self.wait_for_request(stream, inbound, first).await?;
        let by = first.unwrap_or_else(Instant::now) + duration(REQUEST_MS);
        let mut life = self.frontend.life.clone();
        let taken = tokio::select! {
            biased;
            taken = self.read_request(stream, inbound) => taken?,
            // Whole later, it might have no answer when the process is killed.
            () = reached(&mut life, Lifecycle::Refusing) => Err(STOPS),
            () = sleep_until(by) => Err(Fault::new(408, "the request did not come whole in time")),
            () = self.close.notified() => Err(GIVES_WAY),
        };
        let whole = match taken {
            Ok(whole) => whole,
            Err(fault) => {
                self.frontend.endings.refused_unread(fault.status);
                self.refuse(stream, fault, true).await?;
                return Err(ConnectionOver::Close(ConnectionEnd::BadRequest));
            }
        };
        self.set_activity(Activity::Busy);
        let close = whole.head.close;
        let request = self.opened(&whole.head);
        let answered = self.answer_whole(stream, inbound, &request, whole).await;
        self.over(&request, answered.unwrap_or_else(ConnectionOver::request_end));
        answered?;
        if close {
            return Err(ConnectionOver::Close(ConnectionEnd::ClientRequestedClose));
        }
        if self.closes(stream, inbound) {
            let stops = self.frontend.life() >= Lifecycle::Draining;
            let end = if stops { ConnectionEnd::AnsweredAtShutdown } else { ConnectionEnd::Evicted };
            return Err(ConnectionOver::Close(end));
        }
        Ok(())
    }

    /// The answer to a request that was read whole.
    async fn answer_whole(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        request: &OpenRequest,
        whole: WholeRequest,
    ) -> Result<RequestEnd, ConnectionOver> {
        let close = whole.head.close;
        let answered = match (whole.head.method.as_str(), path(&whole.head.target)) {
            ("GET", "/_health") => match self.frontend.life() {
                Lifecycle::Starting => Err(Fault::new(503, "not ready yet")),
                _ => {
                    let closes = close || self.closes(stream, inbound);
                    self.answer(stream, 200, "OK", "", "{\"ready\":true}", closes).await?;
                    Ok(RequestEnd::Answered)
                }
            },
            ("POST", "/v1/chat/completions") => self.answer_request(stream, inbound, request, whole).await?,
            (_, "/_health" | "/v1/chat/completions") => Err(Fault::new(405, "not with this method")),
            _ => Err(Fault::new(404, "nothing is served here")),
        };
        match answered {
            Ok(end) => Ok(end),
            Err(fault) => {
                self.refuse(stream, fault, close || self.closes(stream, inbound)).await?;
                let stops = fault == STOPS;
                Ok(if stops { RequestEnd::RefusedShutdown } else { RequestEnd::Refused(fault.status) })
            }
        }
    }

    /// One more request is open on this connection.
    fn opened(&self, head: &RequestHead) -> Rc<OpenRequest> {
        self.requests.set(self.requests.get() + 1);
        let id = head.fields.id.as_deref().unwrap_or_default().into();
        let request = Rc::new(OpenRequest::new(id, self.number, self.requests.get()));
        self.set_open(Some(request.clone()));
        request
    }

    fn over(&self, request: &OpenRequest, end: RequestEnd) {
        self.set_open(None);
        self.frontend.endings.request(request, end);
    }

    /// Whether the connection closes after an answer. What has come on it already is answered first: a request that
    /// was read must not go without an answer. Once that is said it stays so.
    fn closes(&self, stream: &Stream, inbound: &Inbound) -> bool {
        let wanted = self.frontend.life() >= Lifecycle::Draining || self.given_up();
        let closes = self.closing.get() || wanted && inbound.is_empty() && !stream.bytes_wait();
        self.closing.set(closes);
        closes
    }

    /// Waits for the first byte of a request.
    async fn wait_for_request(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        first: Option<Instant>,
    ) -> Result<(), ConnectionOver> {
        if !inbound.is_empty() {
            return Ok(());
        }
        let idle_ms = self.frontend.provision.borrow().idle_ms * CLIENT_IDLE;
        let until = first.map_or(Instant::now() + duration(idle_ms), |since| since + duration(REQUEST_MS));
        let mut life = self.frontend.life.clone();
        let over = tokio::select! {
            biased;
            more = inbound.read(stream) => return match more {
                Ok(more) if more > 0 => Ok(()),
                _ => Err(ConnectionOver::CLIENT_LEFT),
            },
            () = sleep_until(until) => ConnectionOver::Close(ConnectionEnd::Idle),
            () = self.close.notified() => ConnectionOver::Left(ConnectionEnd::Evicted),
            () = reached(&mut life, Lifecycle::Draining) => ConnectionOver::Close(ConnectionEnd::IdleAtShutdown),
        };
        // A request that has come in this very moment is answered rather than closed upon.
        if stream.bytes_wait() {
            return Ok(());
        }
        Err(over)
    }

    /// Reads one whole request.
    async fn read_request(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
    ) -> Result<Result<WholeRequest, Fault>, ConnectionOver> {
        let head = loop {
            match head::request(inbound) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(fault) => return Ok(Err(fault)),
            }
            if !inbound.read(stream).await.is_ok_and(|more| more > 0) {
                return Err(ConnectionOver::CLIENT_LEFT);
            }
        };
        inbound.advance(head.bytes);
        let room = match head.framing {
            Framing::Length(length) => length,
            _ => BODY_BYTES,
        };
        let Some(mut held) =
            BodyBytes::take(&self.frontend.body_bytes, room, self.frontend.shares.get().body_bytes)
        else {
            return Ok(Err(OVERLOADED));
        };
        if head.expects {
            self.write(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let (mut body, mut chunks) = (BytesMut::new(), Chunks::new(BODY_BYTES));
        loop {
            match head.framing {
                Framing::Length(length) if inbound.len() >= length => {
                    // A copy of its own size: the buffer may be much larger, and stays with the connection.
                    let body = Bytes::copy_from_slice(&inbound[..length]);
                    inbound.advance(length);
                    return Ok(Ok(WholeRequest { head, body, held, received_ms: inbound.taken_came_ms() }));
                }
                Framing::Length(_) => {}
                _ => match chunks.take(inbound, &mut body) {
                    Ok(_) if body.len() > BODY_BYTES => {
                        return Ok(Err(Fault::new(413, "the body is too long")))
                    }
                    Ok(true) => {
                        held.shrink(body.len());
                        let (body, received_ms) = (Bytes::copy_from_slice(&body), inbound.taken_came_ms());
                        return Ok(Ok(WholeRequest { head, body, held, received_ms }));
                    }
                    Ok(false) => {}
                    Err(_) => return Ok(Err(Fault::new(400, "the body's chunks can't be read"))),
                },
            }
            if !inbound.read(stream).await.is_ok_and(|more| more > 0) {
                return Err(ConnectionOver::CLIENT_LEFT);
            }
        }
    }

    async fn answer_request(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        open: &OpenRequest,
        whole: WholeRequest,
    ) -> Result<Result<RequestEnd, Fault>, ConnectionOver> {
        let frontend = &self.frontend;
        if !frontend.accepts_requests() {
            return Ok(Err(STOPS));
        }
        let WholeRequest { head, body, held, received_ms } = whole;
        let close = head.close;
        let id: Rc<str> = match request::id(&head.fields) {
            Ok(id) => id.into(),
            Err(fault) => return Ok(Err(fault)),
        };
        let completion = CompletionId(frontend.next.get());
        let provision = frontend.provision.borrow().clone();
        let arrival = match request::arrival(&provision, &head.fields, &body, completion, received_ms) {
            Ok(arrival) => arrival,
            Err(fault) => return Ok(Err(fault)),
        };
        let Some(_open) = frontend.open_id(&id) else {
            return Ok(Err(Fault::new(400, "Req-Id is that of a request that is open")));
        };
        frontend.next.set(completion.0.wrapping_add(1));
        let (duty, mut reply) = Duty::new(frontend.dropped.clone());
        let client = Rc::new(ClientPresence::default());
        let RequestHead { method, target, fields, .. } = head;
        let idempotency_key = fields.idempotency_key;
        let request =
            ClientRequest { id, method, target, idempotency_key, body, client: client.clone(), _held: held };
        if frontend
            .core
            .send(CoreEvent::Arrived { arrival, request: Rc::new(request), pending_answer: duty })
            .await
            .is_err()
        {
            return Ok(Err(STOPS));
        }
        let reply = tokio::select! {
            biased;
            reply = &mut reply => reply.unwrap_or(Reply::Aborted),
            () = client_closed(stream, inbound) => {
                client.leave();
                let _ = frontend.core.send(CoreEvent::Left { completion }).await;
                return Err(ConnectionOver::CLIENT_LEFT);
            }
        };
        match reply {
            Reply::RateLimited { retry_after_ms } => {
                let after = retry_after(retry_after_ms);
                let body = error("no worker can take this now; trying again is harmless");
                self.answer(
                    stream,
                    429,
                    "Too Many Requests",
                    &after,
                    &body,
                    close || self.closes(stream, inbound),
                )
                .await?;
                Ok(Ok(RequestEnd::RateLimited))
            }
            Reply::Aborted => {
                let body = error("the answer was lost; it may have run");
                self.answer(stream, 502, "Bad Gateway", "", &body, close || self.closes(stream, inbound))
                    .await?;
                Ok(Ok(RequestEnd::Aborted))
            }
            Reply::Stream(pieces) => {
                let streamed = self.stream(stream, inbound, open, pieces).await;
                if streamed.is_err() {
                    let _ = frontend.core.send(CoreEvent::Left { completion }).await;
                }
                streamed.map(|()| Ok(RequestEnd::Served))
            }
        }
    }

    async fn stream(
        &self,
        stream: &mut Stream,
        inbound: &mut Inbound,
        open: &OpenRequest,
        mut pieces: mpsc::Receiver<StreamPart>,
    ) -> Result<(), ConnectionOver> {
        let mut out = BytesMut::from(
            &b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
               Transfer-Encoding: chunked\r\n\r\n"[..],
        );
        loop {
            let piece = tokio::select! {
                biased;
                piece = pieces.recv() => piece,
                () = client_closed(stream, inbound) => return Err(ConnectionOver::CLIENT_LEFT),
            };
            match piece {
                Some(StreamPart::Events(events)) => {
                    out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
                    out.extend_from_slice(&events);
                    out.extend_from_slice(b"\r\n");
                    self.write(stream, &out).await?;
                    open.part_forwarded();
                    out.clear();
                }
                Some(StreamPart::End) => return self.write(stream, b"0\r\n\r\n").await,
                // Broken off: the connection ends without the last chunk, and with all that was written before.
                None => return Err(ConnectionOver::Close(ConnectionEnd::StreamBroke)),
            }
        }
    }

    async fn refuse(&self, stream: &mut Stream, fault: Fault, close: bool) -> Result<(), ConnectionOver> {
        let after = if fault == STOPS { self.come_back() } else { String::new() };
        self.answer(stream, fault.status, "Refused", &after, &error(fault.why), close).await
    }

    /// When a client that is refused because the router stops may come again, as a field.
    fn come_back(&self) -> String {
        let provision = self.frontend.provision.borrow();
        retry_after(retry_after_ms(provision.settings.retry_after, provision.settings.max_retry_after_ms))
    }

    async fn answer(
        &self,
        stream: &mut Stream,
        status: u16,
        reason: &str,
        fields: &str,
        body: &str,
        close: bool,
    ) -> Result<(), ConnectionOver> {
        let close = if close { "Connection: close\r\n" } else { "" };
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n{fields}{close}\r\n{body}"
        );
        self.write(stream, answer.as_bytes()).await
    }

    async fn write(&self, stream: &mut Stream, bytes: &[u8]) -> Result<(), ConnectionOver> {
        match timeout(duration(SLOW_CLIENT_MS), stream.write_all(bytes)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(ConnectionOver::CLIENT_LEFT),
        }
    }
}

/// Returns when the client has closed. What it sends ahead is kept up to a bound and past that not read, but the end of
/// its connection shows all the same.
async fn client_closed(stream: &Stream, inbound: &mut Inbound) {
    while inbound.len() < AHEAD_BYTES {
        if !inbound.read(stream).await.is_ok_and(|more| more > 0) {
            return;
        }
    }
    // Ready for this are the end of the connection and urgent data, which is not asked for here.
    while stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        sleep(duration(LOOK_AGAIN_MS)).await;
    }
}

fn path(target: &str) -> &str {
    target.split('?').next().unwrap_or_default()
}

/// The field that names a time to come back; nothing for 0.
fn retry_after(ms: f64) -> String {
    if ms > 0.0 {
        format!("Retry-After: {:.3}\r\n", ms / 1e3)
    } else {
        String::new()
    }
}

fn error(why: &str) -> String {
    format!("{{\"error\":{{\"message\":\"{why}\"}}}}")
}
