//! The user of a finished job is not told of its end, while the users of other jobs are answered.

use super::{Setup, array, mid_box, sleep, small_box};
use crate::{controllers::Deployment, users};
use std::{path::Path, sync::atomic::Ordering, time::Duration};

/// Time that the state service takes for each answer.
const SLOW_MS: u64 = 625;

/// Time after an end of a controller at which it is back.
const BACK_AFTER_S: f64 = 4.0;

/// For so long every poll of a job has to fail to break the rule.
const FORGOTTEN_S: f64 = 90.0;

const FINISHED: &str = "req-000001";
const OTHERS: [&str; 3] = ["req-000101", "req-000102", "req-000103"];

pub fn run(folder: &Path, root: &Path, trouble: bool) -> i32 {
    let deployment = Deployment::haneul_capture();
    let setup = Setup::start(folder, root, &deployment, vec![small_box(), mid_box()], 3);
    for site in ["seoul-rack", "daejeon-rack", "cloud-gyeonggi"] {
        setup
            .cloud
            .add_machine("small-box", site, false, Duration::ZERO);
        setup
            .cloud
            .add_machine("mid-box", site, false, Duration::ZERO);
    }
    let (world, nodes) = (&setup.world, &setup.controllers.client);
    let finished = array("media-eng", 1, 1.0, 1.0, 1.0);
    let long = array("studio-ops", 1, 16.0, 27.0, 160.0);
    let accepted = setup.wait(10.0, || setup.leader().is_some())
        && setup.submit(FINISHED, &finished)
        && OTHERS.iter().all(|id| setup.submit(id, &long));
    let ended = format!("j/{FINISHED}");
    let is_ready = || setup.store.value(&ended).is_some() && *world.starts.lock().unwrap() == 4;
    if !accepted || !setup.wait(10.0, is_ready) {
        world.record.line("the case could not run");
        return 2;
    }
    world
        .record
        .line(format!("the state service keeps that {FINISHED} is done"));
    for node in 0..nodes.len() {
        for id in OTHERS {
            users::poll(world, nodes, node, id);
        }
    }
    let Some(leader) = setup.leader() else {
        return 2;
    };
    if trouble {
        setup.controllers.kill(leader);
        world.record.line(format!(
            "the state service takes {SLOW_MS} ms for each answer"
        ));
        setup.store.delay_ms.store(SLOW_MS, Ordering::Relaxed);
    }
    let began = world.record.now();
    let (mut asked, mut answered, mut first_failed, mut turn) = (0, 0, None, 0);
    let mut failed_for = 0.0f64;
    while world.record.now() < began + FORGOTTEN_S + 10.0 {
        if trouble && world.record.now() > began + BACK_AFTER_S {
            setup.controllers.start(leader);
        }
        for id in [&[FINISHED], &OTHERS[..]].concat() {
            turn += 1;
            let sent = world.record.now();
            let told = users::poll(world, nodes, turn % nodes.len(), id);
            let is_answered = matches!(told, Some((200, _)));
            if id != FINISHED {
                asked += 1;
                answered += usize::from(is_answered);
            } else if is_answered {
                first_failed = None;
            } else {
                let since = *first_failed.get_or_insert(sent);
                failed_for = failed_for.max(world.record.now() - since);
            }
            sleep((sent + 1.25 - world.record.now()).max(0.0));
        }
    }
    world.record.line(format!(
        "polls of {FINISHED} failed for {failed_for:.1} s on end; of {asked} polls of other jobs {answered} were answered"
    ));
    let is_forgotten = failed_for >= FORGOTTEN_S && answered * 2 > asked;
    if is_forgotten {
        world.break_rule(format!("forgotten: {FINISHED}"));
    }
    i32::from(!world.broken.lock().unwrap().is_empty())
}
