//! Following the control source, by itself or by another daemon: read everything once, then
//! wait for changes.

use crate::control::replica::Update;
use crate::control::source::{Changes, ControlSource, FullState, Revision, SourceError};
use crate::gateway::Gateway;
use crate::replication::upstream::{Report, Upstream, UpstreamSelector};
use crate::replication::{PeerAnswer, PeerClient, PeerError, exchange_work};
use bridgevane_events::{Event, event};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The pause after a first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// How long reading everything may take at first. Where there is much of it and the VM is
/// slow it takes longer: each reading that was given up makes the next limit twice as long.
const FIRST_RELOAD_LIMIT: Duration = Duration::from_millis(2_000);
/// The longest that reading everything may take.
const MAX_RELOAD_LIMIT: Duration = Duration::from_millis(16_000);
/// What a wait for changes may take beyond its own time.
const WAIT_SLACK: Duration = Duration::from_millis(1_000);

/// How long changes gather before the next call.
const GATHER: Duration = Duration::from_millis(200);

/// Follows the source until the daemon ends.
pub async fn run<S: ControlSource>(gateway: Arc<Gateway>, source: S) {
    exchange_work(gateway.clone()).await;
    let settings = &gateway.settings;
    let upstreams = UpstreamSelector::new(
        gateway.now(),
        settings.data_centre.clone(),
        settings.peer_address,
        &settings.seed_addresses,
    );
    let mut follower = Follower {
        upstreams,
        gateway,
        source,
        peers: PeerClient::default(),
        followed: None,
        needs_everything: true,
        pause: FIRST_PAUSE,
        reload_limit: FIRST_RELOAD_LIMIT,
        is_source_lost: false,
        was_fresh: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower<S> {
    gateway: Arc<Gateway>,
    source: S,
    upstreams: UpstreamSelector,
    peers: PeerClient,
    /// The upstream of the step before.
    followed: Option<Upstream>,
    /// What is known can't be brought up to date by changes.
    needs_everything: bool,
    pause: Duration,
    reload_limit: Duration,
    is_source_lost: bool,
    was_fresh: bool,
}

impl<S: ControlSource> Follower<S> {
    async fn step(&mut self) {
        let upstream = self.upstreams.next(self.gateway.now());
        self.note_upstream(upstream);
        let is_well = match upstream {
            Upstream::Source => self.follow_source().await,
            Upstream::Peer(peer) => self.follow_peer(peer).await,
            Upstream::Locate(peer) => self.locate(peer).await,
        };
        self.gateway.view.expire(self.gateway.now());
        self.note_freshness();
        if is_well {
            self.pause = FIRST_PAUSE;
            return;
        }
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// One call of the source; false when it gave nothing.
    async fn follow_source(&mut self) -> bool {
        self.peers.close();
        let asked_at = self.gateway.now();
        let result = if self.needs_everything {
            self.reload().await
        } else {
            self.wait().await
        };
        self.gateway.metrics.source_called(result);
        match result {
            Ok(()) => {
                self.needs_everything = false;
                self.gateway.prove(asked_at);
                self.gateway.count_fleet();
                self.gateway.count_others_work();
                self.upstreams.source_answered();
                if std::mem::take(&mut self.is_source_lost) {
                    event!(Event::SourceRegained);
                }
                true
            }
            Err(SourceError::HistoryLost) if !self.needs_everything => {
                self.needs_everything = true;
                true
            }
            Err(error) => {
                self.upstreams.source_failed(self.gateway.now());
                if !std::mem::replace(&mut self.is_source_lost, true) {
                    event!(Event::SourceLost, cause = error);
                }
                false
            }
        }
    }

    async fn reload(&mut self) -> Result<(), SourceError> {
        let reading = timeout(self.reload_limit, self.source.full_state()).await;
        let Ok(state) = reading else {
            self.reload_limit = (self.reload_limit * 2).min(MAX_RELOAD_LIMIT);
            return Err(SourceError::NoAnswer);
        };
        let state = state?;
        self.reload_limit = FIRST_RELOAD_LIMIT;
        event!(
            Event::SourceReloaded,
            revision = state.at,
            records = state.records.len()
        );
        self.gateway.replace(&self.source, &state);
        Ok(())
    }

    async fn wait(&mut self) -> Result<(), SourceError> {
        let at = self.gateway.replica().at();
        let wait = self.gateway.settings.watch_wait_ms;
        let limit = wait.as_std() + WAIT_SLACK;
        let waiting = timeout(limit, self.source.changes(at, wait)).await;
        let changes = waiting.map_err(|_| SourceError::NoAnswer)??;
        let has_changes = !changes.records.is_empty();
        self.gateway.apply(&self.source, changes);
        if has_changes {
            // Changes come in flocks: one call takes what another would each.
            tokio::time::sleep(GATHER).await;
        }
        Ok(())
    }

    /// One question to another daemon; false when its answer is of no use.
    async fn follow_peer(&mut self, peer: SocketAddr) -> bool {
        let at = if self.needs_everything {
            Revision(0)
        } else {
            self.gateway.replica().at()
        };
        let asked = self.peers.ask(&self.gateway, peer, at).await;
        let taken = asked.and_then(|answer| self.take_in(answer));
        self.gateway.metrics.peer_asked(taken.as_ref().err());
        let now = self.gateway.now();
        match taken {
            Ok(report) => {
                self.upstreams.peer_answered(now, peer, &report);
                report.proof_age.is_some() || report.redirect.is_some()
            }
            Err(error) => self.lost_peer(peer, error),
        }
    }

    /// Asks a seed where it is; false when it doesn't answer.
    async fn locate(&mut self, peer: SocketAddr) -> bool {
        match self.peers.ask_work(peer).await {
            Ok(located) => {
                self.upstreams.located(peer, located.data_centre);
                true
            }
            Err(error) => self.lost_peer(peer, error),
        }
    }

    fn lost_peer(&mut self, peer: SocketAddr, error: PeerError) -> bool {
        self.upstreams.peer_failed(self.gateway.now(), peer);
        event!(Event::PeerLost, peer = peer, cause = error);
        false
    }

    /// Takes in an answer, and notes what it proves.
    fn take_in(&mut self, answer: PeerAnswer) -> Result<Report, PeerError> {
        let report = Report {
            proof_age: answer.proof_age(self.gateway.now()),
            data_centre: answer.data_centre,
            redirect: answer.redirect,
        };
        let (is_whole, changes) = match answer.update {
            Update::Everything(changes) => (true, changes),
            Update::Changes(changes) => (false, changes),
        };
        let resolved = self.gateway.replica().resolve(changes);
        self.needs_everything |= resolved.is_err();
        let records = resolved.map_err(|_| PeerError::Unreadable)?;
        let at = answer.at;
        if is_whole {
            let state = FullState { at, records };
            self.gateway.replace(&self.source, &state);
        } else {
            let changes = Changes { at, records };
            self.gateway.apply(&self.source, changes);
        }
        self.gateway.note_fleet_size(answer.fleet_size);
        self.gateway
            .note_total_work(answer.total_work, &answer.others_work);
        if let Some(proved_at) = answer.proved_at {
            self.needs_everything = false;
            self.gateway.prove(proved_at);
        }
        Ok(report)
    }

    fn note_upstream(&mut self, upstream: Upstream) {
        if self.followed == Some(upstream) {
            return;
        }
        self.followed = Some(upstream);
        let age = self.gateway.view.proof_age(self.gateway.now());
        event!(
            Event::UpstreamChanged,
            upstream = upstream,
            proof_age_ms = age.map_or(-1, |age| age.0 as i64),
            revision = self.gateway.replica().at()
        );
    }

    fn note_freshness(&mut self) {
        let is_fresh = self.gateway.is_fresh();
        if std::mem::replace(&mut self.was_fresh, is_fresh) == is_fresh {
            return;
        }
        let event = if is_fresh {
            Event::FreshnessRegained
        } else {
            Event::FreshnessLost
        };
        let age = self.gateway.view.proof_age(self.gateway.now());
        event!(event, proof_age_ms = age.map_or(-1, |age| age.0 as i64));
    }
}
