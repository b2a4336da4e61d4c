//! What a target asks of each role and what the slopes give: the rows of docs/CAPACITY.md. Owns which ladder a row is
//! read from and what its budget is; must never hold a figure of a run.

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

/// A value of a ladder at a size, times something.
pub struct Term {
    pub id: &'static str,
    pub figure: Statistic,
    pub size: TargetFn,
    pub factor: TargetFn,
}

pub enum Source {
    /// The sum of these.
    Fitted(&'static [Term]),
    /// Of the target alone.
    Computed(TargetFn),
}

pub struct Row {
    pub label: &'static str,
    pub quantity: Quantity,
    pub unit: &'static str,
    pub source: Source,
    /// None: the row is told, not judged.
    pub budget: Option<TargetFn>,
    /// The file that carries it.
    pub mechanism: &'static str,
    /// What it was with a mechanism that another one has replaced at this size: told beside it, of no weight.
    pub superseded: bool,
}

pub struct Role {
    /// As the page's markers name it.
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

/// A row at the target.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub role: &'static str,
    pub what: &'static str,
    pub quantity: Quantity,
    pub unit: &'static str,
    pub ladders: Vec<&'static str>,
    /// What the target asks to be borne, as the size that the first ladder is read at.
    pub at: Option<f64>,
    pub over: Option<String>,
    pub value: Option<f64>,
    pub least: Option<f64>,
    pub most: Option<f64>,
    /// How the value came about: run, a law between sizes that were run, or so far beyond them.
    pub basis: String,
    /// Of the fits, the greatest.
    pub error: Option<f64>,
    pub budget: Option<f64>,
    /// The budget in the ladder's own unit, where there is one ladder.
    pub limit: Option<f64>,
    pub share: Option<f64>,
    pub state: State,
    pub mechanism: &'static str,
    pub before: bool,
}

impl Verdict {
    /// Not shown to be within its budget.
    pub fn fails(&self) -> bool {
        !self.before && matches!(self.state, State::Red | State::Uncertain | State::NotMeasured)
    }
}

/// Where a row passes its budget as its size grows, all else as at the target.
#[derive(Clone, Debug, Serialize)]
pub struct BreakingPoint {
    pub role: &'static str,
    pub what: &'static str,
    pub over: String,
    pub size: f64,
    /// The size over that of the target.
    pub times: f64,
    pub mechanism: &'static str,
}

struct FittedTerm<'a> {
    term: &'a Term,
    fit: Fit,
    over: &'a str,
}

fn fitted_terms<'a>(row: &'a Row, slopes: &'a Slopes) -> Option<Vec<FittedTerm<'a>>> {
    let Source::Fitted(reads) = &row.source else { return Some(Vec::new()) };
    let one = |read: &'a Term| {
        let ladder = slopes.get(read.id)?;
        Some(FittedTerm { term: read, fit: fit::fit_series(ladder, read.figure)?, over: &ladder.over })
    };
    reads.iter().map(one).collect()
}

fn basis(all: &[Basis]) -> String {
    let beyond =
        all.iter().fold(0.0_f64, |m, b| if let Basis::Extrapolated(times) = b { m.max(*times) } else { m });
    if beyond > 0.0 {
        return format!("law, ×{} beyond", format_number(beyond));
    }
    let has = |wanted: Basis| all.contains(&wanted);
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
        Source::Fitted(reads) => reads.iter().map(|r| r.id).collect(),
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
    if let Source::Fitted(reads) = &row.source {
        verdict.at = reads.first().map(|r| (r.size)(target));
        if let [read] = reads {
            verdict.limit = budget.map(|b| b / (read.factor)(target));
        }
    }
    let Some(readings) = fitted_terms(row, slopes) else { return verdict };
    let (mut value, mut least, mut most) = (0.0, 0.0, 0.0);
    match &row.source {
        Source::Computed(of) => {
            value = of(target);
            (least, most) = (value, value);
            verdict.basis = "computed".to_owned();
        }
        Source::Fitted(_) => {
            let mut bases = Vec::new();
            for r in &readings {
                let (given, times) = (r.fit.at((r.term.size)(target)), (r.term.factor)(target));
                value += given.value * times;
                least += given.lower * times;
                most += given.upper * times;
                bases.push(given.basis);
            }
            verdict.over = readings.first().map(|r| r.over.to_owned());
            verdict.error = readings.iter().map(|r| r.fit.error).reduce(f64::max);
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

/// All rows, in the order of the page.
pub fn verdicts(slopes: &Slopes, target: &Target) -> Vec<Verdict> {
    let rows = ROLES.iter().flat_map(|role| role.rows.iter().map(move |row| (role, row)));
    rows.map(|(role, row)| evaluate(role, row, slopes, target)).collect()
}

/// What these count is how bad a fault is, not how large the installation.
const FAULT_SEVERITIES: [&str; 4] = ["away_s", "hubs_killed", "lost_part", "restarted_part"];

/// Times the target's size between which breaks are sought, and by which steps.
const MIN_SCALE: f64 = 0.001;
const MAX_SCALE: f64 = 100.0;
const SCALE_STEP: f64 = 1.02;

/// The first step that leads above a budget: what was run may fall again beyond it.
fn first_exceeding(at: impl Fn(f64) -> f64, budget: f64) -> Option<(f64, f64)> {
    let sizes =
        std::iter::successors(Some(MIN_SCALE), |s| Some(s * SCALE_STEP)).take_while(|s| *s < MAX_SCALE);
    sizes.map(|s| (s / SCALE_STEP, s)).find(|(_, s)| at(*s) > budget)
}

/// What passes its budget as the installation grows, the first first: rows that are read from
/// ladders, by what was run and beyond it by their laws.
pub fn breaking_points(slopes: &Slopes, target: &Target) -> Vec<BreakingPoint> {
    let mut all: Vec<BreakingPoint> = Vec::new();
    for role in ROLES {
        for row in role.rows.iter().filter(|r| !r.superseded) {
            let (Some(budget), Some(readings)) = (row.budget, fitted_terms(row, slopes)) else { continue };
            let Some(first) = readings.first().filter(|r| !FAULT_SEVERITIES.contains(&r.over)) else {
                continue;
            };
            let budget = budget(target);
            let at = |times: f64| -> f64 {
                let one =
                    |r: &FittedTerm| r.fit.at((r.term.size)(target) * times).value * (r.term.factor)(target);
                readings.iter().map(one).sum()
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

/// A role's table as it stands on the page.
pub fn table(role: &str, verdicts: &[Verdict]) -> String {
    let mut out = "| what | ladder, read at | gives | budget | share | | mechanism |\n".to_owned();
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for v in verdicts.iter().filter(|v| v.role == role) {
        let read = match (v.ladders.is_empty(), v.at) {
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
        let given =
            if v.value.is_some() { format!("{} {}", format_estimate(v), v.unit) } else { String::new() };
        out += &format!(
            "| {} | {read} | {given} | {budget} | {} | {} | [{}](../{}) |\n",
            v.what,
            percent(v.share),
            v.state.name(),
            v.mechanism,
            v.mechanism,
        );
    }
    out
}

/// The table of what breaks first, as it stands on the page.
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
    let wide = |i: usize| rows.iter().filter_map(|r| r.get(i)).map(|c| c.chars().count()).max();
    let widths: Vec<usize> = (0..count).map(|i| wide(i).unwrap_or(0)).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        format!("  {}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}

/// A role's table for a terminal: what the target asks, what the slopes give, the share, where from.
pub fn plain_table(role: &str, verdicts: &[Verdict]) -> String {
    let one = |v: &Verdict| {
        let asked = v.budget.map_or(String::new(), |b| format!("of {}", format_number(b)));
        let state = v.state.name().replace('*', "");
        let from = if v.ladders.is_empty() { String::new() } else { v.ladders.join(" + ") };
        let from = format!("{from} {}", v.basis).trim().to_owned();
        let what = format!("{} [{}]", v.what, v.unit);
        vec![what, format_estimate(v), asked, percent(v.share), state, from, v.mechanism.to_owned()]
    };
    align_columns(verdicts.iter().filter(|v| v.role == role).map(one).collect())
}

pub fn breaking_points_plain(breaks: &[BreakingPoint]) -> String {
    let one = |(i, b): (usize, &BreakingPoint)| {
        let size = format!("above {} {}", format_number(b.size), b.over.replace('_', " "));
        let times = format!("×{}", format_number(b.times));
        vec![format!("{}.", i + 1), format!("{}: {}", b.role, b.what), size, times, b.mechanism.to_owned()]
    };
    align_columns(breaks.iter().enumerate().map(one).collect())
}

/// What a picture of a ladder shows beside it: budgets of rows that are that ladder alone, and the size they are read at.
pub fn chart_marks(id: &str, verdicts: &[Verdict]) -> (Vec<f64>, Option<f64>) {
    let rows: Vec<&Verdict> = verdicts.iter().filter(|v| v.ladders == [id]).collect();
    let mut budgets: Vec<f64> = rows.iter().filter_map(|v| v.limit).collect();
    budgets.sort_by(f64::total_cmp);
    budgets.dedup();
    (budgets, rows.iter().filter_map(|v| v.at).reduce(f64::max))
}

/// The ladders that rows are read from, with their laws and how they are played again.
pub fn series_table(slopes: &Slopes) -> String {
    let mut out = "| ladder | run on | sizes | mean | worst | again by |\n".to_owned();
    out += "| --- | --- | --- | --- | --- | --- |\n";
    let reads = ROLES.iter().flat_map(|r| r.rows).filter_map(|row| match &row.source {
        Source::Fitted(reads) => Some(reads.iter().map(|r| r.id)),
        Source::Computed(_) => None,
    });
    let ids: BTreeSet<&str> = reads.flatten().collect();
    for ladder in ids.iter().filter_map(|id| slopes.get(id)) {
        let (first, last) = (ladder.points.first(), ladder.points.last());
        let ends = first
            .zip(last)
            .map_or(String::new(), |(f, l)| format!("{} to {}", format_number(f.at), format_number(l.at)));
        let law = |figure| fit::fit_series(ladder, figure).map_or(String::new(), |f| f.describe());
        out += &format!(
            "| `{}`, {} | {} | {}, {ends} {} | {} | {} | `{}` |\n",
            ladder.id,
            ladder.unit,
            ladder.host.name(),
            ladder.points.len(),
            ladder.over.replace('_', " "),
            law(Statistic::Mean),
            law(Statistic::Worst),
            ladder.command,
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

/// Where a table stands on the page: `<!-- table: ROLE -->` and `<!-- end -->`, each on a line of its own.
const BREAKS_TABLE: &str = "breaks";
const SERIES_TABLE: &str = "ladders";

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum PageError {
    #[error("table {0}: there is no such role")]
    UnknownRole(String),
    #[error("table {0}: no end")]
    Unterminated(String),
    #[error("table {0}: stands twice or not at all")]
    NotOnce(String),
}

/// The page with its tables as the slopes and the target give them.
pub fn page(text: &str, slopes: &Slopes, target: &Target) -> Result<String, PageError> {
    let verdicts = verdicts(slopes, target);
    let (mut out, mut told, mut inside) = (String::new(), Vec::new(), None);
    for line in text.lines() {
        let marker = line.strip_prefix("<!-- table: ").and_then(|l| l.strip_suffix(" -->"));
        if let Some(role) = marker {
            if let Some(open) = inside {
                return Err(PageError::Unterminated(open));
            }
            let known = ROLES.iter().any(|r| r.id == role);
            let table = match role {
                BREAKS_TABLE => breaking_points_table(&breaking_points(slopes, target)),
                SERIES_TABLE => series_table(slopes),
                _ if known => table(role, &verdicts),
                _ => return Err(PageError::UnknownRole(role.to_owned())),
            };
            out += &format!("{line}\n\n{table}\n");
            told.push(role);
            inside = Some(role.to_owned());
        } else if line == "<!-- end -->" {
            inside = None;
            out += &format!("{line}\n");
        } else if inside.is_none() {
            out += &format!("{line}\n");
        }
    }
    if let Some(open) = inside {
        return Err(PageError::Unterminated(open));
    }
    for role in ROLES.iter().map(|r| r.id).chain([BREAKS_TABLE, SERIES_TABLE]) {
        if told.iter().filter(|t| **t == role).count() != 1 {
            return Err(PageError::NotOnce(role.to_owned()));
        }
    }
    Ok(out)
}

const fn term(id: &'static str, figure: Statistic, at: TargetFn) -> Term {
    Term { id, figure, size: at, factor: |_| 1.0 }
}

const fn row(
    what: &'static str,
    quantity: Quantity,
    unit: &'static str,
    source: Source,
    budget: Option<TargetFn>,
    mechanism: &'static str,
) -> Row {
    Row { label: what, quantity, unit, source, budget, mechanism, superseded: false }
}

const fn superseded(row: Row) -> Row {
    Row { superseded: true, ..row }
}

mod rows;
pub use rows::ROLES;
