//! At most one run for each idempotency key.
//!
//! The home of a key remembers who runs its call and how it ended. Nothing of it is stored
//! elsewhere: when a home dies, the next one answers "unknown" for keys that the dead one
//! may have known, and never lets them run again, until the platform no longer lists the
//! dead VM and the memory of its keys would have ended. A daemon that has just started asks
//! the home among the older daemons about keys that it doesn't know; that one may have
//! started lately too and asks in turn. Whoever finds no older daemon says that no memory is
//! left, and what is stored outside decides whether there ever was any.

use crate::configs::KeyRegistryConfig;
use crate::modules::rendezvous::home_of;
use bridgevane_types::{Incarnation, RequestId, TimeMs, VmId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyMember {
    /// The VM.
    pub vm: VmId,
    /// Its life: an older daemon has a lower one.
    pub incarnation: Incarnation,
}

/// A call that asks to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Service, customer and key.
    pub key: String,
    /// Digest of the call: the same key with another call is refused.
    pub call_digest: u64,
    /// The request.
    pub request: RequestId,
    /// The daemon that would run it.
    pub runner: VmId,
    /// Whether the endpoint recognises a repeated key by itself.
    pub endpoint_deduplicates: bool,
}

/// An answer that can be given again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// What the home says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it.
    Run,
    /// It runs for another request.
    Running,
    /// It ran, with this answer.
    Done(StoredAnswer),
    /// It may have run.
    Unknown,
    /// The key was used for another call.
    Mismatch,
    /// Ask this daemon: it was the home before.
    AskBefore(VmId),
    /// No older daemon is left: nobody here can know the key.
    NoMemory,
    /// No more keys can be remembered: the call did not run.
    Full,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyEnd {
    /// It did not run: the key is free again.
    NotRun,
    /// It ran, with this answer.
    Done(StoredAnswer),
    /// It may have run.
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
}

/// A daemon that was lost.
#[derive(Clone, Copy, Debug)]
struct Lost {
    /// When the platform's list stopped showing it; none: it shows it still, or is away.
    delisted_at: Option<TimeMs>,
}

/// The keys whose home this daemon is.
#[derive(Clone, Debug)]
pub struct KeyRegistry {
    config: KeyRegistryConfig,
    own: KeyMember,
    started_at: TimeMs,
    entries: HashMap<String, KeyEntry>,
    ended: VecDeque<(TimeMs, String)>,
    lost: BTreeMap<VmId, Lost>,
}

impl KeyRegistry {
    /// An empty registry of a daemon that starts now.
    pub fn new(config: KeyRegistryConfig, own: KeyMember, now: TimeMs) -> Self {
        Self {
            config,
            own,
            started_at: now,
            entries: HashMap::new(),
            ended: VecDeque::new(),
            lost: BTreeMap::new(),
        }
    }

    /// Decides on a claim; `members` are the live daemons, this one included.
    pub fn claim(&mut self, now: TimeMs, claim: Claim, members: &[KeyMember]) -> Verdict {
        self.expire(now);
        if let Some(entry) = self.entries.get(&claim.key) {
            return known(entry, &claim);
        }
        if claim.endpoint_deduplicates {
            return self.let_run(claim);
        }
        if self.is_doubtful(&claim.key, members) {
            return Verdict::Unknown;
        }
        if now.since(self.started_at) >= self.config.remember_ms {
            return self.let_run(claim);
        }
        match self.home_before(&claim.key, members) {
            Some(before) => Verdict::AskBefore(before),
            None => Verdict::NoMemory,
        }
    }

    /// Takes the verdict of the home before this one on a claim that it was asked about, or,
    /// where none is left, what is stored outside about it.
    pub fn apply_earlier_verdict(&mut self, claim: Claim, verdict: Verdict) -> Verdict {
        match verdict {
            Verdict::Run => self.let_run(claim),
            Verdict::AskBefore(_) | Verdict::NoMemory => Verdict::Unknown,
            other => other,
        }
    }

    fn let_run(&mut self, claim: Claim) -> Verdict {
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
        };
        self.entries.insert(claim.key, entry);
        Verdict::Run
    }

    /// Notes how the call of a key ended. Only the request that ran it can tell.
    pub fn ended(&mut self, now: TimeMs, key: &str, request: RequestId, end: KeyEnd) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        // An end is told again when its answer was lost.
        let is_told_again = matches!(entry.state, ClaimState::Done(_));
        if entry.request != request || is_told_again {
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
                // Too large to give again: that it ran is what matters.
                let body = Vec::new();
                entry.state = ClaimState::Done(StoredAnswer { body, ..answer });
            }
            KeyEnd::Unknown => entry.state = ClaimState::Unknown,
        }
        self.ended.push_back((now, key.to_owned()));
    }

    /// A daemon was lost: what it ran may have run, and what it was home of isn't known here.
    pub fn member_lost(&mut self, now: TimeMs, vm: &VmId) {
        self.lost.insert(vm.clone(), Lost { delisted_at: None });
        for (key, entry) in &mut self.entries {
            if matches!(&entry.state, ClaimState::Running { runner } if runner == vm) {
                entry.state = ClaimState::Unknown;
                self.ended.push_back((now, key.clone()));
            }
        }
    }

    /// Follows the platform's list: daemons that it shows no longer are really gone.
    pub fn listed(&mut self, now: TimeMs, listed: &[VmId]) {
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

    /// Whether a lost daemon was the key's home, so that the key may be known to it alone.
    fn is_doubtful(&self, key: &str, members: &[KeyMember]) -> bool {
        let is_live = |vm: &VmId| members.iter().any(|member| member.vm == *vm);
        let lost = self.lost.keys().filter(|vm| !is_live(vm));
        let live = members.iter().map(|member| &member.vm);
        home_of(key, live.chain(lost)).is_some_and(|home| !is_live(home))
    }

    /// The key's home among the daemons that are older than this one.
    fn home_before(&self, key: &str, members: &[KeyMember]) -> Option<VmId> {
        let own = (self.own.incarnation, &self.own.vm);
        let is_older = |member: &&KeyMember| (member.incarnation, &member.vm) < own;
        let older = members.iter().filter(is_older).map(|member| &member.vm);
        home_of(key, older).cloned()
    }

    fn expire(&mut self, now: TimeMs) {
        while let Some((at, key)) = self.ended.front() {
            if now.since(*at) < self.config.remember_ms {
                return;
            }
            self.entries.remove(key);
            self.ended.pop_front();
        }
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn known(entry: &KeyEntry, claim: &Claim) -> Verdict {
    if entry.call_digest != claim.call_digest {
        return Verdict::Mismatch;
    }
    match &entry.state {
        ClaimState::Running { .. } => Verdict::Running,
        ClaimState::Done(answer) => Verdict::Done(answer.clone()),
        ClaimState::Unknown => Verdict::Unknown,
    }
}
