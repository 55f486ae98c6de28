//! One dispatch: a task that sends a completion to a server and reports the end to the core.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Response};
use paddleproxy::interface::{CompletionId, Seq};
use paddleproxy_engine as wire;
use paddleproxy_engine::{SseData, SseReader, StateReference};
use paddleproxy_messages::{Answer, Stop, Usage};
use paddleproxy_routing::{OutgoingDispatch, SocketEnd, Stage, StallDetector, WriteCheck};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::answer::{AnswerStream, ClientDisconnected};
use crate::clock::{duration, Clock};
use crate::engines::{load_report, request, Connection, Engines};
use crate::events::{ClientRequest, CoreEvent, CoreSender, DispatchCommand, DispatchEnd};

pub struct Dispatch {
    pub outgoing: OutgoingDispatch,
    pub address: Option<SocketAddr>,
    pub request_id: String,
    pub request: Rc<ClientRequest>,
    pub commands: mpsc::Receiver<DispatchCommand>,
    pub engines: Rc<Engines>,
    pub clock: Clock,
    pub core: CoreSender,
}

impl Dispatch {
    pub async fn run(mut self) {
        let start = Instant::now();
        let (completion, seq) = (self.outgoing.completion, self.outgoing.seq);
        let end = match self.perform(start).await {
            Ok(end) => end,
            Err(end) => end.into(),
        };
        let took_ms = start.elapsed().as_secs_f64() * 1e3;
        // The core normally outlives its dispatches; once it has ended, the result is of no use.
        let _ = self.core.send(CoreEvent::Ended { completion, seq, took_ms, end }).await;
    }

    async fn perform(&mut self, start: Instant) -> Result<DispatchEnd, SocketEnd> {
        let address = self.address.ok_or(SocketEnd::NoAddress)?;
        let read_only = self.outgoing.stage == Stage::Read;
        let completion_request = wire::CompletionRequest {
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: if read_only { 1 } else { self.request.max_tokens },
            stream: !read_only,
            stop: if read_only { Vec::new() } else { self.request.stop.clone() },
            stream_options: (!read_only).then_some(wire::StreamOptions { include_usage: true }),
            kv_transfer_params: match &self.outgoing.state {
                _ if read_only => Some(StateReference::request_remote_decode()),
                state => state.as_deref().cloned(),
            },
        };
        let body = serde_json::to_vec(&completion_request).map_err(|_| SocketEnd::NeverWritten)?;
        let mut headers = vec![(wire::REQUEST_ID, self.request_id.as_str())];
        headers.extend(self.request.client_id.as_deref().map(|id| (wire::CLIENT_REQUEST_ID, id)));
        headers.extend(self.request.effect_key.as_deref().map(|key| (wire::IDEMPOTENCY_KEY, key)));
        let request = request(address, Method::POST, wire::COMPLETIONS, Bytes::from(body), &headers)?;
        drop(completion_request);
        let deadline = self.clock.at(self.outgoing.until_ms);
        let engines = self.engines.clone();
        let (clock, until_ms, repeat_by_ms) =
            (self.clock, self.outgoing.until_ms, self.outgoing.repeat_by_ms);
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
            _ = self.commands.recv() => return Err(SocketEnd::Stopped),
            result = engines.send(address, request, may_write) => result?,
            () = sleep_until(deadline) => return Err(SocketEnd::TimedOut),
        };
        if let Some(load) = load_report(&response) {
            let worker = self.outgoing.worker.clone();
            let _ = self.core.send(CoreEvent::LoadReported { worker, load }).await;
        }
        let status = response.status().as_u16();
        if !response.status().is_success() {
            return Err(self.rejection(status, response, connection, deadline).await);
        }
        let content_type =
            response.headers().get(hyper::header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let expected = if read_only { "application/json" } else { "text/event-stream" };
        if !content_type.is_some_and(|value| value.starts_with(expected)) {
            return Err(SocketEnd::Nonsense(format!(
                "content type {:.64} is not {expected}",
                content_type.unwrap_or("none")
            )));
        }
        if read_only {
            self.receive_read(response, connection, deadline).await
        } else {
            self.receive_answer(response, connection, deadline, start).await
        }
    }

    /// Receives a complete body before the deadline.
    async fn read_body(
        &mut self,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Bytes, SocketEnd> {
        let body = Limited::new(response.into_body(), self.engines.settings.answer_bytes).collect();
        tokio::select! {
            biased;
            _ = self.commands.recv() => Err(SocketEnd::Stopped),
            body = body => body.map(|body| body.to_bytes()).map_err(|cause| {
                match cause.downcast_ref::<http_body_util::LengthLimitError>() {
                    Some(_) => SocketEnd::Nonsense("the response body is too long".into()),
                    None => SocketEnd::BrokeWithinAnswer,
                }
            }),
            () = sleep_until(deadline) => Err(SocketEnd::TimedOut),
        }
    }

    async fn rejection(
        &mut self,
        status: u16,
        response: Response<Incoming>,
        connection: Connection,
        deadline: Instant,
    ) -> SocketEnd {
        match self.read_body(response, deadline).await {
            Ok(body) => {
                self.engines.return_connection(connection);
                wire::Refusal::of(status, &body).map_or(SocketEnd::ErrorStatus(status), SocketEnd::TurnedAway)
            }
            Err(SocketEnd::Stopped) => SocketEnd::Stopped,
            Err(_) => SocketEnd::ErrorStatus(status),
        }
    }

    async fn receive_read(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        deadline: Instant,
    ) -> Result<DispatchEnd, SocketEnd> {
        let body = self.read_body(response, deadline).await?;
        let completion: wire::Completion = serde_json::from_slice(&body)
            .map_err(|cause| SocketEnd::Nonsense(format!("invalid response to a read: {cause}")))?;
        self.engines.return_connection(connection);
        let state = completion.kv_transfer_params.filter(StateReference::usable);
        if state.is_none() {
            return Err(SocketEnd::Nonsense("the response has no usable state reference".into()));
        }
        let cached_tokens = completion.usage.map_or(0.0, |usage| usage.cached() as f64);
        Ok(DispatchEnd { end: SocketEnd::ReadDone, cached_tokens, state, answer: None })
    }

    async fn receive_answer(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        deadline: Instant,
        start: Instant,
    ) -> Result<DispatchEnd, SocketEnd> {
        let mut body = response.into_body();
        let mut reader = SseReader::new(self.engines.settings.line_bytes);
        let mut progress = AnswerProgress::default();
        progress.usage.input_tokens = self.request.prompt_tokens;
        progress.read_cached_tokens =
            self.outgoing.state.as_ref().map(|_| self.outgoing.read_cached_tokens as u64);
        let mut stream: Option<(AnswerStream, StallDetector)> = None;
        let ping_ms = self.engines.settings.ping_ms;
        let mut next_ping = Instant::now() + duration(ping_ms);
        let result = loop {
            let limit = stream.as_ref().map_or(deadline, |(_, stall)| self.clock.at(stall.deadline_ms()));
            let frame = tokio::select! {
                biased;
                _ = self.commands.recv() => break Err(SocketEnd::Stopped),
                frame = body.frame() => frame,
                () = sleep_until(limit) => {
                    break Err(if stream.is_some() { SocketEnd::Stalled } else { SocketEnd::TimedOut });
                }
                () = sleep_until(next_ping), if stream.is_some() => {
                    next_ping = Instant::now() + duration(ping_ms);
                    if let Some((stream, _)) = stream.as_mut() {
                        if stream.ping().await.is_err() {
                            break Err(client_left(ClientDisconnected));
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
            let texts = match progress.take_events(&mut reader, self.engines.settings.answer_bytes) {
                Ok(texts) => texts,
                Err(cause) => break Err(SocketEnd::Nonsense(cause)),
            };
            if !self.request.streamed {
                progress.text.extend(texts);
            } else if stream.is_none() && (!texts.is_empty() || progress.done) {
                match self.request_grant(start).await {
                    Ok(mut granted) => {
                        let started = granted.start(progress.usage).await;
                        let written = if started.is_ok() { granted.text(&texts).await } else { started };
                        stream = Some((
                            granted,
                            StallDetector::new(self.clock.now_ms(), self.engines.settings.stall_ms),
                        ));
                        if let Err(left) = written {
                            break Err(client_left(left));
                        }
                    }
                    Err(end) => break Err(end),
                }
            } else if let Some((stream, stall)) = stream.as_mut().filter(|_| !texts.is_empty()) {
                // The time that a slow client takes doesn't count towards the stall of the server.
                let written = stream.text(&texts).await;
                stall.record_event(self.clock.now_ms());
                next_ping = Instant::now() + duration(ping_ms);
                if let Err(left) = written {
                    break Err(client_left(left));
                }
            }
            if progress.done {
                break Ok(());
            }
        };
        match (result, stream.map(|(stream, _)| stream)) {
            (Ok(()), stream) => {
                let cached_tokens = progress.usage.cached_tokens as f64;
                let answer = match stream {
                    Some(stream) => {
                        // If the client left while the last piece was on its way, it may have received the
                        // whole answer, so the completion counts as answered.
                        let _ = stream.finish(progress.stop, progress.usage).await;
                        None
                    }
                    None => Some(Answer { text: progress.text, stop: progress.stop, usage: progress.usage }),
                };
                self.recycle_connection(body, connection);
                Ok(DispatchEnd { end: SocketEnd::AnswerDone, cached_tokens, state: None, answer })
            }
            (Err(end), None) => Err(end),
            (Err(SocketEnd::Stopped), Some(stream)) => {
                stream.fail("the answer was called off").await;
                Err(SocketEnd::Stopped)
            }
            (Err(end), Some(stream)) => {
                stream.fail("the model server broke off within the answer").await;
                Err(end)
            }
        }
    }

    /// Asks the core whether this stream may become the answer to the client.
    async fn request_grant(&mut self, start: Instant) -> Result<AnswerStream, SocketEnd> {
        let (completion, seq) = (self.outgoing.completion, self.outgoing.seq);
        let took_ms = start.elapsed().as_secs_f64() * 1e3;
        let _ = self.core.send(CoreEvent::Began { completion, seq, took_ms }).await;
        match self.commands.recv().await {
            Some(DispatchCommand::Grant(stream)) => Ok(stream),
            Some(DispatchCommand::Stop) | None => Err(SocketEnd::Stopped),
        }
    }

    /// Reads the rest of the body in the background, so that the connection can be reused.
    fn recycle_connection(&self, mut body: Incoming, connection: Connection) {
        let engines = self.engines.clone();
        tokio::task::spawn_local(async move {
            // Nothing may follow; the connection of a server that sends more is closed.
            let at_end = async { body.frame().await.is_none() };
            if tokio::time::timeout(duration(engines.settings.probe_ms), at_end).await == Ok(true) {
                engines.return_connection(connection);
            }
        });
    }
}

/// A client that left, or was disconnected because it read too slowly, cancels the dispatch.
fn client_left(_: ClientDisconnected) -> SocketEnd {
    SocketEnd::Stopped
}

/// What has been received of an answer so far.
#[derive(Default)]
struct AnswerProgress {
    text: String,
    bytes: usize,
    stop: Stop,
    has_finish_reason: bool,
    usage: Usage,
    /// Cached tokens that the read reported, where another server did the read.
    read_cached_tokens: Option<u64>,
    done: bool,
}

impl AnswerProgress {
    /// Returns the texts of all complete events in the buffer.
    fn take_events(&mut self, reader: &mut SseReader, max_bytes: usize) -> Result<Vec<String>, String> {
        let mut texts = Vec::new();
        while let Some(data) = reader.next_event()? {
            let json = match data {
                SseData::Json(json) => json,
                SseData::Done if self.has_finish_reason => {
                    self.done = true;
                    break;
                }
                SseData::Done => return Err("the stream ended without a finish reason".into()),
            };
            let chunk: wire::Completion = serde_json::from_str(&json)
                .map_err(|cause| format!("invalid event in the response: {cause}"))?;
            if let Some(usage) = chunk.usage {
                self.usage = Usage {
                    input_tokens: usage.prompt_tokens,
                    cached_tokens: self.read_cached_tokens.unwrap_or(usage.cached()),
                    output_tokens: usage.completion_tokens,
                };
            }
            for choice in chunk.choices {
                self.bytes += choice.text.len();
                if self.bytes > max_bytes {
                    return Err(format!("response longer than {max_bytes} bytes"));
                }
                if self.has_finish_reason && !choice.text.is_empty() {
                    return Err("text after the finish reason".into());
                }
                self.has_finish_reason |= choice.finish_reason.is_some();
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

/// Identifier of a dispatch on the wire: number and start time of the router, completion, sequence number.
pub fn request_id(router: usize, boot: u64, completion: CompletionId, seq: Seq) -> String {
    format!("{router}.{boot:x}.{}.{}", completion.0, seq.0)
}

#[cfg(test)]
#[path = "dispatch_tests.rs"]
mod tests;
