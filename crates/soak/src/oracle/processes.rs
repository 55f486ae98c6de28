//! Processes: exits, readiness, and what they hold once all has healed.

use super::{Case, Rule, Violation};
use crate::record::RouterProcess;

/// Nine in ten restarted processes are ready within this, in ms.
const READY_MS: f64 = 10_000.0;
const READY_SHARE: f64 = 0.9;
/// Beyond what it held before, in descriptors and MiB.
const DESCRIPTORS: usize = 16;
const MEMORY_MIB: f64 = 32.0;

pub(super) fn check(case: &Case, found: &mut Vec<Violation>) {
    let (mut started, mut in_time) = (0, 0);
    for (router, processes) in case.observed.processes.iter().enumerate() {
        let mut say = |rule, at_ms, what| {
            found.push(Violation { rule, at_ms, router: Some(router), request: None, what });
        };
        for process in processes {
            if let Some((at_ms, code)) = process.ended.filter(|_| process.killed_ms.is_none()) {
                if code != Ok(0) || process.terminated_ms.is_none() {
                    say(Rule::Crash, at_ms, format!("a process ended by itself: {}", exit(code)));
                }
            }
            if let Some(ready) = readiness(process) {
                started += 1;
                in_time += usize::from(ready);
            }
            if let Some(((files, mib), (files_before, mib_before))) = process.after.zip(process.before) {
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
    for note in &case.observed.notes {
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
fn readiness(process: &RouterProcess) -> Option<bool> {
    match process.ready_ms {
        Some(ready_ms) => Some(ready_ms - process.started_ms <= READY_MS),
        None => {
            let until_ms = process.killed_ms.or(process.terminated_ms).unwrap_or(f64::INFINITY);
            (until_ms - process.started_ms > READY_MS).then_some(false)
        }
    }
}
