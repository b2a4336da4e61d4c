//! Compares the load predicted at a target size with the budgets of each role, and renders the tables of
//! docs/CAPACITY.md. Defines which benchmark series a row is computed from and which budget applies.
//!
//! Invariant: no measured value is hard-coded here; all of them come from the slopes file.

use crate::fit::{self, Basis, Fit, Statistic, format_error, format_number};
use crate::slopes::Slopes;
use crate::target::Target;
use serde::Serialize;
use std::collections::BTreeSet;

type TargetFn = fn(&Target) -> f64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    State,
    Messages,
    Processor,
    Memory,
    Delay,
}

/// The value of a benchmark series at a size, multiplied by a factor.
pub struct Term {
    /// Id of the series.
    pub id: &'static str,
    pub statistic: Statistic,
    pub size: TargetFn,
    pub factor: TargetFn,
}

pub enum Source {
    /// The sum of these terms.
    Fitted(&'static [Term]),
    /// Computed from the target alone, without measurements.
    Computed(TargetFn),
}

pub struct Row {
    pub label: &'static str,
    pub quantity: Quantity,
    pub unit: &'static str,
    pub source: Source,
    /// `None`: the row is informational and has no verdict.
    pub budget: Option<TargetFn>,
    /// The source file that implements the measured mechanism.
    pub mechanism: &'static str,
    /// The mechanism has been replaced by another one at this size: the row is shown for comparison and does not count
    /// towards the verdict.
    pub superseded: bool,
}

pub struct Role {
    /// The role's name in the markers of docs/CAPACITY.md.
    pub id: &'static str,
    pub title: &'static str,
    pub rows: &'static [Row],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Green,
    Red,
    /// The best fit is within the budget; another fit of similar quality is not.
    #[serde(rename = "open")]
    Uncertain,
    NotMeasured,
    #[serde(rename = "told")]
    NoBudget,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Green => "green",
            State::Red => "**red**",
            State::Uncertain => "**open**",
            State::NotMeasured => "**not measured**",
            State::NoBudget => "",
        }
    }
}

/// A row evaluated at the target.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub role: &'static str,
    pub what: &'static str,
    pub quantity: Quantity,
    pub unit: &'static str,
    pub ladders: Vec<&'static str>,
    /// The size required by the target, at which the first series is evaluated.
    pub at: Option<f64>,
    pub over: Option<String>,
    pub value: Option<f64>,
    pub least: Option<f64>,
    pub most: Option<f64>,
    /// How the value was obtained: measured at this size, interpolated, or extrapolated by a stated factor.
    pub basis: String,
    /// The largest error of the fits involved.
    pub error: Option<f64>,
    pub budget: Option<f64>,
    /// The budget converted to the unit of the series, if the row uses exactly one series.
    pub limit: Option<f64>,
    pub share: Option<f64>,
    pub state: State,
    pub mechanism: &'static str,
    pub before: bool,
}

impl Verdict {
    /// Whether a current row has not been shown to be within its budget.
    pub fn fails(&self) -> bool {
        !self.before && matches!(self.state, State::Red | State::Uncertain | State::NotMeasured)
    }
}

/// The size at which a row first exceeds its budget while all other dimensions stay at the target.
#[derive(Clone, Debug, Serialize)]
pub struct BreakingPoint {
    pub role: &'static str,
    pub what: &'static str,
    pub over: String,
    pub size: f64,
    /// The size as a multiple of the target's.
    pub times: f64,
    pub mechanism: &'static str,
}

struct FittedTerm<'a> {
    term: &'a Term,
    fit: Fit,
    over: &'a str,
}

fn fitted_terms<'a>(row: &'a Row, slopes: &'a Slopes) -> Option<Vec<FittedTerm<'a>>> {
    let Source::Fitted(terms) = &row.source else { return Some(Vec::new()) };
    let fit_term = |term: &'a Term| {
        let series = slopes.get(term.id)?;
        Some(FittedTerm { term, fit: fit::fit_series(series, term.statistic)?, over: &series.over })
    };
    terms.iter().map(fit_term).collect()
}

fn basis(all: &[Basis]) -> String {
    let extrapolation =
        all.iter().fold(0.0_f64, |m, b| if let Basis::Extrapolated(times) = b { m.max(*times) } else { m });
    if extrapolation > 0.0 {
        return format!("law, ×{} beyond", format_number(extrapolation));
    }
    let has = |kind: Basis| all.contains(&kind);
    if has(Basis::BelowRange) {
        "law, below the smallest"
    } else if has(Basis::Interpolated) {
        "between runs"
    } else {
        "run"
    }
    .to_owned()
}

fn evaluate(role: &Role, row: &'static Row, slopes: &Slopes, target: &Target) -> Verdict {
    let budget = row.budget.map(|of| of(target));
    let ladders = match &row.source {
        Source::Fitted(terms) => terms.iter().map(|r| r.id).collect(),
        Source::Computed(_) => Vec::new(),
    };
    let mut verdict = Verdict {
        role: role.id,
        what: row.label,
        quantity: row.quantity,
        unit: row.unit,
        ladders,
        at: None,
        over: None,
        value: None,
        least: None,
        most: None,
        basis: String::new(),
        error: None,
        budget,
        limit: None,
        share: None,
        state: State::NotMeasured,
        mechanism: row.mechanism,
        before: row.superseded,
    };
    if let Source::Fitted(terms) = &row.source {
        verdict.at = terms.first().map(|r| (r.size)(target));
        if let [term] = terms {
            verdict.limit = budget.map(|b| b / (term.factor)(target));
        }
    }
    let Some(fitted) = fitted_terms(row, slopes) else { return verdict };
    let (mut value, mut least, mut most) = (0.0, 0.0, 0.0);
    match &row.source {
        Source::Computed(of) => {
            value = of(target);
            (least, most) = (value, value);
            verdict.basis = "computed".to_owned();
        }
        Source::Fitted(_) => {
            let mut bases = Vec::new();
            for r in &fitted {
                let (estimate, times) = (r.fit.at((r.term.size)(target)), (r.term.factor)(target));
                value += estimate.value * times;
                least += estimate.lower * times;
                most += estimate.upper * times;
                bases.push(estimate.basis);
            }
            verdict.over = fitted.first().map(|r| r.over.to_owned());
            verdict.error = fitted.iter().map(|r| r.fit.error).reduce(f64::max);
            verdict.basis = basis(&bases);
        }
    }
    (verdict.value, verdict.least, verdict.most) = (Some(value), Some(least), Some(most));
    verdict.share = budget.map(|b| value / b);
    verdict.state = match budget {
        None => State::NoBudget,
        Some(budget) if value > budget => State::Red,
        Some(budget) if most > budget => State::Uncertain,
        Some(_) => State::Green,
    };
    verdict
}

/// Evaluates all rows, in the order of docs/CAPACITY.md.
pub fn verdicts(slopes: &Slopes, target: &Target) -> Vec<Verdict> {
    let rows = ROLES.iter().flat_map(|role| role.rows.iter().map(move |row| (role, row)));
    rows.map(|(role, row)| evaluate(role, row, slopes, target)).collect()
}

/// Dimensions that state how severe a fault is rather than how large the installation is; they have no breaking point.
const FAULT_SEVERITIES: [&str; 4] = ["away_s", "hubs_killed", "lost_part", "restarted_part"];

/// Bounds of the search for breaking points, as multiples of the target's size.
const MIN_SCALE: f64 = 0.001;
const MAX_SCALE: f64 = 100.0;
/// Ratio between two successive sizes of the search.
const SCALE_STEP: f64 = 1.02;

/// Finds the first step at which the value exceeds the budget. The search is linear because measured values need not be
/// monotonic and may fall below the budget again at larger sizes.
fn first_exceeding(at: impl Fn(f64) -> f64, budget: f64) -> Option<(f64, f64)> {
    let sizes =
        std::iter::successors(Some(MIN_SCALE), |s| Some(s * SCALE_STEP)).take_while(|s| *s < MAX_SCALE);
    sizes.map(|s| (s / SCALE_STEP, s)).find(|(_, s)| at(*s) > budget)
}

/// Returns where each row that is backed by series exceeds its budget as the installation grows, smallest size first.
/// Measured sizes are interpolated; larger ones are extrapolated with the fitted growth law.
pub fn breaking_points(slopes: &Slopes, target: &Target) -> Vec<BreakingPoint> {
    let mut all: Vec<BreakingPoint> = Vec::new();
    for role in ROLES {
        for row in role.rows.iter().filter(|r| !r.superseded) {
            let (Some(budget), Some(fitted)) = (row.budget, fitted_terms(row, slopes)) else { continue };
            let Some(first) = fitted.first().filter(|r| !FAULT_SEVERITIES.contains(&r.over)) else {
                continue;
            };
            let budget = budget(target);
            let at = |times: f64| -> f64 {
                let term_value =
                    |r: &FittedTerm| r.fit.at((r.term.size)(target) * times).value * (r.term.factor)(target);
                fitted.iter().map(term_value).sum()
            };
            let Some((mut low, mut high)) = first_exceeding(at, budget) else { continue };
            for _ in 0..60 {
                let middle = (low + high) / 2.0;
                if at(middle) <= budget { low = middle } else { high = middle }
            }
            all.push(BreakingPoint {
                role: role.id,
                what: row.label,
                over: first.over.to_owned(),
                size: (first.term.size)(target) * high,
                times: high,
                mechanism: row.mechanism,
            });
        }
    }
    all.sort_by(|x, y| x.times.total_cmp(&y.times));
    all
}

fn percent(share: Option<f64>) -> String {
    share.map_or(String::new(), |s| format!("{}%", format_number(s * 100.0)))
}

fn format_estimate(v: &Verdict) -> String {
    let Some(value) = v.value else { return String::new() };
    match (v.least, v.most) {
        (Some(least), Some(most)) if format_number(least) != format_number(most) => {
            format!("{} ({} to {})", format_number(value), format_number(least), format_number(most))
        }
        _ => format_number(value),
    }
}

/// Renders the table of one role as Markdown, as in docs/CAPACITY.md.
pub fn table(role: &str, verdicts: &[Verdict]) -> String {
    let mut out = "| what | ladder, read at | gives | budget | share | | mechanism |\n".to_owned();
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for v in verdicts.iter().filter(|v| v.role == role) {
        let source = match (v.ladders.is_empty(), v.at) {
            (true, _) => v.basis.clone(),
            (false, at) => {
                let size = at.map_or(String::new(), |at| format!(" at {}", format_number(at)));
                let how = if v.basis.is_empty() { String::new() } else { format!("; {}", v.basis) };
                let error = v.error.map_or(String::new(), |e| format!(", {}", format_error(e)));
                let ids: Vec<String> = v.ladders.iter().map(|id| format!("`{id}`")).collect();
                format!("{}{size}{how}{error}", ids.join(" + "))
            }
        };
        let budget = v.budget.map_or(String::new(), |b| format!("{} {}", format_number(b), v.unit));
        let estimate =
            if v.value.is_some() { format!("{} {}", format_estimate(v), v.unit) } else { String::new() };
        out += &format!(
            "| {} | {source} | {estimate} | {budget} | {} | {} | [{}](../{}) |\n",
            v.what,
            percent(v.share),
            v.state.name(),
            v.mechanism,
            v.mechanism,
        );
    }
    out
}

/// Renders the table of breaking points as Markdown, as in docs/CAPACITY.md.
pub fn breaking_points_table(breaks: &[BreakingPoint]) -> String {
    let mut out = "| | what | passes its budget above | times the target | mechanism |\n".to_owned();
    out += "| --- | --- | --- | --- | --- |\n";
    for (i, b) in breaks.iter().enumerate() {
        let title = ROLES.iter().find(|r| r.id == b.role).map_or(b.role, |r| r.title);
        out += &format!(
            "| {} | {title}: {} | {} {} | {} | [{}](../{}) |\n",
            i + 1,
            b.what,
            format_number(b.size),
            b.over.replace('_', " "),
            format_number(b.times),
            b.mechanism,
            b.mechanism,
        );
    }
    out
}

fn align_columns(rows: Vec<Vec<String>>) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| rows.iter().filter_map(|r| r.get(i)).map(|c| c.chars().count()).max();
    let widths: Vec<usize> = (0..count).map(|i| width(i).unwrap_or(0)).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        format!("  {}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}

/// Renders the table of one role as plain text: required load, predicted load, share of the budget and source.
pub fn plain_table(role: &str, verdicts: &[Verdict]) -> String {
    let format_row = |v: &Verdict| {
        let budget = v.budget.map_or(String::new(), |b| format!("of {}", format_number(b)));
        let state = v.state.name().replace('*', "");
        let from = if v.ladders.is_empty() { String::new() } else { v.ladders.join(" + ") };
        let from = format!("{from} {}", v.basis).trim().to_owned();
        let what = format!("{} [{}]", v.what, v.unit);
        vec![what, format_estimate(v), budget, percent(v.share), state, from, v.mechanism.to_owned()]
    };
    align_columns(verdicts.iter().filter(|v| v.role == role).map(format_row).collect())
}

pub fn breaking_points_plain(breaks: &[BreakingPoint]) -> String {
    let format_row = |(i, b): (usize, &BreakingPoint)| {
        let size = format!("above {} {}", format_number(b.size), b.over.replace('_', " "));
        let times = format!("×{}", format_number(b.times));
        vec![format!("{}.", i + 1), format!("{}: {}", b.role, b.what), size, times, b.mechanism.to_owned()]
    };
    align_columns(breaks.iter().enumerate().map(format_row).collect())
}

/// Returns the reference marks for the chart of a series: the budgets of all rows that use only this series, and the
/// largest size at which those rows are evaluated.
pub fn chart_marks(id: &str, verdicts: &[Verdict]) -> (Vec<f64>, Option<f64>) {
    let rows: Vec<&Verdict> = verdicts.iter().filter(|v| v.ladders == [id]).collect();
    let mut budgets: Vec<f64> = rows.iter().filter_map(|v| v.limit).collect();
    budgets.sort_by(f64::total_cmp);
    budgets.dedup();
    (budgets, rows.iter().filter_map(|v| v.at).reduce(f64::max))
}

/// Renders the table of all series used by rows, with their fitted growth laws and the command that reproduces them.
pub fn series_table(slopes: &Slopes) -> String {
    let mut out = "| ladder | run on | sizes | mean | worst | again by |\n".to_owned();
    out += "| --- | --- | --- | --- | --- | --- |\n";
    let terms = ROLES.iter().flat_map(|r| r.rows).filter_map(|row| match &row.source {
        Source::Fitted(terms) => Some(terms.iter().map(|r| r.id)),
        Source::Computed(_) => None,
    });
    let ids: BTreeSet<&str> = terms.flatten().collect();
    for series in ids.iter().filter_map(|id| slopes.get(id)) {
        let (first, last) = (series.points.first(), series.points.last());
        let range = first
            .zip(last)
            .map_or(String::new(), |(f, l)| format!("{} to {}", format_number(f.at), format_number(l.at)));
        let law = |figure| fit::fit_series(series, figure).map_or(String::new(), |f| f.describe());
        out += &format!(
            "| `{}`, {} | {} | {}, {range} {} | {} | {} | `{}` |\n",
            series.id,
            series.unit,
            series.host.name(),
            series.points.len(),
            series.over.replace('_', " "),
            law(Statistic::Mean),
            law(Statistic::Worst),
            series.command,
        );
    }
    if !slopes.ladders.is_empty() {
        let (how, held) = (if slopes.quick { "short" } else { "full" }, slopes.peak_memory as f64 / 1e6);
        out += &format!(
            "\nSeed {}, {how} ladders; the program held {} MB at most.\n",
            slopes.seed,
            format_number(held)
        );
    }
    out
}

/// Marker names of the two tables that belong to no role. A table is placed between the lines `<!-- table: NAME -->` and
/// `<!-- end -->`.
const BREAKS_TABLE: &str = "breaks";
const SERIES_TABLE: &str = "ladders";

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum PageError {
    #[error("table {0}: unknown role")]
    UnknownRole(String),
    #[error("table {0}: end marker missing")]
    Unterminated(String),
    #[error("table {0}: expected exactly one marker")]
    NotOnce(String),
}

/// Returns the page with all its tables regenerated from the slopes and the target.
pub fn page(text: &str, slopes: &Slopes, target: &Target) -> Result<String, PageError> {
    let verdicts = verdicts(slopes, target);
    let (mut out, mut rendered, mut open_table) = (String::new(), Vec::new(), None);
    for line in text.lines() {
        let marker = line.strip_prefix("<!-- table: ").and_then(|l| l.strip_suffix(" -->"));
        if let Some(role) = marker {
            if let Some(open) = open_table {
                return Err(PageError::Unterminated(open));
            }
            let is_role = ROLES.iter().any(|r| r.id == role);
            let table = match role {
                BREAKS_TABLE => breaking_points_table(&breaking_points(slopes, target)),
                SERIES_TABLE => series_table(slopes),
                _ if is_role => table(role, &verdicts),
                _ => return Err(PageError::UnknownRole(role.to_owned())),
            };
            out += &format!("{line}\n\n{table}\n");
            rendered.push(role);
            open_table = Some(role.to_owned());
        } else if line == "<!-- end -->" {
            open_table = None;
            out += &format!("{line}\n");
        } else if open_table.is_none() {
            out += &format!("{line}\n");
        }
    }
    if let Some(open) = open_table {
        return Err(PageError::Unterminated(open));
    }
    for role in ROLES.iter().map(|r| r.id).chain([BREAKS_TABLE, SERIES_TABLE]) {
        if rendered.iter().filter(|t| **t == role).count() != 1 {
            return Err(PageError::NotOnce(role.to_owned()));
        }
    }
    Ok(out)
}

const fn term(id: &'static str, statistic: Statistic, size: TargetFn) -> Term {
    Term { id, statistic, size, factor: |_| 1.0 }
}

const fn row(
    label: &'static str,
    quantity: Quantity,
    unit: &'static str,
    source: Source,
    budget: Option<TargetFn>,
    mechanism: &'static str,
) -> Row {
    Row { label, quantity, unit, source, budget, mechanism, superseded: false }
}

const fn superseded(row: Row) -> Row {
    Row { superseded: true, ..row }
}

mod rows;
pub use rows::ROLES;
