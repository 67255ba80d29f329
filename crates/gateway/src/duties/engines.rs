//! Orders engines while this daemon holds the duties.
//!
//! [`crate::decisions::duties::engine_plan`] decides how many engines are planned, and
//! [`crate::decisions::duties::engine_orders`] which order is next; this module gathers the inputs
//! and sends the orders.

use crate::decisions::duties::engine_need::{NeedEstimate, NeedEstimator};
use crate::decisions::duties::engine_orders::{EngineOrder, OrderBook, OrderInputs};
use crate::decisions::duties::engine_plan::{EngineScaling, EnginesByDataCentre, PlanInputs, plan};
use crate::duties::api::{DutyCallError, DutyPlatform, DutyStore};
use crate::duties::holder_session::{DUTY_CALL_TIMEOUT, HolderSession, SessionEnd};
use crate::endpoints::directory::Directory;
use crate::gateway::Gateway;
use crate::route::Service;
use crate::settings::DutySettings;
use bridgevane_events::{Event, event};
use bridgevane_types::ServiceName;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often the holder compares the running engines with the plan. An engine takes seconds to
/// start.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of orders per data centre and check: for reclaimable engines, for permanent
/// ones, and again for the reclaimable ones for which these made room.
const MAX_ORDERS_PER_DATA_CENTRE: usize = 3;

/// Orders engines until the session ends.
pub(super) async fn order_engines<S: DutyStore, P: DutyPlatform>(
    gateway: &Gateway,
    session: &HolderSession<'_, S>,
    platform: &P,
    settings: &DutySettings,
) -> SessionEnd {
    if !settings.orders_engines {
        return std::future::pending().await;
    }
    let mut ordered: HashMap<ServiceName, OrderedService> = HashMap::new();
    loop {
        for (service, scaling) in scaled_services(gateway) {
            let ordered = ordered.entry(service.clone()).or_default();
            let orderer = EngineOrderer {
                gateway,
                session,
                platform,
                service: &service,
                scaling: &scaling,
            };
            if let Err(end) = orderer.order_due_engines(ordered).await {
                return end;
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the services whose engines are ordered.
fn scaled_services(gateway: &Gateway) -> Vec<(ServiceName, EngineScaling)> {
    let Some(table) = gateway.control.routing_table() else {
        return Vec::new();
    };
    let scaled = |service: &Service| Some((service.name.clone(), service.scaling.clone()?));
    table.services().filter_map(scaled).collect()
}

/// The holder's state for one service.
#[derive(Debug, Default)]
struct OrderedService {
    need: NeedEstimator,
    book: OrderBook,
}

struct EngineOrderer<'a, S, P> {
    gateway: &'a Gateway,
    session: &'a HolderSession<'a, S>,
    platform: &'a P,
    service: &'a ServiceName,
    scaling: &'a EngineScaling,
}

impl<S: DutyStore, P: DutyPlatform> EngineOrderer<'_, S, P> {
    /// Sends the orders that are due for the service.
    async fn order_due_engines(&self, ordered: &mut OrderedService) -> Result<(), SessionEnd> {
        // An outdated configuration isn't acted on.
        if !self.gateway.control.freshness().may_order() {
            return Ok(());
        }
        let running = running_engines(&self.gateway.control.directory(), self.service);
        let need = self.observe_need(&mut ordered.need, &running).await?;
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
        for _ in 0..MAX_ORDERS_PER_DATA_CENTRE * data_centres.len() {
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
            if !self.send_order(book, &order, &running, need.engines).await {
                break;
            }
        }
        Ok(())
    }

    /// Returns whether no request runs, and none began in the previous window or since.
    fn is_idle(&self) -> bool {
        let tracker = &self.gateway.usage_tracker;
        // Without usage reports the holder doesn't know whether requests have begun.
        let Some(calendar) = tracker.calendar() else {
            return false;
        };
        let clock = &self.gateway.clock;
        let before = calendar.window_at(clock.wall_time_at(clock.now())).minus(1);
        let is_idle = tracker.with_collection(|_, collection| collection.is_idle_since(before));
        let directory = self.gateway.control.directory();
        let work = self.gateway.fleet.total_work(&directory);
        is_idle.unwrap_or_default() && work.is_empty()
    }

    /// Returns the engines that the service needs. An increased need is stored for the successor.
    async fn observe_need(
        &self,
        need: &mut NeedEstimator,
        running: &EnginesByDataCentre,
    ) -> Result<NeedEstimate, SessionEnd> {
        let permanent = running.values().map(|counts| counts.permanent).sum();
        let known = self.session.state().await.needed_engines;
        let known = known.get(self.service).copied().unwrap_or_default();
        let need = need.observe(self.gateway.clock.now(), known, permanent);
        if need.is_settled && need.engines > known {
            self.session
                .write_state(|state| state.with_needed_engines(self.service, need.engines))
                .await?;
        }
        Ok(need)
    }

    /// Sends an order; returns false when the platform can't be called now.
    async fn send_order(
        &self,
        book: &mut OrderBook,
        order: &EngineOrder,
        running: &EnginesByDataCentre,
        needed: u32,
    ) -> bool {
        if !self.session.may_act() {
            return false;
        }
        let credentials = self.session.credentials();
        let ordering = self
            .platform
            .order_engines(&credentials, self.service, order);
        let ordered = timeout(DUTY_CALL_TIMEOUT.as_std(), ordering).await;
        let running = running.get(&order.key.data_centre).copied();
        let running = running.unwrap_or_default().count_of(order.key.kind);
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

/// Counts the engines of a service that don't drain. Those of an evacuated data centre keep running
/// and are included: otherwise they would be ordered a second time.
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
