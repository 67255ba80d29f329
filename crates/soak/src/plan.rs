//! What goes wrong, and when: drawn from a seed, so that a run can be played again.

use derive_more::Display;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::time::Duration;

/// Nothing goes wrong before this: everything starts.
const CALM_START: Duration = Duration::from_millis(1_500);
/// Nothing begins to go wrong in the last part: the last fault ends, and everything recovers.
const CALM_END: Duration = Duration::from_millis(10_000);

/// Tells the numbers of the wishes from those of the faults.
const WISH_STREAM: u64 = 0x5157_0000_0000_0000;
/// How long a worker asks for something: longer than the window in which a limit is counted.
const WISH_LASTS: Duration = Duration::from_millis(5_000);
/// The last wish begins so long after the last fault has begun, when most of them are over.
const CALM_WISH_AFTER: Duration = Duration::from_millis(3_500);

/// A loopback connection that leads through a proxy.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Link {
    /// From the callers to a daemon.
    #[display("callers-{_0}")]
    Callers(usize),
    /// From a daemon to the store.
    #[display("{_0}-store")]
    Store(usize),
    /// From a daemon to the daemon that it may follow.
    #[display("{_0}-peer")]
    Peer(usize),
    /// From all daemons to a worker.
    #[display("worker-{_0}")]
    Worker(usize),
}

/// What a link does to what passes.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum LinkMode {
    /// Everything passes.
    #[default]
    #[display("passes")]
    Passes,
    /// Everything passes later.
    #[display("delayed")]
    Delayed,
    /// Nothing passes until it heals.
    #[display("silent")]
    Silent,
    /// Only what goes out from the dialling side passes.
    #[display("one way")]
    OneWay,
    /// Connections are reset, open ones and new ones.
    #[display("reset")]
    Reset,
}

/// One fault.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and started again at once.
    #[display("kill daemon {_0}")]
    Kill(usize),
    /// All daemons are killed at the same moment.
    #[display("kill all daemons")]
    KillAll,
    /// A daemon stands still.
    #[display("pause daemon {_0}")]
    Pause(usize),
    /// A daemon gets a stop signal, and is started again when it has ended.
    #[display("stop daemon {_0}")]
    Stop(usize),
    /// A daemon gets the signal to read its settings again.
    #[display("reload daemon {_0}")]
    Reload(usize),
    /// The store takes calls and says nothing.
    #[display("store silent")]
    StoreSilent,
    /// The store refuses every call.
    #[display("store busy")]
    StoreBusy,
    /// The store answers late.
    #[display("store slow")]
    StoreSlow,
    /// The store forgets its history.
    #[display("store forgets")]
    StoreForgets,
    /// A link misbehaves.
    #[display("link {_0} {_1}")]
    Link(Link, LinkMode),
    /// A worker drains and another takes its place.
    #[display("replace worker {_0}")]
    ReplaceWorker(usize),
    /// A worker fails its requests.
    #[display("worker {_0} fails")]
    WorkerFails(usize),
    /// A worker says that it is full.
    #[display("worker {_0} is full")]
    WorkerFull(usize),
    /// A worker breaks its answers off.
    #[display("worker {_0} breaks off")]
    WorkerBreaksOff(usize),
    /// The operator changes the configuration.
    #[display("change the configuration")]
    ChangeConfig,
    /// The operator takes a key away.
    #[display("remove a key")]
    RemoveKey,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{:>6} ms  {fault} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct Event {
    /// When it begins, from the start of the calls.
    pub at: Duration,
    /// How long it lasts, where it does.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// What a worker asks for in its answers for a while.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum WorkerWish {
    /// So many requests a second at most, from all daemons together.
    #[display("at most {_0} a second")]
    Limit(f64),
    /// Nothing new: it leaves, and its record says so only later.
    #[display("nothing new")]
    Leaving,
    /// Nothing for so long from each daemon that it turns away, and it turns all away.
    #[display("{} ms of rest", _0.as_millis())]
    Rest(Duration),
}

/// A worker's wish at its time.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:>6} ms  worker {worker} asks for {wish} for {} ms", at.as_millis(), lasts.as_millis())]
pub struct WishEvent {
    /// When it begins, from the start of the calls.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The worker's place.
    pub worker: usize,
    /// What it is.
    pub wish: WorkerWish,
}

/// How much there is that can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scale {
    /// Daemons.
    pub daemons: usize,
    /// Workers.
    pub workers: usize,
    /// How long callers call.
    pub length: Duration,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Where it was drawn from.
    pub seed: u64,
    /// The faults, in order of time.
    pub events: Vec<Event>,
    /// What workers ask for: once among the faults, and once when the last of them are over.
    pub wishes: Vec<WishEvent>,
}

impl Plan {
    /// Draws a plan.
    pub fn draw(seed: u64, scale: Scale) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let span = scale.length.saturating_sub(CALM_START + CALM_END);
        let span_ms = span.as_millis().max(1) as u64;
        // About one fault a second: they come in series and overlap.
        let count = (span.as_secs_f64().ceil() as usize).max(2);
        let mut events: Vec<Event> = (0..count)
            .map(|_| {
                let at = CALM_START + Duration::from_millis(random.random_range(0..span_ms));
                let lasts = Duration::from_millis(random.random_range(200..4_000));
                let fault = draw_fault(&mut random, scale);
                Event { at, lasts, fault }
            })
            .collect();
        events.sort_by_key(|event| event.at);
        Self {
            seed,
            events,
            wishes: draw_wishes(seed, scale),
        }
    }
}

/// Wishes have a stream of numbers of their own, so that the faults of a seed stay what they were.
fn draw_wishes(seed: u64, scale: Scale) -> Vec<WishEvent> {
    let mut random = Pcg64::seed_from_u64(seed ^ WISH_STREAM);
    let calm_from = scale.length.saturating_sub(CALM_END);
    [CALM_START, calm_from + CALM_WISH_AFTER]
        .into_iter()
        .map(|from| WishEvent {
            at: from + Duration::from_millis(random.random_range(0..500)),
            lasts: WISH_LASTS,
            worker: random.random_range(0..scale.workers),
            wish: draw_wish(&mut random),
        })
        .collect()
}

fn draw_wish(random: &mut Pcg64) -> WorkerWish {
    match random.random_range(0..3) {
        0 => WorkerWish::Limit(random.random_range(0.3..1.2)),
        1 => WorkerWish::Leaving,
        _ => WorkerWish::Rest(Duration::from_millis(random.random_range(1_000..3_000))),
    }
}

fn draw_fault(random: &mut Pcg64, scale: Scale) -> Fault {
    let daemon = random.random_range(0..scale.daemons);
    let worker = random.random_range(0..scale.workers);
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
