//! Brings about what the script says, when it says so.

use std::rc::Rc;
use std::time::Duration;

use paddleproxy_emulator::troubles::Ramp;
use paddleproxy_fleet::record::What as Line;
use paddleproxy_fleet::server::Server;
use paddleproxy_settings::day::{Dead, Trouble, What};
use tokio::time::{sleep, sleep_until};

use crate::rig;
use crate::stage::Stage;

fn wait(ms: f64) -> tokio::time::Sleep {
    sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// One trouble, from its beginning to its end.
pub async fn befall(stage: Rc<Stage>, trouble: Trouble) {
    sleep_until(stage.record.at(trouble.at_ms)).await;
    let name = match &trouble.what {
        What::Dead { how: Dead::Unreachable, .. } => "unreachable",
        what => what.name(),
    };
    let note = |begins| stage.record.add(Line::Trouble { name: name.to_owned(), begins });
    note(true);
    if let What::Rig(fault) = &trouble.what {
        rig::befall(&stage, &trouble, fault).await;
        note(false);
        return;
    }
    begin(&stage, &trouble).await;
    wait(trouble.for_ms).await;
    end(&stage, &trouble).await;
    note(false);
}

fn each(stage: &Stage, servers: &[String], change: impl Fn(&Server)) {
    servers.iter().filter_map(|name| stage.fleet.server(name)).for_each(|server| change(server));
}

async fn begin(stage: &Rc<Stage>, trouble: &Trouble) {
    let now_ms = stage.record.now_ms();
    match &trouble.what {
        What::Dead { servers, how, .. } => {
            for name in servers {
                stage.fleet.kill(name, *how).await;
            }
        }
        What::Silent { servers } => each(stage, servers, |s| s.change_model_faults(|t| t.silent = true)),
        What::Slow { servers, factor } => {
            each(stage, servers, |s| s.change_model_faults(|t| t.slow = *factor))
        }
        What::Ageing { servers, factor } => {
            each(stage, servers, |s| s.change_model_faults(|t| t.ageing = Some((now_ms, *factor))))
        }
        What::Erring { servers, share, model } => each(stage, servers, |s| {
            s.change_response_faults(|t| (t.erring, t.erring_model) = (*share, model.clone()));
        }),
        What::AnswerLost { servers, share } => {
            each(stage, servers, |s| s.change_response_faults(|t| t.answer_lost = *share))
        }
        What::Pausing { servers, pause_ms, every_ms } => {
            each(stage, servers, |s| s.change_model_faults(|t| t.pausing = Some((*pause_ms, *every_ms))));
        }
        What::Flush { servers } => {
            servers.iter().filter_map(|name| stage.fleet.server(name)).for_each(|server| server.flush());
        }
        What::Drain { servers, notice_ms } => {
            each(stage, servers, |s| s.change_model_faults(|t| t.draining = true));
            servers
                .iter()
                .filter_map(|name| stage.fleet.server(name))
                .for_each(|server| server.list("draining"));
            wait(*notice_ms).await;
            for name in servers {
                stage.fleet.kill(name, Dead::Refuse).await;
            }
        }
        What::Links { cell, factor } => {
            stage.fleet.shared.links.slow(*cell, *factor);
        }
        What::ZoneLost { zone, routers } => {
            for name in stage.fleet.in_zone(zone) {
                stage.fleet.kill(&name, Dead::Unreachable).await;
            }
            for router in stage.routers_of(zone).into_iter().filter(|_| *routers) {
                stage.kill_router(router).await;
            }
        }
        What::ListBehind { by_ms } => stage.fleet.shared.list.extra_delay_ms.set(*by_ms),
        What::ListDown => stage.fleet.shared.list.down.set(true),
        What::ListLies { share } => stage.fleet.shared.list.restart_omitting(*share),
        What::RouterKilled { router } => stage.kill_router(*router).await,
        What::RouterStopped { router } => stage.stop_router(*router).await,
        What::Ramp { key, factor } => {
            let (key, for_ms) = (key.clone(), trouble.for_ms);
            *stage.mood.ramp.borrow_mut() = Some(Ramp { key, from_ms: now_ms, for_ms, factor: *factor });
        }
        What::Burst { key, factor } => *stage.mood.burst.borrow_mut() = Some((key.clone(), *factor)),
        What::LongPrompts { share, factor } => stage.mood.long.set(Some((*share, *factor))),
        What::HotBeginning { share, tokens } => stage.mood.hot.set(Some((*share, *tokens))),
        What::GiveUp { share } => stage.mood.gives_up.set(*share),
        What::Rig(_) => {}
    }
}

async fn end(stage: &Rc<Stage>, trouble: &Trouble) {
    let back = |servers: Vec<String>, as_new: bool| async move {
        for name in servers {
            if let Err(cause) = stage.fleet.restart(&name, as_new).await {
                stage.fail(format!("{cause:#}"));
            }
        }
    };
    match &trouble.what {
        What::Dead { servers, back_as_new, .. } => back(servers.clone(), *back_as_new).await,
        What::Drain { servers, .. } => back(servers.clone(), false).await,
        What::ZoneLost { zone, routers } => {
            back(stage.fleet.in_zone(zone), false).await;
            for router in stage.routers_of(zone).into_iter().filter(|_| *routers) {
                stage.start_router(router).await;
            }
        }
        What::Silent { servers } => each(stage, servers, |s| s.change_model_faults(|t| t.silent = false)),
        What::Slow { servers, .. } => each(stage, servers, |s| s.change_model_faults(|t| t.slow = 1.0)),
        What::Ageing { servers, .. } => each(stage, servers, |s| s.change_model_faults(|t| t.ageing = None)),
        What::Erring { servers, .. } => {
            each(stage, servers, |s| s.change_response_faults(|t| t.erring = 0.0))
        }
        What::AnswerLost { servers, .. } => {
            each(stage, servers, |s| s.change_response_faults(|t| t.answer_lost = 0.0))
        }
        What::Pausing { servers, .. } => {
            each(stage, servers, |s| s.change_model_faults(|t| t.pausing = None))
        }
        What::Flush { .. } => {}
        What::Links { cell, .. } => {
            stage.fleet.shared.links.slow(*cell, 1.0);
        }
        What::ListBehind { .. } => stage.fleet.shared.list.extra_delay_ms.set(0.0),
        What::ListDown => stage.fleet.shared.list.down.set(false),
        What::ListLies { .. } => stage.fleet.shared.list.restart_omitting(0.0),
        What::RouterKilled { router } | What::RouterStopped { router } => stage.start_router(*router).await,
        What::Ramp { .. } => *stage.mood.ramp.borrow_mut() = None,
        What::Burst { .. } => *stage.mood.burst.borrow_mut() = None,
        What::LongPrompts { .. } => stage.mood.long.set(None),
        What::HotBeginning { .. } => stage.mood.hot.set(None),
        What::GiveUp { .. } => stage.mood.gives_up.set(0.0),
        What::Rig(_) => {}
    }
}
