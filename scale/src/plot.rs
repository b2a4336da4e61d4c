//! Renders a chart of each benchmark series with its samples, fitted growth laws and budgets.
//!
//! Invariant: every sample is drawn.

use crate::fit::{self, Statistic, format_number};
use crate::slopes::Series;
use plotters::prelude::*;
use std::path::Path;

type PlotResult = Result<(), Box<dyn std::error::Error>>;

/// A budget more than this factor above all values is named in the caption instead of drawn: its line would flatten the
/// rest of the chart.
const FAR_BUDGET_FACTOR: f64 = 8.0;

const STATISTICS: [(Statistic, &str, RGBColor); 2] =
    [(Statistic::Mean, "mean", BLUE), (Statistic::Worst, "worst", RED)];

/// Writes the chart to `ID.svg` in `folder`. `budgets` are drawn as horizontal lines; the laws are drawn up to the size
/// `target`.
pub fn draw(series: &Series, budgets: &[f64], target: Option<f64>, folder: &Path) -> PlotResult {
    let sizes = series.points.iter().map(|p| p.at).chain(target);
    let (low, high) = sizes.fold((f64::MAX, 0.0_f64), |(low, high), n| (low.min(n), high.max(n)));
    let (low, high) = if low < high { (low, high) } else { (0.0, high.max(1.0)) };
    let fits: Vec<_> = STATISTICS.iter().map(|(statistic, ..)| fit::fit_series(series, *statistic)).collect();
    let fitted = fits.iter().flatten().map(|f| f.curve.at(high));
    let measured = series.points.iter().map(|p| p.mean.max(p.worst));
    let top = measured.chain(fitted).fold(0.0_f64, f64::max);
    let (off_chart, in_chart): (Vec<f64>, Vec<f64>) =
        budgets.iter().partition(|b| **b > FAR_BUDGET_FACTOR * top);
    let top = in_chart.iter().copied().fold(top, f64::max);
    let top = if top > 0.0 { top * 1.05 } else { 1.0 };
    let captions: Vec<String> =
        off_chart.iter().map(|b| format!("budget {} {}", format_number(*b), series.unit)).collect();
    let caption = format!("{}  {}", series.id, captions.join(", "));
    let path = folder.join(format!("{}.svg", series.id));
    let area = SVGBackend::new(&path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(low..high, 0.0..top)?;
    chart.configure_mesh().x_desc(&series.over).y_desc(&series.unit).draw()?;
    for ((statistic, name, color), fit) in STATISTICS.iter().zip(&fits) {
        let points = series.points.iter().filter_map(|p| Some((p.at, statistic.of(p)?)));
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
    for budget in &in_chart {
        chart.draw_series(LineSeries::new([(low, *budget), (high, *budget)], BLACK.stroke_width(2)))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
