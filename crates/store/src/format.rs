//! Bytes of segments. All numbers are little-endian.
//!
//! SegmentHeader of a segment, 32 bytes: magic `PPSTORE\n` (8), format version (u16), flags (u16; bit 0: a snapshot), router
//! number (u32), segment number (u64), checksum (u32)
//! over the 24 bytes before it, reserved (u32, zero).
//!
//! Record: length of what follows the 8-byte frame (u32), checksum (u32, CRC-32 of the length and of all that follows),
//! then sequence number (u64), kind (u8), operation (u8: 1 put, 2 delete, 3 end of a snapshot), length of the key
//! (u16), key, value.

/// What a record is about. Numbers are part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The last good list.
    List,
    /// Tokens of a text kept at a server.
    Kept,
    /// A tokened completion that may have run.
    Tokened,
    /// What a customer has spent of its share.
    Spent,
    /// An operator's word, a quarantine.
    Word,
    /// Distrust of a server.
    Distrust,
    /// What was written by a later version.
    Other(u8),
}

impl Kind {
    pub fn number(self) -> u8 {
        match self {
            Kind::List => 1,
            Kind::Kept => 2,
            Kind::Tokened => 3,
            Kind::Spent => 4,
            Kind::Word => 5,
            Kind::Distrust => 6,
            Kind::Other(number) => number,
        }
    }

    pub fn of(number: u8) -> Kind {
        match number {
            1 => Kind::List,
            2 => Kind::Kept,
            3 => Kind::Tokened,
            4 => Kind::Spent,
            5 => Kind::Word,
            6 => Kind::Distrust,
            other => Kind::Other(other),
        }
    }

    pub fn name(self) -> String {
        match self {
            Kind::Other(number) => format!("kind-{number}"),
            known => format!("{known:?}").to_lowercase(),
        }
    }
}

/// A key within its kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub kind: Kind,
    pub bytes: Box<[u8]>,
}

impl Key {
    pub fn new(kind: Kind, bytes: impl AsRef<[u8]>) -> Self {
        Key { kind, bytes: bytes.as_ref().into() }
    }
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Put {
        key: Key,
        value: Vec<u8>,
    },
    Delete {
        key: Key,
    },
    /// All live entries at this point stand before it in this segment.
    SnapshotEnds,
}

pub const MAGIC: [u8; 8] = *b"PPSTORE\n";
/// The version that is written, and the oldest that is read.
pub const VERSION: u16 = 2;
pub const OLDEST_VERSION: u16 = 1;
pub const HEADER_BYTES: usize = 32;
pub const FRAME_BYTES: usize = 8;
const INNER_BYTES: usize = 12;
/// Longest record, frame left out.
pub const RECORD_MAX_BYTES: usize = 64 << 20;
pub const KEY_MAX_BYTES: usize = u16::MAX as usize;

/// SegmentHeader of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    pub version: u16,
    pub snapshot: bool,
    pub router: u32,
    pub number: u64,
}

impl SegmentHeader {
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..10].copy_from_slice(&self.version.to_le_bytes());
        bytes[10..12].copy_from_slice(&u16::from(self.snapshot).to_le_bytes());
        bytes[12..16].copy_from_slice(&self.router.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.number.to_le_bytes());
        let sum = crc32fast::hash(&bytes[..24]);
        bytes[24..28].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Reads a head.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn decode(bytes: &[u8]) -> Result<SegmentHeader, String> {
        let bytes = bytes.get(..HEADER_BYTES).ok_or("shorter than its head")?;
        if bytes[..8] != MAGIC {
            return Err("not a segment of a store".into());
        }
        if number32(bytes, 24) != crc32fast::hash(&bytes[..24]) || bytes[28..32] != [0; 4] {
            return Err("the checksum of its head does not fit".into());
        }
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        if !(OLDEST_VERSION..=VERSION).contains(&version) {
            return Err(format!("format version {version}; {OLDEST_VERSION} to {VERSION} can be read"));
        }
        Ok(SegmentHeader {
            version,
            snapshot: bytes[10] & 1 == 1,
            router: number32(bytes, 12),
            number: number64(bytes, 16),
        })
    }
}

fn number32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn number64(bytes: &[u8], at: usize) -> u64 {
    u64::from(number32(bytes, at)) | u64::from(number32(bytes, at + 4)) << 32
}

/// Appends one record to `out`; false, with nothing appended, where it is too long.
pub fn encode(seq: u64, op: &Op, out: &mut Vec<u8>) -> bool {
    let none = Key::new(Kind::Other(0), []);
    let (code, key, value): (u8, &Key, &[u8]) = match op {
        Op::Put { key, value } => (1, key, value),
        Op::Delete { key } => (2, key, &[]),
        Op::SnapshotEnds => (3, &none, &[]),
    };
    let length = INNER_BYTES + key.bytes.len() + value.len();
    if length > RECORD_MAX_BYTES || key.bytes.len() > KEY_MAX_BYTES {
        return false;
    }
    let begin = out.len();
    out.extend_from_slice(&(length as u32).to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&[key.kind.number(), code]);
    out.extend_from_slice(&(key.bytes.len() as u16).to_le_bytes());
    out.extend_from_slice(&key.bytes);
    out.extend_from_slice(value);
    let mut sum = crc32fast::Hasher::new();
    sum.update(&out[begin..begin + 4]);
    sum.update(&out[begin + FRAME_BYTES..]);
    let sum = sum.finalize();
    out[begin + 4..begin + 8].copy_from_slice(&sum.to_le_bytes());
    true
}

/// What stands at the beginning of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A record and the bytes that it takes.
    Record { seq: u64, op: Op, bytes: usize },
    /// Fewer bytes than the record says that it has.
    Short,
    /// A checksum that does not fit, or what fits and can't be.
    Wrong(String),
}

/// Reads the record at the beginning of some bytes, which must not be empty.
pub fn decode(bytes: &[u8]) -> Decoded {
    if bytes.len() < FRAME_BYTES {
        return Decoded::Short;
    }
    let length = number32(bytes, 0) as usize;
    if !(INNER_BYTES..=RECORD_MAX_BYTES).contains(&length) {
        return Decoded::Wrong(format!("a record of {length} bytes"));
    }
    let Some(inner) = bytes.get(FRAME_BYTES..FRAME_BYTES + length) else { return Decoded::Short };
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..4]);
    sum.update(inner);
    if sum.finalize() != number32(bytes, 4) {
        return Decoded::Wrong("the checksum of a record does not fit".into());
    }
    let key_bytes = usize::from(u16::from_le_bytes([inner[10], inner[11]]));
    let Some(key) = inner.get(INNER_BYTES..INNER_BYTES + key_bytes) else {
        return Decoded::Wrong("a key longer than its record".into());
    };
    let key = Key::new(Kind::of(inner[8]), key);
    let op = match inner[9] {
        1 => Op::Put { key, value: inner[INNER_BYTES + key_bytes..].to_vec() },
        2 => Op::Delete { key },
        3 => Op::SnapshotEnds,
        other => return Decoded::Wrong(format!("operation {other}")),
    };
    Decoded::Record { seq: number64(inner, 0), op, bytes: FRAME_BYTES + length }
}

#[cfg(test)]
mod tests;
