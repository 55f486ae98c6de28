//! Runs the faults of a day's script at their scheduled times.

use std::rc::Rc;
use std::time::Duration;

use paddleproxy_emulator::troubles::Ramp;
use paddleproxy_fleet::record::What as RecordWhat;
use paddleproxy_fleet::server::Server;
use paddleproxy_settings::day::{FailureMode, Trouble, TroubleKind};
use tokio::time::{sleep, sleep_until};

use crate::process_faults;
use crate::scenario::RunningScenario;

fn wait(ms: f64) -> tokio::time::Sleep {
    sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// Runs one trouble from its start to its end and records both.
pub async fn run_trouble(scenario: Rc<RunningScenario>, trouble: Trouble) {
    sleep_until(scenario.record.at(trouble.at_ms)).await;
    let name = match &trouble.kind {
        TroubleKind::Dead { how: FailureMode::Unreachable, .. } => "unreachable",
        kind => kind.name(),
    };
    let record_trouble = |begins| scenario.record.add(RecordWhat::Trouble { name: name.to_owned(), begins });
    record_trouble(true);
    if let TroubleKind::ProcessFault(fault) = &trouble.kind {
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
    match &trouble.kind {
        TroubleKind::Dead { servers, how, .. } => {
            for name in servers {
                scenario.fleet.kill(name, *how).await;
            }
        }
        TroubleKind::Silent { servers } => {
            on_each_server(scenario, servers, |s| s.change_model_faults(|faults| faults.silent = true))
        }
        TroubleKind::Slow { servers, factor } => {
            on_each_server(scenario, servers, |s| s.change_model_faults(|faults| faults.slow = *factor))
        }
        TroubleKind::Ageing { servers, factor } => on_each_server(scenario, servers, |s| {
            s.change_model_faults(|faults| faults.ageing = Some((now_ms, *factor)))
        }),
        TroubleKind::Erring { servers, share, model } => on_each_server(scenario, servers, |s| {
            s.change_response_faults(|faults| (faults.erring, faults.erring_model) = (*share, model.clone()));
        }),
        TroubleKind::AnswerLost { servers, share } => on_each_server(scenario, servers, |s| {
            s.change_response_faults(|faults| faults.answer_lost = *share)
        }),
        TroubleKind::Pausing { servers, pause_ms, every_ms } => {
            on_each_server(scenario, servers, |s| {
                s.change_model_faults(|faults| faults.pausing = Some((*pause_ms, *every_ms)))
            });
        }
        TroubleKind::Flush { servers } => {
            servers.iter().filter_map(|name| scenario.fleet.server(name)).for_each(|server| server.flush());
        }
        TroubleKind::Drain { servers, notice_ms } => {
            on_each_server(scenario, servers, |s| s.change_model_faults(|faults| faults.draining = true));
            servers
                .iter()
                .filter_map(|name| scenario.fleet.server(name))
                .for_each(|server| server.list("draining"));
            wait(*notice_ms).await;
            for name in servers {
                scenario.fleet.kill(name, FailureMode::Refuse).await;
            }
        }
        TroubleKind::Links { cell, factor } => {
            scenario.fleet.shared.links.slow(*cell, *factor);
        }
        TroubleKind::ZoneLost { zone, routers } => {
            for name in scenario.fleet.in_zone(zone) {
                scenario.fleet.kill(&name, FailureMode::Unreachable).await;
            }
            for router in scenario.routers_of(zone).into_iter().filter(|_| *routers) {
                scenario.kill_router(router).await;
            }
        }
        TroubleKind::ListBehind { by_ms } => scenario.fleet.shared.list.extra_delay_ms.set(*by_ms),
        TroubleKind::ListDown => scenario.fleet.shared.list.down.set(true),
        TroubleKind::ListLies { share } => scenario.fleet.shared.list.restart_omitting(*share),
        TroubleKind::RouterKilled { router } => scenario.kill_router(*router).await,
        TroubleKind::RouterStopped { router } => scenario.stop_router(*router).await,
        TroubleKind::Ramp { key, factor } => {
            let (key, for_ms) = (key.clone(), trouble.for_ms);
            *scenario.conditions.ramp.borrow_mut() =
                Some(Ramp { key, from_ms: now_ms, for_ms, factor: *factor });
        }
        TroubleKind::Burst { key, factor } => {
            *scenario.conditions.burst.borrow_mut() = Some((key.clone(), *factor))
        }
        TroubleKind::LongPrompts { share, factor } => scenario.conditions.long.set(Some((*share, *factor))),
        TroubleKind::HotPrefix { share, tokens } => scenario.conditions.hot.set(Some((*share, *tokens))),
        TroubleKind::GiveUp { share } => scenario.conditions.leave_share.set(*share),
        TroubleKind::ProcessFault(_) => {}
    }
}

async fn end(scenario: &Rc<RunningScenario>, trouble: &Trouble) {
    let restart_servers = |servers: Vec<String>, as_new: bool| async move {
        for name in servers {
            if let Err(cause) = scenario.fleet.restart(&name, as_new).await {
                scenario.record_failure(format!("{cause:#}"));
            }
        }
    };
    match &trouble.kind {
        TroubleKind::Dead { servers, back_as_new, .. } => {
            restart_servers(servers.clone(), *back_as_new).await
        }
        TroubleKind::Drain { servers, .. } => restart_servers(servers.clone(), false).await,
        TroubleKind::ZoneLost { zone, routers } => {
            restart_servers(scenario.fleet.in_zone(zone), false).await;
            for router in scenario.routers_of(zone).into_iter().filter(|_| *routers) {
                scenario.start_router(router).await;
            }
        }
        TroubleKind::Silent { servers } => {
            on_each_server(scenario, servers, |s| s.change_model_faults(|faults| faults.silent = false))
        }
        TroubleKind::Slow { servers, .. } => {
            on_each_server(scenario, servers, |s| s.change_model_faults(|faults| faults.slow = 1.0))
        }
        TroubleKind::Ageing { servers, .. } => {
            on_each_server(scenario, servers, |s| s.change_model_faults(|faults| faults.ageing = None))
        }
        TroubleKind::Erring { servers, .. } => {
            on_each_server(scenario, servers, |s| s.change_response_faults(|faults| faults.erring = 0.0))
        }
        TroubleKind::AnswerLost { servers, .. } => {
            on_each_server(scenario, servers, |s| s.change_response_faults(|faults| faults.answer_lost = 0.0))
        }
        TroubleKind::Pausing { servers, .. } => {
            on_each_server(scenario, servers, |s| s.change_model_faults(|faults| faults.pausing = None))
        }
        TroubleKind::Flush { .. } => {}
        TroubleKind::Links { cell, .. } => {
            scenario.fleet.shared.links.slow(*cell, 1.0);
        }
        TroubleKind::ListBehind { .. } => scenario.fleet.shared.list.extra_delay_ms.set(0.0),
        TroubleKind::ListDown => scenario.fleet.shared.list.down.set(false),
        TroubleKind::ListLies { .. } => scenario.fleet.shared.list.restart_omitting(0.0),
        TroubleKind::RouterKilled { router } | TroubleKind::RouterStopped { router } => {
            scenario.start_router(*router).await
        }
        TroubleKind::Ramp { .. } => *scenario.conditions.ramp.borrow_mut() = None,
        TroubleKind::Burst { .. } => *scenario.conditions.burst.borrow_mut() = None,
        TroubleKind::LongPrompts { .. } => scenario.conditions.long.set(None),
        TroubleKind::HotPrefix { .. } => scenario.conditions.hot.set(None),
        TroubleKind::GiveUp { .. } => scenario.conditions.leave_share.set(0.0),
        TroubleKind::ProcessFault(_) => {}
    }
}
