//! A control source whose records and faults tests control.

use bridgevane_gateway::decisions::eligibility::stream_version::HostHash;
use bridgevane_gateway::{
    Change, Changes, ClientLimits, ControlSource, Customer, EndpointRecord, FullState,
    QuarantineStore, ReadProgress, Repeatability, Revision, Route, RouteTarget, RoutingParts,
    RoutingTable, Service, SourceEra, SourceError, SourceRecord, StreamPolicy, VersionRecordWrite,
    VersionStore, VersionWrite,
};
use bridgevane_types::{
    Bytes, ConfigVersion, CrashSuspect, DataCentreId, DurationMs, EndpointId, Tier, WallTimeMs,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// How long a wait for changes takes at least.
const CALL_TIME: Duration = Duration::from_millis(1);
const CONFIG: &str = "config";
const EVACUATION_PREFIX: &str = "evacuation/";
const VERSIONS_PREFIX: &str = "versions/";
const DUTY_HOLDER: &str = "holder-of-duties";
pub const KEY: &str = "key-1";
pub const OTHER_KEY: &str = "key-2";

fn evacuation_key(data_centre: &DataCentreId) -> String {
    format!("{EVACUATION_PREFIX}{data_centre}")
}

/// The fields of an endpoint's record that differ between its incarnations.
#[derive(Clone, Copy, Debug)]
pub struct IncarnationRecord {
    pub started_at: Option<u64>,
    pub sequence: u64,
    pub is_draining: bool,
}

/// What the records of engines of several software versions differ in.
#[derive(Clone, Copy, Debug)]
pub struct VersionRecord<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub address: SocketAddr,
    pub data_centre: &'a str,
    pub version: &'a str,
}

#[derive(Default)]
struct State {
    log: Vec<SourceRecord>,
    era: SourceEra,
    /// The decoded changes that were ever written; a record's value is an index into it.
    decoded: Vec<Change>,
}

#[derive(Default)]
struct Calls {
    fault: Option<SourceError>,
    full_reads: usize,
    waits: usize,
    full_read_duration: Duration,
    full_read_parts: u32,
    forgets_history: bool,
    refuses_version_writes: bool,
}

/// The source; clones share their state.
#[derive(Clone)]
pub struct ScriptedSource {
    state: Arc<Mutex<State>>,
    calls: Arc<Mutex<Calls>>,
    changed: Arc<watch::Sender<u64>>,
}

impl ScriptedSource {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            calls: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Returns a source with the same records, whose calls are counted and fail independently.
    pub fn with_separate_calls(&self) -> Self {
        Self {
            calls: Arc::default(),
            ..self.clone()
        }
    }

    fn put(&self, change: Change) {
        let mut state = self.state.lock().unwrap();
        let revision = Revision::new(state.era, state.log.len() as u64 + 1);
        let (key, is_removed) = match &change {
            Change::Routing(_) | Change::Unreadable(_) => (CONFIG.to_owned(), false),
            Change::DutyHolder(_) => (DUTY_HOLDER.to_owned(), false),
            Change::DutyHolderRemoved => (DUTY_HOLDER.to_owned(), true),
            Change::Quarantined(request) => (format!("quarantine/{request}"), false),
            Change::QuarantineEnded(request) => (format!("quarantine/{request}"), true),
            Change::Endpoint(record) => (record.id.to_string(), false),
            Change::EndpointRemoved(id) => (id.to_string(), true),
            Change::InvalidEndpoint(id, _) => (id.to_string(), false),
            Change::EvacuationStarted(data_centre) => (evacuation_key(data_centre), false),
            Change::InvalidEvacuation(data_centre) => (evacuation_key(data_centre), false),
            Change::EvacuationEnded(data_centre) => (evacuation_key(data_centre), true),
            Change::VersionsRegistered(host, _) | Change::InvalidVersions(host) => {
                (format!("{VERSIONS_PREFIX}{host}"), false)
            }
            Change::VersionsRemoved(host) => (format!("{VERSIONS_PREFIX}{host}"), true),
        };
        let value = (!is_removed).then(|| state.decoded.len().to_string().into());
        let record = SourceRecord {
            key,
            revision,
            value,
        };
        state.log.push(record);
        state.decoded.push(change);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Publishes a configuration version with these routes and keys.
    pub fn publish_configuration(&self, version: u64, routes: Vec<Route>, keys: &[&str]) {
        self.publish_configuration_of(version, routes, keys, customer());
    }

    /// Publishes a configuration version with these routes, and keys of this customer.
    pub fn publish_configuration_of(
        &self,
        version: u64,
        routes: Vec<Route>,
        keys: &[&str],
        customer: Customer,
    ) {
        let customer = Arc::new(customer);
        let customers = keys.iter().map(|key| (key.to_string(), customer.clone()));
        let service = |name: &str| Service {
            name: name.into(),
            max_connections: 100,
            cold: None,
            scaling: None,
            engine: None,
        };
        let table = RoutingTable::new(RoutingParts {
            version: ConfigVersion(version),
            routes,
            services: vec![service("plain"), service("model")],
            customers: Some(customers.collect::<HashMap<_, _>>()),
            limits: ClientLimits {
                head_bytes: Bytes(16_384),
                body_bytes: Bytes(100_000),
                head_timeout_ms: DurationMs(1_000),
                idle_timeout_ms: DurationMs(5_000),
            },
        });
        self.put(Change::Routing(Arc::new(table)));
    }

    /// Publishes an endpoint's record.
    pub fn publish_endpoint(&self, id: &str, service: &str, address: SocketAddr) {
        self.put(Change::Endpoint(record(id, service, address, false)));
    }

    /// Publishes the record of an endpoint that runs this software version.
    pub fn publish_version(&self, endpoint: VersionRecord<'_>) {
        let VersionRecord {
            id,
            service,
            address,
            data_centre,
            version,
        } = endpoint;
        self.put(Change::Endpoint(EndpointRecord {
            version: Some(version.into()),
            data_centre: data_centre.into(),
            ..record(id, service, address, false)
        }));
    }

    /// Publishes the record of an endpoint in a data centre.
    pub fn publish_endpoint_in(
        &self,
        data_centre: &str,
        id: &str,
        service: &str,
        address: SocketAddr,
    ) {
        self.put(Change::Endpoint(EndpointRecord {
            data_centre: data_centre.into(),
            ..record(id, service, address, false)
        }));
    }

    /// Starts the evacuation of a data centre.
    pub fn evacuate(&self, data_centre: &str) {
        self.put(Change::EvacuationStarted(data_centre.into()));
    }

    /// Ends the evacuation of a data centre.
    pub fn end_evacuation(&self, data_centre: &str) {
        self.put(Change::EvacuationEnded(data_centre.into()));
    }

    /// Makes the record of an evacuation unreadable.
    pub fn corrupt_evacuation(&self, data_centre: &str) {
        self.put(Change::InvalidEvacuation(data_centre.into()));
    }

    /// Drops the history of changes: the next wait fails, and the daemon reads the full state.
    pub fn fail_once_with_history_lost(&self) {
        self.calls.lock().unwrap().forgets_history = true;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Refuses all writes of versions from now on, or accepts them again.
    pub fn refuse_version_writes(&self, is_refused: bool) {
        self.calls.lock().unwrap().refuses_version_writes = is_refused;
    }

    /// Returns the revision of a host's record of versions, with the counter 0 if there is none.
    fn version_revision(&self, host: HostHash) -> Revision {
        let state = self.state.lock().unwrap();
        let key = format!("{VERSIONS_PREFIX}{host}");
        let newest = state.log.iter().rev().find(|record| record.key == key);
        let stored = newest.filter(|record| record.value.is_some());
        stored.map_or(Revision::new(state.era, 0), |record| record.revision)
    }

    /// Returns the newest revision.
    pub fn newest(&self) -> usize {
        self.state.lock().unwrap().log.len()
    }

    /// Comes back from a copy that was made at this revision: later changes are lost, and their
    /// revisions are given out again.
    pub fn restore_copy(&self, revision: usize) {
        let mut state = self.state.lock().unwrap();
        state.log.truncate(revision);
        state.era.0 += 1;
        for (at, record) in state.log.iter_mut().enumerate() {
            record.revision = Revision::new(SourceEra(record.revision.era().0 + 1), at as u64 + 1);
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Publishes the record of one incarnation of an endpoint.
    pub fn publish_incarnation(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        incarnation: IncarnationRecord,
    ) {
        self.put(Change::Endpoint(EndpointRecord {
            started_at: incarnation.started_at.map(WallTimeMs),
            sequence: Some(incarnation.sequence),
            ..record(id, service, address, incarnation.is_draining)
        }));
    }

    /// Publishes an endpoint's record as draining.
    pub fn publish_draining(&self, id: &str, service: &str, address: SocketAddr) {
        self.put(Change::Endpoint(record(id, service, address, true)));
    }

    /// Removes an endpoint's record.
    pub fn remove_endpoint(&self, id: &str) {
        self.put(Change::EndpointRemoved(EndpointId::from(id)));
    }

    /// Makes all calls fail with this error from now on; none: they succeed.
    pub fn set_fault(&self, fault: Option<SourceError>) {
        self.calls.lock().unwrap().fault = fault;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Makes full reads take this long from now on.
    pub fn delay_full_reads(&self, duration: Duration) {
        self.delay_full_reads_in_parts(duration, 1);
    }

    /// Makes full reads take this long in total from now on, with so many parts.
    pub fn delay_full_reads_in_parts(&self, duration: Duration, parts: u32) {
        let mut calls = self.calls.lock().unwrap();
        calls.full_read_duration = duration;
        calls.full_read_parts = parts;
    }

    /// Returns the number of calls that read the full state.
    pub fn full_reads(&self) -> usize {
        self.calls.lock().unwrap().full_reads
    }

    /// Returns the number of calls that wait for changes.
    pub fn waits(&self) -> usize {
        self.calls.lock().unwrap().waits
    }

    /// Returns the number of all calls.
    pub fn calls(&self) -> usize {
        self.full_reads() + self.waits()
    }

    /// Returns the changes after a revision; none if there are none.
    fn changes_after(&self, after: Revision) -> Result<Option<Changes>, SourceError> {
        {
            let mut calls = self.calls.lock().unwrap();
            if let Some(fault) = calls.fault {
                return Err(fault);
            }
            if std::mem::take(&mut calls.forgets_history) {
                return Err(SourceError::HistoryLost);
            }
        }
        let state = self.state.lock().unwrap();
        let newest = Revision::new(state.era, state.log.len() as u64);
        if after.era() != state.era || after > newest {
            return Err(SourceError::HistoryLost);
        }
        let newer = state.log.iter().filter(|record| record.revision > after);
        let records: Vec<SourceRecord> = newer.cloned().collect();
        let revision = newest;
        Ok((!records.is_empty()).then_some(Changes { revision, records }))
    }
}

/// Returns the customer of the configurations, without region limits.
pub fn customer() -> Customer {
    Customer {
        id: "customer-1".into(),
        tier: Some(Tier(1)),
        allowed_regions: None,
    }
}

fn record(id: &str, service: &str, address: SocketAddr, is_draining: bool) -> EndpointRecord {
    EndpointRecord {
        started_at: None,
        sequence: None,
        id: EndpointId::from(id),
        service: service.into(),
        address,
        data_centre: "dc-1".into(),
        version: None,
        slots: 8,
        is_draining,
        is_reclaimable: false,
        cold_remaining_ms: DurationMs(0),
    }
}

impl ControlSource for ScriptedSource {
    async fn full_state(&self, progress: &ReadProgress) -> Result<FullState, SourceError> {
        {
            let mut calls = self.calls.lock().unwrap();
            calls.full_reads += 1;
            if let Some(fault) = calls.fault {
                return Err(fault);
            }
        }
        let (duration, parts) = {
            let calls = self.calls.lock().unwrap();
            (calls.full_read_duration, calls.full_read_parts)
        };
        for _ in 0..parts {
            tokio::time::sleep(duration / parts).await;
            progress.count_part();
        }
        let state = self.state.lock().unwrap();
        let mut newest: HashMap<String, SourceRecord> = HashMap::new();
        for record in &state.log {
            newest.insert(record.key.clone(), record.clone());
        }
        newest.retain(|_, record| record.value.is_some());
        Ok(FullState {
            revision: Revision::new(state.era, state.log.len() as u64),
            records: newest.into_values().collect(),
        })
    }

    async fn changes(&self, after: Revision, wait: DurationMs) -> Result<Changes, SourceError> {
        self.calls.lock().unwrap().waits += 1;
        // A call takes some time, so that a daemon which repeats it at once doesn't stop the others.
        tokio::time::sleep(CALL_TIME).await;
        let mut changed = self.changed.subscribe();
        let waiting = async {
            loop {
                match self.changes_after(after) {
                    Ok(None) => {}
                    Ok(Some(changes)) => return Ok(changes),
                    Err(error) => return Err(error),
                }
                let _ = changed.changed().await;
            }
        };
        let answered = tokio::time::timeout(wait.as_std(), waiting).await;
        answered.unwrap_or(Ok(Changes {
            revision: after,
            records: Vec::new(),
        }))
    }

    fn decode(&self, record: &SourceRecord) -> Option<Change> {
        let Some(value) = &record.value else {
            if let Some(host) = record.key.strip_prefix(VERSIONS_PREFIX) {
                return Some(Change::VersionsRemoved(host.parse().ok()?));
            }
            return Some(match record.key.strip_prefix(EVACUATION_PREFIX) {
                Some(data_centre) => Change::EvacuationEnded(data_centre.into()),
                None => Change::EndpointRemoved(EndpointId::from(record.key.as_str())),
            });
        };
        let index: usize = std::str::from_utf8(value).ok()?.parse().ok()?;
        let state = self.state.lock().unwrap();
        state.decoded.get(index).cloned()
    }
}

impl QuarantineStore for ScriptedSource {
    async fn store_quarantined(
        &self,
        requests: &[CrashSuspect],
        _kept_ms: DurationMs,
    ) -> Result<(), SourceError> {
        for request in requests {
            self.put(Change::Quarantined(*request));
        }
        Ok(())
    }
}

impl VersionStore for ScriptedSource {
    async fn write_versions(
        &self,
        write: &VersionRecordWrite,
    ) -> Result<VersionWrite, SourceError> {
        let (fault, is_refused) = {
            let calls = self.calls.lock().unwrap();
            (calls.fault, calls.refuses_version_writes)
        };
        if let Some(fault) = fault.or(is_refused.then_some(SourceError::Refused)) {
            return Err(fault);
        }
        if self.version_revision(write.host) != write.expected {
            return Ok(VersionWrite::Conflict);
        }
        self.put(Change::VersionsRegistered(
            write.host,
            write.versions.clone(),
        ));
        Ok(VersionWrite::Written)
    }
}

/// Returns a route to a plain service, under `/name/`.
pub fn plain_route(name: &str, repeatability: Repeatability, max_attempts: u32) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        path_prefix: format!("/{name}/"),
        repeatability,
        stream: None,
        timeout_ms: DurationMs(2_000),
        target_ms: DurationMs(200),
        tier: Tier(2),
        targets: vec![RouteTarget {
            service: "plain".into(),
            weight: 1,
        }],
        max_attempts,
        is_public: false,
        has_prompt_parts: false,
        allowed_regions: None,
    }
}

/// Returns a route to a model service that answers with a stream, under `/name/`.
pub fn stream_route(name: &str, is_resumable: bool, max_attempts: u32) -> Route {
    Route {
        stream: Some(StreamPolicy {
            is_resumable,
            pause_target_ms: None,
        }),
        targets: vec![RouteTarget {
            service: "model".into(),
            weight: 1,
        }],
        has_prompt_parts: true,
        ..plain_route(name, Repeatability::AtMostOnce, max_attempts)
    }
}
