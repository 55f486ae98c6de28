//! Platform routers whose system calls fail occasionally and whose wall clock is stepped, with the emulated
//! clients and servers of `soak`.

use paddleproxy_faults::Fault;
use paddleproxy_soak::configuration::{Allowed, LONGEST_DEADLINE_S};
use paddleproxy_soak::plan::{Kind, Plan, Trouble};
use paddleproxy_soak::play::{play, Played};
use paddleproxy_soak::report::Report;

/// Runs a few routers with these troubles, each with its start time in s.
fn run_plan(troubles: &[(Kind, f64)], length_s: f64) -> Played {
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

/// Reads and writes may transfer fewer bytes than requested; that is neither an error nor an end of the
/// stream.
#[test]
fn short_reads_and_writes_lose_nothing() {
    let troubles = [Fault::ReadShort, Fault::WriteShort].map(|fault| (Kind::System(fault), 1.0));
    let report = Report::of(&run_plan(&troubles, 6.0));
    assert!(report.injected["write-short"] >= 5, "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
    assert!(report.served as f64 >= 0.95 * report.requests as f64, "{}", report.text());
}

/// Number of requests that the joined server got, and the mean number that servers of its kind got in the
/// same time.
fn requests_of_joined_and_others(played: &Played) -> (f64, f64) {
    let start = played.observed.starts[0];
    let within = |at_ms: f64| (start.at_ms..start.at_ms + 6000.0).contains(&at_ms);
    let mut counts = std::collections::BTreeMap::<usize, f64>::new();
    for attempt in played.observed.attempts.iter().filter(|attempt| within(attempt.received_ms)) {
        *counts.entry(attempt.server).or_default() += 1.0;
    }
    let joined = counts.remove(&start.server).unwrap_or(0.0);
    // Servers 2, 3 and 4 of each zone's five are of the same kind as the joined one.
    let others: Vec<_> =
        counts.iter().filter(|(server, _)| *server % 5 >= 2).map(|(_, count)| *count).collect();
    (joined, others.iter().sum::<f64>() / others.len().max(1) as f64)
}

/// The age of a server that joins after a step of the wall clock is computed correctly: its slow start takes
/// place and ends in time.
#[test]
fn a_server_that_joins_after_a_wall_clock_step_is_in_slow_start() {
    let (joined_without_step, _) = requests_of_joined_and_others(&run_plan(&[(Kind::Join, 2.0)], 9.0));
    for step in [Kind::WallBackAnHour, Kind::WallAheadAnHour] {
        let (joined, others) =
            requests_of_joined_and_others(&run_plan(&[(step, 1.0), (Kind::Join, 2.0)], 9.0));
        let expected = 0.5 * joined_without_step..=2.0 * joined_without_step + 10.0;
        assert!(
            expected.contains(&joined),
            "{step:?}: {joined}, not about {joined_without_step}; others {others}"
        );
        assert!(joined < 0.75 * others, "{step:?}: {joined} of {others}");
    }
}

/// While accept fails, new connections wait in the listener's queue; the router closes no other connection
/// for them.
#[test]
fn temporary_accept_failures_lose_no_answer() {
    let faults = [Fault::AcceptAborted, Fault::AcceptNoFiles, Fault::AcceptNoBuffers].map(Kind::System);
    // These troubles make clients and servers open new connections all the time.
    let breaks = [Kind::ClientsLeave, Kind::ServersBreakMidway, Kind::ServersFail];
    let troubles: Vec<_> = faults.into_iter().chain(breaks).map(|kind| (kind, 1.0)).collect();
    let report = Report::of(&run_plan(&troubles, 7.0));
    assert!(report.injected.values().sum::<u64>() >= 10, "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
}

/// At the start of a router its address is still in use, or the machine is short of file descriptors.
#[test]
fn a_router_starts_despite_temporary_listen_failures() {
    let faults = [Fault::BindFails, Fault::ListenFails, Fault::SocketFails];
    let mut troubles = faults.map(|fault| (Kind::System(fault), 1.0)).to_vec();
    troubles.push((Kind::RouterKill, 1.2));
    let report = Report::of(&run_plan(&troubles, 8.0));
    assert!(!report.injected.is_empty(), "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
}

/// If the configuration can't be opened for want of file descriptors, at a start or on SIGHUP, reading it is
/// retried.
#[test]
fn a_configuration_that_temporarily_can_not_be_opened_is_read_later() {
    let troubles =
        [(Kind::System(Fault::OpenFails), 1.0), (Kind::RouterKill, 1.2), (Kind::RouterReload, 1.0)];
    let report = Report::of(&run_plan(&troubles, 8.0));
    assert!(!report.injected.is_empty(), "{:?}", report.injected);
    assert!(report.kept(), "{}", report.text());
}

/// Bytes that a server wrote while the router was paused are read when it resumes; the pause must not count
/// as silence of the server.
#[test]
fn a_stream_written_while_the_router_was_paused_is_forwarded() {
    let troubles = [1.0, 4.5, 8.0].map(|at_s| (Kind::RouterFreeze, at_s));
    let report = Report::of(&run_plan(&troubles, 12.0));
    assert!(report.kept(), "{}", report.text());
}
