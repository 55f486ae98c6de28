//! The list service and what each router makes of it.

use super::*;

impl World {
    pub(super) fn list_change(&mut self, server: usize, readiness: &str) {
        let node = &self.nodes[server];
        let entry = ServerEntry {
            name: node.name.clone(),
            // Each has one of its own; nothing connects to it.
            address: format!("127.1.{}.{}:1", server / 256, server % 256),
            zone: node.zone.clone(),
            kind: self.day.fleet.kinds[node.kind].name.clone(),
            cell: node.cell,
            readiness: readiness.to_owned(),
            weight: 1.0,
            start: node.start,
            age_ms: None,
        };
        self.list.push((self.now_ms, entry, node.started_ms));
        let late_ms = self.day.fleet.list_delay_ms + self.behind_ms;
        for router in 0..self.routers.len() {
            let node = &mut self.routers[router];
            node.news_ms = node.news_ms.max(self.now_ms + late_ms);
            let (at_ms, boot) = (node.news_ms, node.boot);
            self.queue.put(at_ms, Ev::News { router, boot });
        }
    }

    /// The list tells a router what it may know by now.
    pub(super) fn news(&mut self, router: usize, boot: u64) {
        if !self.routers[router].up {
            return;
        }
        let boot = if boot == 0 { self.routers[router].boot } else { boot };
        if self.list_down {
            return self
                .queue
                .put(self.now_ms + self.day.router.list.retry_ms.max(50.0), Ev::News { router, boot });
        }
        let late_ms = self.day.fleet.list_delay_ms;
        let until_ms = self.now_ms - late_ms - self.behind_ms;
        let first = self.nodes.len();
        let known = self.routers[router].membership.known_version(SourceId::Service);
        let known = known.filter(|(epoch, _)| *epoch == self.list_epoch).map(|(_, version)| version as usize);
        let seen = self.list.iter().take_while(|(at, _, _)| *at <= until_ms + 1e-6).count();
        let version = seen.max(first).max(known.unwrap_or(0)).min(self.list.len());
        if known == Some(version) {
            return;
        }
        let mut newest = BTreeMap::new();
        for (_, entry, started) in &self.list[known.unwrap_or(0)..version] {
            let age_ms = started.map(|started| (self.now_ms - started).max(0.0));
            newest.insert(entry.name.clone(), ServerEntry { age_ms, ..entry.clone() });
        }
        let servers: Vec<_> =
            newest.into_values().filter(|entry| known.is_some() || entry.readiness != "gone").collect();
        let servers: Vec<ServerEntry> =
            servers.into_iter().filter(|entry| !omits_server(&entry.name, self.lies)).collect();
        for entry in &servers {
            let (server, readiness) = (entry.name.clone(), entry.readiness.clone());
            self.record(What::ListSent { router, server, readiness, cold: entry.age_ms.is_some() });
        }
        let after = known.map(|known| known as u64);
        let list = ServerList { epoch: self.list_epoch, version: version as u64, after, servers };
        let heard = self.routers[router].membership.apply_version(self.now_ms, SourceId::Service, &list);
        if let Ok(heard) = heard {
            self.heard(router, boot, heard);
        }
    }

    /// The list service starts anew and leaves out a share of the servers.
    pub(super) fn list_anew(&mut self, share: f64) {
        (self.list_epoch, self.lies) = (self.list_epoch + 1, share);
        for router in 0..self.routers.len() {
            self.queue.put(self.now_ms, Ev::News { router, boot: 0 });
        }
    }

    /// What a router's list came to is told to its decisions, and what it wants to know is asked.
    pub(super) fn heard(&mut self, router: usize, boot: u64, heard: ListUpdate) {
        let now_ms = self.now_ms;
        let node = &mut self.routers[router];
        if let ListUpdate::Listed { kind, rows } = heard {
            node.saved = node.membership.save(now_ms, now_ms);
            self.tell(router, boot, Input::Listed { kind, rows });
        }
        let node = &mut self.routers[router];
        let asks = node.membership.due_probes(now_ms);
        if let Some(at_ms) = node.membership.next_wake_ms(now_ms) {
            self.queue.put(at_ms, Ev::List { router, boot });
        }
        for worker in asks {
            let server = self.by_name.get(&*worker.0).copied();
            let there = server.is_some_and(|row| self.nodes[row].up && !self.nodes[row].model.faults.silent);
            let after_ms = if there { 2.0 * self.options.net_ms } else { self.day.router.engines.probe_ms };
            self.queue.put(now_ms + after_ms, Ev::There { router, boot, worker, there });
        }
    }

    pub(super) fn list_passes(&mut self, router: usize, boot: u64) {
        let node = &mut self.routers[router];
        if node.up && node.boot == boot {
            let heard = node.membership.tick(self.now_ms);
            self.heard(router, boot, heard);
        }
    }

    pub(super) fn seen(&mut self, router: usize, boot: u64, worker: &WorkerId, there: bool) {
        let node = &mut self.routers[router];
        if node.up && node.boot == boot {
            let heard = node.membership.observe(self.now_ms, worker, there);
            if matches!(heard, ListUpdate::Listed { .. }) {
                self.heard(router, boot, heard);
            }
        }
    }
}
