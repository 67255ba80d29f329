//! One crowd at a time that meets a process, and what happened to the process.
#![allow(dead_code, missing_docs)]

use bridgevane_soak::crowd::{Crowd, Sends, Target, UsageWatch, anonymous_memory};
use tokio::sync::{Mutex, MutexGuard};

/// Tests with a crowd run one at a time: each needs memory and descriptors of this machine.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

/// Waits until no other crowd runs.
pub async fn only_crowd() -> MutexGuard<'static, ()> {
    ONE_CROWD.lock().await
}

/// What happened to a process beside a crowd.
#[derive(Clone, Copy, Debug)]
pub struct CrowdOutcome {
    pub name: &'static str,
    pub peak_memory_mb: u64,
    pub peak_descriptors: usize,
    pub is_running: bool,
    /// Whether an ordinary request was served while the crowd stayed.
    pub is_served_beside: bool,
    /// Whether an ordinary request was served after the crowd had gone.
    pub is_served_afterwards: bool,
}

/// The bounds of a process.
#[derive(Clone, Copy, Debug)]
pub struct UsageBounds {
    pub memory_mb: u64,
    pub descriptors: usize,
}

impl CrowdOutcome {
    pub fn is_within(&self, bounds: UsageBounds) -> bool {
        self.is_running
            && self.is_served_beside
            && self.is_served_afterwards
            && self.peak_memory_mb < bounds.memory_mb
            && self.peak_descriptors < bounds.descriptors
    }
}

/// Lets a crowd meet a process; `count` clients for each of `kinds`.
pub async fn meet(
    process: u32,
    target: &Target,
    name: &'static str,
    kinds: &[Sends],
    count: usize,
) -> CrowdOutcome {
    let usage = UsageWatch::start(process);
    let mut crowd = Crowd::start(target, kinds, count);
    crowd.sent().await;
    let is_served_beside = target.serves().await;
    drop(crowd);
    let is_served_afterwards = target.serves().await;
    let peak = usage.peak();
    let outcome = CrowdOutcome {
        name,
        peak_memory_mb: peak.memory_bytes.div_ceil(1 << 20),
        peak_descriptors: peak.descriptors,
        is_running: anonymous_memory(process) > 0,
        is_served_beside,
        is_served_afterwards,
    };
    eprintln!("{outcome:?}");
    outcome
}
