//! The plan of a run: its faults and their times, drawn from a seed so that a run can be repeated.

use derive_more::Display;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::time::Duration;

/// No fault begins before this time, so that all processes can start.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);
/// No fault begins in this last part of a run, so that the last faults end and the fleet recovers.
const RECOVERY_PERIOD: Duration = Duration::from_millis(10_000);

/// Separates the random numbers of the announcements from those of the faults.
const ANNOUNCEMENT_SEED: u64 = 0x5157_0000_0000_0000;
/// The duration of an announcement: longer than the window over which a limit is counted.
const ANNOUNCEMENT_DURATION: Duration = Duration::from_millis(5_000);
/// The delay of the last announcement after the last fault can begin: most faults are over then.
const LATE_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(3_500);

/// A connection between two processes that leads through a proxy.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Link {
    /// From the callers to a daemon.
    #[display("callers-{_0}")]
    Callers(usize),
    /// From a daemon to the store.
    #[display("{_0}-store")]
    Store(usize),
    /// From a daemon to the peer that it may follow.
    #[display("{_0}-peer")]
    Peer(usize),
    /// From all daemons to a worker.
    #[display("worker-{_0}")]
    Worker(usize),
}

/// How a link treats the bytes that are sent through it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes are forwarded at once.
    #[default]
    #[display("passes")]
    Passes,
    /// Bytes are forwarded with a delay.
    #[display("delayed")]
    Delayed,
    /// No bytes are forwarded; they are held until the fault ends.
    #[display("silent")]
    Silent,
    /// Only bytes from the connecting side are forwarded; the others are held.
    #[display("one way")]
    OneWay,
    /// Open and new connections are reset.
    #[display("reset")]
    Reset,
}

/// A fault, or planned work such as a planned stop.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and started again at once.
    #[display("kill daemon {_0}")]
    Kill(usize),
    /// All daemons are killed at the same moment.
    #[display("kill all daemons")]
    KillAll,
    /// A daemon is suspended (SIGSTOP).
    #[display("pause daemon {_0}")]
    Pause(usize),
    /// A daemon is stopped as planned (SIGTERM) and started again when it has ended.
    #[display("stop daemon {_0}")]
    Stop(usize),
    /// A daemon gets the signal to reload its settings (SIGHUP).
    #[display("reload daemon {_0}")]
    Reload(usize),
    /// The store accepts calls and doesn't answer.
    #[display("store silent")]
    StoreSilent,
    /// The store refuses every call.
    #[display("store busy")]
    StoreBusy,
    /// The store answers late.
    #[display("store slow")]
    StoreSlow,
    /// The store loses its history of changes.
    #[display("store forgets")]
    StoreForgets,
    /// A link misbehaves.
    #[display("link {_0} {_1}")]
    Link(Link, LinkMode),
    /// A worker drains and another one replaces it.
    #[display("replace worker {_0}")]
    ReplaceWorker(usize),
    /// A worker fails its requests.
    #[display("worker {_0} fails")]
    WorkerFails(usize),
    /// A worker refuses its requests as overloaded.
    #[display("worker {_0} is full")]
    WorkerFull(usize),
    /// A worker breaks off its answers.
    #[display("worker {_0} breaks off its answers")]
    WorkerBreaksOff(usize),
    /// The operator changes the configuration.
    #[display("change the configuration")]
    ChangeConfig,
    /// The operator removes an API key.
    #[display("remove a key")]
    RemoveKey,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{:>6} ms  {fault} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct FaultEvent {
    /// The time at which it begins, from the start of the calls.
    pub at: Duration,
    /// Its duration, if the fault has one.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// What a worker announces in its answers for a while.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum WorkerAnnouncement {
    /// A limit in requests per second, for all daemons together.
    #[display("a limit of {_0} per second")]
    Limit(f64),
    /// That it is leaving; its record says so only later.
    #[display("that it is leaving")]
    Leaving,
    /// A back-off, requested from each daemon whose request it refuses; it refuses all requests.
    #[display("a back-off of {} ms", _0.as_millis())]
    Backoff(Duration),
}

/// A worker's announcement with its time.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:>6} ms  worker {worker} announces {announcement} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct AnnouncementEvent {
    /// The time at which it begins, from the start of the calls.
    pub at: Duration,
    /// Its duration.
    pub lasts: Duration,
    /// The worker's position.
    pub worker: usize,
    /// The announcement.
    pub announcement: WorkerAnnouncement,
}

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSize {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of workers.
    pub workers: usize,
    /// The time during which callers send calls.
    pub duration: Duration,
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed from which it was drawn.
    pub seed: u64,
    /// The faults in order of time.
    pub events: Vec<FaultEvent>,
    /// The announcements of workers: one during the faults, and one when most of them are over.
    pub announcements: Vec<AnnouncementEvent>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, size: RunSize) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let span = size
            .duration
            .saturating_sub(STARTUP_PERIOD + RECOVERY_PERIOD);
        let span_ms = span.as_millis().max(1) as u64;
        // About one fault per second, so that faults follow each other closely and overlap.
        let count = (span.as_secs_f64().ceil() as usize).max(2);
        let mut events: Vec<FaultEvent> = (0..count)
            .map(|_| {
                let at = STARTUP_PERIOD + Duration::from_millis(random.random_range(0..span_ms));
                let lasts = Duration::from_millis(random.random_range(200..4_000));
                let fault = draw_fault(&mut random, size);
                FaultEvent { at, lasts, fault }
            })
            .collect();
        events.sort_by_key(|event| event.at);
        Self {
            seed,
            events,
            announcements: draw_announcements(seed, size),
        }
    }
}

/// Draws the announcements. They have their own random numbers, so that a seed keeps the faults
/// that it had before there were announcements.
fn draw_announcements(seed: u64, size: RunSize) -> Vec<AnnouncementEvent> {
    let mut random = Pcg64::seed_from_u64(seed ^ ANNOUNCEMENT_SEED);
    let recovery_from = size.duration.saturating_sub(RECOVERY_PERIOD);
    [STARTUP_PERIOD, recovery_from + LATE_ANNOUNCEMENT_DELAY]
        .into_iter()
        .map(|from| AnnouncementEvent {
            at: from + Duration::from_millis(random.random_range(0..500)),
            lasts: ANNOUNCEMENT_DURATION,
            worker: random.random_range(0..size.workers),
            announcement: draw_announcement(&mut random),
        })
        .collect()
}

fn draw_announcement(random: &mut Pcg64) -> WorkerAnnouncement {
    match random.random_range(0..3) {
        0 => WorkerAnnouncement::Limit(random.random_range(0.3..1.2)),
        1 => WorkerAnnouncement::Leaving,
        _ => WorkerAnnouncement::Backoff(Duration::from_millis(random.random_range(1_000..3_000))),
    }
}

fn draw_fault(random: &mut Pcg64, size: RunSize) -> Fault {
    let daemon = random.random_range(0..size.daemons);
    let worker = random.random_range(0..size.workers);
    match random.random_range(0..20) {
        0 | 1 => Fault::Kill(daemon),
        2 => Fault::KillAll,
        3 | 4 => Fault::Pause(daemon),
        5 | 6 => Fault::Stop(daemon),
        7 => Fault::Reload(daemon),
        8 => Fault::StoreSilent,
        9 => Fault::StoreBusy,
        10 => Fault::StoreSlow,
        11 => Fault::StoreForgets,
        12 => Fault::ReplaceWorker(worker),
        13 => Fault::WorkerFails(worker),
        14 => Fault::WorkerFull(worker),
        15 => Fault::WorkerBreaksOff(worker),
        16 => Fault::ChangeConfig,
        17 => Fault::RemoveKey,
        _ => Fault::Link(draw_link(random, daemon, worker), draw_mode(random)),
    }
}

fn draw_link(random: &mut Pcg64, daemon: usize, worker: usize) -> Link {
    match random.random_range(0..4) {
        0 => Link::Callers(daemon),
        1 => Link::Store(daemon),
        2 => Link::Peer(daemon),
        _ => Link::Worker(worker),
    }
}

fn draw_mode(random: &mut Pcg64) -> LinkMode {
    match random.random_range(0..4) {
        0 => LinkMode::Delayed,
        1 => LinkMode::Silent,
        2 => LinkMode::OneWay,
        _ => LinkMode::Reset,
    }
}
