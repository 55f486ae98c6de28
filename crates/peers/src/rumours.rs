//! Words that are passed on with every datagram, the least told first, until each was told often enough for everyone
//! to have heard it.

use std::collections::BTreeMap;

use crate::words::{size, Place, Word};

/// Times a word is told, for each tenfold of routers.
const TELLS: f64 = 4.0;

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

impl Rumours {
    /// Passes a word on from now; the one before on the same matter is dropped.
    pub fn add(&mut self, word: Word) {
        let Some(about) = about(&word) else { return };
        self.next += 1;
        let size = size(&word);
        self.told.insert(about, Told { word, size, times: 0, number: self.next });
    }

    /// What goes with the next datagram into `room` bytes, among so many routers.
    pub fn take(&mut self, room: usize, routers: usize) -> Vec<Word> {
        let most = (TELLS * (routers as f64 + 1.0).log10()).ceil().max(3.0) as u32;
        let mut order: Vec<_> =
            self.told.iter().map(|(key, told)| (told.times, u64::MAX - told.number, *key)).collect();
        order.sort_unstable();
        let (mut left, mut words) = (room, Vec::new());
        for (_, _, key) in order {
            let Some(told) = self.told.get_mut(&key).filter(|told| told.size <= left) else { continue };
            left -= told.size;
            told.times += 1;
            words.push(told.word.clone());
            if told.times >= most {
                self.told.remove(&key);
            }
        }
        words
    }

    pub fn len(&self) -> usize {
        self.told.len()
    }

    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }
}
