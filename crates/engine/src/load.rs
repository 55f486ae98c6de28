//! Load reports of servers, in the format of ORCA.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The response header that carries a load report, as defined by ORCA.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// A load report: the utilizations that ORCA defines, and named metrics of the inference engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mem_utilization: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub application_utilization: Option<f64>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub named_metrics: BTreeMap<String, f64>,
}

/// Names of the metrics that the router uses from a report.
pub const RUNNING_REQUESTS: &str = "num_requests_running";
pub const WAITING_REQUESTS: &str = "num_requests_waiting";
pub const WAITING_TOKENS: &str = "num_tokens_waiting";

impl Load {
    /// The value of [`LOAD_HEADER`], in its JSON format.
    pub fn to_header(&self) -> String {
        format!("JSON {}", serde_json::to_string(self).unwrap_or_default())
    }

    /// Parses the value of [`LOAD_HEADER`]. None if it is not in the JSON format, or a value is negative or
    /// not finite.
    pub fn from_header(value: &str) -> Option<Load> {
        let load: Load = serde_json::from_str(value.strip_prefix("JSON ")?).ok()?;
        let utilizations = [load.mem_utilization, load.application_utilization];
        let valid = |value: &f64| value.is_finite() && *value >= 0.0;
        let all_valid = utilizations.iter().flatten().chain(load.named_metrics.values()).all(valid);
        all_valid.then_some(load)
    }

    pub fn metric(&self, name: &str) -> Option<f64> {
        self.named_metrics.get(name).copied()
    }
}
