//! Cost of the decision module alone, without sockets.

use std::sync::Arc;
use std::time::Instant;

use paddleproxy::interface::*;
use paddleproxy::Control;

/// Number of measured completions.
const COMPLETIONS: u32 = 2000;

/// CPU time of all decisions of one completion with `servers` listed servers, in microseconds.
pub fn cost_us(servers: usize) -> f64 {
    let text = crate::process::router_config(([127, 0, 0, 1], 1).into(), std::path::Path::new("state"), 1000);
    let Ok(settings) = paddleproxy_settings::router::parse("bench", &text) else { return f64::NAN };
    let settings = Settings { probes_allowed: false, ..settings.decisions };
    let mut control = Control::new(settings, 7);
    let row = |number: usize| Listing {
        worker: WorkerId(Arc::from(format!("c{}-{}", number / 10, number % 10 + 1))),
        zone: ZoneId(0),
        kind: KindId(2),
        cell: CellId(number as u32 / 10),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    };
    let mut actions = Vec::new();
    let rows = (0..servers).map(row).collect();
    control.handle(0.0, &Event::Listed { kind: ListKind::Whole, rows }, &mut actions);
    let began = Instant::now();
    for number in 0..COMPLETIONS {
        let now_ms = f64::from(number) * 2.0;
        let (completion, seq) = (CompletionId(number), Seq(0));
        let arrival = Arrival {
            completion,
            workload: WorkloadId(0),
            session: SessionId(u64::from(number % 997)),
            prefix: None,
            customer: None,
            client_timeout_ms: now_ms + 6000.0,
            prompt_tokens: 12.0,
            prefix_tokens: 0.0,
            max_tokens: 4.0,
            answer_hint_ms: None,
            home_zone: None,
            client_retry: false,
            resumed: false,
        };
        control.handle(now_ms, &Event::Arrived(arrival), &mut actions);
        control.handle(now_ms, &Event::Began { completion, seq, took_ms: 1.0 }, &mut actions);
        let (outcome, cached_tokens) = (Outcome::Finished, 0.0);
        let ended = Event::Ended { completion, seq, took_ms: 1.0, done: true, outcome, cached_tokens };
        control.handle(now_ms, &ended, &mut actions);
        actions.clear();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(COMPLETIONS)
}
