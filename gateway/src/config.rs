//! Reads the configuration: all of it once, before anything listens, and the bulletin's address each time it is
//! replaced. Owns the names in it; must never hold a value that the operators did not give.

use kelpcart::hash_prefix::PrefixSet;
use kelpcart::interface::{Member, Settings};
use kelpcart::{Span, Time};
use kelpcart_settings::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub memory_limit: usize,
    pub descriptor_limit: usize,
    pub bulletin: SocketAddr,
    /// The events of the start, and the number of the last.
    pub initial_events: Vec<DiscoveryEvent>,
    pub last_event: u64,
    pub settings: Settings,
    pub names: Names,
    /// Idle connections to caches are closed by these after this time.
    pub idle_timeout: Span,
    pub max_open_txns: usize,
    /// The longest time that a client waits.
    pub max_time_limit: Span,
}

/// Names that stand for the settings' places.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub rules: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// An event of the bulletin.
#[derive(Clone, Debug)]
pub enum DiscoveryEvent {
    Roster {
        whole: bool,
        list: Vec<ListedMember>,
    },
    /// Of what `names` covers nothing is good any more that is older than `issued_ms`, in ms since 1970.
    Purge {
        names: PrefixSet,
        issued_ms: u64,
    },
}

#[derive(Clone, Debug)]
pub struct ListedMember {
    pub member: Member,
    /// `None` where it is not told or can't be read: such a member can't be reached.
    pub address: Option<SocketAddr>,
}

impl Config {
    pub fn read(json: &str) -> ParseResult<Config> {
        let all: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
        let all = all.as_object().ok_or("not an object")?;
        let inside = |what: &str, e: String| format!("{what}: {e}");
        let told = object(all, "settings")?;
        let names = Names {
            rules: named(told, "Classes").map_err(|e| inside("settings", e))?,
            zones: named(told, "Zones").map_err(|e| inside("settings", e))?,
            kinds: named(told, "Shapes").map_err(|e| inside("settings", e))?,
        };
        let limits = object(all, "limits")?;
        let policy = object(told, "PolicyLimits").map_err(|e| inside("settings", e))?;
        let known = object(all, "known")?;
        let mut events = Vec::new();
        for item in list(known, "items")? {
            events.extend(parse_event(item, &names).map_err(|e| inside("known", e))?.1);
        }
        let deadlines = list(told, "Classes")?.iter().filter_map(|c| c.get("DeadlineUs")?.as_u64());
        Ok(Config {
            name: text(all, "name")?.to_owned(),
            listen: address(all, "listen")?,
            seed: hex(text(all, "seed")?).ok_or("seed is not a number in hex digits")?,
            memory_limit: int(limits, "memory_mb")? as usize * 1024 * 1024,
            descriptor_limit: int(limits, "sockets")? as usize,
            bulletin: address(all, "bulletin")?,
            initial_events: events,
            last_event: int(known, "no")?,
            settings: settings(told).map_err(|e| inside("settings", e))?,
            idle_timeout: span(policy, "ConnIdleUs").map_err(|e| inside("settings", e))?,
            max_open_txns: int(policy, "MaxOpen").map_err(|e| inside("settings", e))? as usize,
            max_time_limit: Span::from_micros(deadlines.max().ok_or("settings: no class has DeadlineUs")?),
            names,
        })
    }
}

/// The address of the bulletin, the one thing that may change on the way.
pub fn bulletin(json: &str) -> ParseResult<SocketAddr> {
    let all: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
    address(all.as_object().ok_or("not an object")?, "bulletin")
}

/// The events of the start as they are written.
pub fn known(json: &str) -> ParseResult<Vec<Value>> {
    let all: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
    let known = object(all.as_object().ok_or("not an object")?, "known")?;
    list(known, "items").map(|items| items.to_vec())
}

/// The number of an event and what it says; `None` for kinds of event not known here.
pub fn parse_event(item: &Value, names: &Names) -> ParseResult<(u64, Option<DiscoveryEvent>)> {
    let item = item.as_object().ok_or("not an event")?;
    let no = int(item, "no")?;
    if item.contains_key("roster") {
        let roster = object(item, "roster")?;
        let list: ParseResult<Vec<ListedMember>> =
            list(roster, "endpoints")?.iter().map(|e| listed(e, names)).collect();
        let whole = optional(roster, "snapshot", flag)?.unwrap_or(false);
        return Ok((no, Some(DiscoveryEvent::Roster { whole, list: list? })));
    }
    if !item.contains_key("recall") {
        return Ok((no, None));
    }
    let recall = object(item, "recall")?;
    let named = optional(recall, "item", |r, n| hex(text(r, n)?).ok_or("item is not hex digits".into()))?;
    let group = optional(recall, "lot", int)?;
    let names = named.map(PrefixSet::object).or(group.map(PrefixSet::group)).ok_or("recall names nothing")?;
    Ok((no, Some(DiscoveryEvent::Purge { names, issued_ms: int(recall, "issued")? })))
}

fn listed(entry: &Value, names: &Names) -> ParseResult<ListedMember> {
    let entry = entry.as_object().ok_or("an endpoint is not an object")?;
    // A place that the settings don't name is one of its own: no zone or kind is taken for another.
    let place = |name: &str, of: &[String]| {
        let told = entry.get(name).and_then(Value::as_str);
        told.and_then(|t| of.iter().position(|n| n == t)).unwrap_or(of.len())
    };
    let started = optional(entry, "since_ms", int)?.filter(|&ms| ms > 0);
    let member = Member {
        id: Arc::from(text(entry, "name")?),
        zone: place("zone", &names.zones),
        kind: place("type", &names.kinds),
        cell: optional(entry, "group", int)?.unwrap_or(0),
        state: state(entry, "status")?,
        capacity: optional(entry, "weight", number)?.unwrap_or(0.0),
        started: started.map(|ms| Time::from_micros(ms.saturating_mul(1_000))),
        remote: false,
    };
    let address = entry.get("address").and_then(Value::as_str).and_then(|a| a.parse().ok());
    Ok(ListedMember { member, address })
}

fn named(body: &Fields, name: &str) -> ParseResult<Vec<String>> {
    let one = |v: &Value| {
        let told = v.as_str().or_else(|| v.get("Name")?.as_str());
        told.map(str::to_owned).ok_or_else(|| format!("{name} holds one without a name"))
    };
    list(body, name)?.iter().map(one).collect()
}

fn address(body: &Fields, name: &str) -> ParseResult<SocketAddr> {
    text(body, name)?.parse().map_err(|_| format!("{name} is not an address"))
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
