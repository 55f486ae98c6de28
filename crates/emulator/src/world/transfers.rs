//! What is called off or let go of, and states on the links.

use super::*;

impl World {
    pub(super) fn cancel(&mut self, dispatch: usize) {
        let server = self.dispatches[dispatch].server;
        self.dispatches[dispatch].unwanted = true;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return;
        }
        if self.dispatches[dispatch].ended {
            return;
        }
        self.mark(server);
        let stops = self.day.fleet.cancel_stops;
        let mut did = Vec::new();
        self.nodes[server].model.cancel(self.now_ms, dispatch as u64, stops, &mut did);
        self.leaves_server(dispatch, 3);
        self.after(server, did);
    }

    pub(super) fn release(&mut self, server: usize, start: u64, dispatch: usize) {
        self.dispatches[dispatch].unwanted = true;
        if self.nodes[server].start == start && !self.transfers.contains_key(&(dispatch as u64)) {
            self.let_go(server, dispatch, "released");
        }
    }

    pub(super) fn let_go(&mut self, server: usize, dispatch: usize, why: &str) {
        self.mark(server);
        let mut did = Vec::new();
        if self.nodes[server].model.release_state(self.now_ms, dispatch as u64, &mut did) {
            let (name, request) = (self.nodes[server].name.clone(), self.dispatches[dispatch].name.clone());
            self.record(What::StateGone { server: name, request, why: why.to_owned() });
        }
        self.after(server, did);
    }

    // Links.

    pub(super) fn fetch(&mut self, server: usize, dispatch: usize) {
        let from = self.dispatches[dispatch].state.unwrap_or(usize::MAX);
        let there = self.dispatches.get(from).and_then(|read| {
            let reader = &self.nodes[read.server];
            let same = reader.up && reader.start == read.start;
            reader
                .model
                .state_tokens(from as u64)
                .filter(|_| same && !self.transfers.contains_key(&(from as u64)))
        });
        match there {
            Some(tokens) => {
                let reader = self.dispatches[from].server;
                let near = self.nodes[reader].cell == self.nodes[server].cell;
                let link = self.nodes[reader].cell as usize * 2 + usize::from(!near);
                self.transfers.insert(from as u64, (dispatch, link));
                self.links[link].begin(self.now_ms, from as u64, tokens);
                self.await_link(link);
            }
            None => self.fetched(dispatch, false),
        }
    }

    pub(super) fn await_link(&mut self, link: usize) {
        if let Some(at_ms) = self.links[link].next_end_ms() {
            let version = self.links[link].version;
            self.queue.put(at_ms, Ev::LinkEnds { link, version });
        }
    }

    pub(super) fn slow_links(&mut self, cell: u32, factor: f64) {
        let cells = self.links.len() / 2 / self.options.fleets.max(1);
        for copy in 0..self.options.fleets.max(1) {
            for part in 0..2 {
                let link = (cell as usize + copy * cells) * 2 + part;
                if link < self.links.len() {
                    self.links[link].set_slowdown(self.now_ms, factor);
                    self.await_link(link);
                }
            }
        }
    }

    pub(super) fn link_ends(&mut self, link: usize, version: u64) {
        if self.links[link].version != version {
            return;
        }
        for from in self.links[link].take_finished(self.now_ms) {
            let Some((dispatch, _)) = self.transfers.remove(&from) else { continue };
            let reader = self.dispatches[from as usize].server;
            let there = self.nodes[reader].model.state_tokens(from).is_some();
            self.let_go(reader, from as usize, "taken");
            self.fetched(dispatch, there);
        }
        self.await_link(link);
    }

    pub(super) fn fetched(&mut self, dispatch: usize, there: bool) {
        let server = self.dispatches[dispatch].server;
        if !self.nodes[server].up || self.nodes[server].start != self.dispatches[dispatch].start {
            return;
        }
        self.mark(server);
        let mut did = Vec::new();
        self.nodes[server].model.fetched(self.now_ms, dispatch as u64, there, &mut did);
        self.after(server, did);
    }

    // Lives of servers, and the list.

    pub(super) fn node_started(&mut self, server: usize, cold: bool) {
        let node = &self.nodes[server];
        let (name, zone, cell) = (node.name.clone(), node.zone.clone(), node.cell);
        self.record(What::Started { server: name, zone, cell, cold });
    }
}
