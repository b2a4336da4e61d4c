//! The target file: the installation size and budgets that operators require. An inconsistent file is rejected with the
//! path of the offending field and the reason.
//!
//! Invariant: the target holds requirements and assumptions only, never measured values.

use schemars::JsonSchema;
use serde::Deserialize;

/// The installation that operators want to run.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub gateways: u32,
    /// Locations with one or more gateways each.
    pub sites: u32,
    pub regions: u32,
    /// Number of zones in all regions.
    pub zones: u32,
    /// Number of caches in the cache list.
    pub caches: u32,
    pub traffic: Traffic,
    pub purges: Purges,
    pub changes: Changes,
    pub control: Control,
    pub faults: Faults,
    pub assumed: Assumed,
}

/// Peak traffic of all gateways together.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub requests_per_s: f64,
    pub bits_per_s: f64,
    /// Number of distinct objects.
    pub objects: u64,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Purges {
    pub per_s: f64,
    /// Time limit for a purge to be applied at every gateway and confirmed.
    pub within_ms: u64,
}

/// Configuration changes.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    pub per_day: f64,
    /// Time limit for a change to take effect at every gateway.
    pub within_ms: u64,
}

/// Budgets for control traffic and processing, in addition to the txns.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Fraction of one core at each gateway.
    pub core_part: f64,
    /// Memory at each gateway, in bytes.
    pub memory: u64,
    /// Bytes per second that a gateway receives.
    pub bytes_in_per_s: f64,
    /// Bytes per second that a gateway sends.
    pub bytes_out_per_s: f64,
    /// Number of machines dedicated to control.
    pub machines: u32,
}

#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Machines that fail per day.
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced per day, excluding failures.
    pub restarts_per_day: f64,
    /// Racks or switches that fail per year.
    pub racks_per_year: f64,
    pub zones_per_year: f64,
    /// Duration of a network partition between regions, in seconds.
    pub region_away_s: f64,
}

/// Assumed values that some rows need and operators did not specify. Specified values replace them.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Assumed {
    /// Interval over which the feed batches changes before it publishes them; must match the feed's settings.
    pub feed_period_ms: u64,
    pub largest_site_gateways: u32,
    pub gateways_per_rack: u32,
    /// Time in which a release restarts all gateways, in seconds.
    pub release_s: f64,
    /// Cores of a gateway available to txns.
    pub data_path_cores: f64,
    /// Cores of a machine dedicated to control.
    pub machine_cores: f64,
}

#[derive(Debug, thiserror::Error)]
pub enum InvalidTarget {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}: {1}")]
    Field(&'static str, &'static str),
}

impl Target {
    pub fn read(text: &str) -> Result<Target, InvalidTarget> {
        let target: Target = serde_json::from_str(text)?;
        target.check()?;
        Ok(target)
    }

    /// Returns the JSON Schema (2020-12) of the file.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Target)).unwrap_or_default()
    }

    fn check(&self) -> Result<(), InvalidTarget> {
        let require = |is: bool, field: &'static str, what: &'static str| {
            if is { Ok(()) } else { Err(InvalidTarget::Field(field, what)) }
        };
        let is_positive = |x: f64| x.is_finite() && x > 0.0;
        let is_non_negative = |x: f64| x.is_finite() && x >= 0.0;
        require(self.gateways > 0, "gateways", "1 at the least")?;
        require(self.caches > 0, "caches", "1 at the least")?;
        require(self.regions > 0, "regions", "1 at the least")?;
        require(self.sites >= self.regions, "sites", "fewer than regions")?;
        require(self.sites <= self.gateways, "sites", "more than gateways")?;
        require(self.zones >= self.regions, "zones", "fewer than regions")?;
        require(self.zones <= self.caches, "zones", "more than caches")?;
        let t = &self.traffic;
        require(is_positive(t.requests_per_s), "traffic.requests_per_s", "above 0")?;
        require(is_positive(t.bits_per_s), "traffic.bits_per_s", "above 0")?;
        require(t.bits_per_s >= t.requests_per_s, "traffic.bits_per_s", "less than a bit a request")?;
        require(t.objects > 0, "traffic.objects", "1 at the least")?;
        let (p, c, a) = (&self.purges, &self.changes, &self.assumed);
        require(is_non_negative(p.per_s), "purges.per_s", "0 at the least")?;
        require(a.feed_period_ms > 0, "assumed.feed_period_ms", "1 at the least")?;
        require(p.within_ms > a.feed_period_ms, "purges.within_ms", "not above assumed.feed_period_ms")?;
        require(is_non_negative(c.per_day), "changes.per_day", "0 at the least")?;
        require(c.within_ms > a.feed_period_ms, "changes.within_ms", "not above assumed.feed_period_ms")?;
        let k = &self.control;
        require(
            is_positive(k.core_part) && k.core_part <= 1.0,
            "control.core_part",
            "above 0, 1 at the most",
        )?;
        require(k.memory > 0, "control.memory", "1 at the least")?;
        require(is_positive(k.bytes_in_per_s), "control.bytes_in_per_s", "above 0")?;
        require(is_positive(k.bytes_out_per_s), "control.bytes_out_per_s", "above 0")?;
        require(k.machines > 0, "control.machines", "1 at the least")?;
        let f = &self.faults;
        require(is_non_negative(f.failures_per_day), "faults.failures_per_day", "0 at the least")?;
        require(is_non_negative(f.restarts_per_day), "faults.restarts_per_day", "0 at the least")?;
        require(is_non_negative(f.racks_per_year), "faults.racks_per_year", "0 at the least")?;
        require(is_non_negative(f.zones_per_year), "faults.zones_per_year", "0 at the least")?;
        require(is_non_negative(f.region_away_s), "faults.region_away_s", "0 at the least")?;
        let largest = a.largest_site_gateways;
        require(
            u64::from(largest) * u64::from(self.sites) >= u64::from(self.gateways),
            "assumed.largest_site_gateways",
            "below gateways / sites",
        )?;
        // Every other site has at least one gateway.
        require(
            largest <= self.gateways - (self.sites - 1),
            "assumed.largest_site_gateways",
            "leaves none for the other sites",
        )?;
        require(
            (1..=self.gateways).contains(&a.gateways_per_rack),
            "assumed.gateways_per_rack",
            "1 to gateways",
        )?;
        require(is_positive(a.release_s), "assumed.release_s", "above 0")?;
        require(is_positive(a.data_path_cores), "assumed.data_path_cores", "above 0")?;
        require(is_positive(a.machine_cores), "assumed.machine_cores", "above 0")
    }

    /// Mean number of gateways per site.
    pub fn gateways_per_site(&self) -> f64 {
        f64::from(self.gateways) / f64::from(self.sites)
    }

    /// Txns per second at a mean gateway at peak traffic.
    pub fn txns_per_s(&self) -> f64 {
        self.traffic.requests_per_s / f64::from(self.gateways)
    }

    /// Payload at a mean gateway at peak traffic, in MB/s.
    pub fn megabytes_per_s(&self) -> f64 {
        self.traffic.bits_per_s / 8e6 / f64::from(self.gateways)
    }

    pub fn caches_per_zone(&self) -> f64 {
        f64::from(self.caches) / f64::from(self.zones)
    }

    pub fn changes_per_s(&self) -> f64 {
        self.changes.per_day / 86_400.0
    }

    /// Restarts per hour on an ordinary day, including failures.
    pub fn restarts_per_h(&self) -> f64 {
        (self.faults.failures_per_day + self.faults.restarts_per_day) / 24.0
    }

    /// Purges published while a region is partitioned from the others.
    pub fn purges_missed(&self) -> f64 {
        self.purges.per_s * self.faults.region_away_s
    }
}
