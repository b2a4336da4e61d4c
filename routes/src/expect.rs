//! The format of the expectations file and its validation. Each error names the expectation or the position.
//!
//! Invariant: an absent value never gets a meaning beyond its documented default.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Suite {
    /// Hosts and their zones: a txn from a host is handled by a gateway in its zone.
    #[serde(default)]
    pub hosts: BTreeMap<String, String>,
    pub expectations: Vec<Expectation>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    pub name: String,
    pub about: Subject,
    /// Conditions that hold in every scenario that is tried.
    #[serde(default, rename = "while")]
    pub given: Conditions,
    /// The largest number of further members that fail at the same time.
    #[serde(default = "default_search")]
    pub search: usize,
    /// The failure modes that are tried on them.
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
    /// The name of the remap rule.
    pub rule: String,
    /// One object in hex digits; absent: `objects` generated ones.
    #[serde(default)]
    pub object: Option<String>,
    #[serde(default = "default_objects")]
    pub objects: usize,
    /// A host of `hosts`, or a zone; absent: the zone of the configuration.
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
    /// Removed from the member list.
    Down,
    Draining,
    /// Has just started.
    Cold,
    /// Was gone and is back, cold and empty.
    Returned,
    /// Listed as up, but does not answer.
    Silent,
    /// Turns all requests away.
    Full,
    /// Answers with errors, and the txn may have run.
    Failing,
}

#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Given")]
pub struct Conditions {
    /// Failed members, by failure mode.
    pub members: BTreeMap<FailureMode, MemberSelector>,
    /// The object was purged just before the txn.
    pub purged: bool,
    /// The gateway still uses the previous member list, which does not show the failures yet.
    pub list_late: bool,
}

/// Selects members by their attributes; all that are given have to match.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Chosen")]
pub struct MemberSelector {
    pub names: Option<BTreeSet<String>>,
    pub kind: Option<String>,
    pub zone: Option<String>,
    pub cell: Option<u64>,
    /// The member's failure mode in the scenario.
    pub trouble: Option<FailureMode>,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Must")]
pub enum Requirement {
    NeverGoTo(MemberSelector),
    /// The first hop, if there is one, goes to such a member.
    GoFirstTo(MemberSelector),
    FillOnlyFrom(MemberSelector),
    NeverFillFrom(MemberSelector),
    StayInZone(String),
    AtMostHops(u32),
    /// No further hop after one that may have run the txn.
    NeverAgainOnceItMayHaveRun(bool),
    /// Txns that are not served are rejected.
    BeRejected(bool),
    /// Txns that are not served are aborted.
    BeAborted(bool),
    BeServed(bool),
    ComeBackWithinMs(u64),
    /// Each object is filled from the same first parent by the gateways of all zones.
    HaveOneHome(bool),
    /// The share of objects whose first hop goes to such members.
    ShareBetween {
        of: MemberSelector,
        least: f64,
        most: f64,
    },
    /// The share of objects whose first hop differs from that without failures.
    MoveAtMost(f64),
}

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SuiteError {
    #[error("line {line}, column {column}: {why}")]
    Syntax { line: usize, column: usize, why: String },
    #[error("line {line}: {name}: {why}")]
    Expectation { line: usize, name: String, why: String },
}

/// The line with the expectation's name, from 1.
pub fn line_of(text: &str, name: &str) -> usize {
    let quoted_name = serde_json::to_string(name).unwrap_or_default();
    let has_name = |line: &str| line.contains("\"name\"") && line.contains(&quoted_name);
    text.lines().position(has_name).map_or(1, |i| i + 1)
}

impl Suite {
    /// Parses and validates a suite; returns all errors of the file.
    pub fn read(text: &str) -> Result<Suite, Vec<SuiteError>> {
        let suite: Suite = serde_json::from_str(text).map_err(|e| {
            let why = e.to_string();
            let why = why.split(" at line ").next().unwrap_or_default().to_owned();
            vec![SuiteError::Syntax { line: e.line(), column: e.column(), why }]
        })?;
        let mut errors = Vec::new();
        let mut names = BTreeSet::new();
        for e in &suite.expectations {
            let mut error = |why: String| {
                let (line, name) = (line_of(text, &e.name), e.name.clone());
                errors.push(SuiteError::Expectation { line, name, why });
            };
            if e.name.trim().is_empty() {
                error("name is empty".to_owned());
            }
            if !names.insert(&e.name) {
                error("another expectation has the same name".to_owned());
            }
            if e.search > 3 {
                error(format!("search is {}, must be at most 3", e.search));
            }
            if !(1..=10_000).contains(&e.about.objects) {
                error(format!("objects is {}, must be between 1 and 10000", e.about.objects));
            }
            let is_hex = |o: &str| u64::from_str_radix(o, 16).is_ok();
            if e.about.object.as_deref().is_some_and(|o| !is_hex(o)) {
                error("object is not hex digits".to_owned());
            }
            let is_share = |s: f64| (0.0..=1.0).contains(&s);
            match &e.must {
                Requirement::ShareBetween { least, most, .. }
                    if !is_share(*least) || !is_share(*most) || least > most =>
                {
                    error("least and most must be shares from 0 to 1, least not above most".to_owned());
                }
                Requirement::MoveAtMost(share) if !is_share(*share) => {
                    error("move_at_most must be a share from 0 to 1".to_owned())
                }
                Requirement::NeverAgainOnceItMayHaveRun(value)
                | Requirement::BeRejected(value)
                | Requirement::BeAborted(value)
                | Requirement::BeServed(value)
                | Requirement::HaveOneHome(value)
                    if !value =>
                {
                    error("false is not a requirement: state what must hold instead".to_owned());
                }
                _ => {}
            }
        }
        if suite.expectations.is_empty() {
            errors.push(SuiteError::Syntax {
                line: 1,
                column: 1,
                why: "the file has no expectations".to_owned(),
            });
        }
        if errors.is_empty() { Ok(suite) } else { Err(errors) }
    }

    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Suite)).unwrap_or_default()
    }
}
