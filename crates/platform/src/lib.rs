//! What the operators' platform speaks, free of I/O: a router's configuration and settings, heads and their fields,
//! bodies in chunks, streams of events, lists of discovery, load reports, and what each answer of a worker means.
//! `docs/design/platform.md` explains it; the drill shares the settings and the reports.

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

/// The most bytes of a body, of the platform's protocol.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// The most bytes of a head that is read to its end.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most fields of a head.
pub const MAX_HEAD_FIELDS: usize = 64;

/// Reads one JSON text whole; an error names the path to the field.
fn json<T: serde::de::DeserializeOwned>(what: &str, text: &[u8]) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|cause| {
        let path = cause.path().to_string();
        let path = if path == "." { String::new() } else { format!("{path}: ") };
        format!("{what}: {path}{}", cause.into_inner())
    })?;
    json.end().map_err(|cause| format!("{what}: after its end: {cause}"))?;
    Ok(read)
}
