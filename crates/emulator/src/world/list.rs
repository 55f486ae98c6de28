//! The server list service, and the membership module of each router.

use super::*;

impl World {
    pub(super) fn change_list(&mut self, server: usize, readiness: &str) {
        let node = &self.nodes[server];
        let entry = ServerEntry {
            name: node.name.clone(),
            // Distinct for each server; nothing connects to it.
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
        let delay_ms = self.day.fleet.list_delay_ms + self.list_lag_ms;
        for router in 0..self.routers.len() {
            let node = &mut self.routers[router];
            node.list_due_ms = node.list_due_ms.max(self.now_ms + delay_ms);
            let (at_ms, boot) = (node.list_due_ms, node.boot);
            self.queue.push(at_ms, SimEvent::ListDelivery { router, boot });
        }
    }

    /// Sends a router the list changes that are visible to it by now.
    pub(super) fn deliver_list(&mut self, router: usize, boot: u64) {
        if !self.routers[router].up {
            return;
        }
        let boot = if boot == 0 { self.routers[router].boot } else { boot };
        if self.list_down {
            return self.queue.push(
                self.now_ms + self.day.router.list.retry_ms.max(50.0),
                SimEvent::ListDelivery { router, boot },
            );
        }
        let delay_ms = self.day.fleet.list_delay_ms;
        let until_ms = self.now_ms - delay_ms - self.list_lag_ms;
        let initial = self.nodes.len();
        let known = self.routers[router].membership.known_version(SourceId::Service);
        let known = known.filter(|(epoch, _)| *epoch == self.list_epoch).map(|(_, version)| version as usize);
        let visible = self.list.iter().take_while(|(at, _, _)| *at <= until_ms + 1e-6).count();
        let version = visible.max(initial).max(known.unwrap_or(0)).min(self.list.len());
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
            servers.into_iter().filter(|entry| !omits_server(&entry.name, self.omitted_share)).collect();
        for entry in &servers {
            let (server, readiness) = (entry.name.clone(), entry.readiness.clone());
            self.record(What::ListSent { router, server, readiness, cold: entry.age_ms.is_some() });
        }
        let after = known.map(|known| known as u64);
        let list = ServerList { epoch: self.list_epoch, version: version as u64, after, servers };
        let update = self.routers[router].membership.apply_version(self.now_ms, SourceId::Service, &list);
        if let Ok(update) = update {
            self.apply_list_update(router, boot, update);
        }
    }

    /// Restarts the list service, which from then on omits a share of the servers.
    pub(super) fn restart_list_service(&mut self, share: f64) {
        (self.list_epoch, self.omitted_share) = (self.list_epoch + 1, share);
        for router in 0..self.routers.len() {
            self.queue.push(self.now_ms, SimEvent::ListDelivery { router, boot: 0 });
        }
    }

    /// Passes a change of a router's list on to its decision module and starts the probes that membership
    /// requests.
    pub(super) fn apply_list_update(&mut self, router: usize, boot: u64, update: ListUpdate) {
        let now_ms = self.now_ms;
        let node = &mut self.routers[router];
        if let ListUpdate::Listed { kind, rows } = update {
            node.saved = node.membership.save(now_ms, now_ms);
            self.router_input(router, boot, Input::Listed { kind, rows });
        }
        let node = &mut self.routers[router];
        let probes = node.membership.due_probes(now_ms);
        if let Some(at_ms) = node.membership.next_wake_ms(now_ms) {
            self.queue.push(at_ms, SimEvent::MembershipTick { router, boot });
        }
        for worker in probes {
            let server = self.by_name.get(&*worker.0).copied();
            let reachable =
                server.is_some_and(|row| self.nodes[row].up && !self.nodes[row].model.faults.silent);
            let after_ms =
                if reachable { 2.0 * self.options.net_ms } else { self.day.router.engines.probe_ms };
            self.queue
                .push(now_ms + after_ms, SimEvent::MembershipProbeEnd { router, boot, worker, reachable });
        }
    }

    pub(super) fn tick_membership(&mut self, router: usize, boot: u64) {
        let node = &mut self.routers[router];
        if node.up && node.boot == boot {
            let update = node.membership.tick(self.now_ms);
            self.apply_list_update(router, boot, update);
        }
    }

    /// Reports to membership whether a worker was reachable.
    pub(super) fn observe_worker(&mut self, router: usize, boot: u64, worker: &WorkerId, reachable: bool) {
        let node = &mut self.routers[router];
        if node.up && node.boot == boot {
            let update = node.membership.observe(self.now_ms, worker, reachable);
            if matches!(update, ListUpdate::Listed { .. }) {
                self.apply_list_update(router, boot, update);
            }
        }
    }
}
