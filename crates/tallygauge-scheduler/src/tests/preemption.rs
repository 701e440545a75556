//! Which running tasks are stopped for others, and where tasks may run.

use super::*;

#[test]
fn a_newcomer_stops_lower_work_of_least_upt_and_waits_for_its_end() {
    let mut c = cluster(&["sa"], 100.0);
    let mut low = spec(1, 2, 2.0);
    low.priority = Priority::Low;
    c.add_job(low, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 2);
    let held: Vec<(String, u64)> = start_of(&c, "sa", 100.0);
    // One is nearly done: its UPT is the greater.
    let run = |seq| {
        let tasks = held
            .iter()
            .map(|h| task(&h.0, h.1, TaskState::Running, None))
            .collect();
        report("sa", 1, seq, TERM, tasks)
    };
    c.apply_heartbeat(101.0, &run(5), HeartbeatSource::Periodic);
    for h in &mut c.workers.get_mut("sa").unwrap().attempts {
        h.running_since = Some(if h.index == 0 { 66.0 } else { 99.0 });
    }
    let mut high = spec(2, 1, 2.0);
    high.priority = Priority::High;
    c.add_job(high, 1, 101.0, &RangeSet::default());
    assert!(
        round(&mut c, 101.0).is_empty(),
        "no room before the stop is confirmed"
    );
    let stops: Vec<Command> = c.commands("sa", 101.0);
    assert!(
        matches!(&stops[..], [Command::Stop { task, grace_s, .. }] if task == "req-1/1" && *grace_s >= 2.0),
        "{stops:?}"
    );
    // Room that is being made is not made twice.
    round(&mut c, 101.5);
    assert_eq!(
        c.workers["sa"]
            .attempts
            .iter()
            .filter(|h| h.stop.is_some())
            .count(),
        1
    );
    let mut ended = run(6);
    for t in &mut ended.tasks {
        if t.task == "req-1/1" {
            (t.state, t.cause, t.checkpointed) =
                (TaskState::Ended, Some(EndCause::Halted), Some(true));
        }
    }
    c.apply_heartbeat(103.0, &ended, HeartbeatSource::Periodic);
    assert_eq!(
        round(&mut c, 103.0),
        vec![("req-2".to_string(), 0, "sa".to_string())]
    );
    assert!(
        c.jobs["req-1"].resumable[&1].checkpointed_s > 3.0,
        "its progress is kept"
    );
}

#[test]
fn an_overrun_task_does_not_look_almost_done_for_ever() {
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 1, 2.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    let held = &mut c.workers.get_mut("sa").unwrap().attempts[0];
    held.running_since = Some(100.0);
    let held = held.clone();
    let almost = c.upt_running(&held, 138.0);
    assert!(
        c.upt_running(&held, 160.0) < almost,
        "40 s expected, 60 s run"
    );
    assert!(c.upt_running(&held, 400.0) < c.upt_running(&held, 160.0));
}

#[test]
fn zones_and_kinds_are_kept_to() {
    let mut c = cluster(&["sa", "s2b", "ss3b"], 100.0);
    let mut one = spec(1, 3, 3.0);
    one.one_zone = true;
    let mut spread = spec(2, 4, 0.5);
    spread.spread = true;
    let mut kind = spec(3, 1, 0.5);
    (kind.spot, kind.zone) = (false, Some("b".into()));
    for s in [one, spread, kind] {
        c.add_job(s, 1, 90.0, &RangeSet::default());
    }
    let placed = round(&mut c, 100.0);
    let zones = |id: &str| -> Vec<char> {
        placed
            .iter()
            .filter(|p| p.0 == id)
            .filter_map(|p| p.2.chars().last())
            .collect()
    };
    let one = zones("req-1");
    assert!(
        !one.is_empty() && one.iter().all(|z| *z == one[0]),
        "{one:?}"
    );
    assert_eq!(zones("req-2").iter().filter(|z| **z == 'a').count(), 2);
    // Every name here has an s, so all machines count as spot ones.
    assert!(zones("req-3").is_empty());
}

#[test]
fn one_job_s_need_for_room_does_not_stop_more_than_its_team_may_use() {
    // Room was made anew for every task that waited, whether its team's limit
    // left room for it or not.
    let mut c = cluster(&["l1a", "l2b"], 100.0);
    c.config.teams[1].max_cpus = 4.0;
    let mut low = spec(1, 16, 2.0);
    low.priority = Priority::Low;
    c.config.teams[0].max_cpus = 100.0;
    c.add_job(low, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 16);
    for (seq, m) in ["l1a", "l2b"].into_iter().enumerate() {
        let running = start_of(&c, m, 100.0);
        let running = running
            .iter()
            .map(|h| task(&h.0, h.1, TaskState::Running, None))
            .collect();
        c.apply_heartbeat(
            101.0,
            &report(m, 1, 5 + seq as u64, TERM, running),
            HeartbeatSource::Periodic,
        );
    }
    let mut high = spec(2, 30, 1.0);
    (high.priority, high.team) = (Priority::High, "blue".into());
    c.add_job(high, 1, 101.0, &RangeSet::default());
    round(&mut c, 102.0);
    let stops = |c: &ClusterState| {
        let held = c.workers.values().flat_map(|w| &w.attempts);
        held.filter(|h| h.stop.is_some()).count()
    };
    assert_eq!(stops(&c), 2, "four CPUs may be used, two tasks hold them");
    round(&mut c, 102.5);
    assert_eq!(stops(&c), 2, "room that is being made is not made twice");
}
