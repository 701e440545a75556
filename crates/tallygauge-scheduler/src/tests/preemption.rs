//! Preemption, and placement constraints.

use super::*;

#[test]
fn preemption_stops_lowest_upt_and_waits_for_its_end() {
    let mut cluster = cluster(&["sa"], 100.0);
    let mut low = spec(1, 2, 2.0);
    low.priority = Priority::Low;
    cluster.add_job(low, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut cluster, 100.0).len(), 2);
    let started: Vec<(String, u64)> = start_commands(&cluster, "sa", 100.0);
    // One is nearly done: its UPT is the greater.
    let run = |seq| {
        let tasks = started
            .iter()
            .map(|h| task(&h.0, h.1, TaskState::Running, None))
            .collect();
        heartbeat_from("sa", 1, seq, TERM, tasks)
    };
    cluster.apply_heartbeat(101.0, &run(5), HeartbeatSource::Periodic);
    for h in &mut cluster.workers.get_mut("sa").unwrap().attempts {
        h.running_since = Some(if h.index == 0 { 66.0 } else { 99.0 });
    }
    let mut high = spec(2, 1, 2.0);
    high.priority = Priority::High;
    cluster.add_job(high, 1, 101.0, &RangeSet::default());
    assert!(
        round(&mut cluster, 101.0).is_empty(),
        "nothing is free before the stop is confirmed"
    );
    let stops: Vec<Command> = cluster.commands("sa", 101.0);
    assert!(
        matches!(&stops[..], [Command::Stop { task, grace_s, .. }] if task == "req-1/1" && *grace_s >= 2.0),
        "{stops:?}"
    );
    // Resources that are being freed are not freed twice.
    round(&mut cluster, 101.5);
    assert_eq!(
        cluster.workers["sa"]
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
    cluster.apply_heartbeat(103.0, &ended, HeartbeatSource::Periodic);
    assert_eq!(
        round(&mut cluster, 103.0),
        vec![("req-2".to_string(), 0, "sa".to_string())]
    );
    assert!(
        cluster.jobs["req-1"].resumable[&1].checkpointed_s > 3.0,
        "its progress is kept"
    );
}

#[test]
fn overrun_task_loses_utility_per_time() {
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.add_job(spec(1, 1, 2.0), 1, 90.0, &RangeSet::default());
    round(&mut cluster, 100.0);
    let attempt = &mut cluster.workers.get_mut("sa").unwrap().attempts[0];
    attempt.running_since = Some(100.0);
    let attempt = attempt.clone();
    let almost_done = cluster.upt_running(&attempt, 138.0);
    assert!(
        cluster.upt_running(&attempt, 160.0) < almost_done,
        "40 s expected, 60 s run"
    );
    assert!(cluster.upt_running(&attempt, 400.0) < cluster.upt_running(&attempt, 160.0));
}

#[test]
fn zone_and_spot_constraints_are_respected() {
    let mut cluster = cluster(&["sa", "s2b", "ss3b"], 100.0);
    let mut one = spec(1, 3, 3.0);
    one.one_zone = true;
    let mut spread = spec(2, 4, 0.5);
    spread.spread = true;
    let mut kind = spec(3, 1, 0.5);
    (kind.spot, kind.zone) = (false, Some("b".into()));
    for s in [one, spread, kind] {
        cluster.add_job(s, 1, 90.0, &RangeSet::default());
    }
    let placed = round(&mut cluster, 100.0);
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
fn preemption_for_one_job_stays_within_team_limit() {
    // Regression: attempts were preempted for every pending task, even beyond the
    // team's limit.
    let mut cluster = cluster(&["l1a", "l2b"], 100.0);
    cluster.config.teams[1].max_cpus = 4.0;
    let mut low = spec(1, 16, 2.0);
    low.priority = Priority::Low;
    cluster.config.teams[0].max_cpus = 100.0;
    cluster.add_job(low, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut cluster, 100.0).len(), 16);
    for (seq, m) in ["l1a", "l2b"].into_iter().enumerate() {
        let running = start_commands(&cluster, m, 100.0);
        let running = running
            .iter()
            .map(|h| task(&h.0, h.1, TaskState::Running, None))
            .collect();
        cluster.apply_heartbeat(
            101.0,
            &heartbeat_from(m, 1, 5 + seq as u64, TERM, running),
            HeartbeatSource::Periodic,
        );
    }
    let mut high = spec(2, 30, 1.0);
    (high.priority, high.team) = (Priority::High, "blue".into());
    cluster.add_job(high, 1, 101.0, &RangeSet::default());
    round(&mut cluster, 102.0);
    let stops = |cluster: &ClusterState| {
        let attempts = cluster.workers.values().flat_map(|w| &w.attempts);
        attempts.filter(|h| h.stop.is_some()).count()
    };
    assert_eq!(
        stops(&cluster),
        2,
        "four CPUs may be used, two tasks hold them"
    );
    round(&mut cluster, 102.5);
    assert_eq!(
        stops(&cluster),
        2,
        "resources that are being freed are not freed twice"
    );
}
