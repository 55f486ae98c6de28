//! Runs the faults of a day's script at their scheduled times.

use std::rc::Rc;
use std::time::Duration;

use paddleproxy_emulator::troubles::Ramp;
use paddleproxy_fleet::record::What as RecordWhat;
use paddleproxy_fleet::server::Server;
use paddleproxy_settings::day::{Dead, Trouble, What};
use tokio::time::{sleep, sleep_until};

use crate::process_faults;
use crate::scenario::RunningScenario;

fn wait(ms: f64) -> tokio::time::Sleep {
    sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// Runs one trouble from its start to its end and records both.
pub async fn run_trouble(scenario: Rc<RunningScenario>, trouble: Trouble) {
    sleep_until(scenario.record.at(trouble.at_ms)).await;
    let name = match &trouble.what {
        What::Dead { how: Dead::Unreachable, .. } => "unreachable",
        what => what.name(),
    };
    let record_trouble = |begins| scenario.record.add(RecordWhat::Trouble { name: name.to_owned(), begins });
    record_trouble(true);
    if let What::Rig(fault) = &trouble.what {
        process_faults::run_fault(&scenario, &trouble, fault).await;
        record_trouble(false);
        return;
    }
    begin(&scenario, &trouble).await;
    wait(trouble.for_ms).await;
    end(&scenario, &trouble).await;
    record_trouble(false);
}

fn on_each_server(scenario: &RunningScenario, servers: &[String], change: impl Fn(&Server)) {
    servers.iter().filter_map(|name| scenario.fleet.server(name)).for_each(|server| change(server));
}

async fn begin(scenario: &Rc<RunningScenario>, trouble: &Trouble) {
    let now_ms = scenario.record.now_ms();
    match &trouble.what {
        What::Dead { servers, how, .. } => {
            for name in servers {
                scenario.fleet.kill(name, *how).await;
            }
        }
        What::Silent { servers } => on_each_server(scenario, servers, |s| s.befalls(|t| t.silent = true)),
        What::Slow { servers, factor } => {
            on_each_server(scenario, servers, |s| s.befalls(|t| t.slow = *factor))
        }
        What::Ageing { servers, factor } => {
            on_each_server(scenario, servers, |s| s.befalls(|t| t.ageing = Some((now_ms, *factor))))
        }
        What::Erring { servers, share, model } => on_each_server(scenario, servers, |s| {
            s.change_trouble(|t| (t.erring, t.erring_model) = (*share, model.clone()));
        }),
        What::AnswerLost { servers, share } => {
            on_each_server(scenario, servers, |s| s.change_trouble(|t| t.answer_lost = *share))
        }
        What::Pausing { servers, pause_ms, every_ms } => {
            on_each_server(scenario, servers, |s| s.befalls(|t| t.pausing = Some((*pause_ms, *every_ms))));
        }
        What::Flush { servers } => {
            servers.iter().filter_map(|name| scenario.fleet.server(name)).for_each(|server| server.flush());
        }
        What::Drain { servers, notice_ms } => {
            on_each_server(scenario, servers, |s| s.befalls(|t| t.draining = true));
            servers
                .iter()
                .filter_map(|name| scenario.fleet.server(name))
                .for_each(|server| server.list("draining"));
            wait(*notice_ms).await;
            for name in servers {
                scenario.fleet.kill(name, Dead::Refuse).await;
            }
        }
        What::Links { cell, factor } => {
            scenario.fleet.shared.links.slow(*cell, *factor);
        }
        What::ZoneLost { zone, routers } => {
            for name in scenario.fleet.in_zone(zone) {
                scenario.fleet.kill(&name, Dead::Unreachable).await;
            }
            for router in scenario.routers_of(zone).into_iter().filter(|_| *routers) {
                scenario.kill_router(router).await;
            }
        }
        What::ListBehind { by_ms } => scenario.fleet.shared.list.behind_ms.set(*by_ms),
        What::ListDown => scenario.fleet.shared.list.down.set(true),
        What::ListLies { share } => scenario.fleet.shared.list.anew(*share),
        What::RouterKilled { router } => scenario.kill_router(*router).await,
        What::RouterStopped { router } => scenario.stop_router(*router).await,
        What::Ramp { key, factor } => {
            let (key, for_ms) = (key.clone(), trouble.for_ms);
            *scenario.conditions.ramp.borrow_mut() =
                Some(Ramp { key, from_ms: now_ms, for_ms, factor: *factor });
        }
        What::Burst { key, factor } => *scenario.conditions.burst.borrow_mut() = Some((key.clone(), *factor)),
        What::LongPrompts { share, factor } => scenario.conditions.long.set(Some((*share, *factor))),
        What::HotBeginning { share, tokens } => scenario.conditions.hot.set(Some((*share, *tokens))),
        What::GiveUp { share } => scenario.conditions.leave_share.set(*share),
        What::Rig(_) => {}
    }
}

async fn end(scenario: &Rc<RunningScenario>, trouble: &Trouble) {
    let restart_servers = |servers: Vec<String>, as_new: bool| async move {
        for name in servers {
            if let Err(cause) = scenario.fleet.back(&name, as_new).await {
                scenario.record_failure(format!("{cause:#}"));
            }
        }
    };
    match &trouble.what {
        What::Dead { servers, back_as_new, .. } => restart_servers(servers.clone(), *back_as_new).await,
        What::Drain { servers, .. } => restart_servers(servers.clone(), false).await,
        What::ZoneLost { zone, routers } => {
            restart_servers(scenario.fleet.in_zone(zone), false).await;
            for router in scenario.routers_of(zone).into_iter().filter(|_| *routers) {
                scenario.start_router(router).await;
            }
        }
        What::Silent { servers } => on_each_server(scenario, servers, |s| s.befalls(|t| t.silent = false)),
        What::Slow { servers, .. } => on_each_server(scenario, servers, |s| s.befalls(|t| t.slow = 1.0)),
        What::Ageing { servers, .. } => on_each_server(scenario, servers, |s| s.befalls(|t| t.ageing = None)),
        What::Erring { servers, .. } => {
            on_each_server(scenario, servers, |s| s.change_trouble(|t| t.erring = 0.0))
        }
        What::AnswerLost { servers, .. } => {
            on_each_server(scenario, servers, |s| s.change_trouble(|t| t.answer_lost = 0.0))
        }
        What::Pausing { servers, .. } => {
            on_each_server(scenario, servers, |s| s.befalls(|t| t.pausing = None))
        }
        What::Flush { .. } => {}
        What::Links { cell, .. } => {
            scenario.fleet.shared.links.slow(*cell, 1.0);
        }
        What::ListBehind { .. } => scenario.fleet.shared.list.behind_ms.set(0.0),
        What::ListDown => scenario.fleet.shared.list.down.set(false),
        What::ListLies { .. } => scenario.fleet.shared.list.anew(0.0),
        What::RouterKilled { router } | What::RouterStopped { router } => {
            scenario.start_router(*router).await
        }
        What::Ramp { .. } => *scenario.conditions.ramp.borrow_mut() = None,
        What::Burst { .. } => *scenario.conditions.burst.borrow_mut() = None,
        What::LongPrompts { .. } => scenario.conditions.long.set(None),
        What::HotBeginning { .. } => scenario.conditions.hot.set(None),
        What::GiveUp { .. } => scenario.conditions.leave_share.set(0.0),
        What::Rig(_) => {}
    }
}
