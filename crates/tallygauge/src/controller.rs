//! The controller: settings, clients and state that its tasks share.

use crate::{
    connection_limits::ConnectionLimits,
    job_cache::JobCache,
    leadership::LeadershipState,
    locking,
    machine_catalogue::MachineCatalogue,
    operator_settings::OperatorSettings,
    peer_reachability::PeerReachability,
    pending_callers::PendingCallers,
    process_clock::ProcessClock,
    process_load::ProcessLoad,
    relay::PeerRelay,
    scheduler_config::max_direct_messages,
    settings::Settings,
    store_client::new_store_client,
    task_counts::TaskCountCache,
    user_api::JobRefresh,
    version_checks::{VersionCheckQueue, VersionChecks},
    wall_clock::WallClock,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tallygauge_scheduler::ClusterState;
use tallygauge_store::{StoreClient, http::HttpClient};
use tokio::{sync::Notify, time::Instant};

/// Fraction of the time between a worker's lease expiry and the cancellation
/// timeout for which an unconfirmed leader goes on answering workers.
const FENCE_FRACTION: f64 = 0.85;

/// The leader's lease, as a fraction of a worker's lease.
const LEADER_LEASE_FRACTION: f64 = 1.0 / 6.0;

/// Fraction of the leader's lease after which it no longer counts as held: the rest
/// is a margin for acting on it.
const SAFE_LEASE_FRACTION: f64 = 0.9;

/// Pause before a failed request to the store is repeated: the leader's lease,
/// divided by this.
const STORE_RETRY_DIVISOR: u32 = 8;

/// Cached jobs for each megabyte of the process's memory: a job takes about a
/// kilobyte at most, and the cache a tenth of the memory.
const CACHED_JOBS_PER_MB: f64 = 100.0;

/// Jobs that are cached however little memory there is.
const MIN_CACHED_JOBS: usize = 1000;

/// Bytes of a store's value for each task of a chunk of a completion page: a task
/// takes seven at worst, so that a page holds several chunks.
const VALUE_BYTES_PER_CHUNK_TASK: f64 = 40.0;

/// Tasks of a chunk, however small the store's values are.
const MIN_TASKS_PER_CHUNK: u32 = 16;

/// One controller of the cluster; the tasks of the process share it.
pub struct Controller {
    /// Platform's settings.
    pub settings: Settings,
    /// Operators' settings.
    pub operator_settings: OperatorSettings,
    /// Client of the key-value store.
    pub store: StoreClient,
    /// Client for the cloud provider and for direct messages to workers.
    pub http: HttpClient,
    /// Connections against the limit.
    pub connection_limits: ConnectionLimits,
    /// Own term, and the leader as far as it is known.
    pub leadership: LeadershipState,
    /// Load of this process.
    pub load: ProcessLoad,
    /// Other controllers that answer this one.
    pub peer_reachability: PeerReachability,
    /// Machine types of the cloud provider.
    pub catalogue: MachineCatalogue,
    /// Jobs as last read from the store.
    pub job_cache: JobCache,
    /// Task counts of active jobs as read from the leader.
    pub task_counts: TaskCountCache,
    /// Checks of versions against the store.
    pub version_checks: VersionChecks,
    /// Wakes the scheduling loop: the cluster state has changed.
    pub wake_scheduler: Notify,
    /// Wakes the loop that makes completed tasks durable.
    pub wake_completions: Notify,
    /// Wakes the loop that rents machines.
    pub wake_cloud: Notify,
    /// Relays users' requests to other controllers.
    pub relay: PeerRelay,
    /// Users that poll without an answer.
    pub pending_callers: PendingCallers,
    /// Decides when all active jobs are read into the cache.
    pub job_refresh: JobRefresh,
    clock: ProcessClock,
    jitter: Mutex<StdRng>,
    has_reached_store: AtomicBool,
}

impl Controller {
    /// A follower, and the queue of its version checks, to be served. `store_http` carries the
    /// requests to the store, `http` those to the cloud provider and the workers.
    #[must_use]
    pub fn new(
        settings: Settings,
        operator_settings: OperatorSettings,
        store_http: HttpClient,
        http: HttpClient,
        wall_clock: Arc<dyn WallClock>,
    ) -> (Arc<Self>, VersionCheckQueue) {
        let resources = &settings.deployment.resource_limits;
        let outgoing = vec![
            store_http.connection_count().clone(),
            http.connection_count().clone(),
        ];
        let connection_limits = ConnectionLimits::new(resources.connections, outgoing);
        let cached_jobs = (resources.memory_mb * CACHED_JOBS_PER_MB) as usize;
        let (version_checks, version_check_queue) =
            VersionChecks::new(resources.connections as usize);
        let controller = Self {
            store: new_store_client(&settings, store_http),
            http,
            connection_limits,
            leadership: LeadershipState::new(settings.node_name.clone()),
            load: ProcessLoad::new(settings.deployment.workers.heartbeat_interval_s),
            peer_reachability: PeerReachability::default(),
            catalogue: MachineCatalogue::default(),
            settings,
            operator_settings,
            job_cache: JobCache::new(cached_jobs.max(MIN_CACHED_JOBS)),
            task_counts: TaskCountCache::default(),
            version_checks,
            wake_scheduler: Notify::new(),
            wake_completions: Notify::new(),
            wake_cloud: Notify::new(),
            relay: PeerRelay::default(),
            pending_callers: PendingCallers::default(),
            job_refresh: JobRefresh::default(),
            clock: ProcessClock::start(wall_clock),
            jitter: Mutex::new(StdRng::seed_from_u64(rand::random())),
            has_reached_store: AtomicBool::new(false),
        };
        (Arc::new(controller), version_check_queue)
    }

    /// Seconds of the process's monotonic clock, from a start above 0, so that times
    /// before the process started can be expressed.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// What [`Self::now`] returned at an instant.
    #[must_use]
    pub fn instant_to_seconds(&self, instant: Instant) -> f64 {
        self.clock.seconds_at(instant)
    }

    /// Seconds since the Unix epoch by the wall clock: for display and deadlines,
    /// never for safety.
    #[must_use]
    pub fn time_of_day(&self) -> f64 {
        self.clock.time_of_day()
    }

    /// Seconds for which a leader goes on answering workers without its term being
    /// confirmed. The leases that its last answers renewed then expire before any
    /// cancellation made elsewhere times out.
    #[must_use]
    pub fn fence_s(&self) -> f64 {
        let workers = &self.settings.deployment.workers;
        (workers.cancel_timeout_s - workers.lease_s) * FENCE_FRACTION
    }

    /// Time to live of the leader's lease.
    #[must_use]
    pub fn leader_lease_ttl(&self) -> Duration {
        let lease_s = self.settings.deployment.workers.lease_s;
        Duration::from_secs_f64(lease_s * LEADER_LEASE_FRACTION)
    }

    /// Pause before a failed request to the store is repeated, where it has no
    /// backoff of its own.
    #[must_use]
    pub fn store_retry_pause(&self) -> Duration {
        self.leader_lease_ttl() / STORE_RETRY_DIVISOR
    }

    /// Whether no other controller can be the leader now, since this one's lease has
    /// certainly not expired. To be called right before acting, with no await in
    /// between: a process may be suspended for seconds at any of them.
    #[must_use]
    pub fn holds_unexpired_lease(&self) -> bool {
        let now = self.now();
        let safe_s = self.leader_lease_ttl().as_secs_f64() * SAFE_LEASE_FRACTION;
        let leadership = self.leadership.lock();
        leadership
            .as_ref()
            .is_some_and(|leadership| now - leadership.lease_renewed_at < safe_s)
    }

    /// Whether this controller is the leader and may answer and command workers. To
    /// be called right before acting, as [`Self::holds_unexpired_lease`] is.
    #[must_use]
    pub fn is_unfenced_leader(&self) -> bool {
        let (now, fence_s) = (self.now(), self.fence_s());
        let leadership = self.leadership.lock();
        leadership
            .as_ref()
            .is_some_and(|leadership| !leadership.is_fenced(now, fence_s))
    }

    /// Fraction of the optional work that this process has time for.
    #[must_use]
    pub fn spare_time_fraction(&self) -> f64 {
        self.load.spare_time_fraction()
    }

    /// Fraction of the direct messages that this process has time and connections
    /// for.
    #[must_use]
    pub fn direct_message_fraction(&self) -> f64 {
        let max_messages = max_direct_messages(&self.settings) as f64;
        self.spare_time_fraction()
            .min(self.connection_limits.free() as f64 / max_messages)
    }

    /// Whether users are better served by the other controllers: this one is the
    /// leader, was recently overloaded or short of connections, and at least half of
    /// the others are reachable.
    #[must_use]
    pub fn sheds_user_load(&self) -> bool {
        let half_of_peers = self.settings.peers.len().div_ceil(2).max(1);
        self.load.should_shed_user_load(self.now())
            && self.peer_reachability.reachable() >= half_of_peers
            && self.leadership.is_leader()
    }

    /// Seconds after which a user who has not asked again is assumed to have been
    /// answered by another controller.
    #[must_use]
    pub fn caller_expiry_s(&self) -> f64 {
        self.settings.deployment.workers.lease_s
    }

    /// Records that the store has answered this controller.
    pub fn record_store_reached(&self) {
        self.has_reached_store.store(true, Ordering::Relaxed);
    }

    /// Whether the store has answered this controller since it started.
    #[must_use]
    pub fn has_reached_store(&self) -> bool {
        self.has_reached_store.load(Ordering::Relaxed)
    }

    /// Whether this controller is isolated: neither the store nor any peer answers
    /// it, so that it can tell users nothing. In an outage of the store alone the
    /// peers do answer.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        let patience_s = self.leader_lease_ttl().as_secs_f64();
        let store_fails = self
            .store
            .failing_since()
            .is_some_and(|since| since.elapsed().as_secs_f64() > patience_s);
        let silent_s = self.now() - self.peer_reachability.last_contact_at();
        store_fails && silent_s > patience_s && !self.settings.peers.is_empty()
    }

    /// Tasks whose completions share a chunk of a completion page.
    #[must_use]
    pub fn tasks_per_chunk(&self) -> u32 {
        let value_bytes = self.settings.deployment.store.max_value_kib * 1024.0;
        ((value_bytes / VALUE_BYTES_PER_CHUNK_TASK) as u32).max(MIN_TASKS_PER_CHUNK)
    }

    /// Locks a mutex; never to be held across an await.
    pub fn lock<'a, T>(&self, mutex: &'a Mutex<T>) -> MutexGuard<'a, T> {
        locking::lock(mutex)
    }

    /// Calls `work` with the cluster state; `None` unless this controller is the
    /// leader and has recovered the cluster state.
    pub fn with_cluster<R>(&self, work: impl FnOnce(&mut ClusterState) -> R) -> Option<R> {
        self.leadership
            .lock()
            .as_mut()
            .and_then(|leadership| leadership.cluster.as_mut())
            .map(work)
    }

    /// A random duration below `max`, so that controllers do not act in step.
    #[must_use]
    pub fn jitter(&self, max: Duration) -> Duration {
        max.mul_f64(self.lock(&self.jitter).random())
    }

    /// Makes [`Self::jitter`] repeatable, for simulations.
    pub fn seed_jitter(&self, seed: u64) {
        *self.lock(&self.jitter) = StdRng::seed_from_u64(seed);
    }

    /// See [`LeadershipState::observe_term`].
    pub fn observe_term(&self, term: u64, leader: Option<&str>) {
        self.leadership.observe_term(term, leader);
    }

    /// See [`LeadershipState::step_down`].
    pub fn step_down(&self, cause: &str) {
        self.leadership.step_down(cause);
    }
}
