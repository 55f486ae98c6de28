//! The stand-ins and clients of the cases 6 and following: `review-rig-2 CASE ROOT FOLDER`.
//! Exit 0: the rule held; 1: it was broken; 2: the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod client;
mod http;
mod platform;
mod rig;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::process::exit;

pub struct Setting {
    pub root: PathBuf,
    /// Temporary files: configurations and logs.
    pub dir: PathBuf,
    pub trouble: bool,
    pub seed: u64,
}

/// The rule held, or what broke it.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    // Whatever fails in the test itself, its code is 2.
    exit(catch_unwind(play).unwrap_or(2));
}

fn play() -> i32 {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, root, folder] = args.as_slice() else {
        eprintln!("review-rig-2 CASE ROOT FOLDER");
        return 2;
    };
    let dir = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let setting = Setting { root: PathBuf::from(root), dir: dir.clone(), trouble, seed };
    let record = rig::Record::new();
    record.note(format!("case {case}, trouble {trouble}, seed {seed}"));
    let run = AssertUnwindSafe(|| cases::run(case, &setting, &record));
    let verdict = catch_unwind(run).unwrap_or(Verdict::CouldNotRun("the test itself failed".into()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(why) => (1, format!("the rule was broken: {why}")),
        Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    record.note(text.clone());
    record.write(&PathBuf::from(folder).join("record.txt"));
    println!("{case}: {text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    code
}
