//! Following the control source, directly or through another daemon: the full state is read once,
//! then changes.
//!
//! This task is the only writer of [`crate::control::state`], except for proofs of other seeds
//! ([`super::seed_exchange`]). The upstream is chosen in
//! [`crate::decisions::replication::upstream`]; this module polls it, applies the answer and stores
//! the proof.

use crate::control::replica::ReplicaUpdate;
use crate::control::source::{
    Changes, ControlSource, FullState, ReadProgress, Revision, SourceError,
};
use crate::decisions::admission::freshness::Freshness;
use crate::decisions::replication::source_pacing::{SourceCaller, watch_wait};
use crate::decisions::replication::upstream::{
    PeerReport, SourceCause, Upstream, UpstreamSelector,
};
use crate::gateway::Gateway;
use crate::replication::client::{PeerAnswer, PeerClient};
use crate::replication::message::MessageError;
use crate::replication::peer_error::PeerError;
use crate::replication::{
    proof_on_demand, seed_exchange, seed_reports, state_reports, stream_reports,
};
use bridgevane_events::{Event, event};
use bridgevane_types::{ConfigVersion, DurationMs, TimeMs};
use futures_util::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// The delay after the first failed step; it doubles. The upstream selector has its own, longer
/// delays for the source: this one only prevents a busy loop.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The maximum delay between failed steps. A lost upstream must be replaced well within the default
/// lifetime of a proof, 4.7 s.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// The initial timeout for each part of the full state; each read that times out doubles it, since
/// with a fixed timeout a slow VM never finished reading a large state. There is no timeout for the
/// whole read, because the number of parts grows with the fleet: 10,000 endpoints are 50 pages, 12
/// s at a source that takes 0.24 s for each.
const FIRST_RELOAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The maximum timeout for each part of the full state: three doublings. A slower source counts as
/// unavailable.
const MAX_RELOAD_TIMEOUT: Duration = Duration::from_millis(16_000);
/// The time that a wait for changes may take beyond the wait itself. A slow source takes some
/// hundred milliseconds more; an unresponsive one must be abandoned soon.
const WAIT_SLACK: Duration = Duration::from_millis(1_000);
/// The time that a call without a wait may take. The users' slowest source takes 0.24 s, plus the
/// time for a new connection.
const ANSWER_SLACK: Duration = Duration::from_millis(600);
/// The delay before the next poll after changes. Changes come in bursts, and one later answer
/// brings those of several. Without this delay a fleet made 12,585 calls to the source where it
/// makes 4,400 with it and longer waits.
const CHANGE_BURST_DELAY: Duration = Duration::from_millis(200);

/// The shortest time between two full states that are read from other daemons for their configuration:
/// a daemon that can't decode a document lacks it for long.
const CONFIGURATION_FETCH_INTERVAL: DurationMs = DurationMs(2_000);

/// Follows the source until the daemon ends.
pub async fn run<S: ControlSource>(gateway: Arc<Gateway>, source: S) {
    seed_exchange::start(&gateway);
    stream_reports::start(&gateway);
    seed_reports::start(&gateway);
    let settings = &gateway.settings;
    let upstreams = UpstreamSelector::new(
        gateway.clock.now(),
        settings.data_centre.clone(),
        settings.peer_address,
        &settings.seed_addresses,
        settings.proof_limits(),
    );
    let mut follower = SourceFollower {
        upstreams,
        gateway,
        source: Arc::new(source),
        question: None,
        parent_client: PeerClient::default(),
        probe_client: PeerClient::default(),
        logged_upstream: None,
        needs_full_state: true,
        pause: FIRST_PAUSE,
        reload_timeout: FIRST_RELOAD_TIMEOUT,
        is_source_lost: false,
        next_fetch_at: TimeMs(0),
        fetched_version: ConfigVersion(0),
        logged_freshness: Freshness::TooOld,
    };
    loop {
        follower.step().await;
    }
}

struct SourceFollower<S> {
    gateway: Arc<Gateway>,
    source: Arc<S>,
    /// A call of the source beside the polls of the parent.
    question: Option<JoinHandle<Result<TimeMs, SourceError>>>,
    upstreams: UpstreamSelector,
    parent_client: PeerClient,
    probe_client: PeerClient,
    /// The upstream that was last logged; probes aren't logged.
    logged_upstream: Option<Upstream>,
    /// Whether the replica can't be brought up to date by changes.
    needs_full_state: bool,
    pause: Duration,
    reload_timeout: Duration,
    is_source_lost: bool,
    /// When a configuration may next be fetched from a daemon that isn't the upstream.
    next_fetch_at: TimeMs,
    /// The newest configuration for which the upstream's full state was requested.
    fetched_version: ConfigVersion,
    /// The freshness that was last logged.
    logged_freshness: Freshness,
}

impl<S: ControlSource> SourceFollower<S> {
    /// Selects an upstream and polls it once.
    async fn step(&mut self) {
        let now = self.gateway.clock.now();
        if let Some(asked_at) = answered_question(&mut self.question).now_or_never() {
            self.on_question_answered(asked_at);
        }
        // Other seeds' proofs are stored by another task.
        let proved_at = self.gateway.control.proved_at();
        self.upstreams.on_proved(now, proved_at);
        if let Some(fresher) = self.gateway.fleet.take_fresher_daemon() {
            self.upstreams
                .on_fresher_daemon(now, fresher.address, fresher.proved_at);
        }
        if let Some(daemon) = self.gateway.fleet.take_newer_configuration()
            && now >= self.next_fetch_at
        {
            self.next_fetch_at = now + CONFIGURATION_FETCH_INTERVAL;
            self.fetch_configuration(daemon).await;
        }
        let upstream = self.upstreams.select(now);
        self.log_upstream(upstream);
        match upstream {
            Upstream::Source => self.poll_source().await,
            Upstream::Peer(peer) => self.poll_peer(peer).await,
            Upstream::Probe(peer) => self.probe(peer).await,
        }
        let path = self.upstreams.path();
        self.gateway.metrics.tree_depth(&path);
        self.gateway.fleet.set_path(path);
        self.gateway.control.drop_expired_endpoints();
        self.log_freshness();
        if self.upstreams.take_pause_request() {
            sleep(self.pause).await;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        } else {
            self.pause = FIRST_PAUSE;
        }
    }

    async fn poll_source(&mut self) {
        self.parent_client.close();
        let cause = self.upstreams.source_cause();
        let asked_at = self.gateway.clock.now();
        let gateway = self.gateway.clone();
        // Doesn't wait for an unresponsive source when another daemon is fresher.
        let next_fetch_at = self.next_fetch_at;
        let result = tokio::select! {
            result = self.call_source() => result,
            () = gateway.fleet.wait_for_fresher_daemon() => Err(SourceError::NoAnswer),
            // A newer configuration that the source doesn't list is read first.
            () = wait_for_newer_configuration(&gateway, next_fetch_at) => return,
            // Repeats a poll that was sent before a suspension.
            () = gateway.resumed_from_suspension.notified() => return,
        };
        self.gateway.metrics.source_called(cause, result);
        match result {
            Ok(()) => {
                self.needs_full_state = false;
                self.gateway.control.store_proof(asked_at);
                self.on_source_answered(asked_at);
            }
            Err(SourceError::HistoryLost) if !self.needs_full_state => {
                self.needs_full_state = true;
            }
            Err(error) => self.on_source_failed(error),
        }
    }

    async fn call_source(&mut self) -> Result<(), SourceError> {
        if self.needs_full_state {
            self.reload().await
        } else {
            self.wait_for_changes().await
        }
    }

    fn on_source_answered(&mut self, asked_at: TimeMs) {
        let gateway = &self.gateway;
        let directory = gateway.control.directory();
        let fleet_size = gateway.fleet.estimate_size(&directory);
        gateway.on_fleet_size(fleet_size);
        gateway.fleet.update_others_work(&directory);
        let now = gateway.clock.now();
        self.upstreams.on_source_answered(now, asked_at);
        self.upstreams.on_fleet_size(fleet_size.unwrap_or_default());
        if std::mem::take(&mut self.is_source_lost) {
            event!(Event::SourceRegained);
        }
    }

    fn on_source_failed(&mut self, error: SourceError) {
        self.upstreams.on_source_failed(self.gateway.clock.now());
        if !std::mem::replace(&mut self.is_source_lost, true) {
            event!(Event::SourceLost, cause = error);
        }
    }

    async fn reload(&mut self) -> Result<(), SourceError> {
        let progress = ReadProgress::default();
        let reading = self.source.full_state(&progress);
        let Some(state) = read_while_parts_arrive(reading, &progress, self.reload_timeout).await
        else {
            self.reload_timeout = (self.reload_timeout * 2).min(MAX_RELOAD_TIMEOUT);
            return Err(SourceError::NoAnswer);
        };
        let state = state?;
        self.reload_timeout = FIRST_RELOAD_TIMEOUT;
        event!(
            Event::SourceReloaded,
            revision = state.revision,
            records = state.records.len()
        );
        let is_applied = self.gateway.control.replace(&*self.source, &state);
        // A state that is older than the replica proves nothing.
        is_applied.then_some(()).ok_or(SourceError::HistoryLost)
    }

    async fn wait_for_changes(&mut self) -> Result<(), SourceError> {
        let at = self.gateway.control.replica().revision();
        let caller = SourceCaller {
            is_seed: self.upstreams.is_seed(),
            has_failed: self.is_source_lost,
            seeds_before: self.gateway.fleet.live_seeds_before(),
        };
        let wait = watch_wait(self.gateway.settings.watch_wait_ms, caller);
        let slack = if wait == DurationMs(0) {
            ANSWER_SLACK
        } else {
            WAIT_SLACK
        };
        let limit = wait.as_std() + slack;
        let waiting = timeout(limit, self.source.changes(at, wait)).await;
        let changes = waiting.map_err(|_| SourceError::NoAnswer)??;
        let has_changes = !changes.records.is_empty();
        self.gateway.control.apply(&*self.source, changes);
        if has_changes && self.upstreams.is_seed() {
            sleep(CHANGE_BURST_DELAY).await;
        }
        Ok(())
    }

    async fn poll_peer(&mut self, peer: SocketAddr) {
        let after = if self.needs_full_state {
            Revision(0)
        } else {
            self.gateway.control.replica().revision()
        };
        let now = self.gateway.clock.now();
        let until_slot = self
            .upstreams
            .source_slot_at(now)
            .map(|slot| slot.since(now));
        let until_question = self.upstreams.question_at();
        let until_question = until_question.map(|question_at| question_at.since(now));
        let gateway = self.gateway.clone();
        let polled = tokio::select! {
            polled = self.parent_client.poll(&gateway, peer, after) => polled,
            asked_at = answered_question(&mut self.question) => return self.on_question_answered(asked_at),
            () = wait_for_slot(until_question) => return self.ask_source(),
            // The poll is dropped with its connection; the parent is kept.
            () = gateway.fleet.wait_for_fresher_daemon() => return,
            () = gateway.resumed_from_suspension.notified() => return,
            () = wait_for_slot(until_slot) => return,
        };
        let applied = polled.and_then(|answer| self.apply_answer(peer, answer));
        self.gateway.metrics.peer_polled(applied.as_ref().err());
        match applied {
            Ok(report) => {
                let now = self.gateway.clock.now();
                self.upstreams.on_peer_answered(now, peer, &report);
            }
            Err(PeerError::Cycle) => {
                let now = self.gateway.clock.now();
                self.upstreams.on_cycle(now, peer);
                event!(Event::CircleLeft, peer = peer);
            }
            Err(error) => self.on_peer_failed(peer, error),
        }
    }

    /// Calls the source beside the polls of the parent. Not called before the first state was read.
    fn ask_source(&mut self) {
        self.upstreams.on_asked();
        let (gateway, source) = (self.gateway.clone(), self.source.clone());
        let question = tokio::spawn(async move {
            let result = proof_on_demand::read(&gateway, &*source).await;
            let cause = SourceCause::StaleParent;
            gateway.metrics.source_called(cause, result.map(|_| ()));
            result
        });
        self.question = Some(question);
    }

    fn on_question_answered(&mut self, asked_at: TimeMs) {
        if self.upstreams.is_parent_stale(self.gateway.clock.now()) {
            self.parent_client.close();
            self.on_source_answered(asked_at);
        }
    }

    /// Reads the full state of a daemon with a newer configuration, for its document.
    async fn fetch_configuration(&mut self, daemon: SocketAddr) {
        let polled = self.probe_client.fetch(&self.gateway, daemon).await;
        let applied = polled.and_then(|answer| {
            self.apply_records(answer.at, answer.update)?;
            state_reports::apply(&self.gateway, Some(daemon), answer.state.as_ref());
            Ok(())
        });
        if let Err(error) = applied {
            event!(Event::PeerLost, peer = daemon, cause = error);
        }
    }

    /// Asks another daemon for its place in the tree, and reports this daemon's proof to it.
    async fn probe(&mut self, peer: SocketAddr) {
        let probed = self.probe_client.probe(&self.gateway, peer).await;
        self.gateway.metrics.peer_polled(probed.as_ref().err());
        let probed = match probed {
            Ok(probed) => probed,
            Err(error) => return self.on_peer_failed(peer, error),
        };
        state_reports::apply(&self.gateway, Some(peer), probed.state.as_ref());
        let report = PeerReport {
            data_centre: probed.data_centre,
            proof_age: self.proof_age(probed.at, probed.proved_at),
            path: probed.path,
            redirect: None,
            siblings: Vec::new(),
        };
        let now = self.gateway.clock.now();
        self.upstreams.on_probed(now, peer, &report);
    }

    fn on_peer_failed(&mut self, peer: SocketAddr, error: PeerError) {
        let now = self.gateway.clock.now();
        self.upstreams.on_peer_failed(now, peer);
        event!(Event::PeerLost, peer = peer, cause = error);
    }

    /// Applies another daemon's answer, and stores its proof.
    fn apply_answer(
        &mut self,
        peer: SocketAddr,
        answer: PeerAnswer,
    ) -> Result<PeerReport, PeerError> {
        // Checked first: the proof in such an answer is this daemon's own.
        if self.upstreams.is_in_path(&answer.path) {
            return Err(PeerError::Cycle);
        }
        let report = PeerReport {
            proof_age: self.proof_age(answer.at, answer.proved_at),
            data_centre: answer.data_centre,
            path: answer.path,
            redirect: answer.redirect,
            siblings: answer.siblings,
        };
        self.record_daemons(peer, &report);
        self.apply_records(answer.at, answer.update)?;
        let gateway = &self.gateway;
        let fleet_size = gateway.fleet.on_size_report(answer.fleet_size);
        self.upstreams.on_fleet_size(fleet_size.unwrap_or_default());
        gateway.on_fleet_size(fleet_size);
        let directory = gateway.control.directory();
        let fleet = &gateway.fleet;
        fleet.on_total_report(&directory, answer.total_work, &answer.others_work);
        if let Some(proved_at) = answer.proved_at {
            self.needs_full_state = false;
            self.gateway.control.adopt_proof(answer.at, proved_at);
        }
        let control = &self.gateway.control;
        if control.lacks_configuration(answer.at, answer.config_version)
            && answer.config_version > self.fetched_version
        {
            self.fetched_version = answer.config_version;
            self.needs_full_state = true;
        }
        // The upstream's newer configuration is read with its full state.
        state_reports::apply(gateway, None, answer.state.as_ref());
        Ok(report)
    }

    /// Returns the age of another daemon's proof for its state at `at`; `None` if it has none, or one
    /// from before the source came back from a copy.
    fn proof_age(&self, at: Revision, proved_at: Option<TimeMs>) -> Option<DurationMs> {
        let own = self.gateway.control.replica().revision();
        let proved_at = proved_at.filter(|_| at.era() >= own.era());
        proved_at.map(|proved_at| self.gateway.clock.now().since(proved_at))
    }

    /// Remembers the daemons that an answer names, for forwarding.
    fn record_daemons(&self, peer: SocketAddr, report: &PeerReport) {
        let now = self.gateway.clock.now();
        let daemons = &self.gateway.daemons;
        daemons.on_heard_of(now, peer, Some(&report.data_centre));
        for ancestor in report.path.daemons() {
            daemons.on_heard_of(now, *ancestor, None);
        }
        // A daemon's siblings are those of its own data centre.
        let own_data_centre = &self.gateway.settings.data_centre;
        for sibling in &report.siblings {
            daemons.on_heard_of(now, *sibling, Some(own_data_centre));
        }
    }

    fn apply_records(
        &mut self,
        revision: Revision,
        update: ReplicaUpdate,
    ) -> Result<(), PeerError> {
        let (is_whole, changes) = match update {
            ReplicaUpdate::Full(changes) => (true, changes),
            ReplicaUpdate::Changes(changes) => (false, changes),
        };
        let resolved = self.gateway.control.replica().resolve(changes);
        let Ok(records) = resolved else {
            self.needs_full_state = true;
            return Err(PeerError::BadRecords(MessageError::PatchDoesNotFit));
        };
        let control = &self.gateway.control;
        if is_whole {
            let state = FullState { revision, records };
            if !control.replace(&*self.source, &state) {
                control.adopt_newer_document(&*self.source, &state);
            }
        } else {
            control.apply(&*self.source, Changes { revision, records });
        }
        Ok(())
    }

    fn log_upstream(&mut self, upstream: Upstream) {
        // A probe doesn't change the upstream.
        let is_probe = matches!(upstream, Upstream::Probe(_));
        if is_probe || self.logged_upstream == Some(upstream) {
            return;
        }
        self.logged_upstream = Some(upstream);
        event!(
            Event::UpstreamChanged,
            upstream = upstream,
            proof_age_ms = self.proof_age_for_log(),
            revision = self.gateway.control.replica().revision()
        );
    }

    fn log_freshness(&mut self) {
        let freshness = self.gateway.control.freshness();
        if std::mem::replace(&mut self.logged_freshness, freshness) == freshness {
            return;
        }
        let event = match freshness {
            Freshness::Current => Event::FreshnessRegained,
            Freshness::Aging => Event::ProofAging,
            Freshness::Stale => Event::ServingStale,
            Freshness::TooOld => Event::FreshnessLost,
            Freshness::Witnessed => Event::DenialsPaused,
            Freshness::Unwitnessed => Event::StateUnwitnessed,
        };
        event!(
            event,
            proof_age_ms = self.proof_age_for_log(),
            max_stale_ms = self.gateway.settings.freshness.max_stale_age_ms
        );
    }

    /// Returns the age of the newest proof in milliseconds; -1: there is none.
    fn proof_age_for_log(&self) -> i64 {
        let proof_age = self.gateway.control.proof_age();
        proof_age.map_or(-1, |age| age.0 as i64)
    }
}

/// Runs a read for as long as a part arrives within each `limit`; returns none if it timed out.
async fn read_while_parts_arrive<T>(
    reading: impl Future<Output = T>,
    progress: &ReadProgress,
    limit: Duration,
) -> Option<T> {
    let mut reading = std::pin::pin!(reading);
    loop {
        let parts = progress.parts();
        if let Ok(read) = timeout(limit, &mut reading).await {
            return Some(read);
        }
        if progress.parts() == parts {
            return None;
        }
    }
}

/// Waits until another daemon has a newer configuration, and it may be fetched.
async fn wait_for_newer_configuration(gateway: &Gateway, next_fetch_at: TimeMs) {
    gateway.fleet.wait_for_newer_configuration().await;
    let wait = next_fetch_at.since(gateway.clock.now());
    sleep(wait.as_std()).await;
}

/// Waits until the source answers a question; forever if there is none, or it fails.
async fn answered_question(
    question: &mut Option<JoinHandle<Result<TimeMs, SourceError>>>,
) -> TimeMs {
    if let Some(asked) = question {
        let result = asked.await;
        *question = None;
        if let Ok(Ok(asked_at)) = result {
            return asked_at;
        }
    }
    std::future::pending().await
}

/// Waits for the given time; forever if there is none.
async fn wait_for_slot(until_slot: Option<DurationMs>) {
    match until_slot {
        Some(until_slot) => sleep(until_slot.as_std()).await,
        None => std::future::pending().await,
    }
}
