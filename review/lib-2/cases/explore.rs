//! Random disruptions, several at a time, against all rules.

use super::{Setup, sleep, small_box};
use crate::{
    controllers::{Deployment, Link},
    machines::{JobInfo, Loss},
    store::Mode,
    users,
};
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

#[derive(Clone)]
struct Random(Arc<AtomicU64>);

impl Random {
    fn below(&self, limit: u64) -> u64 {
        let mut x = self.0.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.0.store(x, Ordering::Relaxed);
        (x >> 11) % limit
    }
}

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let random = Random(Arc::new(AtomicU64::new(
        seed.wrapping_mul(0x9e3779b97f4a7c15) | 1,
    )));
    for _ in 0..20 {
        random.below(2);
    }
    let mut deployment = Deployment::haneul_capture();
    deployment.teams = vec![
        ("studio-ops", 4.0, 10.0),
        ("media-eng", 4.0, 8.0),
        ("campus-support", 4.0, 12.0),
    ];
    let setup = Arc::new(Setup::start(
        folder,
        root,
        &deployment,
        vec![small_box()],
        3,
    ));
    for number in 0..8 {
        let site = ["seoul-rack", "daejeon-rack"][number % 2];
        setup
            .cloud
            .add_machine("small-box", site, number % 4 > 1, Duration::ZERO);
    }
    *setup.cloud.room.lock().unwrap() = 6;
    if !setup.wait(15.0, || setup.leader().is_some()) {
        return 2;
    }
    if let Some(ms) = std::env::var("DELAY_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
    {
        setup.store.delay_ms.store(ms, Ordering::Relaxed);
    }
    let until = |setup: &Setup| setup.world.record.now();
    let began = until(&setup);
    let nodes = setup.controllers.client.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let mut users = Vec::new();
    for user in 0..16u64 {
        let (setup, random, nodes, stop) =
            (setup.clone(), random.clone(), nodes.clone(), stop.clone());
        users.push(std::thread::spawn(move || {
            let mut number = 0;
            let mut open = Vec::new();
            while !stop.load(Ordering::Relaxed) && setup.world.record.now() < began + 75.0 {
                number += 1;
                let id = format!("req-{:06}", user * 1000 + number);
                if !follow(&setup, &random, &nodes, &id, began + 104.0) {
                    open.push(id);
                }
                sleep(0.2 + random.below(2000) as f64 / 1000.0);
            }
            open
        }));
    }
    let pause_ms = std::env::var("PAUSE_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(6000);
    while trouble && setup.world.record.now() < began + 70.0 {
        fault(&setup, &random);
        sleep(0.3 + random.below(pause_ms) as f64 / 1000.0);
    }
    setup.world.record.line("no more troubles");
    let mut open = Vec::new();
    for user in users {
        open.extend(user.join().unwrap_or_default());
    }
    stop.store(true, Ordering::Relaxed);
    setup.world.check_cancelled();
    let ended = setup.controllers.ended();
    if !ended.is_empty() {
        setup
            .world
            .break_rule(format!("controllers ended: {ended:?}"));
    }
    let broken = setup.world.broken.lock().unwrap().clone();
    let starts = *setup.world.starts.lock().unwrap();
    setup
        .world
        .record
        .line(format!("starts {starts}, open {open:?}, broken {broken:?}"));
    println!("seed {seed}: starts {starts}, open {open:?}, broken {broken:?}");
    i32::from(!broken.is_empty())
}

/// Submits a job and follows it to its end. Returns whether it ended in time.
fn follow(
    setup: &Setup,
    random: &Random,
    nodes: &[std::net::SocketAddr],
    id: &str,
    until: f64,
) -> bool {
    let world = &setup.world;
    let teams = ["studio-ops", "media-eng", "campus-support"];
    let job = JobInfo {
        team: teams[random.below(3) as usize].into(),
        pieces: 1 + random.below(6),
        cores: 1.0,
        mem_gb: 1.0,
        run: Duration::from_millis(1000 + random.below(9000)),
        fails: false,
        one_zone: random.below(5) == 0,
        spread: false,
        standing: false,
        borrowed: random.below(3) > 0,
        cancelled_at: None,
    };
    let mut job = job;
    if random.below(8) == 0 {
        job.standing = true;
        job.pieces = job.pieces.min(3);
        job.spread = !job.one_zone && random.below(2) == 0;
    }
    world.jobs.lock().unwrap().insert(id.into(), job.clone());
    let body = users::spec(id, &job, job.run.as_secs_f64());
    let mut tries = 0;
    loop {
        let told = users::submit(world, nodes, random.below(3) as usize, id, &body);
        match told {
            Some((200 | 201, _)) => break,
            Some((400 | 422, _)) => {
                world.break_rule(format!("forgotten: {id} is rejected: {told:?}"));
                return true;
            }
            _ => {}
        }
        tries += 1;
        if tries > 40 || world.record.now() > until {
            return true;
        }
        sleep(1.0);
    }
    let cancels = job.standing || random.below(4) == 0;
    let cancel_after = random.below(8000) as f64 / 1000.0;
    let accepted = world.record.now();
    let mut last = String::new();
    look(setup, nodes, id, &body, &last);
    while world.record.now() < until {
        let node = random.below(3) as usize;
        let told = if cancels && world.record.now() > accepted + cancel_after {
            users::cancel(world, nodes, node, id)
        } else {
            users::poll(world, nodes, node, id)
        };
        match told {
            Some((404, _)) => world.break_rule(format!("forgotten: {id} is answered 404")),
            Some((200, status)) if status == "done" || status == "cancelled" => {
                check_done(setup, id, &status, job.pieces);
                if status == "cancelled" && !cancels {
                    world.break_rule(format!("went_back: {id} is called cancelled"));
                }
                last = status;
                look(setup, nodes, id, &body, &last);
                sleep(1.0);
                look(setup, nodes, id, &body, &last);
                return true;
            }
            _ => {}
        }
        sleep(0.3 + random.below(1500) as f64 / 1000.0);
    }
    false
}

fn check_done(setup: &Setup, id: &str, status: &str, pieces: u64) {
    if status != "done" {
        return;
    }
    let done = setup.world.done.lock().unwrap();
    for piece in 0..pieces {
        if !done.contains(&format!("{id}/{piece}")) {
            setup.world.break_rule(format!("not_done: {id}/{piece}"));
        }
    }
}

/// Asks at all nodes at once, and repeats the submission.
fn look(setup: &Setup, nodes: &[std::net::SocketAddr], id: &str, body: &str, last: &str) {
    std::thread::scope(|scope| {
        for node in 0..nodes.len() {
            for again in [false, true] {
                scope.spawn(move || {
                    let told = if again {
                        users::submit(&setup.world, nodes, node, id, body)
                    } else {
                        users::poll(&setup.world, nodes, node, id)
                    };
                    let Some((code, status)) = told else { return };
                    let is_older = match code {
                        200 => !last.is_empty() && status != last,
                        201 => true,
                        400 | 404 | 422 => true,
                        _ => false,
                    };
                    if is_older {
                        setup.world.break_rule(format!(
                            "went_back: {id} was {last:?}, controller {node} says {code} {status}"
                        ));
                    }
                });
            }
        }
    });
}

fn fault(setup: &Arc<Setup>, random: &Random) {
    let node = if random.below(3) > 0 {
        setup.leader().unwrap_or(0)
    } else {
        random.below(3) as usize
    };
    let kinds: Vec<u64> = std::env::var("FAULTS")
        .map(|list| {
            list.split(',')
                .filter_map(|kind| kind.parse().ok())
                .collect()
        })
        .unwrap_or((0..20).collect());
    let kind = kinds[random.below(kinds.len() as u64) as usize];
    let longest = std::env::var("LONGEST_MS")
        .ok()
        .and_then(|ms| ms.parse().ok())
        .unwrap_or(20_000);
    let time = 1.0 + random.below(longest) as f64 / 1000.0;
    setup
        .world
        .record
        .line(format!("FAULT {kind} controller {node} for {time}"));
    let names: Vec<String> = setup
        .cloud
        .machines
        .lock()
        .unwrap()
        .keys()
        .cloned()
        .collect();
    let machine = setup
        .cloud
        .machine(&names[random.below(names.len() as u64) as usize]);
    let (copy, random) = (setup.clone(), random.clone());
    std::thread::spawn(move || {
        let setup = copy;
        let restart_after = |nodes: &[usize], wait: f64| {
            for node in nodes {
                setup.controllers.kill(*node);
            }
            sleep(wait);
            for node in nodes {
                setup.controllers.start(*node);
            }
        };
        match kind {
            0 => restart_after(&[node], 0.2 + random.below(4000) as f64 / 1000.0),
            1 => restart_after(&[0, 1, 2], 0.2 + random.below(4000) as f64 / 1000.0),
            2 | 3 => {
                setup.controllers.stop(node);
                sleep(time.min(12.0));
                setup.controllers.resume(node);
            }
            4 | 5 => {
                let mode = if random.below(2) == 0 {
                    Mode::Refuse
                } else {
                    Mode::Cut
                };
                setup.store.set_mode(node, mode);
                sleep(time);
                setup.store.set_mode(node, Mode::Serve);
            }
            6 => {
                setup.store.set_outage(true);
                sleep(time);
                setup.store.set_outage(false);
            }
            7 => {
                setup.store.late_per_mille.store(300, Ordering::Relaxed);
                sleep(time);
                setup.store.late_per_mille.store(0, Ordering::Relaxed);
            }
            8 => {
                setup
                    .store
                    .lost_answers_per_mille
                    .store(300, Ordering::Relaxed);
                sleep(time);
                setup
                    .store
                    .lost_answers_per_mille
                    .store(0, Ordering::Relaxed);
            }
            9 => {
                setup.store.set_mode(node, Mode::Cut);
                setup.controllers.set_links(node, Link::Hold);
                sleep(time);
                setup.store.set_mode(node, Mode::Serve);
                setup.controllers.set_links(node, Link::Pass);
            }
            10 => {
                machine.restart();
                setup
                    .world
                    .record
                    .line(format!("{} restarts", machine.name));
            }
            11 => {
                setup
                    .world
                    .record
                    .line(format!("{} hangs for {time}", machine.name));
                machine.hang(Duration::from_secs_f64(time * 1.5));
            }
            12 | 13 => {
                let loss = Loss {
                    mute: kind == 12,
                    deaf: kind == 13,
                };
                setup
                    .world
                    .record
                    .line(format!("{} loses {}", machine.name, kind));
                *machine.loss.lock().unwrap() = loss;
                sleep(time);
                *machine.loss.lock().unwrap() = Loss::default();
            }
            15 => {
                setup.world.late_reports.store(300, Ordering::Relaxed);
                sleep(time);
                setup.world.late_reports.store(0, Ordering::Relaxed);
            }
            16 => {
                setup.world.late_commands.store(300, Ordering::Relaxed);
                sleep(time);
                setup.world.late_commands.store(0, Ordering::Relaxed);
            }
            17 => {
                machine.recall(Duration::from_secs(20));
                sleep(15.0);
                machine.end();
                *setup.cloud.room.lock().unwrap() += 1;
            }
            18 => {
                machine.end();
                *setup.cloud.room.lock().unwrap() += 1;
            }
            _ => {
                setup
                    .store
                    .delay_ms
                    .store(50 + random.below(300), Ordering::Relaxed);
                sleep(time);
                setup.store.delay_ms.store(2, Ordering::Relaxed);
            }
        }
    });
}
