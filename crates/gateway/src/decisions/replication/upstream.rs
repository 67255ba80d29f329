//! Upstream: what this daemon follows, the control source or another daemon.
//!
//! Inputs: the seeds of the settings, whether this daemon is one of them, and the results of
//! earlier polls: responses with the age of their proof (ms) and their source path, redirects,
//! failures.
//!
//! Rules:
//! - Seeds follow the source, and other daemons while the source does not answer.
//! - Any other daemon has a parent: a seed, or the daemon that it is redirected to. It keeps its
//!   parent until the parent gives no response, has this daemon in its own source path (a cycle),
//!   or lets its proof get too old ([`ProofLimits::leave_from`]).
//! - Then it probes other daemons, one after the other (`candidates.rs`), and adopts the first
//!   whose proof is young ([`ProofLimits::adopt_below`]) and whose source path doesn't contain this
//!   daemon.
//! - Its parent is polled again after each probe that fails: the parent may have found a fresh
//!   upstream meanwhile.
//! - One whose parent brings no newer proof for [`ProofLimits::ask_from`] asks the source once, at a
//!   moment that differs between daemons, and goes on polling its parent meanwhile: the source may refuse
//!   the seeds, and answer others.
//! - Without a parent, and with a proof as old as [`ProofLimits::leave_from`], it polls the source
//!   before it probes any more daemons.
//! - If no daemon can be adopted, it polls the source in its slot ([`super::source_pacing`]), and
//!   goes on searching. A poll that its stale parent still holds is cancelled when the slot comes.
//! - A daemon that becomes fresh through another upstream notifies its former, stale parent, which
//!   may adopt it: one daemon that reaches the source is enough for the whole fleet.
//! - Of two daemons that both poll the source, the one with the larger address follows the other.
//! - A daemon that is deeper below a seed than the size of the fleet requires, or that follows a
//!   daemon of another data centre though its own has a seed, searches for a better parent from
//!   time to time.
//!
//! Reason: the source can serve a few callers, not one for each daemon, and a daemon that the
//! source refuses continues with the state of its peers.
//!
//! See docs/design/15.
//!
//! Tests: `upstream.rs`; `follow_tree.rs` (all orders of faults in a small fleet, long runs of
//! large ones).

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

/// How long after its start a daemon waits for peers that may be starting, too, before it polls the
/// source. The VMs of a deployment start within 0.3 s of each other, and a seed takes about as long
/// to read the full state.
const STARTUP_WAIT: DurationMs = DurationMs(800);
/// The pause between two searches of a daemon whose parent answers, but is stale. A search takes
/// some six polls; half the pause would double their number in an outage.
const SEARCH_INTERVAL: DurationMs = DurationMs(1_000);
/// The pause between two searches for a better parent. A daemon that is too deep works as well; its
/// proofs are only some milliseconds older.
const IMPROVE_INTERVAL: DurationMs = DurationMs(3_000);
/// The number of redirects that are followed in a row. The tree of any fleet is less deep.
const MAX_REDIRECTS: u32 = 8;

/// The next daemon or source to poll, and the purpose.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Upstream {
    /// The control source, for the full state or for changes.
    #[display("source")]
    Source,
    /// Another daemon, for the full state or for changes; it counts this one among its followers.
    #[display("{_0}")]
    Peer(SocketAddr),
    /// Another daemon, for its place in the tree and the age of its proof only.
    #[display("looking at {_0}")]
    Probe(SocketAddr),
}

/// What another daemon reports about itself as an upstream.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The age of its proof, if it has one.
    pub proof_age: Option<DurationMs>,
    /// Its path to the source.
    pub path: SourcePath,
    /// The daemon to poll from now on, if this one redirects.
    pub redirect: Option<SocketAddr>,
    /// Some of its other followers; not in every response.
    pub siblings: Vec<SocketAddr>,
}

/// Why a daemon polls the source. The text is the cause in metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SourceCause {
    /// It is a seed, or knows no other daemon.
    #[display("seed")]
    Seed,
    /// It has lost its parent and found no other.
    #[display("no parent")]
    NoParent,
    /// Its parent answers, but has an old proof, and no other daemon has a newer one.
    #[display("stale parent")]
    StaleParent,
    /// A request needs a proof that is newer than the request.
    #[display("proof on demand")]
    ProofOnDemand,
}

/// The daemons still to be probed in a search for a parent.
#[derive(Clone, Debug)]
struct Search {
    /// Whether seeds of unknown data centre are probed first.
    is_locating: bool,
    queue: VecDeque<SocketAddr>,
    /// Whether the parent is fresh, and the search is only for a better place in the tree.
    is_improvement: bool,
}

/// Selects the upstream.
#[derive(Debug)]
pub struct UpstreamSelector {
    own_data_centre: DataCentreId,
    own_address: SocketAddr,
    /// Whether this daemon has no address at which others can poll it, or knows no seeds.
    is_standalone: bool,
    is_seed: bool,
    started_at: TimeMs,
    limits: ProofLimits,
    seeds: Seeds,
    source_pacing: SourcePacing,
    fleet_size: u32,
    /// When the poll that gave this daemon's newest proof was sent.
    proved_at: Option<TimeMs>,
    parent: Option<Parent>,
    /// Whether the source answered its last poll, and no daemon was adopted since.
    follows_source: bool,
    candidates: Candidates,
    search: Option<Search>,
    search_not_before: TimeMs,
    improve_not_before: TimeMs,
    /// The number of searches without a result since this daemon's proof was last young enough.
    failed_searches: u32,
    /// Whether another daemon has answered since the last parent was lost.
    has_peer_answered: bool,
    /// A stale former parent, to be notified when this daemon is fresh.
    stale_parent: Option<SocketAddr>,
    /// Whether the parent is polled before the next probe, since a probe failed.
    must_poll_parent: bool,
    must_pause: bool,
}

/// A placeholder for the address of a daemon that has none; it is never polled.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl UpstreamSelector {
    /// Creates the selector of a daemon at `own` that knows these seeds; without an address the
    /// daemon follows the source.
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
            own_address: address,
            is_standalone: own.is_none() || seeds.is_empty(),
            is_seed,
            started_at: now,
            limits,
            seeds,
            source_pacing: SourcePacing::new(address, is_seed, limits),
            fleet_size: 0,
            proved_at: None,
            parent: None,
            follows_source: false,
            candidates: Candidates::new(address),
            search: None,
            search_not_before: TimeMs(0),
            improve_not_before: TimeMs(0),
            failed_searches: 0,
            has_peer_answered: false,
            stale_parent: None,
            must_poll_parent: false,
            must_pause: false,
        }
    }

    /// Returns what to poll now.
    pub fn select(&mut self, now: TimeMs) -> Upstream {
        if self.is_standalone || self.must_poll_source(now) {
            return Upstream::Source;
        }
        if let Some(former) = self.parent_to_notify(now) {
            return Upstream::Probe(former);
        }
        self.start_due_search(now);
        if let Some(parent) = self.parent.as_ref().filter(|_| self.must_poll_parent) {
            return Upstream::Peer(parent.address);
        }
        if let Some(search) = &self.search {
            let unlocated_seed = self
                .seeds
                .next_unlocated(now)
                .filter(|_| search.is_locating);
            if let Some(address) = unlocated_seed.or(search.queue.front().copied()) {
                return Upstream::Probe(address);
            }
        }
        match &self.parent {
            Some(parent) => Upstream::Peer(parent.address),
            None => Upstream::Source,
        }
    }

    /// Returns when a poll of the parent must be cancelled because this daemon's slot at the source
    /// comes; `None` if no slot is ahead.
    pub fn source_slot_at(&self, now: TimeMs) -> Option<TimeMs> {
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        let has_slot = !self.is_seed() && is_stale && self.failed_searches > 0;
        // A slot that has come is used at the next step, unless another rule takes precedence.
        let slot_at = has_slot.then(|| self.source_pacing.not_before());
        slot_at.filter(|slot_at| *slot_at > now)
    }

    /// Returns when this daemon asks the source beside its polls of the parent, if the parent brings no
    /// newer proof until then; `None` if it has asked after this proof.
    pub fn question_at(&self) -> Option<TimeMs> {
        if self.is_seed() || self.parent.is_none() {
            return None;
        }
        self.source_pacing.question_at(self.proved_at?)
    }

    /// Records that the source is asked.
    pub fn on_asked(&mut self) {
        self.source_pacing.on_asked(self.proved_at);
    }

    /// Returns whether this daemon takes the place of its parent once the source has answered it: the
    /// parent has brought no newer proof.
    pub fn is_parent_stale(&self, now: TimeMs) -> bool {
        self.parent.is_some() && !self.is_proof_younger(now, self.limits.ask_from)
    }

    /// Returns true once after a step without a result: the next step should wait a little.
    pub fn take_pause_request(&mut self) -> bool {
        std::mem::take(&mut self.must_pause)
    }

    /// Returns this daemon's path to the source.
    pub fn path(&self) -> SourcePath {
        if self.follows_source {
            return SourcePath::direct();
        }
        let parent = self.parent.as_ref();
        let path = parent.and_then(|parent| parent.path.with_upstream(parent.address));
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

    /// Returns whether the source is polled now: by seeds whenever pacing allows, by others without
    /// a parent.
    fn must_poll_source(&self, now: TimeMs) -> bool {
        // A fresher daemon answers within one round trip; the source may take long to answer.
        if !self.source_pacing.may_poll(now) || self.candidates.has_fresher() {
            return false;
        }
        if self.is_seed {
            return true;
        }
        let is_root = self.follows_source && self.parent.is_none();
        if is_root {
            // Other daemons may follow this one: its proof is kept young.
            return true;
        }
        let is_starting = now.since(self.started_at) < STARTUP_WAIT;
        let keeps_parent =
            self.parent.is_some() && self.is_proof_younger(now, self.limits.leave_from);
        if is_starting || keeps_parent {
            return false;
        }
        self.failed_searches > 0 || self.is_orphaned_and_stale(now) || self.is_isolated(now)
    }

    /// Returns whether the parent is lost and all daemons probed since were silent or stale. Few
    /// daemons are in that state, and one that went on probing could miss a change for longer than
    /// allowed.
    fn is_orphaned_and_stale(&self, now: TimeMs) -> bool {
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        self.proved_at.is_some() && self.parent.is_none() && is_stale
    }

    /// Returns whether no other daemon answers and this daemon's proof is close to its end.
    fn is_isolated(&self, now: TimeMs) -> bool {
        let is_late = !self.is_proof_younger(now, self.limits.source_from);
        self.proved_at.is_some() && !self.has_peer_answered && is_late
    }

    /// Returns the stale former parent once this daemon is fresh.
    fn parent_to_notify(&self, now: TimeMs) -> Option<SocketAddr> {
        let is_fresh = self.is_proof_younger(now, self.limits.adopt_below);
        self.stale_parent.filter(|_| is_fresh)
    }

    fn start_due_search(&mut self, now: TimeMs) {
        if self.search.is_some() {
            return;
        }
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        if self.parent.is_none() || (is_stale && now >= self.search_not_before) {
            self.search = Some(Search {
                is_locating: !self.candidates.has_ancestors()
                    && self.seeds.next_unlocated(now).is_some(),
                queue: self.candidates(now),
                is_improvement: false,
            });
        }
    }

    /// Returns the daemons to probe in place of the parent, the most promising first.
    fn candidates(&self, now: TimeMs) -> VecDeque<SocketAddr> {
        let parent = self.parent.as_ref().map(|parent| parent.address);
        self.candidates.ranked(now, parent, &self.seeds)
    }

    /// Records that the source answered a poll sent at `asked_at`.
    pub fn on_source_answered(&mut self, now: TimeMs, asked_at: TimeMs) {
        self.source_pacing.on_answered(now);
        let is_parent_stale = self.failed_searches > 0 || self.is_parent_stale(now);
        let former = self.parent.take();
        if !self.is_seed && is_parent_stale {
            self.stale_parent = former.map(|parent| parent.address);
        }
        self.search = None;
        self.follows_source = true;
        self.record_proof(now, asked_at);
    }

    /// Records that the source did not answer, or refused this daemon.
    pub fn on_source_failed(&mut self, now: TimeMs) {
        self.source_pacing.on_failed(now, self.has_peer_answered);
        self.follows_source = false;
        self.must_pause = true;
    }

    /// Sets the number of daemons; 0 means unknown.
    pub fn on_fleet_size(&mut self, daemons: u32) {
        self.fleet_size = daemons;
        self.source_pacing.on_fleet_size(daemons);
    }

    /// Records a newer proof of this daemon, from any origin.
    pub fn on_proved(&mut self, now: TimeMs, proved_at: Option<TimeMs>) {
        if let Some(proved_at) = proved_at {
            self.record_proof(now, proved_at);
        }
    }

    /// Records that another daemon reports a proof of `proved_at`, and starts a search with it if
    /// needed.
    pub fn on_fresher_daemon(&mut self, now: TimeMs, daemon: SocketAddr, proved_at: TimeMs) {
        let is_fresh = now.since(proved_at) < self.limits.adopt_below;
        let is_needed = !self.is_proof_younger(now, self.limits.adopt_below);
        if !is_fresh || !is_needed || self.is_parent(daemon) || self.is_standalone {
            return;
        }
        self.candidates.on_fresher(daemon);
        // Otherwise a silent parent would be polled again for each fresher daemon and never be
        // dropped.
        self.must_poll_parent = false;
        self.search = Some(Search {
            is_locating: false,
            queue: self.candidates(now),
            is_improvement: false,
        });
    }

    /// Records a daemon's response to a probe.
    pub fn on_probed(&mut self, now: TimeMs, peer: SocketAddr, report: &PeerReport) {
        self.seeds.on_answered(peer, &report.data_centre);
        self.has_peer_answered = true;
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
            self.reject_probed(now, peer);
        }
    }

    /// Returns whether seeds are still to be located; after the last one the search starts with the
    /// best.
    fn is_locating(&mut self, now: TimeMs) -> bool {
        if !(self.search.as_ref()).is_some_and(|search| search.is_locating) {
            return false;
        }
        let is_located = self.seeds.next_unlocated(now).is_none();
        let better = self.seeds.local(now).into_iter().collect();
        let candidates = self.candidates(now);
        if let Some(search) = self.search.as_mut().filter(|_| is_located) {
            search.is_locating = false;
            search.queue = if search.is_improvement {
                better
            } else {
                candidates
            };
        }
        true
    }

    fn is_adoptable(&self, now: TimeMs, peer: SocketAddr, report: &PeerReport) -> bool {
        if self.is_in_path(&report.path) {
            return false;
        }
        if !report.path.reaches_source() || !self.is_young(report) {
            // A daemon that has just started waits at a seed, which may be starting, too.
            let has_nothing = self.parent.is_none() && self.proved_at.is_none();
            return has_nothing && !self.is_seed && self.seeds.contains(peer);
        }
        let is_root = self.follows_source && self.is_proof_younger(now, self.limits.leave_from);
        if !is_root {
            return true;
        }
        let root = report.path.daemons().last().copied().unwrap_or(peer);
        let has_priority = self.seeds.contains(root) || root < self.own_address;
        // A seed whose poll of the source hangs appears fresh for a while.
        let is_newer = report.proof_age < self.proof_age(now);
        has_priority && is_newer
    }

    fn is_young(&self, report: &PeerReport) -> bool {
        (report.proof_age).is_some_and(|age| age < self.limits.adopt_below)
    }

    fn adopt(&mut self, now: TimeMs, address: SocketAddr) {
        let is_stale = !self.is_proof_younger(now, self.limits.leave_from);
        let former = self.parent.replace(Parent::new(address));
        self.follows_source = false;
        if is_stale {
            self.stale_parent = former.map(|parent| parent.address);
        }
        self.search = None;
        self.candidates.forget_fresher();
        self.search_not_before = now + SEARCH_INTERVAL;
        self.source_pacing.on_adopted(now);
    }

    /// Removes a probed daemon that can't be adopted; ends the search if it was the last one.
    fn reject_probed(&mut self, now: TimeMs, peer: SocketAddr) {
        let Some(search) = &mut self.search else {
            return;
        };
        search.queue.retain(|address| *address != peer);
        self.candidates.on_rejected(peer);
        if !search.queue.is_empty() {
            return;
        }
        let is_improvement = search.is_improvement;
        self.search = None;
        self.candidates.forget_fresher();
        if is_improvement {
            return;
        }
        self.failed_searches += 1;
        self.search_not_before = now + SEARCH_INTERVAL;
        self.must_pause = true;
        if self.failed_searches == 1 && !self.follows_source {
            self.source_pacing.on_detached(now, self.parent.is_some());
        }
    }

    /// Returns whether this daemon follows the source while the source answers.
    pub fn is_seed(&self) -> bool {
        self.is_seed || self.is_standalone
    }

    /// Returns why this daemon polls the source, if it does so now.
    pub fn source_cause(&self) -> SourceCause {
        match (self.is_seed(), &self.parent) {
            (true, _) => SourceCause::Seed,
            (false, None) => SourceCause::NoParent,
            (false, Some(_)) => SourceCause::StaleParent,
        }
    }

    /// Returns whether a daemon with this source path follows this one, directly or not.
    pub fn is_in_path(&self, path: &SourcePath) -> bool {
        path.contains(self.own_address)
    }

    /// Drops the parent because it follows this daemon: neither would follow any other daemon. A
    /// daemon that redirected this one there would do so again until it has forgotten that
    /// follower.
    pub fn on_cycle(&mut self, now: TimeMs, peer: SocketAddr) {
        let Some(parent) = self.parent.take_if(|parent| parent.address == peer) else {
            return;
        };
        self.must_pause = true;
        self.candidates.on_cycle(now, parent.first_polled);
    }

    /// Records a response of the parent, which doesn't follow this daemon.
    pub fn on_peer_answered(&mut self, now: TimeMs, peer: SocketAddr, report: &PeerReport) {
        self.seeds.on_answered(peer, &report.data_centre);
        self.has_peer_answered = true;
        let Some(parent) = self.parent.as_mut().filter(|parent| parent.address == peer) else {
            return;
        };
        if let Some(redirect) = report.redirect {
            *parent = parent.redirected(redirect);
            if parent.redirects > MAX_REDIRECTS || redirect == self.own_address {
                self.lose_parent(now);
            }
            return;
        }
        self.must_poll_parent = false;
        parent.on_records(report.path.clone());
        if report.path.reaches_source() {
            self.candidates.on_ancestors(report.path.daemons());
        }
        if !report.siblings.is_empty() {
            self.candidates.on_siblings(&report.siblings);
        }
        if let Some(age) = report.proof_age {
            self.record_proof(now, TimeMs(now.0.saturating_sub(age.0)));
        }
        self.cancel_unneeded_search(now);
        self.look_for_better_parent(now, report);
    }

    /// Ends a search for a fresher parent once this daemon is fresh again.
    fn cancel_unneeded_search(&mut self, now: TimeMs) {
        let is_fresh = self.is_proof_younger(now, self.limits.adopt_below);
        let is_unneeded = |search: &Search| is_fresh && !search.is_improvement;
        if self.search.as_ref().is_some_and(is_unneeded) {
            self.search = None;
        }
    }

    /// Records that another daemon did not answer.
    pub fn on_peer_failed(&mut self, now: TimeMs, peer: SocketAddr) {
        self.seeds.on_failed(now, peer);
        if self.stale_parent == Some(peer) {
            self.stale_parent = None;
        }
        if self.is_parent(peer) {
            return self.lose_parent(now);
        }
        self.must_poll_parent = self.parent.is_some();
        if !self.is_locating(now) {
            self.reject_probed(now, peer);
        }
    }

    /// Drops the parent. If it never answered, the source may be polled next: the same daemon is
    /// likely to be found again at once.
    fn lose_parent(&mut self, now: TimeMs) {
        let lost = self.parent.take();
        let has_answered = lost.is_some_and(|parent| parent.has_answered);
        if !has_answered {
            self.source_pacing.on_adoption_failed();
        }
        self.must_pause = !has_answered && !self.is_orphaned_and_stale(now);
        self.search = None;
        self.must_poll_parent = false;
        self.has_peer_answered = false;
    }

    /// Records that this daemon's state was the newest at `proved_at`.
    fn record_proof(&mut self, now: TimeMs, proved_at: TimeMs) {
        self.proved_at = self.proved_at.max(Some(proved_at));
        if self.is_proof_younger(now, self.limits.leave_from) {
            self.failed_searches = 0;
        }
    }

    /// Starts a search for a better parent if there may be one.
    fn look_for_better_parent(&mut self, now: TimeMs, report: &PeerReport) {
        if self.search.is_some() || self.is_seed || now < self.improve_not_before {
            return;
        }
        let depth = report.path.depth() + 1;
        // While another daemon takes the place of the seeds, all daemons are a little deeper for a
        // while.
        let root = report.path.daemons().last();
        let has_seed_as_root = root.is_none_or(|root| self.seeds.contains(*root));
        let is_deep =
            has_seed_as_root && self.fleet_size > 0 && depth > needed_depth(self.fleet_size);
        let is_remote = report.data_centre != self.own_data_centre;
        let may_locate = is_remote && self.seeds.next_unlocated(now).is_some();
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
        self.improve_not_before = now + IMPROVE_INTERVAL;
        self.search = Some(Search {
            is_locating: may_locate,
            queue,
            is_improvement: true,
        });
    }
}
