//! The state that comes from the control source: the routing table, endpoints, records, and the
//! newest proof that they are current. A proof is an answer of the source, dated by the time of the
//! call: at that time the state was the newest.
//!
//! | part | written by | read by |
//! |---|---|---|
//! | routing table, directory | [`crate::replication::follow`], [`crate::replication::proof_on_demand`] | requests, without locks (read-copy-update) |
//! | time of the newest proof | the same, and [`crate::replication::seed_exchange`] with other seeds' proofs | requests, without locks |
//! | holder of the duties | only [`crate::replication::follow`] | the tasks of the duties, without locks |
//! | registered software versions | [`crate::replication::follow`] | requests, without locks (read-copy-update) |
//! | requests under quarantine | only [`crate::replication::follow`] | requests, without locks (read-copy-update) |
//! | what is known of the source's era | [`crate::replication`] | requests, without locks (read-copy-update) |
//! | replica | [`crate::replication::follow`], [`crate::replication::proof_on_demand`] | daemons that follow this one, under a lock |
//! | endpoint registry, evacuations, last outage | the same | only the writers, one at a time |
//!
//! Versions only increase: an older routing table, record or proof never replaces a newer one. The
//! state is lost with the process; a new process reads it from the source or from another daemon.

use crate::clock::{AtomicTime, Clock};
use crate::control::duty_holder::HolderEntry;
use crate::control::endpoint_registry::EndpointRegistry;
use crate::control::replica::Replica;
use crate::control::routing_table::RoutingTable;
use crate::control::source::{
    AtomicRevision, Change, ChangeAt, Changes, ControlSource, FullState, Revision, SourceEra,
    SourceRecord,
};
use crate::control::version_registry::VersionRegistry;
use crate::decisions::admission::freshness::{Freshness, FreshnessPolicy};
use crate::decisions::eligibility::evacuation::Evacuations;
use crate::decisions::eligibility::stream_version::{HostHash, UnreportedVersion, VersionEvidence};
use crate::decisions::eligibility::version_registration::version_memory;
use crate::decisions::replication::completeness::{Completeness, EraKnowledge};
use crate::decisions::replication::record_expiry::{Removal, SourceOutage};
use crate::endpoints::directory::Directory;
use crate::settings::GatewaySettings;
use arc_swap::{ArcSwap, ArcSwapOption};
use bridgevane_events::{Event, event};
use bridgevane_types::{
    ConfigVersion, CrashSuspect, DataCentreId, DurationMs, EndpointId, ServiceName, TimeMs,
};
use bytes::Bytes;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, watch};

/// A daemon's state as it is reported to others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateReport {
    /// The revision up to which it is complete at the source.
    pub(crate) at: Revision,
    pub(crate) completeness: Completeness,
    pub(crate) config_version: ConfigVersion,
}

/// The state that comes from the control source.
#[derive(Debug)]
pub struct ControlState {
    clock: Clock,
    freshness_policy: FreshnessPolicy,
    expired_record_grace_ms: DurationMs,
    routing_table: ArcSwapOption<RoutingTable>,
    directory: ArcSwap<Directory>,
    duty_holder: ArcSwap<HolderEntry>,
    quarantined: ArcSwap<HashSet<CrashSuspect>>,
    proved_at: AtomicTime,
    era_knowledge: ArcSwap<EraKnowledge>,
    /// Wakes a task when a state may be incomplete.
    doubt_began: Notify,
    versions: VersionRegistry,
    /// The newest time after which a proof is wanted.
    wanted_proof: watch::Sender<Option<TimeMs>>,
    /// Held while a state or changes are applied.
    writing: Mutex<()>,
    replica: Mutex<Replica>,
    /// The replica's revision, for readers that take no lock.
    complete_to: AtomicRevision,
    registry: Mutex<EndpointRegistry>,
    evacuations: Mutex<Evacuations>,
    /// The revision of the first full state after the newest return of the source from a copy.
    restored_at: AtomicRevision,
    outage: Mutex<SourceOutage>,
    /// Counts applied changes and proofs.
    progress: watch::Sender<u64>,
}

impl ControlState {
    pub(crate) fn new(clock: Clock, settings: &GatewaySettings) -> Self {
        Self {
            clock,
            freshness_policy: settings.freshness,
            expired_record_grace_ms: settings.lapse_grace_ms,
            routing_table: ArcSwapOption::empty(),
            directory: ArcSwap::default(),
            duty_holder: ArcSwap::default(),
            quarantined: ArcSwap::default(),
            proved_at: AtomicTime::default(),
            era_knowledge: ArcSwap::default(),
            doubt_began: Notify::new(),
            versions: VersionRegistry::new(clock),
            wanted_proof: watch::Sender::default(),
            writing: Mutex::default(),
            replica: Mutex::default(),
            complete_to: AtomicRevision::default(),
            registry: Mutex::default(),
            evacuations: Mutex::default(),
            restored_at: AtomicRevision::default(),
            outage: Mutex::default(),
            progress: watch::Sender::new(0),
        }
    }

    /// Returns the active routing table; none until the first one has arrived.
    pub(crate) fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        self.routing_table.load_full()
    }

    /// Returns the endpoints that may get requests.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Returns the holder of the duties.
    pub(crate) fn duty_holder(&self) -> Arc<HolderEntry> {
        self.duty_holder.load_full()
    }

    /// Returns whether one of these suspects is under quarantine at the source. They are only computed
    /// if anything is.
    pub(crate) fn is_any_quarantined<I: IntoIterator<Item = CrashSuspect>>(
        &self,
        suspects: impl FnOnce() -> I,
    ) -> bool {
        let quarantined = self.quarantined.load();
        let mut suspects = (!quarantined.is_empty())
            .then(suspects)
            .into_iter()
            .flatten();
        suspects.any(|suspect| quarantined.contains(&suspect))
    }

    /// Returns the number of endpoints that may get requests.
    pub fn endpoint_count(&self) -> usize {
        self.directory.load().len()
    }

    /// Returns the time at which the newest proof was requested.
    pub fn proved_at(&self) -> Option<TimeMs> {
        self.proved_at.get()
    }

    /// Returns the revision up to which the replica is complete, and its newest proof. A proof is
    /// stored after the state that it proves, so under the replica's lock the replica is at least
    /// as new as the newest proof.
    pub(crate) fn proved_state(&self) -> (Revision, Option<TimeMs>) {
        let replica = self.replica();
        let proved_at = self.proved_at();
        (replica.revision(), proved_at)
    }

    /// Adopts the proof of another daemon, made at `proved_at`, that its state at revision `at` was
    /// the newest, if this daemon's replica is at least as new. A proof from before the source came
    /// back from a copy says nothing about the state since.
    pub fn adopt_proof(&self, at: Revision, proved_at: TimeMs) {
        // The replica's revision rises before its changes are applied to the rest of the state.
        let _writing = self.lock_writing();
        let own = self.replica().revision();
        let has_state = own.era() == at.era() && own >= at;
        if has_state && self.proved_at() < Some(proved_at) {
            self.store_proof(proved_at);
        }
    }

    /// Returns the age of the newest proof.
    pub fn proof_age(&self) -> Option<DurationMs> {
        let proved_at = self.proved_at()?;
        Some(self.clock.now().since(proved_at))
    }

    /// Returns the revision up to which the replica was complete after the newest change; takes no lock.
    pub(crate) fn complete_to(&self) -> Revision {
        self.complete_to.get()
    }

    /// Returns the era of the replica.
    pub(crate) fn source_era(&self) -> SourceEra {
        self.replica().revision().era()
    }

    /// Returns what the configuration may be used for.
    pub(crate) fn freshness(&self) -> Freshness {
        self.freshness_policy
            .freshness(self.proof_age(), self.completeness())
    }

    /// Returns how complete the state is.
    pub(crate) fn completeness(&self) -> Completeness {
        self.era_knowledge.load().completeness(self.clock.now())
    }

    /// Waits until the state may be incomplete after a return of the source from a copy.
    pub(crate) async fn wait_for_doubt(&self) {
        self.doubt_began.notified().await;
    }

    /// Returns this daemon's state for other daemons.
    pub(crate) fn state_report(&self) -> StateReport {
        StateReport {
            at: self.complete_to(),
            completeness: self.completeness(),
            config_version: self.config_version(),
        }
    }

    /// Applies another daemon's report of its state. A daemon of another era knows nothing of this one,
    /// and one with a newer configuration knows more than this daemon.
    pub(crate) fn on_state_report(&self, report: StateReport) {
        let is_as_new = report.config_version <= self.config_version();
        if report.at.era() == self.complete_to().era() && is_as_new {
            self.update_era_knowledge(|known| known.after_report(report.completeness));
        }
    }

    fn update_era_knowledge(&self, update: impl Fn(EraKnowledge) -> EraKnowledge) {
        let before = self.era_knowledge.rcu(|known| update(**known));
        if **self.era_knowledge.load() != *before {
            self.notify_progress();
        }
    }

    /// Returns the registered software versions.
    pub(crate) fn versions(&self) -> &VersionRegistry {
        &self.versions
    }

    /// Returns for how long a retired version stays registered.
    pub(crate) fn version_memory(&self) -> DurationMs {
        let table = self.routing_table.load();
        let longest = table
            .as_ref()
            .map(|table| table.longest_resumable_timeout());
        version_memory(longest.unwrap_or_default())
    }

    /// Returns whether registrations of versions may be missing after a return of the source from a
    /// copy.
    pub(crate) fn may_lack_versions(&self) -> bool {
        self.versions.may_lack_versions(self.version_memory())
    }

    /// Returns what is known of the version of a host's stream that was taken up at this time and that
    /// nobody reported. If it depends on a newer proof, one is requested.
    pub(crate) fn unreported_version(&self, host: &str, taken_up_at: TimeMs) -> UnreportedVersion {
        // Read before the versions: a proof is stored after the state that it proves.
        let proved_at = self.proved_at();
        let Some(versions) = self.versions.versions(host) else {
            return UnreportedVersion::Unknown;
        };
        let unreported = versions.unreported(VersionEvidence {
            taken_up_at,
            proved_at,
            may_lack_versions: self.may_lack_versions(),
        });
        if unreported == UnreportedVersion::NeedsProof {
            self.wanted_proof.send_if_modified(|wanted| {
                let is_later = *wanted < Some(taken_up_at);
                *wanted = (*wanted).max(Some(taken_up_at));
                is_later
            });
        }
        unreported
    }

    /// Returns whether streams of the host that begin are reported to all daemons.
    pub(crate) fn needs_stream_reports(&self, host: &str) -> bool {
        let versions = self.versions.versions(host).unwrap_or_default();
        let lifetime = self.freshness_policy.proof_lifetime_ms;
        versions.needs_reports(self.proof_age(), lifetime, self.may_lack_versions())
    }

    /// Returns a receiver of the newest time after which a proof is wanted.
    pub(crate) fn wanted_proof(&self) -> watch::Receiver<Option<TimeMs>> {
        self.wanted_proof.subscribe()
    }

    /// Returns the records in the source's own encoding.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().expect("no panic under this lock")
    }

    fn registry(&self) -> MutexGuard<'_, EndpointRegistry> {
        self.registry.lock().expect("no panic under this lock")
    }

    fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        self.evacuations.lock().expect("no panic under this lock")
    }

    /// Returns a receiver that changes whenever changes were applied or a proof was stored.
    pub fn progress(&self) -> watch::Receiver<u64> {
        self.progress.subscribe()
    }

    fn notify_progress(&self) {
        self.progress.send_modify(|count| *count += 1);
    }

    /// Stores a proof that the applied state was the newest at `asked_at`.
    pub fn store_proof(&self, asked_at: TimeMs) {
        self.proved_at.set_if_later(asked_at);
        self.notify_progress();
    }

    fn lock_writing(&self) -> MutexGuard<'_, ()> {
        self.writing.lock().expect("no panic under this lock")
    }

    /// Applies changes.
    pub fn apply(&self, source: &impl ControlSource, changes: Changes) {
        let _writing = self.lock_writing();
        let new_records = {
            let mut replica = self.replica();
            let new_records = replica.apply(changes);
            self.complete_to.set(replica.revision());
            new_records
        };
        let removal = self.removal();
        let changes = decode(source, &new_records);
        if !changes.is_empty() {
            self.apply_changes(&mut self.registry(), changes, removal);
        }
        self.notify_progress();
    }

    /// Applies a full state; endpoints that it doesn't list are removed. Returns false, and applies
    /// nothing, if this daemon has a newer one.
    ///
    /// A source that came back from a copy may list what is older than this daemon's state. An older
    /// configuration and an endpoint that was leaving are recognised by their content; evacuations
    /// stay as they are until an operator writes; endpoints that are missing have some time to write
    /// their records again.
    pub fn replace(&self, source: &impl ControlSource, state: &FullState) -> bool {
        let _writing = self.lock_writing();
        let proved_before = self.proved_at();
        let mut records = decode(source, &state.records);
        let (before, is_applied) = {
            let mut replica = self.replica();
            let before = replica.revision();
            let kept = self.newer_document(source, state, &records, &replica);
            let is_applied = replica.replace(state);
            if let (true, Some((key, bytes))) = (is_applied, kept) {
                replica.overwrite(&key, bytes);
            }
            self.complete_to.set(replica.revision());
            (before, is_applied)
        };
        // A new daemon's revision is of the first era.
        let is_from_copy = state.revision.era() > before.era();
        if is_applied && is_from_copy {
            self.versions.on_restored();
        }
        let is_from_copy = is_from_copy && before > Revision(0);
        if is_applied {
            let proof_age = proved_before.map(|proved_at| self.clock.now().since(proved_at));
            self.update_era_knowledge(|known| {
                let proof_lifetime = self.freshness_policy.proof_lifetime_ms;
                known.after_full_state(self.clock.now(), state.revision, proof_age, proof_lifetime)
            });
            if self.completeness() < Completeness::Complete {
                self.doubt_began.notify_one();
            }
            if is_from_copy {
                event!(Event::SourceCameFromCopy, revision = state.revision);
                self.restored_at.set(state.revision);
                self.outage().on_restored(self.clock.now());
            }
            let removal = self.removal();
            // What this daemon knows outweighs the copy, in later full states of the same era, too.
            let restored_at = self.restored_at.get();
            records.retain(|record| {
                record.revision > restored_at || !self.is_ended_evacuation(&record.change)
            });
            let mut registry = self.registry();
            registry.remove_unlisted(&listed_endpoints(&records), state.revision, removal);
            if !names_duty_holder(&records) {
                self.on_duty_holder_removed(state.revision);
            }
            self.apply_quarantine(Arc::default(), &records);
            self.end_unlisted_evacuations(&registry, &records, state.revision);
            self.versions
                .remove_unlisted(&listed_versions(&records), state.revision);
            self.apply_changes(&mut registry, records, removal);
        }
        self.notify_progress();
        is_applied
    }

    /// Returns this daemon's document, with its key, if the listed one is older: daemons that follow
    /// this one must not get the older one. `decoded` are the state's records.
    fn newer_document(
        &self,
        source: &impl ControlSource,
        state: &FullState,
        decoded: &[ChangeAt],
        replica: &Replica,
    ) -> Option<(String, Bytes)> {
        let active = self.config_version();
        let is_older = |record: &ChangeAt| match &record.change {
            Change::Routing(table) => table.version() < active,
            _ => false,
        };
        if !decoded.iter().any(is_older) {
            return None;
        }
        let (at, _) = document(source, &state.records)?;
        let key = &state.records[at].key;
        Some((key.clone(), replica.value(key)?))
    }

    /// Adopts the document in another daemon's full state if its version is higher than the active
    /// one: the source came back from a copy, and this daemon has read the copy's.
    pub(crate) fn adopt_newer_document(&self, source: &impl ControlSource, state: &FullState) {
        let _writing = self.lock_writing();
        let Some((at, listed)) = document(source, &state.records) else {
            return;
        };
        if listed <= self.config_version() {
            return;
        }
        let record = &state.records[at];
        if let Some(Change::Routing(table)) = source.decode(record) {
            if let Some(bytes) = &record.value {
                self.replica().overwrite(&record.key, bytes.clone());
            }
            self.activate(table, record.revision);
            self.notify_progress();
        }
    }

    /// Returns the version of the active configuration; 0 before the first one.
    pub(crate) fn config_version(&self) -> ConfigVersion {
        let table = self.routing_table.load();
        table
            .as_ref()
            .map_or(ConfigVersion(0), |table| table.version())
    }

    /// Returns whether another daemon has a newer configuration that the source doesn't list any more:
    /// its state isn't ahead of this daemon's, and its version is higher.
    pub(crate) fn lacks_configuration(&self, at: Revision, version: ConfigVersion) -> bool {
        let own = self.replica().revision();
        at.era() == own.era() && at <= own && version > self.config_version()
    }

    /// Returns whether a change is an evacuation that this daemon knows to have ended.
    fn is_ended_evacuation(&self, change: &Change) -> bool {
        match change {
            Change::EvacuationStarted(data_centre) => self.evacuations().has_ended(data_centre),
            _ => false,
        }
    }

    /// Drops endpoints whose records were lost in an outage and didn't come back.
    pub(crate) fn drop_expired_endpoints(&self) {
        let mut registry = self.registry();
        if registry.drop_expired(self.clock.now()) {
            self.rebuild_directory(&mut registry);
        }
    }

    /// Rebuilds the directory if the registry or the evacuations require it.
    fn rebuild_directory(&self, registry: &mut EndpointRegistry) {
        let needs_directory = registry.take_needs_directory();
        let has_evacuations = self.evacuations().take_changed();
        if !needs_directory && !has_evacuations {
            return;
        }
        self.versions.observe(&registry.versions());
        let directory = registry.directory(&self.evacuations());
        self.directory.store(Arc::new(directory));
    }

    /// Returns how endpoints whose records are removed now are treated.
    fn removal(&self) -> Removal {
        let (now, proved_at) = (self.clock.now(), self.proved_at());
        self.outage()
            .removal(now, proved_at, self.expired_record_grace_ms)
    }

    fn outage(&self) -> MutexGuard<'_, SourceOutage> {
        self.outage.lock().expect("no panic under this lock")
    }

    fn apply_changes(
        &self,
        registry: &mut EndpointRegistry,
        changes: Vec<ChangeAt>,
        removal: Removal,
    ) {
        self.apply_quarantine(self.quarantined.load_full(), &changes);
        registry.begin_batch();
        for ChangeAt { revision, change } in changes {
            match change {
                Change::Routing(table) => {
                    let (written, active) = (table.version(), self.config_version());
                    self.update_era_knowledge(|known| {
                        known.after_operator_write(revision, written, active)
                    });
                    self.activate(table, revision);
                }
                Change::Endpoint(record) => {
                    registry.upsert(record, revision, self.clock.now());
                }
                Change::EndpointRemoved(id) => registry.remove(&id, revision, removal),
                Change::InvalidEndpoint(id, fault) => {
                    event!(
                        Event::EndpointRecordRejected,
                        endpoint = id,
                        reason = fault,
                        revision = revision
                    );
                    // The record was overwritten, not lost: it won't come back after an outage.
                    registry.remove(&id, revision, Removal::AtOnce);
                }
                Change::EvacuationStarted(data_centre) => {
                    self.begin_evacuation(registry, &data_centre, revision);
                }
                Change::EvacuationEnded(data_centre) => {
                    self.end_evacuation(registry, &data_centre, revision);
                }
                Change::InvalidEvacuation(data_centre) => {
                    event!(
                        Event::EvacuationRejected,
                        data_centre = data_centre,
                        revision = revision
                    );
                }
                Change::DutyHolder(holder) => {
                    let entry = self.duty_holder.load();
                    let entry = entry.with_holder(revision, holder);
                    self.duty_holder.store(Arc::new(entry));
                }
                // Applied above, all at once.
                Change::Quarantined(_) | Change::QuarantineEnded(_) => {}
                Change::DutyHolderRemoved => self.on_duty_holder_removed(revision),
                Change::VersionsRegistered(host, versions) => {
                    self.versions.set(host, revision, Some(versions));
                }
                Change::VersionsRemoved(host) => self.versions.remove(host, revision),
                Change::InvalidVersions(host) => {
                    event!(
                        Event::VersionRecordRejected,
                        host = host,
                        revision = revision
                    );
                    self.versions.set(host, revision, None);
                }
                Change::Unreadable(what) => {
                    event!(Event::ConfigRejected, what = what, revision = revision);
                }
            }
        }
        registry.end_batch(self.clock.now());
        self.rebuild_directory(registry);
    }

    fn begin_evacuation(
        &self,
        registry: &EndpointRegistry,
        data_centre: &DataCentreId,
        revision: Revision,
    ) {
        if self.evacuations().begin(data_centre, revision) {
            event!(
                Event::EvacuationBegan,
                data_centre = data_centre,
                endpoints = registry.in_data_centre(data_centre).count(),
                revision = revision
            );
        }
    }

    fn end_evacuation(
        &self,
        registry: &EndpointRegistry,
        data_centre: &DataCentreId,
        revision: Revision,
    ) {
        if !self.evacuations().end(data_centre, revision) {
            return;
        }
        let table = self.routing_table();
        let cold_ms = |service: &ServiceName| {
            let service = table.as_ref().and_then(|table| table.service(service));
            let limits = service.and_then(|service| service.cold);
            limits.map_or(DurationMs(0), |limits| limits.duration_ms)
        };
        let endpoints = registry.assume_cold(data_centre, self.clock.now(), cold_ms);
        event!(
            Event::EvacuationOver,
            data_centre = data_centre,
            endpoints = endpoints,
            revision = revision
        );
    }

    /// Ends the evacuations that a full state doesn't list.
    fn end_unlisted_evacuations(
        &self,
        registry: &EndpointRegistry,
        records: &[ChangeAt],
        revision: Revision,
    ) {
        let listed = evacuated_data_centres(records);
        let since = self.restored_at.get();
        let over = self
            .evacuations()
            .ended_in_full_state(&listed, since, revision);
        for data_centre in over {
            self.end_evacuation(registry, &data_centre, revision);
        }
    }

    /// Applies changes to `quarantined` and activates the result.
    fn apply_quarantine(&self, mut quarantined: Arc<HashSet<CrashSuspect>>, changes: &[ChangeAt]) {
        for change in changes {
            match change.change {
                Change::Quarantined(request) => {
                    Arc::make_mut(&mut quarantined).insert(request);
                }
                Change::QuarantineEnded(request) => {
                    Arc::make_mut(&mut quarantined).remove(&request);
                }
                _ => {}
            }
        }
        self.quarantined.store(quarantined);
    }

    fn on_duty_holder_removed(&self, revision: Revision) {
        let entry = self.duty_holder.load();
        let entry = entry.without_holder(revision, self.clock.now());
        self.duty_holder.store(Arc::new(entry));
    }

    /// Activates a routing table, unless its version is no higher than the current one's.
    fn activate(&self, table: Arc<RoutingTable>, revision: Revision) {
        let current = self.routing_table.load();
        let is_as_new = |current: &Arc<RoutingTable>| current.version() >= table.version();
        if current.as_ref().is_some_and(is_as_new) {
            return;
        }
        event!(
            Event::ConfigInForce,
            version = table.version(),
            revision = revision
        );
        self.routing_table.store(Some(table));
    }
}

/// Decodes records; those that the product doesn't use are left out.
fn decode(source: &impl ControlSource, records: &[SourceRecord]) -> Vec<ChangeAt> {
    let decode = |record: &SourceRecord| {
        let change = source.decode(record)?;
        let revision = record.revision;
        Some(ChangeAt { revision, change })
    };
    records.iter().filter_map(decode).collect()
}

/// Returns the position and the version of the operator's document among the records of a full state.
fn document(
    source: &impl ControlSource,
    records: &[SourceRecord],
) -> Option<(usize, ConfigVersion)> {
    let version = |record| match source.decode(record) {
        Some(Change::Routing(table)) => Some(table.version()),
        _ => None,
    };
    let mut versions = records.iter().map(version).enumerate();
    versions.find_map(|(at, version)| Some((at, version?)))
}

fn listed_endpoints(records: &[ChangeAt]) -> HashSet<EndpointId> {
    let endpoints = records.iter().filter_map(|record| match &record.change {
        Change::Endpoint(endpoint) => Some(endpoint.id.clone()),
        _ => None,
    });
    endpoints.collect()
}

/// Returns the data centres that a full state lists as evacuated. One whose record can't be decoded
/// stays as it was.
fn evacuated_data_centres(records: &[ChangeAt]) -> HashSet<DataCentreId> {
    let data_centres = records.iter().filter_map(|record| match &record.change {
        Change::EvacuationStarted(data_centre) | Change::InvalidEvacuation(data_centre) => {
            Some(data_centre.clone())
        }
        _ => None,
    });
    data_centres.collect()
}

fn listed_versions(records: &[ChangeAt]) -> Vec<HostHash> {
    let hosts = records.iter().filter_map(|record| match &record.change {
        Change::VersionsRegistered(host, _) | Change::InvalidVersions(host) => Some(*host),
        _ => None,
    });
    hosts.collect()
}

fn names_duty_holder(records: &[ChangeAt]) -> bool {
    let is_holder = |record: &ChangeAt| matches!(record.change, Change::DutyHolder(_));
    records.iter().any(is_holder)
}
