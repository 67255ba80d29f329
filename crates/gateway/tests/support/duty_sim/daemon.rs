//! A daemon of the simulation: the product's tasks before the simulated platform.

use super::store::{Link, Way, World};
use super::{LEASE, WINDOW};
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::decisions::duties::usage_window::UsageCalendar;
use bridgevane_gateway::{
    Clock, ClockScript, DutySettings, Gateway, GatewaySettings, follow_control_source, hold_duties,
};
use bridgevane_types::{CustomerId, DurationMs};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// How finely a suspension is played.
const STEP: Duration = Duration::from_millis(5);

/// A running daemon; dropped, it is killed.
pub struct Daemon {
    pub vm: String,
    pub gateway: Arc<Gateway>,
    clock: &'static ClockScript,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn settings(vm: &str) -> GatewaySettings {
    GatewaySettings {
        vm: vm.into(),
        // As long as the users': a daemon that is cut off from the store goes on for so long.
        freshness: FreshnessPolicy {
            proof_lifetime_ms: DurationMs(4_700),
            max_stale_age_ms: DurationMs(4_700),
        },
        duties: Some(DutySettings {
            lease_ms: DurationMs(LEASE.as_millis() as u64),
            usage: Some(UsageCalendar {
                width_ms: DurationMs(WINDOW.as_millis() as u64),
                late_ms: DurationMs(10_000),
            }),
            orders_engines: true,
        }),
        ..crate::support::settings()
    }
}

impl Daemon {
    /// Starts a daemon that sees a request of one customer begin every `pause`.
    pub fn start(world: &World, vm: &str, pause: Duration) -> Self {
        let meter = opentelemetry::global::meter("test");
        let script = ClockScript::leaked();
        let names = crate::support::names();
        let gateway = Gateway::with_clock(settings(vm), names, &meter, Clock::scripted(script));
        let way = Way {
            world: world.clone(),
            vm: vm.to_owned(),
        };
        let counting = gateway.clone();
        let tasks = vec![
            tokio::spawn(follow_control_source(gateway.clone(), way.clone())),
            tokio::spawn(hold_duties(gateway.clone(), way.clone(), way)),
            tokio::spawn(async move {
                let customer = CustomerId::from("c");
                loop {
                    sleep(pause).await;
                    let now = counting.clock.now();
                    counting.duty_book.on_request_began(now, &customer);
                }
            }),
        ];
        Self {
            vm: vm.to_owned(),
            clock: script,
            gateway,
            tasks,
        }
    }

    /// Its VM is suspended for so long: nothing of it gets through, and its steady clock stands still.
    pub async fn suspend(&self, world: &World, time: Duration) {
        world.link(&self.vm, Link::suspended());
        let end = Instant::now() + time;
        while Instant::now() < end {
            sleep(STEP).await;
            self.clock.stand_still(DurationMs(STEP.as_millis() as u64));
        }
        world.link(&self.vm, Link::default());
    }
}
