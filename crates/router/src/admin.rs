//! HTTP server of the admin port: health, metrics, status, and operator commands.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use paddleproxy_failover::operator_commands::MAX_COMMAND_MS;
use paddleproxy_membership::OperatorCommand as ServerCommand;
use paddleproxy_routing::RejectReason;
use paddleproxy_sockets::Stream;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::clock::duration;
use crate::events::{CoreEvent, CoreStatus};
use crate::failover::CommandRequest;
use crate::front::Front;
use crate::peers::{self, PeerSender};

/// How long an operator's zone command holds if the request has no `for_ms`.
const DEFAULT_COMMAND_MS: f64 = 3_600_000.0;

pub async fn listen(listener: TcpListener, front: Rc<Front>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, or the connection was closed before accept: pause briefly.
            tokio::time::sleep(duration(10.0)).await;
            continue;
        };
        let front = front.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| handle_request(front.clone(), request));
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(duration(2000.0));
            let _ = builder.serve_connection(TokioIo::new(Stream::from(stream)), service).await;
        });
    }
}

async fn handle_request(
    front: Rc<Front>,
    request: Request<hyper::body::Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (sender, receiver) = oneshot::channel();
    let sent = front.core.send(CoreEvent::GetStatus { status: sender }).await;
    let status = match sent {
        Ok(()) => receiver.await.ok(),
        Err(_) => None,
    };
    if let Some(response) = operator_request(&front, &request).await {
        return Ok(response);
    }
    let stopping = front.admission.borrow().stopping();
    let (code, text) = match (request.uri().path(), status) {
        ("/healthz", Some(status)) if !stopping && status.servers > 0 => (StatusCode::OK, "ok\n".to_owned()),
        ("/healthz", _) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        ("/metrics", Some(status)) => {
            let mut text = metrics(&front, &status);
            if let Some(peer_sender) = &front.peers {
                text.push_str(
                    &peers_view(peer_sender).await.map(|view| peers_metrics(&view)).unwrap_or_default(),
                );
                let (sender, receiver) = oneshot::channel();
                let sent = peer_sender.send(peers::PeerRequest::Failover(sender)).await;
                let view = if sent.is_ok() { receiver.await.ok().flatten() } else { None };
                text.push_str(&view.map(|view| failover_metrics(&view)).unwrap_or_default());
            }
            (StatusCode::OK, text)
        }
        _ => (
            StatusCode::NOT_FOUND,
            "known are /healthz, /metrics, /status, /peers, /failover, /failover/WORD, /workers/WORD and /list/accept\n".to_owned(),
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = code;
    Ok(response)
}

/// Answers operator requests: `GET /status`, `GET /peers`, `/failover` and the paths below it,
/// `POST /workers/drain|undrain|quarantine?name=...` and `POST /list/accept`; `None` for any other path.
async fn operator_request(
    front: &Front,
    request: &Request<hyper::body::Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let path = request.uri().path();
    let json = |code: StatusCode, value: serde_json::Value| {
        let mut response = Response::new(Full::new(Bytes::from(format!("{value}\n"))));
        *response.status_mut() = code;
        Some(response)
    };
    let stopping = || json(StatusCode::SERVICE_UNAVAILABLE, json!({ "error": "the router stops" }));
    if path == "/status" {
        let (sender, receiver) = oneshot::channel();
        let sent = front.core.send(CoreEvent::GetMembership { status: sender }).await;
        let Some(list) = (match sent {
            Ok(()) => receiver.await.ok(),
            Err(_) => None,
        }) else {
            return stopping();
        };
        let (refused, why) = front.settings_rejected.borrow().clone();
        let settings =
            json!({ "taken": front.settings_applied.get(), "refused": refused, "last_refused": why });
        let cluster = match &front.peers {
            Some(peer_sender) => peers_view(peer_sender).await.map(|view| {
                json!({
                    "mind": view["mind"], "why": view["why"], "same": view["same"], "of": view["of"],
                    "differ": view["differ"], "page": view["page"]["number"], "shares": view["shares"],
                })
            }),
            None => None,
        };
        return json(
            StatusCode::OK,
            json!({ "schema": "paddleproxy.status.v1", "list": list, "settings": settings, "peers": cluster }),
        );
    }
    if path == "/peers" {
        let Some(peer_sender) = &front.peers else {
            return json(
                StatusCode::NOT_FOUND,
                json!({ "error": "this router has no 'peers' in its settings" }),
            );
        };
        return match peers_view(peer_sender).await {
            Some(view) => json(StatusCode::OK, view),
            None => stopping(),
        };
    }
    if path == "/failover" || path.starts_with("/failover/") {
        let Some(peer_sender) = &front.peers else {
            return json(
                StatusCode::NOT_FOUND,
                json!({ "error": "this router has no 'peers' in its settings" }),
            );
        };
        return match failover_request(peer_sender, request).await {
            Ok(view) => json(StatusCode::OK, view),
            Err((code, why)) => json(code, json!({ "error": why })),
        };
    }
    let command = match path.strip_prefix("/workers/") {
        Some("drain") => Some(ServerCommand::Drain),
        Some("undrain") => Some(ServerCommand::Undrain),
        Some("quarantine") => Some(ServerCommand::Quarantine),
        _ if path == "/list/accept" => None,
        _ => return None,
    };
    if request.method() != Method::POST {
        return json(StatusCode::METHOD_NOT_ALLOWED, json!({ "error": "only POST says anything" }));
    }
    let (done, receiver) = oneshot::channel();
    let query = request.uri().query().unwrap_or_default();
    let name = query.split('&').find_map(|part| part.strip_prefix("name=")).unwrap_or_default().to_owned();
    let event = match command {
        Some(command) => CoreEvent::OperatorCommand { server: name.clone(), command, done },
        None => CoreEvent::AcceptHeldList { done },
    };
    if front.core.send(event).await.is_err() {
        return stopping();
    }
    match (receiver.await, command) {
        (Ok(Some(revision)), _) => json(StatusCode::OK, json!({ "revision": revision })),
        (Ok(None), Some(_)) => {
            json(StatusCode::NOT_FOUND, json!({ "error": format!("there is no server '{name}'") }))
        }
        (Ok(None), None) => json(StatusCode::NOT_FOUND, json!({ "error": "no version is held" })),
        (Err(_), _) => stopping(),
    }
}

async fn peers_view(peer_sender: &PeerSender) -> Option<serde_json::Value> {
    let (sender, receiver) = oneshot::channel();
    peer_sender.send(peers::PeerRequest::View(sender)).await.ok()?;
    receiver.await.ok()
}

/// `GET /failover`, and `POST /failover/hold|drain-zone|return?zone=...&for_ms=...`.
async fn failover_request(
    peer_sender: &PeerSender,
    request: &Request<hyper::body::Incoming>,
) -> Result<serde_json::Value, (StatusCode, String)> {
    let stopping = || (StatusCode::SERVICE_UNAVAILABLE, "the router stops".to_owned());
    let Some(name) = request.uri().path().strip_prefix("/failover/") else {
        let (sender, receiver) = oneshot::channel();
        peer_sender.send(peers::PeerRequest::Failover(sender)).await.map_err(|_| stopping())?;
        let view = receiver.await.map_err(|_| stopping())?;
        return view
            .ok_or((StatusCode::NOT_FOUND, "this router has no 'failover' in its settings".to_owned()));
    };
    if request.method() != Method::POST {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "only POST says anything".to_owned()));
    }
    let bad_request = |why: String| (StatusCode::BAD_REQUEST, why);
    let command = name.parse().map_err(bad_request)?;
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    };
    let zone = value("zone").unwrap_or_default().to_owned();
    let for_ms = match value("for_ms").map(str::parse::<f64>) {
        None => DEFAULT_COMMAND_MS,
        Some(Ok(ms)) if (0.0..=MAX_COMMAND_MS).contains(&ms) => ms,
        Some(_) => return Err(bad_request(format!("for_ms: a time in ms from 0 to {MAX_COMMAND_MS}"))),
    };
    let (sender, receiver) = oneshot::channel();
    let command = CommandRequest { zone, command, for_ms };
    peer_sender.send(peers::PeerRequest::Command(command, sender)).await.map_err(|_| stopping())?;
    receiver.await.map_err(|_| stopping())?.map_err(bad_request)
}

/// Metrics of the peers, from the view of `/peers`.
fn peers_metrics(view: &serde_json::Value) -> String {
    let members = view["members"].as_array().map_or(&[][..], Vec::as_slice);
    let of = |state: &str| members.iter().filter(|row| row["state"] == state).count();
    let mut text = String::new();
    for state in ["alive", "suspect", "failed", "left"] {
        text.push_str(&format!("paddleproxy_peers{{state=\"{state}\"}} {}\n", of(state)));
    }
    let status = view["mind"].as_str().unwrap_or_default();
    text.push_str(&format!("paddleproxy_peers_mind{{mind=\"{status}\"}} 1\n"));
    for name in ["hears", "roster", "same", "of", "health"] {
        text.push_str(&format!("paddleproxy_peers_{name} {}\n", view[name]));
    }
    text.push_str(&format!("paddleproxy_peers_page {}\n", view["page"]["number"]));
    for (name, value) in view["counts"].as_object().into_iter().flatten() {
        text.push_str(&format!("paddleproxy_peers_{name}_total {value}\n"));
    }
    text
}

/// Metrics of failover, from the view of `/failover`; the plan's number is 0 if none is in force.
fn failover_metrics(view: &serde_json::Value) -> String {
    let mut text = String::new();
    let number = |value: &serde_json::Value| value.as_f64().unwrap_or(0.0);
    text.push_str(&format!("paddleproxy_failover_plan {}\n", number(&view["plan"])));
    text.push_str(&format!("paddleproxy_failover_completions_total {}\n", number(&view["completions"])));
    text.push_str(&format!("paddleproxy_failover_moved_total {}\n", number(&view["moved"])));
    for row in view["zones"].as_array().into_iter().flatten() {
        let (zone, verdict) =
            (row["zone"].as_str().unwrap_or("-"), row["verdict"]["is"].as_str().unwrap_or("-"));
        let moves = row["moves"].as_array().into_iter().flatten();
        let moved: f64 = moves.map(|to| number(&to["share"])).sum();
        text.push_str(&format!("paddleproxy_failover_verdict{{zone=\"{zone}\",verdict=\"{verdict}\"}} 1\n"));
        text.push_str(&format!("paddleproxy_failover_moved_share{{zone=\"{zone}\"}} {moved}\n"));
        for (name, value) in [("demand", &row["demand_per_s"]), ("capacity", &row["capacity_per_s"])] {
            text.push_str(&format!(
                "paddleproxy_failover_{name}_per_s{{zone=\"{zone}\"}} {}\n",
                number(value)
            ));
        }
    }
    text
}

/// Counts allocations of the process, at a small cost per allocation.
#[cfg(feature = "allocations")]
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

#[cfg(feature = "allocations")]
fn allocations(text: &mut String) {
    let stats = ALLOCATOR.stats();
    text.push_str(&format!("paddleproxy_allocations_total {}\n", stats.allocations + stats.reallocations));
}

#[cfg(not(feature = "allocations"))]
fn allocations(_: &mut String) {}

fn metrics(front: &Front, status: &CoreStatus) -> String {
    let counts = &status.counts;
    let rows: [(&str, u64); 28] = [
        ("completions_arrived_total", counts.arrived),
        ("completions_finished_total", counts.finished),
        ("completions_rate_limited_total", counts.rate_limited),
        ("completions_aborted_total", counts.aborted),
        ("completions_left_total", counts.left),
        ("streams_lost_total", counts.lost_streams),
        ("dispatches_total", counts.dispatches),
        ("dispatches_moot_total", counts.moot),
        ("first_events_late_total", counts.late_first),
        ("answers_overdue_total", counts.overdue),
        ("answers_dropped_total", front.dropped_answers.get()),
        ("states_unpinned_total", counts.unpinned),
        ("invariant_breaches_total", counts.breaches),
        ("answers_again_total", front.answers_replayed.get()),
        ("refused_by_key_total", front.requests_refused_by_key.get()),
        ("connections_refused_total", front.connections_refused.get()),
        ("places_open", front.admission.borrow().open() as u64),
        ("completions_open", status.open as u64),
        ("connections_open", front.connections.get() as u64),
        ("servers_listed", status.servers as u64),
        ("routers_reckoned", status.router_count as u64),
        ("list_version", status.version.unwrap_or(0)),
        ("list_revision", status.revision),
        ("lists_held_total", status.held_total),
        ("lists_refused_total", status.refused_total),
        ("store_writes_skipped_total", front.state.writes_skipped.get()),
        ("store_writes_failed_total", front.state.writes_failed.get()),
        ("settings_refused_total", front.settings_rejected.borrow().0),
    ];
    let mut text: String = rows.iter().map(|(name, value)| format!("paddleproxy_{name} {value}\n")).collect();
    allocations(&mut text);
    for (cause, count) in status.undelivered_releases {
        text.push_str(&format!("paddleproxy_releases_unheard_total{{cause=\"{cause}\"}} {count}\n"));
    }
    for reason in RejectReason::ALL {
        let (name, count) = (reason.name(), front.admission.borrow().rejected(reason));
        text.push_str(&format!("paddleproxy_requests_turned_away_total{{reason=\"{name}\"}} {count}\n"));
    }
    text
}
