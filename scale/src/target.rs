//! Owns the size that operators ask for, and its checks: a file that contradicts itself is told by the path of the field
//! and what is wrong with it. Must never hold what was measured.

use schemars::JsonSchema;
use serde::Deserialize;

/// An installation as operators want to run it.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub gateways: u32,
    /// Places where gateways stand, some at each.
    pub sites: u32,
    pub regions: u32,
    /// Of all regions together.
    pub zones: u32,
    /// Caches that the list names.
    pub caches: u32,
    pub traffic: Traffic,
    pub purges: Purges,
    pub changes: Changes,
    pub control: Control,
    pub faults: Faults,
    pub assumed: Assumed,
}

/// Of all gateways together, at the peak.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub requests_per_s: f64,
    pub bits_per_s: f64,
    /// Objects that there are.
    pub objects: u64,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Purges {
    pub per_s: f64,
    /// Done at every gateway, and known to be done, after so long.
    pub within_ms: u64,
}

/// Of the configuration.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    pub per_day: f64,
    /// In force at every gateway after so long.
    pub within_ms: u64,
}

/// What may be spent beside the txns.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Of one core, at each gateway.
    pub core_part: f64,
    /// At each gateway, in bytes.
    pub memory: u64,
    /// Bytes a second that a gateway takes in.
    pub bytes_in_per_s: f64,
    /// Bytes a second that a gateway sends.
    pub bytes_out_per_s: f64,
    /// Machines set aside for it.
    pub machines: u32,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Machines that fail on an ordinary day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// Racks or switches lost a year.
    pub racks_per_year: f64,
    pub zones_per_year: f64,
    /// Regions lose each other for so long.
    pub region_away_s: f64,
}

/// What operators did not say and a row needs; theirs stand in its place when they do.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Assumed {
    /// Changes are gathered for so long before they are told; the file of the feed says the same.
    pub feed_period_ms: u64,
    pub largest_site_gateways: u32,
    pub gateways_per_rack: u32,
    /// A release restarts all gateways in so long.
    pub release_s: f64,
    /// Cores of a gateway that txns may take.
    pub data_path_cores: f64,
    /// Cores of a machine set aside for control.
    pub machine_cores: f64,
}

#[derive(Debug, thiserror::Error)]
pub enum InvalidTarget {
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    #[error("{0}: {1}")]
    Field(&'static str, &'static str),
}

impl Target {
    pub fn read(text: &str) -> Result<Target, InvalidTarget> {
        let target: Target = serde_json::from_str(text)?;
        target.check()?;
        Ok(target)
    }

    /// The schema of the file (JSON Schema 2020-12).
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Target)).unwrap_or_default()
    }

    fn check(&self) -> Result<(), InvalidTarget> {
        let need = |is: bool, field: &'static str, what: &'static str| {
            if is { Ok(()) } else { Err(InvalidTarget::Field(field, what)) }
        };
        let some = |x: f64| x.is_finite() && x > 0.0;
        let any = |x: f64| x.is_finite() && x >= 0.0;
        need(self.gateways > 0, "gateways", "1 at the least")?;
        need(self.caches > 0, "caches", "1 at the least")?;
        need(self.regions > 0, "regions", "1 at the least")?;
        need(self.sites >= self.regions, "sites", "fewer than regions")?;
        need(self.sites <= self.gateways, "sites", "more than gateways")?;
        need(self.zones >= self.regions, "zones", "fewer than regions")?;
        need(self.zones <= self.caches, "zones", "more than caches")?;
        let t = &self.traffic;
        need(some(t.requests_per_s), "traffic.requests_per_s", "above 0")?;
        need(some(t.bits_per_s), "traffic.bits_per_s", "above 0")?;
        need(t.bits_per_s >= t.requests_per_s, "traffic.bits_per_s", "less than a bit a request")?;
        need(t.objects > 0, "traffic.objects", "1 at the least")?;
        let (p, c, a) = (&self.purges, &self.changes, &self.assumed);
        need(any(p.per_s), "purges.per_s", "0 at the least")?;
        need(a.feed_period_ms > 0, "assumed.feed_period_ms", "1 at the least")?;
        need(p.within_ms > a.feed_period_ms, "purges.within_ms", "not above assumed.feed_period_ms")?;
        need(any(c.per_day), "changes.per_day", "0 at the least")?;
        need(c.within_ms > a.feed_period_ms, "changes.within_ms", "not above assumed.feed_period_ms")?;
        let k = &self.control;
        need(some(k.core_part) && k.core_part <= 1.0, "control.core_part", "above 0, 1 at the most")?;
        need(k.memory > 0, "control.memory", "1 at the least")?;
        need(some(k.bytes_in_per_s), "control.bytes_in_per_s", "above 0")?;
        need(some(k.bytes_out_per_s), "control.bytes_out_per_s", "above 0")?;
        need(k.machines > 0, "control.machines", "1 at the least")?;
        let f = &self.faults;
        need(any(f.failures_per_day), "faults.failures_per_day", "0 at the least")?;
        need(any(f.restarts_per_day), "faults.restarts_per_day", "0 at the least")?;
        need(any(f.racks_per_year), "faults.racks_per_year", "0 at the least")?;
        need(any(f.zones_per_year), "faults.zones_per_year", "0 at the least")?;
        need(any(f.region_away_s), "faults.region_away_s", "0 at the least")?;
        let largest = a.largest_site_gateways;
        need(
            u64::from(largest) * u64::from(self.sites) >= u64::from(self.gateways),
            "assumed.largest_site_gateways",
            "below gateways / sites",
        )?;
        // Each of the others has one at the least.
        need(
            largest <= self.gateways - (self.sites - 1),
            "assumed.largest_site_gateways",
            "leaves none for the other sites",
        )?;
        need(
            (1..=self.gateways).contains(&a.gateways_per_rack),
            "assumed.gateways_per_rack",
            "1 to gateways",
        )?;
        need(some(a.release_s), "assumed.release_s", "above 0")?;
        need(some(a.data_path_cores), "assumed.data_path_cores", "above 0")?;
        need(some(a.machine_cores), "assumed.machine_cores", "above 0")
    }

    /// At the mean.
    pub fn gateways_per_site(&self) -> f64 {
        f64::from(self.gateways) / f64::from(self.sites)
    }

    /// At the peak, of a gateway at the mean.
    pub fn txns_per_s(&self) -> f64 {
        self.traffic.requests_per_s / f64::from(self.gateways)
    }

    /// MB a second at the peak, of a gateway at the mean.
    pub fn megabytes_per_s(&self) -> f64 {
        self.traffic.bits_per_s / 8e6 / f64::from(self.gateways)
    }

    pub fn caches_per_zone(&self) -> f64 {
        f64::from(self.caches) / f64::from(self.zones)
    }

    pub fn changes_per_s(&self) -> f64 {
        self.changes.per_day / 86_400.0
    }

    /// On an ordinary day, failures counted in.
    pub fn restarts_per_h(&self) -> f64 {
        (self.faults.failures_per_day + self.faults.restarts_per_day) / 24.0
    }

    /// Purges that one region tells while another does not hear.
    pub fn purges_missed(&self) -> f64 {
        self.purges.per_s * self.faults.region_away_s
    }
}
