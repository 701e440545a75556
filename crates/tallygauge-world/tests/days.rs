//! Drawn days: controllers that fail, with every trouble the stand-ins know, one
//! over the other. `TALLYGAUGE_SEEDS=500 cargo test --release -p tallygauge-world
//! --test days` plays more of them.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{sync::Arc, time::Duration};
use tallygauge::{node::Node, users};
use tallygauge_wire::users::JobStatus;
use tallygauge_world::{LEASE_S, World, accepted, status_of};
use tokio::task::JoinHandle;

const NODES: usize = 3;

/// Seconds after the last trouble by which a job must have been answered for.
const FORGOTTEN_S: f64 = 75.0;

struct Site {
    world: Arc<World>,
    nodes: Vec<(Arc<Node>, JoinHandle<()>)>,
}

impl Site {
    fn name(n: usize) -> String {
        format!("n-{n}")
    }

    fn restart(&mut self, n: usize) {
        self.nodes[n] = self.world.node(&Self::name(n));
    }

    fn crash(&mut self, n: usize) {
        self.nodes[n].1.abort();
        self.world.forget_node(&Self::name(n));
    }

    /// Asks as users do: any node that answers will do.
    async fn ask(&self, id: &str) -> Option<JobStatus> {
        for (node, _) in &self.nodes {
            if let Some(status) = status_of(&users::status(node, id).await) {
                return Some(status);
            }
        }
        None
    }
}

/// Something wrong that is planted, so that the checkers are seen to find it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Plant {
    Nothing,
    /// Nobody is served any more.
    NobodyServed,
    /// A task starts on a machine while it is on another.
    RanTwice,
    /// A user is told that a job is cancelled, and it runs on.
    RunsOn,
    /// A job is lost from record and picture.
    Lost,
}

/// One day; returns what was wrong with it.
async fn day(seed: u64, plant: Plant) -> Vec<String> {
    let mut chance = StdRng::seed_from_u64(seed);
    let world = World::new();
    world.seed(seed);
    tokio::spawn(world.clone().play());
    let nodes = (0..NODES).map(|n| world.node(&Site::name(n))).collect();
    let mut site = Site { world, nodes };
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut jobs = Vec::new();
    let mut cancelled = Vec::new();
    for n in 1..=14u32 {
        let (tasks, run_s) = (chance.random_range(1..5), chance.random_range(2.0..15.0));
        let cpus = [1.0, 2.0, 4.0, 8.0][chance.random_range(0..4)];
        let (id, body) = site.world.job(n, tasks, cpus, run_s);
        // Some node takes it.
        let at = chance.random_range(0..NODES);
        let kept =
            tokio::time::timeout(Duration::from_secs(25), accepted(&site.nodes[at].0, &body));
        if kept.await.is_ok() {
            jobs.push(id.clone());
        }
        tokio::time::sleep(Duration::from_secs_f64(chance.random_range(0.5..5.0))).await;
        let machines = site.world.up();
        let machine = (!machines.is_empty())
            .then(|| machines[chance.random_range(0..machines.len())].clone());
        let node = chance.random_range(0..NODES);
        match (chance.random_range(0..12), machine) {
            (0, _) => {
                site.crash(node);
                tokio::time::sleep(Duration::from_millis(chance.random_range(10..900))).await;
                site.restart(node);
            }
            (1, _) => {
                (0..NODES).for_each(|n| site.crash(n));
                tokio::time::sleep(Duration::from_secs_f64(chance.random_range(0.01..9.0))).await;
                (0..NODES).for_each(|n| site.restart(n));
            }
            (2, _) => {
                site.world
                    .inner
                    .lock()
                    .unwrap()
                    .cut
                    .insert(Site::name(node));
            }
            (3, _) => site.world.inner.lock().unwrap().cut.clear(),
            (4, _) => {
                site.world.set_down(true);
                tokio::time::sleep(Duration::from_secs_f64(chance.random_range(1.0..8.0))).await;
                site.world.set_down(false);
            }
            (5, Some(machine)) => site.world.deafen(&machine, true),
            (6, Some(machine)) => site.world.deafen(&machine, false),
            (7, Some(machine)) => site.world.begin_again(&machine),
            (8, Some(machine)) => site.world.silence(&machine, true),
            (9, _) => site.world.inner.lock().unwrap().lose_answers = 1,
            (10, _) => site.world.inner.lock().unwrap().copying = (0.3, LEASE_S * 2.0),
            (11, _) if n > 3 => {
                let told = status_of(&users::cancel(&site.nodes[node].0, &id).await);
                if told == Some(JobStatus::Cancelled) {
                    site.world.told_cancelled(&id);
                    cancelled.push(id);
                }
            }
            _ => {}
        }
    }
    // All troubles are over.
    {
        let machines = site.world.up();
        let mut inner = site.world.inner.lock().unwrap();
        inner.cut.clear();
        inner.copying = (0.0, 0.0);
        inner.lose_answers = 0;
        drop(inner);
        machines.iter().for_each(|m| site.world.deafen(m, false));
    }
    match plant {
        Plant::Nothing => {}
        Plant::NobodyServed => site.world.set_down(true),
        Plant::RanTwice => site.world.start_twice("req-000001/0"),
        Plant::RunsOn => {
            let (id, body) = site.world.job(99, 1, 1.0, 300.0);
            accepted(&site.nodes[0].0, &body).await;
            tokio::time::sleep(Duration::from_secs(30)).await;
            site.world.told_cancelled(&id);
            jobs.push(id);
        }
        Plant::Lost => jobs.push("req-000777".into()),
    }
    let over = site.world.now();
    let mut answered = vec![over; jobs.len()];
    let mut wrong = Vec::new();
    let mut done = vec![false; jobs.len()];
    while site.world.now() - over < 420.0 && !done.iter().all(|d| *d) {
        for (n, id) in jobs.iter().enumerate() {
            if let Some(status) = site.ask(id).await {
                answered[n] = site.world.now();
                let over = matches!(status, JobStatus::Done | JobStatus::Cancelled);
                if status == JobStatus::Cancelled && !cancelled.contains(id) {
                    wrong.push(format!("{id} is called cancelled"));
                }
                if done[n] && !over {
                    wrong.push(format!("{id} went back"));
                }
                done[n] |= over;
            } else if site.world.now() - answered[n] > FORGOTTEN_S {
                wrong.push(format!("{id} is forgotten"));
            }
        }
        if !wrong.is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    let never: Vec<&String> = jobs
        .iter()
        .zip(&done)
        .filter(|d| !d.1)
        .map(|d| d.0)
        .collect();
    if !never.is_empty() {
        wrong.push(format!("never done: {never:?}"));
    }
    let inner = site.world.inner.lock().unwrap();
    wrong.extend(inner.broken.iter().cloned());
    if inner.starts.is_empty() {
        wrong.push("nothing ran".into());
    }
    wrong
}

#[test]
fn drawn_days_break_no_rule_and_forget_nobody() {
    let seeds = std::env::var("TALLYGAUGE_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|s| s.parse().ok()).unwrap_or(40);
    let next = std::sync::atomic::AtomicU64::new(0);
    let bad = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= seeds {
                        return;
                    }
                    let runtime = tokio::runtime::Builder::new_current_thread()
                        .enable_all()
                        .start_paused(true)
                        .build()
                        .unwrap();
                    let wrong = runtime.block_on(day(seed, Plant::Nothing));
                    if !wrong.is_empty() {
                        bad.lock().unwrap().push((seed, wrong));
                    }
                }
            });
        }
    });
    let bad = bad.into_inner().unwrap();
    assert!(bad.is_empty(), "{bad:#?}");
}

#[tokio::test(start_paused = true)]
async fn each_checker_finds_what_is_planted() {
    for (plant, word) in [
        (Plant::NobodyServed, "forgotten"),
        (Plant::RanTwice, "starts twice"),
        (Plant::RunsOn, "still runs"),
        (Plant::Lost, "forgotten"),
    ] {
        let wrong = day(7, plant).await;
        assert!(
            wrong.iter().any(|w| w.contains(word)),
            "{plant:?}: {wrong:?}"
        );
    }
}
