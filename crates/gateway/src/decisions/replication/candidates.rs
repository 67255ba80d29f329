//! Candidates: which daemons are probed in place of the parent.
//!
//! Inputs: what the parent said of those above it and beside this daemon, daemons that said to be
//! fresher, those that led to a circle, and the seeds.
//!
//! Rule: one that said to be fresher, the former ancestors from the nearest on, the seeds, former siblings;
//! [`MAX_CANDIDATES`] at most. Never this daemon, its parent, or one that led to a circle up to
//! [`PASSED_OVER_FOR`] ago.
//!
//! Reason: ancestors are the likeliest to be fresh, and whoever sends this daemon on to its own follower
//! does so again until it has forgotten that follower.
//!
//! Tests: `upstream.rs`.

use super::seeds::Seeds;
use bridgevane_types::{DurationMs, TimeMs};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Daemons that one search probes at most. Not measured, chosen because each that is away takes
/// 0.3 s, and all must be through while a proof lasts.
const MAX_CANDIDATES: usize = 8;
/// How long a daemon that led to a circle isn't asked. Not measured, chosen because a follower is forgotten
/// two seconds after its last answer, and a search begins each second.
const PASSED_OVER_FOR: DurationMs = DurationMs(1_000);

/// Daemons that may become the parent, besides the seeds.
#[derive(Debug)]
pub(super) struct Candidates {
    own: SocketAddr,
    /// The daemons above the parent, the nearest first.
    ancestors: Vec<SocketAddr>,
    siblings: Vec<SocketAddr>,
    /// A daemon that said to be fresher.
    fresher: Option<SocketAddr>,
    /// A daemon that isn't asked until then.
    passed_over: Option<(SocketAddr, TimeMs)>,
}

impl Candidates {
    /// Nobody is known yet to the daemon at `own`.
    pub(super) fn new(own: SocketAddr) -> Self {
        Self {
            own,
            ancestors: Vec::new(),
            siblings: Vec::new(),
            fresher: None,
            passed_over: None,
        }
    }

    pub(super) fn has_ancestors(&self) -> bool {
        !self.ancestors.is_empty()
    }

    /// The parent's own path reaches the source through these, the nearest first.
    pub(super) fn on_ancestors(&mut self, ancestors: &[SocketAddr]) {
        self.ancestors = ancestors.to_vec();
    }

    /// The parent names some of its other followers.
    pub(super) fn on_siblings(&mut self, siblings: &[SocketAddr]) {
        self.siblings = siblings.to_vec();
    }

    /// A daemon says that it is fresher.
    pub(super) fn on_fresher(&mut self, daemon: SocketAddr) {
        self.fresher = Some(daemon);
    }

    pub(super) fn has_fresher(&self) -> bool {
        self.fresher.is_some()
    }

    /// The search is over, whether by the fresher daemon or not.
    pub(super) fn forget_fresher(&mut self) {
        self.fresher = None;
    }

    /// A daemon that was probed can't be adopted.
    pub(super) fn on_unfit(&mut self, daemon: SocketAddr) {
        self.fresher = self.fresher.filter(|fresher| *fresher != daemon);
    }

    /// Asking this daemon led to a circle.
    pub(super) fn on_circle(&mut self, now: TimeMs, daemon: SocketAddr) {
        self.passed_over = Some((daemon, now + PASSED_OVER_FOR));
    }

    /// Whom to probe in place of the parent, the most promising first.
    pub(super) fn in_order(
        &self,
        now: TimeMs,
        parent: Option<SocketAddr>,
        seeds: &Seeds,
    ) -> VecDeque<SocketAddr> {
        let all = (self.fresher.into_iter())
            .chain(self.ancestors.iter().copied())
            .chain(seeds.to_try(now))
            .chain(self.siblings.iter().copied());
        let mut in_order = VecDeque::new();
        for daemon in all {
            let may_be_asked =
                daemon != self.own && Some(daemon) != parent && !self.is_passed_over(now, daemon);
            if may_be_asked && !in_order.contains(&daemon) {
                in_order.push_back(daemon);
            }
        }
        in_order.truncate(MAX_CANDIDATES);
        in_order
    }

    fn is_passed_over(&self, now: TimeMs, daemon: SocketAddr) -> bool {
        self.passed_over
            .is_some_and(|(passed_over, until)| passed_over == daemon && now < until)
    }
}
