//! Faults of machines and of their connections, and faults of the store writes that place
//! tasks on machines.

use tallygauge_sim::{
    CANCEL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, JobRequest, JobShape, LEASE_S, cancel_until_confirmed,
    count_starts, eventually, is_active_leader, sleep_s, start_with_leader, submit_job,
    submit_job_with_shape, submit_until_accepted, wait_until_done,
};

// The store never answers the write of one placement batch, so that its outcome is
// indeterminate. A single lost response used to keep the leader from placing any task; the
// batch must block its own tasks only.
#[tokio::test(start_paused = true)]
async fn indeterminate_batch_blocks_no_other_batch() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let first = submit_job(&simulation, &controller_a, 1, 2, 2.0, 5.0).await;
    assert!(wait_until_done(&controller_a, &first).await);
    // Neither the write of the next round's batch nor its hedged request is executed.
    simulation.set_faults(|faults| faults.hang_writes_with_prefix = Some("p/1-2"));
    let second = submit_job(&simulation, &controller_a, 2, 2, 4.0, 5.0).await;
    let is_indeterminate = eventually(LEASE_S, async || {
        controller_a.store.indeterminate_writes().count > 0
    });
    assert!(is_indeterminate.await);
    let third = submit_job(&simulation, &controller_a, 3, 2, 2.0, 5.0).await;
    let submitted_at = simulation.now();
    assert!(wait_until_done(&controller_a, &third).await);
    assert!(
        simulation.now() - submitted_at < LEASE_S,
        "the job waits for the indeterminate batch"
    );
    assert_eq!(simulation.running_task_count(&second), 0);
    let indeterminate = controller_a.store.indeterminate_writes();
    assert!(
        indeterminate.count == 1 && indeterminate.oldest_age.as_secs_f64() > 5.0,
        "{indeterminate:?}"
    );
    simulation.set_faults(|faults| faults.hang_writes_with_prefix = None);
    assert!(wait_until_done(&controller_a, &second).await);
    assert_eq!(count_starts(&simulation), 6, "a task was placed twice");
    simulation.assert_invariants();
}

// Two of five store responses are lost, and the leader crashes meanwhile. Writes whose
// outcome is indeterminate may delay jobs, but must neither lose them nor leave placement
// batches behind.
#[tokio::test(start_paused = true)]
async fn jobs_complete_with_forty_percent_of_store_responses_lost() {
    for seed in 0..6 {
        let (simulation, _a, task) = start_with_leader().await;
        simulation.seed(seed);
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        simulation.set_faults(|faults| faults.lost_response_probability = 0.4);
        let mut ids = Vec::new();
        for n in 1..=20 {
            ids.push(submit_job(&simulation, &controller_b, n, 2, 2.0, 2.0).await);
            sleep_s(0.5).await;
        }
        simulation.crash_controller("n-a", &task);
        let started_at = simulation.now();
        for id in &ids {
            assert!(
                wait_until_done(&controller_b, id).await,
                "seed {seed}: {id}"
            );
        }
        let elapsed_s = simulation.now() - started_at;
        assert!(elapsed_s < LEASE_S * 6.0, "seed {seed}: {elapsed_s:.0} s");
        // Batches whose responses were lost are deleted once their tasks are done.
        let deleted = eventually(LEASE_S * 3.0, async || simulation.count_keys("p/") == 0);
        assert!(
            deleted.await,
            "seed {seed}: {} batches are left",
            simulation.count_keys("p/")
        );
        simulation.assert_invariants();
    }
}

// Workers can't connect to any controller, for less and for more than a lease, while
// direct commands still reach them. A cancelled task must stop although its worker
// receives no heartbeat response that could carry the command.
#[tokio::test(start_paused = true)]
async fn workers_with_blocked_heartbeats_still_obey_direct_commands() {
    for (blocked_s, crashes) in [
        (LEASE_S * 0.6, true),
        (LEASE_S * 3.0, false),
        (LEASE_S * 3.0, true),
    ] {
        let (simulation, controller_a, task) = start_with_leader().await;
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let first = submit_job(&simulation, &controller_a, 1, 2, 4.0, LEASE_S * 5.0).await;
        let second = submit_job(&simulation, &controller_a, 2, 2, 4.0, LEASE_S * 9.0).await;
        assert!(eventually(60.0, async || count_starts(&simulation) == 4).await);
        let machines = simulation.booted_machines();
        machines
            .iter()
            .for_each(|machine| simulation.set_outbound_blocked(machine, true));
        sleep_s(HEARTBEAT_INTERVAL_S * 2.0).await;
        if crashes {
            simulation.crash_controller("n-a", &task);
            assert!(eventually(LEASE_S * 2.0, async || is_active_leader(&controller_b)).await);
        }
        cancel_until_confirmed(&simulation, &controller_b, &second, 20.0).await;
        sleep_s(blocked_s).await;
        machines
            .iter()
            .for_each(|machine| simulation.set_outbound_blocked(machine, false));
        assert!(
            wait_until_done(&controller_b, &first).await,
            "blocked for {blocked_s} s, leader crashes {crashes}"
        );
        sleep_s(CANCEL_TIMEOUT_S).await;
        assert_eq!(simulation.running_task_count(&second), 0);
        simulation.assert_invariants();
    }
}

// Jobs constrained to a named zone, or to any single zone, lose machines there: some are
// destroyed, others partitioned for a while. The jobs must still find capacity within
// their constraints and complete.
#[tokio::test(start_paused = true)]
async fn zone_constrained_jobs_complete_after_losing_machines() {
    for seed in 0..6usize {
        let (simulation, controller_a, task) = start_with_leader().await;
        simulation.state.lock().unwrap().zones = vec!["a", "b"];
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        // Wait until the catalogue is read again, which now has both zones.
        sleep_s(LEASE_S * 2.0).await;
        let mut ids = Vec::new();
        for (number, zone, one_zone) in [
            (1, Some("b"), false),
            (2, None, true),
            (3, Some("a"), true),
            (4, None, true),
        ] {
            let shape = JobShape {
                tasks: 4,
                cpus: 2.0,
                run_s: 15.0,
                team: if number % 2 == 0 { "t" } else { "u" },
                zone,
                one_zone,
                ..JobShape::default()
            };
            ids.push(submit_job_with_shape(&simulation, &controller_a, number, shape).await);
        }
        assert!(eventually(90.0, async || count_starts(&simulation) >= 8).await);
        let machines = simulation.booted_machines();
        for (n, machine) in machines.iter().enumerate() {
            match (n + seed) % 3 {
                0 => simulation.destroy(machine),
                1 => simulation.set_worker_partitioned(machine, true),
                _ => {}
            }
        }
        if seed % 2 == 0 {
            simulation.crash_controller("n-a", &task);
        }
        sleep_s(LEASE_S * 0.5 * seed as f64).await;
        for machine in simulation.booted_machines() {
            simulation.set_worker_partitioned(&machine, false);
        }
        for id in &ids {
            assert!(
                wait_until_done(&controller_b, id).await,
                "seed {seed}: {id}"
            );
        }
        simulation.assert_invariants();
    }
}

// Urgent and low-priority jobs ask for more than the capacity, while each message takes a
// quarter of a second each way. The urgent jobs, which are submitted last, must complete
// first, and all jobs must complete.
#[tokio::test(start_paused = true)]
async fn urgent_jobs_complete_first_under_overload_and_slow_links() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    simulation.set_faults(|faults| faults.link_delay_s = 0.25);
    let mut ids = Vec::new();
    for number in 1..=24 {
        let is_urgent = number > 16;
        let shape = JobShape {
            tasks: 4,
            cpus: 4.0,
            run_s: 4.0,
            priority: if is_urgent { "urgent" } else { "low" },
            team: if number % 2 == 0 { "t" } else { "u" },
            ..JobShape::default()
        };
        let JobRequest { id, body } = simulation.job_with_shape(number, shape);
        submit_until_accepted([&controller_a, &controller_b][number as usize % 2], &body).await;
        ids.push(id);
    }
    let urgent_done = eventually(LEASE_S * 30.0, async || {
        ids[16..]
            .iter()
            .all(|id| simulation.all_tasks_completed(id, 4))
    });
    assert!(urgent_done.await);
    let low_priority_unfinished = ids[..16]
        .iter()
        .filter(|id| !simulation.all_tasks_completed(id, 4));
    assert!(
        low_priority_unfinished.count() >= 4,
        "low-priority jobs completed before urgent ones"
    );
    for id in &ids {
        assert!(wait_until_done(&controller_b, id).await, "{id}");
    }
    simulation.assert_invariants();
}

// New machines boot before the cloud lists them and get tasks at once while some writes
// are executed late, and the leader crashes. Its successor learns of these machines from
// their heartbeats and must neither lose their tasks nor run them twice.
#[tokio::test(start_paused = true)]
async fn work_on_new_machines_survives_late_writes_and_leader_crash() {
    for seed in 0..8u64 {
        let (simulation, _a, task) = start_with_leader().await;
        simulation.seed(seed);
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        {
            let mut state = simulation.state.lock().unwrap();
            state.boot_time_s = 0.1;
            state.faults.late_write_probability = 0.4;
        }
        let mut ids = Vec::new();
        for n in 1..=6 {
            ids.push(submit_job(&simulation, &controller_b, n, 3, 2.0, 4.0 + f64::from(n)).await);
        }
        sleep_s(0.3 * seed as f64).await;
        simulation.crash_controller("n-a", &task);
        sleep_s(LEASE_S).await;
        simulation.set_faults(|faults| faults.late_write_probability = 0.0);
        for id in &ids {
            assert!(
                wait_until_done(&controller_b, id).await,
                "seed {seed}: {id}"
            );
        }
        simulation.assert_invariants();
    }
}
