//! The clients' side: HTTP on a local port, one task a connection.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use paddleproxy::interface::{CompletionId, CustomerId};
use paddleproxy_engine as wire;
use paddleproxy_messages::{ApiError, Dialect, Encoder, ErrorKind};
use paddleproxy_routing::facts::{Headers, KeyRule};
use paddleproxy_routing::{
    Admission, IdempotencyKeys, Key, KeyDecision, Permit, RejectReason, Rejection, RequestClassifier,
    RequestFacts,
};
use paddleproxy_settings::router::FrontSettings;
use paddleproxy_sockets::{close_listener, Stream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;
use tracing::debug;

use crate::answer::{Keyed, Owed, Pieces, Reply};
use crate::clock::{duration, wall_ms, Clock};
use crate::events::ClientRequest;
use crate::events::{CoreEvent, CoreSender};
use crate::peers::ToFellows;
use crate::pending_answer::{DroppedAnswers, PendingAnswer};
use crate::polite::Polite;
use crate::state::{Left, State};

/// What all connections of clients share.
pub struct Front {
    pub settings: FrontSettings,
    pub requests: RefCell<RequestClassifier>,
    pub admission: Rc<RefCell<Admission>>,
    pub repeats: Rc<RefCell<IdempotencyKeys>>,
    pub state: Rc<State>,
    /// Forms of the API by path.
    pub dialects: Vec<(String, Dialect)>,
    pub clock: Clock,
    pub core: CoreSender,
    pub next: Cell<u32>,
    pub connections: Cell<usize>,
    /// Names a router's answers: router and start.
    pub prefix: String,
    pub dropped: DroppedAnswers,
    /// Connections closed at once because there were too many.
    pub connections_refused: Cell<u64>,
    /// Requests answered from memory because an earlier one with their key had finished, and those refused by key.
    pub answered_again: Cell<u64>,
    pub refused_by_key: Cell<u64>,
    /// Changes of the settings that were taken, and those that were not, with the last reason.
    pub settings_taken: Cell<u64>,
    /// Where fellows are known; none without them.
    pub fellows: Option<ToFellows>,
    pub settings_refused: RefCell<(u64, Option<String>)>,
}

/// Gives a place back when the last of a completion is gone from the front.
struct Taken {
    admission: Rc<RefCell<Admission>>,
    clock: Clock,
    place: Option<Permit>,
}

impl Drop for Taken {
    fn drop(&mut self) {
        if let Some(place) = self.place.take() {
            self.admission.borrow_mut().release(self.clock.now_ms(), place);
        }
    }
}

/// Tells the core that a client left, unless its answer came first.
struct Leave {
    completion: CompletionId,
    core: Option<CoreSender>,
}

impl Drop for Leave {
    fn drop(&mut self) {
        let Some(core) = self.core.take() else { return };
        let told = CoreEvent::ClientLeft { completion: self.completion };
        if let Err(mpsc::error::TrySendError::Full(told)) = core.try_send(told) {
            tokio::task::spawn_local(async move {
                let _ = core.send(told).await;
            });
        }
    }
}

/// The body of an answer: whole, or pieces as they come.
pub enum ReplyBody {
    Whole(Option<Bytes>),
    Pieces { pieces: Pieces, leave: Leaving },
}

/// Kept by a streamed body for as long as it runs.
pub struct Leaving {
    leave: Leave,
    _taken: Taken,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ReplyBody::Pieces { pieces, leave } => pieces.pieces.poll_recv(cx).map(|piece| match piece {
                Some(bytes) => Some(Ok(Frame::data(bytes))),
                None if pieces.ended.get() => {
                    leave.leave.core = None;
                    None
                }
                // No end could be written: the connection must not look as if this were one.
                None => Some(Err(std::io::Error::other("the answer broke off"))),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ReplyBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            ReplyBody::Pieces { .. } => SizeHint::default(),
        }
    }
}

fn answer_of(status: u16, kind: &'static str, body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::Whole(Some(Bytes::from(body))));
    let status = hyper::StatusCode::from_u16(status);
    *response.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn json(body: String) -> Response<ReplyBody> {
    answer_of(200, "application/json", body)
}

fn error(dialect: &Dialect, error: &ApiError, request_id: &str) -> Response<ReplyBody> {
    let body = dialect.error(error, request_id);
    let mut response = answer_of(dialect.status(error.kind), "application/json", body);
    if let Some(ms) = error.retry_after_ms.filter(|ms| *ms > 0.0) {
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from((ms / 1e3).ceil() as u64));
        headers.insert("retry-after-ms", HeaderValue::from(ms.ceil() as u64));
    }
    response
}

fn turned_away(turned: Rejection) -> ApiError {
    let (kind, message) = match turned.reason {
        RejectReason::Stopping => (ErrorKind::Overloaded, "this router is about to stop"),
        RejectReason::Full => (ErrorKind::Overloaded, "too many completions are open here"),
        RejectReason::LeastValue => (ErrorKind::Overloaded, "only work of more value is taken here now"),
        RejectReason::BeyondShare => {
            (ErrorKind::RateLimited, "this customer holds more than its share of what is free")
        }
        RejectReason::CustomerOpen => (ErrorKind::RateLimited, "this customer has too many completions open"),
        RejectReason::CustomerRequests => (ErrorKind::RateLimited, "this customer sends too many requests"),
        RejectReason::CustomerTokens => (ErrorKind::RateLimited, "this customer sends too many tokens"),
    };
    ApiError::new(kind, message).with_retry(turned.retry_after_ms)
}

/// After the word to stop connections are accepted for this time, in ms, and then those that the system has accepted by then:
/// each is told that this router stops.
const LAST_LOOK_MS: f64 = 50.0;

/// Where the tokens of a messages request are counted.
const COUNT_TOKENS: &str = "/v1/messages/count_tokens";

impl Front {
    /// Accepts until told to stop, and for a moment after that.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, mut stop: tokio::sync::watch::Receiver<bool>) {
        let stops = stop.clone();
        let closes = async {
            let _ = stop.changed().await;
            tokio::time::sleep(duration(LAST_LOOK_MS)).await;
        };
        tokio::select! {
            biased;
            () = closes => {}
            () = self.accept(&listener, &stops) => {}
        }
        close_listener(listener, |stream| self.take(stream, &stops)).await;
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, stop: &tokio::sync::watch::Receiver<bool>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.take(stream, stop),
                // Out of descriptors, or a connection gone before it was taken: a short pause.
                Err(_) => tokio::time::sleep(duration(10.0)).await,
            }
        }
    }

    /// Beyond the bound a connection is closed at once; nothing of it was taken.
    fn take(self: &Rc<Self>, stream: TcpStream, stop: &tokio::sync::watch::Receiver<bool>) {
        if self.connections.get() >= self.settings.connections {
            self.connections_refused.set(self.connections_refused.get() + 1);
            return;
        }
        // Who comes after the word to stop is not cut off by it before it has said anything.
        let mut stop = stop.clone();
        stop.mark_unchanged();
        tokio::task::spawn_local(self.clone().serve(stream, stop));
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, mut stop: tokio::sync::watch::Receiver<bool>) {
        self.connections.set(self.connections.get() + 1);
        let _ = stream.set_nodelay(true);
        let front = self.clone();
        let service = service_fn(move |request| {
            let front = front.clone();
            async move { Ok::<_, Infallible>(front.answer(request).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        // A connection that comes at the last moment gets one answer: that this router stops.
        builder.keep_alive(!*stop.borrow());
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(duration(self.settings.header_ms))
            .max_headers(64);
        // A client who takes nothing for too long is cut, whatever is being written to it.
        let mut stream = TimeoutStream::new(Stream::from(stream));
        stream.set_write_timeout(Some(duration(self.settings.slow_client_ms)));
        let stream = TokioIo::new(Polite::new(Box::pin(stream)));
        let mut connection = std::pin::pin!(builder.serve_connection(stream, service));
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            _ = stop.changed() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(cause) = ended {
            debug!(%cause, "a client's connection");
        }
        self.connections.set(self.connections.get().saturating_sub(1));
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let completion = CompletionId(self.next.get());
        self.next.set(self.next.get().wrapping_add(1));
        let id: Rc<str> = Rc::from(format!("{}.{}", self.prefix, completion.0));
        let path = request.uri().path();
        let known = self.dialects.iter().find(|(known, _)| known == path).map(|(_, dialect)| dialect.clone());
        let dialect = known.clone().unwrap_or_else(Dialect::published);
        let answered = match known {
            Some(_) if request.method() != Method::POST => {
                Err(ApiError::invalid(format!("{path:.64} takes POST")))
            }
            Some(dialect) => self.completion(request, dialect, completion, id.clone()).await,
            None if path == COUNT_TOKENS && request.method() == Method::POST => self.count(request).await,
            None => {
                let paths: Vec<_> = self.dialects.iter().map(|(path, _)| path.as_str()).collect();
                Err(ApiError::new(ErrorKind::NotFound, format!("served here are {}", paths.join(", "))))
            }
        };
        let mut response = answered.unwrap_or_else(|refused| error(&dialect, &refused, &id));
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("request-id", id.clone());
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    /// Counts tokens by the settings' estimate; no completion.
    async fn count(&self, request: Request<Incoming>) -> Result<Response<ReplyBody>, ApiError> {
        let (head, body) = request.into_parts();
        let customer = self.customer(&head)?;
        let _taken = self.enter(customer)?;
        let asked = Dialect::published().parse_to_count(&self.body(body).await?)?;
        let bytes = asked.system.len() + asked.turns.iter().map(|turn| turn.text.len()).sum::<usize>();
        Ok(json(format!("{{\"input_tokens\":{}}}", self.requests.borrow().estimate_tokens(bytes) as u64)))
    }

    fn customer(&self, head: &Head) -> Result<Option<CustomerId>, ApiError> {
        let bearer = header(head, "authorization")?.and_then(|value| value.strip_prefix("Bearer "));
        self.requests.borrow().customer(header(head, "x-api-key")?.or(bearer))
    }

    fn enter(&self, customer: Option<CustomerId>) -> Result<Taken, ApiError> {
        let place = self.admission.borrow_mut().enter(self.clock.now_ms(), customer).map_err(turned_away)?;
        Ok(Taken { admission: self.admission.clone(), clock: self.clock, place: Some(place) })
    }

    async fn completion(
        &self,
        request: Request<Incoming>,
        dialect: Dialect,
        completion: CompletionId,
        id: Rc<str>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let received_ms = self.clock.now_ms();
        let (head, body) = request.into_parts();
        let customer = self.customer(&head)?;
        let mut taken = self.enter(customer)?;
        let bytes = self.body(body).await?;
        let asked = dialect.parse(&bytes)?;
        let key = header(&head, wire::EFFECT_KEY)?.filter(|key| !key.is_empty());
        if key.is_some_and(|key| key.len() > 256) {
            return Err(ApiError::invalid(format!("{}: at most 256 bytes", wire::EFFECT_KEY)));
        }
        let facts = {
            let requests = self.requests.borrow();
            let rules = requests.rules();
            let headers = Headers {
                session: header(&head, &rules.session_header)?,
                timeout: header(&head, &rules.timeout_header)?,
                keyed: key.is_some(),
            };
            requests.classify(&asked, customer, &headers)?
        };
        let encoder = Encoder {
            dialect,
            id,
            model: Rc::from(asked.model.as_str()),
            created: (wall_ms() / 1e3) as u64,
            tells_usage: asked.stream_usage,
        };
        let prompt = asked.prompt();
        let mut keyed = None;
        if let Some(key) = key {
            let key = Key { customer, text: Rc::from(key) };
            // The same wish may be streamed at one try and not at another.
            let (stops, most) = (&asked.stop_sequences, asked.max_tokens);
            let wish = format!("{}\n{most}\n{stops:?}\n{prompt}", asked.model);
            match self.keyed(key, wish.as_bytes(), facts.key_rule)? {
                Ok(guard) => keyed = Some(self.remember(guard, wish.as_bytes(), facts.key_rule).await?),
                Err(answer) => return Ok(again(&encoder, &answer, asked.stream)),
            }
        }
        drop(bytes);
        if let Err(refused) = self.admit(&mut taken, &facts, prompt.len()) {
            keyed.into_iter().for_each(Keyed::never_ran);
            return Err(refused);
        }
        let client_id = header(&head, wire::REQUEST_ID)?.filter(|text| text.len() <= 256).map(str::to_owned);
        let ask = ClientRequest {
            prompt,
            max_tokens: asked.max_tokens,
            stop: asked.stop_sequences,
            prompt_tokens: facts.prompt_tokens as u64,
            streamed: asked.stream,
            client_id,
            // Keys of two customers must not meet at the servers.
            effect_key: key.map(|key| self.requests.borrow().effect_key(customer, key)),
            model: asked.model,
        };
        let (duty, answer) = PendingAnswer::new(self.dropped.clone());
        let owed =
            Owed::new(duty, keyed, encoder.clone(), self.settings.pieces_waiting, self.dropped.clone());
        let mut leave = Leave { completion, core: Some(self.core.clone()) };
        let told =
            CoreEvent::Arrived { completion, facts, received_ms, request: Rc::new(ask), pending_reply: owed };
        if self.core.send(told).await.is_err() {
            return Err(ApiError::new(ErrorKind::Api, "the router stops"));
        }
        match answer.await {
            Ok(Reply::Stream(pieces)) => {
                let leave = Leaving { leave, _taken: taken };
                let mut response = Response::new(ReplyBody::Pieces { pieces, leave });
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
                response.headers_mut().insert("cache-control", HeaderValue::from_static("no-cache"));
                Ok(response)
            }
            other => {
                leave.core = None;
                match other {
                    Ok(Reply::Whole(answer)) => Ok(json(encoder.whole(&answer))),
                    Ok(Reply::Error(refused)) => Err(refused),
                    _ => Err(ApiError::new(ErrorKind::Api, "the router stops")),
                }
            }
        }
    }

    /// Where its workload asks for it, a key is on the disk before anything is sent.
    async fn remember(&self, mut guard: Keyed, wish: &[u8], rule: KeyRule) -> Result<Keyed, ApiError> {
        if !rule.remembered {
            return Ok(guard);
        }
        let name = self.named(guard.key.customer);
        if self
            .state
            .remember(&name, &guard.key.text, IdempotencyKeys::fingerprint(wish), rule.window_ms)
            .await
        {
            guard.stored = Some((self.state.clone(), name));
            return Ok(guard);
        }
        // Guards rule 2: without a record of it another try after a restart could have the effect twice. Harm: a disk
        // that is full or slow turns away this work, and this work alone.
        guard.never_ran();
        Err(ApiError::new(ErrorKind::Overloaded, "this work can't be remembered now; come again"))
    }

    fn named(&self, customer: Option<CustomerId>) -> String {
        let requests = self.requests.borrow();
        customer.and_then(|customer| requests.customer_name(customer)).unwrap_or_default().to_owned()
    }

    /// What an earlier run left: tries that may have run.
    pub fn recover(&self, left: &Left) {
        let (requests, now_ms) = (self.requests.borrow(), self.clock.now_ms());
        for (customer, key, wish, left_ms) in &left.tokened {
            let key = Key { customer: requests.customer_by_name(customer), text: Rc::from(key.as_str()) };
            self.repeats.borrow_mut().recover(now_ms, key, *wish, *left_ms);
        }
    }

    /// What is known here of an earlier try with the same key: go on under its guard, or its answer.
    fn keyed(
        &self,
        key: Key,
        body: &[u8],
        rule: KeyRule,
    ) -> Result<Result<Keyed, Rc<paddleproxy_messages::Answer>>, ApiError> {
        let now_ms = self.clock.now_ms();
        let verdict = self.repeats.borrow_mut().begin(now_ms, &key, body, rule.window_ms, rule.may_repeat);
        let conflict = |message| {
            self.refused_by_key.set(self.refused_by_key.get() + 1);
            Err(ApiError::new(ErrorKind::Conflict, message))
        };
        match verdict {
            KeyDecision::Proceed => {
                let (repeats, may_repeat) = (self.repeats.clone(), rule.may_repeat);
                Ok(Ok(Keyed { repeats, key, may_repeat, stored: None }))
            }
            KeyDecision::Replay(answer) => {
                self.answered_again.set(self.answered_again.get() + 1);
                Ok(Err(answer))
            }
            KeyDecision::Running => conflict("idempotency-key: a request with this key is under way"),
            KeyDecision::Unknown => {
                conflict("idempotency-key: a request with this key may have run; its answer is lost")
            }
            KeyDecision::Differs => conflict("idempotency-key: this key was used for another request"),
            KeyDecision::Full => {
                let error = ApiError::new(ErrorKind::Overloaded, "too many keys are remembered here");
                Err(error.with_retry(rule.window_ms / 2.0))
            }
        }
    }

    fn admit(&self, taken: &mut Taken, facts: &RequestFacts, prompt_bytes: usize) -> Result<(), ApiError> {
        let Some(place) = &mut taken.place else { return Ok(()) };
        let tokens = facts.prompt_tokens + facts.max_tokens;
        let now_ms = self.clock.now_ms();
        let admitted = self.admission.borrow_mut().admit(now_ms, place, facts.workload, prompt_bytes, tokens);
        admitted.map_err(turned_away)
    }

    async fn body(&self, body: Incoming) -> Result<Bytes, ApiError> {
        let limit = self.settings.body_bytes;
        let too_large =
            || ApiError::new(ErrorKind::TooLarge, format!("the body is larger than {limit} bytes"));
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large());
        }
        let whole = timeout(duration(self.settings.body_ms), Limited::new(body, limit).collect()).await;
        match whole {
            Ok(Ok(whole)) => Ok(whole.to_bytes()),
            Ok(Err(cause)) if cause.downcast_ref::<LengthLimitError>().is_some() => Err(too_large()),
            Ok(Err(_)) => Err(ApiError::invalid("the body broke off")),
            Err(_) => Err(ApiError::new(ErrorKind::Timeout, "the body did not arrive in time")),
        }
    }
}

type Head = hyper::http::request::Parts;

fn header<'a>(head: &'a Head, name: &str) -> Result<Option<&'a str>, ApiError> {
    let value = head.headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| ApiError::invalid(format!("{name}: header is not plain text")))
}

/// An answer that was given before, in the form now asked for.
fn again(encoder: &Encoder, answer: &paddleproxy_messages::Answer, streamed: bool) -> Response<ReplyBody> {
    use paddleproxy_messages::Piece;
    if !streamed {
        return json(encoder.whole(answer));
    }
    let pieces =
        [Piece::Start(answer.usage), Piece::Text(&answer.text), Piece::End(&answer.stop, answer.usage)];
    let events: String = pieces.iter().map(|piece| encoder.piece(piece)).collect();
    answer_of(200, "text/event-stream", events)
}
