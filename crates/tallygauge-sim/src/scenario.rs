//! Randomized scenarios. Jobs are submitted to three controllers while random faults of
//! every kind, which may overlap, are injected. Then the faults end, and every job must
//! reach a final status that its user is told. A scenario is fully determined by its seed.

mod checks;
mod faults;
mod jobs;
mod user_requests;

pub use checks::InjectedViolation;

use crate::{
    CANCEL_TIMEOUT_S, JobRequest, JobShape, LEASE_S, RandomDelay, Simulation, TEAM_QUOTA_CPUS,
    is_active_leader, sleep_s,
};
use jobs::TrackedJob;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tallygauge::controller::Controller;
use tokio::task::JoinHandle;

/// Number of controllers in a scenario.
const CONTROLLER_COUNT: usize = 3;

/// Number of jobs that are submitted while faults are injected.
const JOB_COUNT: u32 = 14;

/// Number of the first job that a fault submits.
const FIRST_EXTRA_JOB_NUMBER: u32 = 200;

/// The fault kinds `CancelJob` and `CancelManyJobs` take effect only after more submissions
/// than this.
const JOBS_BEFORE_CANCELLATION: u32 = 3;

/// Seconds before the first submission, in which a leader is elected.
const STARTUP_S: f64 = 5.0;

/// Number of requests after which a user no longer repeats a cancellation.
const MAX_CANCELLATION_REQUESTS: usize = 60;

/// Time between two requests for the same cancellation, in seconds.
const CANCELLATION_RETRY_S: f64 = 1.0;

/// Seeds with this remainder modulo [`REPEATED_REQUESTS_MODULUS`] give scenarios without
/// repeated requests.
const SEED_REMAINDER_WITHOUT_REPEATS: u64 = 1;

/// See [`SEED_REMAINDER_WITHOUT_REPEATS`].
const REPEATED_REQUESTS_MODULUS: u64 = 3;

/// Probability and delay with which an answered request arrives once more in the other scenarios.
const REPEATED_REQUESTS: RandomDelay = RandomDelay {
    probability: 0.3,
    max_delay_s: LEASE_S * 4.0,
};

/// How long a user retries the submission of a job.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(25);

/// A scenario in progress.
struct Scenario {
    simulation: Arc<Simulation>,
    /// Controllers and their background tasks.
    controllers: Vec<(Arc<Controller>, JoinHandle<()>)>,
    /// Accepted jobs.
    jobs: Vec<TrackedJob>,
    /// Number of the next job that a fault submits.
    next_extra_job_number: u32,
    /// Ids of the jobs that fail on every machine, until their user cancels them.
    failing_jobs: Vec<String>,
    /// Violations found by the checks of the scenario: incorrect or missing replies to
    /// users, and jobs that are not started although there is capacity.
    violations: Vec<String>,
    random: StdRng,
}

/// Runs the scenario with this seed and injects a violation after its faults have ended.
/// Returns all violations found.
pub async fn run_scenario(seed: u64, injected: InjectedViolation) -> Vec<String> {
    run_scenario_in(Simulation::new(), seed, injected).await
}

/// Runs the scenario with this seed. Returns the hexadecimal digest of all messages
/// exchanged and the number of requests.
pub async fn scenario_digest(seed: u64) -> (String, u64) {
    let simulation = Simulation::new();
    simulation.record_exchanges(false);
    run_scenario_in(simulation.clone(), seed, InjectedViolation::None).await;
    simulation
        .exchange_digest()
        .expect("exchanges are recorded")
}

/// Runs the scenario with this seed. Returns all messages exchanged as text.
pub async fn scenario_messages(seed: u64) -> Vec<String> {
    let simulation = Simulation::new();
    simulation.record_exchanges(true);
    run_scenario_in(simulation.clone(), seed, InjectedViolation::None).await;
    simulation.exchanged_text()
}

/// Calls `run` for each seed on a pool of `threads` threads. Each call gets its own runtime
/// in simulated time. Returns the results with their seeds, sorted by seed.
pub fn run_each_seed<T: Send, F: Future<Output = T>>(
    seeds: RangeInclusive<u64>,
    threads: usize,
    run: impl Fn(u64) -> F + Sync,
) -> Vec<(u64, T)> {
    let next = AtomicU64::new(*seeds.start());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !seeds.contains(&seed) {
                        return;
                    }
                    let result = block_on_simulated_time(run(seed));
                    results.lock().unwrap().push((seed, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|(seed, _)| *seed);
    results
}

/// Runs a future to completion on its own runtime in simulated time.
fn block_on_simulated_time<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(future)
}

/// Runs the scenario with this seed in a new simulation. Returns all violations found.
async fn run_scenario_in(
    simulation: Arc<Simulation>,
    seed: u64,
    injected: InjectedViolation,
) -> Vec<String> {
    let mut scenario = Scenario::start(simulation, seed);
    sleep_s(STARTUP_S).await;
    let mut min_run_time_s = 0.0;
    for number in 1..=JOB_COUNT {
        let shape = scenario.draw_job_shape();
        min_run_time_s += f64::from(shape.tasks) * shape.run_s * shape.cpus / TEAM_QUOTA_CPUS;
        let job = scenario.submit(number, shape).await;
        scenario.sleep_before_fault().await;
        let may_cancel = number > JOBS_BEFORE_CANCELLATION;
        scenario.inject_random_fault(&job, may_cancel).await;
        scenario.poll_some_jobs().await;
    }
    scenario.end_faults();
    scenario.cancel_failing_jobs().await;
    scenario.inject_violation(injected).await;
    scenario.check_until_done(min_run_time_s, injected).await;
    scenario.into_violations()
}

impl Scenario {
    /// Starts the controllers and the workers.
    fn start(simulation: Arc<Simulation>, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        simulation.seed(seed);
        simulation.state.lock().unwrap().zones = vec!["a", "b"];
        if seed % REPEATED_REQUESTS_MODULUS != SEED_REMAINDER_WITHOUT_REPEATS {
            simulation.set_faults(|faults| faults.repeated_requests = REPEATED_REQUESTS);
        }
        tokio::spawn(simulation.clone().run_workers());
        let controllers = (0..CONTROLLER_COUNT)
            .map(|n| simulation.start_controller(&Self::controller_name(n)))
            .collect();
        Self {
            simulation,
            controllers,
            jobs: Vec::new(),
            next_extra_job_number: FIRST_EXTRA_JOB_NUMBER,
            failing_jobs: Vec::new(),
            violations: Vec::new(),
            random,
        }
    }

    /// Name of the controller with this index.
    fn controller_name(controller: usize) -> String {
        format!("n-{controller}")
    }

    /// Index of the active leader.
    fn leader(&self) -> Option<usize> {
        (0..CONTROLLER_COUNT).find(|n| is_active_leader(&self.controllers[*n].0))
    }

    /// Ids of all accepted jobs.
    fn job_ids(&self) -> Vec<String> {
        self.jobs.iter().map(|job| job.id.clone()).collect()
    }

    /// Starts a crashed controller again, under the same name.
    fn restart(&mut self, controller: usize) {
        self.controllers[controller] = self
            .simulation
            .start_controller(&Self::controller_name(controller));
    }

    fn crash(&mut self, controller: usize) {
        let background = &self.controllers[controller].1;
        self.simulation
            .crash_controller(&Self::controller_name(controller), background);
    }

    /// Draws the shape of the next job. A quarter of the jobs may run longer than an outage
    /// lasts.
    fn draw_job_shape(&mut self) -> JobShape {
        let random = &mut self.random;
        let tasks = random.random_range(1..5);
        let max_run_s = if random.random_range(0..4) == 0 {
            CANCEL_TIMEOUT_S * 4.0
        } else {
            15.0
        };
        let run_s = random.random_range(2.0..max_run_s);
        let cpus = [1.0, 2.0, 4.0, 8.0][random.random_range(0..4)];
        JobShape {
            tasks,
            cpus,
            run_s,
            team: ["t", "u"][random.random_range(0..2)],
            zone: [None, None, Some("a"), Some("b")][random.random_range(0..4)],
            one_zone: random.random_range(0..4) == 0,
            ..JobShape::default()
        }
    }

    /// Submits a job through a random controller, and tracks it if it is accepted in time.
    async fn submit(&mut self, number: u32, shape: JobShape) -> JobRequest {
        let job = self.simulation.job_with_shape(number, shape);
        let controller = self.random.random_range(0..CONTROLLER_COUNT);
        let submission = self.submit_until_accepted(controller, &job.body);
        let result = tokio::time::timeout(SUBMISSION_TIMEOUT, submission).await;
        if result.is_ok() {
            self.jobs.push(TrackedJob::new(job.id.clone(), shape.tasks));
        }
        job
    }

    fn next_extra_job_number(&mut self) -> u32 {
        let number = self.next_extra_job_number;
        self.next_extra_job_number += 1;
        number
    }

    /// Cancels the jobs that fail on every machine, through each controller in turn until one
    /// confirms it.
    async fn cancel_failing_jobs(&mut self) {
        for id in std::mem::take(&mut self.failing_jobs) {
            for attempt in 0..MAX_CANCELLATION_REQUESTS {
                let is_open = |job: &TrackedJob| job.id == id && job.final_status.is_none();
                if !self.jobs.iter().any(is_open) {
                    break;
                }
                self.cancel(attempt % CONTROLLER_COUNT, &id).await;
                sleep_s(CANCELLATION_RETRY_S).await;
            }
        }
    }

    /// Waits a random time before the next fault. Half of the waits are so short
    /// that the fault immediately follows the previous one.
    async fn sleep_before_fault(&mut self) {
        let max_s = [0.2, 5.0][self.random.random_range(0..2)];
        self.sleep_between(0.0, max_s).await;
    }

    /// Sleeps for a random time between `min_s` and `max_s` seconds.
    async fn sleep_between(&mut self, min_s: f64, max_s: f64) {
        let seconds = self.random.random_range(min_s..max_s);
        sleep_s(seconds).await;
    }

    /// Polls about a third of the jobs, each through a random controller.
    async fn poll_some_jobs(&mut self) {
        for job in 0..self.jobs.len() {
            if self.random.random_range(0..3) == 0 {
                let controller = self.random.random_range(0..CONTROLLER_COUNT);
                self.poll(controller, job).await;
            }
        }
    }

    /// Ends all faults that could keep jobs from completing.
    fn end_faults(&self) {
        {
            let faults = &mut self.simulation.state.lock().unwrap().faults;
            faults.store_partitioned.clear();
            faults.store_refused.clear();
            faults.late_write_probability = 0.0;
            faults.delayed_commands = RandomDelay::NONE;
            faults.duplicated_heartbeats = RandomDelay::NONE;
            faults.repeated_requests = RandomDelay::NONE;
            faults.lose_next_responses = 0;
            faults.lost_response_probability = 0.0;
            faults.commands_held_until.clear();
            faults.cloud_down = false;
        }
        for machine in self.simulation.booted_machines() {
            self.simulation.set_inbound_blocked(&machine, false);
            self.simulation.set_outbound_blocked(&machine, false);
        }
    }
}
