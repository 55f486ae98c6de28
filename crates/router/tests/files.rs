//! Changes of the servers file and the settings under traffic, and operator commands on the admin port.
//! Checked by the requests that the emulated servers received.

mod common;

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use common::{client_request, finals, get, run_local, send_raw, start, Bench};
use paddleproxy_fleet::record::What;
use tokio::time::sleep;

const WITH_FILE: (&str, &str) = ("number 0\n", "number 0\nservers-file \"{dir}/servers.kdl\"\n");

/// The text of a servers file with the whole fleet, in which some servers are draining.
fn list(bench: &Bench, version: u64, draining: &[&str]) -> String {
    let mut text = format!("version {version}\n");
    for name in bench.fleet.names() {
        let server = bench.fleet.server(name).unwrap();
        let drains = if draining.contains(&name.as_str()) { " draining=#true" } else { "" };
        text.push_str(&format!(
            "server \"{name}\" address=\"{}\" zone=\"{}\" kind=\"{}\" cell={}{drains}\n",
            server.address.get(),
            server.row.zone,
            server.kind().name,
            server.row.cell
        ));
    }
    text + &format!("end count={} version={version}\n", bench.fleet.names().count())
}

async fn status(bench: &Bench) -> serde_json::Value {
    let answer = get(bench.admin, "/status").await;
    serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap()
}

/// Waits until `/status` fulfils the condition, and returns it.
async fn until(
    bench: &Bench,
    what: &str,
    condition: impl Fn(&serde_json::Value) -> bool,
) -> serde_json::Value {
    for _ in 0..2000 {
        let status = status(bench).await;
        if condition(&status) {
            return status;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("never {what}: {:#}", status(bench).await);
}

fn phase(status: &serde_json::Value, name: &str) -> String {
    let rows = status["list"]["servers"].as_array().unwrap();
    let row = rows.iter().find(|row| row["name"] == name);
    row.map_or("none".into(), |row| row["phase"].as_str().unwrap().to_owned())
}

fn file_source(status: &serde_json::Value) -> &serde_json::Value {
    static NOT_YET: serde_json::Value = serde_json::Value::Null;
    let rows = status["list"]["sources"].as_array().unwrap();
    rows.iter().find(|row| row["name"] == "file").unwrap_or(&NOT_YET)
}

/// Clients that send requests until `stop` is set; each returns how many it sent.
fn traffic(bench: &Rc<Bench>, stop: &Rc<Cell<bool>>) -> tokio::task::JoinSet<usize> {
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..6 {
        let (bench, stop) = (bench.clone(), stop.clone());
        clients.spawn_local(async move {
            let mut sent = 0;
            while !stop.get() {
                let seen =
                    bench.send(&client_request(&format!("c{client}n{sent}"), "chat-large", 40, true)).await;
                assert_eq!(finals(&seen), ["finished"], "{seen:?}");
                sent += 1;
                sleep(Duration::from_millis(5)).await;
            }
            sent
        });
    }
    clients
}

fn dispatches(bench: &Bench, name: &str, from_ms: f64, to_ms: f64) -> usize {
    let is_dispatch = |what: &What| matches!(what, What::Dispatch { server, .. } if server == name);
    let lines = bench.record.lines();
    lines.iter().filter(|line| is_dispatch(&line.what) && line.at_ms > from_ms && line.at_ms < to_ms).count()
}

/// Writes a file in one of the ways that editors use: in place, by rename, by a replaced symlink, by deletion
/// and creation, or in chunks.
fn write(path: &Path, text: &str, method: usize) {
    let other = path.with_extension(format!("new{method}"));
    match method % 5 {
        0 => std::fs::write(path, text).unwrap(),
        1 => {
            std::fs::write(&other, text).unwrap();
            std::fs::rename(&other, path).unwrap();
        }
        2 => {
            std::fs::write(&other, text).unwrap();
            let link = path.with_extension("link");
            std::os::unix::fs::symlink(&other, &link).unwrap();
            std::fs::rename(&link, path).unwrap();
        }
        3 => {
            std::fs::remove_file(path).unwrap();
            std::fs::write(path, "").unwrap();
            std::fs::write(path, text).unwrap();
        }
        _ => {
            use std::io::Write;
            let mut file = std::fs::File::create(path).unwrap();
            for part in text.as_bytes().chunks(97) {
                file.write_all(part).unwrap();
                file.flush().unwrap();
            }
        }
    }
}

#[test]
fn alternating_invalid_and_valid_lists_lose_no_request_and_drains_hold() {
    run_local(async {
        let bench = Rc::new(start(&[WITH_FILE]).await);
        let path = bench.dir.path().join("servers.kdl");
        std::fs::write(&path, list(&bench, 1, &[])).unwrap();
        until(&bench, "led by the file", |status| file_source(status)["leads"] == true).await;
        let stop = Rc::new(Cell::new(false));
        let mut clients = traffic(&bench, &stop);
        let mixed: Vec<_> = bench.fleet.names().filter(|name| name.contains("-m")).cloned().collect();
        let mut version = 1;
        let mut refused = file_source(&status(&bench).await)["refused"].as_u64().unwrap();
        for method in 0..10 {
            let name = mixed[method % mixed.len()].as_str();
            // First an invalid list: truncated, invalid KDL, an invalid weight, an older version, or other
            // content under the current version. None of them may take effect.
            let next = list(&bench, version + 1, &[name]);
            let invalid = [
                next[..next.len() / 2].to_owned(),
                next.replace("cell=", "cell"),
                next.replace("cell=0", "cell=0 weight=#nan"),
                list(&bench, version - 1, &[]).replace("version 0", "version 1"),
                list(&bench, version, &mixed.iter().map(String::as_str).collect::<Vec<_>>()),
            ];
            let invalid = &invalid[method % invalid.len()];
            write(&path, invalid, method);
            refused += 1;
            let seen =
                until(&bench, "refused", |status| file_source(status)["refused"].as_u64() >= Some(refused))
                    .await;
            assert_eq!(file_source(&seen)["version"], version, "{seen:#}");
            assert!(mixed.iter().all(|name| phase(&seen, name) != "draining"), "{invalid}\n{seen:#}");
            // Then the valid list, written in the same way.
            version += 1;
            write(&path, &next, method);
            until(&bench, "draining", |status| phase(status, name) == "draining").await;
            // Dispatches in flight may still arrive.
            sleep(Duration::from_millis(50)).await;
            let from_ms = bench.record.now_ms();
            sleep(Duration::from_millis(150)).await;
            let to_ms = bench.record.now_ms();
            assert_eq!(dispatches(&bench, name, from_ms, to_ms), 0, "{name} got work while it drained");
            version += 1;
            write(&path, &list(&bench, version, &[]), method + 1);
            until(&bench, "undrained", |status| phase(status, name) != "draining").await;
            refused = file_source(&status(&bench).await)["refused"].as_u64().unwrap();
        }
        stop.set(true);
        let mut sent = 0;
        while let Some(client) = clients.join_next().await {
            sent += client.unwrap();
        }
        assert!(sent > 50, "{sent}");
        assert_eq!(bench.metric("answers_dropped_total").await, 0);
        // The file is deleted: its last list stays in force.
        std::fs::remove_file(&path).unwrap();
        let gone =
            until(&bench, "unreadable", |status| file_source(status)["refused"].as_u64() > Some(refused))
                .await;
        assert_eq!(
            (file_source(&gone)["version"].as_u64(), file_source(&gone)["leads"] == true),
            (Some(version), true)
        );
        assert_eq!(finals(&bench.send(&client_request("after", "chat-large", 40, true)).await), ["finished"]);
    });
}

#[test]
fn a_mass_removal_by_the_file_is_held_until_an_operator_accepts_it() {
    run_local(async {
        let bench = Rc::new(start(&[WITH_FILE]).await);
        let path = bench.dir.path().join("servers.kdl");
        let whole = list(&bench, 1, &[]);
        std::fs::write(&path, &whole).unwrap();
        until(&bench, "led by the file", |status| file_source(status)["leads"] == true).await;
        let servers = bench.fleet.names().count();
        // Only the first server is left.
        let mut lines = whole.lines();
        let (_, first) = (lines.next(), lines.next().unwrap());
        let mass_removal = format!("version 2\n{first}\nend count=1 version=2\n");
        std::fs::write(&path, mass_removal).unwrap();
        let held = until(&bench, "held", |status| status["list"]["held"].is_array()).await;
        let why = held["list"]["held"][0].as_str().unwrap();
        assert!(why.starts_with("file version 0.2: it takes away"), "{why}");
        assert_eq!(held["list"]["servers"].as_array().unwrap().len(), servers);
        assert_eq!(finals(&bench.send(&client_request("one", "chat-large", 40, true)).await), ["finished"]);
        let accept =
            "POST /list/accept HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        assert!(send_raw(bench.admin, accept.as_bytes()).await.contains("\"revision\":"));
        let accepted = until(&bench, "accepted", |status| status["list"]["held"].is_null()).await;
        assert_eq!(accepted["list"]["servers"].as_array().unwrap().len(), 1);
        assert!(send_raw(bench.admin, accept.as_bytes()).await.contains("no version is held"));
    });
}

async fn send_command(bench: &Bench, command: &str, name: &str) -> String {
    let text = format!(
        "POST /workers/{command}?name={name} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    send_raw(bench.admin, text.as_bytes()).await
}

#[test]
fn operator_commands_act_at_once_although_the_list_cannot_be_saved() {
    run_local(async {
        let bench = Rc::new(start(&[]).await);
        let name = bench.fleet.names().find(|name| name.contains("-m")).unwrap().clone();
        // The list can't be saved because a directory has the name of its temporary file; commands act all
        // the same.
        let state = bench.dir.path().join("servers.json");
        for _ in 0..200 {
            if state.exists() {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        std::fs::create_dir(bench.dir.path().join("servers.json.new")).unwrap();
        let stop = Rc::new(Cell::new(false));
        let mut clients = traffic(&bench, &stop);
        for command in ["drain", "quarantine"] {
            assert!(send_command(&bench, command, &name).await.contains("\"revision\":"));
            let seen = status(&bench).await;
            assert!(matches!(phase(&seen, &name).as_str(), "draining" | "quarantined"), "{seen:#}");
            sleep(Duration::from_millis(50)).await;
            let from_ms = bench.record.now_ms();
            sleep(Duration::from_millis(150)).await;
            assert_eq!(dispatches(&bench, &name, from_ms, bench.record.now_ms()), 0);
            assert!(send_command(&bench, "undrain", &name).await.contains("\"revision\":"));
        }
        assert!(send_command(&bench, "drain", "nobody").await.contains("there is no server 'nobody'"));
        let answer = get(bench.admin, &format!("/workers/drain?name={name}")).await;
        assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
        stop.set(true);
        while let Some(client) = clients.join_next().await {
            client.unwrap();
        }
    });
}

#[test]
fn settings_change_under_traffic_completely_or_not_at_all() {
    run_local(async {
        let bench = Rc::new(start(&[]).await);
        let path = bench.dir.path().join("router.kdl");
        let text = std::fs::read_to_string(&path).unwrap();
        let with_key = |key: &str| {
            let mut request = client_request("k", "chat-large", 40, true);
            request.key = key.into();
            request
        };
        let applied = |status: &serde_json::Value| status["settings"]["taken"].as_u64().unwrap();
        let refused = |status: &serde_json::Value| status["settings"]["refused"].as_u64().unwrap();
        assert_eq!(finals(&bench.send(&with_key("new-key")).await), ["aborted"]);
        // Reading the settings that the router was started with counts as no change.
        let last_valid_file = bench.dir.path().join("router.good.kdl");
        for _ in 0..400 {
            if last_valid_file.exists() {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        assert!(last_valid_file.exists() && applied(&status(&bench).await) == 0);
        let stop = Rc::new(Cell::new(false));
        let mut clients = traffic(&bench, &stop);
        // A new key and another latency target are applied.
        let changed = text.replace("keys \"app-key\"", "keys \"app-key\" \"new-key\"");
        let changed = changed.replace("latency-target \"1500ms\"", "latency-target \"1400ms\"");
        assert_ne!(changed, text);
        write(&path, &changed, 1);
        until(&bench, "applied", |status| applied(status) == 1).await;
        assert_eq!(finals(&bench.send(&with_key("new-key")).await), ["finished"]);
        // A truncated file and settings that can't change are refused with the reason; the current ones stay
        // in force.
        for (wrong, why) in [
            (changed[..changed.len() / 2].to_owned(), "router.kdl:"),
            (changed.replace("number 0", "number 1"), "'number' can't change while the router runs"),
            (changed.replace("state-dir \"", "state-dir \"/tmp/other"), "'state-dir' can't change"),
            (changed.replace("customer \"app\"", "customer \"renamed\""), "'customer' can't change"),
            (changed.replace("routers 2", "routers 0"), "'routers' counts this one too"),
            (changed.replace("max-dispatches 5", "max-dispatches 1"), "take two dispatches"),
            // Other rules need a restart: open completions keep the rules that they began with.
            (changed.replace("probes #false", "probes #false\n    reports #false"), "'rules' can't change"),
        ] {
            let before = refused(&status(&bench).await);
            write(&path, &wrong, 1);
            let seen = until(&bench, "refused", |status| refused(status) > before).await;
            let last = seen["settings"]["last_refused"].as_str().unwrap();
            assert!(last.contains(why), "{last}");
            assert_eq!(applied(&seen), 1);
            assert_eq!(finals(&bench.send(&with_key("new-key")).await), ["finished"]);
        }
        // Back to the first text: the new key is invalid again, and open completions are not affected.
        write(&path, &text, 1);
        until(&bench, "applied", |status| applied(status) == 2).await;
        assert_eq!(finals(&bench.send(&with_key("new-key")).await), ["aborted"]);
        stop.set(true);
        let mut sent = 0;
        while let Some(client) = clients.join_next().await {
            sent += client.unwrap();
        }
        assert!(sent > 10);
        // The last valid text is saved for the next start.
        let last_valid_file = bench.dir.path().join("router.good.kdl");
        for _ in 0..200 {
            if std::fs::read_to_string(&last_valid_file).is_ok_and(|saved| saved == text) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("the last valid settings were not saved");
    });
}
