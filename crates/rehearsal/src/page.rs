//! A self-contained HTML page with the report and plots of a day.

use std::fmt::Write;

use anyhow::{anyhow, Result};
use paddleproxy_day::report::Report;
use plotters::prelude::*;

use crate::curves::COLOURS;
use crate::phases::{Rehearsal, Span};

const SIZE_PX: (u32, u32) = (960, 300);

type Series = (String, Vec<(f64, f64)>);

/// A plot over time in seconds; the times of troubles are shaded.
fn plot(title: &str, unit: &str, y_max: f64, series: &[Series], spans: &[&Span]) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        let fail = |cause: &dyn std::fmt::Display| anyhow!("drawing '{title}': {cause}");
        area.fill(&WHITE).map_err(|cause| fail(&cause))?;
        let end = series.iter().flat_map(|(_, points)| points).map(|(at, _)| *at).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 17))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(58)
            .build_cartesian_2d(0.0..end, 0.0..y_max)
            .map_err(|cause| fail(&cause))?;
        for span in spans {
            let to = span.to_ms.max(span.from_ms + end * 2.0).min(end * 1e3);
            let corners = [(span.from_ms / 1e3, 0.0), (to / 1e3, y_max)];
            let shade = Rectangle::new(corners, RGBColor(220, 60, 60).mix(0.10).filled());
            chart.draw_series([shade]).map_err(|cause| fail(&cause))?;
        }
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("time, s")
            .y_desc(unit)
            .label_style(("sans-serif", 13))
            .draw()
            .map_err(|cause| fail(&cause))?;
        for (row, (name, points)) in series.iter().enumerate() {
            let colour = COLOURS[row % COLOURS.len()];
            let points = points.iter().copied().filter(|(_, value)| value.is_finite());
            chart
                .draw_series(LineSeries::new(
                    points.map(|(at, value)| (at, value.min(y_max))),
                    colour.stroke_width(2),
                ))
                .map_err(|cause| fail(&cause))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(RGBColor(200, 200, 200))
            .position(SeriesLabelPosition::LowerRight)
            .label_font(("sans-serif", 13))
            .draw()
            .map_err(|cause| fail(&cause))?;
        area.present().map_err(|cause| fail(&cause))?;
    }
    Ok(svg)
}

pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn share(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| format!("{value:.3}"))
}

/// The HTML page of a day; `how` describes how the day was played, for example in virtual time.
///
/// # Errors
/// A plot that can't be drawn.
pub fn page(report: &Report, rehearsal: &Rehearsal, how: &str) -> Result<String> {
    let spans: Vec<_> = rehearsal.troubles.iter().map(|phase| &phase.span).collect();
    let over_time = |value: fn(&crate::Point) -> f64| -> Vec<Series> {
        let row = |(name, points): (&String, &Vec<crate::Point>)| {
            (name.clone(), points.iter().map(|point| (point.at_ms / 1e3, value(point))).collect())
        };
        rehearsal.points.iter().map(row).collect()
    };
    let in_s =
        |points: &[(f64, f64)]| points.iter().map(|(at, value)| (at / 1e3, *value)).collect::<Vec<_>>();
    let y_max = |series: &[Series]| {
        let all = series
            .iter()
            .flat_map(|(_, points)| points)
            .map(|(_, value)| *value)
            .filter(|value| value.is_finite());
        all.fold(1.0, f64::max) * 1.05
    };
    let first_token_ms = over_time(|point| point.first_ms);
    let failures = vec![
        ("rate-limited".to_owned(), in_s(&rehearsal.refused_per_s)),
        ("broken".to_owned(), in_s(&rehearsal.broken_per_s)),
    ];
    let plots = [
        plot(
            "Service: share of operations in target, by start time",
            "share",
            1.0,
            &over_time(|p| p.in_target),
            &spans,
        )?,
        plot(
            "Time to the first token, 90th percentile",
            "ms",
            y_max(&first_token_ms),
            &first_token_ms,
            &spans,
        )?,
        plot("Rate-limited and broken requests", "a second", y_max(&failures), &failures, &spans)?,
    ];
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Rehearsal</title><style>\
         body{font:15px/1.45 sans-serif;max-width:980px;margin:24px auto;color:#222}\
         table{border-collapse:collapse;margin:10px 0 22px}td,th{padding:3px 12px;text-align:right;\
         border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:bold}\
         svg{max-width:100%;height:auto}</style>",
    );
    // Writing to a String does not fail.
    let _ = write!(page, "<h1>Day {}</h1><p>{}</p>", escape(&report.day), escape(how));
    page.push_str("<h2>Rules</h2><table><tr><th>rule<th>verdict<th>cases</tr>");
    for rule in &report.rules {
        let class = if rule.broken.is_empty() { "" } else { " class=bad" };
        let _ = write!(page, "<tr><td>{}<td{class}>{}<td>{}</tr>", rule.name, rule.verdict(), rule.cases);
    }
    page.push_str("</table>");
    for (title, rows) in [("Workloads", &report.workloads), ("Customers", &report.customers)] {
        let _ = write!(
            page,
            "<h2>{title}</h2><table><tr><th>name<th>asked<th>in target<th>finished<th>rate-limited<th>aborted\
             <th>broken<th>left<th>p50, ms<th>p99, ms</tr>"
        );
        for row in rows {
            let _ = write!(
                page,
                "<tr><td>{}<td>{}<td>{:.3}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.0}<td>{:.0}</tr>",
                escape(&row.name),
                row.asked,
                row.in_target,
                row.finished,
                row.rate_limited,
                row.aborted,
                row.broke,
                row.left,
                row.first_p50_ms,
                row.first_p99_ms
            );
        }
        page.push_str("</table>");
    }
    for plot in plots {
        let _ = write!(page, "<p>{plot}</p>");
    }
    page.push_str(
        "<h2>Troubles</h2><p>Share of operations in target among those started in the 10 s before, during, and in \
         the 10 s after each trouble; shaded above.</p><table><tr><th>trouble<th>from, s<th>to, s\
         <th>workload<th>before<th>during<th>after<th>recovered after, s</tr>",
    );
    for phase in &rehearsal.troubles {
        for (row, (name, [before, during, after])) in phase.workloads.iter().enumerate() {
            let (from, to) = (phase.span.from_ms / 1e3, phase.span.to_ms / 1e3);
            let first = match row {
                0 => format!("<td>{}<td>{from:.1}<td>{to:.1}", escape(&phase.span.name)),
                _ => "<td><td><td>".to_owned(),
            };
            let last = match (row, phase.recovered_after_ms) {
                (0, Some(ms)) => format!("{:.1}", ms / 1e3),
                (0, None) => "not within the day".to_owned(),
                _ => String::new(),
            };
            let (before, during, after) = (share(*before), share(*during), share(*after));
            let _ = write!(
                page,
                "<tr>{first}<td>{}<td>{before}<td>{during}<td>{after}<td>{last}</tr>",
                escape(name)
            );
        }
    }
    page.push_str("</table></html>");
    Ok(page)
}
