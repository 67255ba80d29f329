//! A daemon of the simulation: the product's tasks before the simulated platform.

use super::store::{Way, World};
use super::{LEASE, WINDOW};
use bridgevane_gateway::decisions::admission::freshness::FreshnessPolicy;
use bridgevane_gateway::decisions::duties::usage_window::UsageCalendar;
use bridgevane_gateway::{
    DutySettings, Gateway, GatewaySettings, follow_control_source, hold_duties,
};
use bridgevane_types::{CustomerId, DurationMs};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// A running daemon; dropped, it is killed.
pub struct Daemon {
    pub vm: String,
    pub gateway: Arc<Gateway>,
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
        let gateway = Gateway::new(settings(vm), crate::support::names(), &meter);
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
            gateway,
            tasks,
        }
    }
}
