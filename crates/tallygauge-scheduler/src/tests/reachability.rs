//! Unreachable machines, duplicate heartbeats and restarts of agents.

use super::*;
use tallygauge_health::Reachability;

/// A simulated agent: the actual state of a machine, which the cluster state has to infer.
struct SimulatedAgent {
    incarnation: u64,
    sequence: u64,
    token: u64,
    /// Time at which the latest heartbeat with a received response was sent.
    lease_renewed_at: f64,
    tasks: Vec<TaskStatus>,
}

impl SimulatedAgent {
    fn new(now: f64) -> Self {
        Self {
            incarnation: 1,
            sequence: 1,
            token: TERM,
            lease_renewed_at: now,
            tasks: Vec::new(),
        }
    }

    fn end_incarnation_if_lease_expired(&mut self, now: f64) {
        if now - self.lease_renewed_at > 20.0 {
            self.incarnation += 1;
            self.tasks.clear();
            self.lease_renewed_at = now;
        }
    }

    fn report(&mut self, name: &str) -> Heartbeat {
        self.sequence += 1;
        heartbeat_from(
            name,
            self.incarnation,
            self.sequence,
            self.token,
            self.tasks.clone(),
        )
    }

    fn execute(&mut self, commands: &[Command]) {
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

/// Exchanges one heartbeat of an agent and the response, which is lost if the agent
/// `is_unreachable`.
fn exchange_heartbeat(
    c: &mut ClusterState,
    agent: &mut SimulatedAgent,
    name: &str,
    is_unreachable: bool,
    now: f64,
) {
    agent.end_incarnation_if_lease_expired(now);
    let heartbeat = agent.report(name);
    c.advance_time(now);
    if c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic)
        == HeartbeatOutcome::DeadIncarnation
    {
        return;
    }
    let commands = c.commands(name, now);
    c.record_heartbeat_response(name, &commands, now);
    if !is_unreachable {
        agent.token = TERM;
        agent.lease_renewed_at = now;
        agent.execute(&commands);
    }
}

/// Sends the direct messages that are due, which time out if the agent `is_unreachable`.
/// Returns the number of messages.
fn send_direct_messages(
    c: &mut ClusterState,
    agent: &mut SimulatedAgent,
    is_unreachable: bool,
    now: f64,
) -> usize {
    let messages = c.take_direct_messages(now, 1.0);
    for message in &messages {
        c.record_direct_message_result(message, !is_unreachable, now);
        if !is_unreachable {
            agent.execute(&message.commands);
            let heartbeat = agent.report(&message.worker);
            c.apply_direct_reply(now, message, &heartbeat);
        }
    }
    messages.len()
}

// Guards against taking a machine that sends heartbeats but receives nothing for an
// idle one: the same three tasks were placed on it again in each of its incarnations, 75
// times in 500 s, and it was never returned.
#[test]
fn unreachable_machine_gets_no_more_work_and_is_returned_if_it_stays_so() {
    let mut c = cluster(&["sa"], 100.0);
    let mut agent = SimulatedAgent::new(100.0);
    c.add_job(spec(1, 3, 1.0), 1, 90.0, &RangeSet::default());
    let (mut placed, mut last_placed_at, mut return_decided_at) = (0, 0.0, None);
    for step in 0..125 {
        let now = 102.0 + f64::from(step) * 2.0;
        exchange_heartbeat(&mut c, &mut agent, "sa", true, now);
        send_direct_messages(&mut c, &mut agent, true, now);
        let newly_placed = round(&mut c, now).len();
        placed += newly_placed;
        if newly_placed > 0 {
            last_placed_at = now;
        }
        if return_decided_at.is_none() && c.workers["sa"].is_being_returned() {
            return_decided_at = Some(now);
        }
    }
    assert_eq!(placed, 3, "only once, before there was evidence");
    assert!(last_placed_at < 110.0);
    let lease_s = c.config.lease_s;
    let return_decided_at = return_decided_at.expect("it stays unreachable and is returned");
    assert!(
        return_decided_at < 102.0 + lease_s * 6.0,
        "{return_decided_at}"
    );
    assert_eq!(
        c.workers["sa"]
            .return_decisions
            .first()
            .map(|decision| decision.reason),
        Some(ReturnReason::Unreachable)
    );
    // Its incarnations have ended, and the tasks are pending again.
    assert_eq!(c.jobs["req-1"].unfinished(), 3);
    assert!(c.jobs["req-1"].attempts_by_task.is_empty());
    assert!(
        c.machines_to_return(400.0)
            .iter()
            .any(|machine| machine.name == "sa")
    );
}

#[test]
fn machine_that_is_reachable_again_gets_work_at_once() {
    let mut c = cluster(&["sa"], 100.0);
    let mut agent = SimulatedAgent::new(100.0);
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    let mut now = 100.0;
    while now < 200.0 {
        now += 2.0;
        exchange_heartbeat(&mut c, &mut agent, "sa", true, now);
        send_direct_messages(&mut c, &mut agent, true, now);
        round(&mut c, now);
    }
    assert!(matches!(
        c.workers["sa"].reachability,
        Reachability::Unreachable { .. }
    ));
    assert!(c.workers["sa"].is_being_returned());
    // It is probed until it answers, but not at each of its heartbeats.
    let mut probes = 0;
    while now < 260.0 && c.workers["sa"].reachability.needs_probe() {
        now += 2.0;
        exchange_heartbeat(&mut c, &mut agent, "sa", false, now);
        probes += send_direct_messages(&mut c, &mut agent, false, now);
    }
    assert!(
        (1..=2).contains(&probes) && now < 222.0,
        "{probes} at {now}"
    );
    assert_eq!(c.workers["sa"].return_decisions.first(), None);
    assert_eq!(round(&mut c, now).len(), 2);
}

// When a partition ends, delayed heartbeats arrive all at once: old ones are answered,
// and a moment later the same machine shows its next incarnation. Guards against taking
// that for evidence that responses are lost, which kept a hundred machines without work
// until all had been probed.
#[test]
fn delayed_heartbeats_are_no_evidence_of_an_unreachable_machine() {
    let mut c = cluster(&["sa"], 100.0);
    let mut agent = SimulatedAgent::new(100.0);
    for step in 0..10 {
        exchange_heartbeat(
            &mut c,
            &mut agent,
            "sa",
            false,
            102.0 + f64::from(step) * 2.0,
        );
    }
    let delayed: Vec<Heartbeat> = (0..4).map(|_| agent.report("sa")).collect();
    for (n, heartbeat) in (0..).zip(&delayed) {
        let now = 180.0 + f64::from(n) * 0.01;
        c.apply_heartbeat(now, heartbeat, HeartbeatSource::Periodic);
        c.record_heartbeat_response("sa", &[], now);
    }
    agent.incarnation = 3;
    c.apply_heartbeat(180.1, &agent.report("sa"), HeartbeatSource::Periodic);
    assert!(!c.workers["sa"].reachability.needs_probe());
    assert!(c.workers["sa"].accepts_work(180.1, &c.config));
}

// Unreachable machines do not count as capacity: others are rented for pending tasks.
#[test]
fn unreachable_machine_does_not_count_as_capacity() {
    let mut c = cluster(&["l1a"], 100.0);
    c.add_job(spec(1, 3, 4.0), 1, 90.0, &RangeSet::default());
    assert!(c.rentals(100.0).is_empty());
    c.workers.get_mut("l1a").unwrap().reachability = Reachability::Unreachable { since: 99.0 };
    assert!(!c.rentals(100.0).is_empty());
}

// Guards against losing the whole fleet because of one or two lost responses.
#[test]
fn occasional_lost_responses_do_not_make_a_machine_unreachable() {
    let mut c = cluster(&["sa"], 100.0);
    let mut agent = SimulatedAgent::new(100.0);
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
        exchange_heartbeat(&mut c, &mut agent, "sa", step % 3 == 1, now);
        send_direct_messages(&mut c, &mut agent, false, now);
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

// The heartbeats of a machine arrive, but the stop of a cancelled task does not reach it.
// As the incarnation receives no responses, its lease expires before the cancel timeout.
#[test]
fn cancelled_task_on_an_unreachable_machine_ends_within_the_cancel_timeout() {
    let mut c = cluster(&["sa"], 100.0);
    let mut agent = SimulatedAgent::new(100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    exchange_heartbeat(&mut c, &mut agent, "sa", false, 102.0);
    exchange_heartbeat(&mut c, &mut agent, "sa", false, 104.0);
    assert_eq!(agent.tasks.len(), 1);
    let cancelled_at = 105.0;
    c.remove_job("req-1", cancelled_at);
    let (mut now, mut ended_at) = (cancelled_at, None);
    while ended_at.is_none() {
        now += 2.0;
        exchange_heartbeat(&mut c, &mut agent, "sa", true, now);
        send_direct_messages(&mut c, &mut agent, true, now);
        if agent.tasks.is_empty()
            || c.machines_to_return(now)
                .iter()
                .any(|machine| machine.name == "sa")
        {
            ended_at = Some(now);
        }
    }
    assert!(
        ended_at.unwrap() - cancelled_at < c.config.cancel_timeout_s,
        "{ended_at:?}"
    );
}

// Guards against answering duplicate heartbeats of a dead machine, whose tasks would stay
// on it for as long as duplicates arrive.
#[test]
fn duplicate_heartbeats_renew_no_lease_and_add_no_machine() {
    let mut c = cluster(&["sa", "l1a"], 100.0);
    let mut agent = SimulatedAgent::new(100.0);
    c.add_job(spec(1, 1, 3.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    let mut duplicates = Vec::new();
    for now in [102.0, 104.0, 106.0] {
        exchange_heartbeat(&mut c, &mut agent, "sa", false, now);
        duplicates.push(heartbeat_from(
            "sa",
            1,
            agent.sequence,
            TERM,
            agent.tasks.clone(),
        ));
    }
    assert_eq!(c.jobs["req-1"].attempts_by_task.len(), 1);
    // The machine dies. Duplicates of its heartbeats arrive every second.
    let (mut now, mut ended_at) = (106.0, None);
    while now < 200.0 {
        now += 1.0;
        let duplicate = &duplicates[now as usize % duplicates.len()];
        let before = c
            .workers
            .get("sa")
            .map(|w| (w.lease_renewed_at, w.last_heartbeat_at));
        let outcome = c.apply_heartbeat(now, duplicate, HeartbeatSource::Periodic);
        assert!(
            matches!(
                outcome,
                HeartbeatOutcome::Stale | HeartbeatOutcome::DeadIncarnation
            ),
            "{outcome:?}"
        );
        assert_eq!(
            c.workers
                .get("sa")
                .map(|w| (w.lease_renewed_at, w.last_heartbeat_at)),
            before
        );
        for message in c.take_direct_messages(now, 1.0) {
            assert!(message.commands.is_empty(), "no commands");
            c.record_direct_message_result(&message, false, now);
        }
        c.advance_time(now);
        if ended_at.is_none() && c.jobs["req-1"].attempts_by_task.is_empty() {
            ended_at = Some(now);
        }
    }
    let lease_expiry = 106.0 + c.config.with_clock_drift(c.config.lease_s);
    assert!(
        ended_at.is_some_and(|at| at > lease_expiry && at < lease_expiry + 1.5),
        "{ended_at:?}"
    );
    // Once the machine is deregistered, its duplicates do not register it again for
    // several leases.
    c.deregister_machine("sa", 200.0);
    for now in [201.0, 240.0, 290.0] {
        assert_eq!(
            c.apply_heartbeat(now, &duplicates[2], HeartbeatSource::Periodic),
            HeartbeatOutcome::DeadIncarnation
        );
        assert!(!c.workers.contains_key("sa"));
    }
}

// Guards against taking the heartbeats of an agent that restarted at incarnation 1, with a
// low sequence number, for late duplicates until the number has passed the old one: for 89
// heartbeats in a row, 222 s, its tasks stayed on it.
#[test]
fn liveness_probe_tells_a_restarted_agent_from_duplicate_heartbeats() {
    let mut c = cluster(&["sa", "sb"], 100.0);
    let mut agent = SimulatedAgent::new(100.0);
    c.add_job(spec(1, 3, 1.0), 1, 90.0, &RangeSet::default());
    let mut now = 100.0;
    while now < 150.0 {
        now += 2.0;
        round(&mut c, now);
        exchange_heartbeat(&mut c, &mut agent, "sa", false, now);
        send_direct_messages(&mut c, &mut agent, false, now);
    }
    let tasks_before = agent.tasks.len();
    assert!(tasks_before > 0);
    let newest = c.workers["sa"].message_order.newest;
    let attempts_before = c.jobs["req-1"].attempts_by_task.clone();
    // The agent restarts within a fraction of a second, without its tasks.
    agent = SimulatedAgent::new(now);
    (agent.sequence, agent.token) = (0, 0);
    let heartbeat = agent.report("sa");
    now += 0.3;
    assert_eq!(
        c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        c.jobs["req-1"].attempts_by_task, attempts_before,
        "a heartbeat that may be a duplicate ended or added attempts"
    );
    // It answers a probe with its own low sequence number, and with the fencing token that
    // the probe carried.
    let messages = c.take_direct_messages(now, 1.0);
    let message = messages.iter().find(|m| m.worker == "sa").expect("probed");
    assert!(message.is_probe && message.commands.is_empty());
    assert_eq!(message.sent_after, newest);
    c.record_direct_message_result(message, true, now);
    agent.token = TERM;
    let reply = agent.report("sa");
    assert_eq!(
        c.apply_direct_reply(now, message, &reply),
        HeartbeatOutcome::DeadIncarnation
    );
    let occupying = c.workers["sa"]
        .attempts
        .iter()
        .filter(|attempt| attempt.occupies_capacity())
        .count();
    assert_eq!(occupying, 0, "its tasks are pending again at once");
    assert!(!c.workers["sa"].accepts_work(now, &c.config));
    // Duplicates from before the restart, of any sequence number, change nothing.
    let duplicate = heartbeat_from(
        "sa",
        1,
        newest.sequence + 1,
        TERM,
        vec![task("req-1/0", 77, TaskState::Running, None)],
    );
    assert_eq!(
        c.apply_heartbeat(now + 0.1, &duplicate, HeartbeatSource::Periodic),
        HeartbeatOutcome::DeadIncarnation
    );
    assert!(c.workers["sa"].attempts.is_empty());
    // Its heartbeats are not answered, so its next incarnation begins a lease later.
    let restart_detected_at = now;
    while !c.workers["sa"].accepts_work(now, &c.config) {
        now += 1.0;
        exchange_heartbeat(&mut c, &mut agent, "sa", false, now);
        send_direct_messages(&mut c, &mut agent, false, now);
    }
    assert!(
        now - restart_detected_at < c.config.lease_s + 4.0,
        "{}",
        now - restart_detected_at
    );
}

// No probe is needed: the fencing token of an agent never decreases while it runs.
#[test]
fn decreasing_fencing_token_shows_an_agent_restart() {
    let mut c = cluster(&["sa"], 100.0);
    assert_eq!(
        c.apply_heartbeat(
            102.0,
            &heartbeat_from("sa", 1, 9, 0, vec![]),
            HeartbeatSource::Periodic
        ),
        HeartbeatOutcome::DeadIncarnation
    );
    assert!(!c.workers["sa"].accepts_work(102.0, &c.config));
    assert_eq!(
        c.apply_heartbeat(
            123.0,
            &heartbeat_from("sa", 2, 1, TERM, vec![]),
            HeartbeatSource::Periodic
        ),
        HeartbeatOutcome::Applied
    );
    assert!(c.workers["sa"].accepts_work(123.0, &c.config));
}
