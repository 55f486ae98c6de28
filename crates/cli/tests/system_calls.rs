//! Routers of the platform whose system calls fail now and then, and whose wall clock is stepped, played with the soak's
//! stand-ins.

use paddleproxy_faults::Fault;
use paddleproxy_soak::configuration::{Allowed, LONGEST_DEADLINE_S};
use paddleproxy_soak::plan::{Kind, Plan, Trouble};
use paddleproxy_soak::play::{play, Played};
use paddleproxy_soak::report::Report;

/// A play of a few routers with these troubles, each with the time at which it begins, in s.
fn played(troubles: &[(Kind, f64)], length_s: f64) -> Played {
    let trouble = |(kind, at_s): &(Kind, f64)| Trouble { kind: *kind, at_s: *at_s, for_s: 4.0, pick: 0 };
    let allowed = Allowed { probes: true, cancel: true, second_copies: false };
    let troubles = troubles.iter().map(trouble).collect();
    let longest_deadline_s = LONGEST_DEADLINE_S;
    let plan = Plan { seed: 3, length_s, routers: 3, allowed, longest_deadline_s, troubles };
    let dir = tempfile::tempdir().unwrap();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_paddleproxy"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, play(&plan, program, dir.path())).unwrap()
}

/// A read or a write that takes less than there is says nothing of what comes next.
#[test]
fn short_reads_and_writes_lose_nothing() {
    let troubles = [Fault::ReadShort, Fault::WriteShort].map(|fault| (Kind::System(fault), 1.0));
    let report = Report::of(&played(&troubles, 6.0));
    assert!(report.injected["write-short"] >= 5, "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
    assert!(report.served as f64 >= 0.95 * report.requests as f64, "{}", report.text());
}

/// Requests that the server that joined got, and the mean of those that servers of its kind got meanwhile.
fn joined_and_others(played: &Played) -> (f64, f64) {
    let start = played.observed.starts[0];
    let within = |at_ms: f64| (start.at_ms..start.at_ms + 6000.0).contains(&at_ms);
    let mut counts = std::collections::BTreeMap::<usize, f64>::new();
    for attempt in played.observed.attempts.iter().filter(|attempt| within(attempt.received_ms)) {
        *counts.entry(attempt.server).or_default() += 1.0;
    }
    let joined = counts.remove(&start.server).unwrap_or(0.0);
    // Rows 2, 3 and 4 of each zone's five are of its kind.
    let others: Vec<_> =
        counts.iter().filter(|(server, _)| *server % 5 >= 2).map(|(_, count)| *count).collect();
    (joined, others.iter().sum::<f64>() / others.len().max(1) as f64)
}

/// A server that starts after the wall clock was stepped is as new as it is: it begins slowly, and is warm in time.
#[test]
fn a_server_that_starts_after_the_wall_clock_was_stepped_starts_slowly() {
    let (calm, _) = joined_and_others(&played(&[(Kind::Join, 2.0)], 9.0));
    for step in [Kind::WallBackAnHour, Kind::WallAheadAnHour] {
        let (joined, others) = joined_and_others(&played(&[(step, 1.0), (Kind::Join, 2.0)], 9.0));
        let expected = 0.5 * calm..=2.0 * calm + 10.0;
        assert!(expected.contains(&joined), "{step:?}: {joined}, not about {calm}; others {others}");
        assert!(joined < 0.75 * others, "{step:?}: {joined} of {others}");
    }
}

/// Whoever can't be accepted for a moment waits in the listener's queue: nobody else's connection is closed for it.
#[test]
fn connections_that_can_not_be_accepted_for_a_moment_cost_nobody_an_answer() {
    let faults = [Fault::AcceptAborted, Fault::AcceptNoFiles, Fault::AcceptNoBuffers].map(Kind::System);
    // Connections come anew all the time.
    let breaks = [Kind::ClientsLeave, Kind::ServersBreakMidway, Kind::ServersFail];
    let troubles: Vec<_> = faults.into_iter().chain(breaks).map(|kind| (kind, 1.0)).collect();
    let report = Report::of(&played(&troubles, 7.0));
    assert!(report.injected.values().sum::<u64>() >= 10, "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
}
/// An address that is still in use, or a machine short of descriptors, while a router starts.
#[test]
fn a_router_starts_although_listening_fails_for_a_moment() {
    let faults = [Fault::BindFails, Fault::ListenFails, Fault::SocketFails];
    let mut troubles = faults.map(|fault| (Kind::System(fault), 1.0)).to_vec();
    troubles.push((Kind::RouterKill, 1.2));
    let report = Report::of(&played(&troubles, 8.0));
    assert!(!report.injected.is_empty(), "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
}

/// A configuration that can't be opened for want of descriptors, at a start and with SIGHUP, is read a moment later.
#[test]
fn a_configuration_that_can_not_be_opened_for_a_moment_is_read_all_the_same() {
    let troubles =
        [(Kind::System(Fault::OpenFails), 1.0), (Kind::RouterKill, 1.2), (Kind::RouterReload, 1.0)];
    let report = Report::of(&played(&troubles, 8.0));
    assert!(!report.injected.is_empty(), "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
}

/// What a server wrote while its router stood still is there when the router goes on: no silence of the server's.
#[test]
fn a_stream_that_was_written_while_the_router_stood_still_is_passed_on() {
    let troubles = [1.0, 4.5, 8.0].map(|at_s| (Kind::RouterFreeze, at_s));
    let report = Report::of(&played(&troubles, 12.0));
    assert!(report.kept(), "{}", report.text());
}
