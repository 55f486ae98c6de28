//! Brings about what the script says, when it says so.

use std::rc::Rc;
use std::time::Duration;

use paddleproxy_emulator::troubles::Ramp;
use paddleproxy_fleet::record::What as Line;
use paddleproxy_fleet::server::Server;
use paddleproxy_settings::day::{FailureMode, Trouble, TroubleKind};
use tokio::time::{sleep, sleep_until};

use crate::rig;
use crate::stage::Stage;

fn wait(ms: f64) -> tokio::time::Sleep {
    sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3))
}

/// One trouble, from its beginning to its end.
pub async fn befall(stage: Rc<Stage>, trouble: Trouble) {
    sleep_until(stage.record.at(trouble.at_ms)).await;
    let name = match &trouble.kind {
        TroubleKind::Dead { how: FailureMode::Unreachable, .. } => "unreachable",
        what => what.name(),
    };
    let note = |begins| stage.record.add(Line::Trouble { name: name.to_owned(), begins });
    note(true);
    if let TroubleKind::Rig(fault) = &trouble.kind {
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
    match &trouble.kind {
        TroubleKind::Dead { servers, how, .. } => {
            for name in servers {
                stage.fleet.kill(name, *how).await;
            }
        }
        TroubleKind::Silent { servers } => each(stage, servers, |s| s.befalls(|t| t.silent = true)),
        TroubleKind::Slow { servers, factor } => each(stage, servers, |s| s.befalls(|t| t.slow = *factor)),
        TroubleKind::Ageing { servers, factor } => {
            each(stage, servers, |s| s.befalls(|t| t.ageing = Some((now_ms, *factor))))
        }
        TroubleKind::Erring { servers, share, model } => each(stage, servers, |s| {
            s.change_trouble(|t| (t.erring, t.erring_model) = (*share, model.clone()));
        }),
        TroubleKind::AnswerLost { servers, share } => {
            each(stage, servers, |s| s.change_trouble(|t| t.answer_lost = *share))
        }
        TroubleKind::Pausing { servers, pause_ms, every_ms } => {
            each(stage, servers, |s| s.befalls(|t| t.pausing = Some((*pause_ms, *every_ms))));
        }
        TroubleKind::Flush { servers } => {
            servers.iter().filter_map(|name| stage.fleet.server(name)).for_each(|server| server.flush());
        }
        TroubleKind::Drain { servers, notice_ms } => {
            each(stage, servers, |s| s.befalls(|t| t.draining = true));
            servers
                .iter()
                .filter_map(|name| stage.fleet.server(name))
                .for_each(|server| server.list("draining"));
            wait(*notice_ms).await;
            for name in servers {
                stage.fleet.kill(name, FailureMode::Refuse).await;
            }
        }
        TroubleKind::Links { cell, factor } => {
            stage.fleet.shared.links.slow(*cell, *factor);
        }
        TroubleKind::ZoneLost { zone, routers } => {
            for name in stage.fleet.in_zone(zone) {
                stage.fleet.kill(&name, FailureMode::Unreachable).await;
            }
            for router in stage.routers_of(zone).into_iter().filter(|_| *routers) {
                stage.kill_router(router).await;
            }
        }
        TroubleKind::ListBehind { by_ms } => stage.fleet.shared.list.behind_ms.set(*by_ms),
        TroubleKind::ListDown => stage.fleet.shared.list.down.set(true),
        TroubleKind::ListLies { share } => stage.fleet.shared.list.anew(*share),
        TroubleKind::RouterKilled { router } => stage.kill_router(*router).await,
        TroubleKind::RouterStopped { router } => stage.stop_router(*router).await,
        TroubleKind::Ramp { key, factor } => {
            let (key, for_ms) = (key.clone(), trouble.for_ms);
            *stage.mood.ramp.borrow_mut() = Some(Ramp { key, from_ms: now_ms, for_ms, factor: *factor });
        }
        TroubleKind::Burst { key, factor } => *stage.mood.burst.borrow_mut() = Some((key.clone(), *factor)),
        TroubleKind::LongPrompts { share, factor } => stage.mood.long.set(Some((*share, *factor))),
        TroubleKind::HotPrefix { share, tokens } => stage.mood.hot.set(Some((*share, *tokens))),
        TroubleKind::GiveUp { share } => stage.mood.gives_up.set(*share),
        TroubleKind::Rig(_) => {}
    }
}

async fn end(stage: &Rc<Stage>, trouble: &Trouble) {
    let back = |servers: Vec<String>, as_new: bool| async move {
        for name in servers {
            if let Err(cause) = stage.fleet.back(&name, as_new).await {
                stage.fail(format!("{cause:#}"));
            }
        }
    };
    match &trouble.kind {
        TroubleKind::Dead { servers, back_as_new, .. } => back(servers.clone(), *back_as_new).await,
        TroubleKind::Drain { servers, .. } => back(servers.clone(), false).await,
        TroubleKind::ZoneLost { zone, routers } => {
            back(stage.fleet.in_zone(zone), false).await;
            for router in stage.routers_of(zone).into_iter().filter(|_| *routers) {
                stage.start_router(router).await;
            }
        }
        TroubleKind::Silent { servers } => each(stage, servers, |s| s.befalls(|t| t.silent = false)),
        TroubleKind::Slow { servers, .. } => each(stage, servers, |s| s.befalls(|t| t.slow = 1.0)),
        TroubleKind::Ageing { servers, .. } => each(stage, servers, |s| s.befalls(|t| t.ageing = None)),
        TroubleKind::Erring { servers, .. } => each(stage, servers, |s| s.change_trouble(|t| t.erring = 0.0)),
        TroubleKind::AnswerLost { servers, .. } => {
            each(stage, servers, |s| s.change_trouble(|t| t.answer_lost = 0.0))
        }
        TroubleKind::Pausing { servers, .. } => each(stage, servers, |s| s.befalls(|t| t.pausing = None)),
        TroubleKind::Flush { .. } => {}
        TroubleKind::Links { cell, .. } => {
            stage.fleet.shared.links.slow(*cell, 1.0);
        }
        TroubleKind::ListBehind { .. } => stage.fleet.shared.list.behind_ms.set(0.0),
        TroubleKind::ListDown => stage.fleet.shared.list.down.set(false),
        TroubleKind::ListLies { .. } => stage.fleet.shared.list.anew(0.0),
        TroubleKind::RouterKilled { router } | TroubleKind::RouterStopped { router } => {
            stage.start_router(*router).await
        }
        TroubleKind::Ramp { .. } => *stage.mood.ramp.borrow_mut() = None,
        TroubleKind::Burst { .. } => *stage.mood.burst.borrow_mut() = None,
        TroubleKind::LongPrompts { .. } => stage.mood.long.set(None),
        TroubleKind::HotPrefix { .. } => stage.mood.hot.set(None),
        TroubleKind::GiveUp { .. } => stage.mood.gives_up.set(0.0),
        TroubleKind::Rig(_) => {}
    }
}
