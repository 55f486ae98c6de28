//! Begins and ends the scripted troubles of a day.

use paddleproxy_settings::day::{FailureMode, TroubleKind};

use crate::record::What;
use crate::troubles::Ramp;

use super::{SimEvent, World};

impl World {
    pub(super) fn apply_trouble(&mut self, row: usize, begins: bool) {
        let troubles = self.troubles.clone();
        let kind = &troubles[row].kind;
        let name = match kind {
            TroubleKind::Dead { how: FailureMode::Unreachable, .. } => "unreachable",
            kind => kind.name(),
        };
        self.record(What::Trouble { name: name.to_owned(), begins });
        if begins {
            self.begin_trouble(row, kind);
        } else {
            self.end_trouble(kind);
        }
    }

    fn begin_trouble(&mut self, row: usize, kind: &TroubleKind) {
        let now_ms = self.now_ms;
        match kind {
            TroubleKind::Dead { servers, how, .. } => {
                for server in self.servers_named(servers) {
                    self.kill_server(server, *how);
                }
            }
            TroubleKind::Silent { servers } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.silent = true);
                servers.into_iter().for_each(|server| self.schedule_stalls(server));
            }
            TroubleKind::Slow { servers, factor } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.slow = *factor);
            }
            TroubleKind::Ageing { servers, factor } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.ageing = Some((now_ms, *factor)));
            }
            TroubleKind::Pausing { servers, pause_ms, every_ms } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.pausing = Some((*pause_ms, *every_ms)));
            }
            TroubleKind::Erring { servers, share, model } => {
                for server in self.servers_named(servers) {
                    self.nodes[server].erring = (*share, model.clone());
                }
            }
            TroubleKind::AnswerLost { servers, share } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.nodes[server].answer_lost = *share);
            }
            TroubleKind::Flush { servers } => {
                self.servers_named(servers).into_iter().for_each(|server| self.nodes[server].model.flush());
            }
            TroubleKind::Drain { servers, notice_ms } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.draining = true);
                servers.into_iter().for_each(|server| self.set_readiness(server, "draining"));
                self.queue.push(now_ms + notice_ms, SimEvent::DrainDeadline { row });
            }
            TroubleKind::Links { cell, factor } => self.set_link_slowdown(*cell, *factor),
            TroubleKind::ZoneLost { zone, routers } => {
                for server in self.servers_in_zone(zone) {
                    self.kill_server(server, FailureMode::Unreachable);
                }
                for router in self.routers_of(zone).into_iter().filter(|_| *routers) {
                    self.kill_router(router);
                }
            }
            TroubleKind::ListBehind { by_ms } => self.list_lag_ms = *by_ms,
            TroubleKind::ListDown => self.list_down = true,
            TroubleKind::ListLies { share } => self.restart_list_service(*share),
            TroubleKind::RouterKilled { router } => self.kill_router(*router),
            TroubleKind::RouterStopped { router } => self.stop_router(*router),
            TroubleKind::Ramp { key, factor } => {
                let for_ms = self.troubles[row].for_ms;
                self.conditions.ramp =
                    Some(Ramp { key: key.clone(), from_ms: now_ms, for_ms, factor: *factor });
            }
            TroubleKind::Burst { key, factor } => self.conditions.burst = Some((key.clone(), *factor)),
            TroubleKind::LongPrompts { share, factor } => {
                self.conditions.long_prompts = Some((*share, *factor))
            }
            TroubleKind::HotPrefix { share, tokens } => {
                self.conditions.hot_prefix = Some((*share, *tokens as f64))
            }
            TroubleKind::GiveUp { share } => self.conditions.leaving_share = *share,
            // Faults of router processes and of the connections between them need real processes.
            TroubleKind::ProcessFault(_) => {}
        }
    }

    /// Ends the processes of drained servers after the notice period. They restart when the trouble ends, or
    /// at once if it has ended already.
    pub(super) fn end_drain(&mut self, row: usize) {
        let troubles = self.troubles.clone();
        if let TroubleKind::Drain { servers, .. } = &troubles[row].kind {
            for server in self.servers_named(servers) {
                self.kill_server(server, FailureMode::Refuse);
                let (trouble, kind) = (&troubles[row], &troubles[row].kind);
                if trouble.at_ms + trouble.for_ms <= self.now_ms {
                    self.end_trouble(kind);
                }
            }
        }
    }

    fn end_trouble(&mut self, kind: &TroubleKind) {
        match kind {
            TroubleKind::Dead { servers, back_as_new, .. } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.restart_server(server, *back_as_new));
            }
            TroubleKind::Drain { servers, .. } => {
                for server in self.servers_named(servers) {
                    self.restart_server(server, false);
                }
            }
            TroubleKind::ZoneLost { zone, routers } => {
                self.servers_in_zone(zone).into_iter().for_each(|server| self.restart_server(server, false));
                for router in self.routers_of(zone).into_iter().filter(|_| *routers) {
                    self.start_router(router);
                }
            }
            TroubleKind::Silent { servers } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.silent = false);
                servers.into_iter().for_each(|server| self.resume_server(server));
            }
            TroubleKind::Slow { servers, .. } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.slow = 1.0);
            }
            TroubleKind::Ageing { servers, .. } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.ageing = None);
            }
            TroubleKind::Pausing { servers, .. } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.pausing = None);
            }
            TroubleKind::Erring { servers, .. } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.nodes[server].erring = (0.0, None));
            }
            TroubleKind::AnswerLost { servers, .. } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.nodes[server].answer_lost = 0.0);
            }
            TroubleKind::Flush { .. } => {}
            TroubleKind::Links { cell, .. } => self.set_link_slowdown(*cell, 1.0),
            TroubleKind::ListBehind { .. } => {
                self.list_lag_ms = 0.0;
                (0..self.routers.len()).for_each(|router| {
                    self.queue.push(self.now_ms, SimEvent::ListDelivery { router, boot: 0 })
                });
            }
            TroubleKind::ListDown => self.list_down = false,
            TroubleKind::ListLies { .. } => self.restart_list_service(0.0),
            TroubleKind::RouterKilled { router } | TroubleKind::RouterStopped { router } => {
                self.start_router(*router)
            }
            TroubleKind::Burst { .. } => self.conditions.burst = None,
            TroubleKind::Ramp { .. } => self.conditions.ramp = None,
            TroubleKind::LongPrompts { .. } => self.conditions.long_prompts = None,
            TroubleKind::HotPrefix { .. } => self.conditions.hot_prefix = None,
            TroubleKind::GiveUp { .. } => self.conditions.leaving_share = 0.0,
            TroubleKind::ProcessFault(_) => {}
        }
    }

    fn routers_of(&self, zone: &str) -> Vec<usize> {
        let zone = self.day.router.names.zones.iter().position(|name| name == zone);
        (0..self.routers.len()).filter(|router| Some(self.routers[*router].zone) == zone).collect()
    }
}
