//! What every part of the gateway shares, handed down instead of globals.

use crate::control::replica::Replica;
use crate::control::source::{ChangeAt, Changes, ControlSource, FullState, SourceRecord};
use crate::control::view::{Removal, View};
use crate::decisions::placement::Placement;
use crate::decisions::retry_budget::RetryBudgets;
use crate::endpoints::directory::Endpoint;
use crate::endpoints::idle_connections::resting_at_most;
use crate::header_names::HeaderNames;
use crate::metrics::GatewayMetrics;
use crate::replication::Downstreams;
use crate::replication::fleet::FleetSize;
use crate::replication::work::{Work, WorkBoard};
use crate::settings::GatewaySettings;
use bridgevane_types::{DurationMs, TimeMs};
use opentelemetry::metrics::Meter;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// How long a connection that is opened during a stop may rest.
const LATE_CONNECTION: Duration = Duration::from_millis(300);

/// A source that nothing was heard of for so long was away; records lapse in no shorter time.
const SOURCE_AWAY: DurationMs = DurationMs(2_500);
/// In so long records of endpoints that live are back once the source is.
const LAPSED_RECORDS_RETURN: DurationMs = DurationMs(2_500);

/// Whether new connections are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepting {
    /// They are.
    Open,
    /// A stop wants it to end.
    MustEnd,
    /// Nobody listens any more.
    Ended,
}

/// What records say, for those that say something.
fn read(source: &impl ControlSource, records: &[SourceRecord]) -> Vec<ChangeAt> {
    let read = |record: &SourceRecord| {
        let change = source.read(record)?;
        let revision = record.revision;
        Some(ChangeAt { revision, change })
    };
    records.iter().filter_map(read).collect()
}

/// The gateway's shared state.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: GatewaySettings,
    /// Header names.
    pub names: HeaderNames,
    /// What is believed.
    pub view: View,
    /// Where prompts were placed.
    pub placement: Placement,
    /// What is counted and timed.
    pub metrics: GatewayMetrics,
    /// What may be sent again.
    pub retry_budgets: RetryBudgets,
    pub(crate) in_progress: AtomicU32,
    pub(crate) open_connections: AtomicU32,
    /// Bytes of bodies held.
    pub buffered_bytes: AtomicU64,
    is_stopping: AtomicBool,
    closes_resting: AtomicBool,
    stopping: Notify,
    accepting: watch::Sender<Accepting>,
    replica: Mutex<Replica>,
    downstreams: Mutex<Downstreams>,
    fleet: Mutex<FleetSize>,
    work: Mutex<WorkBoard>,
    /// Counts what was taken in and proved.
    progress: watch::Sender<u64>,
    /// Until then records that went while the source was away may come back.
    source_back_until_ms: AtomicU64,
    started: Instant,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, names: HeaderNames, meter: &Meter) -> Arc<Self> {
        Arc::new(Self {
            retry_budgets: RetryBudgets::new(TimeMs(0), &settings),
            metrics: GatewayMetrics::new(meter),
            replica: Mutex::default(),
            downstreams: Mutex::new(Downstreams::new(settings.data_centre.clone())),
            fleet: Mutex::default(),
            work: Mutex::default(),
            progress: watch::Sender::new(0),
            source_back_until_ms: AtomicU64::new(0),
            settings,
            names,
            view: View::default(),
            placement: Placement::default(),
            in_progress: AtomicU32::new(0),
            open_connections: AtomicU32::new(0),
            buffered_bytes: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
            closes_resting: AtomicBool::new(false),
            stopping: Notify::new(),
            accepting: watch::Sender::new(Accepting::Open),
            started: Instant::now(),
        })
    }

    /// Now, as the pure parts see it.
    pub fn now(&self) -> TimeMs {
        self.at(Instant::now())
    }

    /// A moment, as the pure parts see it.
    pub fn at(&self, instant: Instant) -> TimeMs {
        TimeMs(instant.duration_since(self.started).as_millis() as u64)
    }

    /// The records of the control source.
    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().expect("no panic under this lock")
    }

    /// The daemons that follow this one.
    pub(crate) fn downstreams(&self) -> MutexGuard<'_, Downstreams> {
        self.downstreams.lock().expect("no panic under this lock")
    }

    /// How many daemons there are at most, as far as this one knows.
    pub(crate) fn fleet_size(&self) -> Option<u32> {
        self.lock_fleet().daemons()
    }

    fn lock_fleet(&self) -> MutexGuard<'_, FleetSize> {
        self.fleet.lock().expect("no panic under this lock")
    }

    /// How many of this daemon's connections may rest at an endpoint: it takes so many of all
    /// daemons together.
    pub(crate) fn resting_at_most(&self, endpoint: &Endpoint) -> usize {
        let table = self.view.table();
        let record = endpoint.record.load();
        let service = table
            .as_ref()
            .and_then(|table| table.service(&record.service));
        let taken = service.map_or(0, |service| service.max_connections);
        resting_at_most(taken, self.fleet_size().unwrap_or(1))
    }

    /// Notes how many daemons there are at most; they share one retry budget.
    pub(crate) fn note_fleet_size(&self, daemons: u32) {
        let mut fleet = self.lock_fleet();
        fleet.note(self.now(), daemons);
        if let Some(daemons) = fleet.daemons() {
            self.retry_budgets.share_among(daemons);
        }
    }

    /// Works out how many daemons there are, on one that others follow by the settings: the
    /// other seeds are taken to be followed by as many.
    pub(crate) fn count_fleet(&self) {
        let settings = &self.settings;
        let seeds = &settings.seed_addresses;
        if settings
            .peer_address
            .is_some_and(|own| seeds.contains(&own))
        {
            let followers = self.downstreams().tree_size(self.now());
            self.note_fleet_size(followers.saturating_mul(seeds.len() as u32));
        }
    }

    fn lock_work(&self) -> MutexGuard<'_, WorkBoard> {
        self.work.lock().expect("no panic under this lock")
    }

    /// What this daemon has under way at endpoints.
    pub(crate) fn own_work(&self) -> Work {
        let mut work = Work::default();
        for endpoint in self.view.directory().endpoints() {
            let tokens = endpoint.load.own_prefill_tokens();
            work.add(endpoint.hash, tokens);
        }
        work
    }

    /// What the daemons that follow this one, directly or not, have under way; it included.
    pub(crate) fn tree_work(&self) -> Work {
        let mut work = self.own_work();
        work.add_all(&self.downstreams().work(self.now()));
        work
    }

    /// What all daemons have under way, as far as this one knows.
    pub(crate) fn total_work(&self) -> Work {
        let tree = self.tree_work();
        self.lock_work().total(self.now(), &tree)
    }

    /// The upstream told what all daemons have under way.
    pub(crate) fn note_total_work(&self, total: Work, others: &Work) {
        self.lock_work().total_told(self.now(), total);
        self.note_others_work(others);
    }

    /// Another seed told what its tree has under way.
    pub(crate) fn note_seed_work(&self, seed: SocketAddr, work: Work) {
        self.lock_work().tree_told(self.now(), seed, work);
        self.count_others_work();
    }

    /// Works out what the others have under way, on a daemon that follows no other.
    pub(crate) fn count_others_work(&self) {
        let others = self.total_work().without(&self.own_work());
        self.note_others_work(&others);
    }

    fn note_others_work(&self, others: &Work) {
        let now = self.now();
        for endpoint in self.view.directory().endpoints() {
            endpoint.load.others_told(now, others.at(endpoint.hash));
        }
    }

    /// Tells when something was taken in or proved.
    pub(crate) fn progress(&self) -> watch::Receiver<u64> {
        self.progress.subscribe()
    }

    /// Takes in changes.
    pub fn apply(&self, source: &impl ControlSource, changes: Changes) {
        let new = self.replica().apply(changes);
        let removal = self.removal();
        self.view.apply(read(source, &new), removal);
        self.note_progress();
    }

    /// Takes in everything as it stands.
    pub fn replace(&self, source: &impl ControlSource, state: &FullState) {
        if self.replica().replace(state) {
            let removal = self.removal();
            self.view
                .replace(state.at, read(source, &state.records), removal);
        }
        self.note_progress();
    }

    /// What becomes of endpoints whose records are gone: where nothing was heard of the source
    /// for long, or was not until lately, their records may only have lapsed.
    fn removal(&self) -> Removal {
        let now = self.now();
        let unheard = self.view.proof_age(now);
        if unheard.is_some_and(|age| age >= SOURCE_AWAY) {
            let until = now + LAPSED_RECORDS_RETURN;
            self.source_back_until_ms.store(until.0, Ordering::Relaxed);
        }
        if now.0 < self.source_back_until_ms.load(Ordering::Relaxed) {
            return Removal::LapsesAt(now + self.settings.lapse_grace_ms);
        }
        Removal::AtOnce
    }

    /// Notes that what was taken in was the newest at `asked_at`.
    pub fn prove(&self, asked_at: TimeMs) {
        self.view.prove(asked_at);
        self.note_progress();
    }

    fn note_progress(&self) {
        self.progress.send_modify(|count| *count += 1);
    }

    /// Whether something proves that the configuration is fresh enough to act on.
    pub fn is_fresh(&self) -> bool {
        let age = self.view.proof_age(self.now());
        age.is_some_and(|age| age < self.settings.proof_lifetime_ms)
    }

    /// Whether the daemon wants new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_fresh() && self.view.table().is_some()
    }

    /// Requests that were read and not yet answered.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Connections of clients.
    pub fn open_connections(&self) -> u32 {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Whether the daemon was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins the stop: not ready, connections close after their answers.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Tells resting client connections to close.
    pub fn close_resting(&self) {
        self.closes_resting.store(true, Ordering::Relaxed);
        self.stopping.notify_waiters();
    }

    /// Ends accepting, and waits until nobody listens any more.
    pub async fn end_accepting(&self) {
        self.accepting.send_replace(Accepting::MustEnd);
        let mut accepting = self.accepting.subscribe();
        // The sender lives as long as this.
        let _ = accepting.wait_for(|state| *state == Accepting::Ended).await;
    }

    /// Waits until accepting must end.
    pub async fn accepting_must_end(&self) {
        let mut accepting = self.accepting.subscribe();
        let _ = accepting.wait_for(|state| *state != Accepting::Open).await;
    }

    /// Notes that nobody listens any more.
    pub fn accepting_has_ended(&self) {
        self.accepting.send_replace(Accepting::Ended);
    }

    /// Waits until resting connections shall close. One that is opened after that has a moment
    /// for its request.
    pub async fn resting_must_close(&self) {
        if self.closes_resting.load(Ordering::Relaxed) {
            return tokio::time::sleep(LATE_CONNECTION).await;
        }
        self.stopping.notified().await;
    }
}
