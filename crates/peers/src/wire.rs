//! What routers say to each other, and how it stands on the wire: a head of ten bytes (mark, version of the format,
//! deployment, checksum), then the words by `postcard`. `docs/operators/peers.md` describes it for other readers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::allocation::Allocation;
use crate::member::{RouterInfo, State};

/// Number of a router among those configured, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterIndex(pub u16);

/// Which start of a router: higher with each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// Longest datagram, in bytes: fits one frame of every link that is met, with room for heads on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Longest page of a view that goes over TCP, in bytes.
pub const MAX_EXCHANGE_PACKET_BYTES: usize = 16 << 10;

const MAGIC: u8 = 0xb7;
/// The format written; the one before is read too.
pub const FORMAT_VERSION: u8 = 2;
const OLDEST_READABLE_VERSION: u8 = 1;
const HEADER_BYTES: usize = 10;

/// One router's word on one router. Newer wins: life, then incarnation, then the graver state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    pub router: RouterIndex,
    pub generation: Generation,
    pub incarnation: u32,
    pub state: State,
    /// Who saw it first-hand.
    pub reporter: RouterIndex,
    /// Told once for each life; a later word of the same life leaves it out.
    pub info: Option<RouterInfo>,
}

/// What a router says of itself, as bytes that others only carry: newest life and version win.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub router: RouterIndex,
    pub generation: Generation,
    pub version: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// `deaf`: the sender has not heard the one asked for a while.
    Ping {
        seq: u32,
        silent_to_sender: bool,
    },
    Ack {
        seq: u32,
    },
    /// Ask that one for me.
    PingRequest {
        seq: u32,
        target: RouterIndex,
    },
    /// What came of it.
    PingResult {
        seq: u32,
        target: RouterIndex,
        answered: bool,
    },
    /// A starting router asks to be let in; the answer is an `Ack` and an exchange of views.
    Join {
        seq: u32,
    },
    Update(StateUpdate),
    Row(Row),
    /// A holder asks a keeper to confirm the page that it goes by; `sent` comes back as it was.
    Renew {
        number: u64,
        fingerprint: u32,
        request: u32,
    },
    /// The keeper does, or says which one it keeps.
    Renewed {
        number: u64,
        request: u32,
        accepted_number: u64,
        confirmed: bool,
    },
    /// A page is put before a keeper.
    Propose {
        allocation: Allocation,
    },
    /// The keeper's yes, or the number that it keeps instead.
    Vote {
        number: u64,
        accepted: bool,
        accepted_number: u64,
    },
    /// Send me all that you know; what I know comes with it.
    Exchange,
    /// Send me the page that you keep or go by.
    FetchAllocation {
        above: u64,
    },
    /// A page that a majority of the keepers has taken.
    Chosen {
        allocation: Allocation,
    },
}

impl Message {
    fn allocation(&self) -> Option<&Allocation> {
        match self {
            Message::Propose { allocation } | Message::Chosen { allocation } => Some(allocation),
            _ => None,
        }
    }

    fn allocation_mut(&mut self) -> Option<&mut Allocation> {
        match self {
            Message::Propose { allocation } | Message::Chosen { allocation } => Some(allocation),
            _ => None,
        }
    }
}

/// One datagram or one page of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    pub from: RouterIndex,
    pub generation: Generation,
    pub incarnation: u32,
    /// Places in the sender's settings.
    pub router_count: u16,
    /// Of the sender's view; equal views have equal digests.
    pub digest: u32,
    /// Number of the page that the sender goes by.
    pub allocation: u64,
    pub messages: Vec<Message>,
}

/// Why bytes are no letter for us.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    #[error("too short or too long for a packet")]
    Size,
    #[error("not a packet of routers")]
    Mark,
    #[error("a format that this version does not read")]
    Format,
    #[error("another deployment's")]
    Deployment,
    #[error("checksum does not fit")]
    Checksum,
    #[error("messages that can't be read")]
    Words,
    #[error("a router, address or figure out of bounds")]
    Bounds,
}

impl DecodeError {
    pub const ALL: [DecodeError; 7] = [
        DecodeError::Size,
        DecodeError::Mark,
        DecodeError::Format,
        DecodeError::Deployment,
        DecodeError::Checksum,
        DecodeError::Words,
        DecodeError::Bounds,
    ];
}

/// Fingerprint of a deployment's name.
pub fn deployment(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// The bytes of a letter.
pub fn encode(deployment: u32, packet: &Packet) -> Vec<u8> {
    let mut bytes = vec![MAGIC, FORMAT_VERSION];
    bytes.extend(deployment.to_le_bytes());
    bytes.extend([0; 4]);
    // Writing plain values to memory can't fail; an empty letter would be refused by its reader.
    let mut bytes = postcard::to_extend(packet, bytes).unwrap_or_default();
    let extras: Vec<&Vec<u8>> =
        packet.messages.iter().filter_map(Message::allocation).map(|allocation| &allocation.extra).collect();
    if !extras.is_empty() {
        bytes = postcard::to_extend(&extras, bytes).unwrap_or_default();
    }
    if bytes.len() > HEADER_BYTES {
        let sum = checksum(&bytes);
        bytes[6..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    }
    bytes
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..6]);
    sum.update(&bytes[HEADER_BYTES..]);
    sum.finalize()
}

/// Reads a letter of at most `most` bytes; everything in it is inside its bounds.
///
/// # Errors
/// What is wrong with it.
pub fn decode(deployment: u32, bytes: &[u8], max_bytes: usize) -> Result<Packet, DecodeError> {
    if bytes.len() <= HEADER_BYTES || bytes.len() > max_bytes {
        return Err(DecodeError::Size);
    }
    if bytes[0] != MAGIC {
        return Err(DecodeError::Mark);
    }
    let u32_at =
        |from: usize| u32::from_le_bytes([bytes[from], bytes[from + 1], bytes[from + 2], bytes[from + 3]]);
    if u32_at(6) != checksum(bytes) {
        return Err(DecodeError::Checksum);
    }
    if !(OLDEST_READABLE_VERSION..=FORMAT_VERSION).contains(&bytes[1]) {
        return Err(DecodeError::Format);
    }
    if u32_at(2) != deployment {
        return Err(DecodeError::Deployment);
    }
    // What a newer version may add stands behind the words that this one knows, and is passed over.
    let (mut packet, rest): (Packet, _) =
        postcard::take_from_bytes(&bytes[HEADER_BYTES..]).map_err(|_| DecodeError::Words)?;
    // Before what a newer version may add, and only beside pages.
    if let Ok((extras, _)) = postcard::take_from_bytes::<Vec<Vec<u8>>>(rest) {
        let allocations = packet.messages.iter_mut().filter_map(Message::allocation_mut);
        allocations.zip(extras).for_each(|(allocation, extra)| allocation.extra = extra);
    }
    let valid_info = |info: &RouterInfo| {
        is_loopback_address(info.address) && info.name.len() <= 64 && info.region.len() <= 64
    };
    let within_bounds = packet.messages.iter().all(|message| match message {
        Message::Update(update) => update.info.as_ref().is_none_or(valid_info),
        Message::Row(row) => row.bytes.len() <= MAX_DATAGRAM_BYTES,
        Message::Propose { allocation } | Message::Chosen { allocation } => allocation.is_valid(),
        _ => true,
    });
    if within_bounds {
        Ok(packet)
    } else {
        Err(DecodeError::Bounds)
    }
}

/// Addresses stay on the loopback range, as everywhere in our settings.
fn is_loopback_address(address: SocketAddr) -> bool {
    address.ip().is_loopback() && address.port() != 0
}

/// Bytes of one word on the wire.
pub fn size(message: &Message) -> usize {
    let extra = message.allocation().map_or(0, |allocation| allocation.extra.len() + 4);
    postcard::experimental::serialized_size(message).map_or(usize::MAX, |size| size + extra)
}
