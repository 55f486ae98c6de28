//! The protocol of the model servers: the published OpenAI-compatible `POST /v1/completions` with the
//! published `kv_transfer_params` of disaggregated prefill and ORCA load reports, and a few calls under `/x/`
//! that only this project defines. Encoding and decoding only, without I/O or routing decisions.

mod load;
mod sse;
mod wire;

pub use load::*;
pub use sse::{SseData, SseReader};
pub use wire::*;
