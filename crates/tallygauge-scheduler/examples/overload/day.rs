//! A day that is played: the real picture, with machines, tasks and time as
//! they might be. One seed, no clock, no input or output.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};
use tallygauge_protocol::{
    cloud::MachineType,
    users::{JobSpec, Priority, Shape},
    workers::{Command, EndCause, Heartbeat, TaskState, TaskStatus},
};
use tallygauge_scheduler::{
    ClusterState, Config, HeartbeatSource, MinimumShareConfig, PlacementBatch, RangeSet,
    ReplicaSpread, ServiceLevelObjective, TeamConfig,
};

/// What is played.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Machines of [`CPUS`].
    pub machines: usize,
    /// Teams, of equal guarantees.
    pub teams: usize,
    /// Seconds of the day.
    pub seconds: f64,
    /// Share that the floor holds to; 0: none.
    pub share: f64,
    /// Part of the machines, those of zone `b`, that is cut off for a tenth of
    /// the day; their jobs are lost a lease later.
    pub cut: f64,
    /// Classes of jobs.
    pub classes: Vec<Class>,
}

/// CPUs of a machine.
pub const CPUS: f64 = 32.0;

/// Seconds of a step.
pub const STEP: f64 = 0.5;

/// Seconds between two check-ins.
pub const REPORT_S: f64 = 5.0;

/// A class of jobs.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Priority.
    pub priority: Priority,
    /// CPUs of a task.
    pub cpus: f64,
    /// Middle of the numbers of tasks.
    pub tasks: f64,
    /// Middle of the run times.
    pub run_s: f64,
    /// Interval of checkpoints.
    pub checkpoint_s: f64,
    /// Size of the image.
    pub image_gb: f64,
    /// Deadline, in estimated run times.
    pub deadline: Option<f64>,
    /// The class's aim.
    pub within_s: f64,
    /// The only zone.
    pub zone: Option<&'static str>,
    /// The only team.
    pub team: Option<usize>,
    /// Part of what the machines can do that this class asks for.
    pub load: f64,
}

/// A class as most are: urgent small tasks with a deadline.
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

/// A job as it is, which its owner's estimate only comes near to.
pub struct Facts {
    /// Place of its class.
    pub class: usize,
    /// Place of its team.
    pub team: usize,
    /// When it is submitted.
    pub at: f64,
    /// Run time of its tasks.
    pub run_s: f64,
    /// What its user says.
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

struct Task {
    report: TaskStatus,
    job: String,
    /// When the state it is in ends.
    until: f64,
    began: f64,
    saved: f64,
    run_s: f64,
}

struct Machine {
    name: String,
    zone: &'static str,
    seq: u64,
    session: u64,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    due: f64,
    answered: f64,
    cut: Option<(f64, f64)>,
}

/// The day.
pub struct Day {
    setup: Setup,
    /// The picture.
    pub c: ClusterState,
    /// Jobs that were submitted.
    pub jobs: BTreeMap<String, Facts>,
    machines: Vec<Machine>,
    progress: HashMap<String, f64>,
    /// Batches of placements, in order.
    pub placed: Vec<PlacementBatch>,
    /// Seconds that rounds took.
    pub rounds: Vec<f64>,
    /// Seconds that elections took.
    pub elections: Vec<f64>,
    /// Tasks stopped.
    pub stopped: usize,
    /// Tasks started.
    pub started: usize,
}

fn config(setup: &Setup) -> Config {
    let capacity = setup.machines as f64 * CPUS;
    let team = |n| TeamConfig {
        name: format!("team-{n}"),
        guaranteed_cpus: capacity / setup.teams as f64,
        max_cpus: capacity,
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
    };
    let aim = |c: &Class| {
        let aim = ServiceLevelObjective {
            deadline_factor: c.deadline.map(|_| 1.5),
            within_s: Some(c.within_s),
        };
        (c.name.to_string(), aim)
    };
    let due = |c: &Class| (c.name.to_string(), c.within_s * 0.7);
    Config {
        teams: (0..setup.teams).map(team).collect(),
        heartbeat_interval_s: REPORT_S,
        lease_s: 26.0,
        cancel_timeout_s: 50.0,
        fence_s: 20.0,
        list_lag_s: 5.0,
        clock_drift: 0.0005,
        min_remaining_s: 5.0,
        utility: [1.0, 2.0, 8.0, 16.0],
        late_utility: 0.1,
        idle_boots: 1.5,
        horizon_boots: 1.0,
        class_deadline_s: setup.classes.iter().map(due).collect(),
        objectives: setup.classes.iter().map(aim).collect(),
        minimum_share: MinimumShareConfig {
            share: setup.share,
            start_within_s: if setup.share > 0.0 { 240.0 } else { 0.0 },
        },
        replica_spread: ReplicaSpread { risk_s: 30.0 },
        max_tasks_per_worker: 400,
        max_direct_messages: 150,
        term: 1,
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "node".into(),
        cpus: CPUS,
        gpus: 0.0,
        memory_gb: CPUS * 4.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 0.2,
        price: 2.0,
        spot_price: 0.8,
        boot_s: 35.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// About as wide as work of people is: a few are many times the middle.
fn spread(rng: &mut StdRng, middle: f64, width: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    middle * (sum * width).exp()
}

/// All jobs of a day, by time: they come in its first `coming` seconds.
pub fn draw(setup: &Setup, coming: f64, seed: u64) -> Vec<Facts> {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = setup.machines as f64 * CPUS * setup.seconds;
    let mut out = Vec::new();
    for (class, c) in setup.classes.iter().enumerate() {
        let mut left = capacity * c.load;
        while left > 0.0 {
            let expected_s = spread(&mut rng, c.run_s, 0.5).clamp(5.0, c.run_s * 4.0);
            let run_s = spread(&mut rng, expected_s, 0.3);
            let tasks = spread(&mut rng, c.tasks, 0.8).clamp(1.0, c.tasks * 6.0) as u32;
            let any = rng.random_range(0..setup.teams);
            let image = rng.random_range(0..12);
            let at = rng.random::<f64>() * coming;
            let facts = Facts {
                class,
                team: c.team.unwrap_or(any),
                at,
                run_s,
                spec: spec(c, c.team.unwrap_or(any), tasks, expected_s, image),
                done_at: None,
            };
            left -= facts.work();
            out.push(facts);
        }
    }
    out.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (n, facts) in out.iter_mut().enumerate() {
        facts.spec.id = format!("req-{n:06}");
    }
    out
}

/// What a user says of a job; its id is still to be given.
pub fn spec(c: &Class, team: usize, tasks: u32, expected_s: f64, image: u32) -> JobSpec {
    JobSpec {
        id: String::new(),
        class: c.name.into(),
        team: format!("team-{team}"),
        shape: Shape::Array,
        priority: c.priority,
        tasks,
        cpus: c.cpus,
        gpus: 0.0,
        memory_gb: c.cpus * 3.0,
        image: format!("{}-{image}", c.name),
        image_gb: c.image_gb,
        machine_types: None,
        zone: c.zone.map(str::to_string),
        one_zone: false,
        spread: false,
        spot: true,
        expected_s,
        checkpoint_every_s: c.checkpoint_s,
        checkpoint_s: if c.checkpoint_s > 0.0 { 2.0 } else { 0.0 },
        deadline_s: c.deadline.map(|d| d * expected_s + 10.0),
    }
}

impl Day {
    /// A day on which nothing has happened yet.
    pub fn new(setup: &Setup) -> Self {
        let mut c = ClusterState::new(config(setup), 0.0, 200, 7000);
        c.set_machine_types(&[machine_type()]);
        let cut = (setup.machines as f64 * setup.cut) as usize;
        let machines = (0..setup.machines).map(|n| Machine {
            name: format!("host-{n:06}"),
            zone: if n < cut || n % 2 == 0 { "b" } else { "a" },
            seq: 0,
            session: 1,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            due: n as f64 % 10.0 * 0.5,
            answered: 0.0,
            cut: (n < cut).then_some((setup.seconds * 0.15, setup.seconds * 0.25)),
        });
        Self {
            setup: setup.clone(),
            c,
            jobs: BTreeMap::new(),
            machines: machines.collect(),
            progress: HashMap::new(),
            placed: Vec::new(),
            rounds: Vec::new(),
            elections: Vec::new(),
            stopped: 0,
            started: 0,
        }
    }

    fn report(machine: &mut Machine) -> Heartbeat {
        machine.seq += 1;
        Heartbeat {
            machine: machine.name.clone(),
            endpoint: "10.1.0.2:9000".into(),
            machine_type: "node".into(),
            zone: machine.zone.into(),
            spot: false,
            incarnation: machine.session,
            sequence: machine.seq,
            token: 1,
            spot_notice_s: None,
            tasks: machine.tasks.iter().map(|t| t.report.clone()).collect(),
        }
    }

    /// What happens on a machine by itself. Returns whether anything did.
    fn turn(machine: &mut Machine, progress: &mut HashMap<String, f64>, now: f64) -> bool {
        let mut changed = false;
        for task in &mut machine.tasks {
            if task.until > now {
                continue;
            }
            let ends = match task.report.state {
                TaskState::Fetching => {
                    task.report.state = TaskState::Running;
                    task.began = now;
                    task.until = now + (task.run_s - task.saved).max(0.0);
                    changed = true;
                    continue;
                }
                TaskState::Running => EndCause::Done,
                TaskState::Saving => {
                    progress.insert(
                        task.report.task.clone(),
                        task.saved + (task.until - task.began).max(0.0),
                    );
                    EndCause::Halted
                }
                _ => continue,
            };
            task.report.state = TaskState::Ended;
            task.report.cause = Some(ends);
            task.report.checkpointed = (ends == EndCause::Halted).then_some(true);
            task.until = f64::MAX;
            changed = true;
        }
        changed
    }

    fn execute(&mut self, at: usize, commands: Vec<Command>, now: f64) {
        let rate = machine_type().fetch_gb_per_s;
        let machine = &mut self.machines[at];
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    if machine.tasks.iter().any(|t| t.report.attempt == attempt) {
                        continue;
                    }
                    let (id, _) = task.rsplit_once('/').expect("a task's name");
                    let facts = &self.jobs[id];
                    let fetch = if machine.images.insert(facts.spec.image.clone()) {
                        facts.spec.image_gb / rate
                    } else {
                        0.0
                    };
                    self.started += 1;
                    machine.tasks.push(Task {
                        report: TaskStatus {
                            task: task.clone(),
                            attempt,
                            state: TaskState::Fetching,
                            cause: None,
                            checkpointed: None,
                        },
                        job: id.to_string(),
                        until: now + fetch,
                        began: now,
                        saved: self.progress.get(&task).copied().unwrap_or(0.0),
                        run_s: facts.run_s,
                    });
                }
                Command::Stop {
                    attempt, grace_s, ..
                } => {
                    for task in &mut machine.tasks {
                        if task.report.attempt != attempt || task.report.state == TaskState::Ended {
                            continue;
                        }
                        self.stopped += 1;
                        let saves = self.jobs[&task.job].spec.checkpoint_every_s > 0.0;
                        if task.report.state == TaskState::Running && saves && grace_s > 0.0 {
                            task.report.state = TaskState::Saving;
                            task.until = now + self.jobs[&task.job].spec.checkpoint_s;
                        } else if task.report.state != TaskState::Saving || grace_s == 0.0 {
                            task.report.state = TaskState::Ended;
                            task.report.cause = Some(EndCause::Halted);
                            task.until = f64::MAX;
                        }
                    }
                }
                Command::Clear { attempt, .. } => {
                    machine.tasks.retain(|t| t.report.attempt != attempt);
                }
            }
        }
    }

    fn check_in(&mut self, at: usize, now: f64) {
        let machine = &mut self.machines[at];
        machine.due = now + REPORT_S;
        if now - machine.answered > 26.0 && machine.answered > 0.0 {
            machine.session += 1;
            machine.tasks.clear();
            machine.answered = now;
        }
        let within = |(from, to): (f64, f64)| now >= from && now < to;
        if machine.cut.is_some_and(within) {
            return;
        }
        machine.answered = now;
        let report = Self::report(machine);
        let name = machine.name.clone();
        self.c
            .apply_heartbeat(now, &report, HeartbeatSource::Periodic);
        let commands = self.c.commands(&name, now);
        self.c.record_heartbeat_response(&name, &commands, now);
        self.execute(at, commands, now);
    }

    fn step(&mut self, now: f64, step: u32) {
        for at in 0..self.machines.len() {
            let machine = &mut self.machines[at];
            let changed = Self::turn(machine, &mut self.progress, now);
            if changed || machine.due <= now {
                self.check_in(at, now);
            }
        }
        if step.is_multiple_of(3) {
            self.c.advance_time(now);
            let began = Instant::now();
            self.c.select_underserved(now);
            self.c.find_overdue_starts(now);
            self.elections.push(began.elapsed().as_secs_f64());
        }
        let began = Instant::now();
        self.c.run_round(now, true);
        self.rounds.push(began.elapsed().as_secs_f64());
        for batch in self.c.take_placement_batches(7000, 90, now) {
            self.c.record_batch_committed(&batch, now);
            self.placed.push(batch);
        }
        self.c.obsolete_batches.clear();
        self.c.events.clear();
        for message in self.c.take_direct_messages(now, 1.0) {
            let at = self
                .machines
                .binary_search_by(|m| m.name.cmp(&message.worker))
                .expect("a machine of this day");
            let within = |(from, to): (f64, f64)| now >= from && now < to;
            if self.machines[at].cut.is_some_and(within) {
                self.c
                    .record_direct_message_result(&message, false, true, now);
                continue;
            }
            self.execute(at, message.commands.clone(), now);
            let report = Self::report(&mut self.machines[at]);
            self.c
                .record_direct_message_result(&message, true, false, now);
            self.c
                .apply_heartbeat(now, &report, HeartbeatSource::DirectReply);
        }
        for done in self.c.completions(10_000, &BTreeSet::new()) {
            self.c.remove_job(&done.job, now);
            if let Some(facts) = self.jobs.get_mut(&done.job) {
                facts.done_at = Some(now);
            }
        }
        if let Some(flush) = self
            .c
            .next_flush(24, 49_152)
            .filter(|_| step.is_multiple_of(4))
        {
            self.c.record_flushed(&flush, 1);
        }
    }

    /// Plays the day; `look` sees it after each step.
    pub fn play(&mut self, jobs: Vec<Facts>, mut look: impl FnMut(&Day, f64)) {
        let mut jobs = jobs.into_iter().peekable();
        let steps = (self.setup.seconds / STEP) as u32;
        for step in 1..=steps {
            let now = f64::from(step) * STEP;
            while let Some(facts) = jobs.next_if(|j| j.at <= now) {
                self.c
                    .add_job(facts.spec.clone(), 1, facts.at, &RangeSet::default());
                self.jobs.insert(facts.spec.id.clone(), facts);
            }
            self.step(now, step);
            look(self, now);
        }
    }

    /// Of the jobs that `which` picks, how many there were, the part that was
    /// done, and the part that was done by its loosest aim.
    pub fn served(&self, which: impl Fn(&Facts) -> bool) -> (usize, f64, f64) {
        let all: Vec<&Facts> = self.jobs.values().filter(|f| which(f)).collect();
        let in_time = |f: &&&Facts| {
            let aim = self.setup.classes[f.class].within_s;
            let aim = f.spec.deadline_s.map_or(aim, |d| aim.max(d * 1.5));
            f.done_at.is_some_and(|at| at - f.at <= aim)
        };
        let count = all.len().max(1) as f64;
        let done = all.iter().filter(|f| f.done_at.is_some()).count() as f64;
        let timely = all.iter().filter(in_time).count() as f64;
        (all.len(), done / count, timely / count)
    }

    /// The greatest share that all groups of jobs could reach, were the
    /// machines one and the shortest jobs known beforehand: work of the
    /// shortest against the CPU time of the whole day.
    pub fn possible(&self, groups: usize, of: impl Fn(&Facts) -> usize) -> f64 {
        let setup = &self.setup;
        let capacity = setup.machines as f64 * CPUS * setup.seconds * (1.0 - setup.cut * 0.1);
        let mut works = vec![Vec::new(); groups];
        for facts in self.jobs.values() {
            works[of(facts)].push(facts.work());
        }
        for group in &mut works {
            group.sort_by(f64::total_cmp);
        }
        let least = |group: &Vec<f64>, share: f64| {
            let count = (group.len() as f64 * share).floor() as usize;
            group[..count].iter().sum::<f64>()
        };
        let fits = |share: f64| works.iter().map(|g| least(g, share)).sum::<f64>() <= capacity;
        if fits(1.0) {
            return 1.0;
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..30 {
            let middle = (low + high) / 2.0;
            if fits(middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }
}
