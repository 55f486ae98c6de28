//! Cancellation, release of states, and transfers of states over the links.

use super::*;

impl World {
    pub(super) fn cancel_dispatch(&mut self, dispatch: usize) {
        let server = self.dispatches[dispatch].server;
        self.dispatches[dispatch].unneeded = true;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return;
        }
        if self.dispatches[dispatch].ended {
            return;
        }
        self.update_in_system(server);
        let stops = self.day.fleet.cancel_stops;
        let mut events = Vec::new();
        self.nodes[server].model.cancel(self.now_ms, dispatch as u64, stops, &mut events);
        self.finish_at_server(dispatch, 3);
        self.process_events(server, events);
    }

    /// Drops the state of a dispatch on request of its router, unless a transfer of it is in progress.
    pub(super) fn release_dispatch(&mut self, server: usize, start: u64, dispatch: usize) {
        self.dispatches[dispatch].unneeded = true;
        if self.nodes[server].start == start && !self.transfers.contains_key(&(dispatch as u64)) {
            self.drop_state(server, dispatch, "released");
        }
    }

    pub(super) fn drop_state(&mut self, server: usize, dispatch: usize, why: &str) {
        self.update_in_system(server);
        let mut events = Vec::new();
        if self.nodes[server].model.release_state(self.now_ms, dispatch as u64, &mut events) {
            let (name, request) = (self.nodes[server].name.clone(), self.dispatches[dispatch].name.clone());
            self.record(What::StateGone { server: name, request, why: why.to_owned() });
        }
        self.process_events(server, events);
    }

    /// Begins the transfer of a state from its reader, if the reader still holds it and no other writer
    /// fetches it.
    pub(super) fn begin_fetch(&mut self, server: usize, dispatch: usize) {
        let from = self.dispatches[dispatch].state.unwrap_or(usize::MAX);
        let available = self.dispatches.get(from).and_then(|read| {
            let reader = &self.nodes[read.server];
            let same_process = reader.up && reader.start == read.start;
            reader
                .model
                .state_tokens(from as u64)
                .filter(|_| same_process && !self.transfers.contains_key(&(from as u64)))
        });
        match available {
            Some(tokens) => {
                let reader = self.dispatches[from].server;
                let near = self.nodes[reader].cell == self.nodes[server].cell;
                let link = self.nodes[reader].cell as usize * 2 + usize::from(!near);
                self.transfers.insert(from as u64, (dispatch, link));
                self.links[link].begin(self.now_ms, from as u64, tokens);
                self.schedule_transfer_end(link);
            }
            None => self.end_fetch(dispatch, false),
        }
    }

    pub(super) fn schedule_transfer_end(&mut self, link: usize) {
        if let Some(at_ms) = self.links[link].next_end_ms() {
            let version = self.links[link].version;
            self.queue.push(at_ms, SimEvent::TransferEnd { link, version });
        }
    }

    /// Slows down both links of a cell, in each copy of the fleet.
    pub(super) fn set_link_slowdown(&mut self, cell: u32, factor: f64) {
        let cells = self.links.len() / 2 / self.options.fleets.max(1);
        for copy in 0..self.options.fleets.max(1) {
            for scope in 0..2 {
                let link = (cell as usize + copy * cells) * 2 + scope;
                if link < self.links.len() {
                    self.links[link].set_slowdown(self.now_ms, factor);
                    self.schedule_transfer_end(link);
                }
            }
        }
    }

    pub(super) fn transfers_ended(&mut self, link: usize, version: u64) {
        if self.links[link].version != version {
            return;
        }
        for from in self.links[link].take_finished(self.now_ms) {
            let Some((dispatch, _)) = self.transfers.remove(&from) else { continue };
            let reader = self.dispatches[from as usize].server;
            let available = self.nodes[reader].model.state_tokens(from).is_some();
            self.drop_state(reader, from as usize, "taken");
            self.end_fetch(dispatch, available);
        }
        self.schedule_transfer_end(link);
    }

    pub(super) fn end_fetch(&mut self, dispatch: usize, available: bool) {
        let server = self.dispatches[dispatch].server;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return;
        }
        self.update_in_system(server);
        let mut events = Vec::new();
        self.nodes[server].model.fetched(self.now_ms, dispatch as u64, available, &mut events);
        self.process_events(server, events);
    }

    pub(super) fn record_start(&mut self, server: usize, cold: bool) {
        let node = &self.nodes[server];
        let (name, zone, cell) = (node.name.clone(), node.zone.clone(), node.cell);
        self.record(What::Started { server: name, zone, cell, cold });
    }
}
