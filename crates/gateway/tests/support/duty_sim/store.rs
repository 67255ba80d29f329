//! The store and the platform's interface, as each daemon reaches them.

use bridgevane_gateway::decisions::duties::duty_state::WindowUsage;
use bridgevane_gateway::decisions::duties::engine_orders::{EngineOrder, OrderOutcome};
use bridgevane_gateway::decisions::duties::engine_plan::EngineScaling;
use bridgevane_gateway::{
    Change, Changes, ClientLimits, ControlSource, Credentials, DutyCallError, DutyKey,
    DutyPlatform, DutyStore, EndpointRecord, FullState, HolderRecord, LeaseId, LeaseRenewal,
    ReadProgress, Revision, RoutingParts, RoutingTable, Service, SourceError, SourceRecord,
    StoredValue, Transaction, TransactionOutcome,
};
use bridgevane_types::{Bytes as Size, ConfigVersion, DurationMs, ServiceName};
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a call takes.
const CALL: Duration = Duration::from_millis(8);
/// The holder's key in the simulated store.
const HOLDER: &str = "holder";
/// The configuration's key.
const CONFIG: &str = "config";
/// The engine's key.
const ENGINE: &str = "engine";

/// A duty's call, as the platform took it.
#[derive(Clone, Debug)]
pub struct Taken {
    pub at: Instant,
    pub vm: String,
    pub fence: u64,
    /// The usage that was told; none: engines were ordered.
    pub usage: Option<WindowUsage>,
}

/// What becomes of one daemon's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Calls of the store go unanswered, and aren't done.
    pub store_cut: bool,
    /// Calls of the store are done, some time later, and not answered.
    pub answers_lost: Option<Duration>,
    /// Calls of the platform go unanswered, and aren't done.
    pub platform_cut: bool,
}

impl Link {
    /// Of a VM that is suspended.
    pub fn suspended() -> Self {
        Self {
            store_cut: true,
            platform_cut: true,
            answers_lost: None,
        }
    }
}

#[derive(Default)]
struct State {
    /// From 1 on: the configuration and the engine are there.
    revision: u64,
    items: HashMap<&'static str, StoredValue>,
    leases: HashMap<u64, Instant>,
    next_lease: u64,
    /// Changes of the holder's key, as the control source has them.
    log: Vec<SourceRecord>,
    is_silent: bool,
    links: HashMap<String, Link>,
    taken: Vec<Taken>,
}

/// The simulated platform; clones share it.
#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

fn name(key: DutyKey) -> &'static str {
    match key {
        DutyKey::Holder => HOLDER,
        DutyKey::State => "state",
    }
}

impl State {
    fn write(&mut self, key: &'static str, value: Bytes, lease: Option<LeaseId>) {
        let revision = Revision(self.revision);
        if key == HOLDER {
            self.log.push(SourceRecord {
                key: HOLDER.to_owned(),
                revision,
                value: Some(value.clone()),
            });
        }
        let stored = StoredValue {
            revision,
            value,
            lease,
        };
        self.items.insert(key, stored);
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let is_under = |stored: &StoredValue| stored.lease == Some(LeaseId(lease));
        if self.items.get(HOLDER).is_some_and(is_under) {
            self.items.remove(HOLDER);
            self.revision += 1;
            self.log.push(SourceRecord {
                key: HOLDER.to_owned(),
                revision: Revision(self.revision),
                value: None,
            });
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let is_met = |(key, expected): &(DutyKey, Revision)| {
            let found = self.items.get(name(*key));
            found.map_or(Revision(0), |found| found.revision) == *expected
        };
        if !transaction.expected.iter().all(is_met) {
            return TransactionOutcome::Conflict;
        }
        let leases = transaction.puts.iter().filter_map(|put| put.lease);
        if leases
            .into_iter()
            .any(|lease| !self.leases.contains_key(&lease.0))
        {
            return TransactionOutcome::NoLease;
        }
        self.revision += 1;
        for put in &transaction.puts {
            self.write(name(put.key), put.value.clone(), put.lease);
        }
        TransactionOutcome::Done(Revision(self.revision))
    }
}

impl World {
    pub fn new() -> Self {
        let world = Self {
            state: Arc::new(Mutex::new(State {
                revision: 1,
                ..State::default()
            })),
            changed: Arc::new(watch::Sender::new(0)),
        };
        tokio::spawn(world.clone().expire_leases());
        world
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn on_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Leases run out at their time, also while the store is silent.
    async fn expire_leases(self) {
        loop {
            sleep(Duration::from_millis(10)).await;
            let now = Instant::now();
            let mut state = self.lock();
            let leases = state.leases.iter();
            let over = leases.filter(|(_, ends_at)| **ends_at <= now);
            let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
            for lease in &over {
                state.end_lease(*lease);
            }
            drop(state);
            if !over.is_empty() {
                self.on_changed();
            }
        }
    }

    /// Every lease runs out now, whatever its holder believes.
    pub fn end_all_leases(&self) {
        let mut state = self.lock();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.on_changed();
    }

    /// Whether the store answers nobody.
    pub fn silence(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.on_changed();
    }

    pub fn link(&self, vm: &str, link: Link) {
        self.lock().links.insert(vm.to_owned(), link);
        self.on_changed();
    }

    /// Every call that the platform took, in order.
    pub fn taken(&self) -> Vec<Taken> {
        self.lock().taken.clone()
    }

    /// The VM that holds the duties, as the store has it.
    pub fn holder(&self) -> Option<String> {
        let state = self.lock();
        let stored = state.items.get(HOLDER)?;
        let holder = HolderRecord::decode(&stored.value).unwrap();
        Some(holder.daemon.vm.to_string())
    }
}

/// One daemon's way to the platform.
#[derive(Clone)]
pub struct Way {
    pub world: World,
    pub vm: String,
}

impl Way {
    fn link(&self) -> Link {
        let state = self.world.lock();
        state.links.get(&self.vm).copied().unwrap_or_default()
    }

    /// A call of the store: done now and answered, done later and not answered, or neither.
    async fn call<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Result<T, SourceError> {
        sleep(CALL / 2).await;
        let link = self.link();
        if link.store_cut || self.world.lock().is_silent {
            return std::future::pending().await;
        }
        if let Some(later) = link.answers_lost {
            let world = self.world.clone();
            // Goes on when the caller gives up, or is killed.
            tokio::spawn(async move {
                sleep(later).await;
                work(&mut world.lock());
                world.on_changed();
            });
            return std::future::pending().await;
        }
        let done = work(&mut self.world.lock());
        self.world.on_changed();
        sleep(CALL / 2).await;
        Ok(done)
    }
}

impl DutyStore for Way {
    async fn grant_lease(&self, lease_ms: DurationMs) -> Result<LeaseId, SourceError> {
        self.call(move |state| {
            state.next_lease += 1;
            let lease = state.next_lease;
            state
                .leases
                .insert(lease, Instant::now() + lease_ms.as_std());
            LeaseId(lease)
        })
        .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<LeaseRenewal, SourceError> {
        self.call(move |state| match state.leases.get_mut(&lease.0) {
            Some(ends_at) => {
                *ends_at = Instant::now() + super::LEASE;
                LeaseRenewal::Renewed
            }
            None => LeaseRenewal::Gone,
        })
        .await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), SourceError> {
        self.call(move |state| state.end_lease(lease.0)).await
    }

    async fn read(&self, key: DutyKey) -> Result<Option<StoredValue>, SourceError> {
        self.call(move |state| state.items.get(name(key)).cloned())
            .await
    }

    async fn write(&self, transaction: &Transaction) -> Result<TransactionOutcome, SourceError> {
        let transaction = transaction.clone();
        self.call(move |state| state.transact(&transaction)).await
    }
}

impl Way {
    /// A call of the platform.
    async fn take(&self, credentials: &Credentials, usage: Option<WindowUsage>) {
        sleep(CALL / 2).await;
        if self.link().platform_cut {
            return std::future::pending().await;
        }
        self.world.lock().taken.push(Taken {
            at: Instant::now(),
            vm: self.vm.clone(),
            fence: credentials.fence.0,
            usage,
        });
        sleep(CALL / 2).await;
    }
}

impl DutyPlatform for Way {
    async fn tell_usage(
        &self,
        credentials: &Credentials,
        usage: &WindowUsage,
    ) -> Result<(), DutyCallError> {
        self.take(credentials, Some(usage.clone())).await;
        Ok(())
    }

    /// There are never any, so that the holder asks again and again.
    async fn order_engines(
        &self,
        credentials: &Credentials,
        _service: &ServiceName,
        _order: &EngineOrder,
    ) -> Result<OrderOutcome, DutyCallError> {
        self.take(credentials, None).await;
        Ok(OrderOutcome::Unavailable)
    }
}

/// The configuration: one service whose engines may be ordered.
fn table() -> RoutingTable {
    let scaling = EngineScaling {
        min: 1,
        max: 40,
        boot_ms: DurationMs(4_000),
        reclaimable_price: Some(0.15),
        ..EngineScaling::default()
    };
    RoutingTable::new(RoutingParts {
        version: ConfigVersion(1),
        routes: Vec::new(),
        services: vec![Service {
            name: "model".into(),
            max_connections: 100,
            cold: None,
            scaling: Some(scaling),
        }],
        customers: None,
        limits: ClientLimits {
            head_bytes: Size(16_384),
            body_bytes: Size(100_000),
            idle_timeout_ms: DurationMs(5_000),
        },
    })
}

/// Its only engine.
fn engine() -> EndpointRecord {
    EndpointRecord {
        born: None,
        sequence: None,
        id: "e-1".into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: 64,
        is_draining: false,
        is_reclaimable: false,
        cold_remaining_ms: DurationMs(0),
    }
}

/// A record that is there from the beginning.
fn first_record(key: &str) -> SourceRecord {
    SourceRecord {
        key: key.to_owned(),
        revision: Revision(1),
        value: Some(Bytes::from_static(b"-")),
    }
}

impl ControlSource for Way {
    async fn full_state(&self, _progress: &ReadProgress) -> Result<FullState, SourceError> {
        self.call(|state| FullState {
            at: Revision(state.revision),
            records: state
                .log
                .last()
                .cloned()
                .into_iter()
                .filter(|record| record.value.is_some())
                .chain([first_record(CONFIG), first_record(ENGINE)])
                .collect(),
        })
        .await
    }

    async fn changes(&self, after: Revision, wait: DurationMs) -> Result<Changes, SourceError> {
        let mut changed = self.world.changed.subscribe();
        let until = Instant::now() + wait.as_std();
        loop {
            let found = self
                .call(move |state| {
                    let log = state.log.iter();
                    let newer = log.filter(|record| record.revision > after);
                    Changes {
                        at: Revision(state.revision),
                        records: newer.cloned().collect(),
                    }
                })
                .await?;
            if !found.records.is_empty() || Instant::now() >= until {
                return Ok(found);
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(until) => {}
            }
        }
    }

    fn decode(&self, record: &SourceRecord) -> Option<Change> {
        match record.key.as_str() {
            CONFIG => return Some(Change::Routing(Arc::new(table()))),
            ENGINE => return Some(Change::Endpoint(engine())),
            _ => {}
        }
        Some(match &record.value {
            Some(value) => Change::DutyHolder(HolderRecord::decode(value).ok()?),
            None => Change::DutyHolderGone,
        })
    }
}
