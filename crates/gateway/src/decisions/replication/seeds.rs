//! Seeds: the daemons named in the settings, which follow the control source.
//!
//! Inputs: their addresses, the data centres that they reported, and which of them did not answer
//! recently.
//!
//! Rule: a seed of the own data centre first, then the others in an order that differs by daemon;
//! those that did not answer come last for [`SEED_BACKOFF`].
//!
//! Reason: traffic between data centres is expensive, and daemons should spread over the seeds.
//!
//! Tests: `upstream.rs`.

use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How long a seed that did not answer is ranked last. A process that restarts is back within this
/// time.
const SEED_BACKOFF: DurationMs = DurationMs(2_500);

#[derive(Clone, Debug)]
struct Seed {
    address: SocketAddr,
    /// `None` until it has answered.
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
    /// Creates the list of seeds without the daemon at `own` itself.
    pub(super) fn new(
        own_data_centre: DataCentreId,
        own: SocketAddr,
        addresses: &[SocketAddr],
    ) -> Self {
        let others = addresses.iter().filter(|seed| **seed != own);
        let mut others: Vec<SocketAddr> = others.copied().collect();
        // The order differs by daemon, so that daemons spread over the seeds.
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

    /// Records a response of a daemon in this data centre.
    pub(super) fn on_answered(&mut self, address: SocketAddr, data_centre: &DataCentreId) {
        if let Some(seed) = self.find(address) {
            seed.data_centre = Some(data_centre.clone());
            seed.backoff_until = TimeMs(0);
        }
    }

    /// Records that a daemon did not answer.
    pub(super) fn on_failed(&mut self, now: TimeMs, address: SocketAddr) {
        if let Some(seed) = self.find(address) {
            seed.backoff_until = now + SEED_BACKOFF;
        }
    }

    /// Returns the seeds that aren't backed off, the best one first; all seeds if all are backed
    /// off.
    pub(super) fn usable(&self, now: TimeMs) -> Vec<SocketAddr> {
        let ranked = self.by_rank(now);
        let is_backed_off = |seed: &Seed| now < seed.backoff_until;
        let available = self
            .seeds
            .iter()
            .filter(|seed| !is_backed_off(seed))
            .count();
        let tried = if available > 0 {
            available
        } else {
            ranked.len()
        };
        ranked.into_iter().take(tried).collect()
    }

    /// Returns all seeds, the best one first; those that are backed off come last.
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

    /// Returns a seed of unknown data centre that isn't backed off, unless a seed of this data
    /// centre is known.
    pub(super) fn next_unlocated(&self, now: TimeMs) -> Option<SocketAddr> {
        if self.local(now).is_some() {
            return None;
        }
        let unknown = |seed: &&Seed| seed.data_centre.is_none() && now >= seed.backoff_until;
        self.seeds.iter().find(unknown).map(|seed| seed.address)
    }

    /// Returns a seed of this data centre that isn't backed off.
    pub(super) fn local(&self, now: TimeMs) -> Option<SocketAddr> {
        let is_local = |seed: &&Seed| {
            let is_in_own_data_centre = seed.data_centre.as_ref() == Some(&self.own_data_centre);
            is_in_own_data_centre && now >= seed.backoff_until
        };
        self.seeds.iter().find(is_local).map(|seed| seed.address)
    }
}
