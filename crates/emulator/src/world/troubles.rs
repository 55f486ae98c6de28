//! Begins and ends the scripted troubles of a day.

use paddleproxy_settings::day::{FailureMode, TroubleKind as Fault};

use crate::record::What;
use crate::troubles::Ramp;

use super::{SimEvent, World};

impl World {
    pub(super) fn apply_trouble(&mut self, row: usize, begins: bool) {
        let troubles = self.troubles.clone();
        let what = &troubles[row].kind;
        let name = match what {
            Fault::Dead { how: FailureMode::Unreachable, .. } => "unreachable",
            what => what.name(),
        };
        self.record(What::Trouble { name: name.to_owned(), begins });
        if begins {
            self.begin_trouble(row, what);
        } else {
            self.end_trouble(what);
        }
    }

    fn begin_trouble(&mut self, row: usize, what: &Fault) {
        let now_ms = self.now_ms;
        match what {
            Fault::Dead { servers, how, .. } => {
                for server in self.servers_named(servers) {
                    self.kill_server(server, *how);
                }
            }
            Fault::Silent { servers } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.silent = true);
                servers.into_iter().for_each(|server| self.schedule_stalls(server));
            }
            Fault::Slow { servers, factor } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.slow = *factor);
            }
            Fault::Ageing { servers, factor } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.ageing = Some((now_ms, *factor)));
            }
            Fault::Pausing { servers, pause_ms, every_ms } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.pausing = Some((*pause_ms, *every_ms)));
            }
            Fault::Erring { servers, share, model } => {
                for server in self.servers_named(servers) {
                    self.nodes[server].erring = (*share, model.clone());
                }
            }
            Fault::AnswerLost { servers, share } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.nodes[server].answer_lost = *share);
            }
            Fault::Flush { servers } => {
                self.servers_named(servers).into_iter().for_each(|server| self.nodes[server].model.flush());
            }
            Fault::Drain { servers, notice_ms } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.draining = true);
                servers.into_iter().for_each(|server| self.set_readiness(server, "draining"));
                self.queue.push(now_ms + notice_ms, SimEvent::DrainDeadline { row });
            }
            Fault::Links { cell, factor } => self.set_link_slowdown(*cell, *factor),
            Fault::ZoneLost { zone, routers } => {
                for server in self.servers_in_zone(zone) {
                    self.kill_server(server, FailureMode::Unreachable);
                }
                for router in self.routers_of(zone).into_iter().filter(|_| *routers) {
                    self.kill_router(router);
                }
            }
            Fault::ListBehind { by_ms } => self.list_lag_ms = *by_ms,
            Fault::ListDown => self.list_down = true,
            Fault::ListLies { share } => self.restart_list_service(*share),
            Fault::RouterKilled { router } => self.kill_router(*router),
            Fault::RouterStopped { router } => self.stop_router(*router),
            Fault::Ramp { key, factor } => {
                let for_ms = self.troubles[row].for_ms;
                self.conditions.ramp =
                    Some(Ramp { key: key.clone(), from_ms: now_ms, for_ms, factor: *factor });
            }
            Fault::Burst { key, factor } => self.conditions.burst = Some((key.clone(), *factor)),
            Fault::LongPrompts { share, factor } => self.conditions.long_prompts = Some((*share, *factor)),
            Fault::HotPrefix { share, tokens } => self.conditions.hot_prefix = Some((*share, *tokens as f64)),
            Fault::GiveUp { share } => self.conditions.leaving_share = *share,
            // Faults of router processes and of the connections between them need real processes.
            Fault::Rig(_) => {}
        }
    }

    /// Ends the processes of drained servers after the notice period. They restart when the trouble ends, or
    /// at once if it has ended already.
    pub(super) fn end_drain(&mut self, row: usize) {
        let troubles = self.troubles.clone();
        if let Fault::Drain { servers, .. } = &troubles[row].kind {
            for server in self.servers_named(servers) {
                self.kill_server(server, FailureMode::Refuse);
                let (trouble, what) = (&troubles[row], &troubles[row].kind);
                if trouble.at_ms + trouble.for_ms <= self.now_ms {
                    self.end_trouble(what);
                }
            }
        }
    }

    fn end_trouble(&mut self, what: &Fault) {
        match what {
            Fault::Dead { servers, back_as_new, .. } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.restart_server(server, *back_as_new));
            }
            Fault::Drain { servers, .. } => {
                for server in self.servers_named(servers) {
                    self.restart_server(server, false);
                }
            }
            Fault::ZoneLost { zone, routers } => {
                self.servers_in_zone(zone).into_iter().for_each(|server| self.restart_server(server, false));
                for router in self.routers_of(zone).into_iter().filter(|_| *routers) {
                    self.start_router(router);
                }
            }
            Fault::Silent { servers } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.silent = false);
                servers.into_iter().for_each(|server| self.resume_server(server));
            }
            Fault::Slow { servers, .. } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.slow = 1.0);
            }
            Fault::Ageing { servers, .. } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.ageing = None);
            }
            Fault::Pausing { servers, .. } => {
                let servers = self.servers_named(servers);
                self.change_faults(&servers, |faults| faults.pausing = None);
            }
            Fault::Erring { servers, .. } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.nodes[server].erring = (0.0, None));
            }
            Fault::AnswerLost { servers, .. } => {
                self.servers_named(servers)
                    .into_iter()
                    .for_each(|server| self.nodes[server].answer_lost = 0.0);
            }
            Fault::Flush { .. } => {}
            Fault::Links { cell, .. } => self.set_link_slowdown(*cell, 1.0),
            Fault::ListBehind { .. } => {
                self.list_lag_ms = 0.0;
                (0..self.routers.len()).for_each(|router| {
                    self.queue.push(self.now_ms, SimEvent::ListDelivery { router, boot: 0 })
                });
            }
            Fault::ListDown => self.list_down = false,
            Fault::ListLies { .. } => self.restart_list_service(0.0),
            Fault::RouterKilled { router } | Fault::RouterStopped { router } => self.start_router(*router),
            Fault::Burst { .. } => self.conditions.burst = None,
            Fault::Ramp { .. } => self.conditions.ramp = None,
            Fault::LongPrompts { .. } => self.conditions.long_prompts = None,
            Fault::HotPrefix { .. } => self.conditions.hot_prefix = None,
            Fault::GiveUp { .. } => self.conditions.leaving_share = 0.0,
            Fault::Rig(_) => {}
        }
    }

    fn routers_of(&self, zone: &str) -> Vec<usize> {
        let zone = self.day.router.names.zones.iter().position(|name| name == zone);
        (0..self.routers.len()).filter(|router| Some(self.routers[*router].zone) == zone).collect()
    }
}
