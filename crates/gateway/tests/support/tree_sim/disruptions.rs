//! Disruptions of many daemons at a time.

use super::*;

/// What happens to daemons at random.
#[derive(Clone, Copy, Debug)]
pub enum Disruption {
    /// Half of them stand still for 0.5 to 5 s.
    FreezeHalf,
    KillHalf,
    KillAll,
    /// A few reach neither others nor the source.
    CutOffFew,
}

impl Disruption {
    pub const ALL: [Self; 4] = [
        Self::FreezeHalf,
        Self::KillHalf,
        Self::KillAll,
        Self::CutOffFew,
    ];
}

impl Fleet {
    pub fn random_daemon(&mut self) -> usize {
        self.random_below(self.len() as u64) as usize
    }

    /// Disrupts the fleet; returns the daemons concerned, and when each is back if the disruption ends
    /// after `away_ms`.
    pub fn disrupt(&mut self, disruption: Disruption, away_ms: u64) -> Vec<(usize, u64)> {
        let one_in = match disruption {
            Disruption::FreezeHalf | Disruption::KillHalf => 2,
            Disruption::KillAll => 1,
            Disruption::CutOffFew => self.len() as u64 / 3,
        };
        let mut concerned = Vec::new();
        for at in self.all() {
            if self.random_below(one_in) > 0 {
                continue;
            }
            let mut for_ms = away_ms;
            match disruption {
                Disruption::FreezeHalf => {
                    for_ms = 500 + self.random_below(4_500);
                    self.freeze(at, for_ms);
                }
                Disruption::KillHalf | Disruption::KillAll => self.kill(at),
                Disruption::CutOffFew => {
                    self.partition[at] = 1 + at as u32;
                    self.is_served[at] = false;
                }
            }
            concerned.push((at, self.now + for_ms));
        }
        concerned
    }

    /// Ends it; frozen daemons resume by themselves.
    pub fn end_disruption(&mut self) {
        self.partition.fill(0);
        self.is_served.fill(true);
        self.restart_dead();
    }
}
