//! Simulates failover in virtual time:
//! `cargo run --release -p paddleproxy-peerlab --example zones [cases|delay|back|random N|plots DIR|cost]`.

use std::path::Path;

use paddleproxy_peerlab::zones::{
    random_faults, simulate, DecisionMode, Outcome, Scenario, ScheduledZoneFault, ZoneFault,
};
use plotters::prelude::*;

const FROM_MS: f64 = 20_000.0;
const TO_MS: f64 = 50_000.0;

fn single_fault(fault: ZoneFault) -> Vec<ScheduledZoneFault> {
    vec![ScheduledZoneFault { fault, from_ms: FROM_MS, to_ms: TO_MS }]
}

fn cases() -> Vec<(&'static str, Vec<ScheduledZoneFault>)> {
    let two_faults = |a: ZoneFault, b: ZoneFault| [single_fault(a), single_fault(b)].concat();
    vec![
        ("calm", Vec::new()),
        ("lost", single_fault(ZoneFault::Lost { zone: 2, routers: false })),
        ("lost with its routers", single_fault(ZoneFault::Lost { zone: 2, routers: true })),
        (
            "two lost",
            two_faults(
                ZoneFault::Lost { zone: 2, routers: false },
                ZoneFault::Lost { zone: 1, routers: false },
            ),
        ),
        (
            "a region lost",
            (3..6).flat_map(|zone| single_fault(ZoneFault::Lost { zone, routers: false })).collect(),
        ),
        ("cut path", single_fault(ZoneFault::CutPath { zone: 2 })),
        ("slow: half late", single_fault(ZoneFault::Slow { zone: 2, late_share: 0.5 })),
        ("slow: all late", single_fault(ZoneFault::Slow { zone: 2, late_share: 1.0 })),
        ("half a zone", single_fault(ZoneFault::ReducedCapacity { zone: 2, capacity_share: 0.5 })),
        ("flaps each 3 s", single_fault(ZoneFault::Flap { zone: 2, every_ms: 3000.0 })),
        (
            "lost, burst where it goes",
            two_faults(
                ZoneFault::Lost { zone: 2, routers: false },
                ZoneFault::Burst { zone: 1, factor: 2.0 },
            ),
        ),
        ("a router that lies", single_fault(ZoneFault::FalseReporters { routers: 1 })),
    ]
}

fn print_head() {
    println!(
        "{:<28} {:<7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>9} {:>8} {:>9}",
        "case",
        "decides",
        "before",
        "first3",
        "during",
        "after",
        "near",
        "changes",
        "a min",
        "leaves",
        "fullest",
        "standing"
    );
}

fn print_line(name: &str, mode: DecisionMode, o: &Outcome) {
    let [before, first, during, after] = o.in_target_by_phase;
    let unaffected =
        if o.min_unaffected_throughput.is_finite() { o.min_unaffected_throughput } else { f64::NAN };
    println!(
        "{name:<28} {:<7} {before:>7.3} {first:>7.3} {during:>7.3} {after:>7.3} {:>7.4} \
         {:>8} {:>8} {:>9} {:>8.2} {unaffected:>9.2}",
        format!("{mode:?}").to_lowercase(),
        o.near_share,
        o.plan_changes,
        o.max_plan_changes_per_minute,
        o.max_departures_per_minute,
        o.max_overflow_share,
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command = args.first().map_or("cases", String::as_str);
    println!("virtual time, 300 routers, 6 zones in 2 regions; zones are a model");
    match command {
        "cases" => {
            for workers in [100, 300] {
                println!("{workers} workers");
                print_head();
                for (name, faults) in cases() {
                    for mode in
                        [DecisionMode::Off, DecisionMode::Alone, DecisionMode::Common, DecisionMode::Told]
                    {
                        let scenario = Scenario { mode, workers, ..Scenario::default() };
                        print_line(name, mode, &simulate(&scenario, &faults));
                    }
                }
            }
        }
        "delay" => {
            print_head();
            for delay_ms in [0.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0, 10_000.0] {
                for (name, faults) in [
                    ("lost", single_fault(ZoneFault::Lost { zone: 2, routers: false })),
                    ("half late", single_fault(ZoneFault::Slow { zone: 2, late_share: 0.5 })),
                    ("flaps each 3 s", single_fault(ZoneFault::Flap { zone: 2, every_ms: 3000.0 })),
                ] {
                    let scenario = Scenario { delay_ms, ..Scenario::default() };
                    print_line(
                        &format!("{name}, {delay_ms} ms late"),
                        DecisionMode::Common,
                        &simulate(&scenario, &faults),
                    );
                }
            }
        }
        "back" => {
            print_head();
            for back in [0.05, 0.1, 0.25, 0.5, 1.0] {
                for delay_ms in [200.0, 2000.0] {
                    for (name, faults) in [
                        ("lost", single_fault(ZoneFault::Lost { zone: 2, routers: false })),
                        ("flaps each 8 s", single_fault(ZoneFault::Flap { zone: 2, every_ms: 8000.0 })),
                    ] {
                        let scenario = Scenario { max_step_back: back, delay_ms, ..Scenario::default() };
                        let name = format!("{name}, back {back}, {delay_ms}");
                        print_line(&name, DecisionMode::Common, &simulate(&scenario, &faults));
                    }
                }
            }
        }
        "random" => {
            let count: u64 = args.get(1).and_then(|arg| arg.parse().ok()).unwrap_or(500);
            let scenario = Scenario {
                routers: 60,
                completions_per_s: 600.0,
                duration_ms: 110_000.0,
                ..Scenario::default()
            };
            let mut rows: Vec<(f64, u64, Outcome, Outcome)> = Vec::new();
            for seed in 0..count {
                let faults = random_faults(seed, scenario.zones);
                let common = simulate(&Scenario { seed, ..scenario.clone() }, &faults);
                let off = simulate(&Scenario { seed, mode: DecisionMode::Off, ..scenario.clone() }, &faults);
                rows.push((common.in_target_by_phase[2] - off.in_target_by_phase[2], seed, common, off));
            }
            rows.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mean = |of: fn(&(f64, u64, Outcome, Outcome)) -> f64| {
                rows.iter().map(of).filter(|value| value.is_finite()).sum::<f64>() / rows.len() as f64
            };
            println!(
                "{count} combinations, 60 routers: in target during, mean {:.4} with failover, \
                 {:.4} without; most leaves a minute {}; most a zone was given {:.2} of its room",
                mean(|row| row.2.in_target_by_phase[2]),
                mean(|row| row.3.in_target_by_phase[2]),
                rows.iter().map(|row| row.2.max_departures_per_minute).max().unwrap_or(0),
                rows.iter().map(|row| row.2.max_overflow_share).fold(0.0, f64::max),
            );
            println!("the ten worst compared with no failover:");
            print_head();
            for (_, seed, common, off) in rows.iter().take(10) {
                print_line(&format!("seed {seed}"), DecisionMode::Common, common);
                print_line(&format!("seed {seed}"), DecisionMode::Off, off);
                println!("    {:?}", random_faults(*seed, scenario.zones));
            }
        }
        "plots" => {
            let dir = args.get(1).map_or(".", String::as_str);
            for (name, faults) in cases() {
                let over_time = |mode| simulate(&Scenario { mode, ..Scenario::default() }, &faults).over_time;
                let (common, off) = (over_time(DecisionMode::Common), over_time(DecisionMode::Off));
                let file =
                    Path::new(dir).join(format!("failover-{}.svg", name.replace([' ', ',', ':'], "-")));
                if let Err(cause) = plot(&file, name, &common, &off) {
                    eprintln!("{}: {cause}", file.display());
                    std::process::exit(1);
                }
            }
        }
        "cost" => cost(),
        other => {
            eprintln!("unknown command '{other}'; expected one of: cases, delay, back, random, plots, cost")
        }
    }
}

/// Cost of planning at 1,000 routers and 30 zones: the size of a row, and the time to read all rows and make
/// a plan.
fn cost() {
    use paddleproxy_failover::{
        judge, EvidenceRow, FlapHistory, Matrix, Plan, PlanLimits, Topology, Zone, ZoneCounts,
    };
    let zones = 30usize;
    let seen =
        ZoneCounts { in_target: 40.0, late: 2.0, load: 0.4, listed: 33, usable: 33, ..ZoneCounts::default() };
    let lost = ZoneCounts { timed_out: 9.0, listed: 33, usable: 33, ..ZoneCounts::default() };
    let row = |from: usize| EvidenceRow {
        from: (from % zones) as u8,
        represented_routers: 1000.0 / 270.0,
        counts: (0..zones as u8).map(|of| (of, if of == 7 { lost } else { seen })).collect(),
        completions_by_home: (0..zones as u8).map(|of| (of, 20.0)).collect(),
        commands: Vec::new(),
    };
    let rows: Vec<EvidenceRow> = (0..270).map(row).collect();
    let bytes: Vec<Vec<u8>> = rows.iter().map(EvidenceRow::bytes).collect();
    let topology = Topology {
        regions: (0..zones).map(|zone| (zone / 10) as u8).collect(),
        costs: (0..zones).map(|a| (0..zones).map(|b| a.abs_diff(b) as f64).collect()).collect(),
    };
    let reporting_zones: Vec<Zone> = topology.zones().collect();
    let began = std::time::Instant::now();
    let rounds = 20;
    for _ in 0..rounds {
        let rows: Vec<EvidenceRow> = bytes.iter().filter_map(|bytes| EvidenceRow::read(bytes).ok()).collect();
        let matrix = Matrix::from_rows(&rows);
        let verdicts = judge(&topology, &matrix, &reporting_zones);
        let limits = PlanLimits {
            demand: vec![100.0; zones],
            capacity: vec![180.0; zones],
            reserve: 0.25,
            max_step_out: 0.5,
            max_step_back: 0.1,
        };
        let plan = Plan::default().next(
            &topology,
            &verdicts,
            &limits,
            &Default::default(),
            &mut FlapHistory::default(),
        );
        assert!(plan.moved(Zone(7)) > 0);
    }
    println!(
        "1,000 routers, 30 zones, 9 reporters each: a row has {} bytes; reading all rows and \
         making a plan takes {:.1} ms",
        bytes[0].len(),
        began.elapsed().as_secs_f64() * 1e3 / f64::from(rounds)
    );
}

type Points = [(f64, f64, f64)];

fn plot(file: &Path, name: &str, common: &Points, off: &Points) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (800, 260)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{name}: simulated, 300 routers"), ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..120.0, 0.0..1.02)?;
    chart
        .draw_series([Rectangle::new([(FROM_MS / 1e3, 0.0), (TO_MS / 1e3, 1.02)], RED.mix(0.08).filled())])?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("time, s").draw()?;
    type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);
    let lines: [Line; 3] = [
        ("in target, no failover", RGBColor(150, 150, 150), off.iter().map(|p| (p.0, p.1)).collect()),
        ("in target", RGBColor(30, 90, 200), common.iter().map(|p| (p.0, p.1)).collect()),
        ("home near", RGBColor(30, 150, 60), common.iter().map(|p| (p.0, p.2)).collect()),
    ];
    for (label, colour, points) in lines {
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .position(SeriesLabelPosition::LowerRight)
        .draw()?;
    area.present()?;
    Ok(())
}
