//! Parses the configuration: all of it at startup, before the listener is opened, and only the discovery service's address
//! (`bulletin`) on a reload. Also parses discovery events, which refer to names of the configuration.
//!
//! Invariant: every value comes from the operators; none is made up here.

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
    pub discovery_address: SocketAddr,
    /// Discovery events that are applied at startup.
    pub initial_events: Vec<DiscoveryEvent>,
    /// The number of the last of `initial_events`.
    pub last_event: u64,
    pub settings: Settings,
    pub names: Names,
    /// Caches close idle connections after this time.
    pub idle_timeout: Span,
    pub max_open_txns: usize,
    /// The longest time limit of any remap rule.
    pub max_time_limit: Span,
}

/// Names of remap rules, zones and member kinds; the position of a name is its index in the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub rules: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// An event of the discovery service.
#[derive(Clone, Debug)]
pub enum DiscoveryEvent {
    Roster {
        snapshot: bool,
        list: Vec<ListedMember>,
    },
    /// Invalidates all copies of the objects in `names` that are older than `issued_ms` (ms since the Unix epoch).
    Purge {
        names: PrefixSet,
        issued_ms: u64,
    },
}

#[derive(Clone, Debug)]
pub struct ListedMember {
    pub member: Member,
    /// `None` if it is missing or invalid: the member is then unreachable.
    pub address: Option<SocketAddr>,
}

impl Config {
    pub fn read(json: &str) -> ParseResult<Config> {
        let all: Value = serde_json::from_str(json).map_err(|e| format!("not valid JSON: {e}"))?;
        let all = all.as_object().ok_or("not a JSON object")?;
        let in_section = |what: &str, e: String| format!("{what}: {e}");
        let settings_object = object(all, "settings")?;
        let names = Names {
            rules: read_names(settings_object, "Classes").map_err(|e| in_section("settings", e))?,
            zones: read_names(settings_object, "Zones").map_err(|e| in_section("settings", e))?,
            kinds: read_names(settings_object, "Shapes").map_err(|e| in_section("settings", e))?,
        };
        let limits = object(all, "limits")?;
        let policy_limits = object(settings_object, "PolicyLimits").map_err(|e| in_section("settings", e))?;
        let known = object(all, "known")?;
        let mut initial_events = Vec::new();
        for item in list(known, "items")? {
            initial_events.extend(parse_event(item, &names).map_err(|e| in_section("known", e))?.1);
        }
        let deadlines =
            list(settings_object, "Classes")?.iter().filter_map(|c| c.get("DeadlineUs")?.as_u64());
        Ok(Config {
            name: text(all, "name")?.to_owned(),
            listen: address(all, "listen")?,
            seed: hex(text(all, "seed")?).ok_or("seed is not a hex number")?,
            memory_limit: int(limits, "memory_mb")? as usize * 1024 * 1024,
            descriptor_limit: int(limits, "sockets")? as usize,
            discovery_address: address(all, "bulletin")?,
            initial_events,
            last_event: int(known, "no")?,
            settings: settings(settings_object).map_err(|e| in_section("settings", e))?,
            idle_timeout: span(policy_limits, "ConnIdleUs").map_err(|e| in_section("settings", e))?,
            max_open_txns: int(policy_limits, "MaxOpen").map_err(|e| in_section("settings", e))? as usize,
            max_time_limit: Span::from_micros(
                deadlines.max().ok_or("settings: no entry of Classes has DeadlineUs")?,
            ),
            names,
        })
    }
}

/// The address of the discovery service, the only setting that a reload may change.
pub fn read_discovery_address(json: &str) -> ParseResult<SocketAddr> {
    let all: Value = serde_json::from_str(json).map_err(|e| format!("not valid JSON: {e}"))?;
    address(all.as_object().ok_or("not a JSON object")?, "bulletin")
}

/// The initial events as unparsed JSON values.
pub fn read_initial_events(json: &str) -> ParseResult<Vec<Value>> {
    let all: Value = serde_json::from_str(json).map_err(|e| format!("not valid JSON: {e}"))?;
    let known = object(all.as_object().ok_or("not a JSON object")?, "known")?;
    list(known, "items").map(|items| items.to_vec())
}

/// Parses an event's number and content; the content is `None` for an unknown kind of event.
pub fn parse_event(item: &Value, names: &Names) -> ParseResult<(u64, Option<DiscoveryEvent>)> {
    let item = item.as_object().ok_or("event is not a JSON object")?;
    let number = int(item, "no")?;
    if item.contains_key("roster") {
        let roster = object(item, "roster")?;
        let list: ParseResult<Vec<ListedMember>> =
            list(roster, "endpoints")?.iter().map(|e| parse_listed_member(e, names)).collect();
        let snapshot = optional(roster, "snapshot", flag)?.unwrap_or(false);
        return Ok((number, Some(DiscoveryEvent::Roster { snapshot, list: list? })));
    }
    if !item.contains_key("recall") {
        return Ok((number, None));
    }
    let recall = object(item, "recall")?;
    let object = optional(recall, "item", |r, n| hex(text(r, n)?).ok_or("item is not a hex number".into()))?;
    let group = optional(recall, "lot", int)?;
    let names = object
        .map(PrefixSet::object)
        .or(group.map(PrefixSet::group))
        .ok_or("recall has neither item nor lot")?;
    Ok((number, Some(DiscoveryEvent::Purge { names, issued_ms: int(recall, "issued")? })))
}

fn parse_listed_member(entry: &Value, names: &Names) -> ParseResult<ListedMember> {
    let entry = entry.as_object().ok_or("an entry of endpoints is not an object")?;
    let index_of = |name: &str, of: &[String]| {
        let value = entry.get(name).and_then(Value::as_str);
        value.and_then(|t| of.iter().position(|n| n == t))
    };
    let started = optional(entry, "since_ms", int)?.filter(|&ms| ms > 0);
    let member = Member {
        id: Arc::from(text(entry, "name")?),
        zone: index_of("zone", &names.zones),
        // An unknown kind maps to the index after the last known one, so that it never counts as a known kind.
        kind: index_of("type", &names.kinds).unwrap_or(names.kinds.len()),
        cell: optional(entry, "group", int)?,
        state: state(entry, "status")?,
        capacity: optional(entry, "weight", number)?.unwrap_or(0.0),
        started: started.map(|ms| Time::from_micros(ms.saturating_mul(1_000))),
        remote: false,
    };
    let address = entry.get("address").and_then(Value::as_str).and_then(|a| a.parse().ok());
    Ok(ListedMember { member, address })
}

fn read_names(body: &Fields, name: &str) -> ParseResult<Vec<String>> {
    let name_of = |v: &Value| {
        let name_value = v.as_str().or_else(|| v.get("Name")?.as_str());
        name_value.map(str::to_owned).ok_or_else(|| format!("{name} has an entry without a name"))
    };
    list(body, name)?.iter().map(name_of).collect()
}

fn address(body: &Fields, name: &str) -> ParseResult<SocketAddr> {
    text(body, name)?.parse().map_err(|_| format!("{name} is not a socket address"))
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
