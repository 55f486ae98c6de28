//! The protocol of the operators' platform, without I/O: a router's configuration and settings, HTTP heads
//! and their fields, chunked bodies, event streams, discovery lists, load reports, and the outcome that each
//! response of a server stands for. `docs/design/platform.md` describes it; the drill shares the settings and
//! the load reports.

pub mod chunks;
pub mod config;
pub mod events;
pub mod head;
pub mod list;
pub mod report;
pub mod request;
pub mod settings;
pub mod start_times;

pub use chunks::Chunks;
pub use config::Config;
pub use events::Events;
pub use head::{Fields, Framing, RequestError, RequestHead, ResponseHead};
pub use list::List;
pub use settings::PlatformSettings;
pub use start_times::StartTimes;

/// Longest request or response body that the platform's protocol allows.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Longest head that is parsed; a longer one is rejected.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most header fields of a head.
pub const MAX_HEAD_FIELDS: usize = 64;

/// Parses `text` as exactly one JSON value; an error begins with `what` and names the path to the field.
fn parse_json<T: serde::de::DeserializeOwned>(what: &str, text: &[u8]) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|cause| {
        let path = cause.path().to_string();
        let path = if path == "." { String::new() } else { format!("{path}: ") };
        format!("{what}: {path}{}", cause.into_inner())
    })?;
    json.end().map_err(|cause| format!("{what}: trailing data: {cause}"))?;
    Ok(value)
}
