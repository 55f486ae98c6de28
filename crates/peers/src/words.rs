//! What routers say to each other, and how it stands on the wire: a head of ten bytes (mark, version of the format,
//! deployment, checksum), then the words by `postcard`. `docs/operators/peers.md` describes it for other readers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::member::{About, State};
use crate::page::Page;

/// Number of a router among those configured, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place(pub u16);

/// Which start of a router: higher with each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

/// Longest datagram, in bytes: fits one frame of every link that is met, with room for heads on the way.
pub const DATAGRAM: usize = 1200;
/// Longest page of a view that goes over TCP, in bytes.
pub const PAGE: usize = 16 << 10;

const MARK: u8 = 0xb7;
/// The format written; the one before is read too.
pub const FORMAT: u8 = 2;
const OLDEST: u8 = 1;
const HEAD: usize = 10;

/// One router's word on one router. Newer wins: life, then incarnation, then the graver state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rumour {
    pub place: Place,
    pub life: Life,
    pub incarnation: u32,
    pub state: State,
    /// Who saw it first-hand.
    pub by: Place,
    /// Told once for each life; a later word of the same life leaves it out.
    pub about: Option<About>,
}

/// What a router says of itself, as bytes that others only carry: newest life and version win.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub place: Place,
    pub life: Life,
    pub version: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// `deaf`: the sender has not heard the one asked for a while.
    Ping {
        seq: u32,
        deaf: bool,
    },
    Ack {
        seq: u32,
    },
    /// Ask that one for me.
    Ask {
        seq: u32,
        target: Place,
    },
    /// What came of it.
    Answered {
        seq: u32,
        target: Place,
        heard: bool,
    },
    /// A starting router asks to be let in; the answer is an `Ack` and an exchange of views.
    Join {
        seq: u32,
    },
    Rumour(Rumour),
    Row(Row),
    /// A holder asks a keeper to confirm the page that it goes by; `sent` comes back as it was.
    Renew {
        number: u64,
        mark: u32,
        sent: u32,
    },
    /// The keeper does, or says which one it keeps.
    Renewed {
        number: u64,
        sent: u32,
        kept: u64,
        seated: bool,
    },
    /// A page is put before a keeper.
    Propose {
        page: Page,
    },
    /// The keeper's yes, or the number that it keeps instead.
    Taken {
        number: u64,
        yes: bool,
        kept: u64,
    },
    /// Send me all that you know; what I know comes with it.
    Exchange,
    /// Send me the page that you keep or go by.
    Want {
        above: u64,
    },
    /// A page that a majority of the keepers has taken.
    Chosen {
        page: Page,
    },
}

impl Word {
    fn page(&self) -> Option<&Page> {
        match self {
            Word::Propose { page } | Word::Chosen { page } => Some(page),
            _ => None,
        }
    }

    fn page_mut(&mut self) -> Option<&mut Page> {
        match self {
            Word::Propose { page } | Word::Chosen { page } => Some(page),
            _ => None,
        }
    }
}

/// One datagram or one page of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    pub from: Place,
    pub life: Life,
    pub incarnation: u32,
    /// Places in the sender's settings.
    pub places: u16,
    /// Of the sender's view; equal views have equal digests.
    pub digest: u32,
    /// Number of the page that the sender goes by.
    pub page: u64,
    pub words: Vec<Word>,
}

/// Why bytes are no letter for us.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Wrong {
    #[error("too short or too long for a letter")]
    Size,
    #[error("not a letter of routers")]
    Mark,
    #[error("a format that this version does not read")]
    Format,
    #[error("another deployment's")]
    Deployment,
    #[error("checksum does not fit")]
    Checksum,
    #[error("words that can't be read")]
    Words,
    #[error("a place, address or figure out of bounds")]
    Bounds,
}

impl Wrong {
    pub const ALL: [Wrong; 7] = [
        Wrong::Size,
        Wrong::Mark,
        Wrong::Format,
        Wrong::Deployment,
        Wrong::Checksum,
        Wrong::Words,
        Wrong::Bounds,
    ];
}

/// Fingerprint of a deployment's name.
pub fn deployment(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// The bytes of a letter.
pub fn encode(deployment: u32, letter: &Letter) -> Vec<u8> {
    let mut bytes = vec![MARK, FORMAT];
    bytes.extend(deployment.to_le_bytes());
    bytes.extend([0; 4]);
    // Writing plain values to memory can't fail; an empty letter would be refused by its reader.
    let mut bytes = postcard::to_extend(letter, bytes).unwrap_or_default();
    let extras: Vec<&Vec<u8>> = letter.words.iter().filter_map(Word::page).map(|page| &page.extra).collect();
    if !extras.is_empty() {
        bytes = postcard::to_extend(&extras, bytes).unwrap_or_default();
    }
    if bytes.len() > HEAD {
        let sum = checksum(&bytes);
        bytes[6..HEAD].copy_from_slice(&sum.to_le_bytes());
    }
    bytes
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..6]);
    sum.update(&bytes[HEAD..]);
    sum.finalize()
}

/// Reads a letter of at most `most` bytes; everything in it is inside its bounds.
///
/// # Errors
/// What is wrong with it.
pub fn decode(ours: u32, bytes: &[u8], most: usize) -> Result<Letter, Wrong> {
    if bytes.len() <= HEAD || bytes.len() > most {
        return Err(Wrong::Size);
    }
    if bytes[0] != MARK {
        return Err(Wrong::Mark);
    }
    let word =
        |from: usize| u32::from_le_bytes([bytes[from], bytes[from + 1], bytes[from + 2], bytes[from + 3]]);
    if word(6) != checksum(bytes) {
        return Err(Wrong::Checksum);
    }
    if !(OLDEST..=FORMAT).contains(&bytes[1]) {
        return Err(Wrong::Format);
    }
    if word(2) != ours {
        return Err(Wrong::Deployment);
    }
    // What a newer version may add stands behind the words that this one knows, and is passed over.
    let (mut letter, rest): (Letter, _) =
        postcard::take_from_bytes(&bytes[HEAD..]).map_err(|_| Wrong::Words)?;
    // Before what a newer version may add, and only beside pages.
    if let Ok((extras, _)) = postcard::take_from_bytes::<Vec<Vec<u8>>>(rest) {
        let pages = letter.words.iter_mut().filter_map(Word::page_mut);
        pages.zip(extras).for_each(|(page, extra)| page.extra = extra);
    }
    let addressed =
        |about: &About| local(about.address) && about.name.len() <= 64 && about.region.len() <= 64;
    let bounded = letter.words.iter().all(|word| match word {
        Word::Rumour(rumour) => rumour.about.as_ref().is_none_or(addressed),
        Word::Row(row) => row.bytes.len() <= DATAGRAM,
        Word::Propose { page } | Word::Chosen { page } => page.sound(),
        _ => true,
    });
    if bounded {
        Ok(letter)
    } else {
        Err(Wrong::Bounds)
    }
}

/// Addresses stay on the loopback range, as everywhere in our settings.
fn local(address: SocketAddr) -> bool {
    address.ip().is_loopback() && address.port() != 0
}

/// Bytes of one word on the wire.
pub fn size(word: &Word) -> usize {
    let extra = word.page().map_or(0, |page| page.extra.len() + 4);
    postcard::experimental::serialized_size(word).map_or(usize::MAX, |size| size + extra)
}
