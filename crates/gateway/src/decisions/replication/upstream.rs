//! Upstream: whom this daemon follows, the control source or another daemon.
//!
//! Inputs: the seeds of the settings, whether this daemon is one of them, and what became of
//! earlier questions: answers with their proof's age (ms) and source path, redirects, failures.
//!
//! Rules:
//! - Seeds follow the source, and other daemons while it does not answer.
//! - Any other daemon has a parent: a seed, or the daemon that it is redirected to. It keeps its
//!   parent until that gives no answer, has this daemon in its own source path (a circle), or lets
//!   its proof get too old ([`ProofLimits::leave_from`]).
//! - Then it probes others, one after the other (`candidates.rs`), and adopts the first whose proof is
//!   young ([`ProofLimits::adopt_below`]) and whose source path doesn't lead back here.
//! - Its parent is asked again after each probe that fails: it may have found a fresh one meanwhile.
//! - Without a parent, and with a proof as old as [`ProofLimits::leave_from`], it asks the source before it
//!   probes any more.
//! - If none can be adopted, it asks the source in its turn ([`super::source_pacing`]), and goes on looking. A
//!   question that its stale parent still holds is given up for the turn.
//! - Who becomes fresh in another way tells its former parent, which is stale, and may adopt it: one
//!   daemon that reaches the source is enough for all.
//! - Of two daemons that both ask the source, the one with the larger address follows the other.
//! - A daemon that is deeper below a seed than the fleet needs, or follows one of another data centre
//!   though its own has a seed, looks for a better parent now and then.
//!
//! Reason: the source bears a few callers, not one for each daemon, and a daemon that it turns away
//! goes on with what its neighbours know.
//!
//! Measured: docs/design/15.
//!
//! Tests: `upstream.rs`; `follow_tree.rs` (all orders of a small fleet, long runs of large ones).

use super::candidates::Candidates;
use super::parent::Parent;
use super::proof_limits::ProofLimits;
use super::seeds::Seeds;
use super::source_pacing::SourcePacing;
use super::source_path::{SourcePath, needed_depth};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use derive_more::Display;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// How long after its start a daemon waits for others that may be starting, too. Not measured,
/// chosen because VMs of a day start within 0.3 s of each other, and a seed reads everything in
/// about as long.
const START_TOGETHER: DurationMs = DurationMs(800);
/// The pause between two searches of a daemon whose parent answers, but is stale. Not measured,
/// chosen because a search is some six questions; half would double them in an outage.
const SEARCH_PAUSE: DurationMs = DurationMs(1_000);
/// The pause between two looks for a better parent. Not measured, chosen because a daemon that is too
/// deep works as well, only its proofs are some milliseconds older.
const IMPROVE_PAUSE: DurationMs = DurationMs(3_000);
/// Redirects that are followed in a row. Chosen because a tree of any fleet is less deep.
const MAX_REDIRECTS: u32 = 8;

/// Whom to ask next, and for what.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Upstream {
    /// The control source, for everything or for changes.
    #[display("source")]
    Source,
    /// Another daemon, for the same; it counts this one among its followers.
    #[display("{_0}")]
    Peer(SocketAddr),
    /// Another daemon, for its place in the tree and the age of its proof.
    #[display("looking at {_0}")]
    Probe(SocketAddr),
}

/// What another daemon says of itself as an upstream.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The age of its proof, if it has one.
    pub proof_age: Option<DurationMs>,
    /// How it follows the source.
    pub path: SourcePath,
    /// Where to ask from now on, if it redirects.
    pub redirect: Option<SocketAddr>,
    /// Some others that follow it; not in every answer.
    pub siblings: Vec<SocketAddr>,
}

/// Why a daemon asks the source. The text is the cause in metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SourceCause {
    /// It is a seed, or knows no other daemon.
    #[display("seed")]
    Seed,
    /// It has lost its parent and found no other.
    #[display("no parent")]
    NoParent,
    /// Its parent answers, but its proof is old, and nobody has a newer one.
    #[display("stale parent")]
    StaleParent,
}

/// Daemons to be probed.
#[derive(Clone, Debug)]
struct Search {
    /// Seeds whose data centres aren't known are probed first.
    is_locating: bool,
    queue: VecDeque<SocketAddr>,
    /// The parent is well: only a better place is looked for.
    is_improvement: bool,
}

/// Selects the upstream.
#[derive(Debug)]
pub struct UpstreamSelector {
    own_data_centre: DataCentreId,
    own: SocketAddr,
    /// This daemon can't be followed, or knows nobody.
    is_alone: bool,
    is_seed: bool,
    started_at: TimeMs,
    limits: ProofLimits,
    seeds: Seeds,
    source: SourcePacing,
    fleet_size: u32,
    /// When this daemon's newest proof was asked for.
    proved_at: Option<TimeMs>,
    parent: Option<Parent>,
    /// The newest answer came from the source.
    is_at_source: bool,
    candidates: Candidates,
    search: Option<Search>,
    search_not_before: TimeMs,
    improve_not_before: TimeMs,
    /// Searches since this daemon's proof was last young enough.
    vain_searches: u32,
    /// Whether another daemon has answered since then.
    do_others_answer: bool,
    /// A stale former parent, to be told when this daemon is fresh.
    stale_parent: Option<SocketAddr>,
    /// A probe took long: the parent is asked before the next one.
    must_ask_parent: bool,
    must_pause: bool,
}

/// Stands for the address of a daemon that has none; nobody asks there.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl UpstreamSelector {
    /// A daemon at `own` that knows these seeds; without an address it follows the source.
    pub fn new(
        now: TimeMs,
        own_data_centre: DataCentreId,
        own: Option<SocketAddr>,
        seeds: &[SocketAddr],
        limits: ProofLimits,
    ) -> Self {
        let address = own.unwrap_or(NO_ADDRESS);
        let is_seed = seeds.contains(&address);
        let seeds = Seeds::new(own_data_centre.clone(), address, seeds);
        Self {
            own_data_centre,
            own: address,
            is_alone: own.is_none() || seeds.is_empty(),
            is_seed,
            started_at: now,
            limits,
            seeds,
            source: SourcePacing::new(address, is_seed, limits),
            fleet_size: 0,
            proved_at: None,
            parent: None,
            is_at_source: false,
            candidates: Candidates::new(address),
            search: None,
            search_not_before: TimeMs(0),
            improve_not_before: TimeMs(0),
            vain_searches: 0,
            do_others_answer: false,
            stale_parent: None,
            must_ask_parent: false,
            must_pause: false,
        }
    }

    /// Whom to ask now.
    pub fn select(&mut self, now: TimeMs) -> Upstream {
        if self.is_alone || self.must_ask_source(now) {
            return Upstream::Source;
        }
        if let Some(former) = self.parent_to_tell(now) {
            return Upstream::Probe(former);
        }
        self.begin_due_search(now);
        if let Some(parent) = self.parent.as_ref().filter(|_| self.must_ask_parent) {
            return Upstream::Peer(parent.address);
        }
        if let Some(search) = &self.search {
            let unlocated = self.seeds.to_locate(now).filter(|_| search.is_locating);
            if let Some(address) = unlocated.or(search.queue.front().copied()) {
                return Upstream::Probe(address);
            }
        }
        match &self.parent {
            Some(parent) => Upstream::Peer(parent.address),
            None => Upstream::Source,
        }
    }

    /// When a question to the parent must be given up, because this daemon's turn at the source comes.
    pub fn source_turn(&self, now: TimeMs) -> Option<TimeMs> {
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        let has_turn = !self.is_seed() && is_stale && self.vain_searches > 0;
        // A turn that has come is taken at the next step, unless something else must come first.
        let turn = has_turn.then(|| self.source.not_before());
        turn.filter(|turn| *turn > now)
    }

    /// True once after a step that brought nothing: the next one should wait a little.
    pub fn take_pause(&mut self) -> bool {
        std::mem::take(&mut self.must_pause)
    }

    /// How this daemon follows the source.
    pub fn path(&self) -> SourcePath {
        if self.is_at_source {
            return SourcePath::direct();
        }
        let parent = self.parent.as_ref();
        let path = parent.and_then(|parent| parent.path.through(parent.address));
        path.unwrap_or(SourcePath::detached())
    }

    fn is_parent(&self, daemon: SocketAddr) -> bool {
        (self.parent.as_ref()).is_some_and(|parent| parent.address == daemon)
    }

    fn proof_age(&self, now: TimeMs) -> Option<DurationMs> {
        self.proved_at.map(|proved_at| now.since(proved_at))
    }

    fn is_proof_younger(&self, now: TimeMs, limit: DurationMs) -> bool {
        self.proof_age(now).is_some_and(|age| age < limit)
    }

    /// Seeds ask the source whenever they may; the others when they have found no parent.
    fn must_ask_source(&self, now: TimeMs) -> bool {
        // A fresher daemon is a question away; the source may not answer for long.
        if !self.source.may_ask(now) || self.candidates.has_fresher() {
            return false;
        }
        if self.is_seed {
            return true;
        }
        let is_root = self.is_at_source && self.parent.is_none();
        if is_root {
            // Others may follow it: its proof is kept young.
            return true;
        }
        let is_starting = now.since(self.started_at) < START_TOGETHER;
        let is_kept = self.parent.is_some() && self.is_proof_younger(now, self.limits.leave_from);
        if is_starting || is_kept {
            return false;
        }
        self.vain_searches > 0 || self.is_orphaned_for_long(now) || self.is_isolated(now)
    }

    /// Its parent is gone, and those that it has probed since were silent or stale, too: few daemons are in that state, and
    /// one that went on probing could miss a change for longer than it may.
    fn is_orphaned_for_long(&self, now: TimeMs) -> bool {
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        self.proved_at.is_some() && self.parent.is_none() && is_stale
    }

    /// No other daemon answers.
    fn is_isolated(&self, now: TimeMs) -> bool {
        let is_late = !self.is_proof_younger(now, self.limits.source_from);
        self.proved_at.is_some() && !self.do_others_answer && is_late
    }

    /// The stale former parent, once this daemon is fresh.
    fn parent_to_tell(&self, now: TimeMs) -> Option<SocketAddr> {
        let is_fresh = self.is_proof_younger(now, self.limits.adopt_below);
        self.stale_parent.filter(|_| is_fresh)
    }

    fn begin_due_search(&mut self, now: TimeMs) {
        if self.search.is_some() {
            return;
        }
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        if self.parent.is_none() || (is_stale && now >= self.search_not_before) {
            self.search = Some(Search {
                is_locating: !self.candidates.has_ancestors()
                    && self.seeds.to_locate(now).is_some(),
                queue: self.candidates(now),
                is_improvement: false,
            });
        }
    }

    /// Whom to probe in place of the parent, the most promising first.
    fn candidates(&self, now: TimeMs) -> VecDeque<SocketAddr> {
        let parent = self.parent.as_ref().map(|parent| parent.address);
        self.candidates.in_order(now, parent, &self.seeds)
    }

    /// The source answered a question of `asked_at`.
    pub fn on_source_answered(&mut self, now: TimeMs, asked_at: TimeMs) {
        self.source.on_answered(now);
        let former = self.parent.take();
        if !self.is_seed && self.vain_searches > 0 {
            self.stale_parent = former.map(|parent| parent.address);
        }
        self.search = None;
        self.is_at_source = true;
        self.prove(now, asked_at);
    }

    /// The source did not answer, or turned this daemon away.
    pub fn on_source_failed(&mut self, now: TimeMs) {
        self.source.on_failed(now, self.do_others_answer);
        self.is_at_source = false;
        self.must_pause = true;
    }

    /// It is known how many daemons there are; 0: it isn't.
    pub fn on_fleet_size(&mut self, daemons: u32) {
        self.fleet_size = daemons;
        self.source.on_fleet_size(daemons);
    }

    /// This daemon has a newer proof, in whatever way it came.
    pub fn on_proved(&mut self, now: TimeMs, proved_at: Option<TimeMs>) {
        if let Some(proved_at) = proved_at {
            self.prove(now, proved_at);
        }
    }

    /// Another daemon says that its proof is of `proved_at`.
    pub fn on_fresher_daemon(&mut self, now: TimeMs, daemon: SocketAddr, proved_at: TimeMs) {
        let is_fresh = now.since(proved_at) < self.limits.adopt_below;
        let is_needed = !self.is_proof_younger(now, self.limits.adopt_below);
        if !is_fresh || !is_needed || self.is_parent(daemon) || self.is_alone {
            return;
        }
        self.candidates.on_fresher(daemon);
        // A parent that is silent would be asked again for each fresher daemon, and never be given up.
        self.must_ask_parent = false;
        self.search = Some(Search {
            is_locating: false,
            queue: self.candidates(now),
            is_improvement: false,
        });
    }

    /// A daemon answered a probe.
    pub fn on_probed(&mut self, now: TimeMs, peer: SocketAddr, report: &PeerReport) {
        self.seeds.on_answered(peer, &report.data_centre);
        self.do_others_answer = true;
        if self.stale_parent == Some(peer) {
            self.stale_parent = None;
            return;
        }
        if self.is_locating(now) {
            return;
        }
        if self.is_adoptable(now, peer, report) {
            self.adopt(now, peer);
        } else {
            self.end_probe(now, peer);
        }
    }

    /// Whether seeds are still to be located; after the last one the search begins with the best.
    fn is_locating(&mut self, now: TimeMs) -> bool {
        if !(self.search.as_ref()).is_some_and(|search| search.is_locating) {
            return false;
        }
        let is_over = self.seeds.to_locate(now).is_none();
        let improved = self.seeds.local(now).into_iter().collect();
        let candidates = self.candidates(now);
        if let Some(search) = self.search.as_mut().filter(|_| is_over) {
            search.is_locating = false;
            search.queue = if search.is_improvement {
                improved
            } else {
                candidates
            };
        }
        true
    }

    fn is_adoptable(&self, now: TimeMs, peer: SocketAddr, report: &PeerReport) -> bool {
        if self.leads_back(&report.path) {
            return false;
        }
        if !report.path.reaches_source() || !self.is_young(report) {
            // A daemon that has just started waits at a seed, which may be starting, too.
            let has_nothing = self.parent.is_none() && self.proved_at.is_none();
            return has_nothing && !self.is_seed && self.seeds.contains(peer);
        }
        let is_root = self.is_at_source && self.is_proof_younger(now, self.limits.leave_from);
        if !is_root {
            return true;
        }
        let root = report.path.daemons().last().copied().unwrap_or(peer);
        let goes_first = self.seeds.contains(root) || root < self.own;
        // A seed whose call of the source hangs looks well for a while.
        let is_newer = report.proof_age < self.proof_age(now);
        goes_first && is_newer
    }

    fn is_young(&self, report: &PeerReport) -> bool {
        (report.proof_age).is_some_and(|age| age < self.limits.adopt_below)
    }

    fn adopt(&mut self, now: TimeMs, address: SocketAddr) {
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        let former = self.parent.replace(Parent::new(address));
        self.is_at_source = false;
        if is_stale {
            self.stale_parent = former.map(|parent| parent.address);
        }
        self.search = None;
        self.candidates.forget_fresher();
        self.search_not_before = now + SEARCH_PAUSE;
        self.source.on_adopted(now);
    }

    /// A probed daemon can't be adopted: the next one is probed, if there is one.
    fn end_probe(&mut self, now: TimeMs, peer: SocketAddr) {
        let Some(search) = &mut self.search else {
            return;
        };
        search.queue.retain(|address| *address != peer);
        self.candidates.on_unfit(peer);
        if !search.queue.is_empty() {
            return;
        }
        let is_improvement = search.is_improvement;
        self.search = None;
        self.candidates.forget_fresher();
        if is_improvement {
            return;
        }
        self.vain_searches += 1;
        self.search_not_before = now + SEARCH_PAUSE;
        self.must_pause = true;
        if self.vain_searches == 1 && !self.is_at_source {
            self.source.on_detached(now, self.parent.is_some());
        }
    }

    /// Whether this daemon follows the source as long as that answers.
    pub fn is_seed(&self) -> bool {
        self.is_seed || self.is_alone
    }

    /// Why this daemon asks the source, if it does so now.
    pub fn source_cause(&self) -> SourceCause {
        match (self.is_seed(), &self.parent) {
            (true, _) => SourceCause::Seed,
            (false, None) => SourceCause::NoParent,
            (false, Some(_)) => SourceCause::StaleParent,
        }
    }

    /// Whether a daemon with this source path follows this one, directly or not.
    pub fn leads_back(&self, path: &SourcePath) -> bool {
        path.contains(self.own)
    }

    /// The parent follows this daemon: both would follow nobody else. Whoever sends it on there would do
    /// so again, until it has forgotten that follower.
    pub fn on_circle(&mut self, now: TimeMs, peer: SocketAddr) {
        let Some(parent) = self.parent.take_if(|parent| parent.address == peer) else {
            return;
        };
        self.must_pause = true;
        self.candidates.on_circle(now, parent.asked_first);
    }

    /// The parent answered, and doesn't follow this daemon.
    pub fn on_peer_answered(&mut self, now: TimeMs, peer: SocketAddr, report: &PeerReport) {
        self.seeds.on_answered(peer, &report.data_centre);
        self.do_others_answer = true;
        let Some(parent) = self.parent.as_mut().filter(|parent| parent.address == peer) else {
            return;
        };
        if let Some(redirect) = report.redirect {
            *parent = parent.redirected(redirect);
            if parent.redirects > MAX_REDIRECTS || redirect == self.own {
                self.lose_parent(now);
            }
            return;
        }
        self.must_ask_parent = false;
        parent.on_records(report.path.clone());
        if report.path.reaches_source() {
            self.candidates.on_ancestors(report.path.daemons());
        }
        if !report.siblings.is_empty() {
            self.candidates.on_siblings(&report.siblings);
        }
        if let Some(age) = report.proof_age {
            self.prove(now, TimeMs(now.0.saturating_sub(age.0)));
        }
        self.end_needless_search(now);
        self.look_for_better_parent(now, report);
    }

    /// The parent is fresh again: nothing else is needed.
    fn end_needless_search(&mut self, now: TimeMs) {
        let is_fresh = self.is_proof_younger(now, self.limits.adopt_below);
        let is_needless = |search: &Search| is_fresh && !search.is_improvement;
        if self.search.as_ref().is_some_and(is_needless) {
            self.search = None;
        }
    }

    /// Another daemon did not answer.
    pub fn on_peer_failed(&mut self, now: TimeMs, peer: SocketAddr) {
        self.seeds.on_failed(now, peer);
        if self.stale_parent == Some(peer) {
            self.stale_parent = None;
        }
        if self.is_parent(peer) {
            return self.lose_parent(now);
        }
        self.must_ask_parent = self.parent.is_some();
        if !self.is_locating(now) {
            self.end_probe(now, peer);
        }
    }

    /// The parent is gone. One that never answered is likely to be named again at once, unless the source is asked next.
    fn lose_parent(&mut self, now: TimeMs) {
        let lost = self.parent.take();
        let has_answered = lost.is_some_and(|parent| parent.has_answered);
        if !has_answered {
            self.source.on_adoption_failed();
        }
        self.must_pause = !has_answered && !self.is_orphaned_for_long(now);
        self.search = None;
        self.must_ask_parent = false;
        self.do_others_answer = false;
    }

    /// This daemon's configuration was the newest at `proved_at`.
    fn prove(&mut self, now: TimeMs, proved_at: TimeMs) {
        self.proved_at = self.proved_at.max(Some(proved_at));
        if self.is_proof_younger(now, self.limits.leave_from) {
            self.vain_searches = 0;
        }
    }

    /// Begins to look for a better parent where there may be one.
    fn look_for_better_parent(&mut self, now: TimeMs, report: &PeerReport) {
        if self.search.is_some() || self.is_seed || now < self.improve_not_before {
            return;
        }
        let depth = report.path.depth() + 1;
        // While another daemon stands in for the seeds, everyone is a little deeper for a while.
        let root = report.path.daemons().last();
        let has_seed_as_root = root.is_none_or(|root| self.seeds.contains(*root));
        let is_deep =
            has_seed_as_root && self.fleet_size > 0 && depth > needed_depth(self.fleet_size);
        let is_remote = report.data_centre != self.own_data_centre;
        let may_locate = is_remote && self.seeds.to_locate(now).is_some();
        let best = if is_remote {
            self.seeds.local(now)
        } else {
            self.seeds.by_rank(now).first().copied()
        };
        let is_better = |seed: &SocketAddr| (is_deep || is_remote) && !self.is_parent(*seed);
        let queue: VecDeque<SocketAddr> = best.into_iter().filter(is_better).collect();
        if queue.is_empty() && !may_locate {
            return;
        }
        self.improve_not_before = now + IMPROVE_PAUSE;
        self.search = Some(Search {
            is_locating: may_locate,
            queue,
            is_improvement: true,
        });
    }
}
