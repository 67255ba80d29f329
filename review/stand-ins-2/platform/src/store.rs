//! The platform's metadata store, as PROTOCOL.md describes it: keys with revisions, ranges in pages,
//! watches, leases and conditional writes.

use crate::http::{self, Answer, Request};
use crate::json::{base64, field, number, objects};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The most items on a page of a range.
const PAGE_ITEMS: usize = 500;
/// The most bytes of values on a page of a range, in base64; one item may be longer.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Item {
    key: String,
    /// The value in base64; `None` if the key was removed.
    value: Option<Arc<str>>,
    revision: u64,
    made: u64,
    lease: u64,
}

impl Item {
    fn json(&self) -> String {
        let Item {
            key,
            revision,
            made,
            lease,
            ..
        } = self;
        match &self.value {
            Some(value) => format!(
                r#"{{"key":"{key}","value":"{value}","revision":{revision},"made":{made},"lease":{lease}}}"#
            ),
            None => format!(r#"{{"key":"{key}","revision":{revision},"gone":true}}"#),
        }
    }
}

#[derive(Debug)]
struct Lease {
    ends_at: Instant,
    ttl_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    is_silent: bool,
}

impl Inner {
    /// Writes or removes a key at the current revision.
    fn write(&mut self, key: &str, value: Option<Arc<str>>, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision,
            made,
            lease,
        };
        if item.value.is_some() {
            self.items.insert(key.to_owned(), item.clone());
        } else {
            self.items.remove(key);
        }
        self.history.push(item);
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let keys = self.items.values().filter(|item| item.lease == lease);
        let keys: Vec<String> = keys.map(|item| item.key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.write(&key, None, 0);
        }
        existed
    }

    fn end_expired(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("a bound listener"),
            inner: Arc::default(),
        };
        let served = store.clone();
        http::serve(listener, move |request| served.answer(&request));
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().expect("no panic under this lock")
    }

    /// Writes a key as the operator, a worker or another writer.
    pub fn put(&self, key: &str, value: &[u8]) {
        let value = base64(value);
        let mut inner = self.lock();
        inner.revision += 1;
        inner.write(key, Some(value.into()), 0);
        self.inner.1.notify_all();
    }

    /// Lets the store answer no call until it is set to false again; calls that came meanwhile are
    /// answered then.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.inner.1.notify_all();
    }

    fn wait_while_silent(&self) {
        let inner = self.lock();
        let waited = self.inner.1.wait_while(inner, |inner| inner.is_silent);
        drop(waited.expect("no panic under this lock"));
    }

    fn answer(&self, request: &Request) -> Answer {
        self.wait_while_silent();
        let answer = self.answer_now(request);
        self.wait_while_silent();
        answer
    }

    fn answer_now(&self, request: &Request) -> Answer {
        self.lock().end_expired();
        let body = String::from_utf8_lossy(&request.body);
        let path = request.path();
        let last = path.rsplit('/').next().unwrap_or("");
        let (status, body) = match (request.method.as_str(), path) {
            ("GET", "/kv-key") => self.key(&request.parameter("key")),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-lease") => self.grant(number(&body, "ttl_ms")),
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(last),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => self.end(last),
            _ => (404, "{}".to_owned()),
        };
        Answer::new(status, body).with("Content-Type", "application/json")
    }

    fn key(&self, key: &str) -> (u16, String) {
        let inner = self.lock();
        match inner.items.get(key) {
            Some(item) => (200, item.json()),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("pathPrefix");
        let after = request.parameter("sinceRev");
        let inner = self.lock();
        let found = inner.items.values();
        let mut found = found.filter(|item| item.key.starts_with(&prefix) && item.key > after);
        let mut page: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for item in found.by_ref() {
            let length = item.value.as_ref().map_or(0, |value| value.len());
            if !page.is_empty() && (page.len() >= PAGE_ITEMS || bytes + length > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += length;
            page.push(item.json());
        }
        let at = inner.revision;
        let items = page.join(",");
        (
            200,
            format!(r#"{{"items":[{items}],"more":{more},"at":{at}}}"#),
        )
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("pathPrefix");
        let since = request.parameter("sinceRev").parse().unwrap_or(0);
        let wait_ms = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut inner = self.lock();
        loop {
            let new = inner.history.iter();
            let new = new.filter(|item| item.revision > since && item.key.starts_with(&prefix));
            let events: Vec<String> = new.map(Item::json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (at, events) = (inner.revision, events.join(","));
                return (200, format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            let waited = self.inner.1.wait_timeout(inner, left);
            inner = waited.expect("no panic under this lock").0;
            inner.end_expired();
        }
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let mut inner = self.lock();
        inner.last_lease += 1;
        let lease = inner.last_lease;
        let ends_at = Instant::now() + Duration::from_millis(ttl_ms);
        inner.leases.insert(lease, Lease { ends_at, ttl_ms });
        (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
    }

    fn keep(&self, lease: &str) -> (u16, String) {
        let mut inner = self.lock();
        let lease = lease
            .parse()
            .ok()
            .and_then(|id: u64| inner.leases.get_mut(&id));
        let Some(lease) = lease else {
            return (404, "{}".to_owned());
        };
        lease.ends_at = Instant::now() + Duration::from_millis(lease.ttl_ms);
        (200, format!(r#"{{"ttl_ms":{}}}"#, lease.ttl_ms))
    }

    fn end(&self, lease: &str) -> (u16, String) {
        let mut inner = self.lock();
        let existed = lease.parse().is_ok_and(|lease| inner.end_lease(lease));
        self.inner.1.notify_all();
        (if existed { 200 } else { 404 }, "{}".to_owned())
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let mut inner = self.lock();
        for expected in objects(body, "expectRev") {
            let item = inner.items.get(field(expected, "key"));
            let revision = item.map_or(0, |item| item.revision);
            if revision != number(expected, "revision") {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        let puts = objects(body, "put");
        let lacks_lease = |put: &&str| {
            let lease = number(put, "lease");
            lease != 0 && !inner.leases.contains_key(&lease)
        };
        if puts.iter().any(lacks_lease) {
            return (404, "{}".to_owned());
        }
        inner.revision += 1;
        for put in puts {
            let value = Some(Arc::from(field(put, "value")));
            inner.write(field(put, "key"), value, number(put, "lease"));
        }
        self.inner.1.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, inner.revision))
    }
}
