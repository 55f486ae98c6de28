//! Operator commands for zones, sent with the program: they take effect, survive a kill of the router and are
//! refused if invalid.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};

use paddleproxy_settings::day::{parse, RouterOverrides};

struct Router(Child);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts one router with the settings of the days, with or without `failover`; also returns its admin
/// address.
fn start_router(dir: &Path, failover: bool) -> (Router, String) {
    let block = "failover {\n    region \"east\" \"north\" \"south\"\n    region \"far\" \"west\"\n}\n";
    let day_text = format!(
        "day \"d\" {{\n    length \"1s\"\n    rest \"1s\"\n    seed 1\n    routers 1\n    \
         drain-grace \"1s\"\n}}\n{}",
        if failover { block } else { "" }
    );
    let common = include_str!("../../../days/fellows-common.kdl").to_owned();
    let day = parse(&[("d.kdl".into(), day_text), ("common.kdl".into(), common)]).unwrap();
    let text = day.router_document(&RouterOverrides {
        number: 0,
        zone: "north",
        list: "127.0.0.1:1",
        listen: "127.0.0.1:0",
        admin: Some("127.0.0.1:0"),
        state_dir: &dir.join("state").display().to_string(),
        seed: 1,
        peers: Some(("127.0.0.1:0".into(), None, vec!["127.0.0.1:1".into()])),
        router_count: None,
    });
    let file = dir.join("router.kdl");
    std::fs::write(&file, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
        .args(["serve", "--config"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let printed: serde_json::Value = serde_json::from_str(&line).unwrap();
    (Router(child), printed["admin"].as_str().unwrap().to_owned())
}

/// Runs `paddleproxy failover` with these arguments.
fn failover_command(admin: &str, arguments: &[&str]) -> Output {
    let mut command = vec!["failover"];
    command.extend(arguments);
    Command::new(env!("CARGO_BIN_EXE_paddleproxy")).args(command).args(["--router", admin]).output().unwrap()
}

/// The operator command in force for a zone, as the router shows it.
fn command_in_force(admin: &str, zone: &str) -> serde_json::Value {
    let out = failover_command(admin, &["plan", "--format", "json"]);
    assert!(out.status.success());
    let view: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let zones = view["failover"]["zones"].as_array().unwrap().clone();
    zones.into_iter().find(|row| row["zone"] == zone).unwrap()["word"].clone()
}

#[test]
fn a_command_survives_a_kill_and_the_newest_one_is_in_force() {
    let dir = tempfile::tempdir().unwrap();
    let (router, admin) = start_router(dir.path(), true);
    assert!(command_in_force(&admin, "west").is_null());
    assert!(failover_command(&admin, &["drain-zone", "west", "--for", "30"]).status.success());
    assert!(failover_command(&admin, &["hold", "west", "--for", "5"]).status.success());
    assert_eq!(command_in_force(&admin, "west")["word"], "hold");
    assert!(command_in_force(&admin, "north").is_null());
    // After SIGKILL, the next process on the same directory restores the command and does not extend its
    // duration.
    drop(router);
    let (_router, admin) = start_router(dir.path(), true);
    let restored = command_in_force(&admin, "west");
    assert_eq!(restored["word"], "hold");
    let left_ms = restored["left_ms"].as_f64().unwrap();
    assert!(left_ms > 60_000.0 && left_ms <= 300_000.0, "{left_ms}");
    assert!(failover_command(&admin, &["return", "west", "--for", "1"]).status.success());
    assert_eq!(command_in_force(&admin, "west")["word"], "return");
    // The text output.
    let text = String::from_utf8(failover_command(&admin, &["explain", "west"]).stdout).unwrap();
    assert!(text.contains("operators said return") && text.contains("seen from"), "{text}");
}

#[test]
fn an_invalid_command_is_refused_and_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let (_router, admin) = start_router(dir.path(), true);
    let refused = |arguments: &[&str], expected: &str| {
        let out = failover_command(&admin, arguments);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}");
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(text.contains(expected), "{arguments:?}: {text}");
    };
    refused(&["hold", "nowhere"], "'nowhere' is none of north, south, west");
    refused(&["hold", "west", "--for", "100000"], "for_ms");
    refused(&["hold"], "a zone name is required");
    refused(&["explain", "nowhere"], "knows no zone");
    assert!(command_in_force(&admin, "west").is_null());
}

#[test]
fn a_router_without_failover_refuses_commands() {
    let dir = tempfile::tempdir().unwrap();
    let (_router, admin) = start_router(dir.path(), false);
    let out = failover_command(&admin, &["hold", "west"]);
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(text.contains("no 'failover' in its settings"), "{text}");
    assert!(!dir.path().join("state/zone-words.json").exists());
}
