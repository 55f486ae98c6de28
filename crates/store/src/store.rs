//! The log: what is written goes to the last segment, what is live stands in the index, and a snapshot takes the place
//! of all segments once too much of them is dead.

use std::collections::BTreeMap;

use crate::format::{encode, Key, Kind, Op, SegmentHeader, RECORD_MAX_BYTES, VERSION};
use crate::medium::Medium;
use crate::recovery::{
    self, segment_name, Entry, Finding, Recovered, Segment, DAMAGED_SUFFIX, UNFINISHED_SUFFIX,
};
use crate::Error;

#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whose store it is; a store of another router is not opened.
    pub router: u32,
    /// Bytes after which a segment is followed by the next.
    pub segment_bytes: u64,
    /// A snapshot is due when the log is longer than this many times what is live.
    pub dead_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options { router: 0, segment_bytes: 8 << 20, dead_factor: 3.0 }
    }
}

/// What a person may want to know.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Stats {
    pub entries: usize,
    pub by_kind: BTreeMap<String, usize>,
    pub live_bytes: u64,
    pub log_bytes: u64,
    pub segments: usize,
    pub next_seq: u64,
    pub synced_seq: u64,
}

pub struct Store<M> {
    medium: M,
    options: Options,
    entries: BTreeMap<Key, Entry>,
    live_bytes: u64,
    log_bytes: u64,
    next_seq: u64,
    synced_seq: u64,
    /// Segments that hold the state, the one that is written last.
    segments: Vec<String>,
    next_segment: u64,
    segment_bytes: u64,
    poisoned: bool,
    /// Bytes of writes that failed in part must go before the next write.
    torn: bool,
    /// What was found when it was opened.
    pub findings: Vec<Finding>,
}

fn read_all<M: Medium>(medium: &mut M) -> Result<Vec<Segment>, Error> {
    let mut segments = Vec::new();
    for name in medium.names().map_err(|cause| Error::io("listing the store", cause))? {
        if name.ends_with(recovery::SEGMENT_SUFFIX) || name.ends_with(UNFINISHED_SUFFIX) {
            let bytes = medium.read(&name).map_err(|cause| Error::io(&format!("reading {name}"), cause))?;
            segments.push(Segment { name, bytes });
        }
    }
    Ok(segments)
}

/// Reads a store without changing anything.
///
/// # Errors
/// What the medium says.
pub fn inspect<M: Medium>(medium: &mut M) -> Result<Recovered, Error> {
    Ok(recovery::recover(read_all(medium)?))
}

impl<M: Medium> Store<M> {
    /// Opens a store, empty where there is none. What is torn is cut off; what is damaged is kept aside under another
    /// name, and the state is the one before it.
    ///
    /// # Errors
    /// What the medium says, or a store of another router.
    pub fn open(mut medium: M, options: Options) -> Result<Self, Error> {
        let found = recovery::recover(read_all(&mut medium)?);
        if let Some(router) = found.router.filter(|router| *router != options.router) {
            return Err(Error::OtherRouter { found: router, own: options.router });
        }
        let used: BTreeMap<&String, u64> = found.used.iter().map(|(name, good)| (name, *good)).collect();
        for finding in &found.findings {
            let failed = |cause| Error::io(&format!("mending {}", finding.segment), cause);
            match (used.get(&finding.segment), finding.torn) {
                (Some(good), true) => medium.truncate(&finding.segment, *good).map_err(failed)?,
                (Some(good), false) => {
                    // The whole is kept for people; the part that is good goes on.
                    let bytes = medium.read(&finding.segment).map_err(failed)?;
                    let aside = format!("{}{DAMAGED_SUFFIX}", finding.segment);
                    medium.create(&aside).and_then(|()| medium.append(&aside, &bytes)).map_err(failed)?;
                    medium.sync(&aside).map_err(failed)?;
                    medium.truncate(&finding.segment, *good).map_err(failed)?;
                }
                (None, _) => {
                    let aside = format!("{}{DAMAGED_SUFFIX}", finding.segment);
                    medium.rename(&finding.segment, &aside).map_err(failed)?;
                }
            }
        }
        let mut store = Store {
            medium,
            options,
            live_bytes: found.entries.values().map(|entry| entry.bytes).sum(),
            entries: found.entries,
            log_bytes: found.bytes,
            next_seq: found.next_seq,
            synced_seq: found.next_seq,
            segments: found.used.into_iter().map(|(name, _)| name).collect(),
            next_segment: found.next_segment,
            segment_bytes: 0,
            poisoned: false,
            torn: false,
            findings: found.findings,
        };
        for obsolete in found.obsolete {
            store
                .medium
                .remove(&obsolete)
                .map_err(|cause| Error::io(&format!("removing {obsolete}"), cause))?;
        }
        store.begin_segment()?;
        Ok(store)
    }

    /// The next segment, on the disk by name before anything in it can be acknowledged.
    fn begin_segment(&mut self) -> Result<(), Error> {
        let number = self.next_segment;
        let name = segment_name(number);
        let head =
            SegmentHeader { version: VERSION, snapshot: false, router: self.options.router, number }.encode();
        let medium = &mut self.medium;
        let made = medium
            .create(&name)
            .and_then(|()| medium.append(&name, &head))
            .and_then(|()| medium.sync(&name))
            .and_then(|()| medium.sync_dir());
        if let Err(cause) = made {
            self.poisoned = true;
            return Err(Error::io("beginning a segment", cause));
        }
        self.next_segment += 1;
        self.segment_bytes = head.len() as u64;
        self.log_bytes += head.len() as u64;
        self.segments.push(name);
        Ok(())
    }

    fn last(&self) -> String {
        self.segments.last().cloned().unwrap_or_default()
    }

    pub fn get(&self, key: &Key) -> Option<&[u8]> {
        self.entries.get(key).map(|entry| entry.value.as_slice())
    }

    /// All live entries of a kind, in the order of their keys.
    pub fn entries_of(&self, kind: Kind) -> impl Iterator<Item = (&[u8], &[u8])> {
        let all = self.entries.iter().filter(move |(key, _)| key.kind == kind);
        all.map(|(key, entry)| (&*key.bytes, entry.value.as_slice()))
    }

    /// All live entries.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &[u8])> {
        self.entries.iter().map(|(key, entry)| (key, entry.value.as_slice()))
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Writes changes; they count as acknowledged once [`Store::commit`] has returned.
    ///
    /// # Errors
    /// A record that is too long (nothing is written), a full disk (nothing of it stays; it may be tried again), or a
    /// store that acknowledges nothing more.
    pub fn write(&mut self, ops: &[Op]) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        if self.torn {
            // What a full disk left of the last try must not stand between this one and what is good.
            let name = self.last();
            self.medium
                .truncate(&name, self.segment_bytes)
                .map_err(|cause| Error::io("cutting off a torn write", cause))?;
            self.torn = false;
        }
        if self.segment_bytes > self.options.segment_bytes {
            self.commit()?;
            self.begin_segment()?;
        }
        let mut bytes = Vec::new();
        let mut sizes = Vec::with_capacity(ops.len());
        for (row, op) in ops.iter().enumerate() {
            let before = bytes.len();
            if !encode(self.next_seq + row as u64, op, &mut bytes) {
                let long = match op {
                    Op::Put { key, value } => key.bytes.len() + value.len(),
                    Op::Delete { key } => key.bytes.len(),
                    Op::SnapshotEnds => 0,
                };
                return Err(Error::TooLong { bytes: long, most: RECORD_MAX_BYTES });
            }
            sizes.push((bytes.len() - before) as u64);
        }
        let name = self.last();
        if let Err(cause) = self.medium.append(&name, &bytes) {
            self.torn = true;
            return Err(Error::io("writing", cause));
        }
        self.next_seq += ops.len() as u64;
        self.segment_bytes += bytes.len() as u64;
        self.log_bytes += bytes.len() as u64;
        for (op, bytes) in ops.iter().zip(sizes) {
            let old = match op {
                Op::Put { key, value } => {
                    self.live_bytes += bytes;
                    self.entries.insert(key.clone(), Entry { value: value.clone(), bytes })
                }
                Op::Delete { key } => self.entries.remove(key),
                Op::SnapshotEnds => None,
            };
            self.live_bytes -= old.map_or(0, |old| old.bytes);
        }
        Ok(())
    }

    /// All that was written is on the disk when this returns.
    ///
    /// # Errors
    /// A sync that failed; from then on nothing is acknowledged.
    pub fn commit(&mut self) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        if self.synced_seq == self.next_seq {
            return Ok(());
        }
        let name = self.last();
        if let Err(cause) = self.medium.sync(&name) {
            // What the system holds of it now is anybody's guess: trying again could call lost what is there, or
            // there what is lost.
            self.poisoned = true;
            return Err(Error::io("syncing", cause));
        }
        self.synced_seq = self.next_seq;
        Ok(())
    }

    /// Whether so much of the log is dead that a snapshot is worth its writes.
    pub fn should_compact(&self) -> bool {
        let live = self.live_bytes as f64 + self.options.segment_bytes as f64 / 4.0;
        self.log_bytes as f64 > self.options.dead_factor * live
    }

    /// Writes all that is live into a snapshot, which takes the place of what was before. A power cut at any point
    /// leaves either.
    ///
    /// # Errors
    /// What the medium says; the log before it stands then, unless a sync failed.
    pub fn compact(&mut self) -> Result<(), Error> {
        self.commit()?;
        let number = self.next_segment;
        let (name, unfinished) = (segment_name(number), format!("{number:016x}{UNFINISHED_SUFFIX}"));
        let head = SegmentHeader { version: VERSION, snapshot: true, router: self.options.router, number };
        let failed = |cause| Error::io("writing a snapshot", cause);
        self.medium.create(&unfinished).map_err(failed)?;
        self.medium.append(&unfinished, &head.encode()).map_err(failed)?;
        let mut total = head.encode().len() as u64;
        let mut bytes = Vec::new();
        for (seq, (key, entry)) in self.entries.iter().enumerate() {
            encode(seq as u64, &Op::Put { key: key.clone(), value: entry.value.clone() }, &mut bytes);
            if bytes.len() > 1 << 20 {
                self.medium.append(&unfinished, &bytes).map_err(failed)?;
                total += bytes.len() as u64;
                bytes.clear();
            }
        }
        encode(self.next_seq, &Op::SnapshotEnds, &mut bytes);
        self.medium.append(&unfinished, &bytes).map_err(failed)?;
        total += bytes.len() as u64;
        self.medium.sync(&unfinished).map_err(failed)?;
        self.medium.rename(&unfinished, &name).map_err(failed)?;
        self.medium.sync_dir().map_err(failed)?;
        // From here on the snapshot is the state; what is left of the log before it may go at leisure.
        self.next_segment += 1;
        let old = std::mem::replace(&mut self.segments, vec![name]);
        self.log_bytes = total;
        self.begin_segment()?;
        for segment in old {
            self.medium.remove(&segment).map_err(|cause| Error::io("removing an old segment", cause))?;
        }
        Ok(())
    }

    pub fn stats(&self) -> Stats {
        let mut by_kind = BTreeMap::new();
        for key in self.entries.keys() {
            *by_kind.entry(key.kind.name()).or_default() += 1;
        }
        Stats {
            entries: self.entries.len(),
            by_kind,
            live_bytes: self.live_bytes,
            log_bytes: self.log_bytes,
            segments: self.segments.len(),
            next_seq: self.next_seq,
            synced_seq: self.synced_seq,
        }
    }
}
