//! Tests of the module `experiment`.

use super::*;

fn settings() -> ExperimentSettings {
    let text = r#"experiment "small" {
        question "?"
        day "../../days/crash.kdl"
        seeds 2
        policies "design" "least-own"
        load 0.3 0.6
    }"#;
    let read = paddleproxy_settings::experiment::parse("small.kdl", text).unwrap();
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join(&read.day);
    ExperimentSettings { day, ..read }
}

#[test]
fn parallel_runs_match_sequential_ones_and_a_truncated_file_is_resumed() {
    let settings = settings();
    let mut sequential = Vec::new();
    for point in points(&settings) {
        for seed in 1..=settings.seeds {
            let figures = play(&settings.day, &point, seed).unwrap();
            sequential.push(Row { point: title(&point), seed, figures });
        }
    }
    sequential.sort_by(|a, b| (&a.point, a.seed).cmp(&(&b.point, b.seed)));
    let dir = tempfile::tempdir().unwrap();
    let csv = dir.path().join("runs.csv");
    assert_eq!(experiment(&settings, &csv, |_, _| {}).unwrap(), sequential);
    // Truncates the file within its last line, as an interrupted experiment does.
    let text = std::fs::read_to_string(&csv).unwrap();
    std::fs::write(&csv, &text[..text.len() - 30]).unwrap();
    let played = std::cell::Cell::new(0);
    let resumed =
        experiment(&settings, &csv, |done, _| played.set(played.get() + usize::from(done > 7))).unwrap();
    assert_eq!((resumed, played.get()), (sequential, 1));
}

#[test]
fn the_interval_uses_students_t() {
    let (mean, half) = interval(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    // t(0.975, 4) is 2.776; the standard error is sqrt(2.5 / 5).
    assert!((mean - 3.0).abs() < 1e-12 && (half - 2.776 * 0.5f64.sqrt()).abs() < 1e-3, "{half}");
    assert!(interval(&[1.0]).1.is_nan());
}
