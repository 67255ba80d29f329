//! Ordering engines.
//!
//! How many are planned is decided in [`crate::decisions::duties::engine_plan`], which order is next
//! in [`crate::decisions::duties::engine_orders`]; here the inputs are gathered and orders given.

use crate::decisions::duties::engine_need::{EngineNeed, Need};
use crate::decisions::duties::engine_orders::{EngineOrder, OrderBook, OrderInputs};
use crate::decisions::duties::engine_plan::{EngineScaling, EnginesByDataCentre, PlanInputs, plan};
use crate::duties::api::{DutyCallError, DutyPlatform, DutyStore};
use crate::duties::hold::{DUTY_CALL_TIMEOUT, Hold, HoldEnd};
use crate::endpoints::directory::Directory;
use crate::gateway::Gateway;
use crate::route::Service;
use crate::settings::DutySettings;
use bridgevane_events::{Event, event};
use bridgevane_types::ServiceName;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often the holder compares what runs with what is planned. Not measured, chosen because an
/// engine takes seconds to start.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Orders for one data centre in one look at most. Chosen for reclaimable engines, permanent ones, and
/// the reclaimable ones again that these have made room for.
const MAX_ORDERS_EACH: usize = 3;

/// Orders engines until the hold ends.
pub(super) async fn order<S: DutyStore, P: DutyPlatform>(
    gateway: &Gateway,
    hold: &Hold<'_, S>,
    platform: &P,
    settings: &DutySettings,
) -> HoldEnd {
    if !settings.orders_engines {
        return std::future::pending().await;
    }
    let mut ordered: HashMap<ServiceName, OrderedService> = HashMap::new();
    loop {
        for (service, scaling) in scaled_services(gateway) {
            let ordered = ordered.entry(service.clone()).or_default();
            let orderer = EngineOrderer {
                gateway,
                hold,
                platform,
                service: &service,
                scaling: &scaling,
            };
            if let Err(end) = orderer.adjust(ordered).await {
                return end;
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// The services whose engines are ordered.
fn scaled_services(gateway: &Gateway) -> Vec<(ServiceName, EngineScaling)> {
    let Some(table) = gateway.control.routing_table() else {
        return Vec::new();
    };
    let scaled = |service: &Service| Some((service.name.clone(), service.scaling.clone()?));
    table.services().filter_map(scaled).collect()
}

/// What this holder knows of one service.
#[derive(Debug, Default)]
struct OrderedService {
    need: EngineNeed,
    book: OrderBook,
}

struct EngineOrderer<'a, S, P> {
    gateway: &'a Gateway,
    hold: &'a Hold<'a, S>,
    platform: &'a P,
    service: &'a ServiceName,
    scaling: &'a EngineScaling,
}

impl<S: DutyStore, P: DutyPlatform> EngineOrderer<'_, S, P> {
    /// Gives the orders that are due.
    async fn adjust(&self, ordered: &mut OrderedService) -> Result<(), HoldEnd> {
        // What an old configuration says of engines isn't acted on.
        if !self.gateway.control.freshness().may_deny() {
            return Ok(());
        }
        let running = running_engines(&self.gateway.control.directory(), self.service);
        let need = self.need(&mut ordered.need, &running).await?;
        let data_centres = self.scaling.data_centres(&running);
        let book = &mut ordered.book;
        let without_reclaimable = book.without_reclaimable();
        let planned = plan(&PlanInputs {
            needed: need.engines,
            scaling: self.scaling,
            data_centres: &data_centres,
            without_reclaimable: &without_reclaimable,
        });
        self.gateway
            .metrics
            .engines(self.service, &planned, &running);
        let is_idle = self.is_idle();
        // Reclaimable engines are ordered again once permanent ones have made room for them.
        for _ in 0..MAX_ORDERS_EACH * data_centres.len() {
            let order = book.next(&OrderInputs {
                now: self.gateway.clock.now(),
                planned: &planned,
                running: &running,
                scaling: self.scaling,
                is_settled: need.is_settled,
                is_idle,
            });
            let Some(order) = order else {
                break;
            };
            if !self.give(book, &order, &running, need.engines).await {
                break;
            }
        }
        Ok(())
    }

    /// Whether no request runs, and none began in the window before this one or since.
    fn is_idle(&self) -> bool {
        let book = &self.gateway.duty_book;
        // Without usage nobody tells the holder that work has begun.
        let Some(calendar) = book.calendar() else {
            return false;
        };
        let clock = &self.gateway.clock;
        let before = calendar.window_at(clock.wall(clock.now())).minus(1);
        let is_idle = book.with_collection(|_, collection| collection.is_idle_since(before));
        let directory = self.gateway.control.directory();
        let work = self.gateway.fleet.total_work(&directory);
        is_idle.unwrap_or_default() && work.is_empty()
    }

    /// Engines that the service needs. A need that has grown is left for the successor.
    async fn need(
        &self,
        need: &mut EngineNeed,
        running: &EnginesByDataCentre,
    ) -> Result<Need, HoldEnd> {
        let permanent = running.values().map(|counts| counts.permanent).sum();
        let known = self.hold.state().await.needed_engines;
        let known = known.get(self.service).copied().unwrap_or_default();
        let need = need.observe(self.gateway.clock.now(), known, permanent);
        if need.is_settled && need.engines > known {
            self.hold
                .write_state(|state| state.with_needed_engines(self.service, need.engines))
                .await?;
        }
        Ok(need)
    }

    /// Gives an order; false: the platform can't be called now.
    async fn give(
        &self,
        book: &mut OrderBook,
        order: &EngineOrder,
        running: &EnginesByDataCentre,
        needed: u32,
    ) -> bool {
        if !self.hold.may_act() {
            return false;
        }
        let credentials = self.hold.credentials();
        let ordering = self
            .platform
            .order_engines(&credentials, self.service, order);
        let ordered = timeout(DUTY_CALL_TIMEOUT.as_std(), ordering).await;
        let running = running.get(&order.key.data_centre).copied();
        let running = running.unwrap_or_default().of(order.key.kind);
        match ordered.unwrap_or(Err(DutyCallError::NoAnswer)) {
            Ok(outcome) => {
                event!(
                    Event::EnginesOrdered,
                    service = self.service,
                    data_centre = order.key.data_centre,
                    kind = order.key.kind,
                    ordered = order.count,
                    running = running,
                    needed = needed,
                    outcome = outcome
                );
                book.on_answered(self.gateway.clock.now(), order, outcome);
                true
            }
            Err(error) => {
                event!(Event::DutyCallFailed, call = "order engines", cause = error);
                false
            }
        }
    }
}

/// The engines of a service that don't drain. Those of an evacuated data centre run on: ordered again, they
/// would run twice.
fn running_engines(directory: &Directory, service: &ServiceName) -> EnginesByDataCentre {
    let mut running = EnginesByDataCentre::new();
    for endpoint in directory.endpoints() {
        let record = endpoint.record.load();
        if record.service != *service {
            continue;
        }
        let counts = running.entry(record.data_centre.clone()).or_default();
        if record.is_reclaimable {
            counts.reclaimable += 1;
        } else {
            counts.permanent += 1;
        }
    }
    running
}
