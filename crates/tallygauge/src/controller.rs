//! What the parts of a controller share.

use crate::{
    connection_limits::ConnectionLimits,
    job_cache::JobCache,
    operator_settings::OperatorSettings,
    pending_callers::PendingCallers,
    relay::PeerRelay,
    settings::Settings,
    task_counts::TaskCounts,
    user_api::JobRefresh,
    version_checks::{VersionCheckQueue, VersionChecks},
    wall_clock::WallClock,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tallygauge_protocol::{cloud::MachineType, state::Condition};
use tallygauge_scheduler::{ClusterState, Config, MinimumShareConfig, ReplicaSpread};
use tallygauge_store::{RequestBudget, StoreClient, http::HttpClient};
use tokio::{sync::Notify, time::Instant};

/// Key of the leased leader record.
pub const LEADER_KEY: &str = "t/leader";
/// Key of the persistent term.
pub const TERM_KEY: &str = "t/term";

/// Bytes that a task takes in a worker's report, at most.
const TASK_REPORT_BYTES: usize = 160;

/// Part of the report interval that a process may lag behind before it leaves
/// out what it can.
const MAX_LAG_FRACTION: f64 = 0.05;

/// Part of the report interval between two measurements of the lag.
const LAG_SAMPLE_FRACTION: f64 = 0.04;

/// Part of a worker's lease after which a request to the state service may be
/// sent once more, however fast others were answered.
const MIN_RETRY_TIMEOUT_FRACTION: f64 = 0.0025;

/// Key of an open job.
#[must_use]
pub fn active_job_key(id: &str) -> String {
    format!("o/{id}")
}

/// Key of a job that is over.
#[must_use]
pub fn terminal_job_key(id: &str) -> String {
    format!("j/{id}")
}

/// Key of a page of finished tasks.
#[must_use]
pub fn completion_page_key(page: u32) -> String {
    format!("f/{page}")
}

/// Key of a batch of placements.
#[must_use]
pub fn placement_batch_key(name: &str) -> String {
    format!("p/{name}")
}

/// Who leads, as far as this node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaderView {
    /// Highest term heard of.
    pub term: u64,
    /// Its holder, if known to be in office.
    pub leader: Option<String>,
}

/// This node's own leadership.
pub struct Leadership {
    /// The term, also the token.
    pub term: u64,
    /// Condition of every write.
    pub term_condition: Condition,
    /// The picture; `None` while it is being loaded.
    pub cluster: Option<ClusterState>,
    /// When the term was last known not to have passed on.
    pub term_confirmed_at: f64,
    /// Start of the last renewal of the lease that was answered: for its time
    /// to live from then no other node can win a term.
    pub lease_renewed_at: f64,
    /// Start of the last watch of jobs that was answered and taken up: all that
    /// was cancelled by then is known to the picture.
    pub watch_confirmed_at: f64,
    /// Revision up to which the picture has followed open jobs.
    pub watched_revision: u64,
    /// When a worker last called.
    pub last_heartbeat_at: f64,
}

impl Leadership {
    /// Whether workers are neither answered nor commanded: the picture does not
    /// hold all cancellations confirmed by anybody more than `fence` ago, or the
    /// term may have passed on for that long. A leader that has no picture yet
    /// holds none, however lately it has won its term.
    #[must_use]
    pub fn is_fenced(&self, now: f64, fence: f64) -> bool {
        self.cluster.is_none() || now - self.term_confirmed_at.min(self.watch_confirmed_at) > fence
    }
}

/// One controller.
pub struct Controller {
    /// Platform's settings.
    pub settings: Settings,
    /// Operators' settings.
    pub operator_settings: OperatorSettings,
    /// State service.
    pub store: StoreClient,
    /// For cloud and workers.
    pub http: HttpClient,
    /// Connections against the limit.
    pub connection_limits: ConnectionLimits,
    /// Start of the process's clock.
    pub started_at: Instant,
    /// Source of the time of day.
    pub wall_clock: Arc<dyn WallClock>,
    /// Machine types, once known.
    pub catalogue: Mutex<Option<Arc<Vec<MachineType>>>>,
    /// Jobs as last read from the key-value store.
    pub job_cache: JobCache,
    /// Who leads.
    pub leader_view: Mutex<LeaderView>,
    /// Own leadership.
    pub leadership: Mutex<Option<Leadership>>,
    /// Task counts of active jobs as read from the leader.
    pub task_counts: TaskCounts,
    /// Checks of versions against the key-value store.
    pub version_checks: VersionChecks,
    /// Something changed that a round should look at.
    pub wake_scheduler: Notify,
    /// Tasks ended: progress should be made durable.
    pub wake_completions: Notify,
    /// The cloud should be looked at.
    pub wake_cloud: Notify,
    /// The term is lost.
    pub deposed: Notify,
    /// The role changed.
    pub leader_changed: Notify,
    /// When a worker last called on this node while it did not lead.
    pub follower_heartbeat_at: Mutex<f64>,
    /// Does not stand for the lead before this time.
    pub candidacy_suspended_until: Mutex<f64>,
    /// The state service has been reached.
    pub store_reached: Mutex<bool>,
    /// Relays users' requests to other controllers.
    pub relay: PeerRelay,
    /// How late ordinary tasks of this process are of late, seconds.
    pub scheduling_delay: Mutex<f64>,
    /// Until when this node, leading and behind with its work, leaves users to
    /// the others.
    pub sheds_user_load_until: Mutex<f64>,
    /// Other nodes that answered when last asked, while this node leads.
    pub reachable_peers: Mutex<usize>,
    /// Users that poll without an answer.
    pub pending_callers: PendingCallers,
    /// Decides when all active jobs are read into the cache.
    pub job_refresh: JobRefresh,
    /// The longest round since the last summary, seconds.
    pub longest_round_s: Mutex<f64>,
    /// Deals out chance, so that nodes don't act in step.
    pub random: Mutex<StdRng>,
    /// When another node last answered while the state service did not serve
    /// this one.
    pub peer_reached_at: Mutex<f64>,
}

impl Controller {
    /// A node, and the queue of its version checks, to be served. `state` reaches the state
    /// service, `http` cloud and workers; `wall_clock` tells the time of day.
    #[must_use]
    pub fn new(
        settings: Settings,
        tuning: OperatorSettings,
        state: HttpClient,
        http: HttpClient,
        wall_clock: Arc<dyn WallClock>,
    ) -> (Arc<Self>, VersionCheckQueue) {
        let limits = &settings.deployment.store;
        let ours = vec![
            state.connection_count().clone(),
            http.connection_count().clone(),
        ];
        let sockets = ConnectionLimits::new(settings.deployment.resource_limits.connections, ours);
        let timeout = Duration::from_secs_f64(settings.deployment.workers.lease_s / 12.0)
            .clamp(Duration::from_millis(500), Duration::from_secs(2));
        let share = 1.0 / f64::from(settings.deployment.count.max(1));
        let budget = Arc::new(RequestBudget::new(
            limits.rps * share,
            limits.writes_per_s * share,
        ));
        let floor = Duration::from_secs_f64(
            settings.deployment.workers.lease_s * MIN_RETRY_TIMEOUT_FRACTION,
        );
        let addr = settings.services.store.to_string();
        let state = StoreClient::new(state, &addr, budget, floor.min(timeout), timeout);
        // A job known takes about a kilobyte at most; a tenth of the memory.
        let most = (settings.deployment.resource_limits.memory_mb * 100.0) as usize;
        let (version_checks, version_check_queue) =
            VersionChecks::new(settings.deployment.resource_limits.connections as usize);
        let controller = Self {
            settings,
            operator_settings: tuning,
            store: state,
            http,
            connection_limits: sockets,
            started_at: Instant::now(),
            wall_clock,
            catalogue: Mutex::default(),
            job_cache: JobCache::new(most.max(1000)),
            leader_view: Mutex::default(),
            leadership: Mutex::default(),
            task_counts: TaskCounts::default(),
            version_checks,
            wake_scheduler: Notify::new(),
            wake_cloud: Notify::new(),
            wake_completions: Notify::new(),
            deposed: Notify::new(),
            leader_changed: Notify::new(),
            follower_heartbeat_at: Mutex::new(f64::NEG_INFINITY),
            candidacy_suspended_until: Mutex::new(f64::NEG_INFINITY),
            store_reached: Mutex::new(false),
            relay: PeerRelay::default(),
            scheduling_delay: Mutex::new(0.0),
            sheds_user_load_until: Mutex::new(f64::NEG_INFINITY),
            reachable_peers: Mutex::new(0),
            pending_callers: PendingCallers::default(),
            job_refresh: JobRefresh::default(),
            longest_round_s: Mutex::new(0.0),
            random: Mutex::new(StdRng::seed_from_u64(rand::random())),
            peer_reached_at: Mutex::new(f64::NEG_INFINITY),
        };
        (Arc::new(controller), version_check_queue)
    }

    /// Seconds of the process's steady clock. Starts well above 0, so that
    /// times before the process began can be told.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() + 1.0
    }

    /// What [`Node::now`] was at an instant.
    #[must_use]
    pub fn instant_to_seconds(&self, instant: Instant) -> f64 {
        instant
            .saturating_duration_since(self.started_at)
            .as_secs_f64()
            + 1.0
    }

    /// Seconds of the time of day: for display and deadlines, never for
    /// safety.
    #[must_use]
    pub fn time_of_day(&self) -> f64 {
        self.wall_clock.since_epoch().as_secs_f64()
    }

    /// How long a leader goes on answering workers without its term being
    /// confirmed. What it answered last then ends within a lease, so all of it
    /// before a cancellation made elsewhere is due.
    #[must_use]
    pub fn fence_s(&self) -> f64 {
        let w = &self.settings.deployment.workers;
        (w.cancel_timeout_s - w.lease_s) * 0.85
    }

    /// Whether no other node can lead now: the lease was renewed so lately that
    /// it still holds, with a little to spare for what is done on the strength
    /// of it. To be asked right before acting, with no await in between: a
    /// process may have stood still for seconds at any of them.
    #[must_use]
    pub fn holds_unexpired_lease(&self) -> bool {
        let now = self.now();
        let ttl = self.leader_lease_ttl().as_secs_f64();
        let lead = self.lock(&self.leadership);
        lead.as_ref()
            .is_some_and(|l| now - l.lease_renewed_at < ttl * 0.9)
    }

    /// Whether this node leads and may answer and command workers. To be asked
    /// right before acting, as [`Node::surely_leads`] is.
    #[must_use]
    pub fn may_command(&self) -> bool {
        let (now, fence) = (self.now(), self.fence_s());
        let lead = self.lock(&self.leadership);
        lead.as_ref().is_some_and(|l| !l.is_fenced(now, fence))
    }

    /// Part of the work that can be left out which this process has time for:
    /// none when answers are late by a good part of a report interval.
    #[must_use]
    pub fn spare_time_fraction(&self) -> f64 {
        let most = self.settings.deployment.workers.heartbeat_interval_s * MAX_LAG_FRACTION;
        (1.0 - *self.lock(&self.scheduling_delay) / most).clamp(0.0, 1.0)
    }

    /// Part of the direct messages that this process has time and connections
    /// for.
    #[must_use]
    pub fn direct_message_fraction(&self) -> f64 {
        let most = self.max_direct_messages() as f64;
        self.spare_time_fraction()
            .min(self.connection_limits.free() as f64 / most)
    }

    /// Direct messages that may be under way at a time.
    fn max_direct_messages(&self) -> usize {
        (self.settings.deployment.resource_limits.connections as usize / 16).max(8)
    }

    /// Measures for ever how late this process is, in a task that queues like
    /// any worker's request. A node without time or connections to spare leaves
    /// users to the others for a lease, should it lead.
    pub async fn measure_scheduling_delay(self: Arc<Self>) {
        let w = &self.settings.deployment.workers;
        let step = w.heartbeat_interval_s * LAG_SAMPLE_FRACTION;
        loop {
            let due = self.now() + step;
            tokio::time::sleep(Duration::from_secs_f64(step)).await;
            let late = self.now() - due;
            {
                let mut lag = self.lock(&self.scheduling_delay);
                *lag += (late - *lag) * 0.5;
            }
            if self.spare_time_fraction() == 0.0 || self.connection_limits.is_critical() {
                *self.lock(&self.sheds_user_load_until) = self.now() + w.lease_s;
            }
        }
    }

    /// Whether users are better served by the other nodes: this one leads, has
    /// lagged or been short of connections of late, and at least half of the
    /// others answer.
    #[must_use]
    pub fn sheds_user_load(&self) -> bool {
        let enough = self.settings.peers.len().div_ceil(2).max(1);
        self.now() < *self.lock(&self.sheds_user_load_until)
            && *self.lock(&self.reachable_peers) >= enough
            && self.lock(&self.leadership).is_some()
    }

    /// Seconds after which a user who has not asked again is taken to have been
    /// answered elsewhere.
    #[must_use]
    pub fn caller_expiry_s(&self) -> f64 {
        self.settings.deployment.workers.lease_s
    }

    /// Whether this node is apart: neither the state service nor any other node
    /// answers it, so that it can tell users nothing. In an outage of the state
    /// service alone the others do answer.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        let patience = self.leader_lease_ttl().as_secs_f64();
        let now = self.now();
        let failing = self.store.failing_since();
        let long = failing.is_some_and(|at| at.elapsed().as_secs_f64() > patience);
        let alone = now - *self.lock(&self.peer_reached_at) > patience;
        long && alone && !self.settings.peers.is_empty()
    }

    /// Time to live of the leader's lease at the state service.
    #[must_use]
    pub fn leader_lease_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.settings.deployment.workers.lease_s / 6.0)
    }

    /// The scheduler's settings for a term.
    #[must_use]
    pub fn scheduler_config(&self, term: u64) -> Config {
        let d = &self.settings.deployment;
        let t = &self.operator_settings;
        Config {
            teams: self.settings.teams(),
            heartbeat_interval_s: d.workers.heartbeat_interval_s,
            lease_s: d.workers.lease_s,
            cancel_timeout_s: d.workers.cancel_timeout_s,
            fence_s: self.fence_s(),
            list_lag_s: d.cloud.list_lag_s,
            clock_drift: 0.0005,
            min_remaining_s: t.min_remaining,
            utility: [
                t.utility.low,
                t.utility.normal,
                t.utility.high,
                t.utility.production,
            ],
            late_utility: t.late_utility,
            idle_boots: t.idle_wait,
            horizon_boots: t.rent_horizon,
            class_deadline_s: d
                .objectives
                .iter()
                .filter(|o| o.kind == "finished")
                .filter_map(|o| Some((o.class.clone()?, o.within_s?)))
                .collect(),
            objectives: self.settings.loosest_aims(),
            minimum_share: MinimumShareConfig {
                share: t.minimum_share.share,
                start_within_s: t.minimum_share.start_within,
            },
            replica_spread: ReplicaSpread {
                risk_s: t.locality.replica_risk,
            },
            // A report must fit a request's body.
            max_tasks_per_worker: tallygauge_protocol::BODY_LIMIT / TASK_REPORT_BYTES,
            max_direct_messages: self.max_direct_messages(),
            term,
        }
    }

    /// Tasks whose ends share a part of a page: at worst seven bytes each, so
    /// that a page takes several parts.
    #[must_use]
    pub fn tasks_per_chunk(&self) -> u32 {
        ((self.settings.deployment.store.max_value_kib * 1024.0 / 40.0) as u32).max(16)
    }

    /// Locks something for a moment.
    pub fn lock<'a, T>(&self, what: &'a Mutex<T>) -> MutexGuard<'a, T> {
        what.lock().expect("a task that held this lock panicked")
    }

    /// Works on the picture, if this node leads and has one.
    pub fn with_cluster<R>(&self, work: impl FnOnce(&mut ClusterState) -> R) -> Option<R> {
        self.lock(&self.leadership)
            .as_mut()
            .and_then(|l| l.cluster.as_mut())
            .map(work)
    }

    /// A random part of a time.
    #[must_use]
    pub fn jitter(&self, most: Duration) -> Duration {
        most.mul_f64(self.lock(&self.random).random())
    }

    /// Takes up word of a term. Own leadership under a lower one ends at once.
    pub fn observe_term(&self, term: u64, leader: Option<&str>) {
        {
            let mut role = self.lock(&self.leader_view);
            if term < role.term || (term == role.term && leader == role.leader.as_deref()) {
                return;
            }
            if term > role.term || leader.is_some() {
                role.leader = leader.map(str::to_string);
            }
            role.term = term;
        }
        self.leader_changed.notify_waiters();
        let mine = self.lock(&self.leadership).as_ref().map(|l| l.term);
        if mine.is_some_and(|m| m < term) {
            self.step_down("a higher term is about");
        }
    }

    /// Gives up own leadership.
    pub fn step_down(&self, cause: &str) {
        if let Some(lead) = self.lock(&self.leadership).take() {
            tracing::info!(term = lead.term, cause, "leads no more");
            let mut role = self.lock(&self.leader_view);
            if role.leader.as_deref() == Some(self.settings.node_name.as_str()) {
                role.leader = None;
            }
        }
        self.deposed.notify_waiters();
        self.deposed.notify_one();
    }
}
