//! The controller: settings, clients and state that its tasks share.

use crate::{
    connection_limits::ConnectionLimits,
    job_cache::JobCache,
    leadership::LeadershipState,
    locking,
    machine_types::MachineCatalogue,
    operator_settings::OperatorSettings,
    peer_reachability::PeerReachability,
    process_clock::ProcessClock,
    process_load::ProcessLoad,
    relay::PeerRelay,
    scheduler_config::max_direct_messages,
    settings::Settings,
    store_client::new_store_client,
    task_counts::TaskCountCache,
    unanswered_polls::UnansweredPolls,
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

/// Time for which a leader keeps answering workers while its term is not confirmed, as a
/// fraction of the difference between the cancellation timeout and a worker's lease.
const FENCING_TIMEOUT_FRACTION: f64 = 0.85;

/// Time to live of the leader's lease, as a fraction of a worker's lease.
const LEADER_LEASE_FRACTION: f64 = 1.0 / 6.0;

/// Fraction of the leader's lease after which the leader no longer relies on it. The
/// remainder is a margin for actions that rely on the lease.
const SAFE_LEASE_FRACTION: f64 = 0.9;

/// The pause before a failed store request is retried is the time to live of the
/// leader's lease divided by this.
const STORE_RETRY_DIVISOR: u32 = 8;

/// Capacity of the job cache, in jobs per MiB of the process's memory limit. A job takes at
/// most about one KiB, so the cache takes at most about a tenth of the memory.
const CACHED_JOBS_PER_MIB: f64 = 100.0;

/// Minimum capacity of the job cache, in jobs, however low the memory limit is.
const MIN_CACHED_JOBS: usize = 1000;

/// The number of tasks per chunk of a completion page is the store's value size limit in
/// bytes divided by this. A task takes seven bytes at worst, so a page holds several chunks.
const VALUE_BYTES_PER_CHUNK_TASK: f64 = 40.0;

/// Minimum number of tasks per chunk, however low the store's value size limit is.
const MIN_TASKS_PER_CHUNK: u32 = 16;

/// One controller of the cluster, shared by all Tokio tasks of its process.
pub struct Controller {
    /// The platform's settings, which describe the deployment.
    pub settings: Settings,
    /// The operators' own settings.
    pub operator_settings: OperatorSettings,
    /// Client of the key-value store.
    pub store: StoreClient,
    /// Client for the cloud provider and for direct messages to workers.
    pub http: HttpClient,
    /// Open connections, counted against the process's limit.
    pub connection_limits: ConnectionLimits,
    /// The term that this controller leads, if any, and the leader that it has observed.
    pub leadership: LeadershipState,
    /// Load of this process.
    pub load: ProcessLoad,
    /// Tracks which other controllers answer this one.
    pub peer_reachability: PeerReachability,
    /// Machine types of the cloud provider.
    pub catalogue: MachineCatalogue,
    /// Notified after the leader has learnt of a change of the machine types, which have to
    /// be recorded.
    pub machine_types_changed: Notify,
    /// Jobs as last read from the store.
    pub job_cache: JobCache,
    /// On a follower: task counts of active jobs, as last read from the leader.
    pub task_counts: TaskCountCache,
    /// Batched checks of cached key versions against the store.
    pub version_checks: VersionChecks,
    /// Wakes the scheduling loop after a change of the cluster state.
    pub wake_scheduler: Notify,
    /// Wakes the loop that makes completed tasks durable.
    pub wake_completions: Notify,
    /// Wakes the loop that rents machines.
    pub wake_rentals: Notify,
    /// Notified after each scheduling round and whenever placements were decided, which held
    /// heartbeat responses wait for.
    pub starts_changed: Notify,
    /// Relays users' requests to other controllers.
    pub relay: PeerRelay,
    /// Jobs whose polls have not been answered yet.
    pub unanswered_polls: UnansweredPolls,
    /// Decides when all active jobs are read into the cache.
    pub job_refresh: JobRefresh,
    clock: ProcessClock,
    jitter: Mutex<StdRng>,
    has_reached_store: AtomicBool,
}

impl Controller {
    /// Creates a controller in the follower role, and the queue of its version checks, which
    /// the caller has to serve. `store_http` carries the requests to the store, `http` those
    /// to the cloud provider and the workers.
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
        let cached_jobs = (resources.memory_mib * CACHED_JOBS_PER_MIB) as usize;
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
            machine_types_changed: Notify::new(),
            settings,
            operator_settings,
            job_cache: JobCache::new(cached_jobs.max(MIN_CACHED_JOBS)),
            task_counts: TaskCountCache::default(),
            version_checks,
            wake_scheduler: Notify::new(),
            wake_completions: Notify::new(),
            wake_rentals: Notify::new(),
            starts_changed: Notify::new(),
            relay: PeerRelay::default(),
            unanswered_polls: UnansweredPolls::default(),
            job_refresh: JobRefresh::default(),
            clock: ProcessClock::start(wall_clock),
            jitter: Mutex::new(StdRng::seed_from_u64(rand::random())),
            has_reached_store: AtomicBool::new(false),
        };
        (Arc::new(controller), version_check_queue)
    }

    /// Reading of the process's monotonic clock, in seconds. The clock starts above 0, so
    /// that times before the start of the process can be expressed.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The value of [`Self::now`] at an instant.
    #[must_use]
    pub fn instant_to_seconds(&self, instant: Instant) -> f64 {
        self.clock.seconds_at(instant)
    }

    /// Wall-clock time, in seconds since the Unix epoch. It serves for display and for
    /// deadlines; safety must never depend on it.
    #[must_use]
    pub fn unix_time_s(&self) -> f64 {
        self.clock.unix_time_s()
    }

    /// Seconds for which a leader keeps answering workers while its term is not confirmed.
    /// The limit ensures that the worker leases which its last answers renewed expire
    /// before any cancellation accepted by another controller times out.
    #[must_use]
    pub fn fencing_timeout_s(&self) -> f64 {
        let workers = &self.settings.deployment.workers;
        (workers.cancel_timeout_s - workers.lease_s) * FENCING_TIMEOUT_FRACTION
    }

    /// Time to live of the leader's lease.
    #[must_use]
    pub fn leader_lease_ttl(&self) -> Duration {
        let lease_s = self.settings.deployment.workers.lease_s;
        Duration::from_secs_f64(lease_s * LEADER_LEASE_FRACTION)
    }

    /// Pause before a failed store request is retried by a caller that has no backoff of
    /// its own.
    #[must_use]
    pub fn store_retry_pause(&self) -> Duration {
        self.leader_lease_ttl() / STORE_RETRY_DIVISOR
    }

    /// Whether this controller's leader lease has certainly not expired, so that no other
    /// controller can be the leader. Call this immediately before acting on it, with no
    /// await in between: a process may be suspended for seconds at any await.
    #[must_use]
    pub fn holds_unexpired_lease(&self) -> bool {
        let now = self.now();
        let safe_s = self.leader_lease_ttl().as_secs_f64() * SAFE_LEASE_FRACTION;
        let leadership = self.leadership.lock();
        leadership
            .as_ref()
            .is_some_and(|leadership| now - leadership.lease_renewed_at < safe_s)
    }

    /// Whether this controller is the leader and is not fenced, so that it may answer and
    /// command workers. Call this immediately before acting on it, as
    /// [`Self::holds_unexpired_lease`].
    #[must_use]
    pub fn is_unfenced_leader(&self) -> bool {
        let (now, fencing_timeout_s) = (self.now(), self.fencing_timeout_s());
        let leadership = self.leadership.lock();
        leadership
            .as_ref()
            .is_some_and(|leadership| !leadership.is_fenced(now, fencing_timeout_s))
    }

    /// Fraction of its optional work that this process currently has time for.
    #[must_use]
    pub fn spare_time_fraction(&self) -> f64 {
        self.load.spare_time_fraction()
    }

    /// Fraction of the maximum number of direct messages that this process currently has
    /// time and free connections for.
    #[must_use]
    pub fn direct_message_fraction(&self) -> f64 {
        let max_messages = max_direct_messages(&self.settings) as f64;
        self.spare_time_fraction()
            .min(self.connection_limits.free() as f64 / max_messages)
    }

    /// Whether users should be served by other controllers. This is the case while all of
    /// the following hold:
    ///
    /// - this controller is the leader;
    /// - it was recently overloaded or short of connections;
    /// - at least half of the other controllers are reachable.
    #[must_use]
    pub fn sheds_user_load(&self) -> bool {
        let half_of_peers = self.settings.peers.len().div_ceil(2).max(1);
        self.load.should_shed_user_load(self.now())
            && self.peer_reachability.reachable_count() >= half_of_peers
            && self.leadership.is_leader()
    }

    /// Seconds after a poll at which the poll expires: a user who has not polled again by
    /// then is assumed to have been answered by another controller.
    #[must_use]
    pub fn poll_expiry_s(&self) -> f64 {
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

    /// Whether this controller is isolated and has no current information for users:
    /// neither the store nor any peer has answered it for the duration of a leader lease.
    /// An outage of the store alone does not isolate it, since its peers still answer.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        let max_silence_s = self.leader_lease_ttl().as_secs_f64();
        let store_unavailable = self
            .store
            .failing_since()
            .is_some_and(|since| since.elapsed().as_secs_f64() > max_silence_s);
        let peer_silence_s = self.now() - self.peer_reachability.last_contact_at();
        store_unavailable && peer_silence_s > max_silence_s && !self.settings.peers.is_empty()
    }

    /// Number of tasks whose completions share one chunk of a completion page.
    #[must_use]
    pub fn tasks_per_chunk(&self) -> u32 {
        let value_bytes = self.settings.deployment.store.max_value_kib * 1024.0;
        ((value_bytes / VALUE_BYTES_PER_CHUNK_TASK) as u32).max(MIN_TASKS_PER_CHUNK)
    }

    /// Locks a mutex. The guard must not be held across an await.
    pub fn lock<'a, T>(&self, mutex: &'a Mutex<T>) -> MutexGuard<'a, T> {
        locking::lock(mutex)
    }

    /// Calls `work` with the cluster state and returns its result, or `None` unless this
    /// controller is the leader and has recovered the cluster state.
    pub fn with_cluster<R>(&self, work: impl FnOnce(&mut ClusterState) -> R) -> Option<R> {
        self.leadership
            .lock()
            .as_mut()
            .and_then(|leadership| leadership.cluster.as_mut())
            .map(work)
    }

    /// A random duration below `max`, which keeps controllers from acting in lockstep.
    #[must_use]
    pub fn jitter(&self, max: Duration) -> Duration {
        max.mul_f64(self.lock(&self.jitter).random())
    }

    /// Seeds [`Self::jitter`], so that simulations are reproducible.
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
