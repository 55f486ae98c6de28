//! A router process on the operators' platform is paused with SIGSTOP and resumed, while clients, a server
//! and signals go on: everything that happened meanwhile is pending at once when it resumes. Also: a log that
//! can't be written.

mod platform_process;

use std::io::{Read, Write};

use platform_process::{is_complete_answer, read_answer, request, Router};

/// A client sends its request and closes the connection while the router is paused. The pause is longer than
/// the time after a client's leaving in which the platform's rules still allow an attempt to begin.
#[test]
fn a_client_that_left_while_the_router_was_paused_is_not_served() {
    let router = Router::start("127.0.83.1");
    let mut idle_stream = router.connect();
    assert!(is_complete_answer(&router.exchange(&mut idle_stream, "a1")));
    router.pause();
    let mut new_stream = router.connect();
    for (stream, id) in [(&mut idle_stream, "gone-1"), (&mut new_stream, "gone-2")] {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    drop((idle_stream, new_stream));
    router.signal("CONT");
    let mut after = router.connect();
    assert!(is_complete_answer(&router.exchange(&mut after, "a2")));
    drop(after);
    let seen: Vec<_> = router.seen.try_iter().collect();
    assert_eq!(seen, ["a1", "a2"]);
}

/// Two stop signals, a reload signal, a request on an idle connection and one on a new connection all arrive
/// while the router is paused: both requests are answered and the process exits by itself.
#[test]
fn signals_and_requests_that_arrive_together_are_all_handled() {
    let mut router = Router::start("127.0.83.2");
    let mut idle_stream = router.connect();
    assert!(is_complete_answer(&router.exchange(&mut idle_stream, "a1")));
    router.pause();
    for name in ["TERM", "HUP", "TERM"] {
        router.signal(name);
    }
    let mut new_stream = router.connect();
    for (stream, id) in [(&mut idle_stream, "a2"), (&mut new_stream, "a3")] {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    router.signal("CONT");
    assert!(is_complete_answer(&read_answer(&mut idle_stream)), "on the idle connection");
    assert!(is_complete_answer(&read_answer(&mut new_stream)), "on the new connection");
    let mut rest = Vec::new();
    assert_eq!(idle_stream.read_to_end(&mut rest).expect("the connection was reset"), 0);
    assert!(router.process.wait().unwrap().success(), "the process did not exit successfully");
}

/// If the disk of the log is full, the router loses log lines and nothing else.
#[test]
fn a_router_whose_log_can_not_be_written_serves_and_exits_cleanly() {
    let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
    let mut router = Router::start_with("127.0.83.3", 20.0, "debug", full.into());
    let mut idle_stream = router.connect();
    assert!(is_complete_answer(&router.exchange(&mut idle_stream, "a1")));
    router.signal("HUP");
    assert!(is_complete_answer(&router.exchange(&mut idle_stream, "a2")));
    router.signal("TERM");
    assert!(router.process.wait().unwrap().success(), "the process did not exit successfully");
}
