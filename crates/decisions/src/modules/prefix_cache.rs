//! What the engines' prefix caches hold, as far as their events say.
//!
//! The index goes from block to holders, so that a look-up costs the blocks of one prompt,
//! not the fleet. Events may be late and have gaps: what is known is a hint that ages out.

use crate::index::EndpointIx;
use bridgevane_types::TimeMs;
use std::collections::HashMap;
use std::collections::VecDeque;

/// Holders that are remembered for a block. Not measured, chosen because a prefix is spread over
/// few engines; each costs 16 bytes a block.
const MAX_HOLDERS: usize = 4;

/// Engines that may hold a prefix, with the blocks that each holds of it.
pub type Holders = [Option<(EndpointIx, u32)>; MAX_HOLDERS];

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: EndpointIx,
    seen_at: TimeMs,
}

/// The index.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    holders: HashMap<u64, [Option<Holder>; MAX_HOLDERS]>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Notes that `engine` holds `block`.
    pub fn stored(&mut self, now: TimeMs, block: u64, engine: EndpointIx, max_blocks: usize) {
        let holder = Holder {
            engine,
            seen_at: now,
        };
        if let Some(holders) = self.holders.get_mut(&block) {
            let same = |slot: &Option<Holder>| slot.is_some_and(|known| known.engine == engine);
            let at = holders
                .iter()
                .position(same)
                .unwrap_or_else(|| oldest(holders));
            holders[at] = Some(holder);
            return;
        }
        let mut holders = [None; MAX_HOLDERS];
        holders[0] = Some(holder);
        self.holders.insert(block, holders);
        self.order.push_back(block);
        if self.order.len() > max_blocks
            && let Some(first) = self.order.pop_front()
        {
            self.holders.remove(&first);
        }
    }

    /// Notes that `engine` dropped `block`.
    pub(crate) fn evicted(&mut self, block: u64, engine: EndpointIx) {
        if let Some(holders) = self.holders.get_mut(&block) {
            for slot in holders.iter_mut() {
                if slot.is_some_and(|known| known.engine == engine) {
                    *slot = None;
                }
            }
        }
    }

    /// The engines that hold the longest known prefixes of `blocks`.
    pub fn holders_of(&self, now: TimeMs, blocks: &[u64], memory_ms: u64) -> Holders {
        let mut found: Holders = [None; MAX_HOLDERS];
        for (at, block) in blocks.iter().enumerate().rev() {
            let Some(holders) = self.holders.get(block) else {
                continue;
            };
            for holder in holders.iter().flatten() {
                if now.since(holder.seen_at).0 <= memory_ms {
                    add(&mut found, holder.engine, at as u32 + 1);
                }
            }
            if found.iter().all(Option::is_some) {
                break;
            }
        }
        found
    }
}

fn oldest(holders: &[Option<Holder>; MAX_HOLDERS]) -> usize {
    let seen_at = |slot: &Option<Holder>| slot.map_or(TimeMs(0), |holder| holder.seen_at);
    let oldest = (0..MAX_HOLDERS).min_by_key(|at| seen_at(&holders[*at]));
    // There is always an oldest: MAX_HOLDERS isn't 0.
    oldest.unwrap_or(0)
}

/// Adds an engine unless it is there with a longer prefix.
fn add(found: &mut Holders, engine: EndpointIx, blocks: u32) {
    for slot in found {
        match slot {
            Some((known, _)) if *known == engine => return,
            Some(_) => {}
            None => {
                *slot = Some((engine, blocks));
                return;
            }
        }
    }
}
