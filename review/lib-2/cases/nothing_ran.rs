//! Machines are up, jobs are accepted, and no task is started: the cloud's API is out, and all
//! controllers have ended once.

use super::{Setup, array, sleep, small_box};
use crate::{controllers::Deployment, users};
use std::{path::Path, time::Duration};

/// Time after an end of a controller at which it is back.
const BACK_AFTER_S: f64 = 4.0;

/// Time for which the cloud answers 503, to the end of the case.
const OUT_FOR_S: f64 = 95.0;

const JOBS: [&str; 4] = ["req-000001", "req-000002", "req-000003", "req-000004"];

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let deployment = Deployment::haneul_capture();
    let mut kind = small_box();
    kind.boot = Duration::from_secs(25);
    let setup = Setup::start(folder, root, &deployment, vec![kind], 3);
    *setup.cloud.room.lock().unwrap() = 10;
    let (world, nodes) = (&setup.world, &setup.controllers.client);
    let job = array("studio-ops", 4, 1.0, 1.0, 25.0);
    let rented = || !setup.cloud.machines.lock().unwrap().is_empty();
    let can_run = setup.wait(10.0, || setup.leader().is_some())
        && JOBS.iter().all(|id| setup.submit(id, &job))
        && setup.wait(10.0, rented);
    if !can_run {
        world.record.line("the case could not run");
        return 2;
    }
    sleep(1.0);
    if trouble {
        world
            .record
            .line("the cloud answers 503, all controllers end");
        *setup.cloud.is_out.lock().unwrap() = true;
        for node in 0..nodes.len() {
            setup.controllers.kill(node);
        }
        sleep(BACK_AFTER_S);
        for node in 0..nodes.len() {
            setup.controllers.start(node);
        }
    }
    let end = world.record.now() + OUT_FOR_S;
    let mut turn = 0;
    while world.record.now() < end {
        for id in JOBS {
            turn += 1;
            users::poll(world, nodes, turn % nodes.len(), id);
            sleep(1.25);
        }
    }
    let machines = setup.cloud.machines.lock().unwrap();
    let reports: Vec<String> = machines
        .values()
        .map(|machine| {
            let (session, token, tasks) = machine.status();
            format!(
                "{} session {session} token {token} tasks {}",
                machine.name,
                tasks.len()
            )
        })
        .collect();
    drop(machines);
    let starts = *world.starts.lock().unwrap();
    world.record.line(format!(
        "machines: {reports:?}; {starts} tasks were started"
    ));
    if starts == 0 && !reports.is_empty() {
        world.break_rule("nothing_ran: no task was started".into());
    }
    i32::from(!world.broken.lock().unwrap().is_empty())
}
