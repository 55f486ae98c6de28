//! Faults and restarts of servers.

use super::*;

impl World {
    pub(super) fn servers_named(&self, configured_names: &[String]) -> Vec<usize> {
        let wanted: BTreeSet<&String> = configured_names.iter().collect();
        // A trouble applies to the named servers in each copy of the fleet.
        let rows = self.nodes.iter().enumerate().filter(|(_, node)| wanted.contains(&node.configured_name));
        rows.map(|(row, _)| row).collect()
    }

    pub(super) fn servers_in_zone(&self, zone: &str) -> Vec<usize> {
        let rows = self.nodes.iter().enumerate().filter(|(_, node)| node.zone == zone);
        rows.map(|(row, _)| row).collect()
    }

    pub(super) fn change_faults(&mut self, servers: &[usize], change: impl Fn(&mut ActiveFaults)) {
        servers.iter().for_each(|row| change(&mut self.nodes[*row].model.faults));
    }

    pub(super) fn set_readiness(&mut self, server: usize, readiness: &str) {
        self.change_list(server, readiness);
    }

    pub(super) fn kill_server(&mut self, server: usize, how: FailureMode) {
        if !self.nodes[server].up {
            return;
        }
        self.update_in_system(server);
        self.nodes[server].up = false;
        self.nodes[server].down_mode = how;
        let start = self.nodes[server].start;
        let lost = self.nodes[server].model.restart(self.now_ms);
        self.nodes[server].start += 1;
        let name = self.nodes[server].name.clone();
        for state in lost {
            let request = self.dispatches[state as usize].name.clone();
            self.record(What::StateGone { server: name.clone(), request, why: "died".into() });
        }
        self.record(What::Died { server: name });
        // Open connections break. Dispatches that have not arrived yet are refused on arrival.
        let broken: Vec<_> = self
            .routers
            .iter()
            .flat_map(|router| router.in_flight.values().copied())
            .filter(|row| self.dispatches[*row].server == server && self.dispatches[*row].start == start)
            .filter(|row| self.dispatches[*row].arrived_ms.is_some())
            .collect();
        for dispatch in broken {
            self.finish_at_server(dispatch, 3);
            let end = if self.dispatches[dispatch].streaming {
                SocketEnd::BrokeAfterFirst
            } else {
                SocketEnd::BrokeBeforeAnswer
            };
            self.queue.push(self.now_ms + self.options.net_ms, SimEvent::DispatchEnd { dispatch, end });
        }
        for row in 0..self.dispatches.len() {
            if self.dispatches[row].server == server && self.dispatches[row].start == start {
                self.finish_at_server(row, 3);
            }
        }
        self.change_list(server, "gone");
    }

    /// Starts a server that is down, under a new name if `as_new`.
    pub(super) fn restart_server(&mut self, server: usize, as_new: bool) {
        if self.nodes[server].up {
            return;
        }
        self.update_in_system(server);
        if as_new {
            let name = format!("{}-{}", self.nodes[server].name, self.nodes[server].start);
            self.nodes[server].name = name.clone();
            self.by_name.insert(name, server);
        }
        let now_ms = self.now_ms;
        let node = &mut self.nodes[server];
        node.up = true;
        node.start += 1;
        node.started_ms = Some(now_ms);
        node.model.restart(now_ms);
        self.record_start(server, true);
        self.change_list(server, "ready");
    }

    /// Schedules the stall timeout of all streams of a server that hangs.
    pub(super) fn schedule_stalls(&mut self, server: usize) {
        let at_ms = self.now_ms + self.day.router.engines.stall_ms;
        let streaming: Vec<_> = (0..self.dispatches.len())
            .filter(|row| {
                let d = &self.dispatches[*row];
                d.server == server && d.streaming && !d.ended
            })
            .collect();
        for dispatch in streaming {
            self.queue.push(at_ms, SimEvent::DispatchEnd { dispatch, end: SocketEnd::Stalled });
        }
    }
}
