//! Pages are kept by a few routers, and hold where a majority of those has taken them. A holder uses what a page gives
//! it as long as a majority of the keepers confirmed that page to it within the lease, counted on the holder's own
//! clock from when it asked.
//!
//! Why no two holders together use more than the whole, at any instant and under any cut, pause and restart:
//! 1. A keeper takes higher numbers only and confirms the page alone that it keeps. Two majorities share a keeper, so
//!    once a majority has taken page n, no lease of a lower one is renewed, and all have lapsed one lease later.
//! 2. A page is *ripe* at a holder once it knows it for longer than a lease: then nobody uses an older one. Only
//!    then does the holder use more than it did. Before, it uses the least of all pages since its last ripe one, and
//!    only if it held each of them in turn; else nothing beyond its floor.
//! 3. So everybody's use is at most its part of the newest page that is ripe at anyone, and a page adds up to the whole.
//! 4. A keeper that started anew, or whose settings count other places, has forgotten what it took. It takes and
//!    confirms nothing for longer than a lease, so whatever rested on its word has lapsed.
//! 5. Leases run on the holder's clock, which goes on while its process is stopped; who wakes finds its own lapsed.
//!    Clocks may run apart by a quarter of a lease in a lease.

use std::collections::BTreeMap;

use crate::allocation::Allocation;
use crate::wire::{Generation, RouterIndex};

/// Most keepers; all routers where there are fewer. Places, not members: settings name them alike everywhere.
pub const MAX_VOTERS: usize = 9;
/// How much longer than a lease others wait before they use what it covered.
const CLOCK_DRIFT_FACTOR: f64 = 1.25;
/// Asks for confirmation within one lease.
const RENEWALS_PER_LEASE: f64 = 2.0;
/// Asks of which the time is remembered.
const RENEWALS_KEPT: u32 = 8;

pub fn voters(router_count: usize) -> impl Iterator<Item = RouterIndex> {
    (0..router_count.min(MAX_VOTERS)).map(|router| RouterIndex(router as u16))
}

pub fn quorum(router_count: usize) -> usize {
    router_count.min(MAX_VOTERS) / 2 + 1
}

/// A page put before the keepers.
#[derive(Clone, Debug)]
struct Proposal {
    allocation: Allocation,
    votes: Vec<RouterIndex>,
    since_ms: f64,
}

/// The part of one router in what is kept in common: as keeper, holder and proposer.
#[derive(Clone, Debug)]
pub struct Consensus {
    own: RouterIndex,
    router_count: usize,
    lease_ms: f64,
    /// As keeper: what it took last, and until when it says nothing.
    accepted: Option<Allocation>,
    abstains_until_ms: f64,
    /// As holder: the page it goes by, when it learned of it, and what it may use before that is ripe.
    allocation: Option<Allocation>,
    adopted_ms: f64,
    restricted: Vec<u16>,
    /// Until when the carried parts are covered by the leases of pages before this one.
    restricted_until_ms: f64,
    /// When the newest confirmed ask of each keeper was sent.
    confirmed: BTreeMap<RouterIndex, f64>,
    renewals: BTreeMap<u32, f64>,
    next_renewal: u32,
    pub renew_ms: f64,
    proposal: Option<Proposal>,
    /// Highest number heard of.
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

    /// Other settings: what was promised under the old count of places lapses first.
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
        // A number that no fleet could have come to says nothing but that its sender is not to be believed.
        if number < self.highest.saturating_add(1 << 32) {
            self.highest = self.highest.max(number);
        }
    }

    pub fn accepted_number(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |allocation| allocation.number)
    }

    /// As keeper: takes a page or says which one it keeps.
    pub fn accept_proposal(&mut self, now_ms: f64, allocation: &Allocation) -> bool {
        self.observe_number(allocation.number);
        let good =
            self.is_voter() && now_ms >= self.abstains_until_ms && allocation.number > self.accepted_number();
        if good {
            self.accepted = Some(allocation.clone());
        }
        good
    }

    /// As keeper: whether a holder may go on with that page.
    pub fn confirms_allocation(&self, now_ms: f64, number: u64, fingerprint: u32) -> bool {
        let same =
            |allocation: &Allocation| allocation.number == number && allocation.fingerprint() == fingerprint;
        self.is_voter() && now_ms >= self.abstains_until_ms && self.accepted.as_ref().is_some_and(same)
    }

    /// As proposer: begins an offer; the own vote goes in at once.
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

    /// As proposer: a keeper's yes. The page, once it is a majority's.
    pub fn record_vote(&mut self, from: RouterIndex, number: u64) -> Option<Allocation> {
        let proposal = self.proposal.as_mut().filter(|proposal| proposal.allocation.number == number)?;
        if usize::from(from.0) < self.router_count.min(MAX_VOTERS) && !proposal.votes.contains(&from) {
            proposal.votes.push(from);
        }
        (proposal.votes.len() >= quorum(self.router_count))
            .then(|| self.proposal.take().map(|proposal| proposal.allocation))
            .flatten()
    }

    /// Whether the own vote alone decides, as where one router is configured.
    pub fn decided(&mut self) -> Option<Allocation> {
        let proposal = self.proposal.as_ref()?;
        (proposal.votes.len() >= quorum(self.router_count))
            .then(|| self.proposal.take().map(|proposal| proposal.allocation))
            .flatten()
    }

    /// A majority has taken this page. Whether it is news.
    pub fn apply_chosen(&mut self, now_ms: f64, allocation: &Allocation, generation: Generation) -> bool {
        self.observe_number(allocation.number);
        if self.is_voter() && allocation.number > self.accepted_number() {
            self.accepted = Some(allocation.clone());
        }
        let lapsed = now_ms >= self.lease_until_ms();
        let other = self
            .allocation
            .as_ref()
            .is_some_and(|old| old.number == allocation.number && old != allocation && lapsed);
        if allocation.number <= self.number() && !other {
            return false;
        }
        let follows = !other && allocation.number == self.number() + 1;
        let usable = self.usable(now_ms, generation);
        let granted = parts_of(allocation, self.own, generation);
        // Rule 2 of the head of this file.
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

    /// As holder: it is time to ask the keepers; the number of the ask.
    pub fn begin_renewal(&mut self, now_ms: f64) -> u32 {
        self.next_renewal = self.next_renewal.wrapping_add(1);
        let renewal = self.next_renewal;
        self.renewals.insert(renewal, now_ms);
        self.renewals.retain(|old, _| renewal.wrapping_sub(*old) < RENEWALS_KEPT);
        self.renew_ms = now_ms + self.lease_ms / RENEWALS_PER_LEASE;
        renewal
    }

    /// As holder: a keeper confirmed what was asked then.
    pub fn record_renewal(&mut self, from: RouterIndex, number: u64, renewal: u32) {
        if number != self.number() || usize::from(from.0) >= self.router_count.min(MAX_VOTERS) {
            return;
        }
        if let Some(sent_ms) = self.renewals.get(&renewal).copied() {
            let at = self.confirmed.entry(from).or_insert(sent_ms);
            *at = at.max(sent_ms);
        }
    }

    /// Whom to ask: a majority of those who confirmed the last time; all keepers where they were fewer.
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

    /// Confirms to itself, where it is a keeper.
    pub fn confirm_own(&mut self, now_ms: f64, renewal: u32) {
        if let Some(allocation) = &self.allocation {
            let (number, fingerprint) = (allocation.number, allocation.fingerprint());
            if self.confirms_allocation(now_ms, number, fingerprint) {
                self.record_renewal(self.own, number, renewal);
            }
        }
    }

    /// Clock time until which a majority's word on the own page holds.
    fn confirmed_until_ms(&self) -> f64 {
        let mut sent: Vec<f64> = self.confirmed.values().copied().collect();
        sent.sort_by(|a, b| b.total_cmp(a));
        sent.get(quorum(self.router_count) - 1).map_or(f64::NEG_INFINITY, |sent| sent + self.lease_ms)
    }

    /// Clock time until which anything beyond the floor may be used.
    pub fn lease_until_ms(&self) -> f64 {
        self.confirmed_until_ms().max(self.restricted_until_ms)
    }

    fn effective_ms(&self) -> f64 {
        self.adopted_ms + CLOCK_DRIFT_FACTOR * self.lease_ms
    }

    /// Parts of what is lent that may be used now; none where no lease holds.
    pub fn usable(&self, now_ms: f64, generation: Generation) -> Option<Vec<u16>> {
        let allocation = self.allocation.as_ref()?;
        if now_ms >= self.effective_ms() {
            return (now_ms < self.confirmed_until_ms()).then(|| parts_of(allocation, self.own, generation));
        }
        (now_ms < self.lease_until_ms()).then(|| self.restricted.clone())
    }

    /// When what may be used changes by itself: a lease lapses or a page ripens.
    pub fn next_change_ms(&self, now_ms: f64) -> Option<f64> {
        let times = [self.lease_until_ms(), self.confirmed_until_ms(), self.effective_ms()];
        times.into_iter().filter(|at| at.is_finite() && *at > now_ms).min_by(f64::total_cmp)
    }

    pub fn abstains_until_ms(&self) -> f64 {
        self.abstains_until_ms
    }
}

/// Nothing for a router that the page seats under another life.
fn parts_of(allocation: &Allocation, own: RouterIndex, generation: Generation) -> Vec<u16> {
    let entry = allocation.entry(own).filter(|entry| entry.generation == generation);
    let resources = allocation.entries.first().map_or(0, |entry| entry.parts.len());
    entry.map_or_else(|| vec![0; resources], |entry| entry.parts.clone())
}
