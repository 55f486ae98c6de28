//! Health and plain metrics on a local port of their own.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use paddleproxy_failover::words::FOR_MAX_MS;
use paddleproxy_membership::Word as ListSays;
use paddleproxy_routing::RejectReason;
use paddleproxy_sockets::Stream;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::clock::duration;
use crate::events::{CoreEvent, CoreStatus};
use crate::failover::WordFor;
use crate::front::Front;
use crate::peers::{self, ToFellows};

/// How long an operator's word on a zone holds where it does not say, in ms.
const WORD_FOR_MS: f64 = 3_600_000.0;

pub async fn listen(listener: TcpListener, front: Rc<Front>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(duration(10.0)).await;
            continue;
        };
        let front = front.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| answer(front.clone(), request));
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(duration(2000.0));
            let _ = builder.serve_connection(TokioIo::new(Stream::from(stream)), service).await;
        });
    }
}

async fn answer(
    front: Rc<Front>,
    request: Request<hyper::body::Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (sender, receiver) = oneshot::channel();
    let asked = front.core.send(CoreEvent::GetStatus { status: sender }).await;
    let status = match asked {
        Ok(()) => receiver.await.ok(),
        Err(_) => None,
    };
    if let Some(response) = operators(&front, &request).await {
        return Ok(response);
    }
    let stopping = front.admission.borrow().stopping();
    let (code, text) = match (request.uri().path(), status) {
        ("/healthz", Some(status)) if !stopping && status.servers > 0 => (StatusCode::OK, "ok\n".to_owned()),
        ("/healthz", _) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        ("/metrics", Some(status)) => {
            let mut text = metrics(&front, &status);
            if let Some(fellows) = &front.fellows {
                text.push_str(&view(fellows).await.map(|view| fellows_metrics(&view)).unwrap_or_default());
                let (sender, receiver) = oneshot::channel();
                let asked = fellows.send(peers::Ask::Failover(sender)).await;
                let plan = if asked.is_ok() { receiver.await.ok().flatten() } else { None };
                text.push_str(&plan.map(|plan| failover_metrics(&plan)).unwrap_or_default());
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

/// What operators ask and say: `GET /status`, `POST /workers/drain?name=...` and its like, `POST /list/accept`.
async fn operators(front: &Front, request: &Request<hyper::body::Incoming>) -> Option<Response<Full<Bytes>>> {
    let path = request.uri().path();
    let json = |code: StatusCode, value: serde_json::Value| {
        let mut response = Response::new(Full::new(Bytes::from(format!("{value}\n"))));
        *response.status_mut() = code;
        Some(response)
    };
    let gone = || json(StatusCode::SERVICE_UNAVAILABLE, json!({ "error": "the router stops" }));
    if path == "/status" {
        let (sender, receiver) = oneshot::channel();
        let asked = front.core.send(CoreEvent::GetMembership { status: sender }).await;
        let Some(list) = (match asked {
            Ok(()) => receiver.await.ok(),
            Err(_) => None,
        }) else {
            return gone();
        };
        let (refused, why) = front.settings_refused.borrow().clone();
        let settings =
            json!({ "taken": front.settings_taken.get(), "refused": refused, "last_refused": why });
        let stands = match &front.fellows {
            Some(fellows) => view(fellows).await.map(|view| {
                json!({
                    "mind": view["mind"], "why": view["why"], "same": view["same"], "of": view["of"],
                    "differ": view["differ"], "page": view["page"]["number"], "shares": view["shares"],
                })
            }),
            None => None,
        };
        return json(
            StatusCode::OK,
            json!({ "schema": "paddleproxy.status.v1", "list": list, "settings": settings, "peers": stands }),
        );
    }
    if path == "/peers" {
        let Some(fellows) = &front.fellows else {
            return json(
                StatusCode::NOT_FOUND,
                json!({ "error": "this router has no 'peers' in its settings" }),
            );
        };
        return match view(fellows).await {
            Some(view) => json(StatusCode::OK, view),
            None => gone(),
        };
    }
    if path == "/failover" || path.starts_with("/failover/") {
        let Some(fellows) = &front.fellows else {
            return json(
                StatusCode::NOT_FOUND,
                json!({ "error": "this router has no 'peers' in its settings" }),
            );
        };
        return match failover(fellows, request).await {
            Ok(view) => json(StatusCode::OK, view),
            Err((code, why)) => json(code, json!({ "error": why })),
        };
    }
    let word = match path.strip_prefix("/workers/") {
        Some("drain") => Some(ListSays::Drain),
        Some("undrain") => Some(ListSays::Undrain),
        Some("quarantine") => Some(ListSays::Quarantine),
        _ if path == "/list/accept" => None,
        _ => return None,
    };
    if request.method() != Method::POST {
        return json(StatusCode::METHOD_NOT_ALLOWED, json!({ "error": "only POST says anything" }));
    }
    let (done, receiver) = oneshot::channel();
    let query = request.uri().query().unwrap_or_default();
    let name = query.split('&').find_map(|part| part.strip_prefix("name=")).unwrap_or_default().to_owned();
    let told = match word {
        Some(word) => CoreEvent::OperatorCommand { server: name.clone(), command: word, done },
        None => CoreEvent::AcceptHeldList { done },
    };
    if front.core.send(told).await.is_err() {
        return gone();
    }
    match (receiver.await, word) {
        (Ok(Some(revision)), _) => json(StatusCode::OK, json!({ "revision": revision })),
        (Ok(None), Some(_)) => {
            json(StatusCode::NOT_FOUND, json!({ "error": format!("there is no server '{name}'") }))
        }
        (Ok(None), None) => json(StatusCode::NOT_FOUND, json!({ "error": "no version is held" })),
        (Err(_), _) => gone(),
    }
}

async fn view(fellows: &ToFellows) -> Option<serde_json::Value> {
    let (sender, receiver) = oneshot::channel();
    fellows.send(peers::Ask::View(sender)).await.ok()?;
    receiver.await.ok()
}

/// `GET /failover`, and `POST /failover/hold|drain-zone|return?zone=...&for_ms=...`.
async fn failover(
    fellows: &ToFellows,
    request: &Request<hyper::body::Incoming>,
) -> Result<serde_json::Value, (StatusCode, String)> {
    let gone = || (StatusCode::SERVICE_UNAVAILABLE, "the router stops".to_owned());
    let Some(word) = request.uri().path().strip_prefix("/failover/") else {
        let (sender, receiver) = oneshot::channel();
        fellows.send(peers::Ask::Failover(sender)).await.map_err(|_| gone())?;
        let view = receiver.await.map_err(|_| gone())?;
        return view
            .ok_or((StatusCode::NOT_FOUND, "this router has no 'failover' in its settings".to_owned()));
    };
    if request.method() != Method::POST {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "only POST says anything".to_owned()));
    }
    let wrong = |why: String| (StatusCode::BAD_REQUEST, why);
    let word = word.parse().map_err(wrong)?;
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    };
    let zone = value("zone").unwrap_or_default().to_owned();
    let for_ms = match value("for_ms").map(str::parse::<f64>) {
        None => WORD_FOR_MS,
        Some(Ok(ms)) if (0.0..=FOR_MAX_MS).contains(&ms) => ms,
        Some(_) => return Err(wrong(format!("for_ms: a time in ms from 0 to {FOR_MAX_MS}"))),
    };
    let (sender, receiver) = oneshot::channel();
    let said = WordFor { zone, word, for_ms };
    fellows.send(peers::Ask::Word(said, sender)).await.map_err(|_| gone())?;
    receiver.await.map_err(|_| gone())?.map_err(wrong)
}

/// Lines on fellows, from the view that operators see.
fn fellows_metrics(view: &serde_json::Value) -> String {
    let members = view["members"].as_array().map_or(&[][..], Vec::as_slice);
    let of = |state: &str| members.iter().filter(|row| row["state"] == state).count();
    let mut text = String::new();
    for state in ["alive", "suspect", "failed", "left"] {
        text.push_str(&format!("paddleproxy_peers{{state=\"{state}\"}} {}\n", of(state)));
    }
    let mind = view["mind"].as_str().unwrap_or_default();
    text.push_str(&format!("paddleproxy_peers_mind{{mind=\"{mind}\"}} 1\n"));
    for name in ["hears", "roster", "same", "of", "health"] {
        text.push_str(&format!("paddleproxy_peers_{name} {}\n", view[name]));
    }
    text.push_str(&format!("paddleproxy_peers_page {}\n", view["page"]["number"]));
    for (name, value) in view["counts"].as_object().into_iter().flatten() {
        text.push_str(&format!("paddleproxy_peers_{name}_total {value}\n"));
    }
    text
}

/// Lines on failover; a plan's number is 0 where none is in force.
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

/// Counts what the process allocates; costs a little on each allocation.
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
        ("answers_dropped_total", front.dropped.get()),
        ("states_unpinned_total", counts.unpinned),
        ("invariant_breaches_total", counts.breaches),
        ("answers_again_total", front.answered_again.get()),
        ("refused_by_key_total", front.refused_by_key.get()),
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
        ("store_writes_skipped_total", front.state.skipped.get()),
        ("store_writes_failed_total", front.state.failed.get()),
        ("settings_refused_total", front.settings_refused.borrow().0),
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
