//! The largest fleet that a router must support: 1,024 workers in a list of the largest size, and 1,023 other
//! routers.

mod common;

use common::*;
use serde_json::{json, Value};

const MAX_FLEET: usize = 1024;

/// A list of 1,024 workers whose names are as long as an id may be.
fn largest_list(worker: &Worker) -> Value {
    let long = |kind: &str, number: usize| format!("{kind}-{number:04}-{}", "é".repeat(57));
    let hosts: Vec<_> = (0..MAX_FLEET)
        .map(|number| {
            json!({ "host": long("s", number), "dial": worker.address.to_string(),
                    "site": long("z", number % 30), "class": long("combined", 2),
                    "block": number / 4, "health": "ready", "share": 1.0,
                    "born_ms": 1_700_000_000_000u64 })
        })
        .collect();
    json!({ "seq": 1, "whole": true, "hosts": hosts })
}

fn indented(list: &Value) -> String {
    let text = serde_json::to_string_pretty(list).unwrap();
    // As an ASCII-only JSON writer formats it: each character escaped, every line indented.
    text.replace('é', "\\u00e9").replace("\n  ", "\n            ")
}

#[test]
fn a_fleet_of_a_thousand_workers_and_routers_is_supported() {
    run_local(async {
        let worker = Worker::start("w-1", "combined", |_, _| vec![Step::Send(full_answer())]).await;
        let list = largest_list(&worker);
        let text = indented(&list);
        assert!(text.len() > 1024 * 1024, "{}", text.len());
        let platform = Platform::with(&[], |config| {
            let zones: Vec<_> = (0..30).map(|zone| list["hosts"][zone]["site"].clone()).collect();
            config["settings"]["my_zone"] = zones[3].clone();
            config["settings"]["localities"] = zones.into();
            config["settings"]["machine_types"][2] = list["hosts"][0]["class"].clone();
            config["settings"]["balancers"] = MAX_FLEET.into();
            config["settings"]["slot_no"] = (MAX_FLEET - 1).into();
            config["limits"]["memory_mb"] = 32.into();
        })
        .await;
        assert!(platform.complete("a0").await.starts_with("HTTP/1.1 429 "), "no worker is listed yet");
        platform.discovery.publish(text);
        platform
            .wait_for_answer(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: b1\r\nReq-Kind: chat\r\n\
            Req-Owner: acme\r\nReq-Key: 7f3a\r\nReq-Deadline: 8.000\r\nReq-Extra: prompt_len=9,max_out=8\r\n\
            Connection: close\r\nContent-Length: 2\r\n\r\n{}",
                "[DONE]",
            )
            .await;
        // A list beyond the size limit is ignored.
        let long = json!({ "seq": 2, "whole": true, "hosts": [], "pad": "x".repeat(5 << 20) });
        let calls = platform.discovery.calls.borrow().len();
        platform.discovery.publish(long.to_string());
        wait_while(|| platform.discovery.calls.borrow().len() < calls + 2).await;
        assert!(body(&platform.complete("a2").await).1, "the last valid list is kept");
    });
}
