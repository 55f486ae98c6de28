//! The page: asked after, proposed, gone by; what may be used.

use super::*;

impl Peers {
    pub(super) fn renew(&mut self) {
        let ask = self.keeping.ask(self.now_ms);
        self.keeping.confirm_own(self.now_ms, ask);
        let Some(page) = self.keeping.page() else { return };
        let word = Word::Renew { number: page.number, mark: page.mark(), sent: ask };
        for place in self.keeping.asks_of() {
            let Some(to) = self.members.get(&place).filter(|m| m.state.here()).map(|m| m.about.address)
            else {
                continue;
            };
            self.send(to, vec![word.clone()], false);
        }
    }

    /// As keeper: what is said to a page that was put before it.
    pub(super) fn proposed(&mut self, page: &Page) -> Word {
        let yes = self.keeping.propose(self.now_ms, page);
        Word::Taken { number: page.number, yes, kept: self.keeping.kept_number() }
    }

    /// As proposer: what a keeper said.
    pub(super) fn taken(&mut self, from: Place, number: u64, yes: bool, kept: u64) {
        self.keeping.heard_of(kept);
        if let Some(page) = yes.then(|| self.keeping.vote(from, number)).flatten() {
            self.choose(page);
        }
    }

    pub(super) fn choose(&mut self, page: Page) {
        if self.keeping.chosen(self.now_ms, &page, self.life) {
            self.actions.push(Action::Paged { number: page.number });
            let word = Word::Chosen { page };
            if size(&word) < DATAGRAM / 2 {
                self.rumours.add(word);
            }
        }
    }

    /// What this router wants goes to all; the lowest that is here and hears enough puts another page to the keepers.
    pub(super) fn need(&mut self, needs: Needs) {
        if self.needs != needs || self.row_version == 0 {
            self.needs = needs;
            self.say_row();
        }
        self.think();
    }

    /// What else the own row and the next page carry.
    pub(super) fn carry(&mut self, row: Vec<u8>, page: Vec<u8>, after: u64) {
        if self.row_extra != row {
            self.row_extra = row;
            self.say_row();
        }
        self.page_extra = (after, page);
    }

    /// Needs first, then what is carried: who knows nothing of that reads the needs alone.
    fn say_row(&mut self) {
        let needs: Vec<f32> = self.needs.iter().map(|need| *need as f32).collect();
        let mut bytes = postcard::to_stdvec(&needs).unwrap_or_default();
        bytes.extend(&self.row_extra);
        self.row(bytes);
    }

    /// What the rows of those who are here carry beside their needs.
    pub fn carried(&self) -> impl Iterator<Item = (Place, &[u8])> {
        let here = self.members.values().filter(|m| m.state.here());
        here.filter_map(|m| {
            let (_, rest) = postcard::take_from_bytes::<Vec<f32>>(&m.row.as_ref()?.bytes).ok()?;
            Some((m.place, rest))
        })
    }

    pub(super) fn think(&mut self) {
        let now_ms = self.now_ms;
        let lowest = self.members.values().find(|m| m.state.here()).is_none_or(|m| m.place > self.rules.own);
        let every_ms = PAGES * self.rules.lease_ms * (1.0 + 0.2 * self.rng.f64());
        let due = now_ms >= self.proposed_ms + every_ms && !self.keeping.offering(now_ms);
        if !self.joined || self.leaving || !lowest || !due || self.stand().mind != Mind::Whole {
            return;
        }
        let mut roster: BTreeMap<Place, (Life, Needs)> = BTreeMap::new();
        roster.insert(self.rules.own, (self.life, self.needs.clone()));
        for member in self.members.values().filter(|m| m.state.here()) {
            let said = member.row.as_ref().and_then(|row| postcard::from_bytes::<Vec<f32>>(&row.bytes).ok());
            let needs = said.unwrap_or_default().into_iter().map(f64::from).filter(|need| need.is_finite());
            roster.insert(member.place, (member.life, needs.collect()));
        }
        let number = self.keeping.next_number();
        let (things, pieces) = (self.rules.things, self.rules.pieces);
        let mut page = split(number, &roster, self.keeping.page(), things, pieces);
        page.extra = match &self.page_extra {
            // Worked out from the page that stands; else what stands goes on.
            (after, extra) if *after == self.keeping.number() => extra.clone(),
            _ => self.keeping.page().map(|page| page.extra.clone()).unwrap_or_default(),
        };
        if self.keeping.page().is_some_and(|now| !differs(now, &page))
            && self.keeping.lease_until_ms() > now_ms
        {
            return;
        }
        self.proposed_ms = now_ms;
        self.keeping.offer(now_ms, page.clone());
        if let Some(page) = self.keeping.decided() {
            self.choose(page);
            return;
        }
        for place in keepers(self.rules.places).filter(|place| *place != self.rules.own).collect::<Vec<_>>() {
            if let Some(to) = member_address(&self.members, place) {
                self.send_large(to, Word::Propose { page: page.clone() });
            }
        }
    }

    /// What may be used now.
    pub fn granted(&self, now_ms: f64) -> Granted {
        let usable = if self.displaced { None } else { self.keeping.usable(now_ms, self.life) };
        let until_ms = if usable.is_some() { self.keeping.lease_until_ms() } else { f64::INFINITY };
        self.part(usable.as_deref(), until_ms)
    }

    /// What the page carries for others, while a lease on it holds.
    pub fn agreed(&self, now_ms: f64) -> Option<(u64, &[u8])> {
        let holds = !self.displaced && self.keeping.usable(now_ms, self.life).is_some();
        self.keeping.page().filter(|_| holds).map(|page| (page.number, page.extra.as_slice()))
    }

    /// What is left once no lease holds.
    pub fn floor(&self) -> Granted {
        self.part(None, f64::INFINITY)
    }

    pub(super) fn part(&self, usable: Option<&[u16]>, until_ms: f64) -> Granted {
        let (places, floor) = (self.rules.places.max(1), self.rules.floor);
        let share = |thing: usize| {
            let part = usable.and_then(|parts| parts.get(thing)).copied().unwrap_or(0);
            match thing {
                0 => f64::from(part) / self.rules.pieces.max(1) as f64,
                _ if self.displaced => 0.0,
                _ => floor / places as f64 + (1.0 - floor) * f64::from(part) / f64::from(WHOLE),
            }
        };
        // Those of the roster last agreed run as far as anyone knows, heard or not.
        let seated =
            self.keeping.page().and_then(|page| Some((page.seats.len(), page.rank(self.rules.own)?)));
        let (routers, rank) = seated.unwrap_or((places, usize::from(self.rules.own.0)));
        let shares = (0..self.rules.things).map(share).collect();
        Granted { routers, rank, shares, until_ms, page: self.keeping.number() }
    }
}
