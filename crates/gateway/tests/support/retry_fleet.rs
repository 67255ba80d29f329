//! A simulated fleet of daemons whose retry budgets run on a virtual clock, without a network.
//!
//! Endpoints reject all requests, so that each daemon retries whenever its budget allows it.
//! Requests and retries are counted over the whole fleet and compared with what the operators
//! allow.

use crate::support::settings;
use bridgevane_gateway::{GatewaySettings, RetryBudgets, RetryRounding};
use bridgevane_types::{DurationMs, ServiceName, Share, TimeMs};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::ops::Range;

/// The length of a step of the virtual clock.
pub const STEP_MS: u64 = 100;
/// The length of the window of the budget.
pub const WINDOW_MS: u64 = 10_000;
/// The number of steps of one window.
const WINDOW_STEPS: usize = (WINDOW_MS / STEP_MS) as usize;
/// The number of retries for each request.
const RATIO: f64 = 0.2;
/// The number of retries beyond the ratio.
pub const SLACK: u32 = 216;
/// The maximum number of retries that one daemon requests in one step: more than any budget allows.
const MAX_RETRIES_PER_STEP: usize = 1_000;

/// A VM of the fleet.
#[derive(Debug)]
struct Vm {
    /// The budgets of its daemon; `None` while the daemon is down.
    budgets: Option<RetryBudgets>,
    /// When a new daemon starts.
    starts_at: usize,
    /// The step until which the daemon is paused.
    paused_until: usize,
    /// The number of requests that wait while the daemon is paused.
    waiting: u32,
    /// Its share of the traffic.
    weight: f64,
}

/// The requests and retries of the fleet in each step.
#[derive(Debug, Default)]
pub struct FleetCounts {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

/// A window with more retries than allowed.
#[derive(Debug)]
pub struct Excess {
    /// When the window begins.
    #[allow(dead_code)]
    pub from_ms: u64,
    /// The number of retries in it.
    #[allow(dead_code)]
    pub retries: u64,
    /// The number of retries that are allowed in it.
    #[allow(dead_code)]
    pub allowed: f64,
}

impl FleetCounts {
    /// Returns the window that exceeds the budget the most, wherever it begins. The allowed retries
    /// follow from the requests in the window, in the one before or in the one half a window
    /// before, whichever has the most, since a retry comes after its request.
    pub fn worst_excess(&self) -> Option<Excess> {
        let excess = |from: usize| {
            let half = WINDOW_STEPS / 2;
            let starts = [
                Some(from),
                from.checked_sub(half),
                from.checked_sub(2 * half),
            ];
            let requests = starts.into_iter().flatten();
            let requests = requests.map(|from| window_sum(&self.requests, from)).max();
            let allowed = RATIO * requests.unwrap_or_default() as f64 + f64::from(SLACK);
            let retries = window_sum(&self.retries, from);
            (retries as f64 > allowed).then_some(Excess {
                from_ms: from as u64 * STEP_MS,
                retries,
                allowed,
            })
        };
        let windows = (0..self.requests.len()).filter_map(excess);
        windows.max_by(|a, b| {
            let beyond = |excess: &Excess| excess.retries as f64 - excess.allowed;
            beyond(a).total_cmp(&beyond(b))
        })
    }

    /// Returns the number of retries in a range of steps.
    pub fn retries_in(&self, steps: Range<usize>) -> u64 {
        self.retries[steps].iter().sum()
    }

    /// Returns the number of requests in a range of steps.
    pub fn requests_in(&self, steps: Range<usize>) -> u64 {
        self.requests[steps].iter().sum()
    }
}

/// Returns the sum of one window.
fn window_sum(counts: &[u64], from: usize) -> u64 {
    counts.iter().skip(from).take(WINDOW_STEPS).sum()
}

/// The simulated fleet.
#[derive(Debug)]
pub struct RetryFleet {
    vms: Vec<Vm>,
    /// The number of daemons that each daemon assumes, as a factor of the true one.
    assumed_factor: f64,
    /// The number of daemons that each daemon assumes.
    assumed_daemons: u32,
    settings: GatewaySettings,
    service: ServiceName,
    rng: Pcg32,
    step: usize,
    counts: FleetCounts,
}

impl RetryFleet {
    /// Creates daemons that have run for more than a window, each with an equal share of the
    /// traffic.
    pub fn new(vms: usize, rng: Pcg32) -> Self {
        let seed = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let settings = GatewaySettings {
            retry_ratio: Share(RATIO),
            retry_slack: SLACK,
            retry_window_ms: DurationMs(WINDOW_MS),
            peer_address: Some(seed),
            seed_addresses: vec![seed],
            ..settings()
        };
        let mut fleet = Self {
            vms: Vec::new(),
            assumed_factor: 1.0,
            assumed_daemons: vms as u32,
            settings,
            service: ServiceName::from("s"),
            rng,
            step: 0,
            counts: FleetCounts::default(),
        };
        for _ in 0..vms {
            let budgets = fleet.start(0);
            fleet.vms.push(Vm {
                budgets: Some(budgets),
                starts_at: 0,
                paused_until: 0,
                waiting: 0,
                weight: 1.0,
            });
        }
        fleet.step = WINDOW_STEPS;
        fleet.counts.requests = vec![0; WINDOW_STEPS];
        fleet.counts.retries = vec![0; WINDOW_STEPS];
        fleet
    }

    /// Starts a daemon.
    fn start(&mut self, step: usize) -> RetryBudgets {
        let rounding = RetryRounding(self.rng.random());
        let budgets = RetryBudgets::new(time(step), &self.settings, rounding);
        budgets.set_daemon_count(self.assumed_daemons);
        budgets
    }

    /// Draws uneven shares of the traffic: a few daemons get most of it.
    pub fn draw_weights(&mut self) {
        for vm in &mut self.vms {
            let drawn: f64 = self.rng.random();
            vm.weight = drawn.powi(4) + 0.02;
        }
    }

    /// Makes the daemons assume a number of daemons that is wrong by `factor` from now on.
    pub fn misreport_size(&mut self, factor: f64) {
        self.assumed_factor = factor;
        self.report_size();
    }

    /// Reports the number of daemons to the daemons.
    pub fn report_size(&mut self) {
        self.assumed_daemons = (self.vms.len() as f64 * self.assumed_factor).ceil() as u32;
        for budgets in self.vms.iter().filter_map(|vm| vm.budgets.as_ref()) {
            budgets.set_daemon_count(self.assumed_daemons);
        }
    }

    /// Kills a share of the daemons; new ones start on their VMs after `down_steps`.
    pub fn kill(&mut self, share: f64, down_steps: usize) {
        for vm in &mut self.vms {
            if self.rng.random_bool(share) {
                vm.budgets = None;
                vm.starts_at = self.step + down_steps;
            }
        }
    }

    /// Restarts the daemons of these VMs.
    pub fn restart(&mut self, vms: Range<usize>, down_steps: usize) {
        for vm in &mut self.vms[vms] {
            vm.budgets = None;
            vm.starts_at = self.step + down_steps;
        }
    }

    /// Pauses a share of the daemons for some steps.
    pub fn pause(&mut self, share: f64, steps: usize) {
        for vm in &mut self.vms {
            if self.rng.random_bool(share) {
                vm.paused_until = self.step + steps;
            }
        }
    }

    /// Adds daemons on new VMs; the other daemons don't know of them yet.
    pub fn join(&mut self, vms: usize) {
        for _ in 0..vms {
            let budgets = self.start(self.step);
            self.vms.push(Vm {
                budgets: Some(budgets),
                starts_at: 0,
                paused_until: 0,
                waiting: 0,
                weight: 1.0,
            });
        }
    }

    /// Runs one step: requests arrive at a rate of the whole fleet, and all that may be retried
    /// are, if `is_retrying`.
    pub fn step(&mut self, requests_per_s: f64, is_retrying: bool) {
        let now = time(self.step);
        self.start_daemons();
        let is_up = |vm: &&Vm| vm.budgets.is_some();
        let weights: f64 = self.vms.iter().filter(is_up).map(|vm| vm.weight).sum();
        let expected = requests_per_s * STEP_MS as f64 / 1_000.0;
        let (mut requests, mut retries) = (0, 0);
        for vm in &mut self.vms {
            let Some(budgets) = &vm.budgets else {
                continue;
            };
            let part = expected * vm.weight / weights;
            let extra = u32::from(self.rng.random_bool(part.fract()));
            let sent = part as u32 + extra;
            requests += u64::from(sent);
            vm.waiting += sent;
            if vm.paused_until > self.step {
                continue;
            }
            for _ in 0..std::mem::take(&mut vm.waiting) {
                budgets.on_request(now, &self.service);
            }
            if is_retrying {
                let granted = |_: &usize| budgets.withdraw(now, &self.service).is_granted;
                retries += (0..MAX_RETRIES_PER_STEP).take_while(granted).count() as u64;
            }
        }
        self.counts.requests.push(requests);
        self.counts.retries.push(retries);
        self.step += 1;
    }

    fn start_daemons(&mut self) {
        for at in 0..self.vms.len() {
            let is_due = self.vms[at].budgets.is_none() && self.vms[at].starts_at <= self.step;
            if is_due {
                let budgets = self.start(self.step);
                let vm = &mut self.vms[at];
                vm.budgets = Some(budgets);
                vm.paused_until = 0;
                vm.waiting = 0;
            }
        }
    }

    /// Returns a random number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns the current step.
    pub fn now(&self) -> usize {
        self.step
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> &FleetCounts {
        &self.counts
    }
}

fn time(step: usize) -> TimeMs {
    TimeMs(step as u64 * STEP_MS)
}
