//! Machines with as many attempts as their workers can report.

use super::*;

/// A cluster whose only machine, of 16 CPUs, may have `limit` attempts.
fn limited_cluster(limit: usize) -> ClusterState {
    let mut c = cluster(&["l1a"], 100.0);
    c.config.max_attempts_per_worker = limit;
    c
}

/// A cluster at its limit of two attempts, both of low priority, with an urgent task pending.
fn cluster_at_limit() -> ClusterState {
    let mut c = limited_cluster(2);
    let mut low = spec(1, 2, 1.0);
    low.priority = Priority::Low;
    let mut urgent = spec(2, 1, 1.0);
    urgent.priority = Priority::High;
    c.add_job(low, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 2);
    report_all_running(&mut c, "l1a", 2, 101.0);
    c.add_job(urgent, 1, 101.0, &RangeSet::default());
    c
}

/// The worker on the machine of [`limited_cluster`]. A task that it starts is done at once.
#[derive(Default)]
struct Agent {
    sequence: u64,
    tasks: Vec<TaskStatus>,
}

impl Agent {
    /// Sends a heartbeat every two seconds. All progress is made durable after each.
    fn exchange_heartbeats(&mut self, c: &mut ClusterState, count: usize, now: &mut f64) {
        for _ in 0..count {
            *now += 2.0;
            self.exchange_heartbeat(c, *now);
            if let Some(flush) = c.next_progress_flush(9, 60_000) {
                c.record_flushed(&flush, 1);
            }
        }
    }

    /// Sends a heartbeat and executes the commands of the response.
    fn exchange_heartbeat(&mut self, c: &mut ClusterState, now: f64) {
        self.sequence += 1;
        let heartbeat = heartbeat_from("l1a", 1, self.sequence + 1, TERM, self.tasks.clone());
        c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
        let commands = c.commands("l1a", now);
        c.record_heartbeat_response("l1a", &commands, now);
        for command in commands {
            match command {
                Command::Start {
                    task: name,
                    attempt,
                } => {
                    let done = task(&name, attempt, TaskState::Ended, Some(EndCause::Done));
                    self.tasks.push(done);
                }
                Command::Clear { attempt, .. } => self.tasks.retain(|t| t.attempt != attempt),
                Command::Stop { .. } => {}
            }
        }
    }
}

/// Lets the direct message that is due, if any, be given up.
fn give_up_direct_message(c: &mut ClusterState, now: f64) {
    for message in c.take_direct_messages(now, 1.0) {
        c.record_direct_message_result(&message, false, now);
    }
}

/// Number of attempts on the machine that are being stopped.
fn stopping(c: &ClusterState) -> usize {
    let attempts = c.workers["l1a"].attempts.iter();
    attempts.filter(|a| a.is_stopping()).count()
}

#[test]
fn machine_is_rented_for_a_task_if_the_only_one_is_at_its_attempt_limit() {
    // Guards against a rental plan that counts on a machine on which no round places the task.
    let mut c = cluster_at_limit();
    assert!(!c.rentals(101.0).is_empty());
    report_all_ended(&mut c, "l1a", 3, EndCause::Done, 102.0);
    assert!(
        c.rentals(102.0).is_empty(),
        "the ended ones are cleared soon"
    );
}

#[test]
fn attempt_is_preempted_if_it_leaves_room_for_another_within_the_limit() {
    // Guards against an urgent task that waits beside free CPUs for tasks of low priority to
    // end, and against stopping tasks that the worker has to report after their end as well.
    let mut c = cluster_at_limit();
    round(&mut c, 101.0);
    assert_eq!(stopping(&c), 1);
    let mut c = cluster_at_limit();
    for attempt in &mut c.workers.get_mut("l1a").unwrap().attempts {
        attempt.start_undelivered = true;
    }
    round(&mut c, 101.0);
    assert_eq!(stopping(&c), 0);
}

#[test]
fn unanswered_direct_messages_leave_a_machine_room_for_all_its_attempts() {
    // Guards against a machine that takes no more work although it is nearly empty: ended
    // attempts that could not be cleared took up all that its worker can report.
    let mut c = limited_cluster(10);
    let mut agent = Agent::default();
    let mut now = 100.0;
    for number in 1..=3 {
        c.add_job(spec(number, 10, 0.25), 1, now, &RangeSet::default());
        assert_eq!(round(&mut c, now).len(), 10);
        give_up_direct_message(&mut c, now);
        agent.exchange_heartbeats(&mut c, 8, &mut now);
        c.remove_job(&format!("req-{number}"), now);
        agent.exchange_heartbeats(&mut c, 2, &mut now);
        assert_eq!(c.workers["l1a"].undelivered_ended_attempts(), 0);
        assert!(c.workers["l1a"].attempts.is_empty());
    }
}
