//! Heartbeat responses that are held while starts for the worker are about to become due, and what
//! may happen to the worker, its connection and the leader meanwhile.

use std::{sync::Arc, time::Duration};
use tallygauge::{
    controller::Controller,
    worker_api::{HeartbeatReply, handle_heartbeat},
};
use tallygauge_protocol::workers::{Command, MIN_HEARTBEAT_GAP_S};
use tallygauge_sim::{
    HEARTBEAT_INTERVAL_S, LEASE_S, Simulation, count_starts, eventually, sleep_s,
    start_with_booted_machines, submit_job,
};
use tokio::{task::JoinHandle, time::Instant};

/// Time after which a response that may be held is on hold, in seconds.
const HOLD_BEGUN_S: f64 = MIN_HEARTBEAT_GAP_S * 0.2;

/// A cluster of one machine whose task has ended, which the next heartbeat reports. Another task
/// waits for the machine. Heartbeats are sent by the test alone.
struct EndedTask {
    simulation: Arc<Simulation>,
    controller: Arc<Controller>,
    machine: String,
}

impl EndedTask {
    async fn new() -> Self {
        let (simulation, controller, _task) = start_with_booted_machines(1).await;
        let machine = simulation.booted_machines().remove(0);
        simulation.set_faults(|faults| faults.cloud_down = true);
        let first = submit_job(&simulation, &controller, 1, 1, 8.0, 3.0).await;
        let is_running = eventually(LEASE_S, async || simulation.running_task_count(&first) == 1);
        assert!(is_running.await);
        sleep_s(HEARTBEAT_INTERVAL_S).await;
        submit_job(&simulation, &controller, 2, 1, 8.0, 3.0).await;
        simulation.set_outbound_blocked(&machine, true);
        let has_ended = eventually(LEASE_S, async || simulation.running_task_count(&first) == 0);
        assert!(has_ended.await);
        Self {
            simulation,
            controller,
            machine,
        }
    }

    /// The same, but the next placement never becomes durable, so that a hold lasts its full time.
    async fn with_hanging_placements() -> Self {
        let ended = Self::new().await;
        ended
            .simulation
            .set_faults(|faults| faults.hang_writes_with_prefix = Some("p/"));
        ended
    }

    fn next_heartbeat(&self) -> Vec<u8> {
        let mut state = self.simulation.state.lock().expect("no test has panicked");
        let heartbeat = state.next_heartbeat(&self.machine);
        heartbeat.expect("the machine exists").to_string().into()
    }

    /// Sends the next heartbeat as part of the process of the controller.
    fn send_heartbeat(&self) -> JoinHandle<HeartbeatReply> {
        let (controller, body) = (self.controller.clone(), self.next_heartbeat());
        let reply = async move { handle_heartbeat(&controller, &body).await };
        tokio::spawn(self.simulation.run_on("n-a", reply))
    }

    /// Sends the next heartbeat and waits until its response is held.
    async fn hold_response(&self) -> JoinHandle<HeartbeatReply> {
        let reply = self.send_heartbeat();
        sleep_s(HOLD_BEGUN_S).await;
        assert_eq!(self.held_responses(), Some(1));
        reply
    }

    fn held_responses(&self) -> Option<usize> {
        self.controller
            .with_cluster(|cluster| cluster.held_responses())
    }
}

/// Number of start commands in a reply that accepts the heartbeat.
fn count_started(reply: &HeartbeatReply) -> usize {
    let HeartbeatReply::Accepted(response) = reply else {
        panic!("the heartbeat was not accepted: {reply:?}");
    };
    let commands = response.commands.iter();
    commands
        .filter(|command| matches!(command, Command::Start { .. }))
        .count()
}

#[tokio::test(start_paused = true)]
async fn response_to_an_end_carries_the_start_that_the_end_made_room_for() {
    let ended = EndedTask::new().await;
    let reply = ended.send_heartbeat().await.expect("a reply");
    assert_eq!(count_started(&reply), 1);
}

// Guards against an end or a spot notice that reaches the leader later because of a hold.
#[tokio::test(start_paused = true)]
async fn hold_ends_before_the_worker_may_send_its_next_heartbeat() {
    let ended = EndedTask::with_hanging_placements().await;
    let sent_at = Instant::now();
    let reply = ended.send_heartbeat().await.expect("a reply");
    assert_eq!(count_started(&reply), 0);
    let held_s = sent_at.elapsed().as_secs_f64();
    assert!(
        (HOLD_BEGUN_S..MIN_HEARTBEAT_GAP_S).contains(&held_s),
        "{held_s}"
    );
}

#[tokio::test(start_paused = true)]
async fn response_is_not_held_if_no_task_waits() {
    let ended = EndedTask::new().await;
    let reply = ended.send_heartbeat().await.expect("a reply");
    assert_eq!(count_started(&reply), 1);
    let sent_at = Instant::now();
    let reply = ended.send_heartbeat().await.expect("a reply");
    assert!(matches!(reply, HeartbeatReply::Accepted(_)));
    assert_eq!(sent_at.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn response_is_not_held_while_the_leader_sheds_load() {
    let ended = EndedTask::with_hanging_placements().await;
    let shed_until = ended.controller.now() + LEASE_S;
    ended.controller.load.shed_user_load_until(shed_until);
    let sent_at = Instant::now();
    let reply = ended.send_heartbeat().await.expect("a reply");
    assert!(matches!(reply, HeartbeatReply::Accepted(_)));
    assert_eq!(sent_at.elapsed(), Duration::ZERO);
}

// Guards against a lease that is renewed by a controller that no longer leads.
#[tokio::test(start_paused = true)]
async fn leader_that_is_deposed_during_a_hold_does_not_answer() {
    let ended = EndedTask::with_hanging_placements().await;
    let reply = ended.hold_response().await;
    ended.controller.step_down("test");
    let reply = reply.await.expect("a reply");
    assert_eq!(reply, HeartbeatReply::Unavailable);
}

// Guards against a lease that is renewed on knowledge from before the process was suspended.
#[tokio::test(start_paused = true)]
async fn leader_that_is_suspended_past_its_fence_during_a_hold_does_not_answer() {
    let ended = EndedTask::with_hanging_placements().await;
    let reply = ended.hold_response().await;
    ended.simulation.set_store_partitioned("n-a", true);
    ended.simulation.pause("n-a");
    sleep_s(ended.controller.fencing_timeout_s() + HEARTBEAT_INTERVAL_S).await;
    ended.simulation.resume("n-a");
    let reply = reply.await.expect("a reply");
    assert_eq!(reply, HeartbeatReply::Unavailable);
}

// Guards against commands to an agent that no longer waits for them.
#[tokio::test(start_paused = true)]
async fn newer_heartbeat_of_the_same_machine_ends_a_hold_without_commands() {
    let ended = EndedTask::with_hanging_placements().await;
    let first = ended.hold_response().await;
    let second = ended.send_heartbeat();
    let first = first.await.expect("a reply");
    assert_eq!(first, HeartbeatReply::Unavailable);
    let second = second.await.expect("a reply");
    assert!(matches!(second, HeartbeatReply::Accepted(_)));
}

#[tokio::test(start_paused = true)]
async fn response_to_an_agent_that_restarted_during_the_hold_is_dropped() {
    let ended = EndedTask::with_hanging_placements().await;
    let reply = ended.hold_response().await;
    ended.simulation.restart_agent(&ended.machine);
    ended
        .simulation
        .set_faults(|faults| faults.hang_writes_with_prefix = None);
    ended.simulation.set_outbound_blocked(&ended.machine, false);
    let _ = reply.await;
    let is_started = eventually(LEASE_S * 6.0, async || count_starts(&ended.simulation) == 2);
    ended
        .simulation
        .set_faults(|faults| faults.cloud_down = false);
    assert!(is_started.await, "the task waits for ever");
    ended.simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn machine_that_is_gone_during_a_hold_gets_no_answer() {
    let ended = EndedTask::with_hanging_placements().await;
    let reply = ended.hold_response().await;
    let now = ended.controller.now();
    ended
        .controller
        .with_cluster(|cluster| cluster.deregister_machine(&ended.machine, now));
    let reply = reply.await.expect("a reply");
    assert_eq!(reply, HeartbeatReply::Unavailable);
}

// Guards against a start that waits for a response that can't be sent any more.
#[tokio::test(start_paused = true)]
async fn heartbeat_is_requested_when_the_connection_ends_during_a_hold() {
    let ended = EndedTask::new().await;
    let reply = ended.send_heartbeat();
    sleep_s(0.001).await;
    assert_eq!(ended.held_responses(), Some(1));
    reply.abort();
    assert!(reply.await.is_err());
    assert_eq!(ended.held_responses(), Some(0));
    ended.simulation.set_outbound_blocked(&ended.machine, false);
    let is_started = eventually(HEARTBEAT_INTERVAL_S, async || {
        count_starts(&ended.simulation) == 2
    });
    assert!(is_started.await);
    ended.simulation.assert_invariants();
}
