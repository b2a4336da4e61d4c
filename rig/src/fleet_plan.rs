//! Fault plan of a fleet run: parsed from JSON and ordered by time. Performs no I/O and reads no clock.

use serde::{Deserialize, Serialize};

const MAX_PURGES_PER_S: f64 = 10_000.0;

/// A fault or an operation. Faults are undone at the end of their event. Plans name the variants in kebab case.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The discovery service refuses connections.
    BulletinDown,
    /// The discovery service closes each connection after this many bytes.
    BulletinDies(u64),
    /// This fraction of the gateways is killed, and started again at the end.
    Kill(f64),
    /// The gateways that are connected to the discovery service are killed, and started again at the end.
    KillAskers,
    /// This fraction of the gateways is suspended (SIGSTOP), and resumed at the end.
    Stop(f64),
    /// The gateways that are connected to the discovery service are suspended, and resumed at the end.
    StopAskers,
    /// This fraction of the gateways is partitioned from the others and from the discovery service.
    Cut(f64),
    /// One gateway, by number, receives nothing from the others; what it sends arrives.
    Deaf(usize),
    /// This fraction of the datagrams between gateways is lost.
    Lossy(f64),
    /// Every n-th cache answers with errors.
    Bad(usize),
    /// Every n-th cache (first value) answers this many milliseconds later (second value).
    Slow(usize, u64),
    /// Rolling restart of all gateways, a tenth at a time, over the event's duration.
    Roll,
    /// A frequently requested object is purged.
    Purge,
    /// This many objects per second are purged, drawn uniformly from those that clients request.
    Purges(f64),
    /// The fleet's keys are rotated in three steps over the event's duration.
    Rekey,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds from the start of the run.
    pub at: f64,
    /// Duration in seconds.
    #[serde(default)]
    pub lasts: f64,
    pub what: Fault,
}

#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    #[error("invalid plan: {0}")]
    Json(#[from] serde_json::Error),
    #[error("event {0}: {1}")]
    Event(usize, &'static str),
}

/// The beginning or the end of an event.
#[derive(Clone, Debug, PartialEq)]
pub struct Moment {
    pub at: f64,
    pub begins: bool,
    pub event: Event,
}

pub fn parse(text: &str) -> Result<Vec<Event>, PlanError> {
    let events: Vec<Event> = serde_json::from_str(text)?;
    for (i, event) in events.iter().enumerate() {
        let valid = |t: f64| t.is_finite() && t >= 0.0;
        if !valid(event.at) || !valid(event.lasts) {
            return Err(PlanError::Event(i, "at and lasts must be finite, non-negative seconds"));
        }
        match event.what {
            Fault::Kill(part) | Fault::Stop(part) | Fault::Cut(part) | Fault::Lossy(part)
                if !(0.0..=1.0).contains(&part) =>
            {
                return Err(PlanError::Event(i, "a fraction must lie between 0 and 1"));
            }
            Fault::Purges(rate) if !(rate > 0.0 && rate <= MAX_PURGES_PER_S) => {
                return Err(PlanError::Event(i, "purges per second must be above 0 and at most 10,000"));
            }
            Fault::Purges(_) if event.lasts == 0.0 => {
                return Err(PlanError::Event(i, "purges per second need a duration (lasts)"));
            }
            Fault::Bad(0) | Fault::Slow(0, _) => {
                return Err(PlanError::Event(i, "the interval between caches must be 1 or more"));
            }
            _ => {}
        }
    }
    Ok(events)
}

/// Beginnings and ends of all events, ordered by time.
pub fn moments(events: &[Event]) -> Vec<Moment> {
    let bounds = |event: &Event| {
        let moment = |at, begins| Moment { at, begins, event: event.clone() };
        [moment(event.at, true), moment(event.at + event.lasts, false)]
    };
    let mut all: Vec<Moment> = events.iter().flat_map(bounds).collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_is_parsed_and_its_errors_are_reported() {
        let plan =
            parse(r#"[{"at": 2, "lasts": 1, "what": {"kill": 0.7}}, {"at": 1, "what": "purge"}]"#).unwrap();
        let order: Vec<(f64, bool)> = moments(&plan).iter().map(|m| (m.at, m.begins)).collect();
        assert_eq!(order, [(1.0, true), (1.0, false), (2.0, true), (3.0, false)]);
        for (text, message) in [
            (r#"[{"at": -1, "what": "purge"}]"#, "event 0: at and lasts"),
            (r#"[{"at": 1, "what": {"kill": 2}}]"#, "event 0: a fraction"),
            (r#"[{"at": 1, "what": {"bad": 0}}]"#, "event 0: the interval between caches"),
            (r#"[{"at": 1, "lasts": 2, "what": {"purges": 0}}]"#, "event 0: purges per second must"),
            (r#"[{"at": 1, "what": {"purges": 9}}]"#, "event 0: purges per second need"),
            (r#"[{"at": 1, "what": "fog"}]"#, "invalid plan: unknown variant"),
        ] {
            let why = parse(text).unwrap_err().to_string();
            assert!(why.starts_with(message), "{why}");
        }
    }
}
