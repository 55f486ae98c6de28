//! Tests of the module `curves`.

use super::*;

fn grid() -> Vec<Point> {
    let point = |policy: &str, load: &str| vec![("policy", policy.to_owned()), ("load", load.to_owned())];
    vec![point("design", "1"), point("design", "2"), point("random", "1"), point("random", "2")]
}

#[test]
fn a_grid_gives_one_curve_per_combination_of_the_other_parameters() {
    let grid = grid();
    assert_eq!(x_parameter(&grid), Some("load"));
    let row = |point: &Point, seed, service| Row {
        point: title(point),
        seed,
        figures: [service, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0],
    };
    let rows: Vec<_> = grid.iter().flat_map(|point| [row(point, 1, 0.8), row(point, 2, 0.9)]).collect();
    let curves = curves(&grid, &rows, "load", 0);
    let names: Vec<_> = curves.iter().map(|curve| curve.name.as_str()).collect();
    assert_eq!(names, ["policy=design", "policy=random"]);
    assert_eq!(curves[0].points.len(), 2);
    assert!((curves[0].points[1].1 - 0.85).abs() < 1e-12 && curves[0].points[1].0 == 2.0);
    let axes = Axes { title: "t", x: "load", y: "share", labels: None };
    let svg = draw(&axes, &curves).unwrap();
    assert!(svg.contains("policy=random") && svg.contains("load"));
}

#[test]
fn a_grid_without_numeric_parameters_has_no_x_parameter() {
    let grid = vec![vec![("policy", "design".to_owned())], vec![("policy", "random".to_owned())]];
    assert_eq!(x_parameter(&grid), None);
}
