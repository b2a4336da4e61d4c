//! What happens to a fleet and when: read from a file or one of the named ones, in order. No I/O and no clock.

use serde::{Deserialize, Serialize};

const MAX_PURGES_PER_S: f64 = 10_000.0;

/// What is cut, killed or stopped is undone at the event's end.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    BulletinDown,
    /// Its connections end after so many bytes.
    BulletinDies(u64),
    /// This part of the gateways is killed, and started again at the end.
    Kill(f64),
    /// Those that are connected to the bulletin.
    KillAskers,
    /// This part is stopped (SIGSTOP), and continued at the end.
    Stop(f64),
    StopAskers,
    /// This part is cut off from the others, and from the bulletin.
    Cut(f64),
    /// One gateway hears nothing of the others; what it says arrives.
    Deaf(usize),
    /// Part of the datagrams between gateways is lost.
    Lossy(f64),
    /// One cache in so many answers with errors.
    Bad(usize),
    /// One cache in so many is slow by these milliseconds.
    Slow(usize, u64),
    /// All are restarted as planned, a tenth at a time, over the event's time.
    Roll,
    /// An object that many want is purged.
    Purge,
    /// So many objects a second are purged, drawn evenly from those that clients want.
    Purges(f64),
    /// The keys change in three steps over the event's time.
    Rekey,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds from the start, and how long it lasts.
    pub at: f64,
    #[serde(default)]
    pub lasts: f64,
    pub what: Fault,
}

#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    #[error("the plan: {0}")]
    Json(#[from] serde_json::Error),
    #[error("event {0}: {1}")]
    Event(usize, &'static str),
}

/// A moment at which something begins or ends.
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
            return Err(PlanError::Event(i, "at and lasts are seconds"));
        }
        match event.what {
            Fault::Kill(part) | Fault::Stop(part) | Fault::Cut(part) | Fault::Lossy(part)
                if !(0.0..=1.0).contains(&part) =>
            {
                return Err(PlanError::Event(i, "a part lies between 0 and 1"));
            }
            Fault::Purges(rate) if !(rate > 0.0 && rate <= MAX_PURGES_PER_S) => {
                return Err(PlanError::Event(i, "purges a second are more than 0 and 10,000 at the most"));
            }
            Fault::Purges(_) if event.lasts == 0.0 => {
                return Err(PlanError::Event(i, "purges a second want a time that they last"));
            }
            Fault::Bad(0) | Fault::Slow(0, _) => return Err(PlanError::Event(i, "one cache in 1 or more")),
            _ => {}
        }
    }
    Ok(events)
}

/// Beginnings and ends in order.
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
    fn a_file_is_read_and_its_faults_are_told() {
        let plan =
            parse(r#"[{"at": 2, "lasts": 1, "what": {"kill": 0.7}}, {"at": 1, "what": "purge"}]"#).unwrap();
        let order: Vec<(f64, bool)> = moments(&plan).iter().map(|m| (m.at, m.begins)).collect();
        assert_eq!(order, [(1.0, true), (1.0, false), (2.0, true), (3.0, false)]);
        for (text, message) in [
            (r#"[{"at": -1, "what": "purge"}]"#, "event 0: at and lasts"),
            (r#"[{"at": 1, "what": {"kill": 2}}]"#, "event 0: a part"),
            (r#"[{"at": 1, "what": {"bad": 0}}]"#, "event 0: one cache"),
            (r#"[{"at": 1, "lasts": 2, "what": {"purges": 0}}]"#, "event 0: purges a second are"),
            (r#"[{"at": 1, "what": {"purges": 9}}]"#, "event 0: purges a second want"),
            (r#"[{"at": 1, "what": "fog"}]"#, "the plan: unknown variant"),
        ] {
            let why = parse(text).unwrap_err().to_string();
            assert!(why.starts_with(message), "{why}");
        }
    }
}
