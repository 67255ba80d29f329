//! The network between simulated daemons: polls, probes and the exchange between seeds, as
//! `replication::{client, server, seed_exchange}` send and answer them.
//!
//! A message takes some milliseconds. A suspended daemon neither sends nor answers; the connection
//! to a killed one fails at once.

use super::SimulatedPlatform;
use bridgevane_gateway::decisions::replication::followers::{
    Follower, FollowerPlacement, Followers, Subtree,
};
use bridgevane_gateway::decisions::replication::hold::max_hold;
use bridgevane_gateway::decisions::replication::proof_limits::ProofLimits;
use bridgevane_gateway::decisions::replication::source_path::SourcePath;
use bridgevane_gateway::decisions::replication::upstream::PeerReport;
use bridgevane_gateway::{Gateway, ReplicaUpdate, Revision};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// How long a message between daemons takes.
const LATENCY: Duration = Duration::from_millis(2);
/// The timeouts of `replication::client`.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
const FULL_STATE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// What is added to the age of a proof that is sent, so that it never seems younger than it is.
const PROOF_MARGIN: DurationMs = DurationMs(3);
/// The delay between two probes of `replication::seed_exchange`.
const SEED_EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// There was no usable answer.
#[derive(Debug)]
pub struct NoAnswer;

/// A daemon as others reach it.
pub struct Peer {
    pub vm: VmId,
    pub data_centre: DataCentreId,
    pub address: SocketAddr,
    pub limits: ProofLimits,
    gateway: Weak<Gateway>,
    followers: Mutex<Followers>,
    path: Mutex<SourcePath>,
    fresher: Mutex<Option<(SocketAddr, TimeMs)>>,
    fresher_set: Notify,
}

impl Peer {
    pub fn new(gateway: &Arc<Gateway>, address: SocketAddr) -> Arc<Self> {
        let settings = &gateway.settings;
        Arc::new(Self {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            address,
            limits: ProofLimits::new(
                settings.freshness.proof_lifetime_ms,
                settings.freshness.config_apply_ms,
            ),
            gateway: Arc::downgrade(gateway),
            followers: Mutex::new(Followers::new(settings.data_centre.clone())),
            path: Mutex::default(),
            fresher: Mutex::default(),
            fresher_set: Notify::new(),
        })
    }

    fn gateway(&self) -> Result<Arc<Gateway>, NoAnswer> {
        self.gateway.upgrade().ok_or(NoAnswer)
    }

    pub fn is_running(&self) -> bool {
        self.gateway.strong_count() > 0
    }

    pub fn set_path(&self, path: SourcePath) {
        *self.path.lock().unwrap() = path;
    }

    /// Takes the daemon with the newest proof that was reported since the last call.
    pub fn take_fresher(&self) -> Option<(SocketAddr, TimeMs)> {
        self.fresher.lock().unwrap().take()
    }

    /// Waits until a daemon has reported a newer proof that wasn't taken yet.
    pub async fn wait_for_fresher(&self) {
        while self.fresher.lock().unwrap().is_none() {
            self.fresher_set.notified().await;
        }
    }

    /// Remembers a polling daemon whose proof is newer than this one's, if this one's is old.
    fn on_proof_reported(&self, gateway: &Gateway, poll: &Poll) {
        let Some(age) = poll.proof_age else {
            return;
        };
        let control = &gateway.control;
        if poll.after.era() != control.replica().revision().era() {
            return;
        }
        let is_fresh = |own: DurationMs| own < self.limits.adopt_below;
        let proved_at = TimeMs(gateway.clock.now().0 - age.0);
        if control.proof_age().is_some_and(is_fresh) || Some(proved_at) <= control.proved_at() {
            return;
        }
        let mut fresher = self.fresher.lock().unwrap();
        if fresher.is_none_or(|(_, known)| known <= proved_at) {
            *fresher = Some((poll.address, proved_at));
            self.fresher_set.notify_one();
        }
    }

    fn report(&self, gateway: &Gateway) -> PeerReport {
        PeerReport {
            data_centre: self.data_centre.clone(),
            proof_age: gateway.control.proof_age().map(|age| age + PROOF_MARGIN),
            path: self.path.lock().unwrap().clone(),
            redirect: None,
            siblings: Vec::new(),
        }
    }
}

/// A poll of another daemon.
#[derive(Clone)]
struct Poll {
    vm: VmId,
    data_centre: DataCentreId,
    address: SocketAddr,
    subtree: Subtree,
    after: Revision,
    proof_age: Option<DurationMs>,
}

/// The answer to a poll.
pub struct Answer {
    /// The revision up to which the other daemon is complete.
    pub at: Revision,
    pub update: ReplicaUpdate,
    /// The proof's age is that at the time of the answer, by the other daemon's clock.
    pub report: PeerReport,
}

/// An open connection to another daemon.
#[derive(Default)]
pub struct PeerConnection {
    open: Option<(SocketAddr, Option<TimeMs>)>,
}

/// The daemons by address.
#[derive(Clone, Default)]
pub struct PeerNetwork {
    peers: Arc<Mutex<BTreeMap<SocketAddr, Arc<Peer>>>>,
}

impl PeerNetwork {
    pub fn register(&self, peer: &Arc<Peer>) {
        let mut peers = self.peers.lock().unwrap();
        peers.insert(peer.address, peer.clone());
    }

    fn peer(&self, address: SocketAddr) -> Result<Arc<Peer>, NoAnswer> {
        let peers = self.peers.lock().unwrap();
        peers.get(&address).cloned().ok_or(NoAnswer)
    }

    /// Returns the number of running daemons.
    pub fn len(&self) -> u32 {
        let peers = self.peers.lock().unwrap();
        peers.values().filter(|peer| peer.is_running()).count() as u32
    }

    /// Returns how many running seeds have a smaller address.
    pub fn seeds_before(&self, seeds: &[SocketAddr], own: SocketAddr) -> usize {
        let before = seeds.iter().filter(|seed| **seed < own);
        let peers = before.filter_map(|seed| self.peer(*seed).ok());
        peers.filter(|peer| peer.is_running()).count()
    }

    /// Polls a daemon for the records after `after`; 0 asks for the full state.
    pub async fn poll(
        &self,
        platform: &SimulatedPlatform,
        own: &Peer,
        connection: &mut PeerConnection,
        to: SocketAddr,
        after: Revision,
    ) -> Result<Answer, NoAnswer> {
        let open = connection.open.take().filter(|(peer, _)| *peer == to);
        let limit = match open {
            _ if after == Revision(0) => FULL_STATE_TIMEOUT,
            Some(_) => ANSWER_TIMEOUT,
            None => FIRST_ANSWER_TIMEOUT,
        };
        let sent_proof = open.and_then(|(_, sent_proof)| sent_proof);
        let polling = self.answer(platform, own, to, after, sent_proof);
        let (answer, sent_proof) = timeout(limit, polling).await.map_err(|_| NoAnswer)??;
        connection.open = Some((to, sent_proof));
        Ok(answer)
    }

    /// Asks a daemon for its place in the tree and its proof.
    pub async fn probe(
        &self,
        platform: &SimulatedPlatform,
        own: &Peer,
        to: SocketAddr,
    ) -> Result<Answer, NoAnswer> {
        let probing = async {
            let poll = own_poll(own, Revision(0))?;
            sleep(LATENCY).await;
            let peer = self.peer(to)?;
            wait_while_suspended(platform, own, &peer).await;
            let answer = {
                let gateway = peer.gateway()?;
                peer.on_proof_reported(&gateway, &poll);
                Answer {
                    at: gateway.control.replica().revision(),
                    update: ReplicaUpdate::Changes(Vec::new()),
                    report: peer.report(&gateway),
                }
            };
            sleep(LATENCY).await;
            Ok(answer)
        };
        timeout(PROBE_TIMEOUT, probing)
            .await
            .map_err(|_| NoAnswer)?
    }

    async fn answer(
        &self,
        platform: &SimulatedPlatform,
        own: &Peer,
        to: SocketAddr,
        after: Revision,
        sent_proof: Option<TimeMs>,
    ) -> Result<(Answer, Option<TimeMs>), NoAnswer> {
        let poll = own_poll(own, after)?;
        sleep(LATENCY).await;
        let peer = self.peer(to)?;
        wait_while_suspended(platform, own, &peer).await;
        let placement = place(&peer, &poll)?;
        if placement != FollowerPlacement::Here {
            sleep(LATENCY).await;
            return Ok((answer_elsewhere(&peer, &poll, placement), None));
        }
        wait_for_update(&peer, after, sent_proof).await?;
        wait_while_suspended(platform, own, &peer).await;
        let answered = {
            let gateway = peer.gateway()?;
            let now = gateway.clock.now();
            let mut followers = peer.followers.lock().unwrap();
            followers.on_answered(now, &poll.vm);
            let replica = gateway.control.replica();
            let answer = Answer {
                at: replica.revision(),
                update: replica.update_since(after),
                report: PeerReport {
                    siblings: followers.siblings(now, &poll.vm),
                    ..peer.report(&gateway)
                },
            };
            (answer, gateway.control.proved_at())
        };
        sleep(LATENCY).await;
        Ok(answered)
    }

    /// Exchanges proofs with the other seeds, until the daemon ends.
    pub async fn exchange_between_seeds(
        self,
        platform: SimulatedPlatform,
        own: Arc<Peer>,
        seeds: Vec<SocketAddr>,
    ) {
        loop {
            sleep(SEED_EXCHANGE_INTERVAL).await;
            for seed in seeds.iter().filter(|seed| **seed != own.address) {
                let asked_at = own.gateway().map(|gateway| gateway.clock.now());
                let answer = self.probe(&platform, &own, *seed).await;
                let (Ok(asked_at), Ok(answer)) = (asked_at, answer) else {
                    continue;
                };
                let age = answer.report.proof_age;
                if let (Some(age), Ok(gateway)) = (age, own.gateway()) {
                    let proved_at = TimeMs(asked_at.0 - age.0);
                    gateway.control.adopt_proof(answer.at, proved_at);
                }
            }
        }
    }
}

fn own_poll(own: &Peer, after: Revision) -> Result<Poll, NoAnswer> {
    let gateway = own.gateway()?;
    let followers = own.followers.lock().unwrap();
    Ok(Poll {
        vm: own.vm.clone(),
        data_centre: own.data_centre.clone(),
        address: own.address,
        subtree: followers.subtree(gateway.clock.now(), Default::default(), |_| true),
        after: gateway.control.replica().revision().max(after),
        proof_age: gateway.control.proof_age().map(|age| age + PROOF_MARGIN),
    })
}

/// Waits forever if one of the two daemons is suspended: the poller's timeout ends it.
async fn wait_while_suspended(platform: &SimulatedPlatform, own: &Peer, other: &Peer) {
    let is_suspended = |peer: &Peer| platform.is_suspended(peer.vm.as_str());
    if is_suspended(own) || is_suspended(other) {
        std::future::pending::<()>().await;
    }
}

/// Decides which daemon answers a poll.
fn place(peer: &Peer, poll: &Poll) -> Result<FollowerPlacement, NoAnswer> {
    let gateway = peer.gateway()?;
    peer.on_proof_reported(&gateway, poll);
    let follower = Follower {
        vm: poll.vm.clone(),
        data_centre: poll.data_centre.clone(),
        address: poll.address,
        subtree: poll.subtree.clone(),
    };
    let path = peer.path.lock().unwrap().clone();
    let mut followers = peer.followers.lock().unwrap();
    Ok(followers.place(gateway.clock.now(), follower, &path))
}

/// Returns the answer to a daemon that is redirected, or through which this one follows the source.
fn answer_elsewhere(peer: &Peer, poll: &Poll, placement: FollowerPlacement) -> Answer {
    let (path, redirect) = match placement {
        FollowerPlacement::Redirect(address) => (SourcePath::detached(), Some(address)),
        _ => {
            let path = SourcePath::new(vec![poll.address], false);
            (path.expect("a short path"), None)
        }
    };
    Answer {
        at: Revision(0),
        update: ReplicaUpdate::Changes(Vec::new()),
        report: PeerReport {
            data_centre: peer.data_centre.clone(),
            proof_age: None,
            path,
            redirect,
            siblings: Vec::new(),
        },
    }
}

/// Waits until there is something new for the polling daemon, or until the hold time is over.
async fn wait_for_update(
    peer: &Peer,
    after: Revision,
    sent_proof: Option<TimeMs>,
) -> Result<(), NoAnswer> {
    let (mut progress, hold) = {
        let gateway = peer.gateway()?;
        let hold = max_hold(false, gateway.control.proof_age(), peer.limits);
        (gateway.control.progress(), hold)
    };
    let waiting = async {
        loop {
            {
                // Not kept while waiting: a killed daemon ends at once.
                let gateway = peer.gateway()?;
                let has_changes = gateway.control.replica().revision() > after;
                if has_changes || gateway.control.proved_at() > sent_proof {
                    return Ok(());
                }
            }
            progress.changed().await.map_err(|_| NoAnswer)?;
        }
    };
    // An answer without changes shows that this daemon is alive.
    timeout(hold.as_std(), waiting).await.unwrap_or(Ok(()))
}
