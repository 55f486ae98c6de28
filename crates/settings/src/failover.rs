//! The block `failover` of a router: the region of each zone, the cost of each pair of zones, and how many
//! sessions a plan may move.

use paddleproxy_failover::Topology;

use crate::reader::{Block, Share};

#[derive(Clone, Debug, PartialEq)]
pub struct FailoverSettings {
    pub topology: Topology,
    /// Share of a zone's spare capacity that is never given to sessions of other zones.
    pub reserve: f64,
    /// Largest shares of a zone's sessions that one plan moves away and brings back.
    pub max_step_out: f64,
    pub max_step_back: f64,
    /// For comparison in experiments: each router decides alone, from its own evidence.
    pub own_evidence_only: bool,
    /// For comparison in experiments: evidence is ignored, only operator commands move sessions.
    pub commands_only: bool,
}

/// Cost of a pair without `cost`: within a region, and between regions.
const COST_WITHIN_REGION: f64 = 1.0;
const COST_BETWEEN_REGIONS: f64 = 10.0;
/// Most zones that a plan can represent.
const MAX_ZONES: usize = 64;

pub(crate) fn read(block: &Block, zones: &[String]) -> FailoverSettings {
    let zone_index = |name: &str| zones.iter().position(|zone| zone == name);
    let mut regions: Vec<Option<u8>> = vec![None; zones.len()];
    for (row, region) in block.blocks("region").into_iter().enumerate() {
        let name = region.argument::<String>().unwrap_or_default();
        for zone in region.arguments::<String>() {
            match zone_index(&zone) {
                Some(index) if regions[index].is_none() => regions[index] = Some(row as u8),
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
    if zones.len() > MAX_ZONES {
        block.problem(format!("more than {MAX_ZONES} zones"));
    }
    let regions: Vec<u8> = regions.into_iter().map(|region| region.unwrap_or(0)).collect();
    let cost = |from: usize, to: usize| match (from == to, regions[from] == regions[to]) {
        (true, _) => 0.0,
        (_, true) => COST_WITHIN_REGION,
        _ => COST_BETWEEN_REGIONS,
    };
    let mut costs: Vec<Vec<f64>> =
        (0..zones.len()).map(|from| (0..zones.len()).map(|to| cost(from, to)).collect()).collect();
    for pair in block.blocks("cost") {
        let (from, to) = (pair.argument::<String>(), pair.argument::<String>());
        let value = pair.argument::<f64>().unwrap_or(f64::NAN);
        match (from.as_deref().and_then(zone_index), to.as_deref().and_then(zone_index)) {
            (Some(from), Some(to)) if from != to && value.is_finite() && value > 0.0 => {
                (costs[from][to], costs[to][from]) = (value, value);
            }
            _ => pair.problem("'cost' takes two zones of 'zones' and a number above 0"),
        }
        pair.reject_unknown();
    }
    let decides = block.optional::<String>("decides");
    if decides.as_deref().is_some_and(|mode| !["common", "alone", "told"].contains(&mode)) {
        block.problem_of(
            "decides",
            "'decides' is one of common, alone, told; the last two are for comparison in experiments",
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
                format!("'{name}' must be 0.01 at least: steps that move no sessions never finish"),
            );
        }
    }
    settings
}
