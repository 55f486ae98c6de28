//! Agreement on the allocation of shared resources. A few routers are voters; an allocation is chosen once a
//! quorum of them has accepted it. A holder uses its share of an allocation as long as a quorum of the voters
//! has confirmed that allocation to it within the lease, which counts on the holder's own clock from when the
//! confirmation was requested.
//!
//! Why all holders together never use more than the whole, under any partition, pause or restart:
//! 1. A voter accepts increasing numbers only, and confirms only the allocation that it has accepted. Two
//!    quorums share a voter, so once a quorum has accepted allocation n, no lease on a lower one is renewed,
//!    and all of them have expired one lease later.
//! 2. An allocation is *in effect* at a holder once the holder has known it for longer than a lease: by then
//!    nobody uses an older one. Only then may the holder use more than before. Until then it uses the least
//!    share of all allocations since the last one in effect, and only if it received each of them in turn;
//!    otherwise nothing beyond its floor.
//! 3. So each holder uses at most its share of the newest allocation that is in effect anywhere, and the
//!    shares of an allocation add up to the whole at most.
//! 4. A voter that restarted, or whose number of configured routers changed, has forgotten what it accepted.
//!    It accepts and confirms nothing for longer than a lease, so every lease that rested on its confirmation
//!    has expired.
//! 5. Leases run on the holder's clock, which goes on while its process is stopped; a holder that resumes
//!    finds its lease expired. Clocks may drift apart by a quarter of a lease within a lease.

use std::collections::BTreeMap;

use crate::allocation::Allocation;
use crate::wire::{Generation, RouterIndex};

/// Most voters; all routers where there are fewer. Voters are chosen among the configured routers rather than
/// the current members, since every router's settings name the same ones.
pub const MAX_VOTERS: usize = 9;
/// Factor on the lease, for clock drift: how long others wait before they use what a lease covered.
const CLOCK_DRIFT_FACTOR: f64 = 1.25;
/// Renewal requests within one lease.
const RENEWALS_PER_LEASE: f64 = 2.0;
/// Most renewal requests whose send time is remembered.
const MAX_REMEMBERED_RENEWALS: u32 = 8;

pub fn voters(router_count: usize) -> impl Iterator<Item = RouterIndex> {
    (0..router_count.min(MAX_VOTERS)).map(|router| RouterIndex(router as u16))
}

pub fn quorum(router_count: usize) -> usize {
    router_count.min(MAX_VOTERS) / 2 + 1
}

/// An allocation put before the voters.
#[derive(Clone, Debug)]
struct Proposal {
    allocation: Allocation,
    votes: Vec<RouterIndex>,
    since_ms: f64,
}

/// State of one router as voter, holder and proposer.
#[derive(Clone, Debug)]
pub struct Consensus {
    own: RouterIndex,
    router_count: usize,
    lease_ms: f64,
    /// As voter: the allocation accepted last, and until when this router abstains.
    accepted: Option<Allocation>,
    abstains_until_ms: f64,
    /// As holder: the current allocation, when it was adopted, and what may be used until it takes effect.
    allocation: Option<Allocation>,
    adopted_ms: f64,
    restricted: Vec<u16>,
    /// Until when the leases on earlier allocations cover `restricted`.
    restricted_until_ms: f64,
    /// For each voter, when the latest renewal request that it confirmed was sent.
    confirmed: BTreeMap<RouterIndex, f64>,
    renewals: BTreeMap<u32, f64>,
    next_renewal: u32,
    pub renew_ms: f64,
    proposal: Option<Proposal>,
    /// Highest allocation number seen.
    highest: u64,
    pub chosen_total: u64,
}

impl Consensus {
    pub fn new(now_ms: f64, own: RouterIndex, router_count: usize, lease_ms: f64) -> Self {
        Consensus {
            own,
            router_count,
            lease_ms,
            accepted: None,
            abstains_until_ms: now_ms + CLOCK_DRIFT_FACTOR * lease_ms,
            allocation: None,
            adopted_ms: f64::NEG_INFINITY,
            restricted: Vec::new(),
            restricted_until_ms: f64::NEG_INFINITY,
            confirmed: BTreeMap::new(),
            renewals: BTreeMap::new(),
            next_renewal: 0,
            renew_ms: now_ms,
            proposal: None,
            highest: 0,
            chosen_total: 0,
        }
    }

    /// Adopts a changed number of configured routers. As after a restart, this router abstains until the
    /// promises made under the old number have expired.
    pub fn reconfigure(&mut self, now_ms: f64, router_count: usize) {
        let highest = self.highest;
        *self = Consensus::new(now_ms, self.own, router_count, self.lease_ms);
        self.highest = highest;
    }

    pub fn is_voter(&self) -> bool {
        usize::from(self.own.0) < self.router_count.min(MAX_VOTERS)
    }

    pub fn allocation(&self) -> Option<&Allocation> {
        self.allocation.as_ref()
    }

    pub fn number(&self) -> u64 {
        self.allocation.as_ref().map_or(0, |allocation| allocation.number)
    }

    pub fn observe_number(&mut self, number: u64) {
        // A number this far ahead cannot come from a correct router; it is ignored.
        if number < self.highest.saturating_add(1 << 32) {
            self.highest = self.highest.max(number);
        }
    }

    pub fn accepted_number(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |allocation| allocation.number)
    }

    /// As voter: accepts an allocation if its number is above the accepted one.
    pub fn accept_proposal(&mut self, now_ms: f64, allocation: &Allocation) -> bool {
        self.observe_number(allocation.number);
        let accepts =
            self.is_voter() && now_ms >= self.abstains_until_ms && allocation.number > self.accepted_number();
        if accepts {
            self.accepted = Some(allocation.clone());
        }
        accepts
    }

    /// As voter: whether a holder may continue to use that allocation.
    pub fn confirms_allocation(&self, now_ms: f64, number: u64, fingerprint: u32) -> bool {
        let same =
            |allocation: &Allocation| allocation.number == number && allocation.fingerprint() == fingerprint;
        self.is_voter() && now_ms >= self.abstains_until_ms && self.accepted.as_ref().is_some_and(same)
    }

    /// As proposer: starts a proposal, with this router's own vote if it is a voter.
    pub fn begin_proposal(&mut self, now_ms: f64, allocation: Allocation) {
        let own = self.accept_proposal(now_ms, &allocation);
        let votes = if own { vec![self.own] } else { Vec::new() };
        self.proposal = Some(Proposal { allocation, votes, since_ms: now_ms });
    }

    pub fn proposal_pending(&self, now_ms: f64) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| now_ms < proposal.since_ms + self.lease_ms / 2.0)
    }

    pub fn next_number(&self) -> u64 {
        self.highest.max(self.number()).max(self.accepted_number()) + 1
    }

    /// As proposer: counts a voter's acceptance. Returns the allocation once a quorum has accepted it.
    pub fn record_vote(&mut self, from: RouterIndex, number: u64) -> Option<Allocation> {
        let proposal = self.proposal.as_mut().filter(|proposal| proposal.allocation.number == number)?;
        if usize::from(from.0) < self.router_count.min(MAX_VOTERS) && !proposal.votes.contains(&from) {
            proposal.votes.push(from);
        }
        (proposal.votes.len() >= quorum(self.router_count))
            .then(|| self.proposal.take().map(|proposal| proposal.allocation))
            .flatten()
    }

    /// Returns the proposed allocation if this router's own vote is a quorum, as with a single configured
    /// router.
    pub fn decided(&mut self) -> Option<Allocation> {
        let proposal = self.proposal.as_ref()?;
        (proposal.votes.len() >= quorum(self.router_count))
            .then(|| self.proposal.take().map(|proposal| proposal.allocation))
            .flatten()
    }

    /// Adopts an allocation that a quorum has accepted. Returns whether it was new.
    pub fn apply_chosen(&mut self, now_ms: f64, allocation: &Allocation, generation: Generation) -> bool {
        self.observe_number(allocation.number);
        if self.is_voter() && allocation.number > self.accepted_number() {
            self.accepted = Some(allocation.clone());
        }
        let expired = now_ms >= self.lease_until_ms();
        let replaces_same_number = self
            .allocation
            .as_ref()
            .is_some_and(|old| old.number == allocation.number && old != allocation && expired);
        if allocation.number <= self.number() && !replaces_same_number {
            return false;
        }
        let follows = !replaces_same_number && allocation.number == self.number() + 1;
        let usable = self.usable(now_ms, generation);
        let granted = parts_of(allocation, self.own, generation);
        // Rule 2 of the module documentation.
        let restricted = match usable {
            Some(usable) if follows => {
                usable.iter().zip(&granted).map(|(usable, granted)| *usable.min(granted)).collect()
            }
            _ => vec![0; granted.len()],
        };
        self.restricted_until_ms = self.lease_until_ms();
        self.restricted = restricted;
        self.adopted_ms = now_ms;
        self.allocation = Some(allocation.clone());
        self.confirmed.clear();
        self.renewals.clear();
        self.renew_ms = now_ms;
        self.chosen_total += 1;
        true
    }

    /// As holder: starts a renewal and returns its request number.
    pub fn begin_renewal(&mut self, now_ms: f64) -> u32 {
        self.next_renewal = self.next_renewal.wrapping_add(1);
        let renewal = self.next_renewal;
        self.renewals.insert(renewal, now_ms);
        self.renewals.retain(|old, _| renewal.wrapping_sub(*old) < MAX_REMEMBERED_RENEWALS);
        self.renew_ms = now_ms + self.lease_ms / RENEWALS_PER_LEASE;
        renewal
    }

    /// As holder: records a voter's confirmation of a renewal request.
    pub fn record_renewal(&mut self, from: RouterIndex, number: u64, renewal: u32) {
        if number != self.number() || usize::from(from.0) >= self.router_count.min(MAX_VOTERS) {
            return;
        }
        if let Some(sent_ms) = self.renewals.get(&renewal).copied() {
            let at = self.confirmed.entry(from).or_insert(sent_ms);
            *at = at.max(sent_ms);
        }
    }

    /// The voters to send a renewal request to: a quorum of those that confirmed the previous request; all
    /// voters if fewer did.
    pub fn renewal_targets(&self) -> Vec<RouterIndex> {
        let all = || voters(self.router_count).filter(|router| *router != self.own);
        let requested_ms =
            self.renewals.get(&self.next_renewal.wrapping_sub(1)).copied().unwrap_or(f64::INFINITY);
        let confirming: Vec<RouterIndex> =
            all().filter(|router| self.confirmed.get(router).is_some_and(|at| *at >= requested_ms)).collect();
        let wanted = quorum(self.router_count) - usize::from(self.is_voter());
        if confirming.len() < wanted {
            all().collect()
        } else {
            confirming.into_iter().take(wanted).collect()
        }
    }

    /// If this router is a voter, confirms its own renewal.
    pub fn confirm_own(&mut self, now_ms: f64, renewal: u32) {
        if let Some(allocation) = &self.allocation {
            let (number, fingerprint) = (allocation.number, allocation.fingerprint());
            if self.confirms_allocation(now_ms, number, fingerprint) {
                self.record_renewal(self.own, number, renewal);
            }
        }
    }

    /// Until when a quorum's confirmations of the current allocation are valid, on the own clock.
    fn confirmed_until_ms(&self) -> f64 {
        let mut sent: Vec<f64> = self.confirmed.values().copied().collect();
        sent.sort_by(|a, b| b.total_cmp(a));
        sent.get(quorum(self.router_count) - 1).map_or(f64::NEG_INFINITY, |sent| sent + self.lease_ms)
    }

    /// Until when anything beyond the floor may be used, on the own clock.
    pub fn lease_until_ms(&self) -> f64 {
        self.confirmed_until_ms().max(self.restricted_until_ms)
    }

    fn effective_ms(&self) -> f64 {
        self.adopted_ms + CLOCK_DRIFT_FACTOR * self.lease_ms
    }

    /// The allocated parts that may be used now; none without a valid lease.
    pub fn usable(&self, now_ms: f64, generation: Generation) -> Option<Vec<u16>> {
        let allocation = self.allocation.as_ref()?;
        if now_ms >= self.effective_ms() {
            return (now_ms < self.confirmed_until_ms()).then(|| parts_of(allocation, self.own, generation));
        }
        (now_ms < self.lease_until_ms()).then(|| self.restricted.clone())
    }

    /// When the usable parts next change without an event: a lease expires or an allocation takes effect.
    pub fn next_change_ms(&self, now_ms: f64) -> Option<f64> {
        let times = [self.lease_until_ms(), self.confirmed_until_ms(), self.effective_ms()];
        times.into_iter().filter(|at| at.is_finite() && *at > now_ms).min_by(f64::total_cmp)
    }

    pub fn abstains_until_ms(&self) -> f64 {
        self.abstains_until_ms
    }
}

/// All zero for a router that the allocation lists with another generation or not at all.
fn parts_of(allocation: &Allocation, own: RouterIndex, generation: Generation) -> Vec<u16> {
    let entry = allocation.entry(own).filter(|entry| entry.generation == generation);
    let resources = allocation.entries.first().map_or(0, |entry| entry.parts.len());
    entry.map_or_else(|| vec![0; resources], |entry| entry.parts.clone())
}
