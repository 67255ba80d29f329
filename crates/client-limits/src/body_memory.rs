//! The memory for bodies: a part of what clients may make the process hold.
//!
//! Owns the memory for small and for large bodies. What is reserved is given back when the request ends. The
//! rules are in [`crate::body_limits`].

use crate::body_limits::{
    self, BodyError, BodySize, Contention, GROWTH_WAIT, INLINE_BODY, RESERVE_STEP,
    START_RETRY_INTERVAL, START_WAIT,
};
use crate::connections::ClientConnections;
use crate::memory::HeldMemory;
use bridgevane_types::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};

/// The memory for the bodies of requests.
#[derive(Debug)]
pub struct BodyMemory {
    /// For small bodies, which wait for no large ones. Each permit is a byte of a body.
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    /// How many times a byte of a body is held.
    copies: u64,
    connections: Arc<ClientConnections>,
}

impl BodyMemory {
    /// Creates the memory for bodies. Each of their bytes is held `copies` times, all together take at most
    /// `max_held`, and with the connections no more than clients may make the process hold.
    pub fn new(max_held: Bytes, copies: u64, connections: Arc<ClientConnections>) -> Self {
        let max_bodies = Bytes(max_held.0 / copies);
        let small = body_limits::memory_for_small_bodies(max_bodies).0 as usize;
        Self {
            small: Arc::new(Semaphore::new(small)),
            large: Arc::new(Semaphore::new(max_bodies.0 as usize - small)),
            copies,
            connections,
        }
    }

    /// Returns who needs room.
    pub(crate) fn contention(&self) -> Contention {
        self.connections.memory().contention()
    }

    fn pool(&self, size: BodySize) -> &Arc<Semaphore> {
        match size {
            BodySize::Small(_) => &self.small,
            BodySize::Large(_) | BodySize::Unknown => &self.large,
        }
    }

    async fn hold(&self, body_bytes: usize) -> Option<HeldMemory> {
        let held = Bytes(body_bytes as u64 * self.copies);
        self.connections.hold(held).await
    }

    /// Reserves the memory with which a body starts: all of a small one, the first step of a large one.
    /// A large one starts only when there is room for all of it.
    pub(crate) async fn start(&self, size: BodySize) -> Result<Reservation, BodyError> {
        let bytes = match size {
            BodySize::Small(bytes) | BodySize::Large(bytes) => bytes,
            BodySize::Unknown => Bytes(0),
        };
        let bytes = bytes.0.saturating_sub(INLINE_BODY.0);
        let bytes = u32::try_from(bytes).map_err(|_| BodyError::MemoryFull)?;
        if bytes == 0 {
            return Ok(Reservation::default());
        }
        self.reserve_first(size, bytes).await
    }

    /// Reserves the first memory of a body, which may have to wait for it.
    async fn reserve_first(&self, size: BodySize, bytes: u32) -> Result<Reservation, BodyError> {
        let mut waiting = None;
        let give_up_at = Instant::now() + START_WAIT;
        loop {
            // Not queued: a body that waits to start must not hold up those that are arriving.
            if let Some(reservation) = self.try_start(size, bytes).await {
                return Ok(reservation);
            }
            if Instant::now() >= give_up_at {
                return Err(self.refuse());
            }
            waiting.get_or_insert_with(|| self.connections.memory().wait());
            sleep(START_RETRY_INTERVAL).await;
        }
    }

    async fn try_start(&self, size: BodySize, bytes: u32) -> Option<Reservation> {
        // If the pool is full, others must give up first.
        let mut room = self.pool(size).clone().try_acquire_many_owned(bytes).ok()?;
        if let BodySize::Large(_) = size {
            let surplus = room.num_permits().saturating_sub(RESERVE_STEP.0 as usize);
            drop(room.split(surplus));
        }
        let held = self.hold(room.num_permits()).await?;
        Some(Reservation {
            room: Some(room),
            held: Some(held),
        })
    }

    /// Reserves another step for a body that is arriving; the body that waits longest is first.
    /// `waited` is how long it has waited for earlier steps.
    pub(crate) async fn grow(
        &self,
        size: BodySize,
        reservation: &mut Reservation,
        waited: &mut Duration,
    ) -> Result<(), BodyError> {
        let step = RESERVE_STEP.0 as usize;
        if reservation.room.is_none() {
            let began = Instant::now();
            *reservation = self.reserve_first(size, step as u32).await?;
            *waited += began.elapsed();
            return Ok(());
        }
        let pool = self.pool(size).clone();
        if let Ok(room) = pool.clone().try_acquire_many_owned(step as u32)
            && let Some(held) = self.hold(step).await
        {
            reservation.add(room, held);
            return Ok(());
        }
        let _waiting = self.connections.memory().wait();
        let waiting = async {
            let room = pool.acquire_many_owned(step as u32).await.ok()?;
            loop {
                if let Some(held) = self.hold(step).await {
                    return Some((room, held));
                }
                sleep(START_RETRY_INTERVAL).await;
            }
        };
        let began = Instant::now();
        let grown = timeout(GROWTH_WAIT.saturating_sub(*waited), waiting).await;
        *waited += began.elapsed();
        let (room, held) = grown.unwrap_or(None).ok_or_else(|| self.refuse())?;
        reservation.add(room, held);
        Ok(())
    }

    fn refuse(&self) -> BodyError {
        self.connections.memory().on_refusal();
        BodyError::MemoryFull
    }
}

/// The memory that is reserved for one body, given back when this is dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    room: Option<OwnedSemaphorePermit>,
    held: Option<HeldMemory>,
}

impl Reservation {
    /// Returns the length to which the body may grow.
    pub(crate) fn max_length(&self) -> u64 {
        let room = self.room.as_ref().map_or(0, |room| room.num_permits());
        INLINE_BODY.0 + room as u64
    }

    fn add(&mut self, room: OwnedSemaphorePermit, held: HeldMemory) {
        if let (Some(own_room), Some(own_held)) = (&mut self.room, &mut self.held) {
            own_room.merge(room);
            own_held.merge(held);
        }
    }
}
