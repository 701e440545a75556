//! Jobs of a simulated day: their classes, and random arrivals.

use super::{CPUS, Setup};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tallygauge_protocol::users::{JobSpec, Priority, Shape};

/// A class of jobs.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Priority.
    pub priority: Priority,
    /// CPUs of a task.
    pub cpus: f64,
    /// Median number of tasks.
    pub tasks: f64,
    /// Median run time.
    pub run_s: f64,
    /// Interval of checkpoints.
    pub checkpoint_s: f64,
    /// Size of the image.
    pub image_gb: f64,
    /// Deadline, in estimated run times.
    pub deadline: Option<f64>,
    /// The class's service-level objective.
    pub within_s: f64,
    /// The only zone.
    pub zone: Option<&'static str>,
    /// The only team.
    pub team: Option<usize>,
    /// Work of this class, as a part of the machines' capacity.
    pub load: f64,
}

/// Urgent small tasks with a deadline.
pub const RUSH: Class = Class {
    name: "rush",
    priority: Priority::High,
    cpus: 2.0,
    tasks: 80.0,
    run_s: 20.0,
    checkpoint_s: 0.0,
    image_gb: 1.0,
    deadline: Some(3.0),
    within_s: 150.0,
    zone: None,
    team: None,
    load: 0.0,
};

/// Urgent tasks that run for longer.
pub const FIX: Class = Class {
    name: "fix",
    cpus: 4.0,
    tasks: 25.0,
    run_s: 50.0,
    checkpoint_s: 20.0,
    image_gb: 1.5,
    deadline: Some(1.5),
    within_s: 300.0,
    ..RUSH
};

/// Large tasks of normal priority.
pub const BULK: Class = Class {
    name: "bulk",
    priority: Priority::Normal,
    cpus: 16.0,
    tasks: 60.0,
    run_s: 40.0,
    checkpoint_s: 30.0,
    image_gb: 3.0,
    deadline: None,
    within_s: 300.0,
    ..RUSH
};

/// A job with its actual run time, which its owner only estimates.
pub struct Facts {
    /// Index of its class.
    pub class: usize,
    /// Index of its team.
    pub team: usize,
    /// When it is submitted.
    pub at: f64,
    /// Run time of its tasks.
    pub run_s: f64,
    /// As submitted.
    pub spec: JobSpec,
    /// When its last task was done.
    pub done_at: Option<f64>,
}

impl Facts {
    /// CPU-seconds.
    pub fn work(&self) -> f64 {
        self.spec.cpus * f64::from(self.spec.tasks) * self.run_s
    }
}

/// Draws from a log-normal distribution, with a normal one approximated by a sum.
fn log_normal(rng: &mut StdRng, median: f64, sigma: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    median * (normal * sigma).exp()
}

/// Draws the jobs of a day, by time of arrival: they arrive in its first `arrival_s`
/// seconds.
pub fn draw(setup: &Setup, arrival_s: f64, seed: u64) -> Vec<Facts> {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = setup.machines as f64 * CPUS * setup.seconds;
    let mut jobs = Vec::new();
    for (class_index, class) in setup.classes.iter().enumerate() {
        let mut left = capacity * class.load;
        while left > 0.0 {
            let expected_s = log_normal(&mut rng, class.run_s, 0.5).clamp(5.0, class.run_s * 4.0);
            let run_s = log_normal(&mut rng, expected_s, 0.3);
            let tasks = log_normal(&mut rng, class.tasks, 0.8).clamp(1.0, class.tasks * 6.0) as u32;
            let any = rng.random_range(0..setup.teams);
            let image = rng.random_range(0..12);
            let at = rng.random::<f64>() * arrival_s;
            let facts = Facts {
                class: class_index,
                team: class.team.unwrap_or(any),
                at,
                run_s,
                spec: class.job_spec(class.team.unwrap_or(any), tasks, expected_s, image),
                done_at: None,
            };
            left -= facts.work();
            jobs.push(facts);
        }
    }
    jobs.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (n, facts) in jobs.iter_mut().enumerate() {
        facts.spec.id = format!("req-{n:06}");
    }
    jobs
}

impl Class {
    /// A job of the class; its id is still to be set.
    pub fn job_spec(&self, team: usize, tasks: u32, expected_s: f64, image: u32) -> JobSpec {
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
            image: format!("{}-{image}", self.name),
            image_gb: self.image_gb,
            machine_types: None,
            zone: self.zone.map(str::to_string),
            one_zone: false,
            spread: false,
            spot: true,
            expected_s,
            checkpoint_every_s: self.checkpoint_s,
            checkpoint_s: if self.checkpoint_s > 0.0 { 2.0 } else { 0.0 },
            deadline_s: self.deadline.map(|d| d * expected_s + 10.0),
        }
    }
}
