//! The simulator's protocol: decodes batches of events into calls of the decision module and encodes its decisions.

use kelpcart::hash_prefix::PrefixSet;
use kelpcart::interface::*;
use kelpcart::{Gateway, Span, Time};
use kelpcart_settings::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Default)]
pub struct Host {
    running: BTreeMap<u64, Running>,
}

struct Running {
    gateway: Gateway,
    wake: Option<Time>,
}

impl Host {
    /// Processes one batch and returns the reply line.
    pub fn batch(&mut self, line: &str) -> ParseResult<String> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let batch = batch.as_object().ok_or("not an object")?;
        let now = Time::from_micros(int(batch, "TUs")?);
        let mut touched = Vec::new();
        for event in list(batch, "inbox")? {
            let mut named = event.as_object().ok_or("an event is not an object")?.iter();
            let (Some((name, body)), None) = (named.next(), named.next()) else {
                return Err("an event must have exactly one name".into());
            };
            let body = body.as_object().ok_or_else(|| format!("{name}: not an object"))?;
            let instance = int(body, "Who").map_err(|e| format!("{name}: {e}"))?;
            self.event(now, name, instance, body).map_err(|e| format!("{name}: {e}"))?;
            if !touched.contains(&instance) {
                touched.push(instance);
            }
        }
        let mut orders = Vec::new();
        for instance in touched {
            if let Some(running) = self.running.get_mut(&instance) {
                running.encode_decisions(now, instance, &mut orders);
            }
        }
        Ok(json!({ "orders": orders }).to_string())
    }

    fn event(&mut self, now: Time, name: &str, instance: u64, body: &Fields) -> ParseResult<()> {
        if name == "Up" {
            let settings = settings(object(body, "Settings")?)?;
            let gateway = Gateway::new(settings, int(body, "Entropy")?, now);
            self.running.insert(instance, Running { gateway, wake: None });
            return Ok(());
        }
        let running =
            self.running.get_mut(&instance).ok_or_else(|| format!("instance {instance} is not running"))?;
        let gateway = &mut running.gateway;
        match name {
            "Update" => match text(body, "Form")? {
                "error" => gateway.subscription_failed(now),
                form @ ("diff" | "snapshot" | "disk") => {
                    let entries: ParseResult<Vec<Member>> =
                        list(body, "Entries")?.iter().map(member).collect();
                    gateway.update_members(now, form != "diff", entries?);
                }
                form => return Err(format!("unknown Form {form}")),
            },
            "Ingress" => gateway.submit(now, txn(body)?),
            "ReportBack" => gateway.record_outcome(now, outcome(body)?),
            "Hangup" => gateway.client_left(int(body, "Req")?),
            "Outdated" => {
                let group = optional(body, "Group", int)?.unwrap_or(0);
                let set =
                    optional(body, "File", int)?.map_or_else(|| PrefixSet::group(group), PrefixSet::object);
                gateway.purge(now, set, span(body, "AgeUs")?);
            }
            "Reminder" => {
                if running.wake.is_some_and(|at| at <= now) {
                    running.wake = None;
                }
            }
            "PowerOff" => {
                self.running.remove(&instance);
            }
            "First" | "StatusBack" | "Message" => {}
            _ => return Err("unknown event".into()),
        }
        Ok(())
    }
}

impl Running {
    fn encode_decisions(&mut self, now: Time, instance: u64, orders: &mut Vec<Value>) {
        while let Some(decision) = self.gateway.poll(now) {
            orders.push(encode(instance, decision));
        }
        let next = self.gateway.next_wake();
        if self.wake.is_none_or(|at| next < at) {
            let wait = (next - now).as_micros().max(1);
            self.wake = Some(now + Span::from_micros(wait));
            orders.push(json!({"Timer": {"Who": instance, "SpanUs": wait, "Tag": 0}}));
        }
    }
}

fn encode(instance: u64, decision: Decision) -> Value {
    match decision {
        Decision::Hop { txn, member, fill: None, deadline, .. } => {
            json!({"PassOn": {"Who": instance, "Req": txn, "Cache": &*member, "TryUntilUs": deadline.as_micros()}})
        }
        Decision::Hop { txn, member, fill: Some(fill), deadline, .. } => {
            let mode =
                u8::from(fill.coalesce) + 2 * u8::from(fill.only_if_cached) + 8 * u8::from(fill.revalidate);
            let age = fill.max_age.map_or(0, Span::as_micros);
            json!({"ServeVia": {"Who": instance, "Req": txn, "Cache": &*member, "Keep": fill.keep_rank,
                "Supplier": &*fill.source, "Mode": mode, "TryUntilUs": deadline.as_micros(), "AgeUs": age}})
        }
        Decision::Cancel { txn, hop } => json!({"DropAttempt": {"Who": instance, "Req": txn, "SeqNo": hop}}),
        Decision::Reject { txn, retry_after } => {
            let wait = retry_after.map_or(0, Span::as_micros);
            json!({"Refuse": {"Who": instance, "Req": txn, "RetryInUs": wait}})
        }
        Decision::Abort { txn } => json!({"ReportFailure": {"Who": instance, "Req": txn}}),
        Decision::Subscribe => json!({"Watch": {"Who": instance, "On": true}}),
    }
}

fn txn(body: &Fields) -> ParseResult<Txn> {
    Ok(Txn {
        id: int(body, "Req")?,
        rule: int(body, "Service")? as usize,
        object: int(body, "File")?,
        group: optional(body, "Tag", int)?.unwrap_or(0),
        part: optional(body, "Segment", int)?.unwrap_or(0),
        is_write: optional(body, "Mutates", flag)?.unwrap_or(false),
        size: optional(body, "BytesK", number)?.filter(|&kb| kb > 0.0),
        time_left: span(body, "LeftUs")?,
        ..Txn::default()
    })
}

fn outcome(body: &Fields) -> ParseResult<Outcome> {
    let status = match text(body, "StateCode")? {
        "success" => HopStatus::Completed,
        "failure" => HopStatus::Errored,
        "overloaded" => HopStatus::TurnedAway,
        "timed_out" => HopStatus::TimedOut,
        "unreachable" => HopStatus::Unreachable,
        "broken" => HopStatus::Broken,
        "withdrawn" => HopStatus::Withdrawn,
        "void" => HopStatus::NeverSent,
        "absent" => HopStatus::Lacking,
        code => return Err(format!("unknown StateCode {code}")),
    };
    let cache_status = match optional(body, "Note", int)?.unwrap_or(0) {
        0 => None,
        1 => Some(CacheStatus::Held),
        2 => Some(CacheStatus::Filled),
        3 => Some(CacheStatus::FilledByOrigin),
        4 => Some(CacheStatus::Joined),
        5 => Some(CacheStatus::Old),
        6 => Some(CacheStatus::SourceRefused),
        7 => Some(CacheStatus::SourceLost),
        8 => Some(CacheStatus::SourceLacks),
        9 => Some(CacheStatus::NoPlace),
        10 => Some(CacheStatus::OriginFailed),
        code => return Err(format!("unknown Note {code}")),
    };
    let pressure = body.get("Pressure").and_then(Value::as_object);
    let reported = |name: &str| pressure.and_then(|p| p.get(name)).and_then(Value::as_f64);
    Ok(Outcome {
        txn: int(body, "Req")?,
        hop: int(body, "SeqNo")? as u32,
        status,
        duration: span(body, "DurationUs")?,
        answered: optional(body, "Terminal", flag)?.unwrap_or(false),
        cache_status,
        first_byte: optional(body, "FirstByteUs", int)?.filter(|&us| us > 0).map(Span::from_micros),
        load: LoadReport { link_load: reported("x1") },
    })
}

fn member(entry: &Value) -> ParseResult<Member> {
    let entry = entry.as_object().ok_or("an entry is not an object")?;
    Ok(Member {
        id: Arc::from(text(entry, "Cache")?),
        zone: Some(optional(entry, "Campus", int)?.unwrap_or(0) as usize),
        kind: optional(entry, "Type", int)?.unwrap_or(0) as usize,
        cell: optional(entry, "Group", int)?,
        state: state(entry, "Availability")?,
        capacity: optional(entry, "Share", number)?.unwrap_or(0.0),
        started: optional(entry, "StartedAtUs", int)?.filter(|&at| at > 0).map(Time::from_micros),
        remote: false,
    })
}
