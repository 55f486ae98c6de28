//! Checks the router processes: exits, readiness, and the resources that they hold after all troubles have
//! ended.

use super::{CheckContext, Rule, Violation};
use crate::record::RouterProcess;

/// [`READY_SHARE`] of the started processes are ready within this, in ms.
const READY_LIMIT_MS: f64 = 10_000.0;
const READY_SHARE: f64 = 0.9;
/// A process may hold this much more than before the troubles, in descriptors and MiB.
const EXTRA_DESCRIPTORS: usize = 16;
const EXTRA_MEMORY_MIB: f64 = 32.0;

pub(super) fn check(context: &CheckContext, found: &mut Vec<Violation>) {
    let (mut started, mut ready_in_time) = (0, 0);
    for (router, processes) in context.observed.processes.iter().enumerate() {
        let mut add = |rule, at_ms, what| {
            found.push(Violation { rule, at_ms, router: Some(router), request: None, what });
        };
        for process in processes {
            if let Some((at_ms, code)) = process.ended.filter(|_| process.killed_ms.is_none()) {
                if code != Ok(0) || process.terminated_ms.is_none() {
                    add(Rule::Crash, at_ms, format!("a process ended unexpectedly: {}", exit_text(code)));
                }
            }
            if let Some(ready) = readiness(process) {
                started += 1;
                ready_in_time += usize::from(ready);
            }
            if let Some(((files, mib), (files_before, mib_before))) = process.after.zip(process.before) {
                if files > files_before + EXTRA_DESCRIPTORS || mib > mib_before + EXTRA_MEMORY_MIB {
                    let what = format!(
                        "{files} descriptors and {mib:.1} MiB after recovery, {files_before} and \
                         {mib_before:.1} before"
                    );
                    add(Rule::NotHealed, context.end_ms(), what);
                }
            }
        }
    }
    if (ready_in_time as f64) < READY_SHARE * started as f64 {
        let what = format!("{ready_in_time} of {started} processes were ready within {READY_LIMIT_MS:.0} ms");
        found.push(Violation { rule: Rule::Readiness, at_ms: 0.0, router: None, request: None, what });
    }
    for note in &context.observed.notes {
        let what = note.clone();
        found.push(Violation {
            rule: Rule::NotHealed,
            at_ms: context.end_ms(),
            router: None,
            request: None,
            what,
        });
    }
}

fn exit_text(code: Result<i32, i32>) -> String {
    match code {
        Ok(code) => format!("exit code {code}"),
        Err(signal) => format!("signal {signal}"),
    }
}

/// Whether a process was ready in time; none if it was ended before [`READY_LIMIT_MS`] had passed.
fn readiness(process: &RouterProcess) -> Option<bool> {
    match process.ready_ms {
        Some(ready_ms) => Some(ready_ms - process.started_ms <= READY_LIMIT_MS),
        None => {
            let until_ms = process.killed_ms.or(process.terminated_ms).unwrap_or(f64::INFINITY);
            (until_ms - process.started_ms > READY_LIMIT_MS).then_some(false)
        }
    }
}
