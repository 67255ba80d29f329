//! Starts gateways with the command of the deploy file, and asks for their memory.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The settings of the site `ravaton-lessons`, by the names of the gaps in the deploy file.
const BOUNDS: [(&str, &str); 10] = [
    ("bounds.revokeMs", "5000"),
    ("bounds.strictRevoke", "true"),
    ("bounds.drainMs", "2000"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.graceS", "8"),
    ("bounds.retryRatio", "0.2"),
    ("bounds.retrySlack", "52"),
    ("bounds.retryWindowS", "10"),
    ("bounds.leaseMs", ""),
    ("limits.memoryMb", "110"),
];

/// The memory of one VM of that site, in MB.
pub const MEMORY_MB: f64 = 110.0;

/// The zones of that site.
pub const ZONES: [&str; 3] = ["port-louis", "curepipe", "rose-hill"];

/// Returns a free address on loopback.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound listener")
}

/// A gateway on one VM, which may run or not.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    zone: &'static str,
    log: PathBuf,
    process: Option<Child>,
}

impl Gateway {
    /// Describes the gateway of a zone's first VM; its log is appended to a file in `folder`.
    pub fn new(zone: &'static str, folder: &Path) -> Self {
        let name = format!("edge-{zone}-1");
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            front: free_address(),
            ready: free_address(),
            control: free_address(),
            zone,
            process: None,
        }
    }

    /// Starts the process as the deploy file says.
    pub fn start(&mut self, store: SocketAddr, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let mut gaps: BTreeMap<&str, String> = BTreeMap::new();
        gaps.extend(BOUNDS.map(|(name, value)| (name, value.to_owned())));
        gaps.insert("nodeName", self.name.clone());
        gaps.insert("zone", self.zone.to_owned());
        gaps.insert("listen.front", self.front.to_string());
        gaps.insert("listen.ready", self.ready.to_string());
        gaps.insert("listen.control", self.control.to_string());
        gaps.insert("provider.address", store.to_string());
        let run = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = run.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.expect("a command").trim_end_matches('"');
        let words: Vec<String> = run.split(' ').map(|word| filled(word, &gaps)).collect();
        let regions: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("{zone}=mu-central"))
            .collect();
        let mut log = File::options();
        let log = log
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let mut command = Command::new(&words[0]);
        command
            .args(&words[1..])
            .env_clear()
            .env("BRIDGEVANE_SEED_ADDRESSES", seeds.join(","))
            .env("BRIDGEVANE_REGIONS", regions.join(","))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log);
        self.process = Some(command.spawn().expect("the build of the deploy file"));
    }

    /// Returns the process's own memory in MB, without the pages of its program file; `None` if it
    /// doesn't run.
    pub fn memory_mb(&mut self) -> Option<f64> {
        let process = self.process.as_mut()?;
        if !matches!(process.try_wait(), Ok(None)) {
            return None;
        }
        let status = fs::read_to_string(format!("/proc/{}/status", process.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes / 1024.0)
    }

    /// Kills the process, as the platform does with one above its memory.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // It may have ended by itself.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills the gaps `{{name}}` of a word.
fn filled(word: &str, gaps: &BTreeMap<&str, String>) -> String {
    let Some((name, gap)) = word.split_once("{{").and_then(|(before, rest)| {
        let (name, after) = rest.split_once("}}")?;
        Some((name, (before, after)))
    }) else {
        return word.to_owned();
    };
    let value = gaps.get(name).map_or("", String::as_str);
    format!("{}{value}{}", gap.0, gap.1)
}
