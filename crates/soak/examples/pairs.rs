//! Counts the pairs of troubles that overlap in the plans of some seeds: `pairs -- 30 100-124 200-239 ...`,
//! with the length of the plays in s first. Prints a line for each pair that occurs, and then for each kind
//! the number of kinds with which it never overlaps.

use std::collections::BTreeMap;

use anyhow::{Context, Result};
use paddleproxy_soak::plan::{Kind, Plan};

fn main() -> Result<()> {
    let mut arguments = std::env::args().skip(1);
    let length_s: f64 = arguments.next().context("the length of the plays is missing")?.parse()?;
    let kinds = Kind::all();
    let mut counts = BTreeMap::<(Kind, Kind), usize>::new();
    let mut plays = 0;
    for range in arguments {
        let (first, last) = range.split_once('-').context("a range of seeds is FIRST-LAST")?;
        for seed in first.parse::<u64>()?..=last.parse()? {
            plays += 1;
            for pair in Plan::draw(seed, length_s, None, &kinds).pairs() {
                *counts.entry(pair).or_default() += 1;
            }
        }
    }
    for ((one, other), count) in &counts {
        println!("{} + {}: {count}", one.name(), other.name());
    }
    let all = kinds.len() * (kinds.len() + 1) / 2;
    println!("{plays} plays, {} of {all} pairs tried, {} never", counts.len(), all - counts.len());
    for kind in &kinds {
        let partners = kinds.iter().filter(|other| {
            let pair = (*kind.min(other), *kind.max(other));
            !counts.contains_key(&pair)
        });
        println!("{}: never with {} of {}", kind.name(), partners.count(), kinds.len());
    }
    Ok(())
}
