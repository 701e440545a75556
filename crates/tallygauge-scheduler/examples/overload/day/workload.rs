//! Workload of a simulated day: classes of jobs, and jobs drawn at random from them.

use super::{CPUS, Setup};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tallygauge_protocol::users::{JobSpec, Priority, Shape};

/// A class of jobs.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: &'static str,
    pub priority: Priority,
    /// CPUs per task.
    pub cpus: f64,
    /// Median number of tasks per job.
    pub median_tasks: f64,
    /// Median of the run time that users estimate.
    pub median_run_s: f64,
    /// Interval between checkpoints of a task; 0: it saves none.
    pub checkpoint_every_s: f64,
    /// Size of the container image.
    pub image_gb: f64,
    /// Deadline as a multiple of the estimated run time, to which 10 s are added; `None`: no
    /// deadline.
    pub deadline_run_times: Option<f64>,
    /// Service-level objective: time within which a job is to be done.
    pub within_s: f64,
    /// The only zone that jobs may run in; `None`: any.
    pub zone: Option<&'static str>,
    /// Index of the only team that submits such jobs; `None`: each job gets a random team.
    pub team: Option<usize>,
    /// CPU time that the jobs of the class need, as a fraction of the CPU time of all
    /// machines in the whole day.
    pub load: f64,
}

/// Urgent jobs of small, short tasks, with a deadline.
pub const RUSH: Class = Class {
    name: "rush",
    priority: Priority::High,
    cpus: 2.0,
    median_tasks: 80.0,
    median_run_s: 20.0,
    checkpoint_every_s: 0.0,
    image_gb: 1.0,
    deadline_run_times: Some(3.0),
    within_s: 150.0,
    zone: None,
    team: None,
    load: 0.0,
};

/// Urgent jobs of tasks that run longer and save checkpoints.
pub const FIX: Class = Class {
    name: "fix",
    cpus: 4.0,
    median_tasks: 25.0,
    median_run_s: 50.0,
    checkpoint_every_s: 20.0,
    image_gb: 1.5,
    deadline_run_times: Some(1.5),
    within_s: 300.0,
    ..RUSH
};

/// Jobs of large tasks, of normal priority and without a deadline.
pub const BULK: Class = Class {
    name: "bulk",
    priority: Priority::Normal,
    cpus: 16.0,
    median_tasks: 60.0,
    median_run_s: 40.0,
    checkpoint_every_s: 30.0,
    image_gb: 3.0,
    deadline_run_times: None,
    within_s: 300.0,
    ..RUSH
};

/// A job with the actual run time of its tasks, of which the scheduler is told only the
/// estimate.
pub struct SubmittedJob {
    /// Index of its class in [`Setup::classes`].
    pub class: usize,
    /// Index of its team.
    pub team: usize,
    /// Time of submission.
    pub submitted_at: f64,
    /// Actual run time of each of its tasks.
    pub run_s: f64,
    /// Specification as submitted, with the estimated run time.
    pub spec: JobSpec,
    /// Time at which its last task was done; `None` while the job is open.
    pub done_at: Option<f64>,
}

impl SubmittedJob {
    /// CPU time that all tasks of the job need.
    pub fn cpu_seconds(&self) -> f64 {
        self.spec.cpus * f64::from(self.spec.tasks) * self.run_s
    }
}

/// Draws from a log-normal distribution. The normal distribution is approximated by a
/// sum of 12 uniform random numbers.
fn log_normal(rng: &mut StdRng, median: f64, sigma: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    median * (normal * sigma).exp()
}

/// Draws the jobs of a day, sorted by time of submission. All are submitted in its first
/// `arrival_s` seconds.
pub fn draw_jobs(setup: &Setup, arrival_s: f64, seed: u64) -> Vec<SubmittedJob> {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity_cpu_s = setup.machines as f64 * CPUS * setup.duration_s;
    let mut jobs = Vec::new();
    for (class_index, class) in setup.classes.iter().enumerate() {
        let mut remaining_cpu_s = capacity_cpu_s * class.load;
        while remaining_cpu_s > 0.0 {
            let expected_s =
                log_normal(&mut rng, class.median_run_s, 0.5).clamp(5.0, class.median_run_s * 4.0);
            let run_s = log_normal(&mut rng, expected_s, 0.3);
            let tasks = log_normal(&mut rng, class.median_tasks, 0.8)
                .clamp(1.0, class.median_tasks * 6.0) as u32;
            let any_team = rng.random_range(0..setup.teams);
            let image_number = rng.random_range(0..12);
            let submitted_at = rng.random::<f64>() * arrival_s;
            let job = SubmittedJob {
                class: class_index,
                team: class.team.unwrap_or(any_team),
                submitted_at,
                run_s,
                spec: class.job_spec(
                    class.team.unwrap_or(any_team),
                    tasks,
                    expected_s,
                    image_number,
                ),
                done_at: None,
            };
            remaining_cpu_s -= job.cpu_seconds();
            jobs.push(job);
        }
    }
    jobs.sort_by(|a, b| a.submitted_at.total_cmp(&b.submitted_at));
    for (n, job) in jobs.iter_mut().enumerate() {
        job.spec.id = format!("req-{n:06}");
    }
    jobs
}

impl Class {
    /// The specification of a job of this class, with an empty id that the caller sets.
    pub fn job_spec(&self, team: usize, tasks: u32, expected_s: f64, image_number: u32) -> JobSpec {
        JobSpec {
            id: String::new(),
            class: self.name.into(),
            team: format!("team-{team}"),
            shape: Shape::Array,
            priority: self.priority,
            tasks,
            cpus: self.cpus,
            gpus: 0.0,
            memory_gb: self.cpus * 3.0,
            image: format!("{}-{image_number}", self.name),
            image_gb: self.image_gb,
            machine_types: None,
            zone: self.zone.map(str::to_string),
            one_zone: false,
            spread: false,
            spot: true,
            expected_s,
            checkpoint_every_s: self.checkpoint_every_s,
            checkpoint_s: if self.checkpoint_every_s > 0.0 {
                2.0
            } else {
                0.0
            },
            deadline_s: self
                .deadline_run_times
                .map(|run_times| run_times * expected_s + 10.0),
        }
    }
}
