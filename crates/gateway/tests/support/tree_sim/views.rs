//! Views of the fleet's state for tests.

use super::*;

impl Fleet {
    /// Records how long the current cycles of parents have existed.
    pub(super) fn record_cycles(&mut self) {
        let mut current_cycles = BTreeMap::new();
        for start in 0..self.len() {
            let mut path = vec![start];
            let mut seen = HashSet::from([start]);
            while let Some(parent) = path.last().and_then(|last| self.daemons[*last].parent) {
                if !seen.insert(parent) {
                    let first = path.iter().position(|daemon| *daemon == parent);
                    let mut cycle = path.split_off(first.unwrap_or(0));
                    cycle.sort_unstable();
                    let since = self.cycles_since.get(&cycle).copied().unwrap_or(self.now);
                    self.longest_cycle_ms = self.longest_cycle_ms.max(self.now - since);
                    current_cycles.insert(cycle, since);
                    break;
                }
                path.push(parent);
            }
        }
        self.cycles_since = current_cycles;
    }

    /// Returns the age of the oldest proof of the given daemons that run; `None` if one has no
    /// proof.
    pub fn oldest_proof(&self, daemons: &[usize]) -> Option<u64> {
        let living = daemons.iter().filter(|at| self.daemons[**at].is_alive);
        let ages = living.map(|at| Some(self.now - self.daemons[*at].proved_at?.0));
        ages.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    /// Returns whether a daemon's process runs and isn't frozen.
    pub fn is_awake(&self, at: usize) -> bool {
        self.daemons[at].is_alive && !self.is_frozen(at)
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.len()).collect()
    }

    /// Returns the number of levels of the tree.
    pub fn depth(&self) -> usize {
        let depths = (0..self.len()).map(|start| {
            let mut depth = 1;
            let mut at = start;
            while let Some(parent) = self.daemons[at].parent {
                depth += 1;
                at = parent;
                if depth > self.len() {
                    break;
                }
            }
            depth
        });
        depths.max().unwrap_or(0)
    }

    /// Returns the number of polls of the source by daemons that are no seeds, since the given
    /// second.
    pub fn polls_by_non_seeds_since(&self, from_s: u64) -> usize {
        let calls = self.source_polls.iter();
        calls
            .filter(|(at_s, daemon)| *at_s >= from_s && *daemon >= self.seeds.len())
            .count()
    }

    /// Returns the largest number of daemons, seeds excluded, that polled the source in one second
    /// since then.
    pub fn max_polling_daemons_since(&self, from_s: u64) -> usize {
        let mut by_second: BTreeMap<u64, HashSet<usize>> = BTreeMap::new();
        for (at_s, daemon) in &self.source_polls {
            if *at_s >= from_s && *daemon >= self.seeds.len() {
                by_second.entry(*at_s).or_default().insert(*daemon);
            }
        }
        by_second.values().map(HashSet::len).max().unwrap_or(0)
    }

    /// Returns the path of a daemon, for messages of failed tests.
    pub fn path_of(&self, daemon: usize) -> SourcePath {
        self.daemons[daemon].selector.path()
    }
}
