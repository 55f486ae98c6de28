use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The response header that carries a load report, as published for ORCA.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// A load report: published utilizations, and named metrics of the serving engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mem_utilization: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub application_utilization: Option<f64>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub named_metrics: BTreeMap<String, f64>,
}

/// Names of the metrics that a report may carry.
pub const RUNNING_REQUESTS: &str = "num_requests_running";
pub const WAITING_REQUESTS: &str = "num_requests_waiting";
pub const WAITING_TOKENS: &str = "num_tokens_waiting";

impl Load {
    /// In the published JSON form of the header.
    pub fn to_header(&self) -> String {
        format!("JSON {}", serde_json::to_string(self).unwrap_or_default())
    }

    /// None for a header that is not in the JSON form or holds a figure that is none.
    pub fn from_header(value: &str) -> Option<Load> {
        let load: Load = serde_json::from_str(value.strip_prefix("JSON ")?).ok()?;
        let figures = [load.mem_utilization, load.application_utilization];
        let good = |value: &f64| value.is_finite() && *value >= 0.0;
        let all = figures.iter().flatten().chain(load.named_metrics.values()).all(good);
        all.then_some(load)
    }

    pub fn metric(&self, name: &str) -> Option<f64> {
        self.named_metrics.get(name).copied()
    }
}
