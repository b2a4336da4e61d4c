//! Parses the settings that a gateway is given at its start, for all hosts of the decision module, and fields of JSON
//! objects.
//!
//! Invariant: this crate defines the names of the settings and no values of its own.

use kelpcart::Span;
use kelpcart::interface::*;
use serde_json::{Map, Value};

pub type Fields = Map<String, Value>;
pub type ParseResult<T> = Result<T, String>;

/// Parses the settings of one gateway.
pub fn settings(all: &Fields) -> ParseResult<Settings> {
    let family = object(all, "FamilyInfo")?;
    let limits = object(all, "PolicyLimits")?;
    let contract = object(all, "Contract")?;
    let zone = int(all, "Locality")? as usize;
    let kind = |name| Ok::<_, String>(optional_int(family, name)?.and_then(|k| usize::try_from(k).ok()));
    let classes = list(all, "Classes")?;
    let overload_window = span(contract, "TipAfterUs")?;
    let parent_kind = kind("ParentKind")?;
    // Without parents, their settings may be missing.
    let parent_cold_start = || -> ParseResult<ColdStart> {
        Ok(ColdStart {
            initial_share: number(family, "ParentColdFrom")?,
            warm_up: span(family, "UpperColdUs")?,
            overload_factor: number(family, "ParentFallMultiple")?,
            overload_window,
        })
    };
    let gateways = int(all, "Instances")? as u32;
    // Without a count for the gateway's own zone, all gateways may be in it.
    let zone_gateways = element(family, "CrewByZone", zone).and_then(Value::as_u64).filter(|&n| n > 0);
    Ok(Settings {
        gateways,
        zone_gateways: zone_gateways.map_or(gateways, |n| n as u32),
        zone,
        rules: classes.iter().enumerate().map(|(i, c)| rule(c, i, family)).collect::<ParseResult<_>>()?,
        parent_kind,
        origin_kind: kind("OriginKind")?,
        client_rate: optional(family, "ClientKbPerS", number)?.unwrap_or(0.0),
        capacities_known: text(all, "Weights")? == "nominal",
        bypass_allowed: optional(family, "BypassAllowed", flag)?.unwrap_or(false),
        coalescing: optional(family, "CanJoin", flag)?.unwrap_or(false),
        sibling_fills: match text(family, "Neighbours")? {
            "any" => FillScope::All,
            "location" => FillScope::Zone,
            _ => FillScope::Off,
        },
        cancellation: flag(limits, "Cancel")?,
        retry_after_allowed: flag(limits, "RetryAfter")?,
        max_retry_after: span(limits, "MaxRetryAfterUs")?,
        max_hops: int(limits, "MaxAttempts")? as u32,
        connect_timeout: span(limits, "ConnectTimeoutUs")?,
        cache_cold_start: ColdStart {
            initial_share: number(contract, "ColdFrom")?,
            warm_up: span(contract, "ColdUs")?,
            overload_factor: number(contract, "FallMultiple")?,
            overload_window,
        },
        parent_cold_start: if parent_kind.is_some() { parent_cold_start()? } else { ColdStart::default() },
        purge_propagation: span(family, "GoneEverywhereUs")?,
        subscription_required: text(all, "Discovery")? == "ask",
        subscribe_within: span(contract, "AskWithinUs")?,
        tick: span(all, "TickUs")?,
    })
}

fn rule(class: &Value, i: usize, family: &Fields) -> ParseResult<RemapRule> {
    let class = class.as_object().ok_or("a class is not an object")?;
    let class_value = |name| element(family, name, i);
    let effect = match text(class, "Repeat")? {
        "pure" => Effect::Repeatable,
        "token" => Effect::Keyed,
        "side_effect" => Effect::Unrepeatable,
        effect => return Err(format!("unknown Repeat {effect}")),
    };
    // Only keyed rules have dedup settings.
    let (dedup_scope, dedup_window) = if effect == Effect::Keyed {
        let scope = match text(class, "DedupScope")? {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            scope => return Err(format!("unknown DedupScope {scope}")),
        };
        (scope, span(class, "MemorySpanUs")?)
    } else {
        (DedupScope::All, Span::ZERO)
    };
    Ok(RemapRule {
        effect,
        dedup_scope,
        dedup_window,
        sla: span(class, "SloUs")?,
        sla_size_factor: optional(class, "AimStretch", number)?.unwrap_or(0.0),
        max_age: Span::from_micros(class_value("LifetimeByClassUs").and_then(Value::as_u64).unwrap_or(0)),
        max_stale: Span::from_micros(class_value("UsableAfterUs").and_then(Value::as_u64).unwrap_or(0)),
        is_write: class_value("PassOn").and_then(Value::as_bool).unwrap_or(false),
    })
}

/// A member's state as named on the wire and by the discovery service. An unknown state is treated as draining, so that
/// the member gets no new hops.
pub fn state(body: &Fields, name: &str) -> ParseResult<MemberState> {
    match text(body, name)? {
        "up" => Ok(MemberState::Up),
        "draining" => Ok(MemberState::Draining),
        "removed" => Ok(MemberState::Gone),
        _ => Ok(MemberState::Draining),
    }
}

/// Element `i` of the array in field `name`; `None` where either is missing.
pub fn element<'a>(body: &'a Fields, name: &str, i: usize) -> Option<&'a Value> {
    body.get(name)?.as_array()?.get(i)
}

pub fn required<'a>(body: &'a Fields, name: &str) -> ParseResult<&'a Value> {
    body.get(name).filter(|v| !v.is_null()).ok_or_else(|| format!("{name} is missing"))
}

/// Reads a field with `read`; `None` where it is missing or null.
pub fn optional<T>(
    body: &Fields,
    name: &str,
    read: fn(&Fields, &str) -> ParseResult<T>,
) -> ParseResult<Option<T>> {
    body.get(name).filter(|v| !v.is_null()).map(|_| read(body, name)).transpose()
}

pub fn int(body: &Fields, name: &str) -> ParseResult<u64> {
    required(body, name)?.as_u64().ok_or_else(|| format!("{name} is not an integer"))
}

pub fn optional_int(body: &Fields, name: &str) -> ParseResult<Option<i64>> {
    optional(body, name, |b, n| required(b, n)?.as_i64().ok_or_else(|| format!("{n} is not an integer")))
}

pub fn span(body: &Fields, name: &str) -> ParseResult<Span> {
    int(body, name).map(Span::from_micros)
}

pub fn number(body: &Fields, name: &str) -> ParseResult<f64> {
    required(body, name)?.as_f64().ok_or_else(|| format!("{name} is not a number"))
}

pub fn flag(body: &Fields, name: &str) -> ParseResult<bool> {
    required(body, name)?.as_bool().ok_or_else(|| format!("{name} is not a boolean"))
}

pub fn text<'a>(body: &'a Fields, name: &str) -> ParseResult<&'a str> {
    required(body, name)?.as_str().ok_or_else(|| format!("{name} is not a string"))
}

pub fn list<'a>(body: &'a Fields, name: &str) -> ParseResult<&'a Vec<Value>> {
    required(body, name)?.as_array().ok_or_else(|| format!("{name} is not an array"))
}

pub fn object<'a>(body: &'a Fields, name: &str) -> ParseResult<&'a Fields> {
    required(body, name)?.as_object().ok_or_else(|| format!("{name} is not an object"))
}
