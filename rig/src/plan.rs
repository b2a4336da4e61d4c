//! Fault plan of a run between two sites: parsed from JSON or generated from a seed, ordered by time. Performs no I/O
//! and reads no clock.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// A fault, undone at the end of its event. Plans name the variants in kebab case.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A link loses all datagrams in both directions.
    Dark,
    /// A link loses all datagrams towards the remote site.
    DarkThere,
    /// A link loses all datagrams from the remote site.
    DarkBack,
    /// The link is limited to this many KB per second.
    Narrow(f64),
    /// The link loses this fraction of the datagrams.
    Lossy(f64),
    /// The remote gateway is killed, and started again at the end.
    KillFar,
    /// The remote gateway is killed and its disk is lost; it is started again at the end.
    WipeFar,
    /// This many remote gateways, the leader among them, are killed at once and lose their disks.
    WipeLeader(usize),
    /// All remote gateways in the leader's zone are killed and lose their disks.
    WipeZone,
    /// The leader is suspended (SIGSTOP), and resumed at the end.
    StopLeader,
    /// The leader is partitioned from the other replicas in both directions.
    CutLeader,
    /// The other replicas receive nothing from the leader.
    MuteLeader,
    /// The leader receives nothing from the other replicas.
    DeafLeader,
    /// This fraction of the datagrams between remote gateways is lost.
    LossyCopies(f64),
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds from the start of the run.
    pub at: f64,
    /// Duration in seconds.
    pub lasts: f64,
    /// Number of the remote gateway, or of the one that the link leads to; absent: all.
    #[serde(default)]
    pub link: Option<usize>,
    pub what: Fault,
}

#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    #[error("invalid plan: {0}")]
    Json(#[from] serde_json::Error),
    #[error("event {0}: {1}")]
    Event(usize, &'static str),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub events: Vec<Event>,
}

/// The beginning or the end of an event.
#[derive(Clone, Debug, PartialEq)]
pub struct Moment {
    pub at: f64,
    pub begins: bool,
    pub event: Event,
}

impl Plan {
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let events: Vec<Event> = serde_json::from_str(text)?;
        for (i, event) in events.iter().enumerate() {
            let valid =
                event.at.is_finite() && event.lasts.is_finite() && event.at >= 0.0 && event.lasts > 0.0;
            if !valid {
                return Err(PlanError::Event(i, "at and lasts must be finite seconds, lasts above 0"));
            }
            match event.what {
                Fault::Lossy(part) | Fault::LossyCopies(part) if !(0.0..=1.0).contains(&part) => {
                    return Err(PlanError::Event(i, "a fraction must lie between 0 and 1"));
                }
                Fault::WipeLeader(0) => return Err(PlanError::Event(i, "at least one gateway is required")),
                Fault::Narrow(rate) if rate.is_nan() || rate <= 0.0 => {
                    return Err(PlanError::Event(i, "a rate must be above 0"));
                }
                _ => {}
            }
        }
        Ok(Plan { events })
    }

    /// Link outages of `lasts` seconds about every `every` seconds, and optionally one long outage of all links
    /// (start and duration) from which the short ones keep clear.
    pub fn link_cuts(seed: u64, seconds: f64, every: f64, lasts: f64, dark: Option<(f64, f64)>) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut events = Vec::new();
        if let Some((at, lasts)) = dark {
            events.push(Event { at, lasts, link: None, what: Fault::Dark });
        }
        let mut at = every;
        while every > 0.0 && at + lasts < seconds {
            let moved = at + rng.random_range(-0.25..0.25) * every;
            let clear = dark.is_none_or(|(from, long)| moved + lasts < from || moved > from + long + every);
            if clear {
                // Half of the outages affect only one direction.
                let what = match rng.random_range(0..4) {
                    0 => Fault::DarkThere,
                    1 => Fault::DarkBack,
                    _ => Fault::Dark,
                };
                events.push(Event { at: moved, lasts, link: None, what });
            }
            at += every;
        }
        Plan { events }
    }

    /// Every `every` seconds a remote gateway is lost with its disk for `down_for` seconds, every second time
    /// the leader. In between, leaders are suspended or partitioned, and links and replicas lose datagrams.
    pub fn machine_losses(
        seed: u64,
        seconds: f64,
        every: f64,
        down_for: f64,
        remote_gateways: usize,
    ) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut events, mut at, mut round) = (Vec::new(), every / 2.0, 0);
        while every > 0.0 && at + down_for < seconds {
            let link = rng.random_range(0..remote_gateways);
            let what = if round % 2 == 0 { Fault::WipeLeader(1) } else { Fault::WipeFar };
            let link = (what == Fault::WipeFar).then_some(link);
            events.push(Event { at, lasts: down_for, link, what });
            let between = at + every * rng.random_range(0.4..0.6);
            let (what, lasts) = match round % 6 {
                0 => (Fault::Dark, 2.0),
                1 => (Fault::StopLeader, 5.0),
                2 => (Fault::CutLeader, 3.0),
                3 => (Fault::LossyCopies(0.1), 3.0),
                4 => (Fault::MuteLeader, 3.0),
                _ => (Fault::DeafLeader, 3.0),
            };
            let link = (what == Fault::Dark).then(|| rng.random_range(0..remote_gateways));
            if between + lasts < at + every {
                events.push(Event { at: between, lasts, link, what });
            }
            at += every;
            round += 1;
        }
        Plan { events }
    }

    /// Beginnings and ends of all events, ordered by time.
    pub fn moments(&self) -> Vec<Moment> {
        let bounds = |event: &Event| {
            let moment = |at, begins| Moment { at, begins, event: event.clone() };
            [moment(event.at, true), moment(event.at + event.lasts, false)]
        };
        let mut all: Vec<Moment> = self.events.iter().flat_map(bounds).collect();
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    #[test]
    fn a_plan_is_parsed_and_its_errors_are_reported() {
        let plan = Plan::parse(
            r#"[{"at": 1, "lasts": 2, "what": "dark"}, {"at": 2, "lasts": 1, "what": {"lossy": 0.5}}]"#,
        );
        let moments = plan.unwrap().moments();
        assert_eq!(
            moments.iter().map(|m| (m.at, m.begins)).collect::<Vec<_>>(),
            [(1.0, true), (2.0, true), (3.0, false), (3.0, false)]
        );
        for (text, message) in [
            (r#"[{"at": 1, "lasts": 0, "what": "dark"}]"#, "event 0: at and lasts"),
            (r#"[{"at": 1, "lasts": 1, "what": {"lossy": 2}}]"#, "event 0: a fraction"),
            (r#"[{"at": 1, "lasts": 1, "what": {"narrow": 0}}]"#, "event 0: a rate"),
            (r#"[{"at": 1, "lasts": 1, "what": "fog"}]"#, "invalid plan: unknown variant"),
        ] {
            let why = Plan::parse(text).unwrap_err().to_string();
            assert!(why.starts_with(message), "{why}");
        }
    }

    quickcheck! {
        fn short_outages_lie_inside_the_run_and_clear_of_the_long_one(seed: u64) -> bool {
            let plan = Plan::link_cuts(seed, 600.0, 20.0, 2.5, Some((300.0, 60.0)));
            let link_cuts: Vec<&Event> = plan.events.iter().filter(|e| e.lasts < 60.0).collect();
            let clear = |e: &Event| e.at > 0.0 && e.at + e.lasts < 605.0 && !(297.5..=360.0).contains(&e.at);
            link_cuts.len() > 20 && link_cuts.into_iter().all(clear) && plan == Plan::link_cuts(seed, 600.0, 20.0, 2.5, Some((300.0, 60.0)))
        }
    }
}
