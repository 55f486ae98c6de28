//! What is shared out: who needs how much, and how the next page splits it.
//!
//! The first thing is the right to send to fresh workers. It is lent in whole pieces, since less than one dispatch
//! is none, and has no floor. Each further thing is split by need beyond a floor that every configured place keeps.

use std::collections::BTreeMap;

use crate::page::{Page, Seat, WHOLE};
use crate::words::{Life, Place};

/// What one router wants of each thing, in units a second that all routers count alike.
pub type Needs = Vec<f64>;

/// What a router may use now.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// Routers to reckon with, and the own rank among them.
    pub routers: usize,
    pub rank: usize,
    /// Of each thing, as a share of the whole, floor included.
    pub shares: Vec<f64>,
    /// Until when on the own clock that holds without another word; then the floor alone does.
    pub until_ms: f64,
    pub page: u64,
}

/// Part of the way to what need asks for that one page goes. Guards against shares that swing with every gust of
/// traffic. Harm: who suddenly needs more waits for some pages.
const STEP: f64 = 0.5;
/// Need that everyone is held to have, as a part of the mean: nobody is lent nothing.
const LEAST: f64 = 0.1;

/// Splits all things among those seated.
pub fn split(
    number: u64,
    roster: &BTreeMap<Place, (Life, Needs)>,
    before: Option<&Page>,
    things: usize,
    pieces: usize,
) -> Page {
    let pieces = pieces.min(usize::from(u16::MAX));
    let mut seats: Vec<Seat> = roster
        .iter()
        .map(|(place, (life, _))| Seat { place: *place, life: *life, parts: Vec::new() })
        .collect();
    for thing in 0..things {
        let need = |seat: &Seat| roster[&seat.place].1.get(thing).copied().unwrap_or(0.0).max(0.0);
        let old = |seat: &Seat| {
            let seat = before.and_then(|page| page.seat(seat.place)).filter(|old| old.life == seat.life);
            seat.and_then(|seat| seat.parts.get(thing)).copied().unwrap_or(0)
        };
        let parts = match thing {
            0 => whole_pieces(&seats, pieces, need, old),
            _ => by_need(&seats, need, old, before.is_some()),
        };
        seats.iter_mut().zip(parts).for_each(|(seat, part)| seat.parts.push(part));
    }
    Page { number, pieces: pieces as u16, seats, extra: Vec::new() }
}

/// Evenly as far as it goes; the rest to those who hold one already, then to those who need most.
fn whole_pieces(
    seats: &[Seat],
    pieces: usize,
    need: impl Fn(&Seat) -> f64,
    old: impl Fn(&Seat) -> u16,
) -> Vec<u16> {
    let all = seats.len().max(1);
    let (each, rest) = (pieces / all, pieces % all);
    let mut order: Vec<usize> = (0..seats.len()).collect();
    let holds = |row: &usize| usize::from(old(&seats[*row])) > each;
    order.sort_by(|a, b| {
        let by_need = need(&seats[*b]).total_cmp(&need(&seats[*a]));
        holds(b).cmp(&holds(a)).then(by_need).then(a.cmp(b))
    });
    let mut parts = vec![each as u16; seats.len()];
    order.iter().take(rest).for_each(|row| parts[*row] += 1);
    parts
}

fn by_need(seats: &[Seat], need: impl Fn(&Seat) -> f64, old: impl Fn(&Seat) -> u16, moves: bool) -> Vec<u16> {
    let mean = seats.iter().map(&need).sum::<f64>() / seats.len().max(1) as f64;
    let wants: Vec<f64> = seats.iter().map(|seat| need(seat).max(LEAST * mean).max(1e-9)).collect();
    let sum: f64 = wants.iter().sum();
    let held: f64 = seats.iter().map(|seat| f64::from(old(seat))).sum();
    let whole = f64::from(WHOLE);
    let mut parts: Vec<f64> = seats
        .iter()
        .zip(wants)
        .map(|(seat, want)| {
            let target = whole * want / sum;
            let from = f64::from(old(seat));
            if moves {
                from + STEP * (target - from)
            } else {
                target
            }
        })
        .collect();
    // What those who are gone held goes to the others at once.
    let now: f64 = parts.iter().sum();
    if held < whole && now > 0.0 {
        parts.iter_mut().for_each(|part| *part *= whole / now);
    }
    parts.into_iter().map(|part| part.floor().clamp(0.0, whole) as u16).collect()
}

/// Whether another page is worth its while: somebody came, went or started anew, or a share is off by an eighth of
/// an even one and more, or what it carries for others is another.
pub fn differs(now: &Page, wanted: &Page) -> bool {
    let same = now.seats.len() == wanted.seats.len()
        && now.pieces == wanted.pieces
        && now
            .seats
            .iter()
            .zip(&wanted.seats)
            .all(|(a, b)| (a.place, a.life, a.parts.len()) == (b.place, b.life, b.parts.len()));
    let slack = f64::from(WHOLE) / now.seats.len().max(1) as f64 / 8.0;
    let off = |(a, b): (&Seat, &Seat)| {
        a.parts.iter().zip(&b.parts).skip(1).any(|(a, b)| (f64::from(*a) - f64::from(*b)).abs() > slack)
    };
    !same || now.extra != wanted.extra || now.seats.iter().zip(&wanted.seats).any(off)
}
