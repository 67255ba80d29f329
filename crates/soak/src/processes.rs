//! Daemons as child processes, signalled by their process ids.

use crate::checks::KEY_REMOVAL_BOUND;
use crate::copy_checks::{LATE, LEASE, WINDOW};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};

/// The times within which daemons have changes in force, and their memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonBounds {
    /// For removed keys.
    pub(crate) key_removal: Duration,
    /// For other changes; `None`: the default of the program.
    pub(crate) config_apply: Option<Duration>,
    /// For endpoints that leave; `None`: the default of the program.
    pub(crate) drain: Option<Duration>,
    /// The memory of the process in megabytes; `None`: the default of the program.
    pub(crate) memory_mb: Option<u64>,
}

impl Default for DaemonBounds {
    fn default() -> Self {
        Self {
            key_removal: KEY_REMOVAL_BOUND,
            config_apply: None,
            drain: None,
            memory_mb: None,
        }
    }
}

/// The settings with which a daemon is started.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSettings {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) clients: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// The address of this daemon's own proxy of the store.
    pub(crate) store: SocketAddr,
    /// The peer addresses through which it joins the other daemons.
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) bounds: DaemonBounds,
    /// Whether it continues to serve during an outage of the store.
    pub(crate) serves_stale: bool,
    /// The address of the platform's interface for duties, if the fleet has any.
    pub(crate) duties: Option<SocketAddr>,
}

/// A running daemon; its process is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) settings: DaemonSettings,
    program: PathBuf,
    logs: PathBuf,
    starts: usize,
    process: Child,
}

impl DaemonProcess {
    /// Starts the daemon; each start logs to a file of its own.
    pub(crate) fn start(
        program: &Path,
        logs: &Path,
        settings: DaemonSettings,
    ) -> Result<Self, std::io::Error> {
        let process = spawn(program, logs, &settings, 0)?;
        Ok(Self {
            settings,
            program: program.to_owned(),
            logs: logs.to_owned(),
            starts: 1,
            process,
        })
    }

    /// Starts the daemon again at the same addresses.
    pub(crate) fn restart(&mut self) -> Result<(), std::io::Error> {
        self.process = spawn(&self.program, &self.logs, &self.settings, self.starts)?;
        self.starts += 1;
        Ok(())
    }

    /// Returns the id of the process; `None` if it was waited for.
    pub(crate) fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Sends a signal to the process if it still runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.process.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = id {
            // A process that has just ended can't be signalled; that is no error here.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> Result<bool, std::io::Error> {
        Ok(self.process.try_wait()?.is_some())
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait_for_end(&mut self) -> Result<(), std::io::Error> {
        self.process.wait().await.map(|_| ())
    }
}

fn spawn(
    program: &Path,
    logs: &Path,
    settings: &DaemonSettings,
    start_number: usize,
) -> Result<Child, std::io::Error> {
    let log = File::create(logs.join(format!("{}-{start_number}.log", settings.name)))?;
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    let key_removal_ms = settings.bounds.key_removal.as_millis().to_string();
    let mut command = Command::new(program);
    command
        .arg("gateway")
        .args(["--vm-id", &settings.name])
        .args(["--data-centre", &settings.data_centre])
        .args(["--client-address", &settings.clients.to_string()])
        .args(["--ready-address", &settings.ready.to_string()])
        .args(["--peer-address", &settings.peers.to_string()])
        .args(["--seed-addresses", &seeds.join(",")])
        .args(["--store-address", &settings.store.to_string()])
        .args(["--key-removal-ms", &key_removal_ms])
        .args([
            "--strict-key-removal",
            &(!settings.serves_stale).to_string(),
        ])
        .args(["--stop-s", "6"]);
    if let Some(bound) = settings.bounds.config_apply {
        command.args(["--config-apply-ms", &bound.as_millis().to_string()]);
    }
    if let Some(bound) = settings.bounds.drain {
        command.args(["--drain-ms", &bound.as_millis().to_string()]);
    }
    if let Some(memory_mb) = settings.bounds.memory_mb {
        command.args(["--memory-mb", &memory_mb.to_string()]);
    }
    if let Some(address) = settings.duties {
        add_duties(&mut command, address);
    }
    command
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit())
        // The daemon gets its own process group: if a group becomes orphaned while one of its
        // processes is stopped, the kernel sends SIGHUP to the whole group.
        .process_group(0)
        .kill_on_drop(true)
        .spawn()
}

/// Assigns the duties of usage and of orders for workers.
fn add_duties(command: &mut Command, address: SocketAddr) {
    command
        .args(["--duty-address", &address.to_string()])
        .args(["--duties", "usage_report,autoscale"])
        .args(["--lease-ms", &LEASE.as_millis().to_string()])
        .args(["--usage-window-s", &WINDOW.as_secs().to_string()])
        .args(["--usage-late-s", &LATE.as_secs().to_string()]);
}
