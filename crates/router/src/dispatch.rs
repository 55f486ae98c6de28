//! One dispatch: a task that sends a completion to a server and tells the core how it ended.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Response};
use paddleproxy::interface::{CompletionId, Seq};
use paddleproxy_engine as wire;
use paddleproxy_engine::{Data, SseReader, StateReference};
use paddleproxy_messages::{Answer, Stop, Usage};
use paddleproxy_routing::{OutgoingDispatch, SocketEnd, Stage, StallDetector, WriteCheck};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::answer::{Left, Stream};
use crate::clock::{duration, Clock};
use crate::engines::{load, request, Connection, Engines};
use crate::events::{ClientRequest, CoreEvent, CoreSender, DispatchCommand, DispatchEnd};

pub struct Dispatch {
    pub sending: OutgoingDispatch,
    pub address: Option<SocketAddr>,
    pub request_id: String,
    pub ask: Rc<ClientRequest>,
    pub words: mpsc::Receiver<DispatchCommand>,
    pub engines: Rc<Engines>,
    pub clock: Clock,
    pub core: CoreSender,
}

impl Dispatch {
    pub async fn run(mut self) {
        let sent = Instant::now();
        let (completion, seq) = (self.sending.completion, self.sending.seq);
        let end = match self.carry(sent).await {
            Ok(end) => end,
            Err(end) => end.into(),
        };
        let took_ms = sent.elapsed().as_secs_f64() * 1e3;
        // The core outlives its dispatches; if it does not, nobody is left to be told.
        let _ = self.core.send(CoreEvent::Ended { completion, seq, took_ms, end }).await;
    }

    async fn carry(&mut self, sent: Instant) -> Result<DispatchEnd, SocketEnd> {
        let address = self.address.ok_or(SocketEnd::NoAddress)?;
        let reads = self.sending.stage == Stage::Read;
        let asks = wire::CompletionRequest {
            model: self.ask.model.clone(),
            prompt: self.ask.prompt.clone(),
            max_tokens: if reads { 1 } else { self.ask.max_tokens },
            stream: !reads,
            stop: if reads { Vec::new() } else { self.ask.stop.clone() },
            stream_options: (!reads).then_some(wire::StreamOptions { include_usage: true }),
            kv_transfer_params: match &self.sending.state {
                _ if reads => Some(StateReference::ask()),
                state => state.as_deref().cloned(),
            },
        };
        let body = serde_json::to_vec(&asks).map_err(|_| SocketEnd::NeverWritten)?;
        let mut headers = vec![(wire::REQUEST_ID, self.request_id.as_str())];
        headers.extend(self.ask.client_id.as_deref().map(|id| (wire::CLIENT_ID, id)));
        headers.extend(self.ask.effect_key.as_deref().map(|key| (wire::EFFECT_KEY, key)));
        let request = request(address, Method::POST, wire::COMPLETIONS, Bytes::from(body), &headers)?;
        drop(asks);
        let until = self.clock.at(self.sending.until_ms);
        let engines = self.engines.clone();
        let (clock, until_ms, repeat_by_ms) = (self.clock, self.sending.until_ms, self.sending.repeat_by_ms);
        let may_write = || {
            let check = WriteCheck {
                now_ms: clock.now_ms(),
                until_ms,
                repeat_by_ms,
                server_ready: true,
                client_gone: false,
            };
            check.time_left_ms().map(|_| ())
        };
        let (response, connection) = tokio::select! {
            biased;
            _ = self.words.recv() => return Err(SocketEnd::Stopped),
            answered = engines.send(address, request, may_write) => answered?,
            () = sleep_until(until) => return Err(SocketEnd::TimedOut),
        };
        if let Some(load) = load(&response) {
            let worker = self.sending.worker.clone();
            let _ = self.core.send(CoreEvent::LoadReported { worker, load }).await;
        }
        let status = response.status().as_u16();
        if !response.status().is_success() {
            return Err(self.refused(status, response, connection, until).await);
        }
        let kind = response.headers().get(hyper::header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
        let expected = if reads { "application/json" } else { "text/event-stream" };
        if !kind.is_some_and(|kind| kind.starts_with(expected)) {
            return Err(SocketEnd::Nonsense(format!(
                "content type {:.64} is not {expected}",
                kind.unwrap_or("none")
            )));
        }
        if reads {
            self.read(response, connection, until).await
        } else {
            self.answer(response, connection, until, sent).await
        }
    }

    /// A whole body within the time left.
    async fn body(&mut self, response: Response<Incoming>, until: Instant) -> Result<Bytes, SocketEnd> {
        let whole = Limited::new(response.into_body(), self.engines.settings.answer_bytes).collect();
        tokio::select! {
            biased;
            _ = self.words.recv() => Err(SocketEnd::Stopped),
            whole = whole => whole.map(|whole| whole.to_bytes()).map_err(|cause| {
                match cause.downcast_ref::<http_body_util::LengthLimitError>() {
                    Some(_) => SocketEnd::Nonsense("the answer is too long".into()),
                    None => SocketEnd::BrokeWithinAnswer,
                }
            }),
            () = sleep_until(until) => Err(SocketEnd::TimedOut),
        }
    }

    async fn refused(
        &mut self,
        status: u16,
        response: Response<Incoming>,
        connection: Connection,
        until: Instant,
    ) -> SocketEnd {
        match self.body(response, until).await {
            Ok(body) => {
                self.engines.keep(connection);
                wire::Refusal::of(status, &body).map_or(SocketEnd::ErrorStatus(status), SocketEnd::TurnedAway)
            }
            Err(SocketEnd::Stopped) => SocketEnd::Stopped,
            Err(_) => SocketEnd::ErrorStatus(status),
        }
    }

    async fn read(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        until: Instant,
    ) -> Result<DispatchEnd, SocketEnd> {
        let body = self.body(response, until).await?;
        let done: wire::Completion = serde_json::from_slice(&body)
            .map_err(|cause| SocketEnd::Nonsense(format!("the answer of a read: {cause}")))?;
        self.engines.keep(connection);
        let state = done.kv_transfer_params.filter(StateReference::usable);
        if state.is_none() {
            return Err(SocketEnd::Nonsense("the state reference is none".into()));
        }
        let cached_tokens = done.usage.map_or(0.0, |usage| usage.cached() as f64);
        Ok(DispatchEnd { end: SocketEnd::ReadDone, cached_tokens, state, answer: None })
    }

    async fn answer(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        until: Instant,
        sent: Instant,
    ) -> Result<DispatchEnd, SocketEnd> {
        let mut body = response.into_body();
        let mut reader = SseReader::new(self.engines.settings.line_bytes);
        let mut answer = Answering::default();
        answer.usage.input_tokens = self.ask.prompt_tokens;
        answer.read_kept = self.sending.state.as_ref().map(|_| self.sending.read_cached_tokens as u64);
        let mut stream: Option<(Stream, StallDetector)> = None;
        let ping_ms = self.engines.settings.ping_ms;
        let mut ping = Instant::now() + duration(ping_ms);
        let ended = loop {
            let limit = stream.as_ref().map_or(until, |(_, pace)| self.clock.at(pace.deadline_ms()));
            let frame = tokio::select! {
                biased;
                _ = self.words.recv() => break Err(SocketEnd::Stopped),
                frame = body.frame() => frame,
                () = sleep_until(limit) => {
                    break Err(if stream.is_some() { SocketEnd::Stalled } else { SocketEnd::TimedOut });
                }
                () = sleep_until(ping), if stream.is_some() => {
                    ping = Instant::now() + duration(ping_ms);
                    if let Some((stream, _)) = stream.as_mut() {
                        if stream.ping().await.is_err() {
                            break Err(client_left(Left));
                        }
                    }
                    continue;
                }
            };
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) | None if stream.is_some() => break Err(SocketEnd::BrokeAfterFirst),
                Some(Err(_)) | None => break Err(SocketEnd::BrokeWithinAnswer),
            };
            reader.push(&bytes);
            let texts = match answer.take(&mut reader, self.engines.settings.answer_bytes) {
                Ok(texts) => texts,
                Err(what) => break Err(SocketEnd::Nonsense(what)),
            };
            if !self.ask.streamed {
                answer.text.extend(texts);
            } else if stream.is_none() && (!texts.is_empty() || answer.done) {
                match self.begin(sent).await {
                    Ok(mut granted) => {
                        let begun = granted.start(answer.usage).await;
                        let handed = if begun.is_ok() { granted.text(&texts).await } else { begun };
                        stream = Some((
                            granted,
                            StallDetector::new(self.clock.now_ms(), self.engines.settings.stall_ms),
                        ));
                        if let Err(left) = handed {
                            break Err(client_left(left));
                        }
                    }
                    Err(end) => break Err(end),
                }
            } else if let Some((stream, pace)) = stream.as_mut().filter(|_| !texts.is_empty()) {
                // What the client takes its time for is not the server's silence.
                let handed = stream.text(&texts).await;
                pace.record_event(self.clock.now_ms());
                ping = Instant::now() + duration(ping_ms);
                if let Err(left) = handed {
                    break Err(client_left(left));
                }
            }
            if answer.done {
                break Ok(());
            }
        };
        match (ended, stream.map(|(stream, _)| stream)) {
            (Ok(()), stream) => {
                let cached_tokens = answer.usage.cached_tokens as f64;
                let whole = match stream {
                    Some(stream) => {
                        // A client who left with the last piece on its way has its answer for all we know.
                        let _ = stream.finish(answer.stop, answer.usage).await;
                        None
                    }
                    None => Some(Answer { text: answer.text, stop: answer.stop, usage: answer.usage }),
                };
                self.reuse(body, connection);
                Ok(DispatchEnd { end: SocketEnd::AnswerDone, cached_tokens, state: None, answer: whole })
            }
            (Err(end), None) => Err(end),
            (Err(SocketEnd::Stopped), Some(stream)) => {
                stream.broken("the answer was called off").await;
                Err(SocketEnd::Stopped)
            }
            (Err(end), Some(stream)) => {
                stream.broken("the model server broke off within the answer").await;
                Err(end)
            }
        }
    }

    /// Asks the core whether this stream is the answer.
    async fn begin(&mut self, sent: Instant) -> Result<Stream, SocketEnd> {
        let (completion, seq) = (self.sending.completion, self.sending.seq);
        let took_ms = sent.elapsed().as_secs_f64() * 1e3;
        let _ = self.core.send(CoreEvent::Began { completion, seq, took_ms }).await;
        match self.words.recv().await {
            Some(DispatchCommand::Grant(stream)) => Ok(stream),
            Some(DispatchCommand::Stop) | None => Err(SocketEnd::Stopped),
        }
    }

    /// Reads on to the end of the body, so that the connection can serve again.
    fn reuse(&self, mut body: Incoming, connection: Connection) {
        let engines = self.engines.clone();
        tokio::task::spawn_local(async move {
            // Nothing may follow; a peer that sends on is cut.
            let rest = async { body.frame().await.is_none() };
            if tokio::time::timeout(duration(engines.settings.probe_ms), rest).await == Ok(true) {
                engines.keep(connection);
            }
        });
    }
}

/// Whether a client left or was cut for its slowness, the work is called off.
fn client_left(_: Left) -> SocketEnd {
    SocketEnd::Stopped
}

/// What was read of an answer so far.
#[derive(Default)]
struct Answering {
    text: String,
    bytes: usize,
    stop: Stop,
    stopped: bool,
    usage: Usage,
    /// What the read found kept, where another server did it.
    read_kept: Option<u64>,
    done: bool,
}

impl Answering {
    /// The texts of all events that are complete.
    fn take(&mut self, reader: &mut SseReader, bound: usize) -> Result<Vec<String>, String> {
        let mut texts = Vec::new();
        while let Some(data) = reader.next_event()? {
            let json = match data {
                Data::Json(json) => json,
                Data::Done if self.stopped => {
                    self.done = true;
                    break;
                }
                Data::Done => return Err("the stream ended without a reason".into()),
            };
            let chunk: wire::Completion =
                serde_json::from_str(&json).map_err(|cause| format!("an event of an answer: {cause}"))?;
            if let Some(usage) = chunk.usage {
                self.usage = Usage {
                    input_tokens: usage.prompt_tokens,
                    cached_tokens: self.read_kept.unwrap_or(usage.cached()),
                    output_tokens: usage.completion_tokens,
                };
            }
            for choice in chunk.choices {
                self.bytes += choice.text.len();
                if self.bytes > bound {
                    return Err(format!("an answer longer than {bound} bytes"));
                }
                if self.stopped && !choice.text.is_empty() {
                    return Err("text after the end of the answer".into());
                }
                self.stopped |= choice.finish_reason.is_some();
                match (choice.finish_reason.as_deref(), choice.stop_reason) {
                    (Some("length"), _) => self.stop = Stop::MaxTokens,
                    (Some(_), Some(sequence)) => self.stop = Stop::Sequence(sequence),
                    _ => {}
                }
                if !choice.text.is_empty() {
                    texts.push(choice.text);
                }
            }
        }
        Ok(texts)
    }
}

/// The name of a dispatch on the wire: router, start, completion, number.
pub fn request_id(router: usize, boot: u64, completion: CompletionId, seq: Seq) -> String {
    format!("{router}.{boot:x}.{}.{}", completion.0, seq.0)
}

#[cfg(test)]
#[path = "dispatch_tests.rs"]
mod tests;
