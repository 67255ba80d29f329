//! Seeds: the daemons of the settings, which follow the control source.
//!
//! Inputs: their addresses, the data centres that they said they are in, and which of them did not
//! answer lately.
//!
//! Rule: one of the own data centre first, then the others in an order of each daemon's own; those
//! that did not answer come last for [`SEED_BACKOFF`].
//!
//! Reason: bytes between data centres are dear, and daemons should spread over the seeds.
//!
//! Tests: `upstream.rs`.

use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How long a seed that did not answer is passed over. Not measured, chosen because a process that
/// restarts is back within it.
const SEED_BACKOFF: DurationMs = DurationMs(2_500);

#[derive(Clone, Debug)]
struct Seed {
    address: SocketAddr,
    /// Known once it has answered.
    data_centre: Option<DataCentreId>,
    backoff_until: TimeMs,
}

/// The other seeds, as one daemon knows them.
#[derive(Debug)]
pub(super) struct Seeds {
    own_data_centre: DataCentreId,
    seeds: Vec<Seed>,
}

impl Seeds {
    /// The seeds without the daemon at `own` itself.
    pub(super) fn new(
        own_data_centre: DataCentreId,
        own: SocketAddr,
        addresses: &[SocketAddr],
    ) -> Self {
        let others = addresses.iter().filter(|seed| **seed != own);
        let mut others: Vec<SocketAddr> = others.copied().collect();
        // Daemons spread over the seeds: each has an order of its own.
        others.sort_by_key(|seed| xxh3_64(format!("{own} {seed}").as_bytes()));
        let seed = |address| Seed {
            address,
            data_centre: None,
            backoff_until: TimeMs(0),
        };
        Self {
            own_data_centre,
            seeds: others.into_iter().map(seed).collect(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.seeds.is_empty()
    }

    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.seeds.iter().any(|seed| seed.address == address)
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Seed> {
        self.seeds.iter_mut().find(|seed| seed.address == address)
    }

    /// A daemon answered from this data centre.
    pub(super) fn on_answered(&mut self, address: SocketAddr, data_centre: &DataCentreId) {
        if let Some(seed) = self.find(address) {
            seed.data_centre = Some(data_centre.clone());
            seed.backoff_until = TimeMs(0);
        }
    }

    /// A daemon did not answer.
    pub(super) fn on_failed(&mut self, now: TimeMs, address: SocketAddr) {
        if let Some(seed) = self.find(address) {
            seed.backoff_until = now + SEED_BACKOFF;
        }
    }

    /// The seeds that aren't known to be away, the best one first; all if all are away.
    pub(super) fn to_try(&self, now: TimeMs) -> Vec<SocketAddr> {
        let ranked = self.by_rank(now);
        let is_away = |seed: &Seed| now < seed.backoff_until;
        let near = self.seeds.iter().filter(|seed| !is_away(seed)).count();
        let tried = if near > 0 { near } else { ranked.len() };
        ranked.into_iter().take(tried).collect()
    }

    /// The seeds, the best one first; those that are away come last.
    pub(super) fn by_rank(&self, now: TimeMs) -> Vec<SocketAddr> {
        let rank = |seed: &&Seed| {
            let distance = match &seed.data_centre {
                Some(data_centre) if *data_centre == self.own_data_centre => 0,
                None => 1,
                Some(_) => 2,
            };
            (now < seed.backoff_until, distance)
        };
        let mut ranked: Vec<&Seed> = self.seeds.iter().collect();
        ranked.sort_by_key(rank);
        ranked.iter().map(|seed| seed.address).collect()
    }

    /// A seed that may be in this data centre and isn't known to be away, while none is known to be.
    pub(super) fn to_locate(&self, now: TimeMs) -> Option<SocketAddr> {
        if self.local(now).is_some() {
            return None;
        }
        let unknown = |seed: &&Seed| seed.data_centre.is_none() && now >= seed.backoff_until;
        self.seeds.iter().find(unknown).map(|seed| seed.address)
    }

    /// A seed of this data centre that isn't known to be away.
    pub(super) fn local(&self, now: TimeMs) -> Option<SocketAddr> {
        let is_local = |seed: &&Seed| {
            let is_near = seed.data_centre.as_ref() == Some(&self.own_data_centre);
            is_near && now >= seed.backoff_until
        };
        self.seeds.iter().find(is_local).map(|seed| seed.address)
    }
}
