//! Where a prompt is read and where its answer is written.

use super::ranking::{Place, Ranked};
use super::roster::{Scope, Slot, WRITING};
use super::*;

/// Where a completion's session has its home.
#[derive(Clone)]
pub(super) struct Home {
    pub id: Option<WorkerId>,
    cell: Option<CellId>,
    cell_has_reader: bool,
}

/// What puts a reader before others: whether it is where the prompt goes, how far it is, whether it keeps the
/// session.
type Choice<'a> = (bool, Option<&'a u8>, bool);

impl Control {
    /// Home: a mixed server by session hash; the next in hash order stands in for one that can't be used. The
    /// exception: a session that routers agreed to move has it in that zone while the zone has a usable one.
    pub(super) fn home(&self, c: &Completion) -> Home {
        let homes = self.usable(c, Scope::All, &[Role::Mixed]);
        let weighted = self.weighted(&homes);
        let off = |slot: &Slot| c.facts.home_zone.is_some_and(|near| near != slot.zone);
        let last = self.last_home_of_beginning(c, &homes, weighted);
        let within = |slot: &Slot, (key, last): (u64, Place)| Place::of(slot, key, weighted) <= last;
        let few = |slot: &Slot| last.is_some_and(|last| within(slot, last));
        let place = |slot| ((off(slot), !few(slot)), Ranked::of(slot, c.facts.session.0, weighted));
        let places = homes.iter().copied().map(place);
        let found = places.min_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.order(&b.1)));
        let cell = found.as_ref().map(|(_, one)| one.slot.cell);
        let reads = |cell| self.roster.each(Role::Reader, Scope::Cell(cell)).next().is_some();
        let id = found.map(|(_, one)| one.slot.id.clone());
        Home { id, cell, cell_has_reader: cell.is_some_and(reads) }
    }

    /// Sessions that begin alike share homes: the first by hash of the beginning, as many as its part of the
    /// arrivals fills. Guards against texts read anew everywhere, where none stays kept. Harm: uneven homes.
    /// The key of that order, and the place of the last of them in it; none where the prompt shares none.
    fn last_home_of_beginning(
        &self,
        c: &Completion,
        homes: &[&Slot],
        weighted: bool,
    ) -> Option<(u64, Place)> {
        let prefix = c.facts.prefix?;
        let seen = self.prefixes.at(&prefix, self.now_ms, ENTRY_LIFE_MS);
        // This arrival is left out of both, so that a text seen once is not held to be a large part of few.
        let others = (self.arrivals.at(self.now_ms, ENTRY_LIFE_MS) - 1.0).max(1.0);
        let part = ((seen - 1.0) / others).clamp(0.0, 1.0);
        let count = (part * homes.len() as f64).ceil().max(1.0) as usize;
        let last = count.min(homes.len()).checked_sub(1)?;
        let mut places: Vec<_> = homes.iter().map(|slot| Place::of(slot, prefix.0, weighted)).collect();
        Some((prefix.0, *places.select_nth_unstable(last).1))
    }

    /// Read at home what it keeps for the most part, or what is short; else at a reader of home's cell, and
    /// where that cell has none, at any. The exception: a home that is strained counts as full, and a cell in
    /// which nothing writes unstrained hands the whole path to the next cell by session hash.
    pub(super) fn read_at(&self, c: &Completion, home: &Home) -> Option<(WorkerId, Stage)> {
        let easy = |home: &&WorkerId| !c.avoid.contains(home) && !self.strained(c, home, false);
        let home_easy = home.id.as_ref().filter(easy).cloned();
        let uncovered = c.facts.prompt_tokens - home.id.as_ref().map_or(0.0, |home| self.believed(c, home));
        // What alone would not strain home is short there: figures of one kind of server do not fit another.
        let own_bound = home.id.as_ref().map_or(0.0, |home| self.bound(&self.workers[home]));
        let short = uncovered < (1.0 - COVERED) * c.facts.prompt_tokens || uncovered < own_bound;
        if let Some(home) = home_easy.clone().filter(|_| short) {
            return Some((home, Stage::Whole));
        }
        let readers = self.readers(c, home);
        // What finds little kept costs the readers most and is passed on or refused first, lest shared texts
        // are crowded out. Harm: under strain a text that no reader keeps waits longest.
        let share = |reader: &WorkerId| self.believed(c, reader) / c.facts.prompt_tokens.max(1.0);
        let ease = |reader: &WorkerId| c.merit * (EASE_COLD + EASE_KEPT * share(reader));
        let free = |reader: &&Ranked| !self.busy(c, &self.workers[&reader.slot.id], ease(&reader.slot.id));
        let free: Vec<_> = readers.iter().filter(free).collect();
        // Readers of one cell have the same writer.
        let writing = |fits: bool| {
            let mut known = BTreeMap::<CellId, bool>::new();
            let mut free = free.iter();
            free.find(|reader| {
                let cell = reader.slot.cell;
                *known.entry(cell).or_insert_with(|| self.writer_near(c, home, Some(cell), fits).is_some())
            })
        };
        if let Some(reader) = writing(false).or_else(|| writing(true)) {
            return Some((reader.slot.id.clone(), Stage::Read));
        }
        // Every reader exceeds the bound: home reads, unless that would only be late too.
        if home_easy.is_some() || !readers.is_empty() {
            return home_easy.map(|home| (home, Stage::Whole));
        }
        // No reader, no home: any worker that reads by itself.
        let reads = |role| role == Role::Mixed || role == Role::Writer && self.settings.writers_read;
        let alone: Vec<_> = WRITING.into_iter().filter(|role| reads(*role)).collect();
        let alone = self.fewest(c, Scope::All, &alone);
        alone.filter(|worker| !self.strained(c, worker, true)).zip(Some(Stage::Whole))
    }

    /// Readers that may have a prompt, the first choice first: those of home's cell, and few of others.
    fn readers(&self, c: &Completion, home: &Home) -> Vec<Ranked<'_>> {
        let key = c.facts.prefix.map_or(c.facts.session.0, |prefix| prefix.0);
        let mut all = self.ranked(c, key, Scope::All, &[Role::Reader]);
        all.retain(|reader| !c.avoid.contains(&reader.slot.id));
        // Guards against the relay loop: a turn that home has not kept goes first to the reader that read the
        // session's last one, so that it is not read from its beginning. Harm: hot sessions stay together.
        let own = self.keepers(c);
        let home_zone = home.id.as_ref().map(|home| self.workers[home].listing.zone.0);
        let far = |slot: &Slot| self.settings.zone_distances.get(home_zone?)?.get(slot.zone.0);
        let away = self.goes_away(c, home);
        let choice =
            |slot: &Slot| (away == (Some(slot.cell) == home.cell), far(slot), !own.contains(&slot.id));
        // Guards against thrashing: in a jam each text would spill everywhere, pushing out what readers keep.
        // Harm: a completion can be refused while a reader elsewhere is idle.
        let near = all.iter().filter(|reader| Some(reader.slot.cell) == home.cell).count();
        let mut choices: Vec<_> = all.into_iter().map(|one| (choice(one.slot), one)).collect();
        let order = |a: &(Choice, Ranked), b: &(Choice, Ranked)| a.0.cmp(&b.0).then_with(|| a.1.order(&b.1));
        if choices.len() > near + SPILL {
            choices.select_nth_unstable_by(near + SPILL, order);
            choices.truncate(near + SPILL);
        }
        choices.sort_unstable_by(order);
        choices.into_iter().map(|(_, one)| one).collect()
    }

    /// Guards against few readers beside many homes, unseen by who sent under one dispatch of late: what is
    /// beyond their even part goes elsewhere, by session. Harm: the history is kept there.
    fn goes_away(&self, c: &Completion, home: &Home) -> bool {
        let half_ms = self.settings.fall_ms;
        let mut sent = 0.0;
        let many = self.workers.values().any(|w| {
            sent += w.sent.at(self.now_ms, half_ms);
            sent >= 1.0
        });
        if many {
            return false;
        }
        let count = |role, cell: Option<CellId>| {
            let scope = cell.map_or(Scope::All, Scope::Cell);
            self.roster.each(role, scope).filter(|slot| slot.ready).count() as f64
        };
        let homes = count(Role::Mixed, home.cell) * count(Role::Reader, None);
        let part = count(Role::Reader, home.cell) * count(Role::Mixed, None) / homes.max(1.0);
        let session = !c.facts.session.0;
        let drawn = |home: &WorkerId| self.workers[home].name_hash.rank(session) as f64 / u64::MAX as f64;
        home.id.as_ref().map_or(0.0, drawn) > part
    }

    /// Write at home; if it answered full or holds more of our streams than the median, at the pure writer
    /// of its cell with fewest of our streams. A state read in another cell is written there.
    pub(super) fn write_at(&self, c: &Completion, home: &Home) -> Option<WorkerId> {
        let at = self.cell(c.state_at.as_ref()?);
        let near = |fits| self.writer_near(c, home, at, fits);
        let of_cell = |cell| self.fewest(c, Scope::Cell(cell), &WRITING);
        near(false)
            .or_else(|| near(true))
            .or_else(|| at.and_then(of_cell))
            .or_else(|| self.fewest(c, Scope::All, &WRITING))
    }

    /// The writer for a state in a cell: of home's cell if that has no reader, else of the state's cell.
    pub(super) fn writer_near(
        &self,
        c: &Completion,
        home: &Home,
        at: Option<CellId>,
        fits: bool,
    ) -> Option<WorkerId> {
        // Last: guards against refusing what home's cell could write, read elsewhere. Harm: far moves.
        let cells = [home.cell.filter(|_| !home.cell_has_reader), at, home.cell];
        let usable = |home: &&WorkerId| !c.avoid.contains(home) && !self.strained(c, home, false);
        let home = home.id.as_ref().filter(usable);
        cells.into_iter().flatten().find_map(|cell| {
            let home = home.filter(|home| self.cell(home) == Some(cell));
            let first = home.filter(|home| self.workers[*home].streams <= self.median_streams());
            let easy = |worker: &WorkerId| !self.strained(c, worker, fits);
            let of = |role| self.fewest(c, Scope::Cell(cell), &[role]).filter(easy);
            first.cloned().or_else(|| of(Role::Writer)).or_else(|| home.cloned()).or_else(|| of(Role::Mixed))
        })
    }

    /// Of those that are not to be avoided, one that is not strained and has fewest of our streams.
    fn fewest(&self, c: &Completion, scope: Scope, roles: &[Role]) -> Option<WorkerId> {
        let mut found = self.ranked(c, c.facts.session.0, scope, roles);
        found.retain(|one| !c.avoid.contains(&one.slot.id));
        let load = |one: &Ranked| (self.strained(c, &one.slot.id, true), self.workers[&one.slot.id].streams);
        let found = found.iter().map(|one| (load(one), one));
        let less = |a: &(bool, f64), b: &(bool, f64)| a.partial_cmp(b).unwrap_or(Ordering::Equal);
        let fewest = found.min_by(|a, b| less(&a.0, &b.0).then_with(|| a.1.order(b.1)));
        fewest.map(|(_, one)| one.slot.id.clone())
    }

    pub(super) fn cell(&self, id: &WorkerId) -> Option<CellId> {
        self.workers.get(id).map(|w| w.listing.cell)
    }
}
