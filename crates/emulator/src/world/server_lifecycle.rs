//! What can befall servers.

use super::*;

impl World {
    pub(super) fn named(&self, first_names: &[String]) -> Vec<usize> {
        let wanted: BTreeSet<&String> = first_names.iter().collect();
        // A trouble befalls the named servers of each copy of the fleet.
        let rows = self.nodes.iter().enumerate().filter(|(_, node)| wanted.contains(&node.first_name));
        rows.map(|(row, _)| row).collect()
    }

    pub(super) fn in_zone(&self, zone: &str) -> Vec<usize> {
        let rows = self.nodes.iter().enumerate().filter(|(_, node)| node.zone == zone);
        rows.map(|(row, _)| row).collect()
    }

    pub(super) fn befalls(&mut self, servers: &[usize], change: impl Fn(&mut ActiveFaults)) {
        servers.iter().for_each(|row| change(&mut self.nodes[*row].model.faults));
    }

    pub(super) fn list_says(&mut self, server: usize, readiness: &str) {
        self.list_change(server, readiness);
    }

    pub(super) fn kill(&mut self, server: usize, how: Dead) {
        if !self.nodes[server].up {
            return;
        }
        self.mark(server);
        self.nodes[server].up = false;
        self.nodes[server].mode = how;
        let start = self.nodes[server].start;
        let lost = self.nodes[server].model.restart(self.now_ms);
        self.nodes[server].start += 1;
        let name = self.nodes[server].name.clone();
        for state in lost {
            let request = self.dispatches[state as usize].name.clone();
            self.record(What::StateGone { server: name.clone(), request, why: "died".into() });
        }
        self.record(What::Died { server: name });
        // Its connections break; what was only on its way finds nobody there.
        let broken: Vec<_> = self
            .routers
            .iter()
            .flat_map(|router| router.out.values().copied())
            .filter(|row| self.dispatches[*row].server == server && self.dispatches[*row].start == start)
            .filter(|row| self.dispatches[*row].arrived_ms.is_some())
            .collect();
        for dispatch in broken {
            self.leaves_server(dispatch, 3);
            let end = if self.dispatches[dispatch].granted {
                SocketEnd::BrokeAfterFirst
            } else {
                SocketEnd::BrokeBeforeAnswer
            };
            self.queue.put(self.now_ms + self.options.net_ms, Ev::End { dispatch, end });
        }
        for row in 0..self.dispatches.len() {
            if self.dispatches[row].server == server && self.dispatches[row].start == start {
                self.leaves_server(row, 3);
            }
        }
        self.list_change(server, "gone");
    }

    pub(super) fn back(&mut self, server: usize, as_new: bool) {
        if self.nodes[server].up {
            return;
        }
        self.mark(server);
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
        self.node_started(server, true);
        self.list_change(server, "ready");
    }

    /// Streams of a server that hangs are given up after the longest silence allowed.
    pub(super) fn stalls(&mut self, server: usize) {
        let at_ms = self.now_ms + self.day.router.engines.stall_ms;
        let granted: Vec<_> = (0..self.dispatches.len())
            .filter(|row| {
                let d = &self.dispatches[*row];
                d.server == server && d.granted && !d.ended
            })
            .collect();
        for dispatch in granted {
            self.queue.put(at_ms, Ev::End { dispatch, end: SocketEnd::Stalled });
        }
    }
}
