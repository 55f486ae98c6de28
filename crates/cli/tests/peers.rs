//! Nine router processes with `peers`, with faults on the links between them: every rule is kept, and every
//! rule has cases.

mod common;

use common::play_day;

#[test]
fn every_rule_is_kept_when_routers_are_killed_partitioned_and_paused() {
    let report = play_day("fellows-short.kdl");
    print!("{}", report.text());
    assert_eq!(report.rules.len(), 9);
    for rule in &report.rules {
        assert!(rule.cases > 0, "{}: no case was checked", rule.name);
        assert_eq!(rule.broken, Vec::<String>::new(), "{}", rule.name);
    }
    let limited = report.customers.iter().find(|row| row.name == "desk-limited").unwrap();
    assert!(limited.rate_limited > 100, "the limited customer sent too few requests to be rate limited");
}

/// Without `peers` in its settings a router opens no datagram socket, stores no start count and answers
/// `GET /peers` with 404.
#[test]
fn without_peers_there_is_no_datagram_socket_and_no_peer_view() {
    use std::io::{BufRead, BufReader, Read, Write};
    let dir = tempfile::tempdir().unwrap();
    let text = include_str!("../../../examples/router.kdl")
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("127.0.0.1:8081", "127.0.0.1:0")
        .replace("127.0.0.1:8090", "127.0.0.1:1")
        .replace("state/router-0", &dir.path().join("state").display().to_string());
    let file = dir.path().join("router.kdl");
    std::fs::write(&file, text).unwrap();
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_paddleproxy"))
        .args(["serve", "--config"])
        .arg(&file)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let printed: serde_json::Value = serde_json::from_str(&line).unwrap();
    let mut stream = std::net::TcpStream::connect(printed["admin"].as_str().unwrap()).unwrap();
    stream.write_all(b"GET /peers HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    // Compares the inodes of the process's sockets with those that the kernel lists as UDP sockets.
    let links = std::fs::read_dir(format!("/proc/{}/fd", child.id())).unwrap();
    let sockets: Vec<String> = links
        .filter_map(|link| std::fs::read_link(link.ok()?.path()).ok()?.to_str().map(str::to_owned))
        .filter_map(|link| Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    let udp = std::fs::read_to_string(format!("/proc/{}/net/udp", child.id())).unwrap();
    let listed: Vec<&str> = udp.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9)).collect();
    let datagrams = sockets.iter().filter(|inode| listed.contains(&inode.as_str())).count();
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(printed["peers"].is_null(), "{line}");
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert!(sockets.len() >= 2, "the listeners are missing: {sockets:?}");
    assert_eq!(datagrams, 0);
    assert!(!dir.path().join("state/life").exists());
}
