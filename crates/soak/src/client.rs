//! Simulated clients: each sends one request at a time on its connection; some misbehave.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::configuration::{RequestClass, CLASSES};
use crate::http::ReadBuffer;
use crate::link::reset;
use crate::record::{Ending, Record, Request, RouterId};

/// How long after its deadline a client stops waiting for a response, in ms.
const RESPONSE_GRACE_MS: f64 = 2500.0;
/// How long a stream may be silent before its client stops reading, in ms.
const STREAM_SILENCE_MS: f64 = 7000.0;

/// The shares of requests whose clients misbehave.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClientBehavior {
    /// Share of requests whose client closes before the response is complete.
    pub leave_share: f64,
    /// Share of requests that stop in the middle while their client keeps the connection open.
    pub half_share: f64,
    /// Share of requests sent in pieces.
    pub piece_share: f64,
    /// Share of requests with a very short deadline.
    pub hurried_share: f64,
}

/// State shared by all clients.
pub struct Clients {
    record: Record,
    /// Addresses of the routers.
    pub addresses: Vec<SocketAddr>,
    /// For each router, whether clients connect to it.
    pub admitted: RefCell<Vec<bool>>,
    /// How clients behave at present.
    pub behavior: Cell<ClientBehavior>,
    /// Set when clients are to begin no more requests.
    pub stopped: Cell<bool>,
    /// Number of open requests.
    pub open: Cell<usize>,
    next_request: Cell<u64>,
    pub(crate) seed: u64,
    longest_deadline_s: f64,
}

/// A connection to a router.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    incoming: ReadBuffer,
    responses: usize,
    router: RouterId,
    pub(crate) generation: usize,
}

impl Connection {
    /// Whether the router has closed the connection; a client that notices this does not use it.
    pub(crate) fn closed(&self) -> bool {
        matches!(self.stream.try_read(&mut [0]), Ok(0))
    }
}

/// The request that a client is about to send, and how it will behave.
pub(crate) struct PlannedRequest {
    class: RequestClass,
    /// The client closes its connection this long after sending the request, unless the response is complete
    /// by then.
    leaves_after_ms: Option<f64>,
    /// Only the first half is sent.
    half: bool,
    /// The request is sent in small pieces.
    pieces: bool,
    /// The second half of the request follows the first after this time.
    pub(crate) pause_ms: Option<f64>,
    deadline_ms: f64,
    tokens: u64,
    session: u64,
}

impl Clients {
    /// Clients of the routers at these addresses. No client runs yet.
    pub fn new(
        record: Record,
        addresses: Vec<SocketAddr>,
        seed: u64,
        longest_deadline_s: f64,
    ) -> Rc<Clients> {
        let admitted = RefCell::new(vec![false; addresses.len()]);
        Rc::new(Clients {
            record,
            addresses,
            admitted,
            behavior: Cell::default(),
            stopped: Cell::new(false),
            open: Cell::new(0),
            next_request: Cell::new(0),
            seed,
            longest_deadline_s,
        })
    }

    /// Runs a client, which pauses between requests and reuses its connection for as long as it is open.
    pub async fn run(self: Rc<Self>, number: usize, pause_ms: f64) {
        let mut rng =
            fastrand::Rng::with_seed(self.seed ^ (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut connection: Option<Connection> = None;
        while !self.stopped.get() {
            sleep(Duration::from_secs_f64(pause_ms * (0.5 + rng.f64()) / 1e3)).await;
            let reusable =
                |open: &Connection| open.generation == self.record.generation(open.router) && !open.closed();
            let open = match connection.take().filter(reusable) {
                Some(open) => Some(open),
                None => self.connect(&mut rng).await,
            };
            let Some(open) = open else { continue };
            let planned_request = self.planned_request(&mut rng);
            connection = self.send_request(open, planned_request).await;
        }
    }

    /// Sends one request with the full deadline of its class. Returns whether it got a complete response with
    /// status 200.
    pub async fn request_once(&self, router: RouterId) -> bool {
        let Ok(stream) = TcpStream::connect(self.addresses[router]).await else { return false };
        let _ = stream.set_nodelay(true);
        let (incoming, generation) = (ReadBuffer::default(), self.record.generation(router));
        let connection = Connection { stream, incoming, responses: 0, router, generation };
        let class = CLASSES[0];
        let session = fastrand::Rng::with_seed(self.next_request.get()).u64(..);
        let deadline_ms = self.deadline_ms(&class);
        let planned_request = PlannedRequest {
            class,
            leaves_after_ms: None,
            half: false,
            pieces: false,
            pause_ms: None,
            deadline_ms,
            tokens: 100,
            session,
        };
        let id = self.next_id();
        self.exchange(connection, planned_request, &id).await;
        let ended = self.record.with(|observed| observed.requests.get(&id).and_then(|request| request.ended));
        matches!(ended, Some((_, Ending::Whole { status: 200 })))
    }

    async fn connect(&self, rng: &mut fastrand::Rng) -> Option<Connection> {
        let admitted: Vec<_> = {
            let admitted = self.admitted.borrow();
            (0..admitted.len()).filter(|router| admitted[*router]).collect()
        };
        let router = *admitted.get(rng.usize(..admitted.len().max(1)))?;
        self.connect_to(router).await
    }

    pub(crate) async fn connect_to(&self, router: RouterId) -> Option<Connection> {
        let address = self.addresses[router];
        let generation = self.record.generation(router);
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, incoming: ReadBuffer::default(), responses: 0, router, generation })
    }

    fn deadline_ms(&self, class: &RequestClass) -> f64 {
        class.deadline_share * self.longest_deadline_s * 1e3
    }

    pub(crate) fn planned_request(&self, rng: &mut fastrand::Rng) -> PlannedRequest {
        let behavior = self.behavior.get();
        let class = CLASSES[rng.usize(..CLASSES.len())];
        let short_deadline = rng.f64() < behavior.hurried_share;
        let leaves = rng.f64() < behavior.leave_share;
        PlannedRequest {
            class,
            leaves_after_ms: leaves.then(|| rng.f64() * 120.0),
            half: rng.f64() < behavior.half_share,
            pieces: rng.f64() < behavior.piece_share,
            pause_ms: None,
            deadline_ms: if short_deadline { 20.0 + 200.0 * rng.f64() } else { self.deadline_ms(&class) },
            tokens: if rng.bool() { 100 } else { 20_000 },
            session: rng.u64(..64),
        }
    }

    /// Index of the newest process of a router.
    pub(crate) fn generation(&self, router: RouterId) -> usize {
        self.record.generation(router)
    }

    fn next_id(&self) -> String {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        format!("{number:x}")
    }

    pub(crate) async fn send_request(
        &self,
        connection: Connection,
        planned_request: PlannedRequest,
    ) -> Option<Connection> {
        let id = self.next_id();
        self.open.set(self.open.get() + 1);
        let reusable = self.exchange(connection, planned_request, &id).await;
        self.open.set(self.open.get() - 1);
        reusable
    }

    fn end(&self, id: &str, ending: Ending) {
        let now_ms = self.record.now_ms();
        self.record.with(|observed| {
            if let Some(request) = observed.requests.get_mut(id) {
                request.ended.get_or_insert((now_ms, ending));
            }
        });
    }

    /// Sends a request and reads its response. Returns the connection if it can be reused.
    async fn exchange(
        &self,
        mut connection: Connection,
        planned_request: PlannedRequest,
        id: &str,
    ) -> Option<Connection> {
        let PlannedRequest { class, deadline_ms, tokens, session, .. } = planned_request;
        let body = "{\"model\":\"chat\",\"stream\":true,\"messages\":[]}";
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {}\r\n\
             Req-Owner: acme\r\nReq-Key: {session:016x}\r\nReq-Deadline: {:.3}\r\nIdempotency-Key: k-{id}\r\n\
             Req-Extra: prompt_len={tokens},max_out=8\r\nContent-Length: {}\r\n\r\n{body}",
            class.name,
            deadline_ms / 1e3,
            body.len()
        );
        let request = Request {
            router: connection.router,
            generation: connection.generation,
            idempotency: class.idempotency,
            reused_connection: connection.responses > 0,
            started_ms: self.record.now_ms(),
            sent_ms: None,
            deadline_ms,
            response_started_ms: None,
            events_ms: Vec::new(),
            ended: None,
            half: planned_request.half,
        };
        self.record.with(|observed| observed.requests.insert(id.to_owned(), request));
        if self.send(&mut connection.stream, text.as_bytes(), &planned_request).await.is_err() {
            self.end(id, Ending::Closed);
            return None;
        }
        let now_ms = self.record.now_ms();
        if !planned_request.half {
            self.record
                .with(|observed| observed.requests.get_mut(id).map(|request| request.sent_ms = Some(now_ms)));
        }
        let response = self.read_response(&mut connection, id, deadline_ms);
        let result = match planned_request.leaves_after_ms {
            None => response.await,
            Some(after_ms) => match timeout(Duration::from_secs_f64(after_ms / 1e3), response).await {
                Ok(result) => result,
                Err(_) => {
                    self.end(id, Ending::Left);
                    if planned_request.tokens > 100 {
                        reset(&connection.stream);
                    }
                    return None;
                }
            },
        };
        match result {
            Ok(reusable) => {
                connection.responses += 1;
                reusable.then_some(connection)
            }
            Err(ending) => {
                self.end(id, ending);
                None
            }
        }
    }

    async fn send(
        &self,
        stream: &mut TcpStream,
        text: &[u8],
        planned_request: &PlannedRequest,
    ) -> std::io::Result<()> {
        if planned_request.half {
            return stream.write_all(&text[..text.len() / 2]).await;
        }
        if let Some(pause_ms) = planned_request.pause_ms {
            let (first, rest) = text.split_at(text.len() / 2);
            stream.write_all(first).await?;
            // A client that gets a response in the meantime does not send the rest.
            if timeout(Duration::from_secs_f64(pause_ms / 1e3), stream.readable()).await.is_ok() {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            return stream.write_all(rest).await;
        }
        if planned_request.pieces {
            for piece in text.chunks(40) {
                stream.write_all(piece).await?;
                sleep(Duration::from_millis(2)).await;
            }
            return Ok(());
        }
        stream.write_all(text).await
    }

    /// Reads one response. Returns whether the connection can be reused.
    async fn read_response(
        &self,
        connection: &mut Connection,
        id: &str,
        deadline_ms: f64,
    ) -> Result<bool, Ending> {
        let until = Instant::now() + Duration::from_secs_f64((deadline_ms + RESPONSE_GRACE_MS) / 1e3);
        let Connection { stream, incoming, .. } = connection;
        let head = loop {
            if let Some(head) = incoming.take_head() {
                break head;
            }
            read_more(stream, incoming, until, Ending::Silent, Ending::Closed).await?;
        };
        if !head.chunked() {
            while incoming.take_body(head.length()).is_none() {
                read_more(stream, incoming, until, Ending::Silent, Ending::Closed).await?;
            }
            self.end(id, Ending::Whole { status: head.status() });
            return Ok(!head.closes());
        }
        loop {
            match incoming.take_chunk() {
                Ok(Some(data)) if data.is_empty() => {
                    self.end(id, Ending::Whole { status: head.status() });
                    return Ok(!head.closes());
                }
                Ok(Some(_)) => {
                    let now_ms = self.record.now_ms();
                    self.record.with(|observed| {
                        if let Some(request) = observed.requests.get_mut(id) {
                            request.response_started_ms.get_or_insert(now_ms);
                            request.events_ms.push(now_ms);
                        }
                    });
                }
                Ok(None) => {
                    let until = Instant::now() + Duration::from_secs_f64(STREAM_SILENCE_MS / 1e3);
                    read_more(stream, incoming, until, Ending::Silent, Ending::Cut).await?;
                }
                Err(_) => return Err(Ending::Cut),
            }
        }
    }
}

async fn read_more(
    stream: &mut TcpStream,
    incoming: &mut ReadBuffer,
    until: Instant,
    on_timeout: Ending,
    on_close: Ending,
) -> Result<(), Ending> {
    match tokio::time::timeout_at(until, incoming.read_more(stream)).await {
        Err(_) => Err(on_timeout),
        Ok(Ok(read)) if read > 0 => Ok(()),
        Ok(_) => Err(on_close),
    }
}
