//! Engines of one service that run several software versions, and clients that take streams up.

use super::client::{Client, ClientAnswer, request};
use super::endpoint::{Action, Endpoint, event, last_chunk, stream_head};
use super::source::{ScriptedSource, VersionRecord};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The answer of an engine that didn't run the request.
const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
/// The number of events of a stream.
const EVENTS: u64 = 3;

/// What an engine does after the first event of a stream that it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFirstEvent {
    /// It breaks the stream off.
    BreakOff,
    /// It sends nothing more until the client leaves.
    Stall,
    /// It refuses every other request that begins a stream, and otherwise stalls.
    RefuseFirst,
}

/// Engines of one service, with the software version of each.
pub struct VersionedEngines {
    engines: Vec<(&'static str, Endpoint)>,
    service: &'static str,
    /// The data centre of engines that are added.
    pub data_centre: &'static str,
}

impl VersionedEngines {
    /// Starts an engine of the service "model" for each of `versions` and publishes its record.
    pub async fn start(
        source: &ScriptedSource,
        versions: &[&'static str],
        after_first: AfterFirstEvent,
    ) -> Self {
        let mut engines = Self::none_in("dc-1");
        for version in versions {
            engines.add(source, version, after_first).await;
        }
        engines
    }

    /// Returns no engines yet; those that are added are in this data centre.
    pub fn none_in(data_centre: &'static str) -> Self {
        Self {
            data_centre,
            ..Self::none_of("model")
        }
    }

    /// Returns no engines of a service yet.
    pub fn none_of(service: &'static str) -> Self {
        Self {
            engines: Vec::new(),
            service,
            data_centre: "dc-1",
        }
    }

    /// Starts one more engine and publishes its record.
    pub async fn add(
        &mut self,
        source: &ScriptedSource,
        version: &'static str,
        after_first: AfterFirstEvent,
    ) {
        let engine = Endpoint::start_by_request(move |at, request| {
            if after_first == AfterFirstEvent::RefuseFirst && at % 2 == 0 {
                return vec![Action::Send(NOT_RUN.to_owned())];
            }
            let last = request.header("last-event-id");
            stream_after(last.and_then(|id| id.parse().ok()), after_first)
        })
        .await;
        let id = self.id(self.engines.len());
        source.publish_version(VersionRecord {
            id: &id,
            service: self.service,
            address: engine.address,
            data_centre: self.data_centre,
            version,
        });
        self.engines.push((version, engine));
    }

    fn id(&self, at: usize) -> String {
        format!("{}-{at}", self.service)
    }

    /// Removes the records of all engines of a version.
    pub fn remove(&self, source: &ScriptedSource, version: &str) {
        for (at, (own, _)) in self.engines.iter().enumerate() {
            if *own == version {
                source.remove_endpoint(&self.id(at));
            }
        }
    }

    /// Returns the versions of the engines that got requests with this header value, in no order.
    pub fn versions_with(&self, header: &str, value: &str) -> Vec<&'static str> {
        let mut versions = Vec::new();
        for (version, engine) in &self.engines {
            let received = engine.received.lock().unwrap();
            let matching = received
                .iter()
                .filter(|request| request.header(header).as_deref() == Some(value));
            versions.extend(matching.map(|_| *version));
        }
        versions
    }

    /// Returns the number of streams that were begun at each version.
    pub fn begun(&self) -> HashMap<&'static str, usize> {
        let mut begun = HashMap::new();
        for (version, engine) in &self.engines {
            let received = engine.received.lock().unwrap();
            let new = received
                .iter()
                .filter(|request| request.header("last-event-id").is_none());
            *begun.entry(*version).or_default() += new.count();
        }
        begun
    }
}

/// Returns the actions of an engine for a stream after event `last`; `None` begins it.
fn stream_after(last: Option<u64>, after_first: AfterFirstEvent) -> Vec<Action> {
    let Some(last) = last else {
        let end = match after_first {
            AfterFirstEvent::BreakOff => Action::Close,
            AfterFirstEvent::Stall | AfterFirstEvent::RefuseFirst => Action::Hang,
        };
        return vec![stream_head(), event(1), end];
    };
    let mut actions = vec![stream_head()];
    actions.extend((last + 1..=EVENTS).map(event));
    actions.push(last_chunk());
    actions
}

/// Returns the headers of a prompt that no other stream shares, so that streams spread over engines.
fn prompt(first: &str) -> String {
    format!("x-deadline: 1500\r\nx-parts: shared-{first}:2000,{first}:10\r\n")
}

/// Begins a stream at a daemon and leaves after its first event; returns false if it didn't begin.
pub async fn begin_and_leave(daemon: SocketAddr, id: &str) -> bool {
    begin(daemon, id).await.is_some()
}

/// Begins a stream at a daemon and reads its first event; returns `None` if it didn't begin.
pub async fn begin(daemon: SocketAddr, id: &str) -> Option<Client> {
    let mut client = Client::connect(daemon).await;
    let text = request("POST", "/resume/x", id, &prompt(id), "");
    client.send(&text).await;
    let has_begun = client.read_until("piece 1").await.contains("piece 1");
    has_begun.then_some(client)
}

/// Takes up the stream that the attempt `first` began.
pub async fn take_up(daemon: SocketAddr, id: &str, first: &str) -> ClientAnswer {
    let extra = prompt(first) + &format!("x-resumes: {first}\r\nlast-event-id: 1\r\n");
    let mut client = Client::connect(daemon).await;
    client
        .send(&request("POST", "/resume/x", id, &extra, ""))
        .await;
    client.answer().await.expect("an answer")
}

/// Waits until daemons know a change of the source.
pub async fn wait_for_change() {
    tokio::time::sleep(Duration::from_millis(350)).await;
}
