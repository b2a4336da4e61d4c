//! A picture of each ladder: what was run, the law, the budget. Must never leave out a point.

use crate::fit::{self, Statistic, format_number};
use crate::slopes::Series;
use plotters::prelude::*;
use std::path::Path;

type PlotResult = Result<(), Box<dyn std::error::Error>>;

/// A budget that many times above all else is named, not drawn: it would press the rest flat.
const FAR_BUDGET_FACTOR: f64 = 8.0;

const STATISTICS: [(Statistic, &str, RGBColor); 2] =
    [(Statistic::Mean, "mean", BLUE), (Statistic::Worst, "worst", RED)];

/// Writes `ID.svg`; `budgets` are lines across, `target` is the size up to which the laws are drawn.
pub fn draw(ladder: &Series, budgets: &[f64], target: Option<f64>, folder: &Path) -> PlotResult {
    let sizes = ladder.points.iter().map(|p| p.at).chain(target);
    let (low, high) = sizes.fold((f64::MAX, 0.0_f64), |(low, high), n| (low.min(n), high.max(n)));
    let (low, high) = if low < high { (low, high) } else { (0.0, high.max(1.0)) };
    let fits: Vec<_> = STATISTICS.iter().map(|(figure, ..)| fit::fit_series(ladder, *figure)).collect();
    let fitted = fits.iter().flatten().map(|f| f.curve.at(high));
    let run = ladder.points.iter().map(|p| p.mean.max(p.worst));
    let top = run.chain(fitted).fold(0.0_f64, f64::max);
    let (far, near): (Vec<f64>, Vec<f64>) = budgets.iter().partition(|b| **b > FAR_BUDGET_FACTOR * top);
    let top = near.iter().copied().fold(top, f64::max);
    let top = if top > 0.0 { top * 1.05 } else { 1.0 };
    let above: Vec<String> =
        far.iter().map(|b| format!("budget {} {}", format_number(*b), ladder.unit)).collect();
    let caption = format!("{}  {}", ladder.id, above.join(", "));
    let path = folder.join(format!("{}.svg", ladder.id));
    let area = SVGBackend::new(&path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(low..high, 0.0..top)?;
    chart.configure_mesh().x_desc(&ladder.over).y_desc(&ladder.unit).draw()?;
    for ((figure, name, color), fit) in STATISTICS.iter().zip(&fits) {
        let points = ladder.points.iter().filter_map(|p| Some((p.at, figure.of(p)?)));
        chart.draw_series(points.map(|p| Circle::new(p, 4, color.filled())))?;
        let Some(fit) = fit else { continue };
        let line = (0..=200).map(|i| low + (high - low) * f64::from(i) / 200.0);
        let label = format!("{name}: {}", fit.curve.law.name());
        let series = LineSeries::new(line.map(|n| (n, fit.curve.at(n))), color);
        chart
            .draw_series(series)?
            .label(label)
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], *color));
    }
    for budget in &near {
        chart.draw_series(LineSeries::new([(low, *budget), (high, *budget)], BLACK.stroke_width(2)))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
