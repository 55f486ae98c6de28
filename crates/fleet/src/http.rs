//! HTTP endpoints of a simulated server and of the list service: listeners, connections and requests.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use paddleproxy::interface::Role;
use paddleproxy_engine::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::record::What;
use crate::server::{DispatchEvent, DispatchGuard, Server};

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Tasks of one server's process: open connections and running work.
pub type Tasks = Rc<RefCell<JoinSet<()>>>;

pub enum ResponseBody {
    Whole(Option<Bytes>),
    Chunks(mpsc::Receiver<Bytes>, Option<OpenDispatch>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            // An empty chunk marks an answer that is aborted.
            ResponseBody::Chunks(chunks, _) => chunks.poll_recv(cx).map(|chunk| match chunk {
                Some(bytes) if bytes.is_empty() => Some(Err(std::io::Error::other("aborted"))),
                chunk => chunk.map(|bytes| Ok(Frame::data(bytes))),
            }),
        }
    }
}

/// Records the end of a dispatch once its connection drops it.
pub struct OpenDispatch {
    server: Rc<Server>,
    request: String,
}

impl Drop for OpenDispatch {
    fn drop(&mut self) {
        self.server
            .record(What::Ended { server: self.server.name(), request: std::mem::take(&mut self.request) });
    }
}

/// Accepts connections until the server's process ends. Connections beyond the kind's limit are closed at
/// once.
pub async fn listen(server: Rc<Server>, listener: TcpListener, tasks: Tasks) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let mut set = tasks.borrow_mut();
        while set.try_join_next().is_some() {}
        if server.kind().connections.is_some_and(|max| Rc::strong_count(&open) > max) {
            continue;
        }
        let (server, tasks, open) = (server.clone(), tasks.clone(), open.clone());
        set.spawn_local(async move {
            serve(server, stream, tasks).await;
            drop(open);
        });
    }
}

async fn serve(server: Rc<Server>, stream: TcpStream, tasks: Tasks) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let (server, tasks) = (server.clone(), tasks.clone());
        async move { answer(server, tasks, request).await.map_err(|()| std::io::Error::other("aborted")) }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn json(server: &Server, status: u16, body: String) -> Response<ResponseBody> {
    let built = Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .header(LOAD_HEADER, server.load().to_header())
        .body(ResponseBody::Whole(Some(Bytes::from(body))));
    built.unwrap_or_else(|_| Response::new(ResponseBody::Whole(None)))
}

fn rejected(server: &Server, request: &str, refusal: Refusal) -> Response<ResponseBody> {
    let (name, code) = (server.name(), refusal.code().to_owned());
    server.record(What::Rejected { server: name, request: request.to_owned(), code });
    json(server, refusal.status(), refusal.body())
}

/// Answers one request. An `Err` closes the connection without a response.
async fn answer(
    server: Rc<Server>,
    tasks: Tasks,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ()> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| ())?.to_bytes();
    let header =
        |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
    let bad_request =
        |server: &Server| json(server, 400, error_body("invalid_request_error", "not understood", None));
    if server.silent() && head.uri.path() != COMPLETIONS {
        std::future::pending::<()>().await;
    }
    Ok(match head.uri.path() {
        COMPLETIONS => {
            let Ok(request) = serde_json::from_slice::<CompletionRequest>(&body) else {
                return Ok(bad_request(&server));
            };
            let ids = RequestIds {
                request: header(REQUEST_ID),
                client: header(CLIENT_REQUEST_ID),
                key: header(IDEMPOTENCY_KEY),
            };
            return completion(server, tasks, request, ids).await;
        }
        PROBE => {
            server.record_work(0.3);
            json(&server, 200, "{}".into())
        }
        RELEASE => match serde_json::from_slice::<ReleaseRequest>(&body) {
            Ok(request) => {
                server.release(&request.request_id);
                json(&server, 200, "{}".into())
            }
            Err(_) => bad_request(&server),
        },
        HOLD => match serde_json::from_slice::<HoldRequest>(&body) {
            Ok(request) => {
                let held = server.hold(&request.request_id, request.tokens as f64);
                json(&server, 200, serde_json::to_string(&HoldReply { held }).unwrap_or_default())
            }
            Err(_) => bad_request(&server),
        },
        TAKE => match serde_json::from_slice::<TakeRequest>(&body) {
            Ok(request) => take(&server, request.block, &header("x-cell")).await,
            Err(_) => bad_request(&server),
        },
        _ => json(&server, 404, error_body("not_found", "no such path", None)),
    })
}

/// Transfers a state over the links of the cells and releases it afterwards.
async fn take(server: &Rc<Server>, block: u64, cell: &str) -> Response<ResponseBody> {
    let Some(tokens) = server.begin_move(block) else {
        return json(server, 404, error_body("not_found", "no such state", None));
    };
    let near = cell == server.row.cell.to_string();
    server.shared.links.transfer(server.row.cell, near, tokens).await;
    server.drop_state(block, "taken");
    json(server, 200, serde_json::to_string(&TakeReply { tokens: tokens as u64 }).unwrap_or_default())
}

/// Fetches a state from the server that holds it; `None` if that fails.
async fn fetch(server: &Server, state: &StateReference) -> Option<()> {
    let host = state.remote_host.as_deref()?;
    let address: SocketAddr = format!("{host}:{}", state.remote_port?).parse().ok()?;
    let block = *state.remote_block_ids.as_ref()?.first()?;
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    let body = serde_json::to_vec(&TakeRequest { block }).ok()?;
    let request = Request::post(TAKE).header("host", address.to_string()).header("x-cell", server.row.cell);
    let response = sender.send_request(request.body(Full::new(Bytes::from(body))).ok()?).await.ok()?;
    response.status().is_success().then_some(())
}

struct RequestIds {
    request: String,
    client: String,
    key: String,
}

async fn completion(
    server: Rc<Server>,
    tasks: Tasks,
    request: CompletionRequest,
    ids: RequestIds,
) -> Result<Response<ResponseBody>, ()> {
    let arrived_ms = server.now_ms();
    let reference = request.kv_transfer_params.clone().filter(|state| state.do_remote_prefill);
    let answer = Answer::of(&request);
    let (work, work_ms) = server.work(&request.prompt, answer.words.len() as u32, reference.is_some());
    let tokens = work.tokens;
    let open = OpenDispatch { server: server.clone(), request: ids.request.clone() };
    server.record(What::Dispatch {
        server: server.name(),
        request: ids.request.clone(),
        client: ids.client.clone(),
        model: request.model.clone(),
        work_ms,
        writes: server.kind().role != Role::Reader,
    });
    if server.record_work(work_ms) {
        server.record(What::FellOver { server: server.name() });
    }
    if server.silent() {
        std::future::pending::<()>().await;
    }
    let faults = server.response_faults();
    let affects_model = faults.erring_model.as_ref().is_none_or(|model| *model == request.model);
    if affects_model && server.shared.with_probability(faults.erring) {
        return Ok(json(&server, 500, error_body("server_error", "it failed", None)));
    }
    let (guard, mut events) = match server.arrive(&ids.request, work) {
        Ok(accepted) => accepted,
        Err(refusal) => return Ok(rejected(&server, &ids.request, refusal)),
    };
    // The channel is closed once the server's process has ended.
    while let Some(event) = events.recv().await {
        match event {
            DispatchEvent::Fetch => {
                let (server, reference) = (server.clone(), reference.clone());
                let (start, id) = (guard.start, guard.id);
                tasks.borrow_mut().spawn_local(async move {
                    let available = match &reference {
                        Some(reference) => fetch(&server, reference).await.is_some(),
                        None => false,
                    };
                    server.fetched(start, id, available);
                });
            }
            DispatchEvent::Refused(refusal) => return Ok(rejected(&server, &ids.request, refusal)),
            DispatchEvent::Read { cached_tokens } => {
                let state = StateReference {
                    do_remote_prefill: true,
                    remote_engine_id: Some(server.name()),
                    remote_block_ids: Some(vec![guard.id]),
                    remote_host: Some(server.address.get().ip().to_string()),
                    remote_port: Some(server.address.get().port()),
                    ..StateReference::default()
                };
                let usage = Some(usage(tokens, cached_tokens, 1));
                let choices = vec![Choice::default()];
                let completion =
                    Completion { id: ids.request.clone(), choices, usage, kv_transfer_params: Some(state) };
                drop(open);
                return Ok(json(&server, 200, serde_json::to_string(&completion).unwrap_or_default()));
            }
            DispatchEvent::First { cached_tokens } => {
                server.effect(&ids.request, &ids.key, &request.model, arrived_ms);
                let lost = server.shared.with_probability(faults.answer_lost);
                let (sender, chunks) = mpsc::channel(8);
                let usage = usage(tokens, cached_tokens, answer.words.len() as u64);
                let writer = write(guard, events, sender, usage, ids.request, lost, answer);
                tasks.borrow_mut().spawn_local(writer);
                let built = Response::builder()
                    .header("content-type", "text/event-stream")
                    .header(LOAD_HEADER, server.load().to_header())
                    .body(ResponseBody::Chunks(chunks, Some(open)));
                return built.map_err(|_| ());
            }
            DispatchEvent::Token | DispatchEvent::Finished => {}
        }
    }
    Err(())
}

/// Content of an answer: its words up to the first stop text, and that stop text.
struct Answer {
    words: Vec<String>,
    stop_reason: Option<String>,
}

impl Answer {
    fn of(request: &CompletionRequest) -> Answer {
        let (mut words, stop_reason) = words(answer_length(request), &request.stop);
        if words.is_empty() {
            // An empty answer still has one token, for its end.
            words.push(String::new());
        }
        Answer { words, stop_reason }
    }
}

/// Words of an answer of `tokens` tokens up to the first stop text, and that stop text.
fn words(tokens: u64, stops: &[String]) -> (Vec<String>, Option<String>) {
    let text = " wort".repeat(tokens as usize);
    let first = stops.iter().filter_map(|stop| Some((text.find(stop.as_str())?, stop))).min();
    let cut = first.map_or(text.as_str(), |(at, _)| &text[..at]);
    let words = cut.as_bytes().chunks(5).map(|word| String::from_utf8_lossy(word).into_owned()).collect();
    (words, first.map(|(_, stop)| stop.clone()))
}

/// Streams an answer as server-sent events, one token each. With `lost`, the work is done but the connection
/// is aborted without an event.
async fn write(
    guard: DispatchGuard,
    mut events: mpsc::Receiver<DispatchEvent>,
    chunks: mpsc::Sender<Bytes>,
    usage: Usage,
    id: String,
    lost: bool,
    answer: Answer,
) {
    let mut chunk = Completion { id, ..Completion::default() };
    let event =
        |chunk: &Completion| format!("data: {}\n\n", serde_json::to_string(chunk).unwrap_or_default());
    let mut words = answer.words.into_iter();
    // The first token was received by the caller.
    let mut next = Some(DispatchEvent::Token);
    while let Some(DispatchEvent::Token) = next {
        let text = words.next().unwrap_or_default();
        chunk.choices = vec![Choice { text, ..Choice::default() }];
        if !lost && chunks.send(Bytes::from(event(&chunk))).await.is_err() {
            return;
        }
        next = tokio::select! {
            next = events.recv() => next,
            _ = chunks.closed() => return,
        };
    }
    if next.is_none() {
        // The process ended before the answer was complete.
        let _ = chunks.send(Bytes::new()).await;
        return;
    }
    drop(guard);
    if lost {
        let _ = chunks.send(Bytes::new()).await;
        return;
    }
    let stop_reason = answer.stop_reason;
    chunk.choices = vec![Choice { finish_reason: Some("stop".into()), stop_reason, ..Choice::default() }];
    let mut last = event(&chunk);
    (chunk.choices, chunk.usage) = (Vec::new(), Some(usage));
    last.push_str(&event(&chunk));
    last.push_str("data: [DONE]\n\n");
    let _ = chunks.send(Bytes::from(last)).await;
}

fn usage(tokens: f64, cached_tokens: f64, completion_tokens: u64) -> Usage {
    Usage {
        prompt_tokens: tokens as u64,
        completion_tokens,
        prompt_tokens_details: Some(PromptDetails { cached_tokens: cached_tokens as u64 }),
    }
}

/// Length of an answer in tokens: between half of `max_tokens` and all of it, determined by the prompt.
fn answer_length(request: &CompletionRequest) -> u64 {
    let max = u64::from(request.max_tokens).max(1);
    let hash =
        request.prompt.bytes().rev().take(64).fold(7u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
    (max / 2 + hash % (max / 2 + 1)).max(1)
}

/// Serves the list service.
pub async fn listen_list(list: Rc<crate::list::ListService>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        if list.down.get() {
            continue;
        }
        let list = list.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let list = list.clone();
                async move {
                    if list.down.get() {
                        return Err(std::io::Error::other("list service is down"));
                    }
                    let query = request.uri().query().unwrap_or("").to_owned();
                    let parameter = |name: &str| {
                        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
                    };
                    let router = parameter("router").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let wait_ms = parameter("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0.0);
                    let after = parameter("after").and_then(|text| text.parse().ok());
                    let epoch = parameter("epoch").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let answer = list.poll(router, epoch, after, wait_ms).await;
                    let body = serde_json::to_vec(&answer).unwrap_or_default();
                    Ok::<_, std::io::Error>(Response::new(Full::new(Bytes::from(body))))
                }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Sends the same bytes to every request, for tests that need a response which no simulated server gives.
pub async fn listen_raw(listener: TcpListener, bytes: Vec<u8>) -> Result<(), Infallible> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { continue };
        let bytes = bytes.clone();
        tokio::task::spawn_local(async move {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(&bytes).await;
            let _ = stream.shutdown().await;
        });
    }
}
