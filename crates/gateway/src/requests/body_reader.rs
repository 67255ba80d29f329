//! Reads the bodies of requests into memory that is reserved before their bytes are taken.
//!
//! Owns the memory for bodies. What is reserved is given back when the request ends. The rules are in
//! [`crate::decisions::admission::body_limits`].

use crate::counter::Counter;
use crate::decisions::admission::body_limits::{
    self, BodyProgress, BodySize, GROWTH_WAIT, RESERVE_STEP, START_RETRY_INTERVAL, START_WAIT,
};
use crate::decisions::admission::refusal::RefusalReason;
use crate::endpoints::request_body::{ReceivedBody, RequestBody};
use bridgevane_types::Bytes as ByteCount;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How often a body that doesn't arrive is checked.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The memory for the bodies of requests. Each permit is one byte.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    /// For small bodies, which wait for no large ones.
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    /// The number of bodies that wait for memory.
    waiting: Counter,
}

impl BodyMemory {
    pub(crate) fn new(max_buffered: ByteCount) -> Self {
        let small = body_limits::memory_for_small_bodies(max_buffered).0 as usize;
        Self {
            small: Arc::new(Semaphore::new(small)),
            large: Arc::new(Semaphore::new(max_buffered.0 as usize - small)),
            waiting: Counter::default(),
        }
    }

    fn pool(&self, size: BodySize) -> &Arc<Semaphore> {
        match size {
            BodySize::Small(_) => &self.small,
            BodySize::Large(_) | BodySize::Unknown => &self.large,
        }
    }

    /// Reserves the memory with which a body starts: all of a small one, the first step of another.
    /// A large one starts only when there is room for all of it.
    async fn start(&self, size: BodySize) -> Result<OwnedSemaphorePermit, RefusalReason> {
        let bytes = match size {
            BodySize::Small(bytes) | BodySize::Large(bytes) => bytes,
            BodySize::Unknown => RESERVE_STEP,
        };
        let permits = u32::try_from(bytes.0).map_err(|_| RefusalReason::MemoryFull)?;
        let mut waiting = None;
        let give_up_at = Instant::now() + START_WAIT;
        loop {
            // Not queued: a body that waits to start must not hold up those that are arriving.
            if let Ok(mut room) = self.pool(size).clone().try_acquire_many_owned(permits) {
                if let BodySize::Large(_) = size {
                    let surplus = bytes.0.saturating_sub(RESERVE_STEP.0) as usize;
                    drop(room.split(surplus));
                }
                return Ok(room);
            }
            if Instant::now() >= give_up_at {
                return Err(RefusalReason::MemoryFull);
            }
            waiting.get_or_insert_with(|| self.waiting.hold(1));
            sleep(START_RETRY_INTERVAL).await;
        }
    }

    /// Reserves another step for a body that is arriving; the body that waits longest is first.
    /// `waited` is how long it has waited for earlier steps.
    async fn grow(
        &self,
        size: BodySize,
        reserved: &mut OwnedSemaphorePermit,
        waited: &mut Duration,
    ) -> Result<(), RefusalReason> {
        let pool = self.pool(size).clone();
        if let Ok(step) = pool.clone().try_acquire_many_owned(RESERVE_STEP.0 as u32) {
            reserved.merge(step);
            return Ok(());
        }
        let _waiting = self.waiting.hold(1);
        let step = pool.acquire_many_owned(RESERVE_STEP.0 as u32);
        let began = Instant::now();
        let step = timeout(GROWTH_WAIT.saturating_sub(*waited), step).await;
        *waited += began.elapsed();
        match step {
            Ok(Ok(step)) => {
                reserved.merge(step);
                Ok(())
            }
            // The semaphore is never closed.
            Ok(Err(_)) | Err(_) => Err(RefusalReason::MemoryFull),
        }
    }

    fn has_waiting(&self) -> bool {
        self.waiting.get() > 0
    }
}

/// A body that was read, with its memory.
#[derive(Debug)]
pub(crate) struct ReadBody {
    pub(crate) content: RequestBody,
    /// Given back when it is dropped, at the end of the request.
    _memory: OwnedSemaphorePermit,
}

/// The inputs for reading one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// The announced length, 0 for a request without a body; `None` for a chunked one.
    pub(crate) announced: Option<ByteCount>,
    /// The longest body that the configuration allows.
    pub(crate) max_body: ByteCount,
    /// Until when the body must have arrived.
    pub(crate) deadline: Instant,
}

/// Reads a body. One that is refused for want of memory is read on and dropped, so that its client
/// gets the refusal.
///
/// # Errors
/// The reason for the daemon's refusal.
pub(crate) async fn read(
    memory: &BodyMemory,
    limits: BodyLimits,
    mut body: Incoming,
) -> Result<ReadBody, RefusalReason> {
    body_limits::check(limits.announced, limits.max_body)?;
    let reading = read_reserved(memory, limits, &mut body);
    let read = timeout_at(limits.deadline, reading).await;
    let read = read.unwrap_or(Err(RefusalReason::BodyTimeout));
    if matches!(read, Err(RefusalReason::MemoryFull)) {
        tokio::spawn(discard(body, limits.deadline));
    }
    read
}

async fn read_reserved(
    memory: &BodyMemory,
    limits: BodyLimits,
    body: &mut Incoming,
) -> Result<ReadBody, RefusalReason> {
    let size = BodySize::new(limits.announced);
    let mut reserved = memory.start(size).await?;
    let started = Instant::now();
    let mut content = ReceivedBody::default();
    let mut waited = Duration::ZERO;
    loop {
        let frame = match timeout(PROGRESS_CHECK_INTERVAL, body.frame()).await {
            Ok(None) => break,
            Ok(Some(frame)) => frame.map_err(|_| RefusalReason::BodyBroken)?,
            Err(_) => {
                let progress = BodyProgress {
                    size,
                    received: ByteCount(content.len() as u64),
                    elapsed: started.elapsed(),
                    remaining: limits.deadline.saturating_duration_since(Instant::now()),
                };
                body_limits::check_progress(progress, memory.has_waiting())?;
                continue;
            }
        };
        // Trailers aren't forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = (content.len() + data.len()) as u64;
        if length > limits.max_body.0 {
            return Err(RefusalReason::BodyTooLarge);
        }
        while length > reserved.num_permits() as u64 {
            memory.grow(size, &mut reserved, &mut waited).await?;
        }
        content.extend(&data);
    }
    Ok(ReadBody {
        content: content.finish(),
        _memory: reserved,
    })
}

/// Reads the rest of a body and drops it. The end of the connection ends it as well.
async fn discard(mut body: Incoming, deadline: Instant) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // On a timeout the library closes the connection.
    let _ = timeout_at(deadline, reading).await;
}
