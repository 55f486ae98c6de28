//! Allocations: renewal, votes and proposals; what may be used now.

use super::*;

impl Peers {
    pub(super) fn renew_lease(&mut self) {
        let request = self.consensus.begin_renewal(self.now_ms);
        self.consensus.confirm_own(self.now_ms, request);
        let Some(allocation) = self.consensus.allocation() else { return };
        let message =
            Message::Renew { number: allocation.number, fingerprint: allocation.fingerprint(), request };
        for router in self.consensus.renewal_targets() {
            let Some(to) = self.members.get(&router).filter(|m| m.state.is_running()).map(|m| m.info.address)
            else {
                continue;
            };
            self.send(to, vec![message.clone()], false);
        }
    }

    /// As voter: answers a proposal.
    pub(super) fn vote_on(&mut self, allocation: &Allocation) -> Message {
        let accepted = self.consensus.accept_proposal(self.now_ms, allocation);
        Message::Vote {
            number: allocation.number,
            accepted,
            accepted_number: self.consensus.accepted_number(),
        }
    }

    /// As proposer: handles a voter's answer.
    pub(super) fn handle_vote(
        &mut self,
        from: RouterIndex,
        number: u64,
        accepted: bool,
        accepted_number: u64,
    ) {
        self.consensus.observe_number(accepted_number);
        if let Some(allocation) = accepted.then(|| self.consensus.record_vote(from, number)).flatten() {
            self.adopt(allocation);
        }
    }

    pub(super) fn adopt(&mut self, allocation: Allocation) {
        if self.consensus.apply_chosen(self.now_ms, &allocation, self.generation) {
            self.actions.push(Action::AllocationAdopted { number: allocation.number });
            let message = Message::Chosen { allocation };
            if size(&message) < MAX_DATAGRAM_BYTES / 2 {
                self.gossip.add(message);
            }
        }
    }

    /// Publishes this router's needs; if it is the running router with the lowest index and hears a majority,
    /// it may propose another allocation.
    pub(super) fn update_needs(&mut self, needs: Needs) {
        if self.needs != needs || self.row_version == 0 {
            self.needs = needs;
            self.publish_row();
        }
        self.maybe_propose();
    }

    /// Sets the extra bytes of this router's row and of the next allocation.
    pub(super) fn set_extra(&mut self, row: Vec<u8>, allocation: Vec<u8>, after: u64) {
        if self.row_extra != row {
            self.row_extra = row;
            self.publish_row();
        }
        self.allocation_extra = (after, allocation);
    }

    /// Needs first, then the extra bytes: a version that does not know the extra bytes reads the needs alone.
    fn publish_row(&mut self) {
        let needs: Vec<f32> = self.needs.iter().map(|need| *need as f32).collect();
        let mut bytes = postcard::to_stdvec(&needs).unwrap_or_default();
        bytes.extend(&self.row_extra);
        self.queue_row(bytes);
    }

    /// Extra bytes in the rows of all running peers.
    pub fn peer_extras(&self) -> impl Iterator<Item = (RouterIndex, &[u8])> {
        let running = self.members.values().filter(|m| m.state.is_running());
        running.filter_map(|m| {
            let (_, rest) = postcard::take_from_bytes::<Vec<f32>>(&m.row.as_ref()?.bytes).ok()?;
            Some((m.router, rest))
        })
    }

    pub(super) fn maybe_propose(&mut self) {
        let now_ms = self.now_ms;
        let lowest =
            self.members.values().find(|m| m.state.is_running()).is_none_or(|m| m.router > self.rules.own);
        let every_ms = MIN_PROPOSAL_LEASES * self.rules.lease_ms * (1.0 + 0.2 * self.rng.f64());
        let due = now_ms >= self.last_proposal_ms + every_ms && !self.consensus.proposal_pending(now_ms);
        if !self.joined
            || self.leaving
            || !lowest
            || !due
            || self.cluster_report().status != ClusterStatus::Majority
        {
            return;
        }
        let mut roster: BTreeMap<RouterIndex, (Generation, Needs)> = BTreeMap::new();
        roster.insert(self.rules.own, (self.generation, self.needs.clone()));
        for member in self.members.values().filter(|m| m.state.is_running()) {
            let published =
                member.row.as_ref().and_then(|row| postcard::from_bytes::<Vec<f32>>(&row.bytes).ok());
            let needs =
                published.unwrap_or_default().into_iter().map(f64::from).filter(|need| need.is_finite());
            roster.insert(member.router, (member.generation, needs.collect()));
        }
        let number = self.consensus.next_number();
        let (resources, slow_start_permits) = (self.rules.resources, self.rules.slow_start_permits);
        let mut allocation =
            split(number, &roster, self.consensus.allocation(), resources, slow_start_permits);
        allocation.extra = match &self.allocation_extra {
            // Use the extra bytes if they were computed for the current allocation; otherwise keep its own.
            (after, extra) if *after == self.consensus.number() => extra.clone(),
            _ => self.consensus.allocation().map(|allocation| allocation.extra.clone()).unwrap_or_default(),
        };
        if self.consensus.allocation().is_some_and(|now| !is_worth_proposing(now, &allocation))
            && self.consensus.lease_until_ms() > now_ms
        {
            return;
        }
        self.last_proposal_ms = now_ms;
        self.consensus.begin_proposal(now_ms, allocation.clone());
        if let Some(allocation) = self.consensus.decided() {
            self.adopt(allocation);
            return;
        }
        for router in
            voters(self.rules.router_count).filter(|router| *router != self.rules.own).collect::<Vec<_>>()
        {
            if let Some(to) = member_address(&self.members, router) {
                self.send_large(to, Message::Propose { allocation: allocation.clone() });
            }
        }
    }

    /// What may be used now.
    pub fn granted(&self, now_ms: f64) -> Granted {
        let usable = if self.displaced { None } else { self.consensus.usable(now_ms, self.generation) };
        let until_ms = if usable.is_some() { self.consensus.lease_until_ms() } else { f64::INFINITY };
        self.granted_from(usable.as_deref(), until_ms)
    }

    /// Number and extra bytes of the allocation, while a lease on it is valid.
    pub fn agreed_extra(&self, now_ms: f64) -> Option<(u64, &[u8])> {
        let lease_valid = !self.displaced && self.consensus.usable(now_ms, self.generation).is_some();
        self.consensus
            .allocation()
            .filter(|_| lease_valid)
            .map(|allocation| (allocation.number, allocation.extra.as_slice()))
    }

    /// What may be used without a valid lease.
    pub fn floor(&self) -> Granted {
        self.granted_from(None, f64::INFINITY)
    }

    pub(super) fn granted_from(&self, usable: Option<&[u16]>, until_ms: f64) -> Granted {
        let (router_count, floor) = (self.rules.router_count.max(1), self.rules.floor);
        let share = |resource: usize| {
            let part = usable.and_then(|parts| parts.get(resource)).copied().unwrap_or(0);
            match resource {
                0 => f64::from(part) / self.rules.slow_start_permits.max(1) as f64,
                _ if self.displaced => 0.0,
                _ => floor / router_count as f64 + (1.0 - floor) * f64::from(part) / f64::from(TOTAL_PARTS),
            }
        };
        // Routers in the last allocation count as running until a new one is agreed, even if they are not
        // heard.
        let ranked = self
            .consensus
            .allocation()
            .and_then(|allocation| Some((allocation.entries.len(), allocation.rank(self.rules.own)?)));
        let (routers, rank) = ranked.unwrap_or((router_count, usize::from(self.rules.own.0)));
        let shares = (0..self.rules.resources).map(share).collect();
        Granted { routers, rank, shares, until_ms, allocation: self.consensus.number() }
    }
}
