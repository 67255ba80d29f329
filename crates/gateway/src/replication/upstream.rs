//! Whom a daemon follows: the control source, or another daemon.
//!
//! The daemons that the settings name as seeds follow the source; the others follow a seed of
//! their data centre, or the daemon that it sends them to. Whoever loses its upstream goes to
//! the source for a while, and whom the source turns away goes to the others. Ages of proofs
//! are honest on every way, so that two daemons which follow each other for a moment only
//! grow stale, and leave.

use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use derive_more::Display;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// From this age on the proof of another daemon is too old: the source is asked.
pub const STALE: DurationMs = DurationMs(1_600);
/// How long a daemon that lost its upstream follows the source.
const SOURCE_STAY: DurationMs = DurationMs(3_000);
/// How long a daemon that did not answer is passed over.
const AVOIDANCE: DurationMs = DurationMs(2_500);
/// The first pause between calls of a source that doesn't answer; it doubles.
const FIRST_SOURCE_PAUSE: DurationMs = DurationMs(700);
/// The longest pause.
const MAX_SOURCE_PAUSE: DurationMs = DurationMs(2_800);
/// How long after its start a daemon waits for others that may be starting, too.
const START_TOGETHER: DurationMs = DurationMs(800);

/// Whom to ask next.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Upstream {
    /// The control source.
    #[display("source")]
    Source,
    /// Another daemon.
    #[display("{_0}")]
    Peer(SocketAddr),
    /// A seed that hasn't said yet in which data centre it is: it is asked just that.
    #[display("looking at {_0}")]
    Locate(SocketAddr),
}

/// What another daemon's answer says of it as an upstream.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whom to ask from now on.
    pub redirect: Option<SocketAddr>,
    /// How old its proof is; none: it has none.
    pub proof_age: Option<DurationMs>,
}

#[derive(Clone, Debug)]
struct Seed {
    address: SocketAddr,
    /// Known once it has answered.
    data_centre: Option<DataCentreId>,
    avoided_until: TimeMs,
}

/// Chooses the upstream.
#[derive(Debug)]
pub struct UpstreamSelector {
    own_data_centre: DataCentreId,
    is_seed: bool,
    /// Other daemons, in an order of this daemon's own.
    seeds: Vec<Seed>,
    /// Where a seed has sent this daemon.
    redirected: Option<SocketAddr>,
    started_at: TimeMs,
    source_until: TimeMs,
    source_not_before: TimeMs,
    source_pause: DurationMs,
    peers_until: TimeMs,
}

impl UpstreamSelector {
    /// A daemon at `own` that knows these seeds; without an address it follows the source.
    pub fn new(
        now: TimeMs,
        own_data_centre: DataCentreId,
        own: Option<SocketAddr>,
        seeds: &[SocketAddr],
    ) -> Self {
        let is_seed = own.is_none_or(|own| seeds.contains(&own));
        let mut others: Vec<SocketAddr> = seeds.to_vec();
        others.retain(|seed| Some(*seed) != own && own.is_some());
        // Daemons spread over the seeds: each has an order of its own.
        let order = |seed: &SocketAddr| {
            let pair = format!("{own:?} {seed}");
            xxh3_64_with_seed(pair.as_bytes(), 0)
        };
        others.sort_by_key(order);
        let seed = |address| Seed {
            address,
            data_centre: None,
            avoided_until: TimeMs(0),
        };
        Self {
            own_data_centre,
            is_seed,
            seeds: others.into_iter().map(seed).collect(),
            redirected: None,
            started_at: now,
            source_until: TimeMs(0),
            source_not_before: TimeMs(0),
            source_pause: FIRST_SOURCE_PAUSE,
            peers_until: TimeMs(0),
        }
    }

    /// Whom to ask now.
    pub fn next(&self, now: TimeMs) -> Upstream {
        let Some(seed) = self.best_seed(now) else {
            return Upstream::Source;
        };
        let seed = (seed.address, seed.data_centre.is_some());
        let follows_source = if self.is_seed {
            now >= self.peers_until
        } else {
            now < self.source_until
        };
        if follows_source {
            return Upstream::Source;
        }
        match (self.redirected, seed) {
            (Some(address), _) => Upstream::Peer(address),
            (None, (address, true)) => Upstream::Peer(address),
            (None, (address, false)) => Upstream::Locate(address),
        }
    }

    /// A seed said where it is.
    pub fn located(&mut self, peer: SocketAddr, data_centre: DataCentreId) {
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == peer) {
            seed.data_centre = Some(data_centre);
        }
    }

    /// Whether this daemon follows the source by its settings.
    pub fn is_seed(&self) -> bool {
        self.is_seed || self.seeds.is_empty()
    }

    /// A seed that answers, if one does; among these one of this data centre, else one that
    /// hasn't said where it is.
    fn best_seed(&self, now: TimeMs) -> Option<&Seed> {
        let rank = |seed: &&Seed| {
            let distance = match &seed.data_centre {
                Some(data_centre) if *data_centre == self.own_data_centre => 0,
                None => 1,
                Some(_) => 2,
            };
            (now < seed.avoided_until, distance)
        };
        self.seeds.iter().min_by_key(rank)
    }

    /// The source answered.
    pub fn source_answered(&mut self) {
        self.source_pause = FIRST_SOURCE_PAUSE;
    }

    /// The source did not answer, or turned this daemon away.
    pub fn source_failed(&mut self, now: TimeMs) {
        self.source_until = now;
        self.source_not_before = now + self.source_pause;
        self.peers_until = self.source_not_before;
        self.source_pause = DurationMs(self.source_pause.0 * 2).min(MAX_SOURCE_PAUSE);
    }

    /// Another daemon answered.
    pub fn peer_answered(&mut self, now: TimeMs, peer: SocketAddr, report: &Report) {
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == peer) {
            seed.data_centre = Some(report.data_centre.clone());
            seed.avoided_until = TimeMs(0);
        }
        let is_stale = report.proof_age.is_none_or(|age| age >= STALE);
        if is_stale && report.redirect.is_none() {
            return self.leave_peer(now);
        }
        let is_near = report.data_centre == self.own_data_centre || !self.knows_near_seed();
        if report.redirect.is_some() && !self.is_seed && is_near {
            self.redirected = report.redirect;
        }
    }

    fn knows_near_seed(&self) -> bool {
        let mut known = self.seeds.iter().flat_map(|seed| &seed.data_centre);
        known.any(|data_centre| *data_centre == self.own_data_centre)
    }

    /// Another daemon did not answer.
    pub fn peer_failed(&mut self, now: TimeMs, peer: SocketAddr) {
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == peer) {
            seed.avoided_until = now + AVOIDANCE;
        }
        self.redirected = None;
        self.leave_peer(now);
    }

    /// Goes to the source, unless that gave nothing lately.
    fn leave_peer(&mut self, now: TimeMs) {
        self.peers_until = now;
        let may_ask = now >= self.source_not_before;
        let is_starting = now.since(self.started_at) < START_TOGETHER;
        if may_ask && !is_starting {
            self.redirected = None;
            self.source_until = now + SOURCE_STAY;
        }
    }
}
