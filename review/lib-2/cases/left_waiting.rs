//! A job waits beside idle machines: they are kept for jobs of a team that is at its limit.

use super::{Setup, array, big_box, mid_box, sleep};
use crate::{controllers::Deployment, users};
use std::{path::Path, time::Duration};

/// For so long the job has to wait to break the rule.
const WAITING_S: f64 = 90.0;

const WAITING: &str = "req-000900";

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let deployment = Deployment::haneul_capture();
    let setup = Setup::start(folder, root, &deployment, vec![mid_box(), big_box()], 3);
    for site in ["seoul-rack", "daejeon-rack", "cloud-gyeonggi"] {
        setup.cloud.add_machine("mid-box", site, false, Duration::ZERO);
        setup.cloud.add_machine("big-box", site, false, Duration::ZERO);
    }
    let (world, nodes) = (&setup.world, &setup.controllers.client);
    // 12 tasks of 16 CPUs: the team's limit of 192, on the three large machines.
    let long = |pieces| array("studio-ops", pieces, 16.0, 27.0, 250.0);
    let started = |count| setup.wait(10.0, || *world.starts.lock().unwrap() >= count);
    let can_run = setup.wait(10.0, || setup.leader().is_some())
        && setup.submit("req-000100", &long(9))
        && setup.submit("req-000101", &long(3))
        && started(12);
    if !can_run {
        world.record.line("the case could not run");
        return 2;
    }
    if trouble {
        world.record.line("jobs of the class come several times as often");
        let burst = [
            ("req-000102", long(9)),
            ("req-000103", long(9)),
            ("req-000201", array("studio-ops", 1, 16.0, 27.0, 20.0)),
            ("req-000202", array("studio-ops", 1, 16.0, 27.0, 20.0)),
            ("req-000203", array("studio-ops", 1, 16.0, 27.0, 20.0)),
            ("req-000204", array("studio-ops", 1, 16.0, 27.0, 20.0)),
        ];
        for (id, job) in burst {
            if !setup.submit(id, &job) {
                return 2;
            }
        }
        world.record.line("the burst is over");
    }
    sleep(14.0);
    let job = array("campus-support", 1, 8.0, 14.0, 60.0);
    if !setup.submit(WAITING, &job) {
        return 2;
    }
    let accepted = world.record.now();
    let mut waited = 0.0;
    let mut turn = 0;
    while world.record.now() < accepted + WAITING_S + 2.0 {
        turn += 1;
        if let Some((200, status)) = users::poll(world, nodes, turn % nodes.len(), WAITING) {
            if status != "pending" {
                break;
            }
            waited = world.record.now() - accepted;
        }
        sleep(2.0);
    }
    let machines = setup.cloud.machines.lock().unwrap();
    let mut idle = 0;
    for machine in machines.values() {
        let (session, token, tasks) = machine.status();
        world.record.line(format!(
            "{} {}: session {session}, token {token}, tasks {tasks:?}",
            machine.name, machine.kind.name
        ));
        idle += usize::from(tasks.is_empty() && session == 1 && token > 0);
    }
    drop(machines);
    world.record.line(format!("{WAITING} waited for {waited:.1} s beside {idle} idle machines"));
    if waited >= WAITING_S && idle > 0 && !world.has_started(WAITING) {
        world.break_rule(format!("left waiting: {WAITING}"));
    }
    i32::from(!world.broken.lock().unwrap().is_empty())
}
