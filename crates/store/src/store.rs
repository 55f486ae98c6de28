//! The log of a store: writes go to the last segment, live entries are indexed in memory, and a snapshot
//! replaces all segments once too much of them is obsolete.

use std::collections::BTreeMap;

use crate::format::{encode, Key, Kind, Op, SegmentHeader, RECORD_MAX_BYTES, VERSION};
use crate::medium::Medium;
use crate::recovery::{
    self, segment_name, Entry, Finding, Recovered, Segment, DAMAGED_SUFFIX, UNFINISHED_SUFFIX,
};
use crate::Error;

#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of the router that owns the store; a store of another router is not opened.
    pub router: u32,
    /// Size after which the next segment is started.
    pub segment_bytes: u64,
    /// A snapshot is due when the log is larger than this multiple of the live bytes.
    pub dead_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options { router: 0, segment_bytes: 8 << 20, dead_factor: 3.0 }
    }
}

/// Statistics of a store.
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
    /// Segments that hold the state; the last one is written to.
    segments: Vec<String>,
    next_segment: u64,
    segment_bytes: u64,
    poisoned: bool,
    /// A failed write may have left partial bytes, which are cut off before the next write.
    torn: bool,
    /// Damage found when the store was opened.
    pub findings: Vec<Finding>,
}

fn read_segments<M: Medium>(medium: &mut M) -> Result<Vec<Segment>, Error> {
    let mut segments = Vec::new();
    for name in medium.names().map_err(|cause| Error::io("listing the store", cause))? {
        if name.ends_with(recovery::SEGMENT_SUFFIX) || name.ends_with(UNFINISHED_SUFFIX) {
            let bytes = medium.read(&name).map_err(|cause| Error::io(&format!("reading {name}"), cause))?;
            segments.push(Segment { name, bytes });
        }
    }
    Ok(segments)
}

/// Reads a store without changing it.
///
/// # Errors
/// Errors of the medium.
pub fn inspect<M: Medium>(medium: &mut M) -> Result<Recovered, Error> {
    Ok(recovery::recover(read_segments(medium)?))
}

impl<M: Medium> Store<M> {
    /// Opens a store, and creates it if there is none. Torn writes are cut off. Damaged segments are kept
    /// under another name, and the state is the one before the damage.
    ///
    /// # Errors
    /// Errors of the medium, or a store that belongs to another router.
    pub fn open(mut medium: M, options: Options) -> Result<Self, Error> {
        let found = recovery::recover(read_segments(&mut medium)?);
        if let Some(router) = found.router.filter(|router| *router != options.router) {
            return Err(Error::OtherRouter { found: router, own: options.router });
        }
        let used: BTreeMap<&String, u64> =
            found.used.iter().map(|(name, valid_bytes)| (name, *valid_bytes)).collect();
        for finding in &found.findings {
            let io_error = |cause| Error::io(&format!("repairing {}", finding.segment), cause);
            match (used.get(&finding.segment), finding.torn) {
                (Some(valid_bytes), true) => {
                    medium.truncate(&finding.segment, *valid_bytes).map_err(io_error)?
                }
                (Some(valid_bytes), false) => {
                    // The original is kept for analysis; the valid part stays in use.
                    let bytes = medium.read(&finding.segment).map_err(io_error)?;
                    let copy = format!("{}{DAMAGED_SUFFIX}", finding.segment);
                    medium.create(&copy).and_then(|()| medium.append(&copy, &bytes)).map_err(io_error)?;
                    medium.sync(&copy).map_err(io_error)?;
                    medium.truncate(&finding.segment, *valid_bytes).map_err(io_error)?;
                }
                (None, _) => {
                    let copy = format!("{}{DAMAGED_SUFFIX}", finding.segment);
                    medium.rename(&finding.segment, &copy).map_err(io_error)?;
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
        store.start_segment()?;
        Ok(store)
    }

    /// Starts the next segment. Its name is durable before anything in it can be acknowledged.
    fn start_segment(&mut self) -> Result<(), Error> {
        let number = self.next_segment;
        let name = segment_name(number);
        let header =
            SegmentHeader { version: VERSION, snapshot: false, router: self.options.router, number }.encode();
        let medium = &mut self.medium;
        let started = medium
            .create(&name)
            .and_then(|()| medium.append(&name, &header))
            .and_then(|()| medium.sync(&name))
            .and_then(|()| medium.sync_dir());
        if let Err(cause) = started {
            self.poisoned = true;
            return Err(Error::io("starting a segment", cause));
        }
        self.next_segment += 1;
        self.segment_bytes = header.len() as u64;
        self.log_bytes += header.len() as u64;
        self.segments.push(name);
        Ok(())
    }

    fn current_segment(&self) -> String {
        self.segments.last().cloned().unwrap_or_default()
    }

    pub fn get(&self, key: &Key) -> Option<&[u8]> {
        self.entries.get(key).map(|entry| entry.value.as_slice())
    }

    /// All live entries of a kind in key order.
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

    /// Writes operations. They are acknowledged once [`Store::commit`] has returned.
    ///
    /// # Errors
    /// A record that is too long (nothing is written), a full disk (nothing is kept, and the write may be
    /// retried), or a store that failed to sync earlier.
    pub fn write(&mut self, ops: &[Op]) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        if self.torn {
            // Cuts off the partial bytes of a write that failed on a full disk.
            let name = self.current_segment();
            self.medium
                .truncate(&name, self.segment_bytes)
                .map_err(|cause| Error::io("cutting off a torn write", cause))?;
            self.torn = false;
        }
        if self.segment_bytes > self.options.segment_bytes {
            self.commit()?;
            self.start_segment()?;
        }
        let mut bytes = Vec::new();
        let mut record_bytes = Vec::with_capacity(ops.len());
        for (row, op) in ops.iter().enumerate() {
            let before = bytes.len();
            if !encode(self.next_seq + row as u64, op, &mut bytes) {
                let long = match op {
                    Op::Put { key, value } => key.bytes.len() + value.len(),
                    Op::Delete { key } => key.bytes.len(),
                    Op::SnapshotEnds => 0,
                };
                return Err(Error::TooLong { bytes: long, max_bytes: RECORD_MAX_BYTES });
            }
            record_bytes.push((bytes.len() - before) as u64);
        }
        let name = self.current_segment();
        if let Err(cause) = self.medium.append(&name, &bytes) {
            self.torn = true;
            return Err(Error::io("writing", cause));
        }
        self.next_seq += ops.len() as u64;
        self.segment_bytes += bytes.len() as u64;
        self.log_bytes += bytes.len() as u64;
        for (op, bytes) in ops.iter().zip(record_bytes) {
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

    /// Makes everything written so far durable.
    ///
    /// # Errors
    /// A failed sync; from then on nothing is acknowledged.
    pub fn commit(&mut self) -> Result<(), Error> {
        if self.poisoned {
            return Err(Error::Poisoned);
        }
        if self.synced_seq == self.next_seq {
            return Ok(());
        }
        let name = self.current_segment();
        if let Err(cause) = self.medium.sync(&name) {
            // After a failed sync it is unknown what reached the disk. A retry could report lost data as
            // durable or durable data as lost.
            self.poisoned = true;
            return Err(Error::io("syncing", cause));
        }
        self.synced_seq = self.next_seq;
        Ok(())
    }

    /// Whether enough of the log is obsolete that a snapshot is worth its writes.
    pub fn should_compact(&self) -> bool {
        let live = self.live_bytes as f64 + self.options.segment_bytes as f64 / 4.0;
        self.log_bytes as f64 > self.options.dead_factor * live
    }

    /// Writes all live entries into a snapshot, which replaces the log before it. A power loss at any point
    /// leaves one of the two.
    ///
    /// # Errors
    /// Errors of the medium. The log before it then stays in use, unless a sync failed.
    pub fn compact(&mut self) -> Result<(), Error> {
        self.commit()?;
        let number = self.next_segment;
        let (name, unfinished) = (segment_name(number), format!("{number:016x}{UNFINISHED_SUFFIX}"));
        let header = SegmentHeader { version: VERSION, snapshot: true, router: self.options.router, number };
        let io_error = |cause| Error::io("writing a snapshot", cause);
        self.medium.create(&unfinished).map_err(io_error)?;
        self.medium.append(&unfinished, &header.encode()).map_err(io_error)?;
        let mut total = header.encode().len() as u64;
        let mut bytes = Vec::new();
        for (seq, (key, entry)) in self.entries.iter().enumerate() {
            encode(seq as u64, &Op::Put { key: key.clone(), value: entry.value.clone() }, &mut bytes);
            if bytes.len() > 1 << 20 {
                self.medium.append(&unfinished, &bytes).map_err(io_error)?;
                total += bytes.len() as u64;
                bytes.clear();
            }
        }
        encode(self.next_seq, &Op::SnapshotEnds, &mut bytes);
        self.medium.append(&unfinished, &bytes).map_err(io_error)?;
        total += bytes.len() as u64;
        self.medium.sync(&unfinished).map_err(io_error)?;
        self.medium.rename(&unfinished, &name).map_err(io_error)?;
        self.medium.sync_dir().map_err(io_error)?;
        // From here on the snapshot is the state, and the older segments may be removed at any time.
        self.next_segment += 1;
        let old = std::mem::replace(&mut self.segments, vec![name]);
        self.log_bytes = total;
        self.start_segment()?;
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
