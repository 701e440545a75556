//! Machines that are deaf, copies that come late, workers that begin again.

use super::*;
use tallygauge_health::Reachability;

/// A worker as it is, whatever of it reaches the picture.
struct Real {
    session: u64,
    seq: u64,
    token: u64,
    /// When the last report that was answered, and whose answer arrived, was
    /// sent.
    renewed: f64,
    tasks: Vec<TaskStatus>,
}

impl Real {
    fn new(now: f64) -> Self {
        Self {
            session: 1,
            seq: 1,
            token: TERM,
            renewed: now,
            tasks: Vec::new(),
        }
    }

    fn live(&mut self, now: f64) {
        if now - self.renewed > 20.0 {
            self.session += 1;
            self.tasks.clear();
            self.renewed = now;
        }
    }

    fn report(&mut self, name: &str) -> Heartbeat {
        self.seq += 1;
        report(name, self.session, self.seq, self.token, self.tasks.clone())
    }

    fn obey(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start {
                    task: name,
                    attempt,
                } => {
                    if !self.tasks.iter().any(|t| t.attempt == *attempt) {
                        self.tasks
                            .push(task(name, *attempt, TaskState::Running, None));
                    }
                }
                Command::Stop { attempt, .. } | Command::Clear { attempt, .. } => {
                    self.tasks.retain(|t| t.attempt != *attempt);
                }
            }
        }
    }
}

/// One report of a worker, answered; what of the answer arrives is up to `deaf`.
fn turn(c: &mut ClusterState, real: &mut Real, name: &str, deaf: bool, now: f64) {
    real.live(now);
    let told = real.report(name);
    c.advance_time(now);
    if c.apply_heartbeat(now, &told, HeartbeatSource::Periodic) == HeartbeatOutcome::DeadIncarnation
    {
        return;
    }
    let commands = c.commands(name, now);
    c.record_heartbeat_response(name, &commands, now);
    if !deaf {
        real.token = TERM;
        real.renewed = now;
        real.obey(&commands);
    }
}

/// Sends direct messages; those to a deaf machine are given up.
fn ask(c: &mut ClusterState, real: &mut Real, deaf: bool, now: f64) -> usize {
    let messages = c.take_direct_messages(now, 1.0);
    for message in &messages {
        c.record_direct_message_result(message, !deaf, false, now);
        if !deaf {
            real.obey(&message.commands);
            let told = real.report(&message.worker);
            c.apply_direct_reply(now, message, &told);
        }
    }
    messages.len()
}

// A machine whose reports arrive and that hears nothing looked up, empty and
// free: the same three tasks were placed on it anew in each of its sessions, 75
// times in 500 s, and it was never given up.
#[test]
fn a_deaf_machine_gets_no_more_work_and_goes_if_it_stays_deaf() {
    let mut c = cluster(&["sa"], 100.0);
    let mut real = Real::new(100.0);
    c.add_job(spec(1, 3, 1.0), 1, 90.0, &RangeSet::default());
    let (mut placed, mut last, mut left_at) = (0, 0.0, None);
    for step in 0..125 {
        let now = 102.0 + f64::from(step) * 2.0;
        turn(&mut c, &mut real, "sa", true, now);
        ask(&mut c, &mut real, true, now);
        let more = round(&mut c, now).len();
        placed += more;
        if more > 0 {
            last = now;
        }
        if left_at.is_none() && c.workers["sa"].leaving.is_some() {
            left_at = Some(now);
        }
    }
    assert_eq!(placed, 3, "once, before it could be known");
    assert!(last < 110.0);
    let lease = c.config.lease_s;
    let left_at = left_at.expect("it stays deaf and is returned");
    assert!(left_at < 102.0 + lease * 6.0, "{left_at}");
    assert_eq!(
        c.workers["sa"].leaving.map(|l| l.reason),
        Some(LeaveReason::Unreachable)
    );
    // Its sessions ended, and what it was thought to hold is back.
    assert_eq!(c.jobs["req-1"].unfinished(), 3);
    assert!(c.jobs["req-1"].attempts_by_task.is_empty());
    assert!(c.returns(400.0).iter().any(|r| r.0 == "sa"));
}

#[test]
fn a_machine_that_hears_again_is_let_in_again_at_once() {
    let mut c = cluster(&["sa"], 100.0);
    let mut real = Real::new(100.0);
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    let mut now = 100.0;
    while now < 200.0 {
        now += 2.0;
        turn(&mut c, &mut real, "sa", true, now);
        ask(&mut c, &mut real, true, now);
        round(&mut c, now);
    }
    assert!(matches!(
        c.workers["sa"].reachability,
        Reachability::Unreachable { .. }
    ));
    assert!(c.workers["sa"].leaving.is_some());
    // It is asked again and again, but not with each of its reports.
    let mut asked = 0;
    while now < 260.0 && c.workers["sa"].reachability.needs_probe() {
        now += 2.0;
        turn(&mut c, &mut real, "sa", false, now);
        asked += ask(&mut c, &mut real, false, now);
    }
    assert!((1..=2).contains(&asked) && now < 222.0, "{asked} at {now}");
    assert_eq!(c.workers["sa"].leaving, None);
    assert_eq!(round(&mut c, now).len(), 2);
}

// When a cut ends, what was held back comes at once: old reports are answered,
// and a moment later the same machine shows its next session. Taken for a sign,
// that kept a hundred machines without work for as long as it took to ask them.
#[test]
fn reports_that_were_held_back_are_no_sign() {
    let mut c = cluster(&["sa"], 100.0);
    let mut real = Real::new(100.0);
    for step in 0..10 {
        turn(
            &mut c,
            &mut real,
            "sa",
            false,
            102.0 + f64::from(step) * 2.0,
        );
    }
    let held: Vec<Heartbeat> = (0..4).map(|_| real.report("sa")).collect();
    for (n, told) in (0..).zip(&held) {
        let now = 180.0 + f64::from(n) * 0.01;
        c.apply_heartbeat(now, told, HeartbeatSource::Periodic);
        c.record_heartbeat_response("sa", &[], now);
    }
    real.session = 3;
    c.apply_heartbeat(180.1, &real.report("sa"), HeartbeatSource::Periodic);
    assert!(!c.workers["sa"].reachability.needs_probe());
    assert!(c.workers["sa"].accepts_work(180.1, &c.config));
}

// Deaf machines are not counted on: what waits is rented for elsewhere.
#[test]
fn work_does_not_wait_for_the_room_of_a_deaf_machine() {
    let mut c = cluster(&["l1a"], 100.0);
    c.add_job(spec(1, 3, 4.0), 1, 90.0, &RangeSet::default());
    assert!(c.rentals(100.0).is_empty());
    c.workers.get_mut("l1a").unwrap().reachability = Reachability::Unreachable { since: 99.0 };
    assert!(!c.rentals(100.0).is_empty());
}

// One lost answer, or two, must not empty a fleet.
#[test]
fn a_lost_answer_now_and_then_is_no_sign() {
    let mut c = cluster(&["sa"], 100.0);
    let mut real = Real::new(100.0);
    for step in 0..60 {
        let now = 102.0 + f64::from(step) * 2.0;
        if step % 6 == 0 {
            c.add_job(
                spec(100 + step as usize, 1, 0.5),
                1,
                now,
                &RangeSet::default(),
            );
        }
        turn(&mut c, &mut real, "sa", step % 3 == 1, now);
        ask(&mut c, &mut real, false, now);
        round(&mut c, now);
        assert!(
            !matches!(
                c.workers["sa"].reachability,
                Reachability::Unreachable { .. }
            ),
            "{step}"
        );
    }
}

// A machine's reports arrive and a cancelled task on it can't be stopped: its
// session, of which no answer is taken, is over before the cancellation is due.
#[test]
fn what_was_cancelled_is_gone_from_a_deaf_machine_in_time() {
    let mut c = cluster(&["sa"], 100.0);
    let mut real = Real::new(100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    turn(&mut c, &mut real, "sa", false, 102.0);
    turn(&mut c, &mut real, "sa", false, 104.0);
    assert_eq!(real.tasks.len(), 1);
    let cancelled = 105.0;
    c.remove_job("req-1", cancelled);
    let (mut now, mut gone) = (cancelled, None);
    while gone.is_none() {
        now += 2.0;
        turn(&mut c, &mut real, "sa", true, now);
        ask(&mut c, &mut real, true, now);
        if real.tasks.is_empty() || c.returns(now).iter().any(|r| r.0 == "sa") {
            gone = Some(now);
        }
    }
    assert!(
        gone.unwrap() - cancelled < c.config.cancel_timeout_s,
        "{gone:?}"
    );
}

// A dead machine whose reports come again and again, as copies, was answered
// each time, and its tasks were held for as long as copies came.
#[test]
fn copies_renew_nothing_and_bring_nothing_back() {
    let mut c = cluster(&["sa", "l1a"], 100.0);
    let mut real = Real::new(100.0);
    c.add_job(spec(1, 1, 3.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    let mut kept = Vec::new();
    for now in [102.0, 104.0, 106.0] {
        turn(&mut c, &mut real, "sa", false, now);
        kept.push(report("sa", 1, real.seq, TERM, real.tasks.clone()));
    }
    assert_eq!(c.jobs["req-1"].attempts_by_task.len(), 1);
    // It dies. Copies come every second.
    let (mut now, mut free_at) = (106.0, None);
    while now < 200.0 {
        now += 1.0;
        let copy = &kept[now as usize % kept.len()];
        let before = c
            .workers
            .get("sa")
            .map(|w| (w.lease_renewed_at, w.last_heartbeat_at));
        let verdict = c.apply_heartbeat(now, copy, HeartbeatSource::Periodic);
        assert!(
            matches!(
                verdict,
                HeartbeatOutcome::Stale | HeartbeatOutcome::DeadIncarnation
            ),
            "{verdict:?}"
        );
        assert_eq!(
            c.workers
                .get("sa")
                .map(|w| (w.lease_renewed_at, w.last_heartbeat_at)),
            before
        );
        for message in c.take_direct_messages(now, 1.0) {
            assert!(message.commands.is_empty(), "no orders");
            c.record_direct_message_result(&message, false, false, now);
        }
        c.advance_time(now);
        if free_at.is_none() && c.jobs["req-1"].attempts_by_task.is_empty() {
            free_at = Some(now);
        }
    }
    let over = 106.0 + c.config.with_clock_drift(c.config.lease_s);
    assert!(
        free_at.is_some_and(|at| at > over && at < over + 1.5),
        "{free_at:?}"
    );
    // Gone from the list, it makes no room that nobody has, for several leases.
    c.deregister_machine("sa", 200.0);
    for late in [201.0, 240.0, 290.0] {
        assert_eq!(
            c.apply_heartbeat(late, &kept[2], HeartbeatSource::Periodic),
            HeartbeatOutcome::DeadIncarnation
        );
        assert!(!c.workers.contains_key("sa"));
    }
}

// A worker that began again at session 1 with a low number was taken for a late
// copy until its number had passed the old one: 89 reports in a row, 222 s, its
// tasks held and itself kept by the answers.
#[test]
fn a_worker_that_begins_again_is_told_from_a_copy_by_asking() {
    let mut c = cluster(&["sa", "sb"], 100.0);
    let mut real = Real::new(100.0);
    c.add_job(spec(1, 3, 1.0), 1, 90.0, &RangeSet::default());
    let mut now = 100.0;
    while now < 150.0 {
        now += 2.0;
        round(&mut c, now);
        turn(&mut c, &mut real, "sa", false, now);
        ask(&mut c, &mut real, false, now);
    }
    let there = real.tasks.len();
    assert!(there > 0);
    let newest = c.workers["sa"].message_order.newest;
    // Back within a fraction of a second, with nothing of what it had.
    real = Real::new(now);
    (real.seq, real.token) = (0, 0);
    let told = real.report("sa");
    now += 0.3;
    assert_eq!(
        c.apply_heartbeat(now, &told, HeartbeatSource::Periodic),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        c.jobs["req-1"].attempts_by_task.len(),
        there.max(c.jobs["req-1"].attempts_by_task.len())
    );
    // Asked, it answers with its own low number, and with our token by then.
    let messages = c.take_direct_messages(now, 1.0);
    let message = messages.iter().find(|m| m.worker == "sa").expect("asked");
    assert!(message.is_probe && message.commands.is_empty());
    assert_eq!(message.sent_after, newest);
    c.record_direct_message_result(message, true, false, now);
    real.token = TERM;
    let word = real.report("sa");
    assert_eq!(
        c.apply_direct_reply(now, message, &word),
        HeartbeatOutcome::DeadIncarnation
    );
    let on = c.workers["sa"]
        .attempts
        .iter()
        .filter(|h| h.occupies_capacity())
        .count();
    assert_eq!(on, 0, "its tasks wait again at once");
    assert!(!c.workers["sa"].accepts_work(now, &c.config));
    // Copies from its former life, of all numbers, change nothing.
    let copy = report(
        "sa",
        1,
        newest.sequence + 1,
        TERM,
        vec![task("req-1/0", 77, TaskState::Running, None)],
    );
    assert_eq!(
        c.apply_heartbeat(now + 0.1, &copy, HeartbeatSource::Periodic),
        HeartbeatOutcome::DeadIncarnation
    );
    assert!(c.workers["sa"].attempts.is_empty());
    // Not answered, it goes on with the next session a lease later.
    let since = now;
    while !c.workers["sa"].accepts_work(now, &c.config) {
        now += 1.0;
        turn(&mut c, &mut real, "sa", false, now);
        ask(&mut c, &mut real, false, now);
    }
    assert!(now - since < c.config.lease_s + 4.0, "{}", now - since);
}

// A start in a direct message that was never answered may still reach the new
// life of the worker, in the session of the same number.
#[test]
fn a_start_that_may_yet_arrive_is_held_when_its_worker_begins_again() {
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    let message = c.take_direct_messages(100.0, 1.0).remove(0);
    assert_eq!(message.started_attempts.len(), 2);
    c.record_direct_message_result(&message, false, false, 103.0);
    let question = loop {
        c.apply_heartbeat(
            104.0,
            &report("sa", 1, 0, 0, vec![]),
            HeartbeatSource::Periodic,
        );
        let mut due = c.take_direct_messages(104.0, 1.0);
        if let Some(message) = due.pop() {
            break message;
        }
    };
    c.record_direct_message_result(&question, true, false, 104.1);
    c.apply_direct_reply(104.1, &question, &report("sa", 1, 1, TERM, vec![]));
    assert_eq!(
        c.jobs["req-1"].attempts_by_task.len(),
        2,
        "held until the session is over"
    );
    // Given up at 103, it may arrive for a lease, and run for another.
    let lease = c.config.with_clock_drift(c.config.lease_s);
    for now in [104.1 + lease + 0.1, 103.0 + 2.0 * lease - 0.1] {
        c.advance_time(now);
        assert_eq!(c.jobs["req-1"].attempts_by_task.len(), 2, "at {now}");
    }
    c.advance_time(103.0 + 2.0 * lease + 0.1);
    assert_eq!(c.jobs["req-1"].pending.len(), 2);
}

// Without a question: a worker's token never falls while it lives.
#[test]
fn a_token_that_falls_shows_that_a_worker_has_begun_again() {
    let mut c = cluster(&["sa"], 100.0);
    assert_eq!(
        c.apply_heartbeat(
            102.0,
            &report("sa", 1, 9, 0, vec![]),
            HeartbeatSource::Periodic
        ),
        HeartbeatOutcome::DeadIncarnation
    );
    assert!(!c.workers["sa"].accepts_work(102.0, &c.config));
    assert_eq!(
        c.apply_heartbeat(
            123.0,
            &report("sa", 2, 1, TERM, vec![]),
            HeartbeatSource::Periodic
        ),
        HeartbeatOutcome::Applied
    );
    assert!(c.workers["sa"].accepts_work(123.0, &c.config));
}
