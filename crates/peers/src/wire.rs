//! Messages between routers and their encoding: a header of ten bytes (magic byte, format version,
//! deployment, checksum), then the packet encoded with `postcard`. `docs/operators/peers.md` describes the
//! format for other programs that read it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::allocation::Allocation;
use crate::member::{RouterInfo, State};

/// Index of a router among those configured, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterIndex(pub u16);

/// Counts the starts of a router: higher with each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// Longest datagram, in bytes: fits one frame of every common link, with room for headers added on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Longest packet of an exchange over TCP, in bytes.
pub const MAX_EXCHANGE_PACKET_BYTES: usize = 16 << 10;

const MAGIC: u8 = 0xb7;
/// The format version that is written; the previous one is read too.
pub const FORMAT_VERSION: u8 = 2;
const OLDEST_READABLE_VERSION: u8 = 1;
const HEADER_BYTES: usize = 10;

/// One router's report of another router's state. The newer one wins: by generation, then by incarnation,
/// then by the more severe state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    pub router: RouterIndex,
    pub generation: Generation,
    pub incarnation: u32,
    pub state: State,
    /// The router that observed it first-hand.
    pub reporter: RouterIndex,
    /// Sent once for each generation; later updates of the same generation leave it out.
    pub info: Option<RouterInfo>,
}

/// What a router publishes about itself, as bytes that others only pass on. The highest generation and
/// version win.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub router: RouterIndex,
    pub generation: Generation,
    pub version: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// `silent_to_sender`: the sender has not received an ack from the receiver for a while.
    Ping {
        seq: u32,
        silent_to_sender: bool,
    },
    Ack {
        seq: u32,
    },
    /// Asks the receiver to ping the target on behalf of the sender.
    PingRequest {
        seq: u32,
        target: RouterIndex,
    },
    /// Result of a [`Message::PingRequest`].
    PingResult {
        seq: u32,
        target: RouterIndex,
        answered: bool,
    },
    /// A starting router asks to join; the answer is an `Ack` and an exchange of views.
    Join {
        seq: u32,
    },
    Update(StateUpdate),
    Row(Row),
    /// A holder asks a voter to confirm the allocation that it uses; `request` is returned unchanged.
    Renew {
        number: u64,
        fingerprint: u32,
        request: u32,
    },
    /// The voter's answer: whether it confirms, and the number of the allocation that it has accepted.
    Renewed {
        number: u64,
        request: u32,
        accepted_number: u64,
        confirmed: bool,
    },
    /// Puts an allocation before a voter.
    Propose {
        allocation: Allocation,
    },
    /// The voter's answer to a proposal, with the number of the allocation that it has accepted.
    Vote {
        number: u64,
        accepted: bool,
        accepted_number: u64,
    },
    /// Asks for the receiver's full view; the sender's view comes with it.
    Exchange,
    /// Asks for the receiver's allocation if its number is above this one.
    FetchAllocation {
        above: u64,
    },
    /// An allocation that a quorum of the voters has accepted.
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

/// One datagram, or one part of an exchange over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    pub from: RouterIndex,
    pub generation: Generation,
    pub incarnation: u32,
    /// Number of routers in the sender's settings.
    pub router_count: u16,
    /// Digest of the sender's view; equal views have equal digests.
    pub digest: u32,
    /// Number of the allocation that the sender uses.
    pub allocation: u64,
    pub messages: Vec<Message>,
}

/// Why bytes are not a valid packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DecodeError {
    #[error("invalid packet length")]
    Size,
    #[error("not a router packet")]
    Mark,
    #[error("unsupported format version")]
    Format,
    #[error("packet of another deployment")]
    Deployment,
    #[error("checksum mismatch")]
    Checksum,
    #[error("messages cannot be decoded")]
    Words,
    #[error("router entry, address or number out of bounds")]
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

/// Hash of a deployment's name.
pub fn deployment(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// Encodes a packet.
pub fn encode(deployment: u32, packet: &Packet) -> Vec<u8> {
    let mut bytes = vec![MAGIC, FORMAT_VERSION];
    bytes.extend(deployment.to_le_bytes());
    bytes.extend([0; 4]);
    // Writing plain values to memory can't fail; a reader rejects an empty packet.
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

/// Decodes a packet of at most `max_bytes` bytes and checks that every value in it is within its bounds.
///
/// # Errors
/// Why the bytes are not a valid packet.
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
    // Fields added by a newer version follow the messages that this version knows, and are ignored.
    let (mut packet, rest): (Packet, _) =
        postcard::take_from_bytes(&bytes[HEADER_BYTES..]).map_err(|_| DecodeError::Words)?;
    // The allocations' extra bytes come before anything that a newer version adds, and only if the packet
    // contains allocations.
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

/// Addresses are limited to the loopback range, as everywhere in the settings.
fn is_loopback_address(address: SocketAddr) -> bool {
    address.ip().is_loopback() && address.port() != 0
}

/// Encoded size of a message, in bytes.
pub fn size(message: &Message) -> usize {
    let extra = message.allocation().map_or(0, |allocation| allocation.extra.len() + 4);
    postcard::experimental::serialized_size(message).map_or(usize::MAX, |size| size + extra)
}
