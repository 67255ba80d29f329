//! `bridgevane gateway`: forwards requests on the users' platform.
//!
//! Reads the settings, starts the parts of `bridgevane-gateway` on one thread, and stops them on
//! the stop signal. The exit code is 0 after a planned stop, and 2 for invalid settings or
//! addresses that can't be used.

use crate::commands::{exit, print_line};
use crate::configs::gateway::GatewayConfig;
use crate::configs::settings_reader::setting_source;
use crate::modules::process::http_serve;
use crate::modules::process::log_writer::{self, LogStream};
use crate::modules::process::logging::{self, LineOrigin};
use crate::modules::process::metrics_page::MetricsPage;
use crate::modules::process::signals;
use argh::FromArgs;
use bridgevane_events::{Event, event};
use bridgevane_gateway::{
    Gateway, GatewaySettings, follow_control_source, hold_duties, log_try_counts, prove_on_demand,
    register_versions, report_final_usage, report_usage, serve_clients, serve_peers,
    serve_readiness, stop_gracefully, store_quarantine, watch_suspension,
};
use bridgevane_platform::{DutyApi, LeaseStore, Store, header_names};
use std::time::Duration;

/// The timeout for opening a connection to the store: a store that takes longer is treated as
/// unavailable, and other daemons are asked instead.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Forward requests unchanged, according to the platform's routes, keys and workers. Each flag has
/// an environment variable, such as BRIDGEVANE_VM_ID for --vm-id; flags take precedence.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArguments {
    /// name of this VM
    #[argh(option)]
    pub vm_id: Option<String>,
    /// data centre of this VM
    #[argh(option)]
    pub data_centre: Option<String>,
    /// region of each data centre, comma-separated, such as dc-a=region-1,dc-b=region-2
    #[argh(option)]
    pub regions: Option<String>,
    /// address for clients, such as 10.0.0.4:8080
    #[argh(option)]
    pub client_address: Option<String>,
    /// address of the readiness check for the balancer, and of the metrics
    #[argh(option)]
    pub ready_address: Option<String>,
    /// address at which other daemons can follow this one
    #[argh(option)]
    pub peer_address: Option<String>,
    /// peer addresses of the daemons that follow the store for the others, comma-separated
    #[argh(option)]
    pub seed_addresses: Option<String>,
    /// address of the platform's store
    #[argh(option)]
    pub store_address: Option<String>,
    /// milliseconds within which the removal of a key must take effect (default: 5000)
    #[argh(option)]
    pub key_removal_ms: Option<String>,
    /// true (default): a removed key stops working within that time on every VM, and a daemon
    /// without a proof refuses all requests; false: such a daemon keeps serving
    #[argh(option)]
    pub strict_key_removal: Option<String>,
    /// seconds for which a daemon keeps serving without a proof if key removal isn't strict
    /// (default: 21600)
    #[argh(option)]
    pub max_stale_s: Option<String>,
    /// milliseconds within which the leaving of an endpoint must take effect (default: 2000)
    #[argh(option)]
    pub drain_ms: Option<String>,
    /// milliseconds within which a configuration must take effect (default: 2000)
    #[argh(option)]
    pub config_apply_ms: Option<String>,
    /// maximum duration of a stop in seconds (default: 10)
    #[argh(option)]
    pub stop_s: Option<String>,
    /// retries per request, over all daemons (default: 0.2)
    #[argh(option)]
    pub retry_ratio: Option<String>,
    /// retries beyond the ratio, over all daemons (default: 12)
    #[argh(option)]
    pub retry_slack: Option<String>,
    /// sliding window of the retries in seconds (default: 10)
    #[argh(option)]
    pub retry_window_s: Option<String>,
    /// memory available to the process in megabytes (default: 128)
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// maximum number of open descriptors (default: what the system grants the process)
    #[argh(option)]
    pub max_descriptors: Option<String>,
    /// milliseconds for which a client may read nothing, or leave sent bytes unacknowledged (default: 6000)
    #[argh(option)]
    pub client_stall_ms: Option<String>,
    /// address of the platform's interface for duties; without it, the fleet has no duties
    #[argh(option)]
    pub duty_address: Option<String>,
    /// duties that the platform assigns to the fleet, by the platform's names, comma-separated
    #[argh(option)]
    pub duties: Option<String>,
    /// duration of the lease of the duties' holder in milliseconds (default: 3000)
    #[argh(option)]
    pub lease_ms: Option<String>,
    /// length of a usage window in seconds (default: 5)
    #[argh(option)]
    pub usage_window_s: Option<String>,
    /// seconds after the end of a window within which its usage must be submitted (default: 10)
    #[argh(option)]
    pub usage_late_s: Option<String>,
    /// log format: json (default) or text
    #[argh(option)]
    pub log_format: Option<String>,
    /// log level: error, warn, info (default) or debug
    #[argh(option)]
    pub log_level: Option<String>,
    /// print the settings and exit
    #[argh(switch)]
    pub print_settings: bool,
}

setting_source!(
    GatewayArguments: vm_id,
    data_centre,
    regions,
    client_address,
    ready_address,
    peer_address,
    seed_addresses,
    store_address,
    key_removal_ms,
    strict_key_removal,
    max_stale_s,
    drain_ms,
    config_apply_ms,
    stop_s,
    retry_ratio,
    retry_slack,
    retry_window_s,
    memory_mb,
    max_descriptors,
    client_stall_ms,
    duty_address,
    duties,
    lease_ms,
    usage_window_s,
    usage_late_s,
    log_format,
    log_level,
);

/// Runs the command and returns the exit code.
pub fn run(arguments: &GatewayArguments) -> u8 {
    let config = match GatewayConfig::read(arguments) {
        Ok(config) => config,
        Err(problems) => {
            eprintln!("{problems}");
            return exit::USAGE;
        }
    };
    if arguments.print_settings {
        print_line!("{config:#?}");
        return exit::OK;
    }
    let writer = log_writer::start(LogStream::Output);
    let origin = LineOrigin {
        vm: config.gateway.vm.clone(),
        data_centre: config.gateway.data_centre.clone(),
    };
    if let Err(error) = logging::set_up(config.log, Some(origin), writer.sink()) {
        eprintln!("{error}");
        return exit::USAGE;
    }
    // One thread is enough, since the VMs have a fraction of a core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| runtime.block_on(serve(config)));
    let code = match served {
        Ok(()) => exit::OK,
        Err(error) => {
            event!(Event::CannotListen, cause = error);
            exit::USAGE
        }
    };
    writer.finish();
    code
}

/// Returns the address for other daemons as text for the log.
fn peer_address_text(settings: &GatewaySettings) -> String {
    let address = settings.peer_address;
    address.map_or_else(|| "-".to_owned(), |address| address.to_string())
}

/// Serves until the stop signal, then until every answer is complete.
async fn serve(config: GatewayConfig) -> Result<(), std::io::Error> {
    let clients = http_serve::listen(config.gateway.client_address).await?;
    let ready_listener = http_serve::listen(config.gateway.ready_address).await?;
    let peers = match config.gateway.peer_address {
        Some(address) => Some(http_serve::listen(address).await?),
        None => None,
    };
    let mut store = Store::new(config.store_address, STORE_CONNECT_TIMEOUT);
    if config.gateway.duties.is_some() {
        store = store.with_duties();
    }
    let metrics = MetricsPage::new();
    let gateway = Gateway::new(config.gateway, header_names(), &metrics.meter());
    event!(
        Event::Started,
        vm = gateway.settings.vm,
        data_centre = gateway.settings.data_centre,
        callers = gateway.settings.client_address,
        peers = peer_address_text(&gateway.settings),
        proof_lifetime_ms = gateway.settings.freshness.proof_lifetime_ms,
        max_stale_ms = gateway.settings.freshness.max_stale_age_ms
    );
    let page = move || metrics.text();
    tokio::spawn(watch_suspension(gateway.clone()));
    tokio::spawn(log_try_counts(gateway.clone()));
    tokio::spawn(serve_readiness(gateway.clone(), ready_listener, page));
    if let Some(listener) = peers {
        tokio::spawn(serve_peers(gateway.clone(), listener));
    }
    tokio::spawn(follow_control_source(gateway.clone(), store));
    let leases = LeaseStore::new(config.store_address, STORE_CONNECT_TIMEOUT);
    tokio::spawn(store_quarantine(gateway.clone(), leases));
    let versions = LeaseStore::new(config.store_address, STORE_CONNECT_TIMEOUT);
    tokio::spawn(register_versions(gateway.clone(), versions));
    let proofs = Store::new(config.store_address, STORE_CONNECT_TIMEOUT);
    tokio::spawn(prove_on_demand(gateway.clone(), proofs));
    if let Some(address) = config.duty_address {
        let leases = LeaseStore::new(config.store_address, STORE_CONNECT_TIMEOUT);
        let platform = DutyApi::new(address, STORE_CONNECT_TIMEOUT);
        tokio::spawn(hold_duties(gateway.clone(), leases, platform));
        tokio::spawn(report_usage(gateway.clone()));
    }
    tokio::spawn(serve_clients(gateway.clone(), clients));
    signals::wait_for_stop_ignoring_hang_ups().await?;
    stop_gracefully(gateway.clone()).await;
    report_final_usage(gateway).await;
    Ok(())
}
