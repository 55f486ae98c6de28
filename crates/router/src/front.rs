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
use paddleproxy_messages::{parse, ApiError, ErrorKind};
use paddleproxy_routing::facts::Headers;
use paddleproxy_routing::{Admission, Requests, TurnedAway};
use paddleproxy_settings::router::FrontSettings;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tracing::debug;

use crate::answer::{Dropped, Owed, Reply};
use crate::clock::{duration, Clock};
use crate::core::{ToCore, Told};
use crate::dispatch::Ask;

/// What all connections of clients share.
pub struct Front {
    pub settings: FrontSettings,
    pub requests: Requests,
    pub admission: Rc<RefCell<Admission>>,
    pub clock: Clock,
    pub core: ToCore,
    pub next: Cell<u32>,
    pub connections: Cell<usize>,
    /// Names a router's answers: router and start.
    pub prefix: String,
    pub dropped: Dropped,
    pub turned_away: Cell<u64>,
}

/// Gives a place back when the last of a completion is gone from the front.
struct Place {
    admission: Rc<RefCell<Admission>>,
    customer: Option<CustomerId>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.admission.borrow_mut().give(self.customer);
    }
}

/// Tells the core that a client left, unless its answer came first.
struct Leave {
    completion: CompletionId,
    core: Option<ToCore>,
}

impl Drop for Leave {
    fn drop(&mut self) {
        let Some(core) = self.core.take() else { return };
        let told = Told::Left { completion: self.completion };
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
    Pieces { pieces: mpsc::Receiver<Bytes>, leave: Leaving },
}

/// Kept by a streamed body for as long as it runs.
pub struct Leaving {
    leave: Leave,
    _place: Place,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ReplyBody::Pieces { pieces, leave } => pieces.poll_recv(cx).map(|piece| {
                if piece.is_none() {
                    leave.leave.core = None;
                }
                piece.map(|bytes| Ok(Frame::data(bytes)))
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

fn error(error: &ApiError, request_id: &str) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::Whole(Some(Bytes::from(error.body(request_id)))));
    let status = hyper::StatusCode::from_u16(error.kind.status());
    *response.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = error.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from((ms / 1e3).ceil().max(1.0) as u64));
        headers.insert("retry-after-ms", HeaderValue::from(ms.ceil() as u64));
    }
    response
}

impl Front {
    /// Accepts until told to stop.
    pub async fn listen(self: Rc<Self>, listener: TcpListener, mut stop: tokio::sync::watch::Receiver<bool>) {
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                accepted = listener.accept() => match accepted {
                    // Beyond the bound a connection is closed at once; nothing of it was taken.
                    Ok(_) if self.connections.get() >= self.settings.connections => {
                        self.turned_away.set(self.turned_away.get() + 1);
                    }
                    Ok((stream, _)) => {
                        tokio::task::spawn_local(self.clone().serve(stream, stop.clone()));
                    }
                    // Out of descriptors, or a connection gone before it was taken: a short pause.
                    Err(_) => tokio::time::sleep(duration(10.0)).await,
                },
            }
        }
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
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(duration(self.settings.header_ms))
            .max_headers(64);
        let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
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
        let mut response = match self.completion(request, completion, id.clone()).await {
            Ok(response) => response,
            Err(refused) => error(&refused, &id),
        };
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("request-id", id);
        }
        response
    }

    async fn completion(
        &self,
        request: Request<Incoming>,
        completion: CompletionId,
        id: Rc<str>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let received_ms = self.clock.now_ms();
        if request.uri().path() != "/v1/messages" {
            return Err(ApiError::new(ErrorKind::NotFound, "only /v1/messages is served here"));
        }
        if request.method() != Method::POST {
            return Err(ApiError::invalid("/v1/messages takes POST"));
        }
        let (head, body) = request.into_parts();
        let header = |name: &str| -> Result<Option<&str>, ApiError> {
            let value = head.headers.get(name).map(|value| value.to_str());
            value.transpose().map_err(|_| ApiError::invalid(format!("{name}: header is not plain text")))
        };
        let bearer = header("authorization")?.and_then(|value| value.strip_prefix("Bearer "));
        let customer = self.requests.customer(header("x-api-key")?.or(bearer))?;
        let place = self.place(customer)?;
        let bytes = self.body(body).await?;
        let asked = parse(&bytes)?;
        drop(bytes);
        let rules = self.requests.rules();
        let headers = Headers {
            api_key: None,
            session: header(&rules.session_header)?,
            timeout: header(&rules.timeout_header)?,
        };
        let facts = self.requests.facts(&asked, customer, &headers)?;
        let text =
            |name| Ok::<_, ApiError>(header(name)?.filter(|text| text.len() <= 256).map(str::to_owned));
        let ask = Ask {
            prompt: asked.prompt(),
            max_tokens: asked.max_tokens,
            streamed: asked.stream,
            client_id: text(wire::REQUEST_ID)?,
            effect_key: text(wire::EFFECT_KEY)?,
            model: asked.model,
        };
        let (reply, answer) = oneshot::channel();
        let model = Rc::from(ask.model.as_str());
        let (pieces, slow_ms) = (self.settings.pieces_waiting, self.settings.slow_client_ms);
        let owed = Owed::new(reply, id, model, pieces, slow_ms, self.dropped.clone());
        let mut leave = Leave { completion, core: Some(self.core.clone()) };
        let told = Told::Arrived { completion, facts, received_ms, ask: Rc::new(ask), owed };
        if self.core.send(told).await.is_err() {
            return Err(ApiError::new(ErrorKind::Api, "the router stops"));
        }
        let reply = answer.await;
        match reply {
            Ok(Reply::Stream(pieces)) => {
                let leave = Leaving { leave, _place: place };
                let mut response = Response::new(ReplyBody::Pieces { pieces, leave });
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
                response.headers_mut().insert("cache-control", HeaderValue::from_static("no-cache"));
                Ok(response)
            }
            other => {
                leave.core = None;
                match other {
                    Ok(Reply::Whole(answer)) => {
                        let mut response = Response::new(ReplyBody::Whole(Some(Bytes::from(answer.body()))));
                        response
                            .headers_mut()
                            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                        Ok(response)
                    }
                    Ok(Reply::Error(refused)) => Err(refused),
                    _ => Err(ApiError::new(ErrorKind::Api, "the router stops")),
                }
            }
        }
    }

    fn place(&self, customer: Option<CustomerId>) -> Result<Place, ApiError> {
        let taken = self.admission.borrow_mut().take(customer);
        let refused = |kind, message| {
            self.turned_away.set(self.turned_away.get() + 1);
            let mut error = ApiError::new(kind, message);
            error.retry_after_ms = Some(1000.0);
            error
        };
        match taken {
            Ok(()) => Ok(Place { admission: self.admission.clone(), customer }),
            Err(TurnedAway::Full) => {
                Err(refused(ErrorKind::Overloaded, "too many completions are open here"))
            }
            Err(TurnedAway::Stopping) => Err(refused(ErrorKind::Overloaded, "this router is about to stop")),
            Err(TurnedAway::BeyondShare) => {
                Err(refused(ErrorKind::RateLimited, "too many completions of this customer are open here"))
            }
        }
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
