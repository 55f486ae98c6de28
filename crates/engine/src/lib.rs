//! What model servers speak: `POST /v1/completions` in the published OpenAI-compatible form, with the published
//! `kv_transfer_params` of disaggregated prefill and ORCA load reports, and a few calls of our own under `/x/`.
//! Encoding and decoding only; no I/O, no decision.

mod load;
mod sse;
mod wire;

pub use load::*;
pub use sse::{SseData, SseReader};
pub use wire::*;
