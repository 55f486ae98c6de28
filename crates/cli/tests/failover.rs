//! Operators' words on zones, by the program: said, told, kept over a kill, refused where they are none.

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

/// One router of the days' own settings, with or without failover; where its operators reach it.
fn serve(dir: &Path, failover: bool) -> (Router, String) {
    let block = "failover {\n    region \"east\" \"north\" \"south\"\n    region \"far\" \"west\"\n}\n";
    let own = format!(
        "day \"d\" {{\n    length \"1s\"\n    rest \"1s\"\n    seed 1\n    routers 1\n    drain-grace \"1s\"\n}}\n{}",
        if failover { block } else { "" }
    );
    let common = include_str!("../../../days/fellows-common.kdl").to_owned();
    let day = parse(&[("d.kdl".into(), own), ("common.kdl".into(), common)]).unwrap();
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
    let said: serde_json::Value = serde_json::from_str(&line).unwrap();
    (Router(child), said["admin"].as_str().unwrap().to_owned())
}

fn says(admin: &str, words: &[&str]) -> Output {
    let mut all = vec!["failover"];
    all.extend(words);
    Command::new(env!("CARGO_BIN_EXE_paddleproxy")).args(all).args(["--router", admin]).output().unwrap()
}

fn word(admin: &str, zone: &str) -> serde_json::Value {
    let out = says(admin, &["plan", "--format", "json"]);
    assert!(out.status.success());
    let view: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let zones = view["failover"]["zones"].as_array().unwrap().clone();
    zones.into_iter().find(|row| row["zone"] == zone).unwrap()["word"].clone()
}

#[test]
fn a_word_is_kept_over_a_kill_and_the_newest_holds() {
    let dir = tempfile::tempdir().unwrap();
    let (router, admin) = serve(dir.path(), true);
    assert!(word(&admin, "west").is_null());
    assert!(says(&admin, &["drain-zone", "west", "--for", "30"]).status.success());
    assert!(says(&admin, &["hold", "west", "--for", "5"]).status.success());
    assert_eq!(word(&admin, "west")["word"], "hold");
    assert!(word(&admin, "north").is_null());
    // Killed outright; the next process on the directory knows it, and no longer for it.
    drop(router);
    let (_router, admin) = serve(dir.path(), true);
    let kept = word(&admin, "west");
    assert_eq!(kept["word"], "hold");
    let left_ms = kept["left_ms"].as_f64().unwrap();
    assert!(left_ms > 60_000.0 && left_ms <= 300_000.0, "{left_ms}");
    assert!(says(&admin, &["return", "west", "--for", "1"]).status.success());
    assert_eq!(word(&admin, "west")["word"], "return");
    // What it says to people.
    let text = String::from_utf8(says(&admin, &["explain", "west"]).stdout).unwrap();
    assert!(text.contains("operators said return") && text.contains("seen from"), "{text}");
}

#[test]
fn what_is_no_word_is_refused_and_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let (_router, admin) = serve(dir.path(), true);
    let refused = |words: &[&str], what: &str| {
        let out = says(&admin, words);
        assert_eq!(out.status.code(), Some(2), "{words:?}");
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(text.contains(what), "{words:?}: {text}");
    };
    refused(&["hold", "nowhere"], "'nowhere' is none of north, south, west");
    refused(&["hold", "west", "--for", "100000"], "for_ms");
    refused(&["hold"], "a zone name is required");
    refused(&["explain", "nowhere"], "knows no zone");
    assert!(word(&admin, "west").is_null());
}

#[test]
fn without_failover_it_says_so() {
    let dir = tempfile::tempdir().unwrap();
    let (_router, admin) = serve(dir.path(), false);
    let out = says(&admin, &["hold", "west"]);
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(text.contains("no 'failover' in its settings"), "{text}");
    assert!(!dir.path().join("state/zone-words.json").exists());
}
