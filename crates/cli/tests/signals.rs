//! A router process on the operators' platform that is stopped and let go on by the system, while clients, a server and
//! signals go on: all that happened meanwhile is there at once when it runs again.

mod platform_process;

use std::io::{Read, Write};

use platform_process::{answer, request, served, Router};

/// The client sent its request and closed while the router stood still for longer than the rules allow an attempt to begin
/// after it.
#[test]
fn who_came_and_went_while_the_router_stood_still_is_not_served() {
    let router = Router::start("127.0.83.1");
    let mut kept = router.connect();
    assert!(served(&router.ask(&mut kept, "a1")));
    router.stop();
    let mut fresh = router.connect();
    for (stream, id) in [(&mut kept, "gone-1"), (&mut fresh, "gone-2")] {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    drop((kept, fresh));
    router.signal("CONT");
    let mut after = router.connect();
    assert!(served(&router.ask(&mut after, "a2")));
    drop(after);
    let seen: Vec<_> = router.seen.try_iter().collect();
    assert_eq!(seen, ["a1", "a2"]);
}

/// Two words to stop, a new configuration, a request on a resting connection and one on a new connection, all while the
/// router stood still: both requests are answered and the process ends by itself.
#[test]
fn signals_and_requests_that_came_together_lose_nothing() {
    let mut router = Router::start("127.0.83.2");
    let mut kept = router.connect();
    assert!(served(&router.ask(&mut kept, "a1")));
    router.stop();
    for name in ["TERM", "HUP", "TERM"] {
        router.signal(name);
    }
    let mut fresh = router.connect();
    for (stream, id) in [(&mut kept, "a2"), (&mut fresh, "a3")] {
        stream.write_all(request(id).as_bytes()).unwrap();
    }
    router.signal("CONT");
    assert!(served(&answer(&mut kept)), "on the resting connection");
    assert!(served(&answer(&mut fresh)), "on the new connection");
    let mut rest = Vec::new();
    assert_eq!(kept.read_to_end(&mut rest).expect("an end, no reset"), 0);
    assert!(router.process.wait().unwrap().success(), "it ends by itself");
}

/// A log on a disk that is full costs lines of the log and nothing else.
#[test]
fn a_router_whose_log_can_not_be_written_serves_and_ends_well() {
    let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
    let mut router = Router::start_with("127.0.83.3", 20.0, "debug", full.into());
    let mut kept = router.connect();
    assert!(served(&router.ask(&mut kept, "a1")));
    router.signal("HUP");
    assert!(served(&router.ask(&mut kept, "a2")));
    router.signal("TERM");
    assert!(router.process.wait().unwrap().success(), "it ends by itself");
}
