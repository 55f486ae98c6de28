//! HTTP server for clients: one task per connection. Parses, classifies and admits requests, hands
//! completions to the core and writes their answers.

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

use crate::answer::{AnswerPieces, IdempotencyGuard, PendingReply, Reply};
use crate::clock::{duration, wall_ms, Clock};
use crate::events::ClientRequest;
use crate::events::{CoreEvent, CoreSender};
use crate::http_errors::HttpErrorStream;
use crate::peers::PeerSender;
use crate::pending_answer::{DroppedAnswers, PendingAnswer};
use crate::state::{RecoveredState, State};

/// State shared by all client connections.
pub struct Front {
    pub settings: FrontSettings,
    pub classifier: RefCell<RequestClassifier>,
    pub admission: Rc<RefCell<Admission>>,
    pub idempotency_keys: Rc<RefCell<IdempotencyKeys>>,
    pub state: Rc<State>,
    /// API dialects by request path.
    pub dialects: Vec<(String, Dialect)>,
    pub clock: Clock,
    pub core: CoreSender,
    pub next_completion: Cell<u32>,
    pub connections: Cell<usize>,
    /// Prefix of all request ids of this process: router number and start time.
    pub id_prefix: String,
    pub dropped_answers: DroppedAnswers,
    /// Connections closed on accept because the connection limit was reached.
    pub connections_refused: Cell<u64>,
    /// Requests answered with the stored answer of an earlier request with the same idempotency key.
    pub answers_replayed: Cell<u64>,
    /// Requests refused because of their idempotency key: still running, unknown result or different request.
    pub requests_refused_by_key: Cell<u64>,
    /// Number of settings changes that were applied.
    pub settings_applied: Cell<u64>,
    /// Channel to the peer task; `None` where the settings have no `peers`.
    pub peers: Option<PeerSender>,
    /// Number of settings changes that were rejected, with the last reason.
    pub settings_rejected: RefCell<(u64, Option<String>)>,
}

/// Releases the admission permit when a request and its answer are finished.
struct AdmissionGuard {
    admission: Rc<RefCell<Admission>>,
    clock: Clock,
    permit: Option<Permit>,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.admission.borrow_mut().release(self.clock.now_ms(), permit);
        }
    }
}

/// Reports to the core on drop that the client disconnected; disarmed (`core` is `None`) once the answer is
/// complete.
struct DisconnectGuard {
    completion: CompletionId,
    core: Option<CoreSender>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let Some(core) = self.core.take() else { return };
        let event = CoreEvent::ClientLeft { completion: self.completion };
        if let Err(mpsc::error::TrySendError::Full(event)) = core.try_send(event) {
            tokio::task::spawn_local(async move {
                let _ = core.send(event).await;
            });
        }
    }
}

/// Response body: complete, or streamed in pieces.
pub enum ReplyBody {
    Whole(Option<Bytes>),
    Pieces { pieces: AnswerPieces, guards: StreamGuards },
}

/// Guards that a streamed body holds until it ends.
pub struct StreamGuards {
    disconnect: DisconnectGuard,
    _admission: AdmissionGuard,
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
            ReplyBody::Pieces { pieces, guards } => pieces.pieces.poll_recv(cx).map(|piece| match piece {
                Some(bytes) => Some(Ok(Frame::data(bytes))),
                None if pieces.ended.get() => {
                    guards.disconnect.core = None;
                    None
                }
                // The stream has no end event: fail the body, so that the client doesn't take it for
                // complete.
                None => Some(Err(std::io::Error::other("answer stream ended without its final event"))),
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

fn response_with(status: u16, content_type: &'static str, body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::Whole(Some(Bytes::from(body))));
    let status = hyper::StatusCode::from_u16(status);
    *response.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn json_response(body: String) -> Response<ReplyBody> {
    response_with(200, "application/json", body)
}

fn error_response(dialect: &Dialect, error: &ApiError, request_id: &str) -> Response<ReplyBody> {
    let body = dialect.error(error, request_id);
    let mut response = response_with(dialect.status(error.kind), "application/json", body);
    if let Some(ms) = error.retry_after_ms.filter(|ms| *ms > 0.0) {
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from((ms / 1e3).ceil() as u64));
        headers.insert("retry-after-ms", HeaderValue::from(ms.ceil() as u64));
    }
    response
}

fn rejection_error(rejection: Rejection) -> ApiError {
    let (kind, message) = match rejection.reason {
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
    ApiError::new(kind, message).with_retry(rejection.retry_after_ms)
}

/// Connections are still accepted for this time after shutdown begins, then those in the listen backlog: each
/// request on them is rejected, because this router stops.
const ACCEPT_AFTER_STOP_MS: f64 = 50.0;

/// Path that counts the tokens of a messages request.
const COUNT_TOKENS: &str = "/v1/messages/count_tokens";

impl Front {
    /// Accepts connections until `stop` changes, and for `ACCEPT_AFTER_STOP_MS` after that.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, mut stop: tokio::sync::watch::Receiver<bool>) {
        let connection_stop = stop.clone();
        let stop_elapsed = async {
            let _ = stop.changed().await;
            tokio::time::sleep(duration(ACCEPT_AFTER_STOP_MS)).await;
        };
        tokio::select! {
            biased;
            () = stop_elapsed => {}
            () = self.accept(&listener, &connection_stop) => {}
        }
        close_listener(listener, |stream| self.start_connection(stream, &connection_stop)).await;
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, stop: &tokio::sync::watch::Receiver<bool>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.start_connection(stream, stop),
                // Out of file descriptors, or the connection was closed before accept: pause briefly.
                Err(_) => tokio::time::sleep(duration(10.0)).await,
            }
        }
    }

    /// Starts a task for the connection; above the connection limit it is closed at once with nothing read
    /// from it.
    fn start_connection(self: &Rc<Self>, stream: TcpStream, stop: &tokio::sync::watch::Receiver<bool>) {
        if self.connections.get() >= self.settings.connections {
            self.connections_refused.set(self.connections_refused.get() + 1);
            return;
        }
        // A connection accepted after shutdown began is not closed before it could send its one request.
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
        // A connection accepted during shutdown gets one response, a rejection, and is closed.
        builder.keep_alive(!*stop.borrow());
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(duration(self.settings.header_ms))
            .max_headers(64);
        // Closes the connection of a client that reads nothing for too long, whatever is being written.
        let mut stream = TimeoutStream::new(Stream::from(stream));
        stream.set_write_timeout(Some(duration(self.settings.slow_client_ms)));
        let stream = TokioIo::new(HttpErrorStream::new(Box::pin(stream)));
        let mut connection = std::pin::pin!(builder.serve_connection(stream, service));
        let result = tokio::select! {
            result = connection.as_mut() => result,
            _ = stop.changed() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(cause) = result {
            debug!(%cause, "client connection failed");
        }
        self.connections.set(self.connections.get().saturating_sub(1));
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<ReplyBody> {
        let completion = CompletionId(self.next_completion.get());
        self.next_completion.set(self.next_completion.get().wrapping_add(1));
        let id: Rc<str> = Rc::from(format!("{}.{}", self.id_prefix, completion.0));
        let path = request.uri().path();
        let known = self.dialects.iter().find(|(known, _)| known == path).map(|(_, dialect)| dialect.clone());
        let dialect = known.clone().unwrap_or_else(Dialect::published);
        let result = match known {
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
        let mut response = result.unwrap_or_else(|refused| error_response(&dialect, &refused, &id));
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("request-id", id.clone());
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    /// Counts the tokens of a request by the estimate of the settings; starts no completion.
    async fn count(&self, request: Request<Incoming>) -> Result<Response<ReplyBody>, ApiError> {
        let (head, body) = request.into_parts();
        let customer = self.customer(&head)?;
        let _admission = self.enter(customer)?;
        let parsed = Dialect::published().parse_to_count(&self.read_body(body).await?)?;
        let bytes = parsed.system.len() + parsed.turns.iter().map(|turn| turn.text.len()).sum::<usize>();
        Ok(json_response(format!(
            "{{\"input_tokens\":{}}}",
            self.classifier.borrow().estimate_tokens(bytes) as u64
        )))
    }

    fn customer(&self, head: &Head) -> Result<Option<CustomerId>, ApiError> {
        let bearer = header(head, "authorization")?.and_then(|value| value.strip_prefix("Bearer "));
        self.classifier.borrow().customer(header(head, "x-api-key")?.or(bearer))
    }

    fn enter(&self, customer: Option<CustomerId>) -> Result<AdmissionGuard, ApiError> {
        let permit =
            self.admission.borrow_mut().enter(self.clock.now_ms(), customer).map_err(rejection_error)?;
        Ok(AdmissionGuard { admission: self.admission.clone(), clock: self.clock, permit: Some(permit) })
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
        let mut admission = self.enter(customer)?;
        let bytes = self.read_body(body).await?;
        let parsed = dialect.parse(&bytes)?;
        let key = header(&head, wire::IDEMPOTENCY_KEY)?.filter(|key| !key.is_empty());
        if key.is_some_and(|key| key.len() > 256) {
            return Err(ApiError::invalid(format!("{}: at most 256 bytes", wire::IDEMPOTENCY_KEY)));
        }
        let facts = {
            let classifier = self.classifier.borrow();
            let rules = classifier.rules();
            let headers = Headers {
                session: header(&head, &rules.session_header)?,
                timeout: header(&head, &rules.timeout_header)?,
                keyed: key.is_some(),
            };
            classifier.classify(&parsed, customer, &headers)?
        };
        let encoder = Encoder {
            dialect,
            id,
            model: Rc::from(parsed.model.as_str()),
            created: (wall_ms() / 1e3) as u64,
            include_usage: parsed.stream_usage,
        };
        let prompt = parsed.prompt();
        let mut guard = None;
        if let Some(key) = key {
            let key = Key { customer, text: Rc::from(key) };
            // `stream` is left out: a retry of the same request may differ in it.
            let (stop, max_tokens) = (&parsed.stop_sequences, parsed.max_tokens);
            let fingerprint_text = format!("{}\n{max_tokens}\n{stop:?}\n{prompt}", parsed.model);
            match self.check_key(key, fingerprint_text.as_bytes(), facts.key_rule)? {
                Ok(new) => {
                    guard = Some(self.store_key(new, fingerprint_text.as_bytes(), facts.key_rule).await?)
                }
                Err(answer) => return Ok(replay_response(&encoder, &answer, parsed.stream)),
            }
        }
        drop(bytes);
        if let Err(refused) = self.admit(&mut admission, &facts, prompt.len()) {
            guard.into_iter().for_each(IdempotencyGuard::never_ran);
            return Err(refused);
        }
        let client_id = header(&head, wire::REQUEST_ID)?.filter(|text| text.len() <= 256).map(str::to_owned);
        let client_request = ClientRequest {
            prompt,
            max_tokens: parsed.max_tokens,
            stop: parsed.stop_sequences,
            prompt_tokens: facts.prompt_tokens as u64,
            streamed: parsed.stream,
            client_id,
            // Equal keys of two customers must not collide at the model servers.
            effect_key: key.map(|key| self.classifier.borrow().effect_key(customer, key)),
            model: parsed.model,
        };
        let (pending, answer) = PendingAnswer::new(self.dropped_answers.clone());
        let reply = PendingReply::new(
            pending,
            guard,
            encoder.clone(),
            self.settings.pieces_waiting,
            self.dropped_answers.clone(),
        );
        let mut disconnect = DisconnectGuard { completion, core: Some(self.core.clone()) };
        let event = CoreEvent::Arrived {
            completion,
            facts,
            received_ms,
            request: Rc::new(client_request),
            pending_reply: reply,
        };
        if self.core.send(event).await.is_err() {
            return Err(ApiError::new(ErrorKind::Api, "the router stops"));
        }
        match answer.await {
            Ok(Reply::Stream(pieces)) => {
                let guards = StreamGuards { disconnect, _admission: admission };
                let mut response = Response::new(ReplyBody::Pieces { pieces, guards });
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
                response.headers_mut().insert("cache-control", HeaderValue::from_static("no-cache"));
                Ok(response)
            }
            other => {
                disconnect.core = None;
                match other {
                    Ok(Reply::Whole(answer)) => Ok(json_response(encoder.encode_answer(&answer))),
                    Ok(Reply::Error(refused)) => Err(refused),
                    _ => Err(ApiError::new(ErrorKind::Api, "the router stops")),
                }
            }
        }
    }

    /// Stores the key on disk before anything is sent, where the rule of the workload requires it.
    async fn store_key(
        &self,
        mut guard: IdempotencyGuard,
        fingerprint_text: &[u8],
        rule: KeyRule,
    ) -> Result<IdempotencyGuard, ApiError> {
        if !rule.remembered {
            return Ok(guard);
        }
        let name = self.customer_name(guard.key.customer);
        if self
            .state
            .store_key(&name, &guard.key.text, IdempotencyKeys::fingerprint(fingerprint_text), rule.window_ms)
            .await
        {
            guard.stored = Some((self.state.clone(), name));
            return Ok(guard);
        }
        // Rule 2 (no effect twice): without a stored key a retry after a restart could run the effect twice.
        // Cost: a full or slow disk rejects these requests, and only these.
        guard.never_ran();
        Err(ApiError::new(ErrorKind::Overloaded, "this work can't be remembered now; come again"))
    }

    fn customer_name(&self, customer: Option<CustomerId>) -> String {
        let classifier = self.classifier.borrow();
        customer.and_then(|customer| classifier.customer_name(customer)).unwrap_or_default().to_owned()
    }

    /// Restores the keys of an earlier run: their requests may have run.
    pub fn recover(&self, recovered: &RecoveredState) {
        let (classifier, now_ms) = (self.classifier.borrow(), self.clock.now_ms());
        for (customer, key, fingerprint, remaining_ms) in &recovered.keys {
            let key = Key { customer: classifier.customer_by_name(customer), text: Rc::from(key.as_str()) };
            self.idempotency_keys.borrow_mut().recover(now_ms, key, *fingerprint, *remaining_ms);
        }
    }

    /// Checks the idempotency key: `Ok(guard)` to proceed, `Err(answer)` to replay the answer of an earlier
    /// request.
    fn check_key(
        &self,
        key: Key,
        fingerprint_text: &[u8],
        rule: KeyRule,
    ) -> Result<Result<IdempotencyGuard, Rc<paddleproxy_messages::Answer>>, ApiError> {
        let now_ms = self.clock.now_ms();
        let decision = self.idempotency_keys.borrow_mut().begin(
            now_ms,
            &key,
            fingerprint_text,
            rule.window_ms,
            rule.may_repeat,
        );
        let conflict = |message| {
            self.requests_refused_by_key.set(self.requests_refused_by_key.get() + 1);
            Err(ApiError::new(ErrorKind::Conflict, message))
        };
        match decision {
            KeyDecision::Proceed => {
                let (idempotency_keys, may_repeat) = (self.idempotency_keys.clone(), rule.may_repeat);
                Ok(Ok(IdempotencyGuard { idempotency_keys, key, may_repeat, stored: None }))
            }
            KeyDecision::Replay(answer) => {
                self.answers_replayed.set(self.answers_replayed.get() + 1);
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

    fn admit(
        &self,
        admission: &mut AdmissionGuard,
        facts: &RequestFacts,
        prompt_bytes: usize,
    ) -> Result<(), ApiError> {
        let Some(permit) = &mut admission.permit else { return Ok(()) };
        let tokens = facts.prompt_tokens + facts.max_tokens;
        let now_ms = self.clock.now_ms();
        let admitted =
            self.admission.borrow_mut().admit(now_ms, permit, facts.workload, prompt_bytes, tokens);
        admitted.map_err(rejection_error)
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ApiError> {
        let limit = self.settings.body_bytes;
        let too_large =
            || ApiError::new(ErrorKind::TooLarge, format!("the body is larger than {limit} bytes"));
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large());
        }
        let collected = timeout(duration(self.settings.body_ms), Limited::new(body, limit).collect()).await;
        match collected {
            Ok(Ok(body)) => Ok(body.to_bytes()),
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

/// A stored answer, streamed or complete as this request asks for.
fn replay_response(
    encoder: &Encoder,
    answer: &paddleproxy_messages::Answer,
    streamed: bool,
) -> Response<ReplyBody> {
    use paddleproxy_messages::StreamItem;
    if !streamed {
        return json_response(encoder.encode_answer(answer));
    }
    let pieces = [
        StreamItem::Start(answer.usage),
        StreamItem::Text(&answer.text),
        StreamItem::End(&answer.stop, answer.usage),
    ];
    let events: String = pieces.iter().map(|piece| encoder.encode_item(piece)).collect();
    response_with(200, "text/event-stream", events)
}
