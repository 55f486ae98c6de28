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

use crate::page::Page;
use crate::words::{Life, Place};

/// Most keepers; all routers where there are fewer. Places, not members: settings name them alike everywhere.
pub const KEEPERS: usize = 9;
/// How much longer than a lease others wait before they use what it covered.
const APART: f64 = 1.25;
/// Asks for confirmation within one lease.
const RENEWS: f64 = 2.0;
/// Asks of which the time is remembered.
const ASKS: u32 = 8;

pub fn keepers(places: usize) -> impl Iterator<Item = Place> {
    (0..places.min(KEEPERS)).map(|place| Place(place as u16))
}

pub fn majority(places: usize) -> usize {
    places.min(KEEPERS) / 2 + 1
}

/// A page put before the keepers.
#[derive(Clone, Debug)]
struct Offer {
    page: Page,
    yes: Vec<Place>,
    since_ms: f64,
}

/// The part of one router in what is kept in common: as keeper, holder and proposer.
#[derive(Clone, Debug)]
pub struct Keeping {
    own: Place,
    places: usize,
    lease_ms: f64,
    /// As keeper: what it took last, and until when it says nothing.
    kept: Option<Page>,
    silent_until_ms: f64,
    /// As holder: the page it goes by, when it learned of it, and what it may use before that is ripe.
    page: Option<Page>,
    learned_ms: f64,
    carried: Vec<u16>,
    /// Until when the carried parts are covered by the leases of pages before this one.
    carried_until_ms: f64,
    /// When the newest confirmed ask of each keeper was sent.
    confirmed: BTreeMap<Place, f64>,
    asks: BTreeMap<u32, f64>,
    next_ask: u32,
    pub renew_ms: f64,
    offer: Option<Offer>,
    /// Highest number heard of.
    highest: u64,
    pub chosen_total: u64,
}

impl Keeping {
    pub fn new(now_ms: f64, own: Place, places: usize, lease_ms: f64) -> Self {
        Keeping {
            own,
            places,
            lease_ms,
            kept: None,
            silent_until_ms: now_ms + APART * lease_ms,
            page: None,
            learned_ms: f64::NEG_INFINITY,
            carried: Vec::new(),
            carried_until_ms: f64::NEG_INFINITY,
            confirmed: BTreeMap::new(),
            asks: BTreeMap::new(),
            next_ask: 0,
            renew_ms: now_ms,
            offer: None,
            highest: 0,
            chosen_total: 0,
        }
    }

    /// Other settings: what was promised under the old count of places lapses first.
    pub fn resettle(&mut self, now_ms: f64, places: usize) {
        let highest = self.highest;
        *self = Keeping::new(now_ms, self.own, places, self.lease_ms);
        self.highest = highest;
    }

    pub fn is_keeper(&self) -> bool {
        usize::from(self.own.0) < self.places.min(KEEPERS)
    }

    pub fn page(&self) -> Option<&Page> {
        self.page.as_ref()
    }

    pub fn number(&self) -> u64 {
        self.page.as_ref().map_or(0, |page| page.number)
    }

    pub fn heard_of(&mut self, number: u64) {
        // A number that no fleet could have come to says nothing but that its sender is not to be believed.
        if number < self.highest.saturating_add(1 << 32) {
            self.highest = self.highest.max(number);
        }
    }

    pub fn kept_number(&self) -> u64 {
        self.kept.as_ref().map_or(0, |page| page.number)
    }

    /// As keeper: takes a page or says which one it keeps.
    pub fn propose(&mut self, now_ms: f64, page: &Page) -> bool {
        self.heard_of(page.number);
        let good = self.is_keeper() && now_ms >= self.silent_until_ms && page.number > self.kept_number();
        if good {
            self.kept = Some(page.clone());
        }
        good
    }

    /// As keeper: whether a holder may go on with that page.
    pub fn confirms(&self, now_ms: f64, number: u64, mark: u32) -> bool {
        let same = |page: &Page| page.number == number && page.mark() == mark;
        self.is_keeper() && now_ms >= self.silent_until_ms && self.kept.as_ref().is_some_and(same)
    }

    /// As proposer: begins an offer; the own vote goes in at once.
    pub fn offer(&mut self, now_ms: f64, page: Page) {
        let own = self.propose(now_ms, &page);
        let yes = if own { vec![self.own] } else { Vec::new() };
        self.offer = Some(Offer { page, yes, since_ms: now_ms });
    }

    pub fn offering(&self, now_ms: f64) -> bool {
        self.offer.as_ref().is_some_and(|offer| now_ms < offer.since_ms + self.lease_ms / 2.0)
    }

    pub fn next_number(&self) -> u64 {
        self.highest.max(self.number()).max(self.kept_number()) + 1
    }

    /// As proposer: a keeper's yes. The page, once it is a majority's.
    pub fn vote(&mut self, from: Place, number: u64) -> Option<Page> {
        let offer = self.offer.as_mut().filter(|offer| offer.page.number == number)?;
        if usize::from(from.0) < self.places.min(KEEPERS) && !offer.yes.contains(&from) {
            offer.yes.push(from);
        }
        (offer.yes.len() >= majority(self.places))
            .then(|| self.offer.take().map(|offer| offer.page))
            .flatten()
    }

    /// Whether the own vote alone decides, as where one router is configured.
    pub fn decided(&mut self) -> Option<Page> {
        let offer = self.offer.as_ref()?;
        (offer.yes.len() >= majority(self.places))
            .then(|| self.offer.take().map(|offer| offer.page))
            .flatten()
    }

    /// A majority has taken this page. Whether it is news.
    pub fn chosen(&mut self, now_ms: f64, page: &Page, life: Life) -> bool {
        self.heard_of(page.number);
        if self.is_keeper() && page.number > self.kept_number() {
            self.kept = Some(page.clone());
        }
        let lapsed = now_ms >= self.lease_until_ms();
        let other = self.page.as_ref().is_some_and(|old| old.number == page.number && old != page && lapsed);
        if page.number <= self.number() && !other {
            return false;
        }
        let follows = !other && page.number == self.number() + 1;
        let may = self.usable(now_ms, life);
        let gives = parts_of(page, self.own, life);
        // Rule 2 of the head of this file.
        let carried = match may {
            Some(may) if follows => may.iter().zip(&gives).map(|(may, gives)| *may.min(gives)).collect(),
            _ => vec![0; gives.len()],
        };
        self.carried_until_ms = self.lease_until_ms();
        self.carried = carried;
        self.learned_ms = now_ms;
        self.page = Some(page.clone());
        self.confirmed.clear();
        self.asks.clear();
        self.renew_ms = now_ms;
        self.chosen_total += 1;
        true
    }

    /// As holder: it is time to ask the keepers; the number of the ask.
    pub fn ask(&mut self, now_ms: f64) -> u32 {
        self.next_ask = self.next_ask.wrapping_add(1);
        let ask = self.next_ask;
        self.asks.insert(ask, now_ms);
        self.asks.retain(|old, _| ask.wrapping_sub(*old) < ASKS);
        self.renew_ms = now_ms + self.lease_ms / RENEWS;
        ask
    }

    /// As holder: a keeper confirmed what was asked then.
    pub fn renewed(&mut self, from: Place, number: u64, ask: u32) {
        if number != self.number() || usize::from(from.0) >= self.places.min(KEEPERS) {
            return;
        }
        if let Some(sent_ms) = self.asks.get(&ask).copied() {
            let at = self.confirmed.entry(from).or_insert(sent_ms);
            *at = at.max(sent_ms);
        }
    }

    /// Whom to ask: a majority of those who confirmed the last time; all keepers where they were fewer.
    pub fn asks_of(&self) -> Vec<Place> {
        let all = || keepers(self.places).filter(|place| *place != self.own);
        let asked_ms = self.asks.get(&self.next_ask.wrapping_sub(1)).copied().unwrap_or(f64::INFINITY);
        let good: Vec<Place> =
            all().filter(|place| self.confirmed.get(place).is_some_and(|at| *at >= asked_ms)).collect();
        let wanted = majority(self.places) - usize::from(self.is_keeper());
        if good.len() < wanted {
            all().collect()
        } else {
            good.into_iter().take(wanted).collect()
        }
    }

    /// Confirms to itself, where it is a keeper.
    pub fn confirm_own(&mut self, now_ms: f64, ask: u32) {
        if let Some(page) = &self.page {
            let (number, mark) = (page.number, page.mark());
            if self.confirms(now_ms, number, mark) {
                self.renewed(self.own, number, ask);
            }
        }
    }

    /// Clock time until which a majority's word on the own page holds.
    fn confirmed_until_ms(&self) -> f64 {
        let mut sent: Vec<f64> = self.confirmed.values().copied().collect();
        sent.sort_by(|a, b| b.total_cmp(a));
        sent.get(majority(self.places) - 1).map_or(f64::NEG_INFINITY, |sent| sent + self.lease_ms)
    }

    /// Clock time until which anything beyond the floor may be used.
    pub fn lease_until_ms(&self) -> f64 {
        self.confirmed_until_ms().max(self.carried_until_ms)
    }

    fn ripe_ms(&self) -> f64 {
        self.learned_ms + APART * self.lease_ms
    }

    /// Parts of what is lent that may be used now; none where no lease holds.
    pub fn usable(&self, now_ms: f64, life: Life) -> Option<Vec<u16>> {
        let page = self.page.as_ref()?;
        if now_ms >= self.ripe_ms() {
            return (now_ms < self.confirmed_until_ms()).then(|| parts_of(page, self.own, life));
        }
        (now_ms < self.lease_until_ms()).then(|| self.carried.clone())
    }

    /// When what may be used changes by itself: a lease lapses or a page ripens.
    pub fn turns_ms(&self, now_ms: f64) -> Option<f64> {
        let times = [self.lease_until_ms(), self.confirmed_until_ms(), self.ripe_ms()];
        times.into_iter().filter(|at| at.is_finite() && *at > now_ms).min_by(f64::total_cmp)
    }

    pub fn silent_until_ms(&self) -> f64 {
        self.silent_until_ms
    }
}

/// Nothing for a router that the page seats under another life.
fn parts_of(page: &Page, own: Place, life: Life) -> Vec<u16> {
    let seat = page.seat(own).filter(|seat| seat.life == life);
    let things = page.seats.first().map_or(0, |seat| seat.parts.len());
    seat.map_or_else(|| vec![0; things], |seat| seat.parts.clone())
}
