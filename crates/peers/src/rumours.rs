//! Words that are passed on with every datagram, the least told first, until each was told often enough for everyone
//! to have heard it.

use std::collections::{BTreeMap, BTreeSet};

use crate::words::{size, Place, Word};

/// Times a word is told, for each tenfold of routers.
const TELLS: f64 = 4.0;
/// Times that a state or a page is told before a row comes first.
const ROWS_WAIT: u32 = 2;
/// Bytes in which hardly a word finds room.
const LEAST: usize = 12;

#[derive(Clone, Debug)]
struct Told {
    word: Word,
    size: usize,
    times: u32,
    /// Newer first among those told as often.
    number: u64,
}

/// What a word is about: a newer one takes the place of the older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum About {
    State(Place),
    Row(Place),
    Page,
}

/// Bounded by its keys: two a router and one for the page.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    told: BTreeMap<About, Told>,
    /// The same in the order in which they are told.
    order: BTreeSet<(u32, u64, About)>,
    next: u64,
}

fn about(word: &Word) -> Option<About> {
    match word {
        Word::Rumour(rumour) => Some(About::State(rumour.place)),
        Word::Row(row) => Some(About::Row(row.place)),
        Word::Chosen { .. } => Some(About::Page),
        _ => None,
    }
}

impl Told {
    fn rank(&self, about: About) -> (u32, u64, About) {
        // What a router says of itself waits for who is there and who is not.
        let waits = if matches!(about, About::Row(_)) { ROWS_WAIT } else { 0 };
        (self.times + waits, u64::MAX - self.number, about)
    }
}

impl Rumours {
    /// Passes a word on from now; the one before on the same matter is dropped.
    pub fn add(&mut self, word: Word) {
        let Some(about) = about(&word) else { return };
        self.next += 1;
        let size = size(&word);
        let told = Told { word, size, times: 0, number: self.next };
        self.order.insert(told.rank(about));
        if let Some(old) = self.told.insert(about, told) {
            self.order.remove(&old.rank(about));
        }
    }

    /// What goes with the next datagram into `room` bytes, among so many routers.
    pub fn take(&mut self, room: usize, routers: usize) -> Vec<Word> {
        let most = (TELLS * (routers as f64 + 1.0).log10()).ceil().max(3.0) as u32;
        let (mut left, mut taken) = (room, Vec::new());
        for (_, _, about) in &self.order {
            let Some(told) = self.told.get(about) else { continue };
            if told.size <= left {
                left -= told.size;
                taken.push(*about);
            } else if left < LEAST {
                break;
            }
        }
        let tell = |about: &About| {
            let told = self.told.get_mut(about)?;
            self.order.remove(&told.rank(*about));
            told.times += 1;
            if told.times >= most {
                return self.told.remove(about).map(|told| told.word);
            }
            self.order.insert(told.rank(*about));
            Some(told.word.clone())
        };
        taken.iter().filter_map(tell).collect()
    }

    pub fn len(&self) -> usize {
        self.told.len()
    }

    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }
}
