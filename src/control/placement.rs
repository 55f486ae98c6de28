//! Where a prompt is read and where its answer is written.

use super::ranking::{RankKey, Ranked};
use super::roster::{Scope, Slot, WRITING};
use super::*;

/// Where a completion's session has its home.
#[derive(Clone)]
pub(super) struct Home {
    pub id: Option<WorkerId>,
    cell: Option<CellId>,
    cell_has_reader: bool,
}

/// Order of preference among readers: in the preferred cells or not, distance of its zone, whether it lacks
/// the session in its cache. The least is first.
type Choice<'a> = (bool, Option<&'a u8>, bool);

impl Control {
    /// The session's home: the first usable mixed worker in rendezvous order of the session. A session that
    /// the routers agreed to move has its home in the agreed zone while that zone has a usable one.
    pub(super) fn home(&self, c: &Completion) -> Home {
        let homes = self.usable(c, Scope::All, &[Role::Mixed]);
        let weighted = self.weighted(&homes);
        let outside_zone = |slot: &Slot| c.arrival.home_zone.is_some_and(|zone| zone != slot.zone);
        let last = self.last_prefix_home(c, &homes, weighted);
        let within = |slot: &Slot, (key, last): (u64, RankKey)| RankKey::of(slot, key, weighted) <= last;
        let shares_prefix = |slot: &Slot| last.is_some_and(|last| within(slot, last));
        let candidate = |slot| {
            ((outside_zone(slot), !shares_prefix(slot)), Ranked::of(slot, c.arrival.session.0, weighted))
        };
        let candidates = homes.iter().copied().map(candidate);
        let found = candidates.min_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.order(&b.1)));
        let cell = found.as_ref().map(|(_, one)| one.slot.cell);
        let reads = |cell| self.roster.each(Role::Reader, Scope::Cell(cell)).next().is_some();
        let id = found.map(|(_, one)| one.slot.id.clone());
        Home { id, cell, cell_has_reader: cell.is_some_and(reads) }
    }

    /// Sessions with a common prefix share homes: the first ones in rendezvous order of the prefix, as many
    /// as the prefix's share of the arrivals fills. Guards against prefixes that every home reads and none
    /// keeps cached. Cost: unevenly used homes. Returns the key of that order and the sort key of the last of
    /// these homes; `None` for a prompt without a shared prefix.
    fn last_prefix_home(&self, c: &Completion, homes: &[&Slot], weighted: bool) -> Option<(u64, RankKey)> {
        let prefix = c.arrival.prefix?;
        let seen = self.prefix_arrivals.at(&prefix, self.now_ms, ENTRY_LIFE_MS);
        // This arrival is excluded from both counts, so that a prefix seen once is not a large share of few.
        let others = (self.arrivals.at(self.now_ms, ENTRY_LIFE_MS) - 1.0).max(1.0);
        let part = ((seen - 1.0) / others).clamp(0.0, 1.0);
        let count = (part * homes.len() as f64).ceil().max(1.0) as usize;
        let last = count.min(homes.len()).checked_sub(1)?;
        let mut sort_keys: Vec<_> = homes.iter().map(|slot| RankKey::of(slot, prefix.0, weighted)).collect();
        Some((prefix.0, *sort_keys.select_nth_unstable(last).1))
    }

    /// Where to read: at home if most of the prompt is cached there or the rest is short; else at a reader of
    /// home's cell, or at any reader where that cell has none. An overloaded home counts as full, and a cell
    /// whose writers are all overloaded hands both reading and writing over to the next cell in order.
    pub(super) fn read_at(&self, c: &Completion, home: &Home) -> Option<(WorkerId, Stage)> {
        let available = |home: &&WorkerId| !c.excluded.contains(home) && !self.overloaded(c, home, false);
        let available_home = home.id.as_ref().filter(available).cloned();
        let uncached_tokens =
            c.arrival.prompt_tokens - home.id.as_ref().map_or(0.0, |home| self.expected_cached(c, home));
        // Short is what alone would not exceed home's limit: a fixed length would not fit all kinds of
        // workers.
        let home_limit = home.id.as_ref().map_or(0.0, |home| self.waiting_limit(&self.workers[home]));
        let short = uncached_tokens < (1.0 - HOME_CACHED_SHARE) * c.arrival.prompt_tokens
            || uncached_tokens < home_limit;
        if let Some(home) = available_home.clone().filter(|_| short) {
            return Some((home, Stage::Whole));
        }
        let readers = self.readers(c, home);
        // Prompts with little cached cost the readers most and are passed on or rejected first, so that they
        // do not evict shared prefixes. Cost: under overload a text that no reader has cached waits longest.
        let cached_share =
            |reader: &WorkerId| self.expected_cached(c, reader) / c.arrival.prompt_tokens.max(1.0);
        let limit_factor = |reader: &WorkerId| {
            c.limit_factor * (UNCACHED_LIMIT_FACTOR + CACHED_LIMIT_FACTOR * cached_share(reader))
        };
        let free =
            |reader: &&Ranked| !self.busy(c, &self.workers[&reader.slot.id], limit_factor(&reader.slot.id));
        let free: Vec<_> = readers.iter().filter(free).collect();
        // Readers of one cell have the same writer.
        let reader_with_writer = |allow_crowded: bool| {
            let mut known = BTreeMap::<CellId, bool>::new();
            let mut free = free.iter();
            free.find(|reader| {
                let cell = reader.slot.cell;
                *known
                    .entry(cell)
                    .or_insert_with(|| self.writer_for(c, home, Some(cell), allow_crowded).is_some())
            })
        };
        if let Some(reader) = reader_with_writer(false).or_else(|| reader_with_writer(true)) {
            return Some((reader.slot.id.clone(), Stage::Read));
        }
        // All readers exceed their limit: home reads, unless it is overloaded too.
        if available_home.is_some() || !readers.is_empty() {
            return available_home.map(|home| (home, Stage::Whole));
        }
        // Neither reader nor home: any worker that both reads and writes.
        let reads = |role| role == Role::Mixed || role == Role::Writer && self.settings.writers_read;
        let reading_writers: Vec<_> = WRITING.into_iter().filter(|role| reads(*role)).collect();
        let worker = self.least_loaded(c, Scope::All, &reading_writers);
        worker.filter(|worker| !self.overloaded(c, worker, true)).zip(Some(Stage::Whole))
    }

    /// Readers that may read a prompt, in order of preference: those of home's cell, and a few of other
    /// cells.
    fn readers(&self, c: &Completion, home: &Home) -> Vec<Ranked<'_>> {
        let key = c.arrival.prefix.map_or(c.arrival.session.0, |prefix| prefix.0);
        let mut all = self.ranked(c, key, Scope::All, &[Role::Reader]);
        all.retain(|reader| !c.excluded.contains(&reader.slot.id));
        // Guards against reading a session from its start each turn: a turn that home has not cached goes
        // first to the reader that read the previous one. Cost: busy sessions stay at the same reader.
        let with_cache = self.workers_with_cache(c);
        let home_zone = home.id.as_ref().map(|home| self.workers[home].listing.zone.0);
        let distance = |slot: &Slot| self.settings.zone_distances.get(home_zone?)?.get(slot.zone.0);
        let other_cells_first = self.prefers_other_cells(c, home);
        let choice = |slot: &Slot| {
            (
                other_cells_first == (Some(slot.cell) == home.cell),
                distance(slot),
                !with_cache.contains(&slot.id),
            )
        };
        // Guards against cache thrashing: under overload each text would overflow to all readers and evict
        // what they have cached. Cost: a completion can be rejected while a reader elsewhere is idle.
        let in_home_cell = all.iter().filter(|reader| Some(reader.slot.cell) == home.cell).count();
        let mut choices: Vec<_> = all.into_iter().map(|one| (choice(one.slot), one)).collect();
        let order = |a: &(Choice, Ranked), b: &(Choice, Ranked)| a.0.cmp(&b.0).then_with(|| a.1.order(&b.1));
        if choices.len() > in_home_cell + OVERFLOW_READERS {
            choices.select_nth_unstable_by(in_home_cell + OVERFLOW_READERS, order);
            choices.truncate(in_home_cell + OVERFLOW_READERS);
        }
        choices.sort_unstable_by(order);
        choices.into_iter().map(|(_, one)| one).collect()
    }

    /// Whether a session prefers readers outside home's cell. Guards against cells with few readers for many
    /// homes, whose overload a router with less than one recent dispatch does not see: the sessions beyond
    /// the readers' even share go elsewhere, by session hash. Cost: their history is cached there.
    fn prefers_other_cells(&self, c: &Completion, home: &Home) -> bool {
        let half_ms = self.settings.fall_ms;
        let mut sent = 0.0;
        let sends_enough = self.workers.values().any(|w| {
            sent += w.sent.at(self.now_ms, half_ms);
            sent >= 1.0
        });
        if sends_enough {
            return false;
        }
        let count = |role, cell: Option<CellId>| {
            let scope = cell.map_or(Scope::All, Scope::Cell);
            self.roster.each(role, scope).filter(|slot| slot.ready).count() as f64
        };
        let homes = count(Role::Mixed, home.cell) * count(Role::Reader, None);
        let even_share = count(Role::Reader, home.cell) * count(Role::Mixed, None) / homes.max(1.0);
        let session = !c.arrival.session.0;
        let uniform = |home: &WorkerId| self.workers[home].name_hash.rank(session) as f64 / u64::MAX as f64;
        home.id.as_ref().map_or(0.0, uniform) > even_share
    }

    /// Where to write: at home; if it rejected as full or has more of our streams than the median, at the
    /// pure writer of its cell with the fewest of our streams. A state that was read in another cell is
    /// written there.
    pub(super) fn write_at(&self, c: &Completion, home: &Home) -> Option<WorkerId> {
        let at = self.cell(c.state_at.as_ref()?);
        let nearby = |allow_crowded| self.writer_for(c, home, at, allow_crowded);
        let of_cell = |cell| self.least_loaded(c, Scope::Cell(cell), &WRITING);
        nearby(false)
            .or_else(|| nearby(true))
            .or_else(|| at.and_then(of_cell))
            .or_else(|| self.least_loaded(c, Scope::All, &WRITING))
    }

    /// The writer for a state in cell `at`: in home's cell if that has no reader, else in the state's cell,
    /// and last in home's cell.
    pub(super) fn writer_for(
        &self,
        c: &Completion,
        home: &Home,
        at: Option<CellId>,
        allow_crowded: bool,
    ) -> Option<WorkerId> {
        // Home's cell comes last too: guards against rejecting what it could write although it was read
        // elsewhere. Cost: states are transferred over longer distances.
        let cells = [home.cell.filter(|_| !home.cell_has_reader), at, home.cell];
        let usable = |home: &&WorkerId| !c.excluded.contains(home) && !self.overloaded(c, home, false);
        let home = home.id.as_ref().filter(usable);
        cells.into_iter().flatten().find_map(|cell| {
            let home = home.filter(|home| self.cell(home) == Some(cell));
            let first = home.filter(|home| self.workers[*home].streams <= self.median_streams());
            let available = |worker: &WorkerId| !self.overloaded(c, worker, allow_crowded);
            let of = |role| self.least_loaded(c, Scope::Cell(cell), &[role]).filter(available);
            first.cloned().or_else(|| of(Role::Writer)).or_else(|| home.cloned()).or_else(|| of(Role::Mixed))
        })
    }

    /// Of the workers that are not excluded, preferably one that is not overloaded, the one with the fewest
    /// of our streams.
    fn least_loaded(&self, c: &Completion, scope: Scope, roles: &[Role]) -> Option<WorkerId> {
        let mut found = self.ranked(c, c.arrival.session.0, scope, roles);
        found.retain(|one| !c.excluded.contains(&one.slot.id));
        let load =
            |one: &Ranked| (self.overloaded(c, &one.slot.id, true), self.workers[&one.slot.id].streams);
        let found = found.iter().map(|one| (load(one), one));
        let less = |a: &(bool, f64), b: &(bool, f64)| a.partial_cmp(b).unwrap_or(Ordering::Equal);
        let least_loaded = found.min_by(|a, b| less(&a.0, &b.0).then_with(|| a.1.order(b.1)));
        least_loaded.map(|(_, one)| one.slot.id.clone())
    }

    pub(super) fn cell(&self, id: &WorkerId) -> Option<CellId> {
        self.workers.get(id).map(|w| w.listing.cell)
    }
}
