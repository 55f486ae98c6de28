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
fn all_cores_find_what_one_does_and_a_run_goes_on_where_it_was_cut() {
    let settings = settings();
    let mut alone = Vec::new();
    for point in points(&settings) {
        for seed in 1..=settings.seeds {
            let figures = play(&settings.day, &point, seed).unwrap();
            alone.push(Row { point: title(&point), seed, figures });
        }
    }
    alone.sort_by(|a, b| (&a.point, a.seed).cmp(&(&b.point, b.seed)));
    let dir = tempfile::tempdir().unwrap();
    let csv = dir.path().join("runs.csv");
    assert_eq!(experiment(&settings, &csv, |_, _| {}).unwrap(), alone);
    // Cut off within the last line.
    let text = std::fs::read_to_string(&csv).unwrap();
    std::fs::write(&csv, &text[..text.len() - 30]).unwrap();
    let played = std::cell::Cell::new(0);
    let again =
        experiment(&settings, &csv, |done, _| played.set(played.get() + usize::from(done > 7))).unwrap();
    assert_eq!((again, played.get()), (alone, 1));
}

#[test]
fn the_interval_is_students() {
    let (mean, half) = interval(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    // t(0.975, 4) is 2.776, the standard error sqrt(2.5 / 5).
    assert!((mean - 3.0).abs() < 1e-12 && (half - 2.776 * 0.5f64.sqrt()).abs() < 1e-3, "{half}");
    assert!(interval(&[1.0]).1.is_nan());
}
