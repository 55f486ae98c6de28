//! What the segments of a directory say together. Nothing is believed whose checksum or place does not fit: the state
//! that comes out is the one after some number of writes, never one with a hole.

use std::collections::BTreeMap;

use crate::format::{decode, Decoded, Key, Op, SegmentHeader, HEADER_BYTES};

/// A segment as it was read.
#[derive(Clone, Debug)]
pub struct Segment {
    pub name: String,
    pub bytes: Vec<u8>,
}

/// Something that does not fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub segment: String,
    pub offset: u64,
    pub what: String,
    /// Whether a power cut alone explains it: the end of the last segment, or a file that never got its name.
    pub torn: bool,
}

/// One live entry: its value, and the bytes that it takes in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub value: Vec<u8>,
    pub bytes: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub entries: BTreeMap<Key, Entry>,
    /// Writes that the state contains; the next one gets this number.
    pub next_seq: u64,
    pub next_segment: u64,
    pub router: Option<u32>,
    /// Segments whose content the state is made of, with how many of their bytes are good.
    pub used: Vec<(String, u64)>,
    /// Segments that a snapshot replaced, and files without a name of their own: they may go.
    pub obsolete: Vec<String>,
    /// Segments that could not be used, or only in part.
    pub findings: Vec<Finding>,
    /// Bytes of all used segments.
    pub bytes: u64,
}

impl Recovered {
    /// Whether anything was found that no power cut explains.
    pub fn damaged(&self) -> bool {
        self.findings.iter().any(|finding| !finding.torn)
    }
}

pub const SEGMENT_SUFFIX: &str = ".log";
pub const UNFINISHED_SUFFIX: &str = ".new";
pub const DAMAGED_SUFFIX: &str = ".broken";

/// The name of a segment.
pub fn segment_name(number: u64) -> String {
    format!("{number:016x}{SEGMENT_SUFFIX}")
}

struct Read {
    ops: Vec<(Op, u64)>,
    next_seq: u64,
    good: u64,
    wrong: Option<String>,
    ended: bool,
}

/// Reads the records of one segment as long as they fit, numbered on from `seq`; None: from whatever the first says.
fn read(bytes: &[u8], mut seq: Option<u64>) -> Read {
    let (mut ops, mut at, mut wrong, mut ended) = (Vec::new(), HEADER_BYTES, None, false);
    while at < bytes.len() && !ended {
        match decode(&bytes[at..]) {
            Decoded::Record { seq: found, op, bytes } => {
                ended = op == Op::SnapshotEnds;
                if !ended && seq.is_some_and(|seq| seq != found) {
                    wrong = Some(format!("record {found} where {} belongs", seq.unwrap_or(0)));
                    break;
                }
                seq = Some(if ended { found } else { found + 1 });
                ops.push((op, bytes as u64));
                at += bytes;
            }
            Decoded::Short => {
                wrong = Some("it ends within a record".into());
                break;
            }
            Decoded::Wrong(what) => {
                wrong = Some(what);
                break;
            }
        }
    }
    Read { ops, next_seq: seq.unwrap_or(0), good: at as u64, wrong, ended }
}

/// Puts the segments of a directory together.
pub fn recover(mut segments: Vec<Segment>) -> Recovered {
    let mut all = Recovered::default();
    let mut heads = Vec::new();
    segments.sort_by(|a, b| a.name.cmp(&b.name));
    for segment in segments {
        if segment.name.ends_with(UNFINISHED_SUFFIX) {
            // A snapshot that never got its name; what it was made of is still there.
            all.obsolete.push(segment.name);
            continue;
        }
        let number =
            segment.name.strip_suffix(SEGMENT_SUFFIX).and_then(|name| u64::from_str_radix(name, 16).ok());
        let Some(number) = number else { continue };
        all.next_segment = all.next_segment.max(number + 1);
        heads.push((number, SegmentHeader::decode(&segment.bytes), segment));
    }
    heads.sort_by_key(|(number, _, _)| *number);
    let last = heads.last().map(|(number, _, _)| *number);
    let finding = |segment: &Segment, offset, what: &str, torn| Finding {
        segment: segment.name.clone(),
        offset,
        what: what.to_owned(),
        torn,
    };
    // The newest snapshot that is whole is where the state begins.
    let mut base = None;
    for (number, head, segment) in heads.iter().rev() {
        let Ok(head) = head else { continue };
        if !head.snapshot || base.is_some() {
            continue;
        }
        let read = read(&segment.bytes, Some(0));
        if read.ended && read.good == segment.bytes.len() as u64 {
            base = Some((*number, read));
        } else {
            let what = read.wrong.unwrap_or_else(|| "a snapshot that does not end".into());
            all.findings.push(finding(segment, read.good, &what, false));
        }
    }
    let from = base.as_ref().map(|(number, _)| *number);
    if let Some((number, read)) = base {
        all.next_seq = read.next_seq;
        for (op, bytes) in read.ops {
            apply(&mut all.entries, op, bytes);
        }
        all.used.push((segment_name(number), read.good));
        all.bytes += read.good;
    }
    let mut broken = false;
    for (number, head, segment) in &heads {
        let before = from.is_some_and(|from| *number < from);
        if before {
            all.obsolete.push(segment.name.clone());
            continue;
        }
        if Some(*number) == from {
            all.router = head.as_ref().ok().map(|head| head.router);
            continue;
        }
        let head = match head {
            Ok(head) if head.number == *number => head,
            Ok(head) => {
                all.findings.push(finding(segment, 16, &format!("it is segment {:x}", head.number), false));
                broken = true;
                continue;
            }
            Err(what) => {
                // The last one may have lost its head with the power: nothing in it was acknowledged then.
                let torn = Some(*number) == last && segment.bytes.len() <= HEADER_BYTES
                    || Some(*number) == last && segment.bytes.iter().all(|byte| *byte == 0);
                all.findings.push(finding(segment, 0, what, torn));
                broken = true;
                continue;
            }
        };
        if head.snapshot {
            // An older finding says why it is no base; the log before it may still be whole.
            broken |= Some(*number) != from && number > &from.unwrap_or(0);
            continue;
        }
        all.router = all.router.or(Some(head.router));
        if broken {
            all.findings.push(finding(segment, 0, "what comes before it is broken", false));
            continue;
        }
        let start = if all.used.is_empty() { None } else { Some(all.next_seq) };
        let read = read(&segment.bytes, start);
        // Without a snapshot the log must begin at its beginning.
        let first_is_late = start.is_none() && !read.ops.is_empty() && read.next_seq != read.ops.len() as u64;
        if first_is_late {
            all.findings.push(finding(segment, HEADER_BYTES as u64, "the log before it is not there", false));
            broken = true;
            continue;
        }
        if let Some(what) = &read.wrong {
            let torn = Some(*number) == last;
            all.findings.push(finding(segment, read.good, what, torn));
            broken = true;
        }
        if !read.ops.is_empty() || start.is_none() {
            all.next_seq = read.next_seq;
        }
        for (op, bytes) in read.ops {
            apply(&mut all.entries, op, bytes);
        }
        all.used.push((segment.name.clone(), read.good));
        all.bytes += read.good;
    }
    all
}

fn apply(entries: &mut BTreeMap<Key, Entry>, op: Op, bytes: u64) {
    match op {
        Op::Put { key, value } => drop(entries.insert(key, Entry { value, bytes })),
        Op::Delete { key } => drop(entries.remove(&key)),
        Op::SnapshotEnds => {}
    }
}
