//! Whole days in virtual time: runs are reproducible, counts balance, and each trouble changes the figure it
//! should.

use std::path::Path;
use std::rc::Rc;

use paddleproxy_emulator::record::What;
use paddleproxy_emulator::troubles::expand_recurring;
use paddleproxy_emulator::{run, Options, Policy, Run};
use paddleproxy_settings::day::{load, DaySettings, Trouble, TroubleKind};

fn day(name: &str) -> Rc<DaySettings> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(format!("{name}.kdl"));
    Rc::new(load(&path).unwrap_or_else(|error| panic!("{error}")))
}

/// Finished answers per first attempt.
fn finished(run: &Run) -> f64 {
    let first_attempts =
        run.lines.iter().filter(|line| matches!(line.what, What::Asked { attempt: 0, .. })).count();
    let done = |what: &What| matches!(what, What::Final { how, .. } if how == "finished");
    run.lines.iter().filter(|line| done(&line.what)).count() as f64 / first_attempts.max(1) as f64
}

#[test]
fn the_same_seed_gives_the_same_record_and_another_does_not() {
    let day = day("short");
    let one = run(&day, &Options::default());
    let again = run(&day, &Options::default());
    assert!(one.lines == again.lines && one.events == again.events);
    let other = run(&day, &Options { seed: 2, ..Options::default() });
    assert!(one.lines != other.lines);
}

#[test]
fn dispatch_counts_balance_and_littles_law_holds() {
    for name in ["short", "zone-loss", "tenant-burst", "silent"] {
        let run = run(&day(name), &Options::default());
        let [arrived, served, rejected, dropped, open] = run.balance;
        assert_eq!(arrived, served + rejected + dropped + open, "{name}");
        assert!(
            (run.mean_in_system / run.rate_times_sojourn - 1.0).abs() < 0.2,
            "{name}: {run:?}",
            run = run.mean_in_system
        );
        assert_eq!((run.overdue, run.cut_short), (0, false), "{name}");
    }
}

#[test]
fn each_trouble_changes_its_figure() {
    let mut calm = (*day("crash")).clone();
    calm.troubles.clear();
    let calm = run(&Rc::new(calm), &Options::default());
    assert!(finished(&calm) > 0.97, "{}", finished(&calm));
    let count = |run: &Run, of: fn(&What) -> bool| run.lines.iter().filter(|line| of(&line.what)).count();
    let died = |what: &What| matches!(what, What::Died { .. });
    let broke = |what: &What| matches!(what, What::Broke { connected: true, .. });
    let left = |what: &What| matches!(what, What::Left { .. });
    let repeats = |what: &What| matches!(what, What::Dispatch { request, .. } if !request.ends_with(".0"));
    for (name, of) in [
        ("crash", died as fn(&What) -> bool),
        ("balancer-roll", broke),
        ("give-up", left),
        ("fast-errors", repeats),
        ("answer-lost", repeats),
        ("refuse", died),
    ] {
        let run = run(&day(name), &Options::default());
        assert!(count(&run, of) > count(&calm, of), "{name}");
    }
}

#[test]
fn unusual_fleets_and_rates_terminate() {
    let base = (*day("crash")).clone();
    let with = |change: &dyn Fn(&mut DaySettings)| {
        let mut day = base.clone();
        change(&mut day);
        run(&Rc::new(day), &Options { max_events: 600_000, ..Options::default() })
    };
    // No clients; servers with one slot; no readers; readers only.
    assert_eq!(
        with(&|day| day.clients.iter_mut().for_each(|load| load.sessions_per_s = 0.0)).balance,
        [0; 5]
    );
    assert!(with(&|day| day.fleet.kinds.iter_mut().for_each(|kind| kind.slots = 1)).events > 0);
    assert!(finished(&with(&|day| day.fleet.servers.retain(|row| !row.name.contains("-r")))) > 0.5);
    let readers = with(&|day| day.fleet.servers.retain(|row| row.name.contains("-r")));
    assert_eq!((finished(&readers), readers.overdue), (0.0, 0));
    // An excessive rate ends at the event limit, and the result says so.
    let flood = with(&|day| day.clients.iter_mut().for_each(|load| load.sessions_per_s = 1e6));
    assert!(flood.cut_short);
}

#[test]
fn every_policy_ends_each_attempt_once() {
    for (name, policy) in Policy::ALL {
        let run = run(&day("fast-errors"), &Options { policy, ..Options::default() });
        let attempts = run.lines.iter().filter(|line| matches!(line.what, What::Asked { .. })).count();
        let ended = |what: &What| matches!(what, What::Final { .. } | What::Broke { .. } | What::Left { .. });
        let ended = run.lines.iter().filter(|line| ended(&line.what)).count();
        assert_eq!((attempts, run.overdue), (ended, 0), "{name}");
    }
}

#[test]
fn ramps_recurrence_zipf_noise_and_latency_have_their_effect() {
    let base = {
        let mut day = (*day("crash")).clone();
        day.troubles.clear();
        day
    };
    let with = |change: &dyn Fn(&mut DaySettings)| {
        let mut day = base.clone();
        change(&mut day);
        Rc::new(day)
    };
    let attempts =
        |run: &Run| run.lines.iter().filter(|line| matches!(line.what, What::Asked { .. })).count();
    let calm = run(&with(&|_| {}), &Options::default());
    let trouble = |kind| Trouble { at_ms: 0.0, for_ms: base.length_ms, every_ms: None, kind };
    // A ramp to twice the rate means 1.5 times the sessions of that key over the day.
    let ramp = trouble(TroubleKind::Ramp { key: "app-key".into(), factor: 2.0 });
    let grown = run(&with(&|day| day.troubles = vec![ramp.clone()]), &Options::default());
    let ratio = attempts(&grown) as f64 / attempts(&calm) as f64;
    assert!((1.15..1.7).contains(&ratio), "{ratio}");
    // A recurring trouble occurs about as often as its mean interval says and never overlaps itself.
    let short = Trouble {
        for_ms: 50.0,
        every_ms: Some(450.0),
        ..trouble(TroubleKind::Flush { servers: vec!["north-m1".into()] })
    };
    let often = with(&|day| day.troubles = vec![short.clone()]);
    let all = expand_recurring(&often, 1);
    let expected = often.length_ms / 500.0;
    assert!((all.len() as f64) > 0.5 * expected && (all.len() as f64) < 1.6 * expected, "{}", all.len());
    assert!(all.windows(2).all(|pair| pair[1].at_ms >= pair[0].at_ms + 50.0));
    assert!(all.iter().zip(expand_recurring(&often, 1)).all(|(one, again)| one.at_ms == again.at_ms));
    // A Zipf distribution makes the first shared prefix the most frequent.
    let zipf = with(&|day| day.clients[0].zipf = 1.0);
    let drawn: Vec<_> = (0..1000).map(|n| zipf.clients[0].prefix_at(n as f64 / 1000.0)).collect();
    let of = |number| drawn.iter().filter(|drawn| **drawn == number).count();
    assert!(of(0) > of(1) && of(1) > of(5) && of(5) > 0, "{} {} {}", of(0), of(1), of(5));
    assert_eq!(base.clients[0].prefix_at(0.999), base.clients[0].prefix_count - 1);
    // Noise in load reports changes decisions if there is load to report; a slow network delays first tokens.
    let loaded = |noise: f64| {
        let loaded = with(&|day| {
            day.clients.iter_mut().for_each(|load| load.sessions_per_s *= 2.0);
            day.fleet.report_noise = noise;
        });
        run(&loaded, &Options::default())
    };
    let noisy = loaded(0.9);
    assert!(noisy.lines != loaded(0.0).lines && finished(&noisy) > 0.9, "{}", finished(&noisy));
    let far = run(&with(&|day| day.network_ms = (0.3, 40.0)), &Options::default());
    let first = |run: &Run| {
        let mut open = std::collections::BTreeMap::new();
        let mut sum = (0.0, 0.0);
        for line in &run.lines {
            match &line.what {
                What::Asked { op, attempt: 0, .. } => drop(open.insert(op.clone(), line.at_ms)),
                What::First { op, .. } => {
                    if let Some(at_ms) = open.remove(op) {
                        sum = (sum.0 + line.at_ms - at_ms, sum.1 + 1.0);
                    }
                }
                _ => {}
            }
        }
        sum.0 / sum.1
    };
    assert!(first(&far) > first(&calm) + 20.0, "{} {}", first(&far), first(&calm));
    // A server with a connection limit closes the connections beyond it.
    let few = run(
        &with(&|day| day.fleet.kinds.iter_mut().for_each(|kind| kind.connections = Some(1))),
        &Options::default(),
    );
    assert!(few.dispatches > calm.dispatches && few.overdue == 0);
}

#[test]
fn a_large_clock_value_changes_nothing() {
    // The same day 10^7 ms later: everything depends on time differences alone.
    let mut late = (*day("crash")).clone();
    late.troubles.iter_mut().for_each(|trouble| trouble.at_ms += 1e7);
    late.length_ms += 1e7;
    late.clients.iter_mut().for_each(|load| load.sessions_per_s /= 1000.0);
    let run = run(&Rc::new(late), &Options::default());
    assert!(run.ended_ms >= 1e7 && !run.cut_short, "{}", run.ended_ms);
    assert!(finished(&run) > 0.97 && run.overdue == 0, "{}", finished(&run));
    assert!((run.mean_in_system / run.rate_times_sojourn - 1.0).abs() < 0.2);
}

/// A shape switches rules of the template for some routers: with all routers in the shape, a run equals one
/// whose template has the same rules switched, and differs from one without the shape.
#[test]
fn shapes_apply_to_their_routers() {
    let played = |change: &dyn Fn(&mut DaySettings)| {
        let mut day = (*day("both-shapes")).clone();
        change(&mut day);
        run(&Rc::new(day), &Options::default()).lines
    };
    let all_routers = played(&|day| day.shapes[0].routers = (0..day.routers).collect());
    let template = played(&|day| day.shapes.clear());
    let switched = played(&|day| {
        day.shapes.clear();
        let s = &mut day.router.decisions;
        (s.probes_allowed, s.weights_act, s.second_copies, day.router.reports) = (false, false, false, false);
    });
    let half = played(&|_| ());
    assert!(all_routers == switched);
    assert!(all_routers != template && half != template && half != all_routers);
}
