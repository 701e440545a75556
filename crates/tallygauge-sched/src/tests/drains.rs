//! Drains, and why tasks wait.

use super::*;

/// All tasks on a machine run, and say so.
fn run_all(c: &mut Cluster, machine: &str, seq: u64, now: f64) {
    let held: Vec<TaskReport> = c.workers[machine]
        .held
        .iter()
        .filter(|h| h.occupies())
        .map(|h| task(&h.task_name(), h.attempt, TaskState::Running, None))
        .collect();
    c.on_report(now, &report(machine, 1, seq, TERM, held), Source::CheckIn);
}

/// Every task on a machine ends as told.
fn end_all(c: &mut Cluster, machine: &str, seq: u64, cause: EndCause, now: f64) {
    let held: Vec<TaskReport> = c.workers[machine]
        .held
        .iter()
        .filter(|h| h.occupies())
        .map(|h| task(&h.task_name(), h.attempt, TaskState::Ended, Some(cause)))
        .collect();
    c.on_report(now, &report(machine, 1, seq, TERM, held), Source::CheckIn);
}

fn drain(scope: Scope, stop_at: Option<f64>, keep: bool) -> Drain {
    Drain {
        scope,
        stop_at,
        keep,
    }
}

fn returned(c: &mut Cluster, now: f64) -> Vec<(String, LeaveReason)> {
    c.tick(now);
    c.returns(now)
}

#[test]
fn a_drained_machine_gets_no_starts_and_goes_when_what_ran_there_has_ended() {
    let mut c = cluster(&["sa", "sb"], 100.0);
    c.add_job(spec(1, 8, 2.0), 1, 99.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 4);
    run_all(&mut c, "sa", 2, 101.0);
    run_all(&mut c, "sb", 2, 101.0);
    c.set_drains(vec![drain(Scope::Machine("sa".into()), None, false)], 102.0);
    assert!(returned(&mut c, 103.0).is_empty(), "its tasks run on");
    assert!(c.workers["sa"].held.iter().all(|h| h.stop.is_none()));
    let done = c.drain_progress(&Scope::Machine("sa".into()));
    assert_eq!((done.machines, done.empty, done.tasks), (1, 0, 2));
    // Room that comes free there is not used any more, elsewhere it is.
    end_all(&mut c, "sa", 3, EndCause::Halted, 104.0);
    end_all(&mut c, "sb", 3, EndCause::Halted, 104.0);
    let placed = round(&mut c, 104.0);
    assert!(placed.iter().all(|p| p.2 == "sb") && placed.len() == 2);
    assert_eq!(
        returned(&mut c, 105.0),
        [("sa".to_string(), LeaveReason::Drained)]
    );
}

#[test]
fn a_drain_with_a_time_stops_what_saves_in_time_to_save_and_the_rest_at_its_end() {
    let mut c = cluster(&["sa"], 100.0);
    let mut fixed = spec(2, 1, 1.0);
    fixed.checkpoint_every_s = 0.0;
    c.add_job(spec(1, 1, 1.0), 1, 99.0, &RangeSet::default());
    c.add_job(fixed, 1, 99.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 2);
    run_all(&mut c, "sa", 2, 101.0);
    c.set_drains(
        vec![drain(Scope::Zone("a".into()), Some(115.0), true)],
        102.0,
    );
    c.answered("sa", &[], 105.0);
    let stopped = |c: &Cluster| -> Vec<String> {
        let held = c.workers["sa"].held.iter().filter(|h| h.stop.is_some());
        let mut ids: Vec<String> = held.map(|h| h.spec.id.clone()).collect();
        ids.sort();
        ids
    };
    for (now, ids) in [
        (110.0, &[][..]),
        (111.5, &["req-1"][..]),
        (114.0, &["req-1"][..]),
        (115.5, &["req-1", "req-2"][..]),
    ] {
        c.tick(now);
        assert_eq!(stopped(&c), ids, "{now}");
    }
    let stops = c.commands("sa", 115.5);
    assert!(stops.iter().any(
        |s| matches!(s, Command::Stop { task, grace_s, .. } if task == "req-1/0" && *grace_s == 2.0)
    ));
    // Empty, it is kept for as long as the drain holds, however long it idles.
    end_all(&mut c, "sa", 3, EndCause::Halted, 116.0);
    assert!(round(&mut c, 116.0).is_empty());
    c.on_report(999.0, &report("sa", 1, 4, TERM, vec![]), Source::CheckIn);
    assert!(returned(&mut c, 1000.0).is_empty());
    // Undrained, it is used again.
    c.set_drains(Vec::new(), 1000.0);
    assert_eq!(round(&mut c, 1000.6).len(), 2);
}

#[test]
fn machines_that_come_into_a_drained_zone_are_drained_and_none_is_rented_there() {
    let mut c = cluster(&["sa"], 100.0);
    c.set_drains(vec![drain(Scope::Zone("a".into()), None, false)], 100.0);
    c.on_report(101.0, &report("s2a", 1, 1, TERM, vec![]), Source::CheckIn);
    assert!(c.workers["s2a"].drained.is_some());
    c.add_job(spec(1, 8, 2.0), 1, 99.0, &RangeSet::default());
    assert!(round(&mut c, 102.0).is_empty());
    let rented = c.rentals(102.0);
    assert!(
        !rented.is_empty() && rented.iter().all(|r| r.kind.1 == "b"),
        "{rented:?}"
    );
    // With everything drained there is nothing to be rented, and jobs wait.
    let all = ["a", "b"].map(|z| drain(Scope::Zone(z.into()), None, false));
    c.set_drains(all.to_vec(), 103.0);
    assert!(c.rentals(103.0).is_empty());
    assert_eq!(c.jobs["req-1"].waiting.len(), 8);
    // The strictest of several drains holds.
    let both = vec![
        drain(Scope::Zone("a".into()), Some(500.0), true),
        drain(Scope::Type("small".into()), Some(400.0), false),
    ];
    c.set_drains(both, 104.0);
    let drained = c.workers["sa"].drained.unwrap();
    assert_eq!((drained.stop_at, drained.keep), (Some(400.0), false));
}

#[test]
fn a_return_for_a_drain_is_taken_back_until_it_is_sent() {
    let mut c = cluster(&["sa", "sb"], 100.0);
    let both = vec![
        drain(Scope::Machine("sa".into()), None, false),
        drain(Scope::Machine("sb".into()), None, false),
    ];
    c.set_drains(both, 101.0);
    assert_eq!(returned(&mut c, 101.0).len(), 2);
    c.return_sent(&["sb".to_string()]);
    c.set_drains(Vec::new(), 102.0);
    let leaving = |c: &Cluster, name: &str| c.workers[name].leaving.is_some();
    assert!(!leaving(&c, "sa") && leaving(&c, "sb"));
    // One that the cloud takes meanwhile is simply gone.
    c.gone("sb", 103.0);
    assert_eq!(c.drain_progress(&Scope::Machine("sb".into())).machines, 0);
}

fn codes(c: &Cluster, id: &str, now: f64) -> Vec<&'static str> {
    let reasons = c.why(id, now).unwrap().reasons;
    let code = |r: &Reason| match r {
        Reason::TeamLimit { .. } => "limit",
        Reason::NoRoom { .. } => "room",
        Reason::NoCapacity { .. } => "capacity",
        Reason::Room { .. } => "soon",
        Reason::Behind { .. } => "behind",
        Reason::Retry { .. } => "retry",
        Reason::Starting { .. } => "starting",
        Reason::Fetching { .. } => "fetching",
        Reason::Stopping { .. } => "stopping",
        Reason::OutOfReach { .. } => "lost",
    };
    reasons.iter().map(code).collect()
}

#[test]
fn it_is_told_why_tasks_wait() {
    let mut c = cluster(&["sa"], 100.0);
    assert!(c.why("req-1", 100.0).is_none());
    c.add_job(spec(1, 2, 2.0), 1, 99.0, &RangeSet::default());
    assert_eq!(codes(&c, "req-1", 100.0), ["soon"]);
    round(&mut c, 100.0);
    assert_eq!(codes(&c, "req-1", 100.0), ["starting"]);
    run_all(&mut c, "sa", 2, 101.0);
    assert!(codes(&c, "req-1", 101.0).is_empty(), "all run");
    let mut urgent = spec(2, 3, 2.0);
    urgent.priority = Priority::High;
    urgent.checkpoint_every_s = 0.0;
    c.add_job(urgent, 1, 101.0, &RangeSet::default());
    c.add_job(spec(3, 40, 2.0), 1, 101.0, &RangeSet::default());
    assert_eq!(codes(&c, "req-2", 101.0), ["room"]);
    assert_eq!(codes(&c, "req-3", 101.0), ["room", "behind"]);
    for rental in c.rentals(101.0) {
        c.refused(&rental.kind, 101.0);
    }
    assert_eq!(codes(&c, "req-2", 101.1), ["room", "capacity"]);
    // A failure is tried again later; a silent machine is said to be one.
    end_all(&mut c, "sa", 3, EndCause::Error, 102.0);
    assert!(codes(&c, "req-1", 102.0).contains(&"retry"));
    round(&mut c, 102.0);
    assert_eq!(codes(&c, "req-2", 160.0)[..1], ["room"]);
    assert!(codes(&c, "req-2", 160.0).contains(&"lost"));
    let mut wide = spec(4, 20, 14.0);
    wide.types = Some(vec!["large".into()]);
    c.add_job(wide, 1, 102.0, &RangeSet::default());
    assert_eq!(codes(&c, "req-4", 102.0)[..1], ["room"]);
}
