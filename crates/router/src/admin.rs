//! Health and plain metrics on a local port of their own.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use paddleproxy_routing::Reason;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::clock::duration;
use crate::core::{Status, Told};
use crate::front::Front;

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
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(
    front: Rc<Front>,
    request: Request<hyper::body::Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (sender, receiver) = oneshot::channel();
    let asked = front.core.send(Told::Ask { status: sender }).await;
    let status = match asked {
        Ok(()) => receiver.await.ok(),
        Err(_) => None,
    };
    let stopping = front.admission.borrow().stopping();
    let (code, text) = match (request.uri().path(), status) {
        ("/healthz", Some(status)) if !stopping && status.servers > 0 => (StatusCode::OK, "ok\n".to_owned()),
        ("/healthz", _) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        ("/metrics", Some(status)) => (StatusCode::OK, metrics(&front, &status)),
        _ => (StatusCode::NOT_FOUND, "known are /healthz and /metrics\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = code;
    Ok(response)
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

fn metrics(front: &Front, status: &Status) -> String {
    let counts = &status.counts;
    let rows: [(&str, u64); 20] = [
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
        ("answers_again_total", front.answered_again.get()),
        ("refused_by_key_total", front.refused_by_key.get()),
        ("connections_refused_total", front.connections_refused.get()),
        ("places_open", front.admission.borrow().open() as u64),
        ("completions_open", status.open as u64),
        ("connections_open", front.connections.get() as u64),
        ("servers_listed", status.servers as u64),
        ("list_version", status.version.unwrap_or(0)),
    ];
    let mut text: String = rows.iter().map(|(name, value)| format!("paddleproxy_{name} {value}\n")).collect();
    allocations(&mut text);
    for reason in Reason::ALL {
        let (name, count) = (reason.name(), front.admission.borrow().turned_away(reason));
        text.push_str(&format!("paddleproxy_requests_turned_away_total{{reason=\"{name}\"}} {count}\n"));
    }
    text
}
