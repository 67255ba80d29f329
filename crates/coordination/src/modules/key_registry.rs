//! At most one run for each idempotency key.
//!
//! The home of a key remembers which daemon runs the key's call and how the call ended. This
//! memory isn't stored anywhere else. When a home dies, the next home answers "unknown" for keys
//! that the dead one may have known, and doesn't let them run. This ends when the platform no
//! longer lists the dead VM and the retention time of its keys has passed since.
//!
//! A daemon that started recently asks the home among the older daemons about keys that it doesn't
//! know. That daemon may have started recently, too, and then asks the next older home. If there
//! is no older daemon, the verdict says so, and the state in the external store decides whether
//! there ever was one.

use crate::configs::KeyRegistryConfig;
use crate::modules::rendezvous::home_of;
use bridgevane_types::{Incarnation, RequestId, TimeMs, VmId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyMember {
    /// The daemon's VM.
    pub vm: VmId,
    /// The daemon's incarnation; an older daemon has a lower one.
    pub incarnation: Incarnation,
}

/// The request to run the call of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service, customer and key.
    pub key: String,
    /// Digest of the call; the same key with a different call is refused.
    pub call_digest: u64,
    /// The request that carries the call.
    pub request: RequestId,
    /// The daemon that would run the call.
    pub runner: VmId,
    /// Whether the endpoint itself recognises repeated keys.
    pub endpoint_deduplicates: bool,
}

/// The answer of a call, kept for repetitions of the call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The HTTP status of the answer.
    pub status: u16,
    /// The answer's content type; empty if it has none.
    pub content_type: String,
    /// The answer's body; empty if it was too large to keep.
    pub body: Vec<u8>,
}

/// The home's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may run.
    Run,
    /// The call is running for another request.
    Running,
    /// The call ran, with this answer.
    Done(StoredAnswer),
    /// The call may have run.
    Unknown,
    /// The key was used for a different call.
    Mismatch,
    /// The daemon of this VM is the key's home among the older daemons and has to be asked.
    AskEarlierHome(VmId),
    /// There is no older daemon that could know the key.
    NoOlderDaemon,
    /// The registry is full: the call did not run.
    Full,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyEnd {
    /// The call did not run: its key is free again.
    NotRun,
    /// The call ran, with this answer.
    Done(StoredAnswer),
    /// The call may have run.
    Unknown,
}

#[derive(Clone, Debug)]
enum ClaimState {
    Running { runner: VmId },
    Done(StoredAnswer),
    Unknown,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    call_digest: u64,
    request: RequestId,
    state: ClaimState,
    /// When the call ended, as last reported; `None` while it runs.
    ended_at: Option<TimeMs>,
}

/// A daemon that counts as dead.
#[derive(Clone, Copy, Debug)]
struct LostMember {
    /// When the platform's list stopped showing the daemon; `None` while the list shows it or
    /// can't be read.
    delisted_at: Option<TimeMs>,
}

/// The idempotency keys whose home is this daemon.
#[derive(Clone, Debug)]
pub struct KeyRegistry {
    config: KeyRegistryConfig,
    own: KeyMember,
    started_at: TimeMs,
    entries: HashMap<String, KeyEntry>,
    /// The keys whose calls have ended, with the time of each end, oldest first.
    expiry_queue: VecDeque<(TimeMs, String)>,
    lost: BTreeMap<VmId, LostMember>,
}

impl KeyRegistry {
    /// Creates the empty registry of a daemon that starts at `now`.
    pub fn new(config: KeyRegistryConfig, own: KeyMember, now: TimeMs) -> Self {
        Self {
            config,
            own,
            started_at: now,
            entries: HashMap::new(),
            expiry_queue: VecDeque::new(),
            lost: BTreeMap::new(),
        }
    }

    /// Decides on a claim; `members` are the live daemons, this one included.
    pub fn claim(&mut self, now: TimeMs, claim: Claim, members: &[KeyMember]) -> Verdict {
        self.expire(now);
        if let Some(entry) = self.entries.get(&claim.key) {
            return verdict_for_entry(entry, &claim);
        }
        if claim.endpoint_deduplicates {
            return self.start_run(claim);
        }
        if self.may_be_known_to_lost_home(&claim.key, members) {
            return Verdict::Unknown;
        }
        if now.since(self.started_at) >= self.config.remember_ms {
            return self.start_run(claim);
        }
        match self.older_home(&claim.key, members) {
            Some(older_home) => Verdict::AskEarlierHome(older_home),
            None => Verdict::NoOlderDaemon,
        }
    }

    /// Applies the verdict of the earlier home on a claim or, where there is no earlier home, the
    /// verdict derived from the external store; returns the final verdict.
    pub fn apply_earlier_verdict(&mut self, claim: Claim, verdict: Verdict) -> Verdict {
        match verdict {
            Verdict::Run => self.start_run(claim),
            Verdict::AskEarlierHome(_) | Verdict::NoOlderDaemon => Verdict::Unknown,
            other => other,
        }
    }

    fn start_run(&mut self, claim: Claim) -> Verdict {
        if self.entries.len() >= self.config.max_keys {
            return Verdict::Full;
        }
        let state = ClaimState::Running {
            runner: claim.runner,
        };
        let entry = KeyEntry {
            call_digest: claim.call_digest,
            request: claim.request,
            state,
            ended_at: None,
        };
        self.entries.insert(claim.key, entry);
        Verdict::Run
    }

    /// Records how the call of a key ended. Only the request that ran the call can end it.
    pub fn record_end(&mut self, now: TimeMs, key: &str, request: RequestId, end: KeyEnd) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        // The runner reports an end again when the acknowledgement was lost.
        let is_repeated = matches!(entry.state, ClaimState::Done(_));
        if entry.request != request || is_repeated {
            return;
        }
        match end {
            KeyEnd::NotRun => {
                self.entries.remove(key);
                return;
            }
            KeyEnd::Done(answer) if answer.body.len() <= self.config.max_answer_bytes => {
                entry.state = ClaimState::Done(answer);
            }
            KeyEnd::Done(answer) => {
                // The body is too large to keep; it still has to be known that the call ran.
                let body = Vec::new();
                entry.state = ClaimState::Done(StoredAnswer { body, ..answer });
            }
            KeyEnd::Unknown => entry.state = ClaimState::Unknown,
        }
        entry.ended_at = Some(now);
        self.expiry_queue.push_back((now, key.to_owned()));
    }

    /// Records the death of a daemon: the calls that it ran may have run, and keys of which it was
    /// the home may be unknown here.
    pub fn record_lost_member(&mut self, now: TimeMs, vm: &VmId) {
        self.lost
            .insert(vm.clone(), LostMember { delisted_at: None });
        for (key, entry) in &mut self.entries {
            if matches!(&entry.state, ClaimState::Running { runner } if runner == vm) {
                entry.state = ClaimState::Unknown;
                entry.ended_at = Some(now);
                self.expiry_queue.push_back((now, key.clone()));
            }
        }
    }

    /// Applies the platform's list of VMs: a dead daemon that the list no longer shows is certainly
    /// gone, and is forgotten after the retention time of its keys.
    pub fn apply_vm_list(&mut self, now: TimeMs, listed: &[VmId]) {
        for (vm, lost) in &mut self.lost {
            if listed.contains(vm) {
                lost.delisted_at = None;
            } else {
                lost.delisted_at.get_or_insert(now);
            }
        }
        let remember_ms = self.config.remember_ms;
        self.lost.retain(|_, lost| {
            lost.delisted_at
                .is_none_or(|at| now.since(at) < remember_ms)
        });
    }

    /// Returns whether a lost daemon was the key's home, so that only that daemon may know the key.
    fn may_be_known_to_lost_home(&self, key: &str, members: &[KeyMember]) -> bool {
        let is_live = |vm: &VmId| members.iter().any(|member| member.vm == *vm);
        let lost = self.lost.keys().filter(|vm| !is_live(vm));
        let live = members.iter().map(|member| &member.vm);
        home_of(key, live.chain(lost)).is_some_and(|home| !is_live(home))
    }

    /// Returns the key's home among the daemons that are older than this one.
    fn older_home(&self, key: &str, members: &[KeyMember]) -> Option<VmId> {
        let own = (self.own.incarnation, &self.own.vm);
        let is_older = |member: &&KeyMember| (member.incarnation, &member.vm) < own;
        let older = members.iter().filter(is_older).map(|member| &member.vm);
        home_of(key, older).cloned()
    }

    fn expire(&mut self, now: TimeMs) {
        while let Some((at, key)) = self.expiry_queue.front() {
            if now.since(*at) < self.config.remember_ms {
                return;
            }
            // A key whose call ended more than once is in the queue once for each end.
            let ended_at = self.entries.get(key).and_then(|entry| entry.ended_at);
            if ended_at == Some(*at) {
                self.entries.remove(key);
            }
            self.expiry_queue.pop_front();
        }
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn verdict_for_entry(entry: &KeyEntry, claim: &Claim) -> Verdict {
    if entry.call_digest != claim.call_digest {
        return Verdict::Mismatch;
    }
    match &entry.state {
        ClaimState::Running { .. } => Verdict::Running,
        ClaimState::Done(answer) => Verdict::Done(answer.clone()),
        ClaimState::Unknown => Verdict::Unknown,
    }
}
