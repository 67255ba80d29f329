//! The platform stand-in: key-value service, VM list and weight store in memory.

use crate::fault::StandinFault;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use bridgevane_adapters::{KvCas, KvLease, KvRevision, KvValue, LeaseId, VmEntry};
use bridgevane_types::{DurationMs, ModelName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The rates that the platform admits; calls above them are refused.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// The number of writes per second.
    pub writes_per_s: u32,
    /// The number of reads per second; a watch counts as one read.
    pub reads_per_s: u32,
    /// The number of tickets of the weight store per second.
    pub tickets_per_s: u32,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            writes_per_s: 100,
            reads_per_s: 2_000,
            tickets_per_s: 1,
        }
    }
}

struct Lease {
    ttl_ms: DurationMs,
    ends_at: Instant,
}

#[derive(Clone)]
struct Stored {
    value: KvValue,
    lease: Option<LeaseId>,
}

/// Counts the calls of the current second against a limit.
struct Rate {
    limit: u32,
    second: u64,
    used: u32,
    peak_use: u32,
}

impl Rate {
    fn new(limit: u32) -> Self {
        Self {
            limit,
            second: 0,
            used: 0,
            peak_use: 0,
        }
    }

    /// Counts a call; returns whether it is within the limit.
    fn count_call(&mut self, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.used = 0;
        }
        self.used += 1;
        self.peak_use = self.peak_use.max(self.used);
        self.used <= self.limit
    }
}

/// What the platform had at one moment, from which it can come back.
#[derive(Clone)]
struct PlatformCopy {
    keys: HashMap<String, Stored>,
    next_lease: u64,
    revision: KvRevision,
}

struct Platform {
    /// The latest copy.
    copy: Option<PlatformCopy>,
    keys: HashMap<String, Stored>,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
    revision: KvRevision,
    vms: Vec<VmEntry>,
    fault: StandinFault,
    started: Instant,
    writes: Rate,
    reads: Rate,
    tickets: Rate,
}

/// The platform stand-in; clones share one state.
#[derive(Clone)]
pub struct PlatformStandin {
    platform: Arc<Mutex<Platform>>,
    changed: Arc<Notify>,
}

/// The number of calls in the busiest second, per kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUse {
    /// The number of writes, including refused ones, in the busiest second.
    pub most_writes_per_s: u32,
    /// The number of reads, including refused ones, in the busiest second.
    pub most_reads_per_s: u32,
}

#[derive(Deserialize)]
struct KeyBody {
    key: String,
}

#[derive(Deserialize)]
struct WatchBody {
    key: String,
    after: KvRevision,
    wait_ms: DurationMs,
}

#[derive(Deserialize)]
struct GrantBody {
    ttl_ms: DurationMs,
}

#[derive(Deserialize)]
struct RenewBody {
    id: LeaseId,
}

#[derive(Deserialize)]
struct TicketBody {
    model: ModelName,
    model_version: u64,
}

/// The rate against which a call counts.
#[derive(Clone, Copy, PartialEq)]
enum CallKind {
    Write,
    Read,
    Ticket,
}

impl PlatformStandin {
    /// Creates an empty platform.
    pub fn new(settings: PlatformSettings) -> Self {
        let platform = Platform {
            copy: None,
            keys: HashMap::new(),
            leases: HashMap::new(),
            next_lease: 0,
            revision: KvRevision(0),
            vms: Vec::new(),
            fault: StandinFault::default(),
            started: Instant::now(),
            writes: Rate::new(settings.writes_per_s),
            reads: Rate::new(settings.reads_per_s),
            tickets: Rate::new(settings.tickets_per_s),
        };
        Self {
            platform: Arc::new(Mutex::new(platform)),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Returns the stand-in's routes.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/kv/get", post(get))
            .route("/kv/cas", post(compare_and_swap))
            .route("/kv/watch", post(watch))
            .route("/kv/lease/grant", post(grant))
            .route("/kv/lease/renew", post(renew))
            .route("/vms", post(vms))
            .route("/weights/ticket", post(ticket))
            .route("/standin/fault", post(set_fault))
            .route("/standin/vms", post(set_vms))
            .route("/standin/use", post(read_use))
            .route("/standin/copy", post(make_copy))
            .route("/standin/restore", post(restore))
            .with_state(self.clone())
    }

    /// Writes a key unconditionally, as an operator's initial setup does.
    pub fn put(&self, key: &str, text: &str) -> KvRevision {
        let mut platform = self.lock();
        platform.revision.0 += 1;
        let value = KvValue {
            text: text.to_owned(),
            revision: platform.revision,
        };
        platform
            .keys
            .insert(key.to_owned(), Stored { value, lease: None });
        self.changed.notify_waiters();
        platform.revision
    }

    /// Reads a key, bypassing rates and faults.
    pub fn read(&self, key: &str) -> Option<KvValue> {
        self.lock().keys.get(key).map(|stored| stored.value.clone())
    }

    /// Sets the faults; replaces those set before.
    pub fn set_fault(&self, fault: StandinFault) {
        self.lock().fault = fault;
        self.changed.notify_waiters();
    }

    /// Sets the VM list.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock().vms = vms;
    }

    /// Makes a copy from which the platform can come back.
    pub fn make_copy(&self) {
        let mut platform = self.lock();
        platform.copy = Some(PlatformCopy {
            keys: platform.keys.clone(),
            next_lease: platform.next_lease,
            revision: platform.revision,
        });
    }

    /// Takes the place of the platform's state with its copy: what was written since is gone, all
    /// leases too, and revisions and lease numbers are given out again.
    pub fn restore(&self) {
        let mut platform = self.lock();
        let Some(copy) = platform.copy.clone() else {
            return;
        };
        platform.keys = copy.keys;
        platform.keys.retain(|_, stored| stored.lease.is_none());
        platform.leases.clear();
        platform.next_lease = copy.next_lease;
        platform.revision = copy.revision;
        drop(platform);
        self.changed.notify_waiters();
    }

    /// Returns the number of calls in the busiest second so far.
    pub fn peak_use(&self) -> PlatformUse {
        let platform = self.lock();
        PlatformUse {
            most_writes_per_s: platform.writes.peak_use,
            most_reads_per_s: platform.reads.peak_use,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Platform> {
        self.platform.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies rates and faults to it; an error is the refusal to send.
    async fn admit(&self, kind: CallKind) -> Result<(), Response> {
        let delay_ms = {
            let mut platform = self.lock();
            let second = platform.started.elapsed().as_secs();
            let is_within = match kind {
                CallKind::Write => platform.writes.count_call(second),
                CallKind::Read => platform.reads.count_call(second),
                CallKind::Ticket => platform.tickets.count_call(second),
            };
            if platform.fault.is_down {
                return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
            }
            if !is_within || StandinFault::consume_one(&mut platform.fault.refuse_by_rate) {
                let headers = [("retry-after-ms", "1000")];
                return Err((StatusCode::TOO_MANY_REQUESTS, headers).into_response());
            }
            platform.expire_leases();
            platform.fault.delay_ms
        };
        if delay_ms.0 > 0 {
            tokio::time::sleep(delay_ms.as_std()).await;
        }
        Ok(())
    }
}

impl Platform {
    /// Removes expired leases together with their keys.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.ends_at > now);
        let leases = &self.leases;
        self.keys
            .retain(|_, stored| stored.lease.is_none_or(|id| leases.contains_key(&id)));
    }

    /// Writes or removes a key if its revision is the expected one.
    fn swap(&mut self, cas: KvCas) -> Result<KvRevision, StatusCode> {
        let current = self.keys.get(&cas.key).map(|stored| stored.value.revision);
        if current != cas.expected {
            return Err(StatusCode::CONFLICT);
        }
        if cas.lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(StatusCode::GONE);
        }
        self.revision.0 += 1;
        match cas.text {
            Some(text) => {
                let value = KvValue {
                    text,
                    revision: self.revision,
                };
                let lease = cas.lease;
                self.keys.insert(cas.key, Stored { value, lease });
            }
            None => {
                self.keys.remove(&cas.key);
            }
        }
        Ok(self.revision)
    }
}

async fn get(
    State(standin): State<PlatformStandin>,
    Json(body): Json<KeyBody>,
) -> Result<Json<Option<KvValue>>, Response> {
    standin.admit(CallKind::Read).await?;
    Ok(Json(standin.read(&body.key)))
}

async fn compare_and_swap(
    State(standin): State<PlatformStandin>,
    Json(cas): Json<KvCas>,
) -> Result<Json<KvRevision>, Response> {
    standin.admit(CallKind::Write).await?;
    let (result, is_answer_lost) = {
        let mut platform = standin.lock();
        let result = platform.swap(cas);
        let is_lost = result.is_ok() && StandinFault::consume_one(&mut platform.fault.lose_answers);
        (result, is_lost)
    };
    standin.changed.notify_waiters();
    if is_answer_lost {
        return Err(StatusCode::INTERNAL_SERVER_ERROR.into_response());
    }
    result.map(Json).map_err(IntoResponse::into_response)
}

async fn watch(
    State(standin): State<PlatformStandin>,
    Json(body): Json<WatchBody>,
) -> Result<Json<Option<KvValue>>, Response> {
    standin.admit(CallKind::Read).await?;
    let deadline = Instant::now() + Duration::from_millis(body.wait_ms.0);
    loop {
        let changed = standin.changed.notified();
        if standin.lock().fault.is_down {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        let newer = standin
            .read(&body.key)
            .filter(|value| value.revision > body.after);
        if newer.is_some() {
            return Ok(Json(newer));
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return Ok(Json(None));
        }
    }
}

async fn grant(
    State(standin): State<PlatformStandin>,
    Json(body): Json<GrantBody>,
) -> Result<Json<KvLease>, Response> {
    standin.admit(CallKind::Write).await?;
    let mut platform = standin.lock();
    platform.next_lease += 1;
    let id = LeaseId(platform.next_lease);
    let lease = Lease {
        ttl_ms: body.ttl_ms,
        ends_at: Instant::now() + body.ttl_ms.as_std(),
    };
    platform.leases.insert(id, lease);
    let ttl_ms = body.ttl_ms;
    Ok(Json(KvLease { id, ttl_ms }))
}

async fn renew(
    State(standin): State<PlatformStandin>,
    Json(body): Json<RenewBody>,
) -> Result<Json<KvLease>, Response> {
    standin.admit(CallKind::Write).await?;
    let mut platform = standin.lock();
    let Some(lease) = platform.leases.get_mut(&body.id) else {
        return Err(StatusCode::GONE.into_response());
    };
    lease.ends_at = Instant::now() + lease.ttl_ms.as_std();
    let ttl_ms = lease.ttl_ms;
    Ok(Json(KvLease {
        id: body.id,
        ttl_ms,
    }))
}

async fn vms(
    State(standin): State<PlatformStandin>,
    Json(()): Json<()>,
) -> Result<Json<Vec<VmEntry>>, Response> {
    standin.admit(CallKind::Read).await?;
    let vms = standin.lock().vms.clone();
    Ok(Json(vms))
}

async fn ticket(
    State(standin): State<PlatformStandin>,
    Json(body): Json<TicketBody>,
) -> Result<Json<String>, Response> {
    standin.admit(CallKind::Ticket).await?;
    Ok(Json(format!("{}@{}", body.model, body.model_version)))
}

async fn set_fault(State(standin): State<PlatformStandin>, Json(fault): Json<StandinFault>) {
    standin.set_fault(fault);
}

async fn make_copy(State(standin): State<PlatformStandin>) {
    standin.make_copy();
}

async fn restore(State(standin): State<PlatformStandin>) {
    standin.restore();
}

async fn set_vms(State(standin): State<PlatformStandin>, Json(vms): Json<Vec<VmEntry>>) {
    standin.set_vms(vms);
}

async fn read_use(State(standin): State<PlatformStandin>) -> Json<PlatformUse> {
    Json(standin.peak_use())
}
