//! The daemon as a process whose log nobody reads.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::time::Duration;
use support::full_pipe::FullPipe;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a daemon may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a daemon without requests may take to end: there is nothing to wait for.
const MAX_STOP_MS: u64 = 5_000;
/// The interval at which its end is checked.
const CHECK_INTERVAL_MS: u64 = 10;

/// A daemon, which is killed when this is dropped.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        // One that has ended can't be killed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it listens")
}

fn start(callers: SocketAddr, platform: SocketAddr, log: &FullPipe) -> Daemon {
    let child = Command::new(BINARY)
        .args(["serve", "--vm-id", "vm-0", "--data-centre", DATA_CENTRE])
        .args(["--caller-address", &callers.to_string()])
        .args(["--operator-address", "127.0.0.1:0"])
        .args(["--peer-address", "127.0.0.1:0"])
        .args(["--platform-address", &platform.to_string()])
        .env("BRIDGEVANE_PEER_KEY", PEER_KEY)
        .env("BRIDGEVANE_OPERATOR_TOKENS", OPERATOR)
        .stdout(log.as_output())
        .stderr(log.as_output())
        .spawn();
    Daemon(child.expect("the daemon starts"))
}

/// Asks until the daemon answers that it is ready.
async fn wait_until_answering(callers: SocketAddr) {
    while !is_ready(callers).await.unwrap_or(false) {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

async fn is_ready(callers: SocketAddr) -> Result<bool, std::io::Error> {
    let mut stream = TcpStream::connect(callers).await?;
    let text = "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer.contains(" 200 "))
}

/// Guards against a daemon that stands still, and never ends, because nobody reads its log: each line was
/// written by the task that logs it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_whose_log_nobody_reads_serves_and_ends_in_time() {
    let plain = start_standin(&["plain"]);
    let engine = start_standin(&["engine"]);
    let text = configuration(DATA_CENTRE, &[engine.address], &[plain.address]);
    let file = configuration_file("serve_log", &text);
    let platform = start_standin(&["platform", "--config", file.to_str().expect("a text path")]);
    let log = FullPipe::new();
    let callers = free_address();
    let mut daemon = start(callers, platform.address, &log);
    let is_ready = timeout(START_TIMEOUT, wait_until_answering(callers)).await;
    assert!(is_ready.is_ok(), "it isn't ready");
    assert_eq!(chat(callers, "a prompt", 8).await.status, 200);
    let signalled = Command::new("kill")
        .args(["-TERM", &daemon.0.id().to_string()])
        .status();
    assert!(signalled.expect("kill runs").success());
    for _ in 0..MAX_STOP_MS / CHECK_INTERVAL_MS {
        if let Some(status) = daemon.0.try_wait().expect("its state") {
            assert!(status.success(), "{status}");
            return;
        }
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    panic!("it still runs {MAX_STOP_MS} ms after SIGTERM");
}
