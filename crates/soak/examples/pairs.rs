//! Which pairs of troubles were on at once in the plays of these seeds: `pairs -- 30 100-124 200-239 ...`, with the
//! length of the plays in s. Prints a line a pair that was tried, and then how many were not, by kind.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use paddleproxy_soak::plan::{Kind, Plan};

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let length_s: f64 = arguments.next().context("the length of the plays is missing")?.parse()?;
    let kinds = Kind::all();
    let mut tried = BTreeMap::<(Kind, Kind), usize>::new();
    let mut plays = 0;
    for range in arguments {
        let (first, last) = range.split_once('-').context("a range of seeds is FIRST-LAST")?;
        for seed in first.parse::<u64>()?..=last.parse()? {
            plays += 1;
            for pair in Plan::draw(seed, length_s, None, &kinds).pairs() {
                *tried.entry(pair).or_default() += 1;
            }
        }
    }
    for ((one, other), count) in &tried {
        println!("{} + {}: {count}", one.name(), other.name());
    }
    let all = kinds.len() * (kinds.len() + 1) / 2;
    println!("{plays} plays, {} of {all} pairs tried, {} never", tried.len(), all - tried.len());
    for kind in &kinds {
        let partners = kinds.iter().filter(|other| {
            let pair = (*kind.min(other), *kind.max(other));
            !tried.contains_key(&pair)
        });
        println!("{}: never with {} of {}", kind.name(), partners.count(), kinds.len());
    }
    Ok(())
}
