//! A fleet of daemons whose retry budgets are driven on a virtual clock, without a network.
//!
//! Endpoints turn away all that they are sent, so that each daemon retries whenever its budget gives one. Requests and
//! retries are counted over the fleet from outside, and compared with what the operators allow.

use crate::support::settings;
use bridgevane_gateway::{GatewaySettings, RetryBudgets, RetryRounding};
use bridgevane_types::{DurationMs, ServiceName, Share, TimeMs};
use rand::RngExt;
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::ops::Range;

/// One step of the virtual clock.
pub const STEP_MS: u64 = 100;
/// The window of the budget.
pub const WINDOW_MS: u64 = 10_000;
/// Steps of one window.
const WINDOW_STEPS: usize = (WINDOW_MS / STEP_MS) as usize;
/// Retries for each request.
const RATIO: f64 = 0.2;
/// Retries beyond the ratio.
pub const SLACK: u32 = 216;
/// Retries that one daemon asks for in one step, at most: more than any budget gives.
const MAX_ASKED: usize = 1_000;

/// A VM of the fleet.
#[derive(Debug)]
struct Vm {
    /// Its daemon's budgets; none: the daemon is down.
    budgets: Option<RetryBudgets>,
    /// When a new daemon starts.
    starts_at: usize,
    /// The daemon stands still until then.
    frozen_until: usize,
    /// Requests that wait for the daemon while it stands still.
    waiting: u32,
    /// Its part of the traffic.
    weight: f64,
}

/// What the fleet did.
#[derive(Debug, Default)]
pub struct Counted {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

/// A window in which more was retried than allowed.
#[derive(Debug)]
pub struct Excess {
    /// When it begins.
    #[allow(dead_code)]
    pub from_ms: u64,
    /// Retries in it.
    #[allow(dead_code)]
    pub retries: u64,
    /// Retries that are allowed in it.
    #[allow(dead_code)]
    pub allowed: f64,
}

impl Counted {
    /// The window that goes furthest beyond the budget, wherever it begins. Requests count in the window, in the one before
    /// or in the one half a window before, whichever holds the most: a retry comes after its request.
    pub fn worst_excess(&self) -> Option<Excess> {
        let excess = |from: usize| {
            let half = WINDOW_STEPS / 2;
            let begins = [
                Some(from),
                from.checked_sub(half),
                from.checked_sub(2 * half),
            ];
            let requests = begins.into_iter().flatten();
            let requests = requests.map(|from| sum(&self.requests, from)).max();
            let allowed = RATIO * requests.unwrap_or_default() as f64 + f64::from(SLACK);
            let retries = sum(&self.retries, from);
            (retries as f64 > allowed).then_some(Excess {
                from_ms: from as u64 * STEP_MS,
                retries,
                allowed,
            })
        };
        let windows = (0..self.requests.len()).filter_map(excess);
        windows.max_by(|a, b| {
            let beyond = |of: &Excess| of.retries as f64 - of.allowed;
            beyond(a).total_cmp(&beyond(b))
        })
    }

    /// Retries of a span.
    pub fn retries_in(&self, steps: Range<usize>) -> u64 {
        self.retries[steps].iter().sum()
    }

    /// Requests of a span.
    pub fn requests_in(&self, steps: Range<usize>) -> u64 {
        self.requests[steps].iter().sum()
    }
}

/// The sum of one window.
fn sum(counts: &[u64], from: usize) -> u64 {
    counts.iter().skip(from).take(WINDOW_STEPS).sum()
}

/// The fleet.
#[derive(Debug)]
pub struct RetryFleet {
    vms: Vec<Vm>,
    /// The number of daemons that the daemons believe in, as a factor of the true one.
    believed_factor: f64,
    /// The same as a number.
    believed: u32,
    settings: GatewaySettings,
    service: ServiceName,
    rng: Pcg32,
    step: usize,
    counted: Counted,
}

impl RetryFleet {
    /// Daemons that have run for more than a window, each with an equal part of the traffic.
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
            believed_factor: 1.0,
            believed: vms as u32,
            settings,
            service: ServiceName::from("s"),
            rng,
            step: 0,
            counted: Counted::default(),
        };
        for _ in 0..vms {
            let budgets = fleet.start(0);
            fleet.vms.push(Vm {
                budgets: Some(budgets),
                starts_at: 0,
                frozen_until: 0,
                waiting: 0,
                weight: 1.0,
            });
        }
        fleet.step = WINDOW_STEPS;
        fleet.counted.requests = vec![0; WINDOW_STEPS];
        fleet.counted.retries = vec![0; WINDOW_STEPS];
        fleet
    }

    /// A new daemon.
    fn start(&mut self, step: usize) -> RetryBudgets {
        let rounding = RetryRounding(self.rng.random());
        let budgets = RetryBudgets::new(time(step), &self.settings, rounding);
        budgets.share_among(self.believed);
        budgets
    }

    /// Draws uneven parts of the traffic: a few daemons get most of it.
    pub fn draw_weights(&mut self) {
        for vm in &mut self.vms {
            let drawn: f64 = self.rng.random();
            vm.weight = drawn.powi(4) + 0.02;
        }
    }

    /// From now on the daemons believe in a number that is wrong by this factor.
    pub fn mistake_size(&mut self, factor: f64) {
        self.believed_factor = factor;
        self.tell_size();
    }

    /// Tells the daemons how many there are.
    pub fn tell_size(&mut self) {
        self.believed = (self.vms.len() as f64 * self.believed_factor).ceil() as u32;
        for budgets in self.vms.iter().filter_map(|vm| vm.budgets.as_ref()) {
            budgets.share_among(self.believed);
        }
    }

    /// A share of the daemons is killed; new ones start on their VMs after some steps.
    pub fn kill(&mut self, share: f64, down_steps: usize) {
        for vm in &mut self.vms {
            if self.rng.random_bool(share) {
                vm.budgets = None;
                vm.starts_at = self.step + down_steps;
            }
        }
    }

    /// The daemons of these VMs are restarted.
    pub fn restart(&mut self, vms: Range<usize>, down_steps: usize) {
        for vm in &mut self.vms[vms] {
            vm.budgets = None;
            vm.starts_at = self.step + down_steps;
        }
    }

    /// A share of the daemons stands still for some steps.
    pub fn freeze(&mut self, share: f64, steps: usize) {
        for vm in &mut self.vms {
            if self.rng.random_bool(share) {
                vm.frozen_until = self.step + steps;
            }
        }
    }

    /// Daemons on VMs that join; nobody has told the others yet.
    pub fn join(&mut self, vms: usize) {
        for _ in 0..vms {
            let budgets = self.start(self.step);
            self.vms.push(Vm {
                budgets: Some(budgets),
                starts_at: 0,
                frozen_until: 0,
                waiting: 0,
                weight: 1.0,
            });
        }
    }

    /// One step: requests come at a rate of the whole fleet, and all that may be retried is, if `is_retrying`.
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
            if vm.frozen_until > self.step {
                continue;
            }
            for _ in 0..std::mem::take(&mut vm.waiting) {
                budgets.on_request(now, &self.service);
            }
            if is_retrying {
                let granted = |_: &usize| budgets.take(now, &self.service).is_granted;
                retries += (0..MAX_ASKED).take_while(granted).count() as u64;
            }
        }
        self.counted.requests.push(requests);
        self.counted.retries.push(retries);
        self.step += 1;
    }

    fn start_daemons(&mut self) {
        for at in 0..self.vms.len() {
            let is_due = self.vms[at].budgets.is_none() && self.vms[at].starts_at <= self.step;
            if is_due {
                let budgets = self.start(self.step);
                let vm = &mut self.vms[at];
                vm.budgets = Some(budgets);
                vm.frozen_until = 0;
                vm.waiting = 0;
            }
        }
    }

    /// A draw from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// The present step.
    pub fn now(&self) -> usize {
        self.step
    }

    /// What it did so far.
    pub fn counted(&self) -> &Counted {
        &self.counted
    }
}

fn time(step: usize) -> TimeMs {
    TimeMs(step as u64 * STEP_MS)
}
