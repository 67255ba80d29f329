//! The store and the platform's interface, as each daemon reaches them.

use bridgevane_gateway::decisions::duties::duty_state::WindowUsage;
use bridgevane_gateway::decisions::duties::engine_orders::{EngineOrder, OrderOutcome};
use bridgevane_gateway::decisions::duties::engine_plan::EngineScaling;
use bridgevane_gateway::{
    Change, Changes, ClientLimits, ControlSource, Credentials, DutyCallError, DutyKey,
    DutyPlatform, DutyStore, EndpointRecord, FullState, Gateway, HolderRecord, LeaseId,
    LeaseRenewal, ReadProgress, Revision, RoutingParts, RoutingTable, Service, SourceEra,
    SourceError, SourceRecord, StoredValue, Transaction, TransactionOutcome,
};
use bridgevane_types::{Bytes as Size, ConfigVersion, DurationMs, ServiceName, WallTimeMs};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a call takes.
const CALL_DURATION: Duration = Duration::from_millis(8);
/// The time of day at the platform's start, in the middle of a usage window.
const START: WallTimeMs = WallTimeMs(1_800_000_002_500);
/// The holder's key in the simulated store.
pub(super) const HOLDER: &str = "holder";
/// The configuration's key.
const CONFIG: &str = "config";
/// The engine's key.
const ENGINE: &str = "engine";

/// A duty's call that the platform accepted.
#[derive(Clone, Debug)]
pub struct AcceptedCall {
    pub at: Instant,
    pub vm: String,
    pub fence: u64,
    /// The submitted usage; `None` for an order of engines.
    pub usage: Option<WindowUsage>,
}

/// The faults of one daemon's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Calls of the store get no response and have no effect.
    pub store_cut: bool,
    /// Calls of the store take effect after this delay, but get no response.
    pub answers_lost: Option<Duration>,
    /// Calls of the platform get no response and have no effect.
    pub platform_cut: bool,
    /// Calls that follow the control records get no response: the daemon's replica doesn't change.
    pub source_cut: bool,
    /// The daemon neither sends nor receives reports of usage.
    pub reports_cut: bool,
    /// The duties' calls of the store get no response and have no effect; the daemon's replica
    /// changes, since it follows another daemon.
    pub leases_cut: bool,
    /// Calls of the platform take effect after this delay, unless the caller gives up before.
    pub platform_late: Option<Duration>,
    /// Calls of the platform take effect, but get no response.
    pub platform_answers_lost: bool,
    /// The daemon's reports of usage arrive, but get no response.
    pub report_answers_lost: bool,
}

impl LinkFaults {
    /// Returns the faults of a suspended VM.
    pub fn suspended() -> Self {
        Self {
            store_cut: true,
            platform_cut: true,
            ..Self::default()
        }
    }
}

/// A value in the store.
#[derive(Clone)]
struct Item {
    /// The counter of the change that wrote it.
    counter: u64,
    value: Bytes,
    lease: Option<u64>,
}

/// A change of the holder's key or of an engine; no value: the key was removed.
#[derive(Clone)]
struct RecordChange {
    key: String,
    counter: u64,
    value: Option<Bytes>,
}

/// What the store had at one moment, from which it can come back.
#[derive(Clone)]
pub struct StoreCopy {
    counter: u64,
    items: HashMap<&'static str, Item>,
    next_lease: u64,
    engines: Vec<u64>,
}

#[derive(Default)]
struct State {
    /// Rises each time the store comes back from a copy.
    era: u32,
    /// Starts at 1: the configuration and the engine exist.
    counter: u64,
    /// The oldest counter from which changes are known.
    known_from: u64,
    items: HashMap<&'static str, Item>,
    leases: HashMap<u64, Instant>,
    next_lease: u64,
    /// The counters of the changes that added engines, besides the first one.
    engines: Vec<u64>,
    record_changes: Vec<RecordChange>,
    is_silent: bool,
    link_faults: HashMap<String, LinkFaults>,
    accepted_calls: Vec<AcceptedCall>,
    /// How long a daemon's VM freezes when it next calls the platform.
    freezes_at_call: HashMap<String, Duration>,
    /// The running daemons, by VM.
    gateways: HashMap<String, Weak<Gateway>>,
}

/// The simulated platform; clones share its state.
#[derive(Clone)]
pub struct SimulatedPlatform {
    started: Instant,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

fn store_key(key: DutyKey) -> &'static str {
    match key {
        DutyKey::Holder => HOLDER,
        DutyKey::State => "state",
    }
}

impl State {
    /// Returns the revision of a change of the current era.
    fn revision(&self, counter: u64) -> Revision {
        Revision::new(SourceEra(self.era), counter)
    }

    fn lease_id(&self, number: u64) -> LeaseId {
        LeaseId {
            era: SourceEra(self.era),
            number,
        }
    }

    fn stored(&self, item: &Item) -> StoredValue {
        StoredValue {
            revision: self.revision(item.counter),
            value: item.value.clone(),
            lease: item.lease.map(|number| self.lease_id(number)),
        }
    }

    fn source_record(&self, change: &RecordChange) -> SourceRecord {
        SourceRecord {
            key: change.key.clone(),
            revision: self.revision(change.counter),
            value: change.value.clone(),
        }
    }

    fn write(&mut self, key: &'static str, value: Bytes, lease: Option<u64>) {
        let counter = self.counter;
        if key == HOLDER {
            self.record_changes.push(RecordChange {
                key: HOLDER.to_owned(),
                counter,
                value: Some(value.clone()),
            });
        }
        let item = Item {
            counter,
            value,
            lease,
        };
        self.items.insert(key, item);
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let is_attached = |item: &Item| item.lease == Some(lease);
        if self.items.get(HOLDER).is_some_and(is_attached) {
            self.items.remove(HOLDER);
            self.counter += 1;
            self.record_changes.push(RecordChange {
                key: HOLDER.to_owned(),
                counter: self.counter,
                value: None,
            });
        }
    }

    /// Applies a transaction as the store does, which knows counters and numbers alone; the adapter
    /// compares the eras.
    fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.apply(transaction);
        match transaction.era() {
            Some(era) if era != SourceEra(self.era) => TransactionOutcome::StoreRestored,
            _ => outcome,
        }
    }

    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let is_met = |(key, expected): &(DutyKey, Revision)| {
            let found = self.items.get(store_key(*key));
            found.map_or(0, |found| found.counter) == expected.counter()
        };
        if !transaction.expected.iter().all(is_met) {
            return TransactionOutcome::Conflict;
        }
        let leases = transaction.puts.iter().filter_map(|put| put.lease);
        if leases
            .into_iter()
            .any(|lease| !self.leases.contains_key(&lease.number))
        {
            return TransactionOutcome::LeaseEnded;
        }
        self.counter += 1;
        for put in &transaction.puts {
            let lease = put.lease.map(|lease| lease.number);
            self.write(store_key(put.key), put.value.clone(), lease);
        }
        TransactionOutcome::Done(self.revision(self.counter))
    }

    /// Takes the place of the store with a copy: what was written since is gone, leases too, and
    /// revisions and lease ids are given out again.
    fn restore(&mut self, copy: &StoreCopy) {
        self.era += 1;
        self.counter = copy.counter;
        self.known_from = copy.counter;
        self.items = copy.items.clone();
        self.items.retain(|_, item| item.lease.is_none());
        self.leases.clear();
        self.next_lease = copy.next_lease;
        self.engines = copy.engines.clone();
        self.record_changes.clear();
    }
}

impl SimulatedPlatform {
    pub fn new() -> Self {
        let platform = Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(State {
                counter: 1,
                ..State::default()
            })),
            changed: Arc::new(watch::Sender::new(0)),
        };
        tokio::spawn(platform.clone().expire_leases());
        platform
    }

    /// Returns the true time of day.
    pub fn time_of_day(&self) -> WallTimeMs {
        START + DurationMs(self.started.elapsed().as_millis() as u64)
    }

    /// Returns the number of the current usage window.
    pub fn window_now(&self) -> u64 {
        self.time_of_day().0 / super::WINDOW.as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Executes a call; wakes those that wait for changes if there were any.
    fn execute<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let before = state.counter;
        let done = work(&mut state);
        let has_changed = state.counter != before;
        drop(state);
        if has_changed {
            self.on_changed();
        }
        done
    }

    fn on_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Ends leases at their time, also while the store is silent.
    async fn expire_leases(self) {
        loop {
            sleep(Duration::from_millis(10)).await;
            let now = Instant::now();
            let mut state = self.lock();
            let leases = state.leases.iter();
            let expired = leases.filter(|(_, ends_at)| **ends_at <= now);
            let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
            for lease in &expired {
                state.end_lease(*lease);
            }
            drop(state);
            if !expired.is_empty() {
                self.on_changed();
            }
        }
    }

    /// Ends every lease now, without a notice to its holder.
    pub fn expire_all_leases(&self) {
        let mut state = self.lock();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.on_changed();
    }

    /// Adds an engine, so that the holder stores another need of engines.
    pub fn add_engine(&self) {
        self.execute(|state| {
            state.counter += 1;
            let counter = state.counter;
            state.engines.push(counter);
            state.record_changes.push(RecordChange {
                key: engine_key(counter),
                counter,
                value: Some(Bytes::from_static(b"-")),
            });
        });
    }

    /// Freezes a daemon's VM when it next calls the platform, right before the call is sent: it is
    /// sent when the VM resumes.
    pub fn freeze_at_next_call(&self, vm: &str, time: Duration) {
        self.lock().freezes_at_call.insert(vm.to_owned(), time);
    }

    /// Makes a copy from which the store can come back.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            counter: state.counter,
            items: state.items.clone(),
            next_lease: state.next_lease,
            engines: state.engines.clone(),
        }
    }

    /// Brings the store back from a copy.
    pub fn come_back_from(&self, copy: &StoreCopy) {
        self.lock().restore(copy);
        self.on_changed();
    }

    /// Registers a daemon, so that others can report their usage to it.
    pub fn register(&self, vm: &str, gateway: &Arc<Gateway>) {
        let gateway = Arc::downgrade(gateway);
        self.lock().gateways.insert(vm.to_owned(), gateway);
    }

    /// Forgets a killed daemon, which other daemons can't reach any more.
    pub fn unregister(&self, vm: &str) {
        self.lock().gateways.remove(vm);
    }

    /// Returns whether a daemon's VM is suspended.
    pub fn is_suspended(&self, vm: &str) -> bool {
        self.lock().link_faults.get(vm) == Some(&LinkFaults::suspended())
    }

    /// Returns whether a daemon neither sends nor receives reports of usage.
    fn are_reports_cut(&self, vm: &str) -> bool {
        let state = self.lock();
        let faults = state.link_faults.get(vm);
        faults.is_some_and(|faults| faults.reports_cut)
    }

    /// Returns whether a daemon's reports of usage get no response.
    pub fn are_report_answers_lost(&self, vm: &str) -> bool {
        let state = self.lock();
        let faults = state.link_faults.get(vm);
        faults.is_some_and(|faults| faults.report_answers_lost)
    }

    /// Returns the running daemon on a VM, if another daemon reaches it.
    pub fn gateway_for(&self, vm: &str, to: &str) -> Option<Arc<Gateway>> {
        let is_cut_off = |vm: &str| self.is_suspended(vm) || self.are_reports_cut(vm);
        if vm == to || is_cut_off(vm) || is_cut_off(to) {
            return None;
        }
        self.lock().gateways.get(to)?.upgrade()
    }

    /// Sets whether the store answers no daemon.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.on_changed();
    }

    pub fn set_faults(&self, vm: &str, faults: LinkFaults) {
        self.lock().link_faults.insert(vm.to_owned(), faults);
        self.on_changed();
    }

    fn accept(&self, call: AcceptedCall) {
        let at = Instant::now();
        self.lock().accepted_calls.push(AcceptedCall { at, ..call });
    }

    /// Returns every call that the platform accepted, in order.
    pub fn accepted_calls(&self) -> Vec<AcceptedCall> {
        self.lock().accepted_calls.clone()
    }

    /// Returns the submissions that the platform accepted, in order.
    pub fn accepted_usage(&self) -> Vec<AcceptedCall> {
        let state = self.lock();
        let calls = state.accepted_calls.iter();
        calls.filter(|call| call.usage.is_some()).cloned().collect()
    }

    /// Returns when each window was first submitted, by the true time of day in milliseconds.
    pub fn first_submissions(&self) -> BTreeMap<u64, u64> {
        let mut submitted = BTreeMap::new();
        for call in &self.lock().accepted_calls {
            if let Some(usage) = &call.usage {
                let at = START + DurationMs((call.at - self.started).as_millis() as u64);
                submitted.entry(usage.window.0).or_insert(at.0);
            }
        }
        submitted
    }

    /// Returns the VM that holds the duties, according to the store.
    pub fn holder(&self) -> Option<String> {
        let state = self.lock();
        let stored = state.items.get(HOLDER)?;
        let holder = HolderRecord::decode(&stored.value).unwrap();
        Some(holder.daemon.vm.to_string())
    }
}

/// One daemon's connections to the platform.
#[derive(Clone)]
pub struct PlatformClient {
    pub platform: SimulatedPlatform,
    pub vm: String,
}

impl PlatformClient {
    fn faults(&self) -> LinkFaults {
        let state = self.platform.lock();
        state.link_faults.get(&self.vm).copied().unwrap_or_default()
    }

    /// Calls the store: executed now and answered, executed later and not answered, or neither.
    async fn call<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Result<T, SourceError> {
        sleep(CALL_DURATION / 2).await;
        let faults = self.faults();
        if faults.store_cut || self.platform.lock().is_silent {
            return std::future::pending().await;
        }
        if let Some(delay) = faults.answers_lost {
            let platform = self.platform.clone();
            // The call is executed even if the caller gives up or is killed.
            tokio::spawn(async move {
                sleep(delay).await;
                platform.execute(work);
            });
            return std::future::pending().await;
        }
        let done = self.platform.execute(work);
        sleep(CALL_DURATION / 2).await;
        Ok(done)
    }
}

impl PlatformClient {
    /// Calls the store as the task does that follows its records.
    async fn call_source<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Result<T, SourceError> {
        if self.faults().source_cut {
            return std::future::pending().await;
        }
        self.call(work).await
    }
}

impl PlatformClient {
    /// Calls the store for the duties.
    async fn call_leases<T: Send + 'static>(
        &self,
        work: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Result<T, SourceError> {
        if self.faults().leases_cut {
            return std::future::pending().await;
        }
        self.call(work).await
    }
}

impl DutyStore for PlatformClient {
    async fn grant_lease(&self, lease_ms: DurationMs) -> Result<LeaseId, SourceError> {
        self.call_leases(move |state| {
            state.next_lease += 1;
            let lease = state.lease_id(state.next_lease);
            let ends_at = Instant::now() + lease_ms.as_std();
            state.leases.insert(lease.number, ends_at);
            lease
        })
        .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<LeaseRenewal, SourceError> {
        self.call_leases(move |state| {
            let known = state.leases.get_mut(&lease.number);
            let is_known = known.is_some();
            if let Some(ends_at) = known {
                *ends_at = Instant::now() + super::LEASE;
            }
            match (lease.era == SourceEra(state.era), is_known) {
                (false, _) => LeaseRenewal::StoreRestored,
                (true, true) => LeaseRenewal::Renewed,
                (true, false) => LeaseRenewal::Ended,
            }
        })
        .await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), SourceError> {
        self.call_leases(move |state| state.end_lease(lease.number))
            .await
    }

    async fn read(&self, key: DutyKey) -> Result<Option<StoredValue>, SourceError> {
        self.call_leases(move |state| {
            let item = state.items.get(store_key(key));
            item.map(|item| state.stored(item))
        })
        .await
    }

    async fn write(&self, transaction: &Transaction) -> Result<TransactionOutcome, SourceError> {
        let transaction = transaction.clone();
        self.call_leases(move |state| state.transact(&transaction))
            .await
    }
}

impl PlatformClient {
    /// Calls the platform.
    async fn accept(&self, credentials: &Credentials, usage: Option<WindowUsage>) {
        let call = AcceptedCall {
            at: Instant::now(),
            vm: self.vm.clone(),
            fence: credentials.fence.0,
            usage,
        };
        let freeze = self.platform.lock().freezes_at_call.remove(&self.vm);
        if let Some(freeze) = freeze {
            // The daemon's own timers end the call only after the VM has resumed and sent it.
            tokio::spawn(self.clone().send_after_freeze(call, freeze));
            return std::future::pending().await;
        }
        sleep(CALL_DURATION / 2).await;
        let faults = self.faults();
        if faults.platform_cut {
            return std::future::pending().await;
        }
        if let Some(delay) = faults.platform_late {
            sleep(delay).await;
        }
        self.platform.accept(call);
        if faults.platform_answers_lost {
            return std::future::pending().await;
        }
        sleep(CALL_DURATION / 2).await;
    }

    async fn send_after_freeze(self, call: AcceptedCall, freeze: Duration) {
        self.platform.set_faults(&self.vm, LinkFaults::suspended());
        sleep(freeze).await;
        self.platform.set_faults(&self.vm, LinkFaults::default());
        self.platform.accept(call);
    }
}

impl DutyPlatform for PlatformClient {
    async fn submit_usage(
        &self,
        credentials: &Credentials,
        usage: &WindowUsage,
    ) -> Result<(), DutyCallError> {
        self.accept(credentials, Some(usage.clone())).await;
        Ok(())
    }

    /// Answers that no engines are available, so that the holder orders repeatedly.
    async fn order_engines(
        &self,
        credentials: &Credentials,
        _service: &ServiceName,
        _order: &EngineOrder,
    ) -> Result<OrderOutcome, DutyCallError> {
        self.accept(credentials, None).await;
        Ok(OrderOutcome::Unavailable)
    }
}

/// Returns the configuration: one service whose engines may be ordered.
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
            engine: None,
        }],
        customers: None,
        limits: ClientLimits {
            head_bytes: Size(16_384),
            body_bytes: Size(100_000),
            head_timeout_ms: DurationMs(3_000),
            idle_timeout_ms: DurationMs(5_000),
        },
    })
}

/// Returns an engine of the service.
fn engine(id: &str) -> EndpointRecord {
    EndpointRecord {
        started_at: None,
        sequence: None,
        id: id.into(),
        service: "model".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc-1".into(),
        version: None,
        slots: 64,
        is_draining: false,
        is_reclaimable: false,
        cold_remaining_ms: DurationMs(0),
    }
}

fn engine_key(counter: u64) -> String {
    format!("{ENGINE}-{counter}")
}

/// Returns a record with an empty value.
fn first_record(key: &str, revision: Revision) -> SourceRecord {
    SourceRecord {
        key: key.to_owned(),
        revision,
        value: Some(Bytes::from_static(b"-")),
    }
}

impl ControlSource for PlatformClient {
    async fn full_state(&self, _progress: &ReadProgress) -> Result<FullState, SourceError> {
        self.call_source(|state| FullState {
            revision: state.revision(state.counter),
            records: state
                .record_changes
                .iter()
                .rfind(|change| change.key == HOLDER)
                .filter(|change| change.value.is_some())
                .map(|change| state.source_record(change))
                .into_iter()
                .chain([
                    first_record(CONFIG, state.revision(1)),
                    first_record(ENGINE, state.revision(1)),
                ])
                .chain(
                    state.engines.iter().map(|counter| {
                        first_record(&engine_key(*counter), state.revision(*counter))
                    }),
                )
                .collect(),
        })
        .await
    }

    async fn changes(&self, after: Revision, wait: DurationMs) -> Result<Changes, SourceError> {
        let mut changed = self.platform.changed.subscribe();
        let until = Instant::now() + wait.as_std();
        loop {
            let found = self
                .call_source(move |state| {
                    let known = state.known_from..=state.counter;
                    if after.era() != SourceEra(state.era) || !known.contains(&after.counter()) {
                        return Err(SourceError::HistoryLost);
                    }
                    let changes = state.record_changes.iter();
                    let newer = changes.filter(|change| change.counter > after.counter());
                    Ok(Changes {
                        revision: state.revision(state.counter),
                        records: newer.map(|change| state.source_record(change)).collect(),
                    })
                })
                .await??;
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
            key if key.starts_with(ENGINE) => return Some(Change::Endpoint(engine(key))),
            _ => {}
        }
        Some(match &record.value {
            Some(value) => Change::DutyHolder(HolderRecord::decode(value).ok()?),
            None => Change::DutyHolderRemoved,
        })
    }
}
