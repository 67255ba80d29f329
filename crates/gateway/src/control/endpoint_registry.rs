//! The endpoint registry: every endpoint that has a record, or had one until recently, with the
//! revision of that record.
//!
//! Only the task that follows the source uses it, under the lock of [`super::state`]; requests read
//! the [`Directory`] that is built from it. An older record never replaces a newer one
//! ([`super::record_order`]). A newer incarnation of an endpoint counts as another endpoint with
//! the same id: the cached prompts, load, health, connections and other daemons' reports of the
//! older incarnation are dropped.

use crate::control::record_order::RecordOrder;
use crate::control::source::Revision;
use crate::decisions::eligibility::evacuation::Evacuations;
use crate::decisions::eligibility::leaving::LeavingIncarnations;
use crate::decisions::eligibility::stream_version::VersionHash;
use crate::decisions::replication::record_expiry::{LostRecord, Removal};
use crate::endpoints::directory::Directory;
use crate::endpoints::endpoint::{Endpoint, EndpointRecord};
use bridgevane_decisions::EndpointIx;
use bridgevane_events::{Event, event};
use bridgevane_types::{
    DataCentreId, DurationMs, EndpointId, ServiceName, SoftwareVersion, TimeMs,
};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

#[derive(Debug)]
struct RegistryEntry {
    /// The revision of the newest record, or of its removal.
    revision: Revision,
    /// The position of that record among all records that the endpoint wrote.
    order: RecordOrder,
    endpoint: Arc<Endpoint>,
}

/// A record that was removed in the current batch and may be lost.
#[derive(Clone, Debug)]
struct RemovedRecord {
    id: EndpointId,
    revision: Revision,
    lost: LostRecord,
}

/// The maximum number of log lines about endpoints per batch of records. The log buffer holds some
/// 1,000 lines; more lines would be dropped and would delay a daemon that starts.
const MAX_LOG_LINES_PER_BATCH: usize = 256;

/// The part of a known endpoint that a newer record changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointUpdate {
    /// Attributes that the directory doesn't depend on.
    Attributes,
    /// The service or the data centre.
    Placement,
    /// Whether the endpoint drains.
    Draining,
}

/// The endpoints by id, and what is needed to rebuild the directory.
#[derive(Debug, Default)]
pub(crate) struct EndpointRegistry {
    entries: HashMap<EndpointId, RegistryEntry>,
    /// Endpoints that announced that they leave and have no entry any more.
    leaving: LeavingIncarnations,
    next_index: u32,
    /// The number of endpoints in the current batch that weren't logged individually.
    unlogged_endpoints: usize,
    /// The number of log lines left for the current batch.
    log_lines_left: usize,
    /// The records of the current batch that may be lost.
    removed: Vec<RemovedRecord>,
    /// Whether endpoints were added or removed, or became eligible or ineligible for requests.
    needs_directory: bool,
}

impl EndpointRegistry {
    /// Starts a batch of records.
    pub(crate) fn begin_batch(&mut self) {
        self.log_lines_left = MAX_LOG_LINES_PER_BATCH;
        self.unlogged_endpoints = 0;
    }

    /// Ends the batch: decides how long endpoints are used whose records may be lost, and logs how many
    /// endpoints weren't logged individually.
    pub(crate) fn end_batch(&mut self, now: TimeMs) {
        self.apply_removed(now);
        let endpoints = std::mem::take(&mut self.unlogged_endpoints);
        if endpoints > 0 {
            event!(Event::EndpointsSeen, endpoints = endpoints);
        }
    }

    fn log_within_limit(&mut self, record: &EndpointRecord, revision: Revision) {
        if self.log_lines_left == 0 {
            self.unlogged_endpoints += 1;
            return;
        }
        self.log_lines_left -= 1;
        log_record(record, revision);
    }

    /// Returns whether the directory must be rebuilt, and resets that. Most records change only
    /// attributes that the directory doesn't depend on; building one iterates over all endpoints.
    pub(crate) fn take_needs_directory(&mut self) -> bool {
        std::mem::take(&mut self.needs_directory)
    }

    /// Returns the service and the software version of each endpoint.
    pub(crate) fn versions(&self) -> Vec<(ServiceName, VersionHash)> {
        let endpoints = self.entries.values().map(|entry| &entry.endpoint);
        let version = |endpoint: &Arc<Endpoint>| {
            let service = endpoint.record.load().service.clone();
            (service, endpoint.version)
        };
        endpoints.map(version).collect()
    }

    /// Returns the directory of the endpoints that may get requests.
    pub(crate) fn directory(&self, evacuations: &Evacuations) -> Directory {
        let entries = self.entries.values();
        Directory::new(entries.map(|entry| &entry.endpoint), evacuations)
    }

    /// Marks the endpoints of a data centre as cold, since they may have become cold without
    /// reporting it. Each stays cold for the time that `cold_ms` returns for its service. Returns
    /// the number of endpoints.
    pub(crate) fn assume_cold(
        &self,
        data_centre: &DataCentreId,
        now: TimeMs,
        cold_ms: impl Fn(&ServiceName) -> DurationMs,
    ) -> usize {
        let endpoints = self.in_data_centre(data_centre);
        endpoints
            .map(|endpoint| {
                let cold_ms = cold_ms(&endpoint.record.load().service);
                endpoint.cold.extend(now, cold_ms);
            })
            .count()
    }

    /// Returns the endpoints of a data centre.
    pub(crate) fn in_data_centre(
        &self,
        data_centre: &DataCentreId,
    ) -> impl Iterator<Item = &Arc<Endpoint>> {
        let endpoints = self.entries.values().map(|entry| &entry.endpoint);
        endpoints.filter(move |endpoint| endpoint.record.load().data_centre == *data_centre)
    }

    /// Inserts or updates an endpoint, unless a newer record of it is known.
    pub(crate) fn upsert(&mut self, record: EndpointRecord, revision: Revision, now: TimeMs) {
        let cold_remaining_ms = record.cold_remaining_ms;
        let order = RecordOrder::from_record(&record, revision);
        if let Some(entry) = self.entries.get_mut(&record.id) {
            if entry.revision >= revision {
                return;
            }
            if order < entry.order {
                event!(
                    Event::EndpointRecordLate,
                    endpoint = record.id,
                    revision = revision
                );
                return;
            }
            let version = VersionHash::new(&record.service, record.version.as_ref());
            let is_same_version = version == entry.endpoint.version;
            if is_same_version && !order.is_newer_incarnation(&entry.order) {
                let change = entry.update(record, order, revision);
                entry.endpoint.cold.extend(now, cold_remaining_ms);
                let endpoint = entry.endpoint.clone();
                self.needs_directory |= change != EndpointUpdate::Attributes;
                if change == EndpointUpdate::Draining {
                    self.log_within_limit(&endpoint.record.load(), revision);
                }
                return;
            }
            // All that is known belongs to the older incarnation.
            self.drop_entry(&record.id);
        }
        self.log_within_limit(&record, revision);
        self.needs_directory = true;
        let index = EndpointIx(self.next_index);
        self.next_index += 1;
        let id = record.id.clone();
        let endpoint = Arc::new(Endpoint::new(index, record));
        endpoint.cold.extend(now, cold_remaining_ms);
        if self.leaving.contains(&endpoint.incarnation()) {
            endpoint.mark_leaving();
        }
        self.entries.insert(
            id,
            RegistryEntry {
                revision,
                order,
                endpoint,
            },
        );
    }

    /// Removes an endpoint whose record was removed.
    pub(crate) fn remove(&mut self, id: &EndpointId, revision: Revision, removal: Removal) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.revision >= revision {
            return;
        }
        entry.revision = revision;
        let is_leaving = entry.endpoint.is_leaving();
        match removal {
            // An endpoint that announced that it leaves isn't expected back.
            Removal::MayBeLost(lost) if !is_leaving => self.removed.push(RemovedRecord {
                id: id.clone(),
                revision,
                lost,
            }),
            _ => self.drop_entry(id),
        }
    }

    /// Decides how long endpoints are used whose records were removed in this batch and may be lost. Only
    /// the whole batch shows which services have other endpoints.
    fn apply_removed(&mut self, now: TimeMs) {
        let removed = std::mem::take(&mut self.removed);
        let is_current = |removed: &RemovedRecord| {
            let entry = self.entries.get(&removed.id);
            entry.is_some_and(|entry| entry.revision == removed.revision)
        };
        let removed: Vec<RemovedRecord> = removed.into_iter().filter(is_current).collect();
        if removed.is_empty() {
            return;
        }
        let services = self.services_without(&removed);
        for RemovedRecord { id, revision, lost } in removed {
            let Some(entry) = self.entries.get(&id) else {
                continue;
            };
            let has_others = services.contains(&entry.endpoint.record.load().service);
            entry.endpoint.on_record_lost(if has_others {
                lost
            } else {
                lost.of_last_endpoint(now)
            });
            event!(
                Event::EndpointLapsed,
                endpoint = id,
                usable_ms = entry.endpoint.usable_without_record(now),
                revision = revision
            );
        }
    }

    /// Returns the services that have endpoints with records, and which don't leave, beside those whose
    /// records were removed.
    fn services_without(&self, removed: &[RemovedRecord]) -> HashSet<ServiceName> {
        let removed: HashSet<&EndpointId> = removed.iter().map(|removed| &removed.id).collect();
        let others = self.entries.iter().filter(|(id, entry)| {
            let endpoint = &entry.endpoint;
            endpoint.has_record() && !endpoint.is_leaving() && !removed.contains(id)
        });
        let service = |entry: &RegistryEntry| entry.endpoint.record.load().service.clone();
        others.map(|(_, entry)| service(entry)).collect()
    }

    /// Removes every endpoint that a full state at `revision` doesn't list.
    pub(crate) fn remove_unlisted(
        &mut self,
        listed: &HashSet<EndpointId>,
        revision: Revision,
        removal: Removal,
    ) {
        let entries = self.entries.iter();
        let unlisted =
            entries.filter(|(id, entry)| entry.revision <= revision && !listed.contains(*id));
        let unlisted: Vec<EndpointId> = unlisted.map(|(id, _)| id.clone()).collect();
        for id in unlisted {
            self.remove(&id, revision, removal);
        }
    }

    /// Drops endpoints whose records didn't come back in time; returns false when there are none.
    pub(crate) fn drop_expired(&mut self, now: TimeMs) -> bool {
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| entry.endpoint.is_record_overdue(now));
        let expired: Vec<EndpointId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.drop_entry(id);
        }
        !expired.is_empty()
    }

    fn drop_entry(&mut self, id: &EndpointId) {
        if let Some(entry) = self.entries.remove(id) {
            self.needs_directory = true;
            entry.endpoint.idle_connections.close();
            if entry.endpoint.is_leaving() {
                self.leaving.remember(entry.endpoint.incarnation());
            }
            let revision = entry.revision;
            event!(Event::EndpointGone, endpoint = id, revision = revision);
        }
    }
}

impl RegistryEntry {
    /// Applies a newer record of the same incarnation.
    fn update(
        &mut self,
        mut record: EndpointRecord,
        order: RecordOrder,
        revision: Revision,
    ) -> EndpointUpdate {
        self.revision = revision;
        self.order = order;
        self.endpoint.renew();
        let before = self.endpoint.record.load_full();
        // An incarnation that is leaving never returns; such a record is from an older copy.
        record.is_draining |= before.is_draining;
        let draining_changed = before.is_draining != record.is_draining;
        let placement_changed =
            before.service != record.service || before.data_centre != record.data_centre;
        self.endpoint.record.store(Arc::new(record));
        if draining_changed {
            EndpointUpdate::Draining
        } else if placement_changed {
            EndpointUpdate::Placement
        } else {
            EndpointUpdate::Attributes
        }
    }
}

fn log_record(record: &EndpointRecord, revision: Revision) {
    event!(
        Event::EndpointSeen,
        endpoint = record.id,
        service = record.service,
        address = record.address,
        version = record.version.as_ref().map_or("-", SoftwareVersion::as_str),
        draining = record.is_draining,
        revision = revision
    );
}
