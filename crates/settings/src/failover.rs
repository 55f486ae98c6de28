//! The block `failover` of a router: which zone is in which region, what each pair costs, and how calm the hands are.

use paddleproxy_failover::Topology;

use crate::reader::{Block, Share};

#[derive(Clone, Debug, PartialEq)]
pub struct FailoverSettings {
    pub topology: Topology,
    /// Part of a zone's room beyond its own demand that is never given to others.
    pub reserve: f64,
    /// Most of a zone's sessions that one step moves out, and back.
    pub max_step_out: f64,
    pub max_step_back: f64,
    /// Each router by its own evidence, without a page: to compare with.
    pub own_evidence_only: bool,
    /// By operators' words only, whatever is seen: to compare with.
    pub commands_only: bool,
}

/// Cost of a pair that is not named: inside a region, and across.
const NEAR: f64 = 1.0;
const ACROSS: f64 = 10.0;
/// Zones that a plan can tell apart.
const ZONES_MAX: usize = 64;

pub(crate) fn read(block: &Block, zones: &[String]) -> FailoverSettings {
    let number = |name: &str| zones.iter().position(|zone| zone == name);
    let mut regions: Vec<Option<u8>> = vec![None; zones.len()];
    for (row, region) in block.blocks("region").into_iter().enumerate() {
        let name = region.argument::<String>().unwrap_or_default();
        for zone in region.arguments::<String>() {
            match number(&zone) {
                Some(zone_row) if regions[zone_row].is_none() => regions[zone_row] = Some(row as u8),
                Some(_) => {
                    region.problem(format!("zone \"{zone}\" stands in two regions, \"{name}\" is one"))
                }
                None => region.problem(format!("region \"{name}\": \"{zone}\" is no zone of 'zones'")),
            }
        }
        region.reject_unknown();
    }
    let missing: Vec<&str> =
        zones.iter().zip(&regions).filter(|(_, region)| region.is_none()).map(|(zone, _)| &**zone).collect();
    if !missing.is_empty() {
        block.problem(format!("in no region: {}; name each zone in one 'region'", missing.join(", ")));
    }
    if zones.len() > ZONES_MAX {
        block.problem(format!("more than {ZONES_MAX} zones"));
    }
    let regions: Vec<u8> = regions.into_iter().map(|region| region.unwrap_or(0)).collect();
    let cost = |from: usize, to: usize| match (from == to, regions[from] == regions[to]) {
        (true, _) => 0.0,
        (_, true) => NEAR,
        _ => ACROSS,
    };
    let mut costs: Vec<Vec<f64>> =
        (0..zones.len()).map(|from| (0..zones.len()).map(|to| cost(from, to)).collect()).collect();
    for pair in block.blocks("cost") {
        let (from, to) = (pair.argument::<String>(), pair.argument::<String>());
        let price = pair.argument::<f64>().unwrap_or(f64::NAN);
        match (from.as_deref().and_then(number), to.as_deref().and_then(number)) {
            (Some(from), Some(to)) if from != to && price.is_finite() && price > 0.0 => {
                (costs[from][to], costs[to][from]) = (price, price);
            }
            _ => pair.problem("'cost' takes two zones of 'zones' and a number above 0"),
        }
        pair.reject_unknown();
    }
    let decides = block.optional::<String>("decides");
    if decides.as_deref().is_some_and(|way| !["common", "alone", "told"].contains(&way)) {
        block.problem_of(
            "decides",
            "'decides' is one of common, alone, told; the last two are to compare with",
        );
    }
    let share = |name, otherwise| block.optional::<Share>(name).map_or(otherwise, |share| share.0);
    let settings = FailoverSettings {
        topology: Topology { regions, costs },
        reserve: share("reserve", 0.25),
        max_step_out: share("out", 0.5),
        max_step_back: share("back", 0.1),
        own_evidence_only: decides.as_deref() == Some("alone"),
        commands_only: decides.as_deref() == Some("told"),
    };
    for (name, value) in [("out", settings.max_step_out), ("back", settings.max_step_back)] {
        if value < 0.01 {
            block.problem_of(
                name,
                format!("'{name}' must be 0.01 at least: a step that moves nobody never ends"),
            );
        }
    }
    settings
}
