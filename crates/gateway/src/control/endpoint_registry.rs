//! The endpoint registry: every endpoint that has a record, or had one until lately, with its
//! revision.
//!
//! Only the follower of the source touches it, under the lock of [`super::state`]; requests read
//! the [`Directory`] that is made of it. An older record never replaces a newer one
//! ([`super::record_order`]). A later life of an endpoint is another endpoint under the same id: prompts
//! that were read, load, health, connections and what others tell of the earlier one go with it.

use crate::control::record_order::RecordOrder;
use crate::control::source::Revision;
use crate::decisions::eligibility::evacuation::Evacuations;
use crate::decisions::eligibility::leaving::LeavingLives;
use crate::decisions::replication::record_expiry::Removal;
use crate::endpoints::directory::Directory;
use crate::endpoints::endpoint::{Endpoint, EndpointRecord};
use bridgevane_decisions::EndpointIx;
use bridgevane_events::{Event, event};
use bridgevane_types::{DataCentreId, DurationMs, EndpointId, ServiceName, TimeMs};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

#[derive(Debug)]
struct RegistryEntry {
    /// The revision of the newest record, or of its removal.
    revision: Revision,
    /// Where that record stands among all that the endpoint wrote.
    order: RecordOrder,
    endpoint: Arc<Endpoint>,
}

/// Lines of endpoints in one batch of records at most. Not measured by itself, chosen because the log's buffer
/// holds some 1,000 lines: the others of a whole state are made to be dropped, and keep a daemon that starts
/// from serving.
const MAX_LINES_OF_A_BATCH: usize = 256;

/// What a newer record of an endpoint that is known changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordChange {
    /// What it tells of itself.
    Told,
    /// Its service or its data centre.
    Moved,
    /// It drains, or doesn't any more.
    DrainsAnew,
}

/// The registry.
#[derive(Debug, Default)]
pub(crate) struct EndpointRegistry {
    entries: HashMap<EndpointId, RegistryEntry>,
    /// Endpoints that said that they leave, and have no entry any more.
    leaving: LeavingLives,
    next_index: u32,
    /// Endpoints that aren't logged one by one any more in the batch that is taken in.
    unlogged: usize,
    /// Lines that the batch may still have.
    lines_left: usize,
    /// Endpoints came or went, or may get work now and might not before, or the other way round.
    needs_directory: bool,
}

impl EndpointRegistry {
    /// Another batch of records is taken in.
    pub(crate) fn begin_batch(&mut self) {
        self.lines_left = MAX_LINES_OF_A_BATCH;
        self.unlogged = 0;
    }

    /// The batch is taken in: says how many endpoints weren't logged one by one.
    pub(crate) fn end_batch(&mut self) {
        let endpoints = std::mem::take(&mut self.unlogged);
        if endpoints > 0 {
            event!(Event::EndpointsSeen, endpoints = endpoints);
        }
    }

    fn log_seen(&mut self, record: &EndpointRecord, revision: Revision) {
        if self.lines_left == 0 {
            self.unlogged += 1;
            return;
        }
        self.lines_left -= 1;
        log_record(record, revision);
    }

    /// Whether the directory of the last call is no longer true. Most records change what an endpoint says of
    /// itself, and no directory: to build one takes a look at every endpoint.
    pub(crate) fn take_needs_directory(&mut self) -> bool {
        std::mem::take(&mut self.needs_directory)
    }

    /// The directory of the endpoints that may get work.
    pub(crate) fn directory(&self, evacuations: &Evacuations) -> Directory {
        let entries = self.entries.values();
        Directory::new(entries.map(|entry| &entry.endpoint), evacuations)
    }

    /// The endpoints of a data centre may have turned cold without having said so: each counts as cold for
    /// as long as `cold_ms` says of its service. Gives how many there are.
    pub(crate) fn suspect_cold(
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

    /// The endpoints of a data centre.
    pub(crate) fn in_data_centre(
        &self,
        data_centre: &DataCentreId,
    ) -> impl Iterator<Item = &Arc<Endpoint>> {
        let endpoints = self.entries.values().map(|entry| &entry.endpoint);
        endpoints.filter(move |endpoint| endpoint.record.load().data_centre == *data_centre)
    }

    /// Takes a record in, unless a newer one is known.
    pub(crate) fn upsert(&mut self, record: EndpointRecord, revision: Revision, now: TimeMs) {
        let cold_remaining_ms = record.cold_remaining_ms;
        let order = RecordOrder::of(&record, revision);
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
            if !order.is_later_life(&entry.order) {
                let change = entry.update(record, order, revision);
                entry.endpoint.cold.extend(now, cold_remaining_ms);
                let endpoint = entry.endpoint.clone();
                self.needs_directory |= change != RecordChange::Told;
                if change == RecordChange::DrainsAnew {
                    self.log_seen(&endpoint.record.load(), revision);
                }
                return;
            }
            // Nothing that is known of the earlier life is true of this one.
            self.drop_entry(&record.id);
        }
        self.log_seen(&record, revision);
        self.needs_directory = true;
        let index = EndpointIx(self.next_index);
        self.next_index += 1;
        let id = record.id.clone();
        let endpoint = Arc::new(Endpoint::new(index, record));
        endpoint.cold.extend(now, cold_remaining_ms);
        if self.leaving.contains(&endpoint.life()) {
            endpoint.leave();
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

    /// A record is gone.
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
            // An endpoint that said that it leaves is not expected back.
            Removal::ExpiresAt(at) if !is_leaving => {
                entry.endpoint.expire_at(at);
                event!(Event::EndpointLapsed, endpoint = id, revision = revision);
            }
            _ => self.drop_entry(id),
        }
    }

    /// Removes every endpoint that a whole state at `revision` doesn't list.
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

    /// Drops endpoints whose records did not come back in time; false when there are none.
    pub(crate) fn drop_expired(&mut self, now: TimeMs) -> bool {
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| entry.endpoint.has_expired(now));
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
            if entry.endpoint.has_said_it_leaves() {
                self.leaving.remember(entry.endpoint.life());
            }
            let revision = entry.revision;
            event!(Event::EndpointGone, endpoint = id, revision = revision);
        }
    }
}

impl RegistryEntry {
    /// Takes a newer record of the same life.
    fn update(
        &mut self,
        record: EndpointRecord,
        order: RecordOrder,
        revision: Revision,
    ) -> RecordChange {
        self.revision = revision;
        self.order = order;
        self.endpoint.renew();
        let before = self.endpoint.record.load_full();
        let drains_anew = before.is_draining != record.is_draining;
        let has_moved =
            before.service != record.service || before.data_centre != record.data_centre;
        self.endpoint.record.store(Arc::new(record));
        if drains_anew {
            RecordChange::DrainsAnew
        } else if has_moved {
            RecordChange::Moved
        } else {
            RecordChange::Told
        }
    }
}

fn log_record(record: &EndpointRecord, revision: Revision) {
    event!(
        Event::EndpointSeen,
        endpoint = record.id,
        service = record.service,
        address = record.address,
        draining = record.is_draining,
        revision = revision
    );
}
