//! A machine with its worker: its attempts, its agent's messages, its images.

use super::*;
use std::collections::{BTreeMap, BTreeSet};
use tallygauge_health::{MessageOrder, Reachability};
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Why a machine is to be returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnReason {
    /// It has been idle for too long, or is surplus.
    Idle,
    /// Its agent never sent a heartbeat.
    BootTimeout,
    /// The cloud reports that it failed.
    Failed,
    /// Tasks of several jobs failed on it.
    Faulty,
    /// Tasks run slower on it than on other machines.
    Slow,
    /// It does not confirm that cancelled tasks have ended.
    Unconfirmed,
    /// It has sent no heartbeat for several leases.
    Silent,
    /// It sends heartbeats, but what is sent to it does not arrive.
    Unreachable,
}

/// A decision to return a machine to the cloud.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnDecision {
    /// Why.
    pub reason: ReturnReason,
    /// When it was made, in seconds of the leader's steady clock.
    pub at: f64,
}

/// An attempt that a worker reports but no leader placed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrphanedAttempt {
    /// Name of the task as the worker reports it.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Whether it is over: then the worker is told to forget it, else to stop it.
    pub ended: bool,
}

/// Sum and number of some measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SampleSum {
    /// Sum of the measurements.
    pub sum: f64,
    /// Their number.
    pub count: u32,
}

impl SampleSum {
    /// Adds a measurement.
    pub fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    /// The mean; not a number while there are no measurements.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.sum / f64::from(self.count)
    }
}

/// A machine and the worker on it. Times are seconds of the leader's steady clock.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Address for direct messages; empty until known.
    pub endpoint: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When it was rented, as far as known.
    pub rented_at: f64,
    /// Since when it is known to exist.
    pub known_at: f64,
    /// Agent incarnation of the newest heartbeat; 0 before the first.
    pub incarnation: u64,
    /// Order of its agent's messages.
    pub message_order: MessageOrder,
    /// Highest fencing token that its heartbeats have shown.
    pub fencing_token: u64,
    /// Whether what is sent to it arrives.
    pub reachability: Reachability,
    /// Since when its heartbeats have arrived without a longer pause.
    pub heartbeats_steady_since: f64,
    /// Whether the response to its last heartbeat carried something that the next one
    /// must show: our fencing token, or a command for an attempt that is
    /// `awaiting_acknowledgement`.
    pub acknowledgement_due: bool,
    /// When the first heartbeat of the incarnation arrived.
    pub incarnation_seen_at: f64,
    /// When the machine list first showed it running: its worker may be unreachable,
    /// but it has booted.
    pub booted_at: Option<f64>,
    /// Incarnations up to this one are certainly over.
    pub last_dead_incarnation: u64,
    /// When a heartbeat first showed our fencing token.
    pub fencing_token_seen_at: Option<f64>,
    /// When a heartbeat was last answered.
    pub lease_renewed_at: f64,
    /// When the last heartbeat arrived.
    pub last_heartbeat_at: f64,
    /// When the cloud reclaims it, after a spot notice.
    pub spot_reclaim_at: Option<f64>,
    /// Attempts on it.
    pub attempts: Vec<Attempt>,
    /// Attempts on it that no leader placed: they are stopped and cleared.
    pub orphaned_attempts: Vec<OrphanedAttempt>,
    /// What its attempts leave free.
    pub free_resources: Resources,
    /// Images that it has or fetches, as far as known.
    pub images: ImageCache,
    /// The decision to return it.
    pub return_decision: Option<ReturnDecision>,
    /// Whether open work does not need it: it is the last choice for new tasks, and
    /// returned as soon as it is empty.
    pub surplus: bool,
    /// Whether the return was sent: the machine may disappear at any time.
    pub return_sent: bool,
    /// Whether a direct message waits for an answer.
    pub direct_message_in_flight: bool,
    /// Consecutive direct messages that were not answered.
    pub direct_failures: u32,
    /// No direct message before this time.
    pub next_direct_message_at: f64,
    /// Since when no attempt occupies its capacity.
    pub idle_since: f64,
    /// Jobs with failed attempts on it since a task last completed there.
    pub failed_jobs: BTreeSet<String>,
    /// Run times of tasks on it over those of the same job on other machines.
    pub runtime_ratio: SampleSum,
}

impl Worker {
    /// A machine that has sent no heartbeat yet.
    #[must_use]
    pub(crate) fn new(name: &str, kind: MachineKind, capacity: Resources, now: f64) -> Self {
        Self {
            name: name.to_string(),
            endpoint: String::new(),
            machine_type: kind.machine_type,
            zone: kind.zone,
            spot: kind.spot,
            rented_at: now,
            known_at: now,
            incarnation: 0,
            message_order: MessageOrder::default(),
            fencing_token: 0,
            reachability: Reachability::default(),
            heartbeats_steady_since: f64::INFINITY,
            acknowledgement_due: false,
            incarnation_seen_at: now,
            booted_at: None,
            last_dead_incarnation: 0,
            fencing_token_seen_at: None,
            lease_renewed_at: f64::NEG_INFINITY,
            last_heartbeat_at: f64::NEG_INFINITY,
            spot_reclaim_at: None,
            attempts: Vec::new(),
            orphaned_attempts: Vec::new(),
            free_resources: capacity,
            images: ImageCache::default(),
            return_decision: None,
            surplus: false,
            return_sent: false,
            direct_message_in_flight: false,
            direct_failures: 0,
            next_direct_message_at: f64::NEG_INFINITY,
            idle_since: now,
            failed_jobs: BTreeSet::new(),
            runtime_ratio: SampleSum::default(),
        }
    }

    /// Whether tasks may be placed on it.
    #[must_use]
    pub fn accepts_work(&self, now: f64, config: &Config) -> bool {
        self.incarnation > self.last_dead_incarnation
            && self.fencing_token_seen_at.is_some()
            && self.return_decision.is_none()
            && self.spot_reclaim_at.is_none()
            && now - self.last_heartbeat_at < config.heartbeat_timeout_s()
            && self
                .reachability
                .accepts_work(now, &config.reachability_thresholds())
    }

    /// Decides to return the machine, unless that is decided already. Returns
    /// whether the decision is new.
    pub(crate) fn decide_return(&mut self, reason: ReturnReason, now: f64) -> bool {
        if self.return_decision.is_some() {
            return false;
        }
        self.return_decision = Some(ReturnDecision { reason, at: now });
        true
    }

    /// Revokes the decision to return the machine if it was made for one of
    /// these reasons and the return was not sent yet.
    pub(crate) fn revoke_return(&mut self, reasons: &[ReturnReason]) {
        let revocable = self
            .return_decision
            .is_some_and(|l| reasons.contains(&l.reason));
        if revocable && !self.return_sent {
            self.return_decision = None;
        }
    }

    /// Whether it has reported to this leader.
    #[must_use]
    pub fn has_reported(&self) -> bool {
        self.incarnation > 0
    }
}

/// Images on a machine, as the scheduler believes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageCache {
    /// Images that it should have and their size in GB, least recently used first.
    pub cached: Vec<(String, f64)>,
    /// Images that it fetches now, and when each should be complete.
    pub fetching: BTreeMap<String, f64>,
}

impl ImageCache {
    /// Marks an image as used now and evicts the least recently used ones above the
    /// size of the cache.
    pub(crate) fn mark_used(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.cached.retain(|i| i.0 != image);
        self.cached.push((image.to_string(), gb));
        let mut total: f64 = self.cached.iter().map(|i| i.1).sum();
        while total > cache_gb && self.cached.len() > 1 {
            total -= self.cached.remove(0).1;
        }
    }

    /// Seconds until an image would be complete if it were requested now. Fetches
    /// share the rate, so a new one is complete after those in progress.
    pub(crate) fn fetch_s(&self, image: &str, gb: f64, gb_per_s: f64, now: f64) -> f64 {
        if let Some(at) = self.fetching.get(image) {
            return (at - now).max(0.0);
        }
        if self.cached.iter().any(|i| i.0 == image) {
            return 0.0;
        }
        let busy = self.fetching.values().fold(now, |a, b| a.max(*b)) - now;
        busy + gb / gb_per_s.max(1e-3)
    }

    /// A task that needs the image is placed: the image is fetched unless it is
    /// cached.
    pub(crate) fn request_for(&mut self, spec: &JobSpec, machine_type: &MachineType, now: f64) {
        let fetch = self.fetch_s(&spec.image, spec.image_gb, machine_type.fetch_gb_per_s, now);
        if fetch > 0.0 {
            self.fetching
                .entry(spec.image.clone())
                .or_insert(now + fetch);
        }
        self.mark_used(&spec.image, spec.image_gb, machine_type.cache_gb);
    }

    /// A task fetches an image. If it was believed to be cached, it is complete at
    /// `fetched_at` at the earliest.
    pub(crate) fn record_fetch(&mut self, image: &str, fetched_at: f64) {
        if !self.fetching.contains_key(image) {
            self.fetching.insert(image.to_string(), fetched_at);
        }
    }

    /// Forgets the fetch of an image that none of the machine's attempts needs any
    /// more: the agent cancels it.
    pub(crate) fn cancel_unneeded_fetch(&mut self, image: &str, attempts: &[Attempt]) {
        let is_needed = attempts
            .iter()
            .any(|attempt| attempt.occupies_capacity() && attempt.spec.image == image);
        if !is_needed && self.fetching.remove(image).is_some() {
            self.cached.retain(|i| i.0 != image);
        }
    }
}
