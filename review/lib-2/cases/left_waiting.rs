//! A job waits beside idle machines: they are kept for jobs of a team that is at its limit.

use super::{Setup, array, big_box, sleep};
use crate::{controllers::Deployment, users};
use std::{path::Path, time::Duration};

/// For so long the job has to wait to break the rule.
const WAITING_S: f64 = 90.0;

const WAITING: &str = "req-000900";

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let deployment = Deployment::haneul_capture();
    let setup = Setup::start(folder, root, &deployment, vec![big_box()], 3);
    for site in ["seoul-rack", "daejeon-rack", "cloud-gyeonggi"] {
        setup
            .cloud
            .add_machine("big-box", site, false, Duration::ZERO);
    }
    let (world, nodes) = (&setup.world, &setup.controllers.client);
    // 12 replicas of 16 CPUs: the team's limit of 192, on all three machines.
    let mut service = array("studio-ops", 12, 16.0, 27.0, 0.0);
    service.standing = true;
    let long = array("studio-ops", 9, 16.0, 27.0, 250.0);
    let short = array("studio-ops", 1, 16.0, 27.0, 20.0);
    let can_run = setup.wait(10.0, || setup.leader().is_some())
        && setup.submit("req-000100", &service)
        && setup.wait(10.0, || *world.starts.lock().unwrap() == 12);
    if !can_run {
        world.record.line("the case could not run");
        return 2;
    }
    let own = array("campus-support", 1, 16.0, 27.0, 250.0);
    let fourth = setup
        .cloud
        .add_machine("big-box", "seoul-rack", true, Duration::ZERO);
    if !setup.wait(10.0, || setup.cloud.machine(&fourth).status().1 > 0) {
        return 2;
    }
    // It keeps the fourth machine in use: an empty one is returned after a while.
    if !setup.submit("req-000800", &own) || !setup.wait(10.0, || world.has_started("req-000800")) {
        return 2;
    }
    if trouble {
        world
            .record
            .line("jobs of the class come several times as often");
        let burst = [
            ("req-000101", &long),
            ("req-000102", &long),
            ("req-000201", &short),
            ("req-000202", &short),
            ("req-000203", &short),
            ("req-000204", &short),
            ("req-000205", &short),
            ("req-000206", &short),
        ];
        for (id, job) in burst {
            if !setup.submit(id, job) {
                return 2;
            }
        }
        world.record.line("the burst is over");
    }
    sleep(15.0);
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
    let mut with_room = 0;
    for machine in machines.values() {
        let (session, token, tasks) = machine.status();
        world.record.line(format!(
            "{} {}: session {session}, token {token}, tasks {tasks:?}",
            machine.name, machine.kind.name
        ));
        let is_in_use = machine.name == fourth && tasks == ["req-000800/0"];
        with_room += usize::from(is_in_use && session == 1 && token > 0);
    }
    drop(machines);
    world.record.line(format!(
        "{WAITING} waited for {waited:.1} s beside {with_room} machine with 48 CPUs free"
    ));
    if waited >= WAITING_S && with_room > 0 && !world.has_started(WAITING) {
        world.break_rule(format!("left waiting: {WAITING}"));
    }
    i32::from(!world.broken.lock().unwrap().is_empty())
}
