//! Settings, servers and requests for tests in which one kind of mixed server answers one workload.
#![allow(dead_code)] // Each test file uses some of the functions.

use std::sync::Arc;

use paddleproxy::interface::*;

/// One workload with this effect; all its servers deduplicate repeats by key within the window.
pub fn settings(effect: Effect, window_ms: f64) -> Settings {
    let (value, latency_target_ms, target_per_token_ms) = (1.0, 500.0, 0.0);
    let group = Group::All;
    let workload =
        WorkloadSettings { effect, group, window_ms, value, latency_target_ms, target_per_token_ms };
    Settings {
        routers: 1,
        own_number: 0,
        zone: Some(ZoneId(0)),
        workloads: vec![workload],
        kinds: vec![KindSettings { role: Role::Mixed, memory_tokens: 100_000.0 }],
        customers: Vec::new(),
        over_share_value: 1.0,
        must_subscribe: false,
        must_ask_in_ms: 0.0,
        holds_allowed: false,
        writers_read: true,
        probes_allowed: false,
        cancel_allowed: true,
        second_copies: true,
        retry_after: true,
        max_retry_after_ms: 500.0,
        max_dispatches: 5,
        resolution_ms: 2.0,
        pin_limit_ms: 500.0,
        fall_multiple: 2.5,
        fall_ms: 2000.0,
        cold_share: 0.3,
        cold_ms: 12_000.0,
        weights_act: false,
        slow_start_share: None,
        zone_distances: Vec::new(),
    }
}

/// A ready server that started long ago.
pub fn listing(name: &str) -> Listing {
    Listing {
        worker: WorkerId(Arc::from(name)),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    }
}

/// A short request of the workload in a session, with its client timeout as a clock time.
pub fn arrival(completion: CompletionId, session: u64, client_timeout_ms: f64) -> Arrival {
    Arrival {
        completion,
        workload: WorkloadId(0),
        session: SessionId(session),
        prefix: None,
        customer: None,
        client_timeout_ms,
        prompt_tokens: 10.0,
        prefix_tokens: 0.0,
        max_tokens: 10.0,
        answer_hint_ms: None,
        home_zone: None,
        client_retry: false,
        resumed: false,
    }
}
