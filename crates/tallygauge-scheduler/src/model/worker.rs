//! A machine with its worker: what runs there, what was heard of it.

use super::*;
use std::collections::{BTreeMap, BTreeSet};
use tallygauge_health::{MessageOrder, Reachability};
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Why a machine is to be returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// Nothing to do for it.
    Idle,
    /// It did not come up.
    BootTimeout,
    /// It stopped by itself.
    Failed,
    /// Tasks fail on it.
    Faulty,
    /// It runs its tasks slowly.
    Slow,
    /// It can't confirm that cancelled work has stopped.
    Unconfirmed,
    /// Nothing was heard of it for long.
    Silent,
    /// It reports, but what is sent to it does not reach it.
    Unreachable,
}

/// A decision to return a machine to the cloud.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeaveDecision {
    /// Why.
    pub reason: LeaveReason,
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

/// A machine, and the worker on it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Where it takes direct commands; empty until known.
    pub endpoint: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// When its rental was asked for, as far as known.
    pub rented_at: f64,
    /// Since when it is known to exist.
    pub known_at: f64,
    /// Session of the newest report; 0 before the first.
    pub incarnation: u64,
    /// Its messages so far.
    pub message_order: MessageOrder,
    /// Highest token that it has shown.
    pub fencing_token: u64,
    /// Whether what is sent to it reaches it.
    pub reachability: Reachability,
    /// Since when it has been heard without a pause of some report intervals.
    pub heartbeats_steady_since: f64,
    /// The answer to its last check-in carried something that the next one must
    /// show: our token, or what is `carried`.
    pub acknowledgement_due: bool,
    /// When the session was first heard of.
    pub incarnation_seen_at: f64,
    /// When the list first called the machine running: its worker may be out
    /// of reach, but it has come up.
    pub booted_at: Option<f64>,
    /// Sessions up to this one are surely over.
    pub last_dead_incarnation: u64,
    /// When a report first showed our token.
    pub fencing_token_seen_at: Option<f64>,
    /// When a report was last answered.
    pub lease_renewed_at: f64,
    /// When anything was last heard.
    pub last_heartbeat_at: f64,
    /// When the cloud takes it.
    pub spot_notice_until: Option<f64>,
    /// Attempts on it.
    pub attempts: Vec<Attempt>,
    /// Attempts on it that nobody placed: stopped and cleared.
    pub orphaned_attempts: Vec<OrphanedAttempt>,
    /// Free room.
    pub free_resources: Resources,
    /// Images that it has or fetches.
    pub images: ImageCache,
    /// To be returned, and since when.
    pub leaving: Option<LeaveDecision>,
    /// More than open work needs: the last choice for new tasks, and returned
    /// as soon as it is empty.
    pub surplus: bool,
    /// The return was sent; the machine may go at any time.
    pub return_sent: bool,
    /// A direct message waits for an answer.
    pub direct_message_in_flight: bool,
    /// Direct messages that went unanswered in a row.
    pub direct_failures: u32,
    /// No direct message before this time.
    pub next_direct_message_at: f64,
    /// Since when it has nothing on it.
    pub idle_since: f64,
    /// Jobs that failed on it since the last success.
    pub failed_jobs: BTreeSet<String>,
    /// Sum of measured over expected run times, and their number.
    pub runtime_ratio: SampleSum,
}

impl Worker {
    /// A machine that nothing was heard of yet.
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
            spot_notice_until: None,
            attempts: Vec::new(),
            orphaned_attempts: Vec::new(),
            free_resources: capacity,
            images: ImageCache::default(),
            leaving: None,
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
    pub fn accepts_work(&self, now: f64, cfg: &Config) -> bool {
        self.incarnation > self.last_dead_incarnation
            && self.fencing_token_seen_at.is_some()
            && self.leaving.is_none()
            && self.spot_notice_until.is_none()
            && now - self.last_heartbeat_at < cfg.heartbeat_timeout_s()
            && self
                .reachability
                .accepts_work(now, &cfg.reachability_thresholds())
    }

    /// Decides to return the machine, unless that is decided already. Returns
    /// whether the decision is new.
    pub(crate) fn leave(&mut self, reason: LeaveReason, now: f64) -> bool {
        if self.leaving.is_some() {
            return false;
        }
        self.leaving = Some(LeaveDecision { reason, at: now });
        true
    }

    /// Revokes the decision to return the machine if it was made for one of
    /// these reasons and the return was not sent yet.
    pub(crate) fn revoke_leave(&mut self, reasons: &[LeaveReason]) {
        let revocable = self.leaving.is_some_and(|l| reasons.contains(&l.reason));
        if revocable && !self.return_sent {
            self.leaving = None;
        }
    }

    /// Whether it has reported to this leader.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.incarnation > 0
    }
}

/// Images on a machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageCache {
    /// Those it should hold, least recently used first.
    pub cached: Vec<(String, f64)>,
    /// Those it fetches now, and when each should be there.
    pub fetching: BTreeMap<String, f64>,
}

impl ImageCache {
    /// Marks an image as used now, dropping the least used above the cache.
    pub(crate) fn mark_used(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.cached.retain(|i| i.0 != image);
        self.cached.push((image.to_string(), gb));
        let mut total: f64 = self.cached.iter().map(|i| i.1).sum();
        while total > cache_gb && self.cached.len() > 1 {
            total -= self.cached.remove(0).1;
        }
    }

    /// Time until an image would be there, were it asked for now. Fetches
    /// share the rate, so one waits for those under way.
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

    /// A task that needs an image is placed: the image is fetched if it is not
    /// there.
    pub(crate) fn request(&mut self, spec: &JobSpec, t: &MachineType, now: f64) {
        let fetch = self.fetch_s(&spec.image, spec.image_gb, t.fetch_gb_per_s, now);
        if fetch > 0.0 {
            self.fetching
                .entry(spec.image.clone())
                .or_insert(now + fetch);
        }
        self.mark_used(&spec.image, spec.image_gb, t.cache_gb);
    }

    /// A task waits for an image: if it was believed to be there, it is fetched
    /// all the same, and there at that time at the earliest.
    pub(crate) fn note_missing(&mut self, image: &str, at: f64) {
        if !self.fetching.contains_key(image) {
            self.fetching.insert(image.to_string(), at);
        }
    }

    /// A fetch that no task waits for any more is given up.
    pub(crate) fn cancel_unneeded_fetch(&mut self, image: &str, held: &[Attempt]) {
        let wanted = held
            .iter()
            .any(|h| h.occupies_capacity() && h.spec.image == image);
        if !wanted && self.fetching.remove(image).is_some() {
            self.cached.retain(|i| i.0 != image);
        }
    }
}
