//! Shrinks the plan of a play that broke rules: fewer troubles, fewer routers and less time, as long as the
//! play still breaks one of the same rules.

use std::path::Path;

use anyhow::Result;

use crate::oracle::Rule;
use crate::plan::Plan;
use crate::play::play;
use crate::report::Report;

/// Number of times that a smaller plan is played: by chance a play may miss the violation.
const PLAYS_PER_PLAN: usize = 2;
/// Time without troubles after the last one, in s.
const QUIET_END_S: f64 = 4.0;

async fn still_broken(plan: &Plan, rules: &[Rule], program: &Path, dir: &Path) -> Result<bool> {
    for _ in 0..PLAYS_PER_PLAN {
        let report = Report::of(&play(plan, program, dir).await?);
        if report.rules().iter().any(|rule| rules.contains(rule)) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// The smallest plan found that still breaks one of these rules.
///
/// # Errors
/// A play can't be started.
pub async fn shrink(broken: Plan, rules: &[Rule], program: &Path, dir: &Path) -> Result<Plan> {
    let mut smallest = broken;
    let mut index = 0;
    while index < smallest.troubles.len() && smallest.troubles.len() > 1 {
        let mut fewer = smallest.clone();
        fewer.troubles.remove(index);
        match still_broken(&fewer, rules, program, dir).await? {
            true => smallest = fewer,
            false => index += 1,
        }
    }
    let last_s = smallest.troubles.iter().map(|trouble| trouble.at_s + trouble.for_s).fold(0.0, f64::max);
    let mut shorter = smallest.clone();
    shorter.length_s = shorter.length_s.min(last_s + QUIET_END_S);
    if shorter != smallest && still_broken(&shorter, rules, program, dir).await? {
        smallest = shorter;
    }
    let mut smaller = smallest.clone();
    smaller.routers = (smaller.routers / 2).max(2);
    if smaller != smallest && still_broken(&smaller, rules, program, dir).await? {
        smallest = smaller;
    }
    Ok(smallest)
}
