//! A simulated daemon's task that follows the store or another daemon, in place of
//! `replication::follow`: the product's rules choose the upstream, and its replica is filled.

use super::peers::{Answer, NoAnswer, Peer, PeerConnection, PeerNetwork};
use super::store::PlatformClient;
use bridgevane_gateway::decisions::replication::source_pacing::{SourceCaller, watch_wait};
use bridgevane_gateway::decisions::replication::upstream::{
    PeerReport, Upstream, UpstreamSelector,
};
use bridgevane_gateway::{
    Changes, ControlSource, FullState, Gateway, ReadProgress, ReplicaUpdate, Revision, SourceError,
};
use bridgevane_types::{DurationMs, TimeMs};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pauses and timeouts of `replication::follow`.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(400);
const RELOAD_TIMEOUT: Duration = Duration::from_millis(2_000);
const WAIT_SLACK: Duration = Duration::from_millis(1_000);
const ANSWER_SLACK: Duration = Duration::from_millis(600);
const CHANGE_BURST_DELAY: Duration = Duration::from_millis(200);
/// How long a seed's poll of the store waits for changes.
const WATCH_WAIT: DurationMs = DurationMs(500);

/// The task of one daemon.
pub struct TreeFollower {
    gateway: Arc<Gateway>,
    own: Arc<Peer>,
    network: PeerNetwork,
    source: PlatformClient,
    upstreams: UpstreamSelector,
    connection: PeerConnection,
    needs_full_state: bool,
    is_source_lost: bool,
    pause: Duration,
}

impl TreeFollower {
    pub fn new(
        gateway: Arc<Gateway>,
        own: Arc<Peer>,
        network: PeerNetwork,
        source: PlatformClient,
    ) -> Self {
        let upstreams = UpstreamSelector::new(
            gateway.clock.now(),
            own.data_centre.clone(),
            Some(own.address),
            &gateway.settings.seed_addresses,
            own.limits,
        );
        Self {
            gateway,
            own,
            network,
            source,
            upstreams,
            connection: PeerConnection::default(),
            needs_full_state: true,
            is_source_lost: false,
            pause: FIRST_PAUSE,
        }
    }

    /// Follows until the daemon ends.
    pub async fn run(mut self) {
        loop {
            self.step().await;
        }
    }

    fn now(&self) -> TimeMs {
        self.gateway.clock.now()
    }

    async fn step(&mut self) {
        let now = self.now();
        self.upstreams
            .on_proved(now, self.gateway.control.proved_at());
        if let Some((address, proved_at)) = self.own.take_fresher() {
            self.upstreams.on_fresher_daemon(now, address, proved_at);
        }
        match self.upstreams.select(now) {
            Upstream::Source => self.poll_source().await,
            Upstream::Peer(peer) => self.poll_peer(peer).await,
            Upstream::Probe(peer) => self.probe(peer).await,
        }
        let path = self.upstreams.path();
        self.own.set_path(path.clone());
        self.gateway.fleet.set_path(path);
        if self.upstreams.take_pause_request() {
            sleep(self.pause).await;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        } else {
            self.pause = FIRST_PAUSE;
        }
    }

    async fn poll_source(&mut self) {
        self.connection = PeerConnection::default();
        let asked_at = self.now();
        let own = self.own.clone();
        let result = tokio::select! {
            result = self.call_source() => result,
            () = own.wait_for_fresher() => Err(SourceError::NoAnswer),
        };
        let now = self.now();
        match result {
            Ok(()) => {
                self.needs_full_state = false;
                self.is_source_lost = false;
                self.gateway.control.store_proof(asked_at);
                self.upstreams.on_source_answered(now, asked_at);
                self.upstreams.on_fleet_size(self.network.len());
            }
            Err(SourceError::HistoryLost) if !self.needs_full_state => {
                self.needs_full_state = true;
            }
            Err(_) => {
                self.is_source_lost = true;
                self.upstreams.on_source_failed(now);
            }
        }
    }

    async fn call_source(&mut self) -> Result<(), SourceError> {
        if self.needs_full_state {
            self.reload().await
        } else {
            self.wait_for_changes().await
        }
    }

    async fn reload(&mut self) -> Result<(), SourceError> {
        let progress = ReadProgress::default();
        let reading = timeout(RELOAD_TIMEOUT, self.source.full_state(&progress)).await;
        let state = reading.map_err(|_| SourceError::NoAnswer)??;
        let is_applied = self.gateway.control.replace(&self.source, &state);
        is_applied.then_some(()).ok_or(SourceError::HistoryLost)
    }

    async fn wait_for_changes(&mut self) -> Result<(), SourceError> {
        let at = self.gateway.control.replica().revision();
        let seeds = &self.gateway.settings.seed_addresses;
        let is_seed = self.upstreams.is_seed();
        let seeds_before = if is_seed {
            self.network.seeds_before(seeds, self.own.address)
        } else {
            0
        };
        let caller = SourceCaller {
            is_seed,
            has_failed: self.is_source_lost,
            seeds_before,
        };
        let wait = watch_wait(WATCH_WAIT, caller);
        let slack = if wait == DurationMs(0) {
            ANSWER_SLACK
        } else {
            WAIT_SLACK
        };
        let waiting = timeout(wait.as_std() + slack, self.source.changes(at, wait)).await;
        let changes = waiting.map_err(|_| SourceError::NoAnswer)??;
        let has_changes = !changes.records.is_empty();
        self.gateway.control.apply(&self.source, changes);
        if has_changes && is_seed {
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
        let asked_at = self.now();
        let slot = self.upstreams.source_slot_at(asked_at);
        let until_slot = slot.map(|slot| slot.since(asked_at));
        let platform = &self.source.platform;
        let polling = self
            .network
            .poll(platform, &self.own, &mut self.connection, peer, after);
        let polled = tokio::select! {
            polled = polling => polled,
            () = self.own.wait_for_fresher() => return,
            () = wait_for_slot(until_slot) => return,
        };
        let Ok(answer) = polled else {
            return self.on_peer_failed(peer);
        };
        if self.upstreams.is_in_path(&answer.report.path) {
            let now = self.now();
            return self.upstreams.on_cycle(now, peer);
        }
        let report = self.with_proof_age(&answer);
        let Ok(()) = self.apply_answer(answer) else {
            return self.on_peer_failed(peer);
        };
        let now = self.now();
        self.upstreams.on_peer_answered(now, peer, &report);
    }

    fn apply_answer(&mut self, answer: Answer) -> Result<(), NoAnswer> {
        let (is_whole, changes) = match answer.update {
            ReplicaUpdate::Full(changes) => (true, changes),
            ReplicaUpdate::Changes(changes) => (false, changes),
        };
        let control = &self.gateway.control;
        let resolved = control.replica().resolve(changes);
        let Ok(records) = resolved else {
            self.needs_full_state = true;
            return Err(NoAnswer);
        };
        let revision = answer.at;
        if is_whole {
            control.replace(&self.source, &FullState { revision, records });
        } else {
            control.apply(&self.source, Changes { revision, records });
        }
        self.upstreams.on_fleet_size(self.network.len());
        if let Some(age) = answer.report.proof_age {
            self.needs_full_state = false;
            let proved_at = TimeMs(self.gateway.clock.now().0 - age.0);
            control.adopt_proof(answer.at, proved_at);
        }
        Ok(())
    }

    async fn probe(&mut self, peer: SocketAddr) {
        let platform = &self.source.platform;
        let probed = self.network.probe(platform, &self.own, peer).await;
        let Ok(answer) = probed else {
            return self.on_peer_failed(peer);
        };
        let report = self.with_proof_age(&answer);
        let now = self.now();
        self.upstreams.on_probed(now, peer, &report);
    }

    fn on_peer_failed(&mut self, peer: SocketAddr) {
        let now = self.now();
        self.upstreams.on_peer_failed(now, peer);
    }

    /// Returns the report without a proof from before the store came back from a copy.
    fn with_proof_age(&self, answer: &Answer) -> PeerReport {
        let own = self.gateway.control.replica().revision();
        PeerReport {
            proof_age: answer
                .report
                .proof_age
                .filter(|_| answer.at.era() >= own.era()),
            ..answer.report.clone()
        }
    }
}

/// Waits for the given time; forever if there is none.
async fn wait_for_slot(until_slot: Option<DurationMs>) {
    match until_slot {
        Some(until_slot) => sleep(until_slot.as_std()).await,
        None => std::future::pending().await,
    }
}
