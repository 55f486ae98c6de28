//! Brings about what the script says, in virtual time.

use paddleproxy_settings::day::{DaySettings, Dead, Trouble, What as Befalls};

use crate::chance::{seed, Chance};
use crate::record::What;
use crate::world::{Ev, World};

/// Times that one trouble comes again at most.
const AGAIN_MAX: usize = 10_000;

/// Sessions of a key that grow evenly to a multiple over a time.
#[derive(Clone, Debug)]
pub struct Ramp {
    pub key: String,
    pub from_ms: f64,
    pub for_ms: f64,
    /// At its end.
    pub factor: f64,
}

impl Ramp {
    /// The multiple of a key's sessions at a time.
    pub fn at(&self, now_ms: f64, key: &str) -> f64 {
        let part = ((now_ms - self.from_ms) / self.for_ms.max(1.0)).clamp(0.0, 1.0);
        if self.key == key {
            1.0 + (self.factor - 1.0) * part
        } else {
            1.0
        }
    }
}

/// Whether a list that leaves out a share of the servers leaves out this one.
pub fn left_out(name: &str, share: f64) -> bool {
    let mixed = name.bytes().fold(7, |mixed, byte| seed(mixed, 3, u64::from(byte)));
    ((mixed >> 11) as f64 / (1u64 << 53) as f64) < share
}

/// The troubles of a day as they come: those that come again by chance at each of their times.
pub fn spread(day: &DaySettings, of: u64) -> Vec<Trouble> {
    let mut all = Vec::new();
    for (row, trouble) in day.troubles.iter().enumerate() {
        all.push(trouble.clone());
        let Some(every_ms) = trouble.every_ms else { continue };
        let mut chance = Chance::new(seed(day.seed, 8, of), 9, row as u64);
        let mut at_ms = trouble.at_ms;
        for _ in 0..AGAIN_MAX {
            // Never while the last one lasts.
            at_ms += trouble.for_ms + chance.gap_ms(1e3 / every_ms);
            if at_ms > day.length_ms {
                break;
            }
            all.push(Trouble { at_ms, ..trouble.clone() });
        }
    }
    all
}

impl World {
    pub(crate) fn trouble(&mut self, row: usize, begins: bool) {
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
                self.heap.put(now_ms + notice_ms, Ev::Dies { row });
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
    pub(crate) fn drain_ends(&mut self, row: usize) {
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
                    .for_each(|router| self.heap.put(self.now_ms, Ev::News { router, boot: 0 }));
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
