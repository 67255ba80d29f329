//! What a test sees of the fleet.

use super::*;

impl Fleet {
    /// Notes how long circles of parents stand.
    pub(super) fn note_circles(&mut self) {
        let mut standing = BTreeMap::new();
        for start in 0..self.len() {
            let mut way = vec![start];
            let mut seen = HashSet::from([start]);
            while let Some(parent) = way.last().and_then(|last| self.daemons[*last].parent) {
                if !seen.insert(parent) {
                    let first = way.iter().position(|daemon| *daemon == parent);
                    let mut circle = way.split_off(first.unwrap_or(0));
                    circle.sort_unstable();
                    let since = self.circles_since.get(&circle).copied().unwrap_or(self.now);
                    self.longest_circle_ms = self.longest_circle_ms.max(self.now - since);
                    standing.insert(circle, since);
                    break;
                }
                way.push(parent);
            }
        }
        self.circles_since = standing;
    }

    /// The oldest proof of the given daemons that live; none: one has none.
    pub fn oldest_proof(&self, daemons: &[usize]) -> Option<u64> {
        let living = daemons.iter().filter(|at| self.daemons[**at].is_alive);
        let ages = living.map(|at| Some(self.now - self.daemons[*at].proved_at?.0));
        ages.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.len()).collect()
    }

    /// Levels of the tree.
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

    /// Calls of the source since a second, by daemons that are no seeds.
    pub fn calls_of_others_since(&self, from_s: u64) -> usize {
        let calls = self.source_calls.iter();
        calls
            .filter(|(at_s, daemon)| *at_s >= from_s && *daemon >= self.seeds.len())
            .count()
    }

    /// The most daemons that asked the source in one second since then, seeds apart.
    pub fn most_at_source_since(&self, from_s: u64) -> usize {
        let mut by_second: BTreeMap<u64, HashSet<usize>> = BTreeMap::new();
        for (at_s, daemon) in &self.source_calls {
            if *at_s >= from_s && *daemon >= self.seeds.len() {
                by_second.entry(*at_s).or_default().insert(*daemon);
            }
        }
        by_second.values().map(HashSet::len).max().unwrap_or(0)
    }

    /// The path of a daemon, for messages of failed tests.
    pub fn path_of(&self, daemon: usize) -> SourcePath {
        self.daemons[daemon].selector.path()
    }
}
