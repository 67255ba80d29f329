//! Which connections of clients are served, and which one is closed when there is no room.

use bridgevane_client_limits::{ClientConnection, ClientConnections, ClientMemory};
use bridgevane_types::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

const MAX_HEAD: Bytes = Bytes(16 << 10);
/// Enough for many connections.
const PLENTY: Bytes = Bytes(64 << 20);

fn connections(memory: Bytes, max_connections: usize) -> Arc<ClientConnections> {
    ClientConnections::new(ClientMemory::new(memory), max_connections)
}

async fn admit(connections: &Arc<ClientConnections>) -> Option<Arc<ClientConnection>> {
    connections.admit(MAX_HEAD).await.map(Arc::new)
}

/// Serves a connection until it must be closed.
fn serve(connection: &Arc<ClientConnection>) -> tokio::task::JoinHandle<()> {
    let connection = connection.clone();
    tokio::spawn(async move { connection.must_close().await })
}

/// Returns whether a connection has to be closed.
async fn must_close(connection: &ClientConnection) -> bool {
    let closing = connection.must_close();
    timeout(Duration::from_millis(10), closing).await.is_ok()
}

/// Guards against new clients that are turned away because of connections on which nothing is sent.
#[tokio::test(start_paused = true)]
async fn the_connection_that_has_waited_longest_is_closed_for_a_new_one() {
    let connections = connections(PLENTY, 3);
    let first = admit(&connections).await.expect("room");
    let second = admit(&connections).await.expect("room");
    let third = admit(&connections).await.expect("room");
    // A request on the first one ends, so that the second one has waited longest.
    drop(first.begin_request(false));
    let serving = serve(&second);
    drop(second);
    let fourth = admit(&connections).await;
    assert!(fourth.is_some());
    assert!(serving.is_finished());
    assert!(!must_close(&first).await);
    assert!(!must_close(&third).await);
}

/// Guards against requests in progress that are cut for new connections.
#[tokio::test(start_paused = true)]
async fn a_new_connection_is_refused_while_requests_are_in_progress_on_all_others() {
    let connections = connections(PLENTY, 2);
    let first = admit(&connections).await.expect("room");
    let second = admit(&connections).await.expect("room");
    let requests = [first.begin_request(false), second.begin_request(false)];
    assert!(admit(&connections).await.is_none());
    assert!(!must_close(&first).await);
    assert!(!must_close(&second).await);
    drop(requests);
    let serving = serve(&first);
    drop(first);
    assert!(admit(&connections).await.is_some());
    assert!(serving.is_finished());
}

/// Guards against a request that is cut because its head arrived while its connection was chosen to be closed.
#[tokio::test(start_paused = true)]
async fn a_request_that_begins_before_the_connection_is_closed_is_served() {
    let connections = connections(PLENTY, 1);
    let first = admit(&connections).await.expect("room");
    let admitting = connections.clone();
    let second = tokio::spawn(async move { admit(&admitting).await });
    tokio::task::yield_now().await;
    let request = first.begin_request(false);
    assert!(second.await.expect("no panic").is_none());
    assert!(!must_close(&first).await);
    drop(request);
    assert!(!must_close(&first).await);
}

/// Guards against memory of connections that nothing bounds, and against memory that is never given back.
#[tokio::test(start_paused = true)]
async fn connections_use_no_more_than_the_memory_for_clients() {
    let memory = ClientMemory::new(Bytes(1 << 20));
    let connections = ClientConnections::new(memory.clone(), usize::MAX);
    let mut requests = Vec::new();
    while let Some(connection) = admit(&connections).await {
        requests.push(connection.begin_request(false));
        assert!(requests.len() < 1_000, "no bound");
    }
    assert!(requests.len() > 10, "{}", requests.len());
    assert!(memory.held() <= Bytes(1 << 20), "{}", memory.held());
    drop(requests);
    assert_eq!(memory.held(), Bytes(0));
}

/// Guards against forwarded requests that are cut in favour of clients: their daemon has taken them on. Guards
/// also against daemons that are kept out by clients that send nothing.
#[tokio::test(start_paused = true)]
async fn the_connection_of_another_daemon_is_never_closed_for_others() {
    let connections = connections(PLENTY, 1);
    let client = admit(&connections).await.expect("room");
    let serving = serve(&client);
    drop(client);
    let daemon = connections.admit_daemon(MAX_HEAD).await.expect("room");
    assert!(serving.is_finished());
    assert!(admit(&connections).await.is_none());
    assert!(!must_close(&daemon).await);
}
