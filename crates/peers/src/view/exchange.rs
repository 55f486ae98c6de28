//! Exchange of full views and allocations over TCP; joining and leaving.

use super::*;

impl Peers {
    pub(super) fn exchange(&mut self, to: SocketAddr) {
        if self.no_call_pending() {
            self.pending_call = Some((to, self.now_ms + self.rules.probe_ms * 10.0));
            let packets = self.full_view(true);
            self.call(to, packets);
        }
    }

    pub(super) fn no_call_pending(&self) -> bool {
        self.pending_call.is_none_or(|(_, until)| self.now_ms >= until)
    }

    pub(super) fn fetch_allocation(&mut self, to: SocketAddr) {
        if self.no_call_pending() {
            self.pending_call = Some((to, self.now_ms + self.rules.probe_ms * 10.0));
            let above = self.consensus.number();
            let packets = vec![self.encode_packet(vec![Message::FetchAllocation { above }])];
            self.call(to, packets);
        }
    }

    pub(super) fn call(&mut self, to: SocketAddr, packets: Vec<Vec<u8>>) {
        self.counts.calls += 1;
        self.counts.call_bytes += packets.iter().map(|packet| packet.len() as u64).sum::<u64>();
        self.actions.push(Action::Call { to, packets });
    }

    /// Everything that is known, split into packets.
    pub(super) fn full_view(&mut self, request_reply: bool) -> Vec<Vec<u8>> {
        let mut messages: Vec<Message> = Vec::new();
        messages.extend(request_reply.then_some(Message::Exchange));
        if self.joined || !request_reply {
            self.announced = true;
            messages.push(Message::Update(self.own_update(State::Alive, true)));
        }
        messages.extend(self.members.values().map(|m| Message::Update(m.update(self.rules.own, true))));
        messages.extend(self.members.values().filter_map(|m| m.row.clone()).map(Message::Row));
        messages
            .extend(self.consensus.allocation().cloned().map(|allocation| Message::Chosen { allocation }));
        let (mut packets, mut batch, mut room) =
            (Vec::new(), Vec::new(), MAX_EXCHANGE_PACKET_BYTES - PACKET_OVERHEAD_BYTES);
        for message in messages {
            let size = size(&message);
            if size > room && !batch.is_empty() {
                packets.push(self.encode_packet(std::mem::take(&mut batch)));
                room = MAX_EXCHANGE_PACKET_BYTES - PACKET_OVERHEAD_BYTES;
            }
            room = room.saturating_sub(size);
            batch.push(message);
        }
        packets.push(self.encode_packet(batch));
        packets
    }

    pub(super) fn handle_call(&mut self, packets: &[Vec<u8>]) {
        let mut reply = Vec::new();
        let mut view_requested = false;
        for bytes in packets.iter().take(MAX_EXCHANGE_PACKETS) {
            self.counts.received_bytes += bytes.len() as u64;
            let Some(packet) = self.read(bytes, MAX_EXCHANGE_PACKET_BYTES * 4) else { continue };
            for message in &packet.messages {
                match message {
                    Message::FetchAllocation { above } => {
                        let allocation = self
                            .consensus
                            .allocation()
                            .filter(|allocation| allocation.number > *above)
                            .cloned();
                        reply.extend(
                            allocation
                                .map(|allocation| self.encode_packet(vec![Message::Chosen { allocation }])),
                        );
                    }
                    Message::Propose { allocation } => {
                        let message = self.vote_on(allocation);
                        reply.push(self.encode_packet(vec![message]));
                    }
                    Message::Exchange => view_requested = true,
                    _ => {}
                }
            }
            self.apply_exchange_packet(packet);
        }
        if view_requested {
            reply.extend(self.full_view(false));
        }
        self.counts.call_bytes += reply.iter().map(|packet| packet.len() as u64).sum::<u64>();
        self.actions.push(Action::Reply { packets: reply });
    }

    pub(super) fn handle_call_answer(&mut self, packets: &[Vec<u8>]) {
        let mut received_view = false;
        for bytes in packets.iter().take(MAX_EXCHANGE_PACKETS) {
            self.counts.received_bytes += bytes.len() as u64;
            let Some(packet) = self.read(bytes, MAX_EXCHANGE_PACKET_BYTES * 4) else { continue };
            received_view |= packet.messages.iter().any(|message| matches!(message, Message::Update(_)));
            self.apply_exchange_packet(packet);
        }
        if received_view && !self.joined {
            self.join();
        }
    }

    pub(super) fn apply_exchange_packet(&mut self, packet: Packet) {
        if packet.from == self.rules.own {
            return;
        }
        for message in packet.messages.clone() {
            match message {
                Message::Update(update) => self.apply_update(&update),
                Message::Row(row) => self.apply_row(row),
                Message::Chosen { allocation } => self.adopt(allocation),
                Message::Vote { number, accepted, accepted_number } => {
                    self.handle_vote(packet.from, number, accepted, accepted_number)
                }
                _ => {}
            }
        }
        self.observe_sender(&packet);
    }

    pub(super) fn join(&mut self) {
        self.joined = true;
        self.next_seed_ms = self.now_ms + self.rules.probe_ms * CONTACT_SEED_EVERY_PROBES * self.rng.f64();
        let message = Message::Update(self.own_update(State::Alive, true));
        self.gossip.add(message.clone());
        // Several peers get it at once, so that it does not depend on a single one.
        let mut peers: Vec<_> =
            self.members.values().filter(|m| m.state.is_running()).map(|m| m.info.address).collect();
        self.rng.shuffle(&mut peers);
        for to in peers.into_iter().take(FANOUT) {
            let seq = self.next_sequence();
            self.send(to, vec![Message::Ping { seq, silent_to_sender: false }, message.clone()], false);
        }
    }

    pub(super) fn leave(&mut self) {
        self.leaving = true;
        let message = Message::Update(self.own_update(State::Left, true));
        let mut peers: Vec<_> =
            self.members.values().filter(|m| m.state.is_running()).map(|m| m.info.address).collect();
        self.rng.shuffle(&mut peers);
        for to in peers.into_iter().take(4 * FANOUT) {
            self.send(to, vec![message.clone()], false);
        }
    }

    pub(super) fn queue_row(&mut self, bytes: Vec<u8>) {
        self.row_version += 1;
        let (router, generation, version) = (self.rules.own, self.generation, self.row_version);
        self.gossip.add(Message::Row(Row { router, generation, version, bytes }));
    }
}
