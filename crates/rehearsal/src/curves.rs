//! Plots of an experiment and of what the emulator itself costs, on a self-contained HTML page.

use std::collections::BTreeMap;
use std::fmt::Write;

use anyhow::{anyhow, Result};
use paddleproxy_settings::experiment::ExperimentSettings;
use plotters::prelude::*;

use crate::experiment::{interval, points, title, Point, Row};
use crate::page::escape;

pub(crate) const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 97, 163),
    RGBColor(200, 80, 20),
    RGBColor(30, 130, 76),
    RGBColor(128, 60, 150),
    RGBColor(90, 90, 90),
    RGBColor(180, 140, 20),
    RGBColor(20, 140, 150),
    RGBColor(170, 40, 80),
];
const SIZE_PX: (u32, u32) = (960, 380);

/// One curve: its name, and its points as x, y and half the width of the confidence interval of y.
pub struct Curve {
    pub name: String,
    pub points: Vec<(f64, f64, f64)>,
}

pub struct Axes<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
    /// Names of the positions 0, 1, 2... on the x axis, if they are not numbers.
    pub labels: Option<Vec<String>>,
}

/// Draws curves with their confidence intervals; the y axis begins at 0.
///
/// # Errors
/// An error of the drawing library.
pub fn draw(axes: &Axes, curves: &[Curve]) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        let fail = |cause: &dyn std::fmt::Display| anyhow!("drawing '{}': {cause}", axes.title);
        area.fill(&WHITE).map_err(|cause| fail(&cause))?;
        let all = || curves.iter().flat_map(|curve| &curve.points).filter(|point| point.1.is_finite());
        let half = |point: &(f64, f64, f64)| if point.2.is_finite() { point.2 } else { 0.0 };
        let y_max = all().map(|point| point.1 + half(point)).fold(1e-9, f64::max) * 1.05;
        let (from, to) =
            all().fold((f64::INFINITY, f64::NEG_INFINITY), |(from, to), p| (from.min(p.0), to.max(p.0)));
        let (from, to) = if from < to { (from, to) } else { (0.0, 1.0) };
        let margin = (to - from) * 0.04;
        let mut chart = ChartBuilder::on(&area)
            .caption(axes.title, ("sans-serif", 17))
            .margin(8)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(from - margin..to + margin, 0.0..y_max)
            .map_err(|cause| fail(&cause))?;
        let label = |at: &f64| match &axes.labels {
            Some(names) if (at - at.round()).abs() < 1e-6 => {
                names.get(at.round() as usize).cloned().unwrap_or_default()
            }
            Some(_) => String::new(),
            None => format!("{at}"),
        };
        let labels = axes.labels.as_ref().map_or(10, |names| names.len().clamp(2, 12));
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_labels(labels)
            .x_label_formatter(&label)
            .x_desc(axes.x)
            .y_desc(axes.y)
            .label_style(("sans-serif", 13))
            .draw()
            .map_err(|cause| fail(&cause))?;
        for (row, curve) in curves.iter().enumerate() {
            let colour = COLOURS[row % COLOURS.len()];
            let finite: Vec<_> = curve.points.iter().filter(|point| point.1.is_finite()).collect();
            chart
                .draw_series(LineSeries::new(finite.iter().map(|p| (p.0, p.1)), colour.stroke_width(2)))
                .map_err(|cause| fail(&cause))?
                .label(&curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            let bars = finite.iter().map(|p| {
                let half = half(p);
                ErrorBar::new_vertical(p.0, (p.1 - half).max(0.0), p.1, p.1 + half, colour.filled(), 7)
            });
            chart.draw_series(bars).map_err(|cause| fail(&cause))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(RGBColor(200, 200, 200))
            .position(SeriesLabelPosition::LowerLeft)
            .label_font(("sans-serif", 13))
            .draw()
            .map_err(|cause| fail(&cause))?;
        area.present().map_err(|cause| fail(&cause))?;
    }
    Ok(svg)
}

/// The parameter for the x axis: of those with only numeric values the one with the most of them; on a tie,
/// the later one.
fn x_parameter(grid: &[Point]) -> Option<&'static str> {
    let mut values: BTreeMap<&'static str, Vec<&String>> = BTreeMap::new();
    for (name, value) in grid.iter().flatten() {
        let seen = values.entry(name).or_default();
        if !seen.contains(&value) {
            seen.push(value);
        }
    }
    let order: Vec<_> = grid.first()?.iter().map(|(name, _)| *name).collect();
    let numbers = |name: &&'static str| values[name].iter().all(|value| value.parse::<f64>().is_ok());
    order.into_iter().filter(numbers).max_by_key(|name| values[name].len())
}

/// The curves of one figure of an experiment.
fn curves(grid: &[Point], rows: &[Row], x: &str, figure: usize) -> Vec<Curve> {
    let mut curves: Vec<Curve> = Vec::new();
    for point in grid {
        let full = title(point);
        let of: Vec<_> = rows.iter().filter(|row| row.point == full).map(|row| row.figures[figure]).collect();
        let Some(at) = point.iter().find(|(name, _)| *name == x).and_then(|(_, value)| value.parse().ok())
        else {
            continue;
        };
        if of.is_empty() {
            continue;
        }
        let rest: Point = point.iter().filter(|(name, _)| *name != x).cloned().collect();
        let name = title(&rest);
        let (mean, half) = interval(&of);
        match curves.iter_mut().find(|curve| curve.name == name) {
            Some(curve) => curve.points.push((at, mean, half)),
            None => curves.push(Curve { name, points: vec![(at, mean, half)] }),
        }
    }
    curves
}

pub(crate) const HEAD: &str =
    "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><style>body{font:15px/1.45 sans-serif;\
    max-width:980px;margin:24px auto;color:#222}svg{max-width:100%;height:auto}pre{font-size:12px}</style>";

/// Plotted figures: index in `FIGURES`, title and unit.
const PLOTTED: [(usize, &str, &str); 4] = [
    (0, "Service: value in target of value asked for", "share"),
    (1, "Worst service of a workload while a trouble lasts", "share"),
    (4, "Operations rate-limited", "share"),
    (5, "Dispatches whose work was wasted", "share"),
];

/// The HTML page of an experiment: its plots, and its summary table as text.
///
/// # Errors
/// An error of the drawing library.
pub fn experiment_page(settings: &ExperimentSettings, rows: &[Row], summary: &str) -> Result<String> {
    let grid = points(settings);
    let mut page = format!("{HEAD}<h1>{}</h1><p>{}</p>", escape(&settings.name), escape(&settings.question));
    let _ = write!(page, "<p>Simulated; {} seeds a point, 95% confidence intervals.</p>", settings.seeds);
    match x_parameter(&grid) {
        Some(x) => {
            for (figure, title, unit) in PLOTTED {
                let axes = Axes { title, x, y: unit, labels: None };
                let _ = write!(page, "<p>{}</p>", draw(&axes, &curves(&grid, rows, x, figure))?);
            }
        }
        // Without a numeric parameter, the points of the grid are evenly spaced along the x axis.
        None => {
            let labels: Vec<_> = grid.iter().map(title).collect();
            for (figure, title, unit) in PLOTTED {
                let of = |name: &String| -> Vec<f64> {
                    rows.iter().filter(|row| row.point == *name).map(|row| row.figures[figure]).collect()
                };
                let points = labels.iter().enumerate().map(|(at, name)| {
                    let (mean, half) = interval(&of(name));
                    (at as f64, mean, half)
                });
                let curve = Curve { name: "mean".into(), points: points.collect() };
                let axes = Axes { title, x: "point", y: unit, labels: Some(labels.clone()) };
                let _ = write!(page, "<p>{}</p>", draw(&axes, &[curve])?);
            }
        }
    }
    let _ = write!(page, "<pre>{}</pre></html>", escape(summary));
    Ok(page)
}

#[cfg(test)]
mod tests;
