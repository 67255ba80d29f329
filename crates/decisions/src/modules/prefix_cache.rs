//! The contents of the engines' prefix caches, as known from their events.
//!
//! The index maps blocks to holders, so that the cost of a lookup depends on the blocks of one
//! prompt and not on the size of the fleet. Events may be late or missing: entries are hints that
//! expire.

use crate::index::EndpointIx;
use bridgevane_types::TimeMs;
use std::collections::HashMap;
use std::collections::VecDeque;

/// The maximum number of holders remembered per block. A prefix is spread over few engines; each
/// holder takes 16 bytes per block.
const MAX_HOLDERS: usize = 4;

/// The engines that may hold a prefix, each with the number of its blocks that the engine holds.
pub type Holders = [Option<(EndpointIx, u32)>; MAX_HOLDERS];

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: EndpointIx,
    seen_at: TimeMs,
}

/// An index from prompt blocks to the engines that hold them.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    holders: HashMap<u64, [Option<Holder>; MAX_HOLDERS]>,
    insertion_order: VecDeque<u64>,
}

impl PrefixCache {
    /// Records that `engine` holds `block`.
    pub fn record_stored(
        &mut self,
        now: TimeMs,
        block: u64,
        engine: EndpointIx,
        max_blocks: usize,
    ) {
        let holder = Holder {
            engine,
            seen_at: now,
        };
        if let Some(holders) = self.holders.get_mut(&block) {
            let same = |slot: &Option<Holder>| slot.is_some_and(|known| known.engine == engine);
            let index = holders
                .iter()
                .position(same)
                .unwrap_or_else(|| oldest_slot(holders));
            holders[index] = Some(holder);
            return;
        }
        let mut holders = [None; MAX_HOLDERS];
        holders[0] = Some(holder);
        self.holders.insert(block, holders);
        self.insertion_order.push_back(block);
        if self.insertion_order.len() > max_blocks
            && let Some(first) = self.insertion_order.pop_front()
        {
            self.holders.remove(&first);
        }
    }

    /// Records that `engine` evicted `block`.
    pub(crate) fn record_evicted(&mut self, block: u64, engine: EndpointIx) {
        if let Some(holders) = self.holders.get_mut(&block) {
            for slot in holders.iter_mut() {
                if slot.is_some_and(|known| known.engine == engine) {
                    *slot = None;
                }
            }
        }
    }

    /// Returns the engines that hold the longest known prefixes of `blocks`.
    pub fn holders_of(&self, now: TimeMs, blocks: &[u64], memory_ms: u64) -> Holders {
        let mut found: Holders = [None; MAX_HOLDERS];
        for (index, block) in blocks.iter().enumerate().rev() {
            let Some(holders) = self.holders.get(block) else {
                continue;
            };
            for holder in holders.iter().flatten() {
                if now.since(holder.seen_at).0 <= memory_ms {
                    add_holder(&mut found, holder.engine, index as u32 + 1);
                }
            }
            if found.iter().all(Option::is_some) {
                break;
            }
        }
        found
    }
}

fn oldest_slot(holders: &[Option<Holder>; MAX_HOLDERS]) -> usize {
    let seen_at = |slot: &Option<Holder>| slot.map_or(TimeMs(0), |holder| holder.seen_at);
    let oldest_slot = (0..MAX_HOLDERS).min_by_key(|index| seen_at(&holders[*index]));
    // There is always an oldest slot, since MAX_HOLDERS isn't 0.
    oldest_slot.unwrap_or(0)
}

/// Adds an engine unless it is already present, with a longer prefix.
fn add_holder(found: &mut Holders, engine: EndpointIx, blocks: u32) {
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
