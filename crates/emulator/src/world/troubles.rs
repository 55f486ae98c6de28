//! Brings about what the script says.

use paddleproxy_settings::day::{Dead, What as Befalls};

use crate::record::What;
use crate::troubles::Ramp;

use super::{Ev, World};

impl World {
    pub(super) fn trouble(&mut self, row: usize, begins: bool) {
        let troubles = self.troubles.clone();
        let what = &troubles[row].what;
        let name = match what {
            Befalls::Dead { how: Dead::Unreachable, .. } => "unreachable",
            what => what.name(),
        };
        self.record(What::Trouble { name: name.to_owned(), begins });
        if begins {
            self.trouble_begins(row, what);
        } else {
            self.trouble_ends(what);
        }
    }

    fn trouble_begins(&mut self, row: usize, what: &Befalls) {
        let now_ms = self.now_ms;
        match what {
            Befalls::Dead { servers, how, .. } => {
                for server in self.named(servers) {
                    self.kill(server, *how);
                }
            }
            Befalls::Silent { servers } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.silent = true);
                servers.into_iter().for_each(|server| self.stalls(server));
            }
            Befalls::Slow { servers, factor } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.slow = *factor);
            }
            Befalls::Ageing { servers, factor } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.ageing = Some((now_ms, *factor)));
            }
            Befalls::Pausing { servers, pause_ms, every_ms } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.pausing = Some((*pause_ms, *every_ms)));
            }
            Befalls::Erring { servers, share, model } => {
                for server in self.named(servers) {
                    self.nodes[server].erring = (*share, model.clone());
                }
            }
            Befalls::AnswerLost { servers, share } => {
                self.named(servers).into_iter().for_each(|server| self.nodes[server].answer_lost = *share);
            }
            Befalls::Flush { servers } => {
                self.named(servers).into_iter().for_each(|server| self.nodes[server].model.flush());
            }
            Befalls::Drain { servers, notice_ms } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.draining = true);
                servers.into_iter().for_each(|server| self.list_says(server, "draining"));
                self.queue.put(now_ms + notice_ms, Ev::Dies { row });
            }
            Befalls::Links { cell, factor } => self.slow_links(*cell, *factor),
            Befalls::ZoneLost { zone, routers } => {
                for server in self.in_zone(zone) {
                    self.kill(server, Dead::Unreachable);
                }
                for router in self.routers_of(zone).into_iter().filter(|_| *routers) {
                    self.kill_router(router);
                }
            }
            Befalls::ListBehind { by_ms } => self.behind_ms = *by_ms,
            Befalls::ListDown => self.list_down = true,
            Befalls::ListLies { share } => self.list_anew(*share),
            Befalls::RouterKilled { router } => self.kill_router(*router),
            Befalls::RouterStopped { router } => self.stop_router(*router),
            Befalls::Ramp { key, factor } => {
                let for_ms = self.troubles[row].for_ms;
                self.mood.ramp = Some(Ramp { key: key.clone(), from_ms: now_ms, for_ms, factor: *factor });
            }
            Befalls::Burst { key, factor } => self.mood.burst = Some((key.clone(), *factor)),
            Befalls::LongPrompts { share, factor } => self.mood.long = Some((*share, *factor)),
            Befalls::HotBeginning { share, tokens } => self.mood.hot = Some((*share, *tokens as f64)),
            Befalls::GiveUp { share } => self.mood.gives_up = *share,
            // Links and processes of routers are played on real ones.
            Befalls::Rig(_) => {}
        }
    }

    /// The notice of a drain is over: its servers' processes end. They come back when the trouble does, if later.
    pub(super) fn drain_ends(&mut self, row: usize) {
        let troubles = self.troubles.clone();
        if let Befalls::Drain { servers, .. } = &troubles[row].what {
            for server in self.named(servers) {
                self.kill(server, Dead::Refuse);
                let (trouble, back) = (&troubles[row], &troubles[row].what);
                if trouble.at_ms + trouble.for_ms <= self.now_ms {
                    self.trouble_ends(back);
                }
            }
        }
    }

    fn trouble_ends(&mut self, what: &Befalls) {
        match what {
            Befalls::Dead { servers, back_as_new, .. } => {
                self.named(servers).into_iter().for_each(|server| self.back(server, *back_as_new));
            }
            Befalls::Drain { servers, .. } => {
                for server in self.named(servers) {
                    self.back(server, false);
                }
            }
            Befalls::ZoneLost { zone, routers } => {
                self.in_zone(zone).into_iter().for_each(|server| self.back(server, false));
                for router in self.routers_of(zone).into_iter().filter(|_| *routers) {
                    self.start_router(router);
                }
            }
            Befalls::Silent { servers } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.silent = false);
                servers.into_iter().for_each(|server| self.wake(server));
            }
            Befalls::Slow { servers, .. } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.slow = 1.0);
            }
            Befalls::Ageing { servers, .. } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.ageing = None);
            }
            Befalls::Pausing { servers, .. } => {
                let servers = self.named(servers);
                self.befalls(&servers, |befalls| befalls.pausing = None);
            }
            Befalls::Erring { servers, .. } => {
                self.named(servers).into_iter().for_each(|server| self.nodes[server].erring = (0.0, None));
            }
            Befalls::AnswerLost { servers, .. } => {
                self.named(servers).into_iter().for_each(|server| self.nodes[server].answer_lost = 0.0);
            }
            Befalls::Flush { .. } => {}
            Befalls::Links { cell, .. } => self.slow_links(*cell, 1.0),
            Befalls::ListBehind { .. } => {
                self.behind_ms = 0.0;
                (0..self.routers.len())
                    .for_each(|router| self.queue.put(self.now_ms, Ev::News { router, boot: 0 }));
            }
            Befalls::ListDown => self.list_down = false,
            Befalls::ListLies { .. } => self.list_anew(0.0),
            Befalls::RouterKilled { router } | Befalls::RouterStopped { router } => {
                self.start_router(*router)
            }
            Befalls::Burst { .. } => self.mood.burst = None,
            Befalls::Ramp { .. } => self.mood.ramp = None,
            Befalls::LongPrompts { .. } => self.mood.long = None,
            Befalls::HotBeginning { .. } => self.mood.hot = None,
            Befalls::GiveUp { .. } => self.mood.gives_up = 0.0,
            Befalls::Rig(_) => {}
        }
    }

    fn routers_of(&self, zone: &str) -> Vec<usize> {
        let zone = self.day.router.names.zones.iter().position(|name| name == zone);
        (0..self.routers.len()).filter(|router| Some(self.routers[*router].zone) == zone).collect()
    }
}
