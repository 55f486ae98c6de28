//! Sends one client request and reports the events of its answer as they arrive on the socket.

use std::net::SocketAddr;

use anyhow::{anyhow, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use paddleproxy_engine::{SseData, SseReader};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// HTTP path of the API to use; `/v1/messages` if empty.
    pub path: String,
    pub key: String,
    pub session: String,
    /// Request id (`x-request-id`), and the idempotency key of its effect.
    pub id: String,
    pub effect_key: String,
    pub timeout_ms: f64,
    pub body: String,
}

/// What a client sees of an answer, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    Head {
        status: u16,
        retry_after_ms: f64,
    },
    /// The first token.
    First,
    Text(String),
    /// `finished`, `rate-limited` or `aborted`.
    Final(&'static str),
    /// Anything after the final answer.
    More,
    /// The connection ended, or the time was up, without a final answer.
    Broke {
        connected: bool,
    },
}

/// Sends one request on a new connection and passes each event to `on_event`. Aborts the request at `until`.
pub async fn send_request(
    address: SocketAddr,
    request: &ClientRequest,
    until: Instant,
    mut on_event: impl FnMut(ClientEvent),
) {
    let mut connected = false;
    let mut done = false;
    let mut forward = |event: ClientEvent| {
        done |= matches!(event, ClientEvent::Final(_));
        on_event(event);
    };
    // Errors and timeouts are not distinguished: what counts is whether the client saw a final answer.
    let _ = timeout_at(until, exchange(address, request, &mut connected, &mut forward)).await;
    if !done {
        on_event(ClientEvent::Broke { connected });
    }
}

async fn exchange(
    address: SocketAddr,
    request: &ClientRequest,
    connected: &mut bool,
    on_event: &mut impl FnMut(ClientEvent),
) -> Result<()> {
    let stream = TcpStream::connect(address).await?;
    *connected = true;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    let path = if request.path.is_empty() { "/v1/messages" } else { request.path.as_str() };
    let http_request = Request::post(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("x-api-key", &request.key)
        .header("x-session-id", &request.session)
        .header("x-client-timeout-ms", request.timeout_ms.to_string())
        .header("x-request-id", &request.id)
        .header("idempotency-key", &request.effect_key)
        .body(Full::new(Bytes::from(request.body.clone())))?;
    let response = sender.send_request(http_request).await?;
    let status = response.status().as_u16();
    let header =
        |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    let retry_after_ms = header("retry-after-ms").or(header("retry-after").map(|s| s * 1e3)).unwrap_or(0.0);
    on_event(ClientEvent::Head { status, retry_after_ms });
    if status != 200 {
        response.into_body().collect().await?;
        on_event(ClientEvent::Final(if matches!(status, 429 | 503 | 529) {
            "rate-limited"
        } else {
            "aborted"
        }));
        return Ok(());
    }
    let kind = response.headers().get("content-type").map(|kind| kind.as_bytes().to_vec());
    if kind.is_some_and(|kind| kind.starts_with(b"text/event-stream")) {
        return streamed(response, on_event).await;
    }
    let body = response.into_body().collect().await?.to_bytes();
    let answer: serde_json::Value = serde_json::from_slice(&body)?;
    let text = answer["content"][0]["text"].as_str().or(answer["choices"][0]["message"]["content"].as_str());
    let text = text.ok_or_else(|| anyhow!("no text in the answer"))?;
    on_event(ClientEvent::First);
    on_event(ClientEvent::Text(text.to_owned()));
    on_event(ClientEvent::Final("finished"));
    Ok(())
}

async fn streamed(response: Response<Incoming>, on_event: &mut impl FnMut(ClientEvent)) -> Result<()> {
    let mut body = response.into_body();
    let mut reader = SseReader::new(1 << 20);
    let (mut first, mut done) = (false, false);
    while let Some(frame) = body.frame().await {
        reader.push(&frame?.into_data().unwrap_or_default());
        while let Some(data) = reader.next_event().map_err(|cause| anyhow!(cause))? {
            if done {
                on_event(ClientEvent::More);
            }
            let event: serde_json::Value = match data {
                SseData::Json(json) => serde_json::from_str(&json)?,
                // End marker of a chat completions stream, mapped to the last event of the messages API.
                SseData::Done => serde_json::json!({ "type": "message_stop" }),
            };
            let chat = event["choices"][0]["delta"]["content"].as_str().filter(|text| !text.is_empty());
            if let Some(text) = chat {
                if !std::mem::replace(&mut first, true) {
                    on_event(ClientEvent::First);
                }
                on_event(ClientEvent::Text(text.to_owned()));
            }
            let kind =
                if event["error"].is_object() { "error" } else { event["type"].as_str().unwrap_or("") };
            match kind {
                "content_block_delta" => {
                    if !std::mem::replace(&mut first, true) {
                        on_event(ClientEvent::First);
                    }
                    on_event(ClientEvent::Text(event["delta"]["text"].as_str().unwrap_or("").to_owned()));
                }
                "message_stop" if !done => {
                    done = true;
                    on_event(ClientEvent::Final("finished"));
                }
                "error" if !done => {
                    done = true;
                    on_event(ClientEvent::Final("aborted"));
                }
                _ => {}
            }
        }
    }
    done.then_some(()).ok_or_else(|| anyhow!("the stream ended without its last event"))
}
