//! Watches the files that operators edit: the list of servers and the settings. Each is read once it has settled, and
//! applied whole or not at all.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use paddleproxy_membership::{reload, SourceId};
use paddleproxy_routing::AdmissionLimits;
use paddleproxy_settings as documents;
use paddleproxy_settings::router::RouterSettings;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::front::Front;
use crate::words::{ToCore, Told};
use crate::Watched;

/// How often a file is looked at whatever the system tells of it, and how long it must stay the same to count as
/// written.
const POLL: Duration = Duration::from_millis(500);
const SETTLED: Duration = Duration::from_millis(30);

/// What was seen of a file: a text and its fingerprint, or why there is none.
type Seen = Result<(String, u64), String>;

/// One file, and what was last seen of it.
struct File {
    path: PathBuf,
    events: mpsc::Receiver<()>,
    /// Dropped with the file; without one the poll does it alone.
    _watcher: Option<RecommendedWatcher>,
    last: Option<Result<u64, String>>,
}

impl File {
    fn new(path: PathBuf) -> Self {
        // One waiting event says as much as many.
        let (sender, events) = mpsc::channel(1);
        let told = move |event: notify::Result<notify::Event>| {
            // Our own reads are told too; to answer them with another read would never end.
            if matches!(&event, Ok(event) if event.kind.is_access()) {
                return;
            }
            // One that waits already says the same.
            let _ = sender.try_send(());
        };
        // The folder, so that renames over the file and swapped links are seen.
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let watcher = notify::recommended_watcher(told).and_then(|mut watcher| {
            watcher.watch(folder, RecursiveMode::NonRecursive)?;
            Ok(watcher)
        });
        if let Err(cause) = &watcher {
            warn!(file = %path.display(), %cause, "no word of changes; it is looked at twice a second");
        }
        File { path, events, _watcher: watcher.ok(), last: None }
    }

    async fn read(&self) -> Seen {
        let path = self.path.clone();
        // A disk that hangs must not hold up the router.
        let read = tokio::task::spawn_blocking(move || documents::read_text(&path)).await;
        let text = read.map_err(|cause| cause.to_string())?.map_err(|cause| cause.to_string())?;
        let fingerprint = xxh3_64(text.as_bytes());
        Ok((text, fingerprint))
    }

    /// Waits until the file says something new and has stayed so for a moment; None where it only is still there.
    async fn next(&mut self) -> Option<Seen> {
        if self.last.is_some() && timeout(POLL, self.events.recv()).await.is_ok() {
            // Whatever goes on in the folder, it is not read in a tight loop.
            sleep(SETTLED).await;
        }
        let mut seen = self.read().await;
        loop {
            let known = seen.as_ref().map(|(_, fingerprint)| *fingerprint).map_err(Clone::clone);
            if self.last.as_ref() == Some(&known) {
                return None;
            }
            sleep(SETTLED).await;
            let again = self.read().await;
            if again == seen {
                self.last = Some(known);
                return Some(seen);
            }
            seen = again;
        }
    }
}

/// Follows the operators' list of servers as long as the router runs.
pub async fn servers(path: PathBuf, core: ToCore) {
    let mut file = File::new(path);
    let name = file.path.display().to_string();
    loop {
        let told = match file.next().await {
            None if matches!(file.last, Some(Ok(_))) => Told::ListSpoke { source: SourceId::File },
            None => continue,
            // It may be gone for the moment between two names; what stood stands.
            Some(Err(why)) => Told::ListUnreadable { source: SourceId::File, why },
            Some(Ok((text, fingerprint))) => match documents::servers::parse(&name, &text) {
                Err(problems) => Told::ListUnreadable { source: SourceId::File, why: problems.to_string() },
                Ok(list) => {
                    let (next, _) = oneshot::channel();
                    Told::List { source: SourceId::File, list, fingerprint: Some(fingerprint), next }
                }
            },
        };
        if core.send(told).await.is_err() {
            return;
        }
    }
}

/// Follows the settings as long as the router runs.
pub async fn settings(watched: Watched, started: Rc<RouterSettings>, front: Rc<Front>) {
    let name = watched.file.display().to_string();
    let good = started.state_dir.join("router.good.kdl");
    let (mut stands, mut decisions) = ((*started).clone(), started.decisions.clone());
    let mut file = File::new(watched.file);
    loop {
        let Some(Ok((text, _))) = file.next().await else { continue };
        let refuse = |why: String| {
            warn!(why, "settings refused; those that stood stand");
            let mut refused = front.settings_refused.borrow_mut();
            *refused = (refused.0 + 1, Some(why));
        };
        let new = match documents::router::parse(&name, &text) {
            Ok(new) => new,
            Err(problems) => {
                refuse(problems.to_string());
                continue;
            }
        };
        let applied = match reload::apply(&stands, &decisions, &new) {
            Ok(applied) => applied,
            Err(fixed) => {
                refuse(fixed.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "));
                continue;
            }
        };
        if let Some(Err(why)) = new.log.as_deref().map(&watched.log) {
            refuse(format!("'log': {why}"));
            continue;
        }
        if !applied.same {
            let (settings, rows) = (&applied.settings, applied.settings.workload_rows.clone());
            let workloads = applied.decisions.workloads.clone();
            // The decisions first: no request may be told to them by a row that they don't have.
            let told = Told::Settings { decisions: Box::new(applied.decisions.clone()) };
            if front.core.send(told).await.is_err() {
                return;
            }
            let mut bounds = AdmissionLimits::from_settings(settings);
            bounds.workload_values = workloads.iter().map(|workload| workload.value).collect();
            front.admission.borrow_mut().set_limits(bounds);
            front.requests.borrow_mut().update_settings(settings.names.clone(), workloads, rows);
            front.settings_taken.set(front.settings_taken.get() + 1);
            info!("settings taken");
            (stands, decisions) = (applied.settings, applied.decisions);
        }
        let good = good.clone();
        let kept = tokio::task::spawn_blocking(move || write_whole(&good, text.as_bytes())).await;
        if let Ok(Err(cause)) = kept {
            warn!(%cause, "the settings could not be kept for another start");
        }
    }
}

/// Writes a file whole or not at all.
pub fn write_whole(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    use std::io::Write;
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    let mut file = std::fs::File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(new, path)
}
