//! Outgoing packets, and queries for operators.

use super::*;

impl Peers {
    pub(super) fn own_update(&self, state: State, with_info: bool) -> StateUpdate {
        StateUpdate {
            router: self.rules.own,
            generation: self.generation,
            incarnation: self.incarnation,
            state,
            reporter: self.rules.own,
            info: with_info.then(|| self.info.clone()),
        }
    }

    pub(super) fn encode_packet(&self, messages: Vec<Message>) -> Vec<u8> {
        let packet = Packet {
            from: self.rules.own,
            generation: if self.joined { self.generation } else { Generation(0) },
            incarnation: self.incarnation,
            router_count: self.rules.router_count as u16,
            digest: self.digest(),
            allocation: self.consensus.number(),
            messages,
        };
        encode(self.deployment, &packet)
    }

    /// Sends a datagram with these messages; `with_gossip` fills it up from the gossip queue.
    pub(super) fn send(&mut self, to: SocketAddr, mut messages: Vec<Message>, with_gossip: bool) {
        if with_gossip && self.joined {
            let used: usize = messages.iter().map(size).sum::<usize>() + PACKET_OVERHEAD_BYTES;
            let routers = self.running_routers();
            messages.extend(self.gossip.take(MAX_DATAGRAM_BYTES.saturating_sub(used), routers));
        }
        let bytes = self.encode_packet(messages);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.actions.push(Action::Send { to, bytes });
    }

    /// Sends by datagram if the message fits, over TCP otherwise.
    pub(super) fn send_large(&mut self, to: SocketAddr, message: Message) {
        if size(&message) + PACKET_OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES {
            self.send(to, vec![message], false);
        } else {
            let packets = vec![self.encode_packet(vec![message])];
            self.call(to, packets);
        }
    }

    // Queries.

    pub(super) fn view_changed(&mut self) {
        self.cached_digest.set(None);
        self.view_changed_ms = self.now_ms;
    }

    /// Hash of the view: equal views have equal digests, whatever the order of events.
    pub fn digest(&self) -> u32 {
        if let Some(known) = self.cached_digest.get() {
            return known;
        }
        let own = Member::new(0.0, &self.own_update(State::Alive, false), self.info.clone()).digest();
        let digest =
            self.members.values().filter(|m| m.state != State::Left).fold(own, |sum, m| sum ^ m.digest());
        self.cached_digest.set(Some(digest));
        digest
    }

    /// Status of this router within the cluster.
    pub fn cluster_report(&self) -> ClusterReport {
        let agreed = self
            .consensus
            .allocation()
            .map(|allocation| allocation.entries.iter().map(|entry| entry.router).collect::<Vec<_>>());
        let roster = agreed.unwrap_or_else(|| {
            (0..self.rules.router_count).map(|router| RouterIndex(router as u16)).collect()
        });
        let others = roster.iter().filter(|router| **router != self.rules.own);
        let heard = |router: &&RouterIndex| self.members.get(router).is_some_and(|m| m.state.is_running());
        let heard = 1 + others.clone().filter(heard).count();
        let roster = 1 + others.count();
        let (status, reason) = cluster_status(self.joined, self.displaced, self.leaving, heard, roster);
        let digest = self.digest();
        let peers: Vec<_> = self
            .members
            .values()
            .filter(|m| m.state.is_running() && m.last_heard_ms.is_some_and(|at| at >= self.view_changed_ms))
            .collect();
        let differing: Vec<_> = peers.iter().filter(|m| m.digest != digest).map(|m| m.router).collect();
        let running = || self.members.values().filter(|m| m.state.is_running());
        ClusterReport {
            status,
            reason,
            roster,
            heard,
            same_view: peers.len() - differing.len(),
            compared: peers.len(),
            differing: differing.into_iter().take(8).collect(),
            not_hearing: running().filter(|m| self.not_hearing(m.router)).map(|m| m.router).collect(),
            not_heard_by: running()
                .filter(|m| m.cannot_hear_us_until_ms > self.now_ms)
                .map(|m| m.router)
                .collect(),
        }
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    pub fn info(&self) -> &RouterInfo {
        &self.info
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    pub fn generation(&self) -> Generation {
        self.generation
    }

    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    pub fn health(&self) -> u32 {
        self.health
    }

    pub fn queued_gossip(&self) -> usize {
        self.gossip.len()
    }
}
