//! Engine plan: how many engines a service should have, by data centre and kind.
//!
//! Inputs: the engines that the service needs at its peak (counted as permanent engines), the
//! operator's limits and prices, and the data centres that have no reclaimable engines at present.
//! Engines are of two kinds: *permanent* ones stay; *reclaimable* ones cost a part of that, and the
//! platform may reclaim all of one data centre at once, within seconds.
//!
//! Rules:
//! 1. Where reclaimable engines cost less, they serve the work: each data centre gets so many that
//!    the others cover the need without it, times a reserve for bursts, up to the operator's limit.
//!    Permanent engines are kept at the minimum that is allowed.
//! 2. Where too many data centres have no reclaimable engines for the rest to cover the need,
//!    permanent ones replace them there.
//! 3. Where there are none at all, the need is covered by permanent engines, as at the start.
//!
//! See docs/design/17 for the alternatives.
//!
//! Tests: `duties_engines.rs`.

use bridgevane_types::{DataCentreId, DurationMs};
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// The factor for reclaimable engines beyond the loss of one data centre, for bursts: an engine
/// takes seconds to start, a burst doubles the work within one. See docs/design/17.
const BURST_RESERVE: f64 = 1.3;
/// The number of permanent engines of a data centre where reclaimable ones serve the work, unless
/// the operator's minimum is higher: some capacity remains when all others are reclaimed. Three
/// cost more and served no more requests (docs/design/17).
const MIN_PERMANENT: u32 = 1;

/// Whether the platform may reclaim an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineKind {
    /// It stays.
    #[display("permanent")]
    Permanent,
    /// The platform may reclaim it at any time.
    #[display("reclaimable")]
    Reclaimable,
}

/// The operator's limits and the platform's prices for a service's engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineScaling {
    /// The minimum number of engines of a data centre, both kinds together.
    pub min: u32,
    /// The maximum number of engines of a data centre, both kinds together.
    pub max: u32,
    /// How long a new engine takes to start.
    pub boot_ms: DurationMs,
    /// The price of a reclaimable engine as a share of a permanent one's; `None` if there are no
    /// reclaimable engines.
    pub reclaimable_price: Option<f64>,
    /// The price of an engine in each data centre in which the service may run.
    pub price_by_data_centre: BTreeMap<DataCentreId, f64>,
}

impl EngineScaling {
    /// Returns the data centres in which the service runs, or may run.
    pub fn data_centres(&self, running: &EnginesByDataCentre) -> BTreeSet<DataCentreId> {
        let priced = self.price_by_data_centre.keys();
        priced.chain(running.keys()).cloned().collect()
    }
}

/// The number of engines of one data centre by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines that stay.
    pub permanent: u32,
    /// Engines that the platform may reclaim.
    pub reclaimable: u32,
}

impl EngineCounts {
    /// Returns the number of engines of a kind.
    pub fn count_of(&self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::Permanent => self.permanent,
            EngineKind::Reclaimable => self.reclaimable,
        }
    }

    /// Returns the number of engines of both kinds.
    pub fn total(&self) -> u32 {
        self.permanent + self.reclaimable
    }
}

/// The number of engines by data centre, either running or planned.
pub type EnginesByDataCentre = BTreeMap<DataCentreId, EngineCounts>;

/// The inputs of a plan.
#[derive(Clone, Debug)]
pub struct PlanInputs<'a> {
    /// The number of engines that the service needs, counted as permanent engines.
    pub needed: u32,
    /// The operator's limits.
    pub scaling: &'a EngineScaling,
    /// The data centres in which the service runs.
    pub data_centres: &'a BTreeSet<DataCentreId>,
    /// Those of them that recently had no reclaimable engines available.
    pub without_reclaimable: &'a BTreeSet<DataCentreId>,
}

/// Returns the engines that a service should have.
pub fn plan(inputs: &PlanInputs<'_>) -> EnginesByDataCentre {
    let price = inputs.scaling.reclaimable_price;
    let is_reclaimable_cheaper = price.is_some_and(|price| price < 1.0);
    let counts = if is_reclaimable_cheaper {
        reclaimable_first(inputs)
    } else {
        permanent_only(inputs)
    };
    let limited = counts
        .into_iter()
        .map(|(data_centre, counts)| (data_centre, within_limits(counts, inputs.scaling)));
    limited.collect()
}

fn permanent_only(inputs: &PlanInputs<'_>) -> EnginesByDataCentre {
    let permanent = per_data_centre(f64::from(inputs.needed), inputs.data_centres.len());
    let counts = EngineCounts {
        permanent,
        reclaimable: 0,
    };
    let data_centres = inputs.data_centres.iter().cloned();
    data_centres
        .map(|data_centre| (data_centre, counts))
        .collect()
}

fn reclaimable_first(inputs: &PlanInputs<'_>) -> EnginesByDataCentre {
    let all = inputs.data_centres.len();
    // One data centre may lose its own; a single one has no other to rely on.
    let surviving = all.saturating_sub(1).max(1);
    let min_permanent = inputs.scaling.min.max(MIN_PERMANENT);
    let reclaimable = per_data_centre(f64::from(inputs.needed) * BURST_RESERVE, surviving);
    let reclaimable = reclaimable.min(inputs.scaling.max.saturating_sub(min_permanent));
    let lacks_reclaimable =
        |data_centre: &DataCentreId| inputs.without_reclaimable.contains(data_centre);
    let lacking_count = inputs
        .data_centres
        .iter()
        .filter(|name| lacks_reclaimable(name))
        .count();
    let remaining = (all - lacking_count) as u32 * reclaimable + all as u32 * min_permanent;
    let missing = inputs.needed.saturating_sub(remaining);
    let substitutes = per_data_centre(f64::from(missing), lacking_count);
    let counts = |data_centre: &DataCentreId| EngineCounts {
        permanent: min_permanent
            + if lacks_reclaimable(data_centre) {
                substitutes
            } else {
                0
            },
        reclaimable,
    };
    let data_centres = inputs.data_centres.iter();
    data_centres
        .map(|data_centre| (data_centre.clone(), counts(data_centre)))
        .collect()
}

fn per_data_centre(engines: f64, data_centres: usize) -> u32 {
    (engines / data_centres.max(1) as f64).ceil() as u32
}

/// Applies the limits to both kinds together; permanent engines take precedence.
fn within_limits(counts: EngineCounts, scaling: &EngineScaling) -> EngineCounts {
    let permanent = counts.permanent.min(scaling.max);
    let reclaimable = counts.reclaimable.min(scaling.max - permanent);
    let missing = scaling.min.saturating_sub(permanent + reclaimable);
    EngineCounts {
        permanent: permanent + missing,
        reclaimable,
    }
}
