//! Meetings of two faults, each brought about on purpose. The table in
//! `docs/design.md`, "Meetings of faults", says what prevents each from breaking
//! a rule.

use std::{sync::Arc, time::Duration};
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, FaultPoint, HEARTBEAT_INTERVAL_S, LEASE_S, RelayTo, Simulation,
    cancel_until_confirmed, count_starts, eventually, is_active_leader, query_status,
    start_with_leader, submit_until_accepted, wait_until_done,
};
use warp::http::Method;

/// A simulation of two controllers, the first of which leads, with a job of two long
/// tasks on two machines.
async fn two_long_tasks() -> (
    Arc<Simulation>,
    [(Arc<Controller>, tokio::task::JoinHandle<()>); 2],
    String,
) {
    let (simulation, a, task_a) = start_with_leader().await;
    let b = simulation.start_controller("n-b");
    let (id, body) = simulation.job(1, 2, 8.0, CANCEL_TIMEOUT_S * 5.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    tokio::time::sleep(Duration::from_secs(3)).await;
    (simulation, [(a, task_a), b], id)
}

/// The state service serves nobody for half as long again as a cancellation has.
async fn long_outage(simulation: &Simulation) {
    simulation.set_store_down(true);
    tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S * 1.5)).await;
    simulation.set_store_down(false);
}

// The meeting that operators named first: workers go on reporting to the leader,
// which knows of no cancellation, and nobody can win a term.
#[tokio::test(start_paused = true)]
async fn refused_alone_then_an_outage_while_another_cancels() {
    for alone_ms in [20u64, 400, 1500, 2500, 6000] {
        let (simulation, [(a, _task_a), (b, _task_b)], id) = two_long_tasks().await;
        simulation.set_store_refuses("n-a", true);
        tokio::time::sleep(Duration::from_millis(alone_ms / 2)).await;
        cancel_until_confirmed(&simulation, &b, &id, 5.0).await;
        tokio::time::sleep(Duration::from_millis(alone_ms / 2)).await;
        long_outage(&simulation).await;
        simulation.set_store_refuses("n-a", false);
        // Once more before all has settled.
        tokio::time::sleep(Duration::from_millis(300)).await;
        simulation.set_store_refuses("n-a", true);
        long_outage(&simulation).await;
        simulation.set_store_refuses("n-a", false);
        for controller in [&a, &b] {
            let told = eventually(30.0, async || {
                query_status(controller, &id).await == Some(JobStatus::Cancelled)
            });
            assert!(told.await, "{alone_ms} ms");
        }
        simulation.assert_rules();
    }
}

// The same, told by the leader's own users, whom it passes on: it need not wait for
// its fence.
#[tokio::test(start_paused = true)]
async fn a_leader_refused_alone_stops_what_it_hears_is_cancelled() {
    let (simulation, [(a, _task_a), (b, _task_b)], id) = two_long_tasks().await;
    *a.lock(&a.relay) = Some(Arc::new(RelayTo(b.clone())));
    simulation.set_store_refuses("n-a", true);
    let path = format!("/work/{id}/abort");
    let told = eventually(5.0, async || {
        let reply = user_api::serve(&a, &Method::POST, &path, b"").await;
        reply.is_some_and(|r| r.status() == 200)
    });
    assert!(told.await);
    simulation.record_cancellation(&id);
    simulation.set_store_down(true);
    let gone = eventually(HEARTBEAT_INTERVAL_S * 3.0, async || {
        simulation.running_task_count(&id) == 0
    });
    assert!(gone.await, "it waits for the fence");
    simulation.assert_rules();
}

// A leader that had won its term and not read the picture yet answered workers all
// the same, from what it did not know: its watch of jobs counted as confirmed from
// the term's begin. With a watch of the leader before that had been slow, the
// tasks were there for longer than a cancellation has.
#[tokio::test(start_paused = true)]
async fn an_outage_before_a_new_leader_has_read_the_picture() {
    // How long the watch has been slow when the leader ends, in leases.
    for slow in [0.1, 0.2, 0.3, 0.4, 0.5] {
        let (simulation, [(_a, task_a), (b, _task_b)], id) = two_long_tasks().await;
        simulation.state.lock().unwrap().hang_job_watches = true;
        cancel_until_confirmed(&simulation, &b, &id, 5.0).await;
        tokio::time::sleep(Duration::from_secs_f64(LEASE_S * slow)).await;
        // The last of the listings that a new leader begins with.
        simulation.state.lock().unwrap().store_down_at = Some(FaultPoint {
            controller: "n-b".into(),
            request: "GET /store?starts=p/",
            answered: false,
        });
        simulation.crash_controller("n-a", &task_a);
        assert!(eventually(10.0, async || simulation.state.lock().unwrap().store_down).await);
        assert!(!is_active_leader(&b), "the picture is not read");
        simulation.state.lock().unwrap().hang_job_watches = false;
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S * 1.5)).await;
        simulation.set_store_down(false);
        assert!(eventually(30.0, async || is_active_leader(&b)).await);
        assert_eq!(query_status(&b, &id).await, Some(JobStatus::Cancelled));
        simulation.assert_rules();
    }
}

// Terms, attempts, batches and bookings never repeat, however fast controllers hand
// over: the stand-ins note each that does.
#[tokio::test(start_paused = true)]
async fn handing_over_and_back_all_end_and_one_returns() {
    let (simulation, a, mut task) = start_with_leader().await;
    let (id, body) = simulation.job(1, 12, 4.0, 6.0);
    submit_until_accepted(&a, &body).await;
    let mut last = a;
    for turn in 0..8u64 {
        tokio::time::sleep(Duration::from_millis(600 + 300 * turn)).await;
        // One is there when the other ends, or all end and one returns at once.
        let name = ["n-b", "n-a"][turn as usize % 2];
        let early = (turn % 3 != 0).then(|| simulation.start_controller(name));
        simulation.crash_controller(&last.settings.node_name, &task);
        tokio::time::sleep(Duration::from_millis(40 * turn)).await;
        (last, task) = early.unwrap_or_else(|| simulation.start_controller(name));
    }
    assert!(wait_until_done(&last, &id).await);
    simulation.assert_rules();
}

// Carried out after newer ones of the same controller, a transaction fails on its
// conditions, whichever it is: submission, cancellation, placement, page, end, term.
#[tokio::test(start_paused = true)]
async fn transactions_without_an_answer_are_carried_out_after_newer_ones() {
    for seed in 0..8 {
        let (simulation, a, task_a) = start_with_leader().await;
        simulation.seed(seed);
        let (b, _task_b) = simulation.start_controller("n-b");
        simulation.state.lock().unwrap().late_writes = 0.5;
        let mut ids = Vec::new();
        for n in 1..=5 {
            let (id, body) = simulation.job(n, 4, 2.0, 3.0);
            submit_until_accepted(&a, &body).await;
            ids.push(id);
        }
        cancel_until_confirmed(&simulation, &b, &ids[4], 60.0).await;
        tokio::time::sleep(Duration::from_secs(seed)).await;
        simulation.crash_controller("n-a", &task_a);
        let (c, _task_c) = simulation.start_controller("n-c");
        tokio::time::sleep(Duration::from_secs(8)).await;
        simulation.state.lock().unwrap().late_writes = 0.0;
        for id in &ids[..4] {
            assert!(wait_until_done(&c, id).await, "{seed}: {id}");
        }
        let told = eventually(LEASE_S * 4.0, async || {
            query_status(&b, &ids[4]).await == Some(JobStatus::Cancelled)
        });
        assert!(told.await, "{seed}");
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S)).await;
        simulation.assert_rules();
    }
}

// The page of finished tasks, written late over a newer one of the same leader, would
// take back what is durable and cleared: the next leader would run it again.
#[tokio::test(start_paused = true)]
async fn a_page_written_late_takes_nothing_back() {
    let (simulation, a, task_a) = start_with_leader().await;
    // The team has room for two at a time.
    let (id, body) = simulation.job(1, 5, 8.0, 12.0);
    submit_until_accepted(&a, &body).await;
    simulation.state.lock().unwrap().delay_next_write = Some(("f/", 18.0));
    let late = eventually(60.0, async || {
        simulation.state.lock().unwrap().delay_next_write.is_none()
    });
    assert!(late.await);
    // Two more end, and are on record; then the first write is carried out.
    tokio::time::sleep(Duration::from_secs(19)).await;
    simulation.crash_controller("n-a", &task_a);
    let (b, _task_b) = simulation.start_controller("n-b");
    assert!(wait_until_done(&b, &id).await);
    assert_eq!(count_starts(&simulation), 5, "none runs again");
    simulation.assert_rules();
}

// What the leader before placed there holds task, room and quota until it is surely
// over, through two take-overs within a lease; and what ran on goes on once it is
// heard again.
#[tokio::test(start_paused = true)]
async fn a_leader_ends_while_machines_with_long_tasks_are_cut_off_or_deaf() {
    for (inbound_blocked, back_s) in [(false, 3.0), (true, 3.0), (false, 40.0), (true, 40.0)] {
        let (simulation, [(_a, task_a), (b, task_b)], id) = two_long_tasks().await;
        let machine = simulation.state.lock().unwrap().starts[0].2.clone();
        let cut = |cut| {
            if inbound_blocked {
                simulation.set_inbound_blocked(&machine, cut);
            } else {
                simulation.set_silent(&machine, cut);
            }
        };
        cut(true);
        tokio::time::sleep(Duration::from_millis(500)).await;
        simulation.crash_controller("n-a", &task_a);
        assert!(eventually(LEASE_S, async || is_active_leader(&b)).await);
        let (c, _task_c) = simulation.start_controller("n-c");
        tokio::time::sleep(Duration::from_millis(500)).await;
        simulation.crash_controller("n-b", &task_b);
        tokio::time::sleep(Duration::from_secs_f64(back_s)).await;
        cut(false);
        assert!(
            wait_until_done(&c, &id).await,
            "deaf {inbound_blocked}, {back_s} s"
        );
        let again = count_starts(&simulation) - 2;
        // Within its lease the task runs on, else it runs anew; never both.
        assert_eq!(
            again,
            usize::from(back_s > LEASE_S),
            "deaf {inbound_blocked}"
        );
        simulation.assert_rules();
    }
}

// A start or a stop on its way for seconds, to a machine that hangs and goes on, or
// is back with nothing; then the same attempt is cleared, or its task placed anew.
#[tokio::test(start_paused = true)]
async fn commands_held_up_for_seconds_and_the_machine_goes_on() {
    for seed in 0..24u64 {
        let (simulation, a, _task_a) = start_with_leader().await;
        simulation.seed(seed);
        let (first, body) = simulation.job(1, 4, 4.0, 2.0 + seed as f64 / 4.0);
        submit_until_accepted(&a, &body).await;
        assert!(eventually(30.0, async || !simulation.booted_machines().is_empty()).await);
        simulation.state.lock().unwrap().delayed_commands = (0.7, LEASE_S * 0.8);
        let (second, body) = simulation.job(2, 6, 2.0, 3.0);
        submit_until_accepted(&a, &body).await;
        let (third, body) = simulation.job(3, 2, 8.0, 60.0);
        submit_until_accepted(&a, &body).await;
        tokio::time::sleep(Duration::from_millis(700 + 211 * seed)).await;
        let machine = simulation.booted_machines()
            [seed as usize % simulation.booted_machines().len()]
        .clone();
        match seed % 3 {
            0 => simulation.restart_agent(&machine),
            1 => simulation.set_hung(&machine, true),
            _ => cancel_until_confirmed(&simulation, &a, &third, 5.0).await,
        }
        tokio::time::sleep(Duration::from_secs(seed % 13)).await;
        simulation.set_hung(&machine, false);
        if seed % 3 != 2 {
            cancel_until_confirmed(&simulation, &a, &third, 5.0).await;
        }
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S)).await;
        simulation.state.lock().unwrap().delayed_commands = (0.0, 0.0);
        for id in [&first, &second] {
            assert!(wait_until_done(&a, id).await, "{seed}");
        }
        simulation.assert_rules();
    }
}

// A job whose tasks end far apart is done when all are, and none of them runs again.
#[tokio::test(start_paused = true)]
async fn tasks_that_end_far_apart_across_a_change_of_leader() {
    for after_s in [4.0, 14.0, 17.0, 27.0] {
        let (simulation, a, task_a) = start_with_leader().await;
        // The team has room for two at a time.
        let (id, body) = simulation.job(1, 3, 8.0, 12.0);
        submit_until_accepted(&a, &body).await;
        assert!(eventually(30.0, async || count_starts(&simulation) == 2).await);
        tokio::time::sleep(Duration::from_secs_f64(after_s)).await;
        simulation.crash_controller("n-a", &task_a);
        let (b, _task_b) = simulation.start_controller("n-b");
        let all = eventually(120.0, async || {
            let told = query_status(&b, &id).await == Some(JobStatus::Done);
            assert!(
                !told || simulation.all_tasks_completed(&id, 3),
                "done too soon"
            );
            told
        });
        assert!(all.await);
        assert_eq!(count_starts(&simulation), 3, "after {after_s} s");
        simulation.assert_rules();
    }
}

// The leader ends when it has heard of ends that are not on record yet: whoever did
// the work must still know of it.
#[tokio::test(start_paused = true)]
async fn a_leader_ends_between_a_task_s_end_and_its_record() {
    let (simulation, a, task_a) = start_with_leader().await;
    let (id, body) = simulation.job(1, 3, 8.0, 12.0);
    submit_until_accepted(&a, &body).await;
    simulation.state.lock().unwrap().delay_next_write = Some(("f/", 300.0));
    let heard = eventually(60.0, async || {
        a.with_cluster(|c| c.task_counts(&id))
            .flatten()
            .map(|c| c.0)
            == Some(2)
    });
    assert!(heard.await);
    simulation.crash_controller("n-a", &task_a);
    let (b, _task_b) = simulation.start_controller("n-b");
    assert!(wait_until_done(&b, &id).await);
    assert_eq!(count_starts(&simulation), 3, "none runs again");
    simulation.assert_rules();
}

// What the leader that is cut off tells its users and workers, until its fence and
// after its return.
#[tokio::test(start_paused = true)]
async fn a_leader_cut_from_state_and_peers_while_workers_and_users_reach_it() {
    let (simulation, [(a, _task_a), (b, _task_b)], id) = two_long_tasks().await;
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-a".into());
    assert!(eventually(LEASE_S, async || is_active_leader(&b)).await);
    cancel_until_confirmed(&simulation, &b, &id, 5.0).await;
    let asked = eventually(CANCEL_TIMEOUT_S + 5.0, async || {
        let reply = user_api::job_status(&a, &id).await;
        assert!(reply.status() == 503, "{reply:?}");
        false
    });
    assert!(!asked.await);
    simulation.assert_rules();
    simulation.state.lock().unwrap().partitioned.clear();
    for controller in [&a, &b] {
        let told = eventually(LEASE_S, async || {
            let told = query_status(controller, &id).await;
            assert!(matches!(told, None | Some(JobStatus::Cancelled)));
            told.is_some()
        });
        assert!(told.await);
    }
    assert_eq!(count_starts(&simulation), 2);
    simulation.assert_rules();
}
