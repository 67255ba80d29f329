//! Candidates: the daemons that are probed in place of the parent.
//!
//! Inputs: the parent's ancestors and its other followers as it reported them, daemons that
//! reported a fresher proof, those that led to a cycle, and the seeds.
//!
//! Rule: the order is a daemon that reported a fresher proof, the former ancestors from the nearest
//! on, the seeds, former siblings; [`MAX_CANDIDATES`] at most. This daemon, its parent, and one
//! that led to a cycle up to [`CYCLE_BACKOFF`] ago are left out.
//!
//! Reason: ancestors are the likeliest to be fresh. A daemon that redirects this one to its own
//! follower does so again until it has forgotten that follower.
//!
//! Tests: `upstream.rs`.

use super::seeds::Seeds;
use bridgevane_types::{DurationMs, TimeMs};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The maximum number of daemons probed in one search. Each unreachable daemon takes 0.3 s, and the
/// search must end before a proof expires.
const MAX_CANDIDATES: usize = 8;
/// How long a daemon that led to a cycle isn't polled. A follower is forgotten two seconds after
/// its last response, and a search starts each second.
const CYCLE_BACKOFF: DurationMs = DurationMs(1_000);

/// The daemons that may become the parent, besides the seeds.
#[derive(Debug)]
pub(super) struct Candidates {
    own_address: SocketAddr,
    /// The daemons above the parent, the nearest first.
    ancestors: Vec<SocketAddr>,
    siblings: Vec<SocketAddr>,
    /// A daemon that reported a fresher proof.
    fresher: Option<SocketAddr>,
    /// A daemon that isn't polled until this time.
    backed_off: Option<(SocketAddr, TimeMs)>,
}

impl Candidates {
    /// Creates the candidates of the daemon at `own_address`, which knows no others yet.
    pub(super) fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            ancestors: Vec::new(),
            siblings: Vec::new(),
            fresher: None,
            backed_off: None,
        }
    }

    pub(super) fn has_ancestors(&self) -> bool {
        !self.ancestors.is_empty()
    }

    /// Records the path by which the parent reaches the source, the nearest daemon first.
    pub(super) fn on_ancestors(&mut self, ancestors: &[SocketAddr]) {
        self.ancestors = ancestors.to_vec();
    }

    /// Records some of the parent's other followers.
    pub(super) fn on_siblings(&mut self, siblings: &[SocketAddr]) {
        self.siblings = siblings.to_vec();
    }

    /// Records a daemon that reports a fresher proof.
    pub(super) fn on_fresher(&mut self, daemon: SocketAddr) {
        self.fresher = Some(daemon);
    }

    pub(super) fn has_fresher(&self) -> bool {
        self.fresher.is_some()
    }

    /// Forgets the fresher daemon at the end of a search, whether it was adopted or not.
    pub(super) fn forget_fresher(&mut self) {
        self.fresher = None;
    }

    /// Records that a probed daemon can't be adopted.
    pub(super) fn on_rejected(&mut self, daemon: SocketAddr) {
        self.fresher = self.fresher.filter(|fresher| *fresher != daemon);
    }

    /// Records that polling this daemon led to a cycle.
    pub(super) fn on_cycle(&mut self, now: TimeMs, daemon: SocketAddr) {
        self.backed_off = Some((daemon, now + CYCLE_BACKOFF));
    }

    /// Returns the daemons to probe in place of the parent, the most promising first.
    pub(super) fn ranked(
        &self,
        now: TimeMs,
        parent: Option<SocketAddr>,
        seeds: &Seeds,
    ) -> VecDeque<SocketAddr> {
        let all = (self.fresher.into_iter())
            .chain(self.ancestors.iter().copied())
            .chain(seeds.usable(now))
            .chain(self.siblings.iter().copied());
        let mut ranked = VecDeque::new();
        for daemon in all {
            let is_eligible = daemon != self.own_address
                && Some(daemon) != parent
                && !self.is_backed_off(now, daemon);
            if is_eligible && !ranked.contains(&daemon) {
                ranked.push_back(daemon);
            }
        }
        ranked.truncate(MAX_CANDIDATES);
        ranked
    }

    fn is_backed_off(&self, now: TimeMs, daemon: SocketAddr) -> bool {
        self.backed_off
            .is_some_and(|(backed_off, until)| backed_off == daemon && now < until)
    }
}
