//! Engine plan: how many engines a service should have, by data centre and kind.
//!
//! Inputs: the engines that the service needs at its peak (counted as engines that stay), the
//! operator's limits and prices, and the data centres that have no reclaimable engines at present.
//! Engines are of two kinds: *permanent* ones stay; *reclaimable* ones cost a part of that, and the
//! platform may take back all of one data centre at once, within seconds.
//!
//! Rules:
//! 1. Where reclaimable engines cost less, they carry the work: in each data centre so many that
//!    the others can do without it, times a reserve for bursts, up to the operator's limit.
//!    Permanent engines are kept at the least that is allowed.
//! 2. Where so many data centres have no reclaimable engines that the rest falls short of the need,
//!    permanent ones make up for it there.
//! 3. Where there are none at all, the need is met by permanent engines, as they stood.
//!
//! Measured against other ways in docs/design/17.
//!
//! Tests: `duties_engines.rs`.

use bridgevane_types::{DataCentreId, DurationMs};
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// Reclaimable engines beyond what the loss of one data centre asks for, for bursts: an engine takes
/// seconds to start, a burst doubles the work within one. Measured in docs/design/17.
const BURST_RESERVE: f64 = 1.3;
/// Permanent engines of a data centre where reclaimable ones carry the work, unless the operator's
/// limit is higher: something is left there when all others are taken back. Measured against three:
/// 0.017 of worth dearer, and nothing served more (docs/design/17).
const LEAST_PERMANENT: u32 = 1;

/// Whether the platform may take an engine back.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineKind {
    /// It stays.
    #[display("permanent")]
    Permanent,
    /// The platform may take it back at any time.
    #[display("reclaimable")]
    Reclaimable,
}

/// What an operator allows and the platform charges for a service's engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineScaling {
    /// Engines of a data centre at least, of both kinds together.
    pub min: u32,
    /// Engines of a data centre at most, of both kinds together.
    pub max: u32,
    /// How long a new engine takes to start.
    pub boot_ms: DurationMs,
    /// The price of a reclaimable engine as a part of a permanent one's; none: there are none.
    pub reclaimable_price: Option<f64>,
    /// What an engine costs in each data centre in which the service may run.
    pub price_by_data_centre: BTreeMap<DataCentreId, f64>,
}

impl EngineScaling {
    /// The data centres in which the service runs, or may run.
    pub fn data_centres(&self, running: &EnginesByDataCentre) -> BTreeSet<DataCentreId> {
        let priced = self.price_by_data_centre.keys();
        priced.chain(running.keys()).cloned().collect()
    }
}

/// Engines of one data centre by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines that stay.
    pub permanent: u32,
    /// Engines that may be taken back.
    pub reclaimable: u32,
}

impl EngineCounts {
    /// Engines of a kind.
    pub fn of(&self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::Permanent => self.permanent,
            EngineKind::Reclaimable => self.reclaimable,
        }
    }

    /// Engines of both kinds.
    pub fn all(&self) -> u32 {
        self.permanent + self.reclaimable
    }
}

/// Engines by data centre: those that run, or those that should.
pub type EnginesByDataCentre = BTreeMap<DataCentreId, EngineCounts>;

/// What a plan is made of.
#[derive(Clone, Debug)]
pub struct PlanInputs<'a> {
    /// Engines that the service needs, in engines that stay.
    pub needed: u32,
    /// The operator's limits.
    pub scaling: &'a EngineScaling,
    /// The data centres in which the service runs.
    pub data_centres: &'a BTreeSet<DataCentreId>,
    /// Those of them that had no reclaimable engines to give lately.
    pub without_reclaimable: &'a BTreeSet<DataCentreId>,
}

/// The engines that a service should have.
pub fn plan(inputs: &PlanInputs<'_>) -> EnginesByDataCentre {
    let price = inputs.scaling.reclaimable_price;
    let has_cheaper = price.is_some_and(|price| price < 1.0);
    let counts = if has_cheaper {
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
    let carrying = all.saturating_sub(1).max(1);
    let least_permanent = inputs.scaling.min.max(LEAST_PERMANENT);
    let reclaimable = per_data_centre(f64::from(inputs.needed) * BURST_RESERVE, carrying);
    let reclaimable = reclaimable.min(inputs.scaling.max.saturating_sub(least_permanent));
    let lacks = |data_centre: &DataCentreId| inputs.without_reclaimable.contains(data_centre);
    let lacking = inputs
        .data_centres
        .iter()
        .filter(|name| lacks(name))
        .count();
    let left = (all - lacking) as u32 * reclaimable + all as u32 * least_permanent;
    let missing = inputs.needed.saturating_sub(left);
    let made_up = per_data_centre(f64::from(missing), lacking);
    let counts = |data_centre: &DataCentreId| EngineCounts {
        permanent: least_permanent + if lacks(data_centre) { made_up } else { 0 },
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

/// The limits hold for both kinds together; permanent engines go first.
fn within_limits(counts: EngineCounts, scaling: &EngineScaling) -> EngineCounts {
    let permanent = counts.permanent.min(scaling.max);
    let reclaimable = counts.reclaimable.min(scaling.max - permanent);
    let missing = scaling.min.saturating_sub(permanent + reclaimable);
    EngineCounts {
        permanent: permanent + missing,
        reclaimable,
    }
}
