//! Owns the form of the file of expectations and its checks: each fault is told by the expectation's name or place. Must
//! never give a value that was not written a meaning of its own.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Suite {
    /// Hosts and the zones they are near: a txn from there is one of a gateway in that zone.
    #[serde(default)]
    pub hosts: BTreeMap<String, String>,
    pub expectations: Vec<Expectation>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    pub name: String,
    pub about: Subject,
    /// What holds in every circumstance that is tried.
    #[serde(default, rename = "while")]
    pub given: Conditions,
    /// So many members beside those may be in trouble at once, in any way.
    #[serde(default = "default_search")]
    pub search: usize,
    /// The ways in which they may be.
    #[serde(default = "default_failure_modes")]
    pub troubles: BTreeSet<FailureMode>,
    pub must: Requirement,
}

fn default_search() -> usize {
    2
}

fn default_failure_modes() -> BTreeSet<FailureMode> {
    BTreeSet::from([FailureMode::Down, FailureMode::Draining, FailureMode::Cold, FailureMode::Silent])
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "About")]
pub struct Subject {
    /// The remap rule by its name.
    pub rule: String,
    /// One object in hex digits; absent: `objects` of them.
    #[serde(default)]
    pub object: Option<String>,
    #[serde(default = "default_objects")]
    pub objects: usize,
    /// A host of `hosts`, or a zone; absent: the configuration's own.
    #[serde(default)]
    pub near: Option<String>,
}

fn default_objects() -> usize {
    24
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Trouble")]
pub enum FailureMode {
    /// Gone from the list.
    Down,
    Draining,
    /// It has just started.
    Cold,
    /// It was gone and is back, cold and empty.
    Returned,
    /// Listed as up, and answers nothing.
    Silent,
    /// It turns all away.
    Full,
    /// Its answers are errors, and the txn may have run.
    Failing,
}

#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Given")]
pub struct Conditions {
    /// Members in trouble, by what they are in.
    pub members: BTreeMap<FailureMode, MemberSelector>,
    /// The object was purged just before.
    pub purged: bool,
    /// Not more than so many milliseconds after the list said so, the gateway may still go by the one before.
    pub list_late: bool,
}

/// Members by what is written of them: all of it has to fit.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Chosen")]
pub struct MemberSelector {
    pub names: Option<BTreeSet<String>>,
    pub kind: Option<String>,
    pub zone: Option<String>,
    pub cell: Option<u64>,
    /// In this trouble in the circumstance.
    pub trouble: Option<FailureMode>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Must")]
pub enum Requirement {
    NeverGoTo(MemberSelector),
    /// The first hop, where there is one.
    GoFirstTo(MemberSelector),
    FillOnlyFrom(MemberSelector),
    NeverFillFrom(MemberSelector),
    StayInZone(String),
    AtMostHops(u32),
    /// No hop after one that may have run.
    NeverAgainOnceItMayHaveRun(bool),
    /// What is not served ends so.
    BeRejected(bool),
    BeAborted(bool),
    BeServed(bool),
    ComeBackWithinMs(u64),
    /// Every object has one first parent, whatever gateway asks.
    HaveOneHome(bool),
    /// The share of objects whose first hop goes there.
    ShareBetween {
        of: MemberSelector,
        least: f64,
        most: f64,
    },
    /// The share of objects whose first hop changes when the members in trouble are.
    MoveAtMost(f64),
}

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SuiteError {
    #[error("line {line}, column {column}: {why}")]
    Syntax { line: usize, column: usize, why: String },
    #[error("line {line}: {name}: {why}")]
    Expectation { line: usize, name: String, why: String },
}

/// The line on which an expectation's name stands, from 1.
pub fn line_of(text: &str, name: &str) -> usize {
    let written = serde_json::to_string(name).unwrap_or_default();
    let named = |line: &str| line.contains("\"name\"") && line.contains(&written);
    text.lines().position(named).map_or(1, |i| i + 1)
}

impl Suite {
    /// All faults of the file, or the suite.
    pub fn read(text: &str) -> Result<Suite, Vec<SuiteError>> {
        let suite: Suite = serde_json::from_str(text).map_err(|e| {
            let why = e.to_string();
            let why = why.split(" at line ").next().unwrap_or_default().to_owned();
            vec![SuiteError::Syntax { line: e.line(), column: e.column(), why }]
        })?;
        let mut faults = Vec::new();
        let mut names = BTreeSet::new();
        for e in &suite.expectations {
            let mut fault = |why: String| {
                let (line, name) = (line_of(text, &e.name), e.name.clone());
                faults.push(SuiteError::Expectation { line, name, why });
            };
            if e.name.trim().is_empty() {
                fault("a name is empty".to_owned());
            }
            if !names.insert(&e.name) {
                fault("another expectation has this name".to_owned());
            }
            if e.search > 3 {
                fault(format!("search is {}, 3 at the most", e.search));
            }
            if !(1..=10_000).contains(&e.about.objects) {
                fault(format!("objects is {}, between 1 and 10000", e.about.objects));
            }
            let hex = |o: &str| u64::from_str_radix(o, 16).is_ok();
            if e.about.object.as_deref().is_some_and(|o| !hex(o)) {
                fault("object is not hex digits".to_owned());
            }
            let share = |s: f64| (0.0..=1.0).contains(&s);
            match &e.must {
                Requirement::ShareBetween { least, most, .. }
                    if !share(*least) || !share(*most) || least > most =>
                {
                    fault("least and most are shares from 0 to 1, in this order".to_owned());
                }
                Requirement::MoveAtMost(part) if !share(*part) => {
                    fault("a share lies between 0 and 1".to_owned())
                }
                Requirement::NeverAgainOnceItMayHaveRun(is)
                | Requirement::BeRejected(is)
                | Requirement::BeAborted(is)
                | Requirement::BeServed(is)
                | Requirement::HaveOneHome(is)
                    if !is =>
                {
                    fault("false says nothing: name what must hold instead".to_owned());
                }
                _ => {}
            }
        }
        if suite.expectations.is_empty() {
            faults.push(SuiteError::Syntax {
                line: 1,
                column: 1,
                why: "no expectation stands in it".to_owned(),
            });
        }
        if faults.is_empty() { Ok(suite) } else { Err(faults) }
    }

    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Suite)).unwrap_or_default()
    }
}
