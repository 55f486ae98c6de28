//! Events are forwarded as they arrive. The scripted server sends an event only once the client has the one
//! before: a router that delayed an event or merged two would wait for ever.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const EVENTS: usize = 12;

/// A server that accepts one connection and answers its first request with a stream that continues by one
/// event for each message on the channel.
async fn lock_step_server(mut next: mpsc::Receiver<()>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"{}") {
            let mut part = [0; 512];
            let read = stream.read(&mut part).await.unwrap();
            request.extend_from_slice(&part[..read]);
        }
        stream.write_all(HEAD.as_bytes()).await.unwrap();
        for _ in 0..EVENTS {
            stream.write_all(chunk(FIRST).as_bytes()).await.unwrap();
            if next.recv().await.is_none() {
                return;
            }
        }
        stream.write_all(format!("{}0\r\n\r\n", chunk(LAST)).as_bytes()).await.unwrap();
        // Keeps the connection open until the router closes it.
        let _ = stream.read(&mut [0; 16]).await;
    });
    address
}

/// Receives event after event, runs `meanwhile` after each, and then lets the server continue.
async fn receive_in_lock_step(platform: &Platform, go: mpsc::Sender<()>, mut meanwhile: impl FnMut(usize)) {
    let mut client = TcpStream::connect(platform.clients).await.unwrap();
    client.write_all(completion("a1", "Connection: close\r\n", "{}").as_bytes()).await.unwrap();
    let mut text = String::new();
    for event in 1..=EVENTS {
        let received = async {
            while text.matches(FIRST).count() < event {
                let mut part = [0; 4096];
                let read = client.read(&mut part).await.unwrap();
                assert!(read > 0, "cut after {text}");
                text += std::str::from_utf8(&part[..read]).unwrap();
            }
        };
        timeout(Duration::from_secs(20), received)
            .await
            .unwrap_or_else(|_| panic!("event {event} is delayed"));
        meanwhile(event);
        go.send(()).await.unwrap();
    }
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).await.unwrap();
    assert!(rest.ends_with(b"0\r\n\r\n"));
}

fn hosts(address: std::net::SocketAddr) -> serde_json::Value {
    json!([{ "host": "w-1", "dial": address.to_string(), "site": "a", "class": "combined", "block": 0,
             "health": "ready" }])
}

async fn start_platform(address: std::net::SocketAddr) -> Platform {
    let hosts = json!({ "seq": 2, "whole": true, "hosts": hosts(address) });
    let platform = Platform::with(&[], |config| {
        config["known"] = hosts.clone();
        // No attempt may time out while a test does something else between two events.
        config["settings"]["services"][0]["slo_s"] = 9.0.into();
    })
    .await;
    platform.discovery.publish(hosts.to_string());
    wait_while(|| platform.discovery.calls.borrow().last().is_none_or(|call| !call.contains("from=2"))).await;
    platform
}

#[test]
fn each_event_is_forwarded_before_the_next_one_arrives() {
    run_local(async {
        let (go, next) = mpsc::channel(1);
        let platform = start_platform(lock_step_server(next).await).await;
        receive_in_lock_step(&platform, go, |_| {}).await;
    });
}

/// Discovery publishes a list of 1,024 servers between any two events.
#[test]
fn large_lists_delay_no_event() {
    run_local(async {
        let (go, next) = mpsc::channel(1);
        let address = lock_step_server(next).await;
        let platform = start_platform(address).await;
        let mut all = hosts(address);
        for number in 0..1023 {
            let host = json!({ "host": format!("other-{number}"), "dial": "127.0.0.1:9", "site": "a",
                               "class": "prefill", "block": number / 8, "health": "draining" });
            all.as_array_mut().unwrap().push(host);
        }
        receive_in_lock_step(&platform, go, |event| {
            let list = json!({ "seq": 2 + event, "whole": true, "hosts": all.clone() });
            platform.discovery.publish(serde_json::to_string_pretty(&list).unwrap());
        })
        .await;
    });
}

/// A second client sends a body of the largest size in parts, and a third does not read its endless stream.
#[test]
fn a_large_body_and_a_client_that_does_not_read_delay_no_event() {
    run_local(async {
        let (go, next) = mpsc::channel(1);
        let address = lock_step_server(next).await;
        let endless = Worker::start("w-2", "combined", |_, _| {
            vec![Step::Send(HEAD.into()), Step::Flood(chunk(FIRST).repeat(50).into_bytes())]
        })
        .await;
        let platform = start_platform(address).await;
        let connected = Rc::new(Cell::new(false));
        let (mut non_reading_client, mut sending_client) = (None, None);
        let (clients, connected_flag) = (platform.clients, connected.clone());
        let whole = format!("{{\"a\":\"{}\"}}", "x".repeat(250_000));
        let body = completion("b1", "", &whole);
        receive_in_lock_step(&platform, go, |event| {
            use std::io::Write;
            if event == 1 {
                // From here on new requests go to the server with the endless stream.
                let list = json!({ "seq": 3, "whole": false, "hosts": [host(&endless, "ready"),
                    { "host": "w-1", "dial": address.to_string(), "site": "a", "class": "combined",
                      "block": 0, "health": "draining" }] });
                platform.discovery.publish(list.to_string());
            }
            if event == 3 {
                let mut client = std::net::TcpStream::connect(clients).unwrap();
                client.write_all(completion("c1", "", "{}").as_bytes()).unwrap();
                non_reading_client = Some(client);
                sending_client = Some(std::net::TcpStream::connect(clients).unwrap());
                connected_flag.set(true);
            }
            if let Some(client) = &mut sending_client {
                let part = body.len() / EVENTS;
                client.write_all(&body.as_bytes()[part * (event - 1)..part * event]).unwrap();
            }
        })
        .await;
        assert!(connected.get() && non_reading_client.is_some());
    });
}
