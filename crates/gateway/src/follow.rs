//! Following the control source: read everything once, then wait for changes.

use crate::gateway::Gateway;
use crate::source::{ControlSource, Revision, SourceError};
use bridgevane_events::{Event, event};
use bridgevane_types::DurationMs;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The pause after a first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// How long reading everything may take.
const RELOAD_LIMIT: Duration = Duration::from_millis(2_000);
/// What a wait for changes may take beyond its own time.
const WAIT_SLACK: Duration = Duration::from_millis(1_000);

/// How long changes gather before the next call.
const GATHER: Duration = Duration::from_millis(200);
/// Each endpoint makes a wait so much longer, up to twice the shortest.
const WAIT_PER_ENDPOINT_MS: u64 = 10;

/// Follows the source until the daemon ends.
pub async fn run<S: ControlSource>(gateway: Arc<Gateway>, source: S) {
    let mut follower = Follower {
        gateway,
        source,
        at: None,
        pause: FIRST_PAUSE,
        is_lost: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower<S> {
    gateway: Arc<Gateway>,
    source: S,
    /// Where the next wait for changes begins; none: the full state is needed.
    at: Option<Revision>,
    pause: Duration,
    is_lost: bool,
}

impl<S: ControlSource> Follower<S> {
    async fn step(&mut self) {
        let asked_at = self.gateway.now();
        let result = match self.at {
            None => self.reload().await,
            Some(at) => self.wait(at).await,
        };
        let outcome = result.map(|_| ());
        self.gateway.metrics.source_called(outcome);
        match result {
            Ok(at) => {
                self.at = Some(at);
                self.gateway.view.prove(asked_at);
                self.regained();
            }
            Err(error) => self.failed(error).await,
        }
    }

    async fn reload(&mut self) -> Result<Revision, SourceError> {
        let reading = timeout(RELOAD_LIMIT, self.source.full_state()).await;
        let state = reading.map_err(|_| SourceError::NoAnswer)??;
        let at = state.at;
        event!(
            Event::SourceReloaded,
            revision = at,
            records = state.records.len()
        );
        self.gateway.view.replace(state);
        Ok(at)
    }

    async fn wait(&mut self, at: Revision) -> Result<Revision, SourceError> {
        let wait = self.wait_time();
        let limit = wait.as_std() + WAIT_SLACK;
        let waiting = timeout(limit, self.source.changes(at, wait)).await;
        let changes = waiting.map_err(|_| SourceError::NoAnswer)??;
        let next = changes.at;
        let has_changes = !changes.changes.is_empty();
        self.gateway.view.apply(changes.changes);
        if has_changes {
            // Changes come in flocks: one call takes what another would each.
            tokio::time::sleep(GATHER).await;
        }
        Ok(next.max(at))
    }

    /// How long a wait lasts: where there are many endpoints there are many daemons, and the
    /// source bears only so many calls of all together.
    fn wait_time(&self) -> DurationMs {
        let shortest = self.gateway.settings.watch_wait_ms.0;
        let endpoints = self.gateway.view.endpoint_count() as u64;
        let longer = (endpoints * WAIT_PER_ENDPOINT_MS).min(shortest);
        DurationMs(shortest + longer)
    }

    fn regained(&mut self) {
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.is_lost) {
            event!(Event::SourceRegained);
        }
    }

    async fn failed(&mut self, error: SourceError) {
        let had_history = self.at.is_some();
        if error == SourceError::HistoryLost && had_history {
            self.at = None;
            return;
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            event!(Event::SourceLost, cause = error);
        }
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
