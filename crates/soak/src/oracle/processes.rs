//! Processes: exits, readiness, and what they hold once all has healed.

use super::{Case, Rule, Violation};
use crate::record::Life;

/// Nine in ten restarted processes are ready within this, in ms.
const READY_MS: f64 = 10_000.0;
const READY_SHARE: f64 = 0.9;
/// Beyond what it held before, in descriptors and MiB.
const DESCRIPTORS: usize = 16;
const MEMORY_MIB: f64 = 32.0;

pub(super) fn judge(case: &Case, found: &mut Vec<Violation>) {
    let (mut started, mut in_time) = (0, 0);
    for (router, lives) in case.seen.lives.iter().enumerate() {
        let mut say = |rule, at_ms, what| {
            found.push(Violation { rule, at_ms, router: Some(router), request: None, what });
        };
        for life in lives {
            if let Some((at_ms, code)) = life.ended.filter(|_| life.killed_ms.is_none()) {
                if code != Ok(0) || life.terminated_ms.is_none() {
                    say(Rule::Crash, at_ms, format!("a process ended by itself: {}", exit(code)));
                }
            }
            if let Some(ready) = readiness(life) {
                started += 1;
                in_time += usize::from(ready);
            }
            if let Some(((files, mib), (files_before, mib_before))) = life.after.zip(life.before) {
                if files > files_before + DESCRIPTORS || mib > mib_before + MEMORY_MIB {
                    let what = format!(
                        "{files} descriptors and {mib:.1} MiB after healing, {files_before} and {mib_before:.1} before"
                    );
                    say(Rule::NotHealed, case.end_ms(), what);
                }
            }
        }
    }
    if (in_time as f64) < READY_SHARE * started as f64 {
        let what = format!("{in_time} of {started} processes were ready within {READY_MS:.0} ms");
        found.push(Violation { rule: Rule::Readiness, at_ms: 0.0, router: None, request: None, what });
    }
    for note in &case.seen.notes {
        let what = note.clone();
        found.push(Violation {
            rule: Rule::NotHealed,
            at_ms: case.end_ms(),
            router: None,
            request: None,
            what,
        });
    }
}

fn exit(code: Result<i32, i32>) -> String {
    match code {
        Ok(code) => format!("exit code {code}"),
        Err(signal) => format!("signal {signal}"),
    }
}

/// Whether a process was ready in time; none where it had not that time.
fn readiness(life: &Life) -> Option<bool> {
    match life.ready_ms {
        Some(ready_ms) => Some(ready_ms - life.started_ms <= READY_MS),
        None => {
            let until_ms = life.killed_ms.or(life.terminated_ms).unwrap_or(f64::INFINITY);
            (until_ms - life.started_ms > READY_MS).then_some(false)
        }
    }
}
