//! Meetings of faults around a change of leader.

use std::{sync::Arc, time::Duration};
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, FaultPoint, HEARTBEAT_INTERVAL_S, JobShape, LEASE_S, Simulation,
    cancel_until_confirmed, count_starts, eventually, is_active_leader, query_status, reply_status,
    start_with_leader, submit_until_accepted, wait_until_done,
};
use tokio::task::JoinHandle;

type Running = (Arc<Controller>, JoinHandle<()>);

/// Ends a controller as a crash does.
fn crash(simulation: &Simulation, (controller, task): Running) {
    simulation.crash_controller(&controller.settings.node_name, &task);
}

/// Waits for a controller to lead.
async fn leading(controller: &Arc<Controller>) {
    assert!(eventually(LEASE_S * 4.0, async || is_active_leader(controller)).await);
}

async fn sleep(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Both teams at their limit with long tasks, two to a machine.
async fn both_teams_at_their_limit(
    simulation: &Simulation,
    controller: &Arc<Controller>,
) -> [String; 2] {
    let mut ids = Vec::new();
    for (number, team) in [(1, "t"), (2, "u")] {
        let shape = JobShape {
            tasks: 6,
            cpus: 4.0,
            run_s: CANCEL_TIMEOUT_S * 4.0,
            team,
            ..JobShape::default()
        };
        let (id, body) = simulation.job_with_shape(number, shape);
        submit_until_accepted(controller, &body).await;
        ids.push(id);
    }
    let full = eventually(90.0, async || {
        ids.iter().all(|id| simulation.running_task_count(id) == 4)
    })
    .await;
    assert!(full, "both teams run what their limit allows");
    [ids[0].clone(), ids[1].clone()]
}

// Terms pass on every twelve seconds, also while nobody is served.
#[tokio::test(start_paused = true)]
async fn leaders_change_ten_times_in_two_minutes_also_inside_an_outage() {
    for seed in 0..4u64 {
        let (simulation, a, task) = start_with_leader().await;
        simulation.seed(seed);
        let mut last: Running = (a, task);
        let mut ids = Vec::new();
        for turn in 0..10u32 {
            let (id, body) = simulation.job(turn + 1, 3, 4.0, 6.0 + f64::from(turn) * 4.0);
            let kept = tokio::time::timeout(
                Duration::from_secs(4),
                submit_until_accepted(&last.0, &body),
            );
            if kept.await.is_ok() {
                ids.push(id);
            }
            let down = turn % 4 == 2;
            if down {
                simulation.set_store_down(true);
            }
            sleep(1.0 + seed as f64).await;
            crash(&simulation, last);
            sleep(0.05 + 0.4 * seed as f64).await;
            last = simulation.start_controller(["n-a", "n-b", "n-c"][turn as usize % 3]);
            sleep(6.0).await;
            if down {
                simulation.set_store_down(false);
            }
        }
        assert!(ids.len() >= 6, "{}", ids.len());
        for id in &ids {
            assert!(wait_until_done(&last.0, id).await, "{seed}: {id}");
        }
        simulation.assert_rules();
    }
}

// Jobs are cancelled through other controllers while the leader ends and the next one
// reads its state, at each of its steps.
#[tokio::test(start_paused = true)]
async fn jobs_are_cancelled_while_the_work_changes_hands() {
    for wait_ms in [0u64, 40, 300, 1200, 2500, 4000] {
        let (simulation, a, task) = start_with_leader().await;
        let (b, _task_b) = simulation.start_controller("n-b");
        let (c, _task_c) = simulation.start_controller("n-c");
        let mut ids = Vec::new();
        for n in 1..=6 {
            let (id, body) = simulation.job(n, 2, 1.0, CANCEL_TIMEOUT_S * 3.0);
            submit_until_accepted(&a, &body).await;
            ids.push(id);
        }
        assert!(eventually(60.0, async || count_starts(&simulation) == 12).await);
        crash(&simulation, (a, task));
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        for (n, id) in ids[..5].iter().enumerate() {
            cancel_until_confirmed(&simulation, [&b, &c][n % 2], id, 10.0).await;
            tokio::time::sleep(Duration::from_millis(wait_ms / 4)).await;
        }
        sleep(CANCEL_TIMEOUT_S + 1.0).await;
        for id in &ids[..5] {
            assert_eq!(simulation.running_task_count(id), 0, "{wait_ms}: {id}");
        }
        assert!(wait_until_done(&b, &ids[5]).await);
        assert_eq!(count_starts(&simulation), 12, "nothing starts again");
        simulation.assert_rules();
    }
}

// Copies of all reports since the machines began, of sessions that were and that
// are, come to every controller before the next term is won, before the leader has
// read the state, and right after.
#[tokio::test(start_paused = true)]
async fn old_reports_reach_every_controller_just_as_a_leader_begins() {
    for moment in ["before the term", "before the state is read", "after"] {
        let (simulation, a, task) = start_with_leader().await;
        simulation.state.lock().unwrap().capture_heartbeats = true;
        let (id, body) = simulation.job(1, 4, 4.0, LEASE_S * 4.0);
        submit_until_accepted(&a, &body).await;
        assert!(eventually(60.0, async || simulation.running_task_count(&id) == 4).await);
        // One machine's session ends, and its task runs elsewhere or again.
        let machine = simulation.state.lock().unwrap().starts[0].2.clone();
        simulation.set_silent(&machine, true);
        sleep(LEASE_S * 1.5).await;
        simulation.set_silent(&machine, false);
        assert!(
            eventually(LEASE_S * 4.0, async || simulation.running_task_count(&id)
                == 4)
            .await
        );
        simulation.state.lock().unwrap().capture_heartbeats = false;
        let (b, _task_b) = simulation.start_controller("n-b");
        sleep(1.0).await;
        if moment == "before the state is read" {
            simulation.state.lock().unwrap().pause_at = Some(FaultPoint {
                controller: "n-b".into(),
                request: "GET /store?starts=p/",
                answered: false,
            });
        }
        crash(&simulation, (a, task));
        match moment {
            "before the term" => assert!(simulation.replay_captured_heartbeats() > 10),
            "before the state is read" => {
                assert!(eventually(LEASE_S, async || simulation.is_paused("n-b")).await);
                // It stands before its listing; its workers' calls are served.
                simulation.resume("n-b");
                assert!(simulation.replay_captured_heartbeats() > 10);
            }
            _ => {
                leading(&b).await;
                assert!(simulation.replay_captured_heartbeats() > 10);
            }
        }
        leading(&b).await;
        assert!(wait_until_done(&b, &id).await, "{moment}");
        simulation.assert_rules();
    }
}

// A report is held back until a new leader has acted on what it read, and then
// arrives there: it names tasks that ended or were cancelled since, and lacks what
// was started.
#[tokio::test(start_paused = true)]
async fn a_report_is_held_back_until_a_new_leader_has_acted() {
    for wait_s in [0.5, 3.0, LEASE_S, LEASE_S * 2.0] {
        let (simulation, a, task) = start_with_leader().await;
        let (first, body) = simulation.job(1, 2, 8.0, 5.0);
        submit_until_accepted(&a, &body).await;
        assert!(eventually(60.0, async || simulation.running_task_count(&first) == 2).await);
        simulation.state.lock().unwrap().capture_heartbeats = true;
        sleep(HEARTBEAT_INTERVAL_S * 3.0).await;
        simulation.state.lock().unwrap().capture_heartbeats = false;
        let (second, body) = simulation.job(2, 2, 8.0, LEASE_S * 3.0);
        submit_until_accepted(&a, &body).await;
        crash(&simulation, (a, task));
        let (b, _task_b) = simulation.start_controller("n-b");
        leading(&b).await;
        sleep(wait_s).await;
        assert!(simulation.replay_captured_heartbeats() > 0);
        for id in [&first, &second] {
            assert!(wait_until_done(&b, id).await, "{wait_s}");
        }
        assert_eq!(count_starts(&simulation), 4, "none runs again");
        simulation.assert_rules();
    }
}

// Direct messages of a leader that stood still, or has ended, arrive after those of
// the next one.
#[tokio::test(start_paused = true)]
async fn commands_of_a_leader_that_was_deposed_arrive_after_the_next_ones() {
    for seed in 0..8u64 {
        let (simulation, a, task) = start_with_leader().await;
        simulation.seed(seed);
        let (b, _task_b) = simulation.start_controller("n-b");
        let (first, body) = simulation.job(1, 4, 2.0, 12.0);
        submit_until_accepted(&a, &body).await;
        assert!(eventually(60.0, async || !simulation.booted_machines().is_empty()).await);
        simulation.state.lock().unwrap().delayed_commands = (0.8, LEASE_S * 1.4);
        let (second, body) = simulation.job(2, 4, 2.0, 20.0);
        submit_until_accepted(&a, &body).await;
        let (third, body) = simulation.job(3, 2, 2.0, 60.0);
        submit_until_accepted(&a, &body).await;
        sleep(0.4 + 0.3 * seed as f64).await;
        let stands = seed % 2 == 0;
        if stands {
            simulation.pause("n-a");
        } else {
            crash(&simulation, (a.clone(), task));
        }
        leading(&b).await;
        cancel_until_confirmed(&simulation, &b, &third, 20.0).await;
        sleep(LEASE_S * 0.5).await;
        if stands {
            simulation.resume("n-a");
        }
        sleep(CANCEL_TIMEOUT_S + 1.0).await;
        simulation.state.lock().unwrap().delayed_commands = (0.0, 0.0);
        assert_eq!(simulation.running_task_count(&third), 0);
        for id in [&first, &second] {
            assert!(wait_until_done(&b, id).await, "{seed}");
        }
        simulation.assert_rules();
    }
}

// Teams at their limit, some machines that can't be asked or hang, jobs of both
// teams cancelled, and the leader ends: what is held counts until it is surely gone.
#[tokio::test(start_paused = true)]
async fn every_team_is_at_its_limit_while_jobs_are_cancelled_and_the_leader_changes() {
    for (hangs, early) in [(false, false), (false, true), (true, false), (true, true)] {
        let (simulation, a, task) = start_with_leader().await;
        let (b, _task_b) = simulation.start_controller("n-b");
        let ids = both_teams_at_their_limit(&simulation, &a).await;
        let machines = simulation.booted_machines();
        let some: Vec<&String> = machines.iter().step_by(2).collect();
        let unreachable = |on: bool| {
            for machine in &some {
                if hangs {
                    simulation.set_hung(machine, on);
                } else {
                    simulation.set_silent(machine, on);
                }
            }
        };
        unreachable(true);
        let (third, body) = simulation.job(3, 4, 4.0, 5.0);
        submit_until_accepted(&b, &body).await;
        if early {
            crash(&simulation, (a, task));
            cancel_until_confirmed(&simulation, &b, &ids[0], 20.0).await;
            cancel_until_confirmed(&simulation, &b, &ids[1], 20.0).await;
        } else {
            cancel_until_confirmed(&simulation, &b, &ids[0], 20.0).await;
            sleep(0.3).await;
            crash(&simulation, (a, task));
            cancel_until_confirmed(&simulation, &b, &ids[1], 20.0).await;
        }
        leading(&b).await;
        sleep(LEASE_S * 0.7).await;
        unreachable(false);
        sleep(CANCEL_TIMEOUT_S + 1.0).await;
        for id in &ids {
            assert_eq!(
                simulation.running_task_count(id),
                0,
                "hangs {hangs}, early {early}"
            );
        }
        assert!(
            wait_until_done(&b, &third).await,
            "hangs {hangs}, early {early}"
        );
        simulation.assert_rules();
    }
}

// Longer than a lease nobody leads: sessions end, and what ran begins again, once.
#[tokio::test(start_paused = true)]
async fn all_controllers_are_away_for_longer_than_a_lease() {
    for away_s in [LEASE_S * 1.2, LEASE_S * 4.0] {
        let (simulation, a, task) = start_with_leader().await;
        let ids = both_teams_at_their_limit(&simulation, &a).await;
        crash(&simulation, (a, task));
        sleep(away_s).await;
        assert_eq!(
            simulation.running_task_count(&ids[0]),
            0,
            "their sessions ended"
        );
        let (b, _task_b) = simulation.start_controller("n-b");
        let (c, _task_c) = simulation.start_controller("n-c");
        cancel_until_confirmed(&simulation, &c, &ids[1], LEASE_S * 3.0).await;
        assert!(wait_until_done(&b, &ids[0]).await);
        assert_eq!(query_status(&b, &ids[1]).await, Some(JobStatus::Cancelled));
        simulation.assert_rules();
    }
}

// A zone with workers and the leader is cut off for longer than a lease: in there
// work goes on until the leader fences itself, and is not started elsewhere sooner.
#[tokio::test(start_paused = true)]
async fn a_zone_with_workers_and_the_leader_is_cut_off_for_longer_than_a_lease() {
    for cut_s in [LEASE_S * 1.5, LEASE_S * 4.0] {
        let (simulation, a, _task_a) = start_with_leader().await;
        let (b, _task_b) = simulation.start_controller("n-b");
        let ids = both_teams_at_their_limit(&simulation, &a).await;
        let machines = simulation.booted_machines();
        {
            let mut state = simulation.state.lock().unwrap();
            state.partitioned.insert("n-a".into());
            for (n, machine) in machines.iter().enumerate() {
                let controller = if n % 2 == 0 { "n-a" } else { "n-b" };
                state
                    .exclusive_links
                    .insert(machine.clone(), controller.into());
            }
        }
        leading(&b).await;
        cancel_until_confirmed(&simulation, &b, &ids[0], 10.0).await;
        sleep(cut_s).await;
        {
            let mut state = simulation.state.lock().unwrap();
            state.partitioned.clear();
            state.exclusive_links.clear();
        }
        sleep(CANCEL_TIMEOUT_S).await;
        assert_eq!(simulation.running_task_count(&ids[0]), 0);
        assert!(wait_until_done(&b, &ids[1]).await, "{cut_s}");
        simulation.assert_rules();
    }
}

// The state service answers slowly, then refuses the leader alone, then everybody
// for longer than a cancellation has, while users cancel and ask.
#[tokio::test(start_paused = true)]
async fn the_state_service_is_slow_then_refuses_the_leader_and_then_everybody() {
    for link_delay_s in [0.1, 0.3, 0.7] {
        let (simulation, a, _task_a) = start_with_leader().await;
        let (b, _task_b) = simulation.start_controller("n-b");
        let ids = both_teams_at_their_limit(&simulation, &a).await;
        simulation.state.lock().unwrap().link_delay_s = link_delay_s;
        sleep(LEASE_S * 0.5).await;
        simulation.set_store_refuses("n-a", true);
        cancel_until_confirmed(&simulation, &b, &ids[0], 20.0).await;
        simulation.set_store_down(true);
        for _ in 0..30 {
            for controller in [&a, &b] {
                let reply = user_api::cancel(controller, &ids[1]).await;
                let told = reply_status(&reply);
                assert!(told.is_none(), "nobody can say so: {told:?}");
                let told = query_status(controller, &ids[0]).await;
                assert!(matches!(told, None | Some(JobStatus::Cancelled)));
            }
            sleep(CANCEL_TIMEOUT_S / 20.0).await;
        }
        assert_eq!(simulation.running_task_count(&ids[0]), 0);
        simulation.set_store_down(false);
        simulation.set_store_refuses("n-a", false);
        simulation.state.lock().unwrap().link_delay_s = 0.003;
        cancel_until_confirmed(&simulation, &a, &ids[1], 30.0).await;
        sleep(CANCEL_TIMEOUT_S + 1.0).await;
        assert_eq!(simulation.running_task_count(&ids[1]), 0);
        simulation.assert_rules();
    }
}

// A leader stands still with a placement on its way out, and the next one leads when
// it goes on: the write finds another term. The stand-in notes any that does not.
#[tokio::test(start_paused = true)]
async fn a_placement_that_goes_out_under_the_next_term_is_refused() {
    let (simulation, a, _task_a) = start_with_leader().await;
    let (b, _task_b) = simulation.start_controller("n-b");
    let (first, body) = simulation.job(1, 1, 1.0, 2.0);
    submit_until_accepted(&b, &body).await;
    assert!(wait_until_done(&b, &first).await);
    let (second, body) = simulation.job(2, 2, 4.0, 5.0);
    simulation.state.lock().unwrap().pause_at = Some(FaultPoint {
        controller: "n-a".into(),
        request: "POST /multi",
        answered: false,
    });
    submit_until_accepted(&b, &body).await;
    assert!(eventually(LEASE_S, async || simulation.is_paused("n-a")).await);
    leading(&b).await;
    simulation.resume("n-a");
    assert!(eventually(LEASE_S, async || !is_active_leader(&a)).await);
    assert!(wait_until_done(&b, &second).await);
    simulation.assert_rules();
}
