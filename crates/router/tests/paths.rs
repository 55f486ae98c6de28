//! End-to-end tests on loopback: clients, a router and emulated servers. They count the final answers to each
//! request.

mod common;

use std::time::Duration;

use common::{client_request, finals, run_local, send_raw, start, start_router, WITH_PROBES};
use paddleproxy_day::client::ClientEvent;
use paddleproxy_fleet::record::What;
use paddleproxy_settings::day::FailureMode;

fn text(seen: &[ClientEvent]) -> String {
    seen.iter()
        .filter_map(|event| match event {
            ClientEvent::Text(text) => Some(text.as_str()),
            _ => None,
        })
        .collect()
}

fn post(body: &[u8], headers: &str) -> Vec<u8> {
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-api-key: app-key\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

#[test]
fn streamed_and_complete_answers_have_the_same_text() {
    run_local(async {
        let bench = start(&[]).await;
        for tokens in [10, 4000] {
            let mut request = client_request("a", "chat-large", tokens, true);
            request.effect_key = format!("streamed {tokens}");
            let streamed = bench.send(&request).await;
            request.effect_key = format!("plain {tokens}");
            request.body = request.body.replace("\"stream\":true", "\"stream\":false");
            let plain = bench.send(&request).await;
            assert_eq!((finals(&streamed), finals(&plain)), (vec!["finished"], vec!["finished"]));
            assert!(text(&streamed).starts_with(" wort"));
            assert_eq!(text(&streamed), text(&plain));
        }
        let reads =
            bench.record.lines().iter().filter(|line| matches!(line.what, What::State { .. })).count();
        assert!(reads > 0, "a long prompt must be read at a reader");
        assert_eq!(bench.metric("completions_finished_total").await, 4);
    });
}

#[test]
fn a_server_that_answers_probes_is_used() {
    run_local(async {
        let bench = start(&[WITH_PROBES]).await;
        // On a busy machine the probe may take too long; the client then retries, as the rate limit permits.
        for number in 0..20 {
            let seen = bench.send(&client_request(&format!("a{number}"), "chat-large", 40, true)).await;
            match finals(&seen)[..] {
                ["finished"] => break,
                ["rate-limited"] if number < 19 => continue,
                _ => panic!("{seen:?}"),
            }
        }
    });
}

#[test]
fn invalid_requests_get_a_clear_error_and_affect_no_other() {
    run_local(async {
        let bench = start(&[("body-bytes 4000000", "body-bytes 100000")]).await;
        let turn = "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]";
        let valid = format!("{{\"model\":\"chat-large\",\"max_tokens\":3,{turn}}}");
        let unknown = valid.replace("chat-large", "chat-none");
        let invalid: [(&str, Vec<u8>, &str, &str); 10] = [
            ("not JSON", post(b"{", ""), "400", "invalid_request_error"),
            ("not UTF-8", post(b"{\"model\":\"\xff\"}", ""), "400", "not UTF-8 at byte 10"),
            (
                "no turns",
                post(b"{\"model\":\"m\",\"max_tokens\":3,\"messages\":[]}", ""),
                "400",
                "at least one",
            ),
            ("deep", post("[".repeat(9000).as_bytes(), ""), "400", "invalid_request_error"),
            ("too large", post(&vec![b' '; 200_000], ""), "413", "request_too_large"),
            ("unknown model", post(unknown.as_bytes(), ""), "404", "'chat-none' is not served here"),
            (
                "invalid timeout",
                post(valid.as_bytes(), "x-client-timeout-ms: soon\r\n"),
                "400",
                "x-client-timeout-ms",
            ),
            (
                "unknown path",
                b"GET /v2 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
                "404",
                "not_found_error",
            ),
            ("no key", post(valid.as_bytes(), "").replace_key(""), "401", "header is required"),
            ("wrong key", post(valid.as_bytes(), "").replace_key("x-api-key: none\r\n"), "401", "not known"),
        ];
        for (name, bytes, status, expected) in invalid {
            let answer = send_raw(bench.clients, &bytes).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {answer}");
            assert!(answer.contains(expected) && answer.contains("\"type\":\"error\""), "{name}: {answer}");
        }
        let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(500));
        for bytes in ["BREW /v1/messages\r\n\r\n", "\u{1}\u{2}\r\n\r\n", &many_headers] {
            let malformed = send_raw(bench.clients, bytes.as_bytes()).await;
            assert!(malformed.starts_with("HTTP/1.1 400 "), "{malformed}");
            assert!(malformed.contains("\"type\":\"invalid_request_error\""), "{malformed}");
        }
        assert!(send_raw(bench.clients, &post(valid.as_bytes(), "")).await.contains("end_turn"));
        assert_eq!(bench.metric("completions_arrived_total").await, 1);
    });
}

trait ReplaceKey {
    fn replace_key(self, with: &str) -> Vec<u8>;
}

impl ReplaceKey for Vec<u8> {
    fn replace_key(self, with: &str) -> Vec<u8> {
        String::from_utf8(self).unwrap().replace("x-api-key: app-key\r\n", with).into_bytes()
    }
}

#[test]
fn slowly_sent_heads_and_bodies_time_out() {
    run_local(async {
        let changes =
            [("header-time \"5s\"", "header-time \"150ms\""), ("body-time \"5s\"", "body-time \"150ms\"")];
        let bench = start(&changes).await;
        let head = send_raw(bench.clients, b"POST /v1/messages HTTP/1.1\r\nhost:").await;
        assert!(head.is_empty() || head.starts_with("HTTP/1.1 408"), "{head}");
        let mut body = post(b"{\"model\":", "");
        let length =
            String::from_utf8(body.clone()).unwrap().replace("content-length: 9", "content-length: 99");
        body = length.into_bytes();
        let response = send_raw(bench.clients, &body).await;
        assert!(response.starts_with("HTTP/1.1 504 ") && response.contains("timeout_error"), "{response}");
        assert_eq!(finals(&bench.send(&client_request("a", "chat-large", 5, true)).await), ["finished"]);
    });
}

#[test]
fn a_server_that_dies_mid_stream_aborts_once_and_is_avoided() {
    run_local(async {
        let bench = start(&[]).await;
        let mut request = client_request("a", "chat-large", 5, true);
        request.body = request.body.replace("\"max_tokens\":8", "\"max_tokens\":400");
        let seen = bench.send_and(&request, bench.fleet.kill("n-mixed1", FailureMode::Reset)).await;
        assert!(text(&seen).starts_with(" wort"));
        assert_eq!(finals(&seen), ["aborted"]);
        let next = bench.send(&client_request("b", "chat-large", 5, true)).await;
        assert_eq!(finals(&next), ["finished"]);
        assert_eq!(bench.metric("streams_lost_total").await, 1);
    });
}

#[test]
fn a_client_who_leaves_mid_stream_ends_the_work() {
    run_local(async {
        let bench = start(&[]).await;
        let mut request = client_request("a", "chat-large", 5, true);
        request.body = request.body.replace("\"max_tokens\":8", "\"max_tokens\":4000");
        bench.send_and_disconnect(&request).await;
        bench.until("/metrics", "completions_open 0").await;
        assert_eq!(bench.metric("completions_left_total").await, 1);
        for _ in 0..200 {
            if bench.record.lines().iter().any(|line| matches!(line.what, What::Ended { .. })) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the server is still writing the answer");
    });
}

#[test]
fn a_stopping_router_finishes_its_answers() {
    run_local(async {
        let bench = start(&[]).await;
        let mut long = client_request("a", "chat-large", 5, true);
        long.body = long.body.replace("\"max_tokens\":8", "\"max_tokens\":40");
        let seen = bench.send_and(&long, async { _ = bench.stop.send_replace(true) }).await;
        assert_eq!(finals(&seen), ["finished"]);
        bench.router.await.unwrap().unwrap();
    });
}

#[test]
fn a_stop_aborts_answers_that_exceed_the_time_limit() {
    run_local(async {
        let bench = start(&[("stop-within \"3s\"", "stop-within \"200ms\"")]).await;
        let mut long = client_request("a", "chat-large", 5, true);
        long.body = long.body.replace("\"max_tokens\":8", "\"max_tokens\":4000");
        let seen = bench.send_and(&long, async { _ = bench.stop.send_replace(true) }).await;
        assert_eq!(finals(&seen), ["aborted"]);
        bench.router.await.unwrap().unwrap();
    });
}

#[test]
fn a_server_that_sends_garbage_affects_no_completion() {
    run_local(async {
        let bench = start(&[]).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let endless = [
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ".as_slice(),
            &[b'x'; 300_000],
        ]
        .concat();
        tokio::task::spawn_local(paddleproxy_fleet::http::listen_raw(listener, endless));
        // The list now has the mixed server at the address of a server that sends garbage.
        bench.fleet.server("n-mixed1").unwrap().address.set(address);
        bench.fleet.server("n-mixed1").unwrap().list("ready");
        bench.until("/metrics", "list_version 4").await;
        for id in ["a", "b", "c"] {
            assert_eq!(
                finals(&bench.send(&client_request(id, "chat-large", 5, false)).await),
                ["finished"],
                "{id}"
            );
        }
        assert_eq!(bench.metric("answers_dropped_total").await, 0);
    });
}

#[test]
fn the_saved_list_serves_the_next_start() {
    run_local(async {
        let bench = start(&[]).await;
        let dir = tempfile::tempdir().unwrap();
        let state = dir.path().display().to_string();
        let unreachable = "127.0.0.1:1".parse().unwrap();
        let run_router = |list| {
            let state = state.clone();
            // The trailing `//` comments out the original value.
            async move { start_router(list, &[("state-dir", &format!("state-dir \"{state}\" // "))]).await }
        };
        let (_, _, stop, router, _dir) = run_router(bench.fleet.list_address).await;
        for _ in 0..500 {
            if dir.path().join("servers.json").exists() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        stop.send_replace(true);
        router.await.unwrap().unwrap();
        // The list service is unreachable: this start depends on the saved list alone.
        let (clients, _admin, _stop, _router, _dir) = run_router(unreachable).await;
        let request = client_request("a", "chat-large", 5, false);
        let body = request.body.as_bytes();
        assert!(send_raw(clients, &post(body, "")).await.contains("end_turn"));
    });
}

#[test]
fn a_broken_subscription_is_renewed() {
    run_local(async {
        let subscribe = "list {\n    changes \"subscribe\"\n    must-ask-in \"500ms\"";
        let bench = start(&[("list {", subscribe), ("poll \"20s\"", "poll \"300ms\"")]).await;
        bench.until("/metrics", "list_version 3").await;
        let list = &bench.fleet.shared.list;
        list.down.set(true);
        tokio::time::sleep(Duration::from_millis(700)).await;
        bench.fleet.server("n-mixed1").unwrap().list("draining");
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(bench.metric("list_version").await, 3);
        list.down.set(false);
        bench.until("/metrics", "list_version 4").await;
    });
}
