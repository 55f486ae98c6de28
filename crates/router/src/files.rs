//! Watches the files that operators edit: the list of servers and the settings. A changed file is read once
//! it has stopped changing, and is applied completely or not at all.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use paddleproxy_membership::{reload, SourceId};
use paddleproxy_routing::AdmissionLimits;
use paddleproxy_settings::router::RouterSettings;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::{CoreEvent, CoreSender};
use crate::front::Front;
use crate::WatchedSettings;

/// How often a file is read even without a change event.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a file must stay unchanged to count as completely written.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// Result of reading a file: its text and fingerprint, or the error.
type ReadResult = Result<(String, u64), String>;

/// A watched file, and the result of its last reading.
struct WatchedFile {
    path: PathBuf,
    events: mpsc::Receiver<()>,
    /// Held so that it watches until the file is dropped; without one the file is only polled.
    _watcher: Option<RecommendedWatcher>,
    last: Option<Result<u64, String>>,
}

impl WatchedFile {
    fn new(path: PathBuf) -> Self {
        // One queued event is enough: it causes a read of the whole file.
        let (sender, events) = mpsc::channel(1);
        let on_event = move |event: notify::Result<notify::Event>| {
            // Our own reads cause access events; reading again on them would never end.
            if matches!(&event, Ok(event) if event.kind.is_access()) {
                return;
            }
            // If the queue is full, an event is already waiting.
            let _ = sender.try_send(());
        };
        // Watches the directory, so that renames over the file and replaced symlinks are noticed.
        let dir = path.parent().filter(|dir| !dir.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let watcher = notify::recommended_watcher(on_event).and_then(|mut watcher| {
            watcher.watch(dir, RecursiveMode::NonRecursive)?;
            Ok(watcher)
        });
        if let Err(cause) = &watcher {
            warn!(file = %path.display(), %cause, "file can't be watched; polling it twice a second");
        }
        WatchedFile { path, events, _watcher: watcher.ok(), last: None }
    }

    async fn read(&self) -> ReadResult {
        let path = self.path.clone();
        // On a blocking thread: a disk that hangs must not block the router.
        let read = tokio::task::spawn_blocking(move || paddleproxy_settings::read_text(&path)).await;
        let text = read.map_err(|cause| cause.to_string())?.map_err(|cause| cause.to_string())?;
        let fingerprint = xxh3_64(text.as_bytes());
        Ok((text, fingerprint))
    }

    /// Waits for the next poll or event; returns the content once it has changed and then stayed the same for
    /// `SETTLE_TIME`, `None` if it is unchanged.
    async fn next(&mut self) -> Option<ReadResult> {
        if self.last.is_some() && timeout(POLL_INTERVAL, self.events.recv()).await.is_ok() {
            // Limits the read rate under constant events in the directory.
            sleep(SETTLE_TIME).await;
        }
        let mut current = self.read().await;
        loop {
            let fingerprint = current.as_ref().map(|(_, hash)| *hash).map_err(Clone::clone);
            if self.last.as_ref() == Some(&fingerprint) {
                return None;
            }
            sleep(SETTLE_TIME).await;
            let again = self.read().await;
            if again == current {
                self.last = Some(fingerprint);
                return Some(current);
            }
            current = again;
        }
    }
}

/// Sends changes of the operators' list of servers to the core as long as the router runs.
pub async fn watch_servers(path: PathBuf, core: CoreSender) {
    let mut file = WatchedFile::new(path);
    let name = file.path.display().to_string();
    loop {
        let event = match file.next().await {
            None if matches!(file.last, Some(Ok(_))) => CoreEvent::ListUnchanged { source: SourceId::File },
            None => continue,
            // The file may be missing for a moment during a rename; the current list stays in force.
            Some(Err(why)) => CoreEvent::ListInvalid { source: SourceId::File, why },
            Some(Ok((text, fingerprint))) => match paddleproxy_settings::servers::parse(&name, &text) {
                Err(problems) => CoreEvent::ListInvalid { source: SourceId::File, why: problems.to_string() },
                Ok(list) => {
                    let (next, _) = oneshot::channel();
                    CoreEvent::ListReceived {
                        source: SourceId::File,
                        list,
                        fingerprint: Some(fingerprint),
                        next,
                    }
                }
            },
        };
        if core.send(event).await.is_err() {
            return;
        }
    }
}

/// Applies changes of the settings file as long as the router runs.
pub async fn watch_settings(watched: WatchedSettings, started: Rc<RouterSettings>, front: Rc<Front>) {
    let name = watched.file.display().to_string();
    let last_valid_file = started.state_dir.join("router.good.kdl");
    let (mut in_force, mut decisions) = ((*started).clone(), started.decisions.clone());
    let mut file = WatchedFile::new(watched.file);
    loop {
        let Some(Ok((text, _))) = file.next().await else { continue };
        let reject = |why: String| {
            warn!(why, "settings refused; the current settings stay in force");
            let mut rejected = front.settings_rejected.borrow_mut();
            *rejected = (rejected.0 + 1, Some(why));
        };
        let new = match paddleproxy_settings::router::parse(&name, &text) {
            Ok(new) => new,
            Err(problems) => {
                reject(problems.to_string());
                continue;
            }
        };
        let applied = match reload::apply(&in_force, &decisions, &new) {
            Ok(applied) => applied,
            Err(unchangeable) => {
                reject(unchangeable.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "));
                continue;
            }
        };
        if let Some(Err(why)) = new.log.as_deref().map(&watched.log) {
            reject(format!("'log': {why}"));
            continue;
        }
        if !applied.unchanged {
            let (settings, rows) = (&applied.settings, applied.settings.workload_rows.clone());
            let workloads = applied.decisions.workloads.clone();
            // The core first: no request may reach it with a workload row that it doesn't have yet.
            let event = CoreEvent::SettingsChanged { decisions: Box::new(applied.decisions.clone()) };
            if front.core.send(event).await.is_err() {
                return;
            }
            let mut limits = AdmissionLimits::from_settings(settings);
            limits.workload_values = workloads.iter().map(|workload| workload.value).collect();
            front.admission.borrow_mut().set_limits(limits);
            front.classifier.borrow_mut().update_settings(settings.names.clone(), workloads, rows);
            front.settings_applied.set(front.settings_applied.get() + 1);
            info!("settings applied");
            (in_force, decisions) = (applied.settings, applied.decisions);
        }
        let last_valid_file = last_valid_file.clone();
        let saved =
            tokio::task::spawn_blocking(move || write_atomic(&last_valid_file, text.as_bytes())).await;
        if let Ok(Err(cause)) = saved {
            warn!(%cause, "the settings could not be saved for the next start");
        }
    }
}

/// Writes a file atomically: to `.new` beside it, synced, then renamed over it.
pub fn write_atomic(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    use std::io::Write;
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    let mut file = std::fs::File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(new, path)
}
