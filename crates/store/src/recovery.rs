//! Rebuilds the state from the segments of a directory. Only records with a valid checksum at their expected
//! position are used: the result is always the state after some number of writes, without gaps.

use std::collections::BTreeMap;

use crate::format::{decode, Decoded, Key, Op, SegmentHeader, HEADER_BYTES};

/// A segment as read from the medium.
#[derive(Clone, Debug)]
pub struct Segment {
    pub name: String,
    pub bytes: Vec<u8>,
}

/// A damaged or unusable part of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub segment: String,
    pub offset: u64,
    pub what: String,
    /// Whether a power loss explains it: a torn end of the last segment, or a missing header there.
    pub torn: bool,
}

/// A live entry: its value, and the bytes that its record occupies in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub value: Vec<u8>,
    pub bytes: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub entries: BTreeMap<Key, Entry>,
    /// Sequence number of the next write.
    pub next_seq: u64,
    pub next_segment: u64,
    pub router: Option<u32>,
    /// Segments that the state was built from, with the length of their valid part.
    pub used: Vec<(String, u64)>,
    /// Segments replaced by a snapshot, and unfinished snapshots; both may be removed.
    pub obsolete: Vec<String>,
    /// Segments that could not be used, or only in part.
    pub findings: Vec<Finding>,
    /// Total length of the valid parts of the used segments.
    pub bytes: u64,
}

impl Recovered {
    /// Whether there is damage that a power loss does not explain.
    pub fn damaged(&self) -> bool {
        self.findings.iter().any(|finding| !finding.torn)
    }
}

pub const SEGMENT_SUFFIX: &str = ".log";
pub const UNFINISHED_SUFFIX: &str = ".new";
pub const DAMAGED_SUFFIX: &str = ".broken";

/// File name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("{number:016x}{SEGMENT_SUFFIX}")
}

struct SegmentContents {
    /// Operations with the lengths of their records.
    ops: Vec<(Op, u64)>,
    next_seq: u64,
    valid_bytes: u64,
    /// Why the record after the valid bytes is invalid.
    invalid: Option<String>,
    /// Whether the end record of a snapshot was reached.
    complete: bool,
}

/// Decodes the records of one segment up to the first invalid one. `seq` is the expected sequence number of
/// the first record; None accepts any.
fn read_records(bytes: &[u8], mut seq: Option<u64>) -> SegmentContents {
    let (mut ops, mut at, mut invalid, mut complete) = (Vec::new(), HEADER_BYTES, None, false);
    while at < bytes.len() && !complete {
        match decode(&bytes[at..]) {
            Decoded::Record { seq: found, op, bytes } => {
                complete = op == Op::SnapshotEnds;
                if !complete && seq.is_some_and(|seq| seq != found) {
                    invalid = Some(format!("sequence number {found} instead of {}", seq.unwrap_or(0)));
                    break;
                }
                seq = Some(if complete { found } else { found + 1 });
                ops.push((op, bytes as u64));
                at += bytes;
            }
            Decoded::Truncated => {
                invalid = Some("the segment ends within a record".into());
                break;
            }
            Decoded::Invalid(what) => {
                invalid = Some(what);
                break;
            }
        }
    }
    SegmentContents { ops, next_seq: seq.unwrap_or(0), valid_bytes: at as u64, invalid, complete }
}

/// Rebuilds the state from the segments of a directory.
pub fn recover(mut segments: Vec<Segment>) -> Recovered {
    let mut recovered = Recovered::default();
    let mut headers = Vec::new();
    segments.sort_by(|a, b| a.name.cmp(&b.name));
    for segment in segments {
        if segment.name.ends_with(UNFINISHED_SUFFIX) {
            // An unfinished snapshot; the segments that it was made from still exist.
            recovered.obsolete.push(segment.name);
            continue;
        }
        let number =
            segment.name.strip_suffix(SEGMENT_SUFFIX).and_then(|name| u64::from_str_radix(name, 16).ok());
        let Some(number) = number else { continue };
        recovered.next_segment = recovered.next_segment.max(number + 1);
        headers.push((number, SegmentHeader::decode(&segment.bytes), segment));
    }
    headers.sort_by_key(|(number, _, _)| *number);
    let last = headers.last().map(|(number, _, _)| *number);
    let finding = |segment: &Segment, offset, what: &str, torn| Finding {
        segment: segment.name.clone(),
        offset,
        what: what.to_owned(),
        torn,
    };
    // The state starts at the newest complete snapshot.
    let mut base = None;
    for (number, header, segment) in headers.iter().rev() {
        let Ok(header) = header else { continue };
        if !header.snapshot || base.is_some() {
            continue;
        }
        let contents = read_records(&segment.bytes, Some(0));
        if contents.complete && contents.valid_bytes == segment.bytes.len() as u64 {
            base = Some((*number, contents));
        } else {
            let what = contents.invalid.unwrap_or_else(|| "a snapshot without its end record".into());
            recovered.findings.push(finding(segment, contents.valid_bytes, &what, false));
        }
    }
    let from = base.as_ref().map(|(number, _)| *number);
    if let Some((number, contents)) = base {
        recovered.next_seq = contents.next_seq;
        for (op, bytes) in contents.ops {
            apply(&mut recovered.entries, op, bytes);
        }
        recovered.used.push((segment_name(number), contents.valid_bytes));
        recovered.bytes += contents.valid_bytes;
    }
    let mut damaged = false;
    for (number, header, segment) in &headers {
        let before = from.is_some_and(|from| *number < from);
        if before {
            recovered.obsolete.push(segment.name.clone());
            continue;
        }
        if Some(*number) == from {
            recovered.router = header.as_ref().ok().map(|header| header.router);
            continue;
        }
        let header = match header {
            Ok(header) if header.number == *number => header,
            Ok(header) => {
                recovered.findings.push(finding(
                    segment,
                    16,
                    &format!("its header names segment {:x}", header.number),
                    false,
                ));
                damaged = true;
                continue;
            }
            Err(what) => {
                // A power loss may have left the last segment without its header. Nothing in it was
                // acknowledged then.
                let torn = Some(*number) == last && segment.bytes.len() <= HEADER_BYTES
                    || Some(*number) == last && segment.bytes.iter().all(|byte| *byte == 0);
                recovered.findings.push(finding(segment, 0, what, torn));
                damaged = true;
                continue;
            }
        };
        if header.snapshot {
            // A finding above says why this snapshot is unusable; the log before it may still be complete.
            damaged |= Some(*number) != from && number > &from.unwrap_or(0);
            continue;
        }
        recovered.router = recovered.router.or(Some(header.router));
        if damaged {
            recovered.findings.push(finding(segment, 0, "an earlier segment is damaged", false));
            continue;
        }
        let start = if recovered.used.is_empty() { None } else { Some(recovered.next_seq) };
        let contents = read_records(&segment.bytes, start);
        // Without a snapshot the log must start with its first record.
        let start_missing =
            start.is_none() && !contents.ops.is_empty() && contents.next_seq != contents.ops.len() as u64;
        if start_missing {
            recovered.findings.push(finding(
                segment,
                HEADER_BYTES as u64,
                "the log before it is missing",
                false,
            ));
            damaged = true;
            continue;
        }
        if let Some(what) = &contents.invalid {
            let torn = Some(*number) == last;
            recovered.findings.push(finding(segment, contents.valid_bytes, what, torn));
            damaged = true;
        }
        if !contents.ops.is_empty() || start.is_none() {
            recovered.next_seq = contents.next_seq;
        }
        for (op, bytes) in contents.ops {
            apply(&mut recovered.entries, op, bytes);
        }
        recovered.used.push((segment.name.clone(), contents.valid_bytes));
        recovered.bytes += contents.valid_bytes;
    }
    recovered
}

fn apply(entries: &mut BTreeMap<Key, Entry>, op: Op, bytes: u64) {
    match op {
        Op::Put { key, value } => drop(entries.insert(key, Entry { value, bytes })),
        Op::Delete { key } => drop(entries.remove(&key)),
        Op::SnapshotEnds => {}
    }
}
