//! Encoding of segments. All numbers are little-endian.
//!
//! Segment header, 32 bytes: magic `PPSTORE\n` (8), format version (u16), flags (u16; bit 0: snapshot),
//! router number (u32), segment number (u64), checksum (u32, CRC-32 of the 24 bytes before it), reserved
//! (u32, zero).
//!
//! Record: an 8-byte frame with the length of the rest (u32) and a checksum (u32, CRC-32 of the length and of
//! the rest), then sequence number (u64), kind (u8), operation (u8: 1 put, 2 delete, 3 end of a snapshot),
//! length of the key (u16), key, value.

/// Kind of an entry. The numbers are part of the format, and the variant names appear in lower case in the
/// store's statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The last accepted server list.
    List,
    /// Cached tokens of a text at a server; see `retention::StoredCacheEntry`.
    Kept,
    /// A request with an idempotency key that may have run; see `retention::IdempotencyRecord`.
    Tokened,
    /// Usage of a customer's share.
    Spent,
    /// An operator command or a quarantine.
    Word,
    /// The failure score of a server.
    Distrust,
    /// A kind written by a later version.
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

    pub fn from_number(number: u8) -> Kind {
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

/// A key, unique within its kind.
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

/// One operation of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Put {
        key: Key,
        value: Vec<u8>,
    },
    Delete {
        key: Key,
    },
    /// Ends a snapshot: all live entries at this point precede it in this segment.
    SnapshotEnds,
}

pub const MAGIC: [u8; 8] = *b"PPSTORE\n";
/// The format version that is written, and the oldest that can be read.
pub const VERSION: u16 = 2;
pub const OLDEST_VERSION: u16 = 1;
pub const HEADER_BYTES: usize = 32;
pub const FRAME_BYTES: usize = 8;
const RECORD_HEADER_BYTES: usize = 12;
/// Maximum length of a record without its frame.
pub const RECORD_MAX_BYTES: usize = 64 << 20;
pub const KEY_MAX_BYTES: usize = u16::MAX as usize;

/// Header of a segment.
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
        let checksum = crc32fast::hash(&bytes[..24]);
        bytes[24..28].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a header.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn decode(bytes: &[u8]) -> Result<SegmentHeader, String> {
        let bytes = bytes.get(..HEADER_BYTES).ok_or("shorter than a segment header")?;
        if bytes[..8] != MAGIC {
            return Err("not a segment of a store".into());
        }
        if read_u32(bytes, 24) != crc32fast::hash(&bytes[..24]) || bytes[28..32] != [0; 4] {
            return Err("checksum mismatch in the segment header".into());
        }
        let version = u16::from_le_bytes([bytes[8], bytes[9]]);
        if !(OLDEST_VERSION..=VERSION).contains(&version) {
            return Err(format!(
                "format version {version} is not supported; {OLDEST_VERSION} to {VERSION} can be read"
            ));
        }
        Ok(SegmentHeader {
            version,
            snapshot: bytes[10] & 1 == 1,
            router: read_u32(bytes, 12),
            number: read_u64(bytes, 16),
        })
    }
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    u64::from(read_u32(bytes, at)) | u64::from(read_u32(bytes, at + 4)) << 32
}

/// Appends one record to `out`. Returns false and appends nothing if the record or its key is too long.
pub fn encode(seq: u64, op: &Op, out: &mut Vec<u8>) -> bool {
    let no_key = Key::new(Kind::Other(0), []);
    let (code, key, value): (u8, &Key, &[u8]) = match op {
        Op::Put { key, value } => (1, key, value),
        Op::Delete { key } => (2, key, &[]),
        Op::SnapshotEnds => (3, &no_key, &[]),
    };
    let length = RECORD_HEADER_BYTES + key.bytes.len() + value.len();
    if length > RECORD_MAX_BYTES || key.bytes.len() > KEY_MAX_BYTES {
        return false;
    }
    let start = out.len();
    out.extend_from_slice(&(length as u32).to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&[key.kind.number(), code]);
    out.extend_from_slice(&(key.bytes.len() as u16).to_le_bytes());
    out.extend_from_slice(&key.bytes);
    out.extend_from_slice(value);
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&out[start..start + 4]);
    hasher.update(&out[start + FRAME_BYTES..]);
    let checksum = hasher.finalize();
    out[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
    true
}

/// Result of decoding the bytes at the start of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// A record, and the number of bytes it occupies.
    Record { seq: u64, op: Op, bytes: usize },
    /// Fewer bytes than the record's length says.
    Truncated,
    /// A checksum mismatch, or invalid contents despite a valid checksum.
    Invalid(String),
}

/// Decodes the record at the start of `bytes`, which must not be empty.
pub fn decode(bytes: &[u8]) -> Decoded {
    if bytes.len() < FRAME_BYTES {
        return Decoded::Truncated;
    }
    let length = read_u32(bytes, 0) as usize;
    if !(RECORD_HEADER_BYTES..=RECORD_MAX_BYTES).contains(&length) {
        return Decoded::Invalid(format!("invalid record length of {length} bytes"));
    }
    let Some(body) = bytes.get(FRAME_BYTES..FRAME_BYTES + length) else { return Decoded::Truncated };
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..4]);
    hasher.update(body);
    if hasher.finalize() != read_u32(bytes, 4) {
        return Decoded::Invalid("checksum mismatch in a record".into());
    }
    let key_bytes = usize::from(u16::from_le_bytes([body[10], body[11]]));
    let Some(key) = body.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + key_bytes) else {
        return Decoded::Invalid("a key longer than its record".into());
    };
    let key = Key::new(Kind::from_number(body[8]), key);
    let op = match body[9] {
        1 => Op::Put { key, value: body[RECORD_HEADER_BYTES + key_bytes..].to_vec() },
        2 => Op::Delete { key },
        3 => Op::SnapshotEnds,
        other => return Decoded::Invalid(format!("unknown operation {other}")),
    };
    Decoded::Record { seq: read_u64(body, 0), op, bytes: FRAME_BYTES + length }
}

#[cfg(test)]
mod tests;
