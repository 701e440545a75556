//! Meetings of two troubles, each brought about on purpose. The table in
//! `docs/design.md`, "Meetings of troubles", says what prevents each from breaking
//! a rule.

use std::{sync::Arc, time::Duration};
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, LEASE_S, Simulation, StepAt, To, accepted, ask, cancel,
    done, eventually, leads, start_with_leader, started,
};
use warp::http::Method;

/// A world of two controllers, the first of which leads, with a job of two long
/// tasks on two machines.
async fn two_long_tasks() -> (
    Arc<Simulation>,
    [(Arc<Controller>, tokio::task::JoinHandle<()>); 2],
    String,
) {
    let (world, a, ta) = start_with_leader().await;
    let b = world.start_controller("n-b");
    let (id, body) = world.job(1, 2, 8.0, CANCEL_TIMEOUT_S * 5.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 2).await);
    tokio::time::sleep(Duration::from_secs(3)).await;
    (world, [(a, ta), b], id)
}

/// The state service serves nobody for half as long again as a cancellation has.
async fn long_outage(world: &Simulation) {
    world.set_down(true);
    tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S * 1.5)).await;
    world.set_down(false);
}

// The meeting that operators named first: workers go on reporting to the leader,
// which knows of no cancellation, and nobody can win a term.
#[tokio::test(start_paused = true)]
async fn refused_alone_then_an_outage_while_another_cancels() {
    for alone_ms in [20u64, 400, 1500, 2500, 6000] {
        let (world, [(a, _ta), (b, _tb)], id) = two_long_tasks().await;
        world.set_store_refuses("n-a", true);
        tokio::time::sleep(Duration::from_millis(alone_ms / 2)).await;
        cancel(&world, &b, &id, 5.0).await;
        tokio::time::sleep(Duration::from_millis(alone_ms / 2)).await;
        long_outage(&world).await;
        world.set_store_refuses("n-a", false);
        // Once more before all has settled.
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.set_store_refuses("n-a", true);
        long_outage(&world).await;
        world.set_store_refuses("n-a", false);
        for node in [&a, &b] {
            let told = eventually(30.0, async || {
                ask(node, &id).await == Some(JobStatus::Cancelled)
            });
            assert!(told.await, "{alone_ms} ms");
        }
        world.assert_rules();
    }
}

// The same, told by the leader's own users, whom it passes on: it need not wait for
// its fence.
#[tokio::test(start_paused = true)]
async fn a_leader_refused_alone_stops_what_it_hears_is_cancelled() {
    let (world, [(a, _ta), (b, _tb)], id) = two_long_tasks().await;
    a.relay.set(Arc::new(To(b.clone())));
    world.set_store_refuses("n-a", true);
    let path = format!("/work/{id}/abort");
    let told = eventually(5.0, async || {
        let reply = user_api::serve(&a, &Method::POST, &path, b"").await;
        reply.is_some_and(|r| r.status() == 200)
    });
    assert!(told.await);
    world.told_cancelled(&id);
    world.set_down(true);
    let gone = eventually(HEARTBEAT_INTERVAL_S * 3.0, async || world.running(&id) == 0);
    assert!(gone.await, "it waits for the fence");
    world.assert_rules();
}

// A leader that had won its term and not read the picture yet answered workers all
// the same, from what it did not know: its watch of jobs counted as confirmed from
// the term's begin. With a watch of the leader before that had been slow, the
// tasks were there for longer than a cancellation has.
#[tokio::test(start_paused = true)]
async fn an_outage_before_a_new_leader_has_read_the_picture() {
    // How long the watch has been slow when the leader ends, in leases.
    for slow in [0.1, 0.2, 0.3, 0.4, 0.5] {
        let (world, [(_a, ta), (b, _tb)], id) = two_long_tasks().await;
        world.state.lock().unwrap().hold_watches = true;
        cancel(&world, &b, &id, 5.0).await;
        tokio::time::sleep(Duration::from_secs_f64(LEASE_S * slow)).await;
        // The last of the listings that a new leader begins with.
        world.state.lock().unwrap().down_at = Some(StepAt {
            node: "n-b".into(),
            request: "GET /store?starts=p/",
            answered: false,
        });
        ta.abort();
        world.forget_node("n-a");
        assert!(eventually(10.0, async || world.state.lock().unwrap().store_down).await);
        assert!(!leads(&b), "the picture is not read");
        world.state.lock().unwrap().hold_watches = false;
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S * 1.5)).await;
        world.set_down(false);
        assert!(eventually(30.0, async || leads(&b)).await);
        assert_eq!(ask(&b, &id).await, Some(JobStatus::Cancelled));
        world.assert_rules();
    }
}

// Terms, attempts, batches and bookings never repeat, however fast controllers hand
// over: the stand-ins note each that does.
#[tokio::test(start_paused = true)]
async fn handing_over_and_back_all_end_and_one_returns() {
    let (world, a, mut task) = start_with_leader().await;
    let (id, body) = world.job(1, 12, 4.0, 6.0);
    accepted(&a, &body).await;
    let mut last = a;
    for turn in 0..8u64 {
        tokio::time::sleep(Duration::from_millis(600 + 300 * turn)).await;
        // One is there when the other ends, or all end and one returns at once.
        let name = ["n-b", "n-a"][turn as usize % 2];
        let early = (turn % 3 != 0).then(|| world.start_controller(name));
        task.abort();
        world.forget_node(&last.settings.node_name);
        tokio::time::sleep(Duration::from_millis(40 * turn)).await;
        (last, task) = early.unwrap_or_else(|| world.start_controller(name));
    }
    assert!(done(&last, &id).await);
    world.assert_rules();
}

// Carried out after newer ones of the same controller, a transaction fails on its
// conditions, whichever it is: submission, cancellation, placement, page, end, term.
#[tokio::test(start_paused = true)]
async fn transactions_without_an_answer_are_carried_out_after_newer_ones() {
    for seed in 0..8 {
        let (world, a, ta) = start_with_leader().await;
        world.seed(seed);
        let (b, _tb) = world.start_controller("n-b");
        world.state.lock().unwrap().late_writes = 0.5;
        let mut ids = Vec::new();
        for n in 1..=5 {
            let (id, body) = world.job(n, 4, 2.0, 3.0);
            accepted(&a, &body).await;
            ids.push(id);
        }
        cancel(&world, &b, &ids[4], 60.0).await;
        tokio::time::sleep(Duration::from_secs(seed)).await;
        ta.abort();
        world.forget_node("n-a");
        let (c, _tc) = world.start_controller("n-c");
        tokio::time::sleep(Duration::from_secs(8)).await;
        world.state.lock().unwrap().late_writes = 0.0;
        for id in &ids[..4] {
            assert!(done(&c, id).await, "{seed}: {id}");
        }
        let told = eventually(LEASE_S * 4.0, async || {
            ask(&b, &ids[4]).await == Some(JobStatus::Cancelled)
        });
        assert!(told.await, "{seed}");
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S)).await;
        world.assert_rules();
    }
}

// The page of finished tasks, written late over a newer one of the same leader, would
// take back what is durable and cleared: the next leader would run it again.
#[tokio::test(start_paused = true)]
async fn a_page_written_late_takes_nothing_back() {
    let (world, a, ta) = start_with_leader().await;
    // The team has room for two at a time.
    let (id, body) = world.job(1, 5, 8.0, 12.0);
    accepted(&a, &body).await;
    world.state.lock().unwrap().delay_next_write = Some(("f/", 18.0));
    let late = eventually(60.0, async || {
        world.state.lock().unwrap().delay_next_write.is_none()
    });
    assert!(late.await);
    // Two more end, and are on record; then the first write is carried out.
    tokio::time::sleep(Duration::from_secs(19)).await;
    ta.abort();
    world.forget_node("n-a");
    let (b, _tb) = world.start_controller("n-b");
    assert!(done(&b, &id).await);
    assert_eq!(started(&world), 5, "none runs again");
    world.assert_rules();
}

// What the leader before placed there holds task, room and quota until it is surely
// over, through two take-overs within a lease; and what ran on goes on once it is
// heard again.
#[tokio::test(start_paused = true)]
async fn a_leader_ends_while_machines_with_long_tasks_are_cut_off_or_deaf() {
    for (deaf, back_s) in [(false, 3.0), (true, 3.0), (false, 40.0), (true, 40.0)] {
        let (world, [(_a, ta), (b, tb)], id) = two_long_tasks().await;
        let machine = world.state.lock().unwrap().starts[0].2.clone();
        let cut = |cut| {
            if deaf {
                world.set_inbound_blocked(&machine, cut);
            } else {
                world.set_silent(&machine, cut);
            }
        };
        cut(true);
        tokio::time::sleep(Duration::from_millis(500)).await;
        ta.abort();
        world.forget_node("n-a");
        assert!(eventually(LEASE_S, async || leads(&b)).await);
        let (c, _tc) = world.start_controller("n-c");
        tokio::time::sleep(Duration::from_millis(500)).await;
        tb.abort();
        world.forget_node("n-b");
        tokio::time::sleep(Duration::from_secs_f64(back_s)).await;
        cut(false);
        assert!(done(&c, &id).await, "deaf {deaf}, {back_s} s");
        let again = started(&world) - 2;
        // Within its lease the task runs on, else it runs anew; never both.
        assert_eq!(again, usize::from(back_s > LEASE_S), "deaf {deaf}");
        world.assert_rules();
    }
}

// A start or a stop on its way for seconds, to a machine that hangs and goes on, or
// is back with nothing; then the same attempt is cleared, or its task placed anew.
#[tokio::test(start_paused = true)]
async fn commands_held_up_for_seconds_and_the_machine_goes_on() {
    for seed in 0..24u64 {
        let (world, a, _ta) = start_with_leader().await;
        world.seed(seed);
        let (first, body) = world.job(1, 4, 4.0, 2.0 + seed as f64 / 4.0);
        accepted(&a, &body).await;
        assert!(eventually(30.0, async || !world.up().is_empty()).await);
        world.state.lock().unwrap().delayed_commands = (0.7, LEASE_S * 0.8);
        let (second, body) = world.job(2, 6, 2.0, 3.0);
        accepted(&a, &body).await;
        let (third, body) = world.job(3, 2, 8.0, 60.0);
        accepted(&a, &body).await;
        tokio::time::sleep(Duration::from_millis(700 + 211 * seed)).await;
        let machine = world.up()[seed as usize % world.up().len()].clone();
        match seed % 3 {
            0 => world.restart_agent(&machine),
            1 => world.set_hung(&machine, true),
            _ => cancel(&world, &a, &third, 5.0).await,
        }
        tokio::time::sleep(Duration::from_secs(seed % 13)).await;
        world.set_hung(&machine, false);
        if seed % 3 != 2 {
            cancel(&world, &a, &third, 5.0).await;
        }
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S)).await;
        world.state.lock().unwrap().delayed_commands = (0.0, 0.0);
        for id in [&first, &second] {
            assert!(done(&a, id).await, "{seed}");
        }
        world.assert_rules();
    }
}

// A job whose tasks end far apart is done when all are, and none of them runs again.
#[tokio::test(start_paused = true)]
async fn tasks_that_end_far_apart_across_a_change_of_leader() {
    for after_s in [4.0, 14.0, 17.0, 27.0] {
        let (world, a, ta) = start_with_leader().await;
        // The team has room for two at a time.
        let (id, body) = world.job(1, 3, 8.0, 12.0);
        accepted(&a, &body).await;
        assert!(eventually(30.0, async || started(&world) == 2).await);
        tokio::time::sleep(Duration::from_secs_f64(after_s)).await;
        ta.abort();
        world.forget_node("n-a");
        let (b, _tb) = world.start_controller("n-b");
        let all = eventually(120.0, async || {
            let told = ask(&b, &id).await == Some(JobStatus::Done);
            assert!(!told || world.all_ended(&id, 3), "done too soon");
            told
        });
        assert!(all.await);
        assert_eq!(started(&world), 3, "after {after_s} s");
        world.assert_rules();
    }
}

// The leader ends when it has heard of ends that are not on record yet: whoever did
// the work must still know of it.
#[tokio::test(start_paused = true)]
async fn a_leader_ends_between_a_task_s_end_and_its_record() {
    let (world, a, ta) = start_with_leader().await;
    let (id, body) = world.job(1, 3, 8.0, 12.0);
    accepted(&a, &body).await;
    world.state.lock().unwrap().delay_next_write = Some(("f/", 300.0));
    let heard = eventually(60.0, async || {
        a.with_cluster(|c| c.task_counts(&id))
            .flatten()
            .map(|c| c.0)
            == Some(2)
    });
    assert!(heard.await);
    ta.abort();
    world.forget_node("n-a");
    let (b, _tb) = world.start_controller("n-b");
    assert!(done(&b, &id).await);
    assert_eq!(started(&world), 3, "none runs again");
    world.assert_rules();
}

// What the leader that is cut off tells its users and workers, until its fence and
// after its return.
#[tokio::test(start_paused = true)]
async fn a_leader_cut_from_state_and_peers_while_workers_and_users_reach_it() {
    let (world, [(a, _ta), (b, _tb)], id) = two_long_tasks().await;
    world.state.lock().unwrap().partitioned.insert("n-a".into());
    assert!(eventually(LEASE_S, async || leads(&b)).await);
    cancel(&world, &b, &id, 5.0).await;
    let asked = eventually(CANCEL_TIMEOUT_S + 5.0, async || {
        let reply = user_api::job_status(&a, &id).await;
        assert!(reply.status() == 503, "{reply:?}");
        false
    });
    assert!(!asked.await);
    world.assert_rules();
    world.state.lock().unwrap().partitioned.clear();
    for node in [&a, &b] {
        let told = eventually(LEASE_S, async || {
            let told = ask(node, &id).await;
            assert!(matches!(told, None | Some(JobStatus::Cancelled)));
            told.is_some()
        });
        assert!(told.await);
    }
    assert_eq!(started(&world), 2);
    world.assert_rules();
}
