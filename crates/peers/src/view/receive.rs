//! Incoming packets and their effect on the view.

use std::collections::BTreeSet;

use super::*;

impl Peers {
    pub(super) fn read(&mut self, bytes: &[u8], max_bytes: usize) -> Option<Packet> {
        match decode(self.deployment, bytes, max_bytes) {
            Ok(packet) => Some(packet),
            Err(error) => {
                *self.counts.rejected.entry(error).or_default() += 1;
                None
            }
        }
    }

    pub(super) fn handle_datagram(&mut self, from: SocketAddr, packet: Packet) {
        if packet.from == self.rules.own {
            self.resolve_duplicate_index(from, packet.generation);
            return;
        }
        let known = self.observe_sender(&packet);
        for message in packet.messages.clone() {
            self.handle_message(from, &packet, message, known);
        }
    }

    /// The header of a packet shows that its sender is alive. Returns whether the sender is a known member.
    pub(super) fn observe_sender(&mut self, packet: &Packet) -> bool {
        if packet.generation == Generation(0)
            || usize::from(packet.from.0) >= self.rules.router_count.max(1) * 4
        {
            return false;
        }
        self.consensus.observe_number(packet.allocation);
        let Some(member) = self.members.get(&packet.from) else { return false };
        if packet.generation < member.generation {
            return false;
        }
        if member.is_superseded_by(packet.generation, packet.incarnation, State::Alive)
            && packet.generation == member.generation
        {
            // Passed on like any new update: if each router learned of the refutation from the sender alone,
            // it would come too late for those that the suspicion reached first.
            self.apply_update(&StateUpdate {
                router: packet.from,
                generation: packet.generation,
                incarnation: packet.incarnation,
                state: State::Alive,
                reporter: packet.from,
                info: None,
            });
        }
        let now_ms = self.now_ms;
        let Some(member) = self.members.get_mut(&packet.from) else { return false };
        if packet.generation != member.generation {
            return false;
        }
        member.last_heard_ms = Some(now_ms);
        member.digest = packet.digest;
        member.allocation = packet.allocation;
        member.router_count = packet.router_count;
        true
    }

    /// Handles a packet from another process under this router's index: the higher generation stays, at equal
    /// generations the higher address.
    pub(super) fn resolve_duplicate_index(&mut self, from: SocketAddr, generation: Generation) {
        if from == self.info.address || generation == Generation(0) {
            return;
        }
        if (generation, from) > (self.generation, self.info.address) {
            self.displaced = true;
            self.actions.push(Action::Displaced { by: from });
        } else {
            let message = Message::Update(self.own_update(State::Alive, true));
            self.send(from, vec![message], false);
        }
    }

    pub(super) fn handle_message(
        &mut self,
        from: SocketAddr,
        packet: &Packet,
        message: Message,
        known: bool,
    ) {
        match message {
            Message::Ping { seq, silent_to_sender } => {
                if let Some(member) = self.members.get_mut(&packet.from) {
                    let until = if silent_to_sender {
                        self.now_ms + self.rules.probe_ms * CONTACT_SEED_EVERY_PROBES
                    } else {
                        f64::NEG_INFINITY
                    };
                    member.cannot_hear_us_until_ms = until;
                }
                let mut messages = vec![Message::Ack { seq }];
                messages.extend(self.correction(packet));
                self.send(from, messages, true);
                if !known && packet.generation != Generation(0) {
                    // An unknown member: an exchange of full views gives more than its name alone.
                    self.exchange(from);
                }
            }
            Message::Ack { seq } => {
                self.record_ack(packet.from, seq);
                let duplicate = self.duplicate.filter(|(at, _, _)| *at == from);
                if duplicate.is_none() && !known && (packet.generation != Generation(0) || !self.joined) {
                    self.exchange(from);
                }
            }
            Message::PingRequest { seq, target } => {
                let Some(address) = self.members.get(&target).map(|member| member.info.address) else {
                    return;
                };
                let relayed = RelayedProbe {
                    requester: packet.from,
                    requester_seq: seq,
                    target,
                    end_ms: self.now_ms + self.rules.probe_ms * (1.0 - INDIRECT_PROBE_FRACTION) / 2.0,
                };
                let own = self.next_sequence();
                if self.relayed_probes.len() < 64 {
                    self.relayed_probes.insert(own, relayed);
                    let silent_to_sender = self.not_hearing(target);
                    self.send(address, vec![Message::Ping { seq: own, silent_to_sender }], false);
                }
            }
            Message::PingResult { seq, target, answered } => {
                if let Some(probe) =
                    self.probe.as_mut().filter(|probe| probe.seq == seq && probe.target == target)
                {
                    probe.answered |= answered;
                    probe.failed_helpers += usize::from(!answered);
                }
            }
            Message::Join { seq } => {
                self.send(from, vec![Message::Ack { seq }], true);
            }
            Message::Update(update) => self.apply_update(&update),
            Message::Row(row) => self.apply_row(row),
            Message::Renew { number, fingerprint, request } => {
                let current = self
                    .members
                    .get(&packet.from)
                    .is_none_or(|member| member.generation <= packet.generation);
                let accepted_number = self.consensus.accepted_number();
                let confirmed =
                    current && self.consensus.confirms_allocation(self.now_ms, number, fingerprint);
                self.send(
                    from,
                    vec![Message::Renewed { number, request, accepted_number, confirmed }],
                    false,
                );
            }
            Message::Renewed { number, request, accepted_number, confirmed } => {
                self.consensus.observe_number(accepted_number);
                if confirmed {
                    self.consensus.record_renewal(packet.from, number, request);
                } else if accepted_number > self.consensus.number() {
                    self.fetch_allocation(from);
                }
            }
            Message::Propose { allocation } => {
                let message = self.vote_on(&allocation);
                self.send(from, vec![message], false);
            }
            Message::Vote { number, accepted, accepted_number } => {
                self.handle_vote(packet.from, number, accepted, accepted_number)
            }
            Message::FetchAllocation { above } => {
                if let Some(allocation) =
                    self.consensus.allocation().filter(|allocation| allocation.number > above).cloned()
                {
                    self.send_large(from, Message::Chosen { allocation });
                }
            }
            Message::Chosen { allocation } => self.adopt(allocation),
            // Full views are exchanged over TCP only.
            Message::Exchange => {}
        }
    }

    pub(super) fn record_ack(&mut self, from: RouterIndex, seq: u32) {
        self.missed_direct_probes.remove(&from);
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && probe.target == from) {
            probe.answered = true;
            probe.direct_ack = true;
        }
        if let Some(relayed) = self.relayed_probes.remove(&seq).filter(|relayed| relayed.target == from) {
            let message =
                Message::PingResult { seq: relayed.requester_seq, target: relayed.target, answered: true };
            if let Some(to) = self.members.get(&relayed.requester).map(|member| member.info.address) {
                self.send(to, vec![message], false);
            }
        }
    }

    /// What the sender of a packet should learn about itself: that it is suspected or considered failed.
    pub(super) fn correction(&self, packet: &Packet) -> Option<Message> {
        let member = self.members.get(&packet.from)?;
        let outdated = member.generation > packet.generation
            || member.generation == packet.generation
                && member.state != State::Alive
                && packet.incarnation <= member.incarnation;
        (outdated && packet.generation != Generation(0))
            .then(|| Message::Update(member.update(self.rules.own, true)))
    }

    pub(super) fn apply_update(&mut self, update: &StateUpdate) {
        if update.router == self.rules.own {
            self.handle_update_about_self(update);
            return;
        }
        if usize::from(update.router.0) >= self.rules.router_count.max(1) * 4 {
            return;
        }
        if self.merge_update(update) {
            let info = update.info.is_some();
            if let Some(member) = self.members.get(&update.router) {
                let message = Message::Update(member.update(update.reporter, info));
                self.gossip.add(message);
            }
        } else if update.state == State::Suspect {
            self.add_witness(update);
        }
    }

    /// Handles a report about this router. Only the router itself refutes it: by a higher incarnation, or by
    /// a higher generation if peers remember an earlier process.
    pub(super) fn handle_update_about_self(&mut self, update: &StateUpdate) {
        // Before any peer knows this generation, an equal one that peers remember belonged to an earlier
        // process. A router that left cannot come back in the same generation.
        let earlier_process = !self.joined && !self.announced || update.state == State::Left && !self.leaving;
        if update.generation > self.generation || earlier_process && update.generation == self.generation {
            let other_address =
                update.info.as_ref().map(|info| info.address).filter(|at| *at != self.info.address);
            match other_address.filter(|_| update.state.is_running() && self.joined) {
                // Another process may really run there: ping it, and let the higher generation stay.
                Some(address) => {
                    if self.duplicate.is_none() {
                        let until = self.now_ms + self.rules.probe_ms * 3.0;
                        self.duplicate = Some((address, update.generation, until));
                        let seq = self.next_sequence();
                        self.send(address, vec![Message::Ping { seq, silent_to_sender: false }], false);
                    }
                }
                None => self.raise_generation(update.generation),
            }
        } else if update.generation == self.generation && update.state != State::Alive && !self.leaving {
            if update.incarnation >= self.incarnation {
                self.incarnation = update.incarnation + 1;
                self.counts.refuted += 1;
                self.health = (self.health + 1).min(MAX_HEALTH_SCORE);
            }
            let message = Message::Update(self.own_update(State::Alive, update.state != State::Suspect));
            self.gossip.add(message);
        }
    }

    pub(super) fn raise_generation(&mut self, generation: Generation) {
        self.view_changed();
        self.generation = Generation(generation.0.saturating_add(1));
        self.incarnation = 0;
        self.row_version = 0;
        self.actions.push(Action::GenerationRaised { generation: self.generation });
        if self.joined {
            let message = Message::Update(self.own_update(State::Alive, true));
            self.gossip.add(message);
        }
    }

    /// Merges an update into the view. Returns whether it was new.
    pub(super) fn merge_update(&mut self, update: &StateUpdate) -> bool {
        let now_ms = self.now_ms;
        if let Some(member) = self.members.get_mut(&update.router) {
            if !member.is_superseded_by(update.generation, update.incarnation, update.state) {
                return false;
            }
            self.cached_digest.set(None);
            self.view_changed_ms = now_ms;
            let from = member.state;
            if update.generation > member.generation {
                // A new generation is unreachable without its address, which the next exchange brings.
                let Some(info) = update.info.clone() else { return false };
                let history = std::mem::take(&mut member.history);
                *member = Member { history, ..Member::new(now_ms, update, info) };
                self.missed_direct_probes.remove(&update.router);
            }
            let Some(member) = self.members.get_mut(&update.router) else { return false };
            member.incarnation = update.incarnation;
            member.state = update.state;
            member.suspicion = (update.state == State::Suspect)
                .then(|| Suspicion { since_ms: now_ms, reporters: BTreeSet::from([update.reporter]) });
            if from != update.state {
                member.since_ms = now_ms;
                member.record_change(now_ms, Some(from), update.reporter);
                self.counts.suspected += u64::from(update.state == State::Suspect);
                self.counts.failed += u64::from(update.state == State::Failed);
                let change = member.history.back().cloned();
                self.actions.extend(change.map(|change| Action::Changed { router: update.router, change }));
            }
            if update.state == State::Suspect {
                self.probe_suspect(update);
            }
            return true;
        }
        let Some(info) = update.info.clone() else { return false };
        let member = Member::new(now_ms, update, info);
        self.view_changed();
        let change = member.history.back().cloned();
        self.members.insert(update.router, member);
        self.actions.extend(change.map(|change| Action::Changed { router: update.router, change }));
        true
    }

    /// Another router observed the same failure first-hand: the suspicion expires sooner, and this is passed
    /// on.
    pub(super) fn add_witness(&mut self, update: &StateUpdate) {
        let Some(member) = self.members.get_mut(&update.router) else { return };
        let same_incarnation =
            member.generation == update.generation && member.incarnation == update.incarnation;
        let Some(suspicion) = member.suspicion.as_mut().filter(|_| same_incarnation) else { return };
        if (suspicion.reporters.len() as f64) <= MAX_WITNESSES && suspicion.reporters.insert(update.reporter)
        {
            self.gossip.add(Message::Update(update.clone()));
        }
    }

    /// When a router becomes suspect, some routers, selected by a hash that all can compute, probe it
    /// themselves: a failure is confirmed at once, and a running router learns of the suspicion.
    pub(super) fn probe_suspect(&mut self, update: &StateUpdate) {
        let mut bytes = [0; 8];
        bytes[..2].copy_from_slice(&self.rules.own.0.to_le_bytes());
        bytes[2..4].copy_from_slice(&update.router.0.to_le_bytes());
        bytes[4..].copy_from_slice(&update.incarnation.to_le_bytes());
        let draw = f64::from(crc32fast::hash(&bytes)) / f64::from(u32::MAX);
        let chosen =
            draw * self.running_routers() as f64 <= 2.0 * MAX_WITNESSES && update.reporter != self.rules.own;
        let already_probed = self.probe.as_ref().is_some_and(|probe| probe.target == update.router);
        if chosen && !already_probed {
            // Make it the next target, and soon.
            self.probe_order.push(update.router);
            self.next_probe_ms = self
                .next_probe_ms
                .min(self.now_ms + self.rules.probe_ms * INDIRECT_PROBE_FRACTION * self.rng.f64());
        }
    }

    pub(super) fn apply_row(&mut self, row: Row) {
        let Some(member) = self.members.get_mut(&row.router) else { return };
        let newer = |old: &Row| (row.generation, row.version) > (old.generation, old.version);
        if row.generation == member.generation && member.row.as_ref().is_none_or(newer) {
            self.gossip.add(Message::Row(row.clone()));
            member.row = Some(row);
        }
    }
}
