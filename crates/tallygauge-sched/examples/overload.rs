//! Days with more work than room: what part of each class and team is served,
//! with the floor and without, against what is possible at all.
//!
//! `cargo run --release -p tallygauge-sched --example overload -- --help`
//!
//! The picture is the real one; machines, tasks and time are played. Work falls
//! off after two fifths of the day, as a day's does.

use clap::Parser;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};
use tallygauge_sched::{Aim, Cluster, Config, FloorConfig, RangeSet, Source, TeamConfig};
use tallygauge_wire::{
    cloud::MachineType,
    users::{JobSpec, Priority, Shape},
    workers::{Command, EndCause, Report, TaskReport, TaskState},
};

/// Plays days with more work than room.
#[derive(Parser, Debug, Clone)]
struct Args {
    /// Machines of 32 CPUs
    #[arg(long, default_value_t = 400)]
    machines: usize,
    /// Work that comes, against what the machines can do
    #[arg(long, default_value_t = 2.0)]
    load: f64,
    /// Part of the work that is urgent
    #[arg(long, default_value_t = 0.7)]
    urgent: f64,
    /// Teams
    #[arg(long, default_value_t = 16)]
    teams: usize,
    /// Seconds of the day
    #[arg(long, default_value_t = 1000.0)]
    seconds: f64,
    /// Seeds, played in turn
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Share that the floor holds to; 0: none
    #[arg(long, default_value_t = 0.65)]
    share: f64,
    /// Part of the machines that the floor may use
    #[arg(long, default_value_t = 0.5)]
    part: f64,
    /// Part of the machines whose zone is cut off for a tenth of the day
    #[arg(long, default_value_t = 0.0)]
    cut: f64,
}

/// Cores of the machines.
const CPUS: f64 = 32.0;

/// Seconds of a step.
const STEP: f64 = 0.5;

/// Part of the day in which work comes.
const COMING: f64 = 0.4;

struct Class {
    name: &'static str,
    priority: Priority,
    cpus: f64,
    memory_gb: f64,
    tasks: f64,
    run_s: f64,
    checkpoint_s: f64,
    save_s: f64,
    image_gb: f64,
    deadline: Option<f64>,
    within_s: f64,
    /// Part of the urgent, or of the other, work.
    part: f64,
}

const CLASSES: [Class; 3] = [
    Class {
        name: "bulk",
        priority: Priority::Normal,
        cpus: 16.0,
        memory_gb: 48.0,
        tasks: 60.0,
        run_s: 40.0,
        checkpoint_s: 30.0,
        save_s: 2.0,
        image_gb: 3.0,
        deadline: None,
        within_s: 300.0,
        part: 1.0,
    },
    Class {
        name: "rush",
        priority: Priority::High,
        cpus: 2.0,
        memory_gb: 6.0,
        tasks: 80.0,
        run_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        image_gb: 1.0,
        deadline: Some(3.0),
        within_s: 150.0,
        part: 0.6,
    },
    Class {
        name: "fix",
        priority: Priority::High,
        cpus: 4.0,
        memory_gb: 10.0,
        tasks: 25.0,
        run_s: 50.0,
        checkpoint_s: 20.0,
        save_s: 4.0,
        image_gb: 1.5,
        deadline: Some(1.5),
        within_s: 300.0,
        part: 0.4,
    },
];

/// A job as it is, which its owner's estimate only comes near to.
struct Facts {
    class: usize,
    team: usize,
    at: f64,
    run_s: f64,
    spec: JobSpec,
    done_at: Option<f64>,
}

impl Facts {
    fn work(&self) -> f64 {
        self.spec.cpus * f64::from(self.spec.tasks) * self.run_s
    }
}

struct Task {
    report: TaskReport,
    job: String,
    /// When the state it is in ends.
    until: f64,
    began: f64,
    saved: f64,
    run_s: f64,
}

struct Machine {
    name: String,
    seq: u64,
    session: u64,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    due: f64,
    answered: f64,
    cut: Option<(f64, f64)>,
}

struct Day {
    args: Args,
    c: Cluster,
    jobs: BTreeMap<String, Facts>,
    machines: Vec<Machine>,
    progress: HashMap<String, f64>,
    rounds: Vec<f64>,
    elections: Vec<f64>,
    stopped: usize,
    started: usize,
}

fn config(args: &Args) -> Config {
    let capacity = args.machines as f64 * CPUS;
    let team = |n| TeamConfig {
        name: format!("team-{n}"),
        cpus: capacity / args.teams as f64,
        cpus_max: capacity,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let aim = |c: &Class| {
        let aim = Aim {
            times: c.deadline.map(|_| 1.5),
            within_s: Some(c.within_s),
        };
        (c.name.to_string(), aim)
    };
    Config {
        teams: (0..args.teams).map(team).collect(),
        report_s: 5.0,
        lease_s: 26.0,
        cancel_s: 50.0,
        fence_s: 20.0,
        list_lag_s: 5.0,
        drift: 0.0005,
        floor_s: 5.0,
        worth: [1.0, 2.0, 8.0, 16.0],
        late_worth: 0.1,
        idle_boots: 1.5,
        horizon_boots: 1.0,
        class_due_s: CLASSES
            .iter()
            .map(|c| (c.name.to_string(), c.within_s * 0.7))
            .collect(),
        aims: CLASSES.iter().map(aim).collect(),
        floor: FloorConfig {
            share: args.share,
            part: args.part,
        },
        tasks_per_worker: 400,
        most_direct: 150,
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

/// All jobs of a day, by time.
fn draw(args: &Args, seed: u64) -> Vec<Facts> {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = args.machines as f64 * CPUS * args.seconds;
    let mut out = Vec::new();
    for (class, c) in CLASSES.iter().enumerate() {
        let urgent = if c.priority == Priority::High {
            args.urgent
        } else {
            1.0 - args.urgent
        };
        let mut left = capacity * args.load * urgent * c.part;
        while left > 0.0 {
            let expected_s = spread(&mut rng, c.run_s, 0.5).clamp(5.0, c.run_s * 4.0);
            let run_s = spread(&mut rng, expected_s, 0.3);
            let tasks = spread(&mut rng, c.tasks, 0.8).clamp(1.0, c.tasks * 6.0) as u32;
            let team = rng.random_range(0..args.teams);
            let image = rng.random_range(0..12);
            let spec = JobSpec {
                id: String::new(),
                class: c.name.into(),
                team: format!("team-{team}"),
                shape: Shape::Array,
                priority: c.priority,
                tasks,
                cpus: c.cpus,
                gpus: 0.0,
                memory_gb: c.memory_gb,
                image: format!("{}-{image}", c.name),
                image_gb: c.image_gb,
                types: None,
                zone: None,
                one_zone: false,
                spread: false,
                spot: true,
                expected_s,
                checkpoint_every_s: c.checkpoint_s,
                save_s: c.save_s,
                deadline_s: c.deadline.map(|d| d * expected_s + 10.0),
            };
            let facts = Facts {
                class,
                team,
                at: rng.random::<f64>() * args.seconds * COMING,
                run_s,
                spec,
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

impl Day {
    fn new(args: &Args) -> Self {
        let mut c = Cluster::new(config(args), 0.0, 200, 7000);
        c.set_types(&[machine_type()]);
        let cut = (args.machines as f64 * args.cut) as usize;
        let machines = (0..args.machines).map(|n| Machine {
            name: format!("host-{n:06}"),
            seq: 0,
            session: 1,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            due: n as f64 % 10.0 * 0.5,
            answered: 0.0,
            cut: (n < cut).then_some((args.seconds * 0.15, args.seconds * 0.25)),
        });
        Self {
            args: args.clone(),
            c,
            jobs: BTreeMap::new(),
            machines: machines.collect(),
            progress: HashMap::new(),
            rounds: Vec::new(),
            elections: Vec::new(),
            stopped: 0,
            started: 0,
        }
    }

    fn report(machine: &mut Machine) -> Report {
        machine.seq += 1;
        let zone = if machine.cut.is_some() { "b" } else { "a" };
        Report {
            machine: machine.name.clone(),
            endpoint: "10.1.0.2:9000".into(),
            machine_type: "node".into(),
            zone: zone.into(),
            spot: false,
            session: machine.session,
            seq: machine.seq,
            token: 1,
            notice_s: None,
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
            task.report.kept = (ends == EndCause::Halted).then_some(true);
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
                        report: TaskReport {
                            task: task.clone(),
                            attempt,
                            state: TaskState::Fetching,
                            cause: None,
                            kept: None,
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
                            task.until = now + self.jobs[&task.job].spec.save_s;
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
        machine.due = now + 5.0;
        if now - machine.answered > 26.0 && machine.answered > 0.0 {
            machine.session += 1;
            machine.tasks.clear();
        }
        if machine
            .cut
            .is_some_and(|(from, to)| now >= from && now < to)
        {
            return;
        }
        machine.answered = now;
        let report = Self::report(machine);
        let name = machine.name.clone();
        self.c.on_report(now, &report, Source::CheckIn);
        let commands = self.c.commands(&name, now);
        self.c.sent(&name, &commands);
        self.c.answered(&name, now);
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
            self.c.tick(now);
            let began = Instant::now();
            self.c.elect(now);
            self.elections.push(began.elapsed().as_secs_f64());
        }
        let began = Instant::now();
        self.c.plan(now, true);
        self.rounds.push(began.elapsed().as_secs_f64());
        for batch in self.c.batches(7000, 90, now) {
            self.c.written(&batch, now);
        }
        self.c.garbage.clear();
        self.c.events.clear();
        for message in self.c.direct_messages(now, 1.0) {
            let at = self
                .machines
                .binary_search_by(|m| m.name.cmp(&message.worker))
                .expect("a machine of this day");
            let cut = self.machines[at].cut;
            if cut.is_some_and(|(from, to)| now >= from && now < to) {
                self.c.direct_done(&message, false, true, now);
                continue;
            }
            self.execute(at, message.commands.clone(), now);
            let report = Self::report(&mut self.machines[at]);
            self.c.direct_done(&message, true, false, now);
            self.c.on_report(now, &report, Source::Direct);
        }
        for done in self.c.completions(10_000) {
            self.c.remove_job(&done.job, now);
            if let Some(facts) = self.jobs.get_mut(&done.job) {
                facts.done_at = Some(now);
            }
        }
        if std::env::var("DBG").is_ok() && step.is_multiple_of(100) {
            let mut used = BTreeMap::<&str, (f64, usize)>::new();
            for m in &self.machines {
                for t in &m.tasks {
                    if t.report.state != TaskState::Ended {
                        let f = &self.jobs[&t.job];
                        let e = used.entry(CLASSES[f.class].name).or_default();
                        e.0 += f.spec.cpus;
                        e.1 += usize::from(t.report.state == TaskState::Fetching);
                    }
                }
            }
            let free: f64 = self.c.workers.values().map(|w| w.free.cpus).sum();
            print!("{now:6.0} free {free:5.0} {used:?}");
            for s in self.c.standings() {
                if s.key.kind == tallygauge_sched::Kind::Class {
                    print!(
                        " | {} done {} open {} overdue {} need {}",
                        s.key.name, s.tally.done, s.open, s.demand.overdue, s.demand.need
                    );
                }
            }
            println!(" aside {}", self.c.aside());
        }
        if let Some(flush) = self.c.flush(24, 49_152).filter(|_| step.is_multiple_of(4)) {
            self.c.flushed(&flush, 1);
        }
    }

    fn play(&mut self, jobs: Vec<Facts>) {
        let mut jobs = jobs.into_iter().peekable();
        let steps = (self.args.seconds / STEP) as u32;
        for step in 1..=steps {
            let now = f64::from(step) * STEP;
            while let Some(facts) = jobs.next_if(|j| j.at <= now) {
                self.c
                    .add_job(facts.spec.clone(), 1, facts.at, &RangeSet::default());
                self.jobs.insert(facts.spec.id.clone(), facts);
            }
            self.step(now, step);
        }
    }
}

/// The greatest share that all of these groups of jobs could reach, were the
/// machines one and the shortest jobs known beforehand: work of the shortest
/// against the CPU time of the whole day.
fn bound(groups: &[Vec<f64>], capacity: f64) -> f64 {
    let fits = |share: f64| {
        let work: f64 = groups
            .iter()
            .map(|g| {
                let count = (g.len() as f64 * share).floor() as usize;
                g[..count].iter().sum::<f64>()
            })
            .sum();
        work <= capacity
    };
    let (mut low, mut high) = (0.0, 1.0);
    if fits(1.0) {
        return 1.0;
    }
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

fn main() {
    let args = Args::parse();
    for seed in 1..=args.seeds {
        let mut day = Day::new(&args);
        day.play(draw(&args, seed));
        let groups = |of: &dyn Fn(&Facts) -> usize, count: usize| {
            let mut groups = vec![Vec::new(); count];
            for facts in day.jobs.values() {
                groups[of(facts)].push(facts.work());
            }
            for group in &mut groups {
                group.sort_by(f64::total_cmp);
            }
            groups
        };
        let capacity = args.machines as f64 * CPUS * args.seconds * (1.0 - args.cut * 0.1);
        let by_class = groups(&|f| f.class, CLASSES.len());
        let by_team = groups(&|f| f.team, args.teams);
        let share = |which: &dyn Fn(&&Facts) -> bool| {
            let all = day.jobs.values().filter(which).count().max(1) as f64;
            let done = day.jobs.values().filter(which);
            let in_time = |f: &&Facts| {
                let aim = CLASSES[f.class].within_s;
                let aim = f.spec.deadline_s.map_or(aim, |d| aim.max(d * 1.5));
                f.done_at.is_some_and(|at| at - f.at <= aim)
            };
            let timely = done.clone().filter(in_time).count() as f64;
            (
                done.filter(|f| f.done_at.is_some()).count() as f64 / all,
                timely / all,
            )
        };
        print!("seed {seed}: {:5} jobs |", day.jobs.len());
        for (n, class) in CLASSES.iter().enumerate() {
            let (done, timely) = share(&|f| f.class == n);
            print!(" {} {done:.2} ({timely:.2} in time)", class.name);
        }
        let least = (0..args.teams)
            .map(|n| share(&|f| f.team == n).0)
            .fold(1.0, f64::min);
        let done: f64 = day
            .jobs
            .values()
            .filter(|f| f.done_at.is_some())
            .map(Facts::work)
            .sum();
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64 * 1e3;
        let most = |all: &[f64]| all.iter().copied().fold(0.0, f64::max) * 1e3;
        println!(
            " | least team {least:.2} | possible {:.2} of classes, {:.2} of teams | done {:.2} of the CPU time | {} starts, {} stops | round {:.2} ms, at most {:.1}; election {:.2}, at most {:.1}",
            bound(&by_class, capacity),
            bound(&by_team, capacity),
            done / capacity,
            day.started,
            day.stopped,
            mean(&day.rounds),
            most(&day.rounds),
            mean(&day.elections),
            most(&day.elections),
        );
    }
}
