//! Outages of the cloud, in which controllers restart: machines that are up must be used, and
//! users must be answered, by what leaders have recorded.

use std::sync::Arc;
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::{
    state::{Transaction, Write},
    users::JobStatus,
};
use tallygauge_sim::{
    JobShape, LEASE_S, Simulation, count_starts, eventually, is_active_leader, query_status,
    sleep_s, start_with_booted_machines, start_with_leader, submit_job, submit_until_accepted,
};
use tallygauge_store::RequestPriority;
use tokio::task::JoinHandle;

/// Boot time of a machine, in seconds: no machine is up before the controllers restart.
const BOOT_TIME_S: f64 = 10.0;

/// Time limit for the first start of a task after the controllers are back, in seconds.
const START_TIMEOUT_S: f64 = 40.0;

/// Age in seconds at which machine types no longer count as current.
const MAX_TYPE_AGE_S: f64 = 12.0;

/// A controller with its background task.
type RunningController = (Arc<Controller>, JoinHandle<()>);

fn set_boot_time(simulation: &Simulation, boot_time_s: f64) {
    let mut state = simulation.state.lock().expect("lock of the simulation");
    state.boot_time_s = boot_time_s;
}

/// Starts a controller that leads and a follower, submits a job, and waits until machines are
/// rented for it, which boot. Then the cloud is out.
async fn start_cloud_outage_while_machines_boot()
-> (Arc<Simulation>, [RunningController; 2], String) {
    let (simulation, leader, leader_task) = start_with_leader().await;
    set_boot_time(&simulation, BOOT_TIME_S);
    let follower = simulation.start_controller("n-b");
    let id = submit_job(&simulation, &leader, 1, 2, 4.0, 5.0).await;
    let has_rented = async || {
        let workers = leader.with_cluster(|cluster| cluster.workers.len());
        workers.is_some_and(|count| count > 0)
    };
    assert!(eventually(30.0, has_rented).await, "no machine was rented");
    simulation.set_faults(|faults| faults.cloud_down = true);
    (simulation, [(leader, leader_task), follower], id)
}

/// Waits until the job is done, while the cloud is still out.
async fn assert_job_completes(simulation: &Simulation, controller: &Controller, id: &str) {
    let has_started = eventually(START_TIMEOUT_S, async || count_starts(simulation) > 0);
    assert!(has_started.await, "no task was started");
    let is_done = async || query_status(controller, id).await == Some(JobStatus::Done);
    assert!(eventually(LEASE_S * 6.0, is_done).await, "{id} is not done");
    simulation.assert_invariants();
}

// Guards against machine types that are in the controllers' memory alone: after all controllers
// had restarted in an outage of the cloud, machines came up and reported, but no task was
// started on them.
#[tokio::test(start_paused = true)]
async fn tasks_start_after_all_controllers_restart_during_a_cloud_outage() {
    let (simulation, mut controllers, id) = start_cloud_outage_while_machines_boot().await;
    for names in [["n-c", "n-d"], ["n-e", "n-f"]] {
        for (controller, task) in &controllers {
            simulation.crash_controller(&controller.settings.node_name, task);
        }
        sleep_s(LEASE_S * 0.4).await;
        controllers = names.map(|name| simulation.start_controller(name));
        let leads = async || controllers.iter().any(|(c, _)| is_active_leader(c));
        assert!(eventually(30.0, leads).await);
    }
    assert_job_completes(&simulation, &controllers[1].0, &id).await;
}

// As above, but one controller after the other restarts, twice, so that at every time one of
// them is up.
#[tokio::test(start_paused = true)]
async fn tasks_start_after_controllers_restart_in_turn_during_a_cloud_outage() {
    let (simulation, controllers, id) = start_cloud_outage_while_machines_boot().await;
    let mut controllers = Vec::from(controllers);
    for restart in 0..4 {
        let (controller, task) = controllers.remove(0);
        simulation.crash_controller(&controller.settings.node_name, &task);
        controllers.push(simulation.start_controller(&format!("r-{restart}")));
        sleep_s(LEASE_S * 0.1).await;
    }
    assert_job_completes(&simulation, &controllers[1].0, &id).await;
}

// As above, but the store is out as well when the controllers come back, and is back before the
// cloud.
#[tokio::test(start_paused = true)]
async fn tasks_start_after_a_store_outage_during_a_cloud_outage() {
    let (simulation, controllers, id) = start_cloud_outage_while_machines_boot().await;
    simulation.set_store_down(true);
    for (controller, task) in &controllers {
        simulation.crash_controller(&controller.settings.node_name, task);
    }
    let (controller_c, _task_c) = simulation.start_controller("n-c");
    sleep_s(LEASE_S * 1.5).await;
    simulation.set_store_down(false);
    assert_job_completes(&simulation, &controller_c, &id).await;
}

// The types exceed a value of the store and all that one transaction may hold.
#[tokio::test(start_paused = true)]
async fn catalogue_larger_than_a_transaction_is_recorded_in_whole() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let names: Vec<String> = (0..400).map(|n| format!("type-{n:03}")).collect();
    simulation.state.lock().unwrap().machine_types = names.clone();
    let (leader, task) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&leader)).await);
    sleep_s(LEASE_S * 0.5).await;
    assert!(simulation.count_keys("s/types") > 8);
    simulation.set_faults(|faults| faults.cloud_down = true);
    simulation.crash_controller("n-a", &task);
    let (controller, _task) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&controller)).await);
    let recovered = controller.with_cluster(|cluster| cluster.known_machine_types());
    let recovered = recovered.unwrap_or_default().into_iter();
    let recovered: Vec<String> = recovered.map(|known| known.name).collect();
    assert_eq!(recovered, names);
}

// A new leader ignored that it could not read the leader's records, and led without them for the
// rest of its term: without the machine types in an outage of the cloud, without cutoffs and ranks
// at any time.
#[tokio::test(start_paused = true)]
async fn leader_reads_its_records_again_after_the_store_refused_them() {
    let (simulation, controllers, id) = start_cloud_outage_while_machines_boot().await;
    for (controller, task) in &controllers {
        simulation.crash_controller(&controller.settings.node_name, task);
    }
    // The crashed leader's lease expires, so that the next controller leads at once.
    sleep_s(LEASE_S * 0.5).await;
    simulation.set_faults(|faults| faults.refuse_next_listing = Some("s/"));
    let (controller, _task) = simulation.start_controller("n-c");
    assert_job_completes(&simulation, &controller, &id).await;
}

// The cloud rejects the rental of a type that it no longer offers. The request was repeated for
// the rest of the term, and nothing else was rented meanwhile.
#[tokio::test(start_paused = true)]
async fn rejected_rental_is_not_repeated() {
    let simulation = Simulation::new();
    simulation.state.lock().unwrap().machine_types = vec!["c8".into(), "d8".into()];
    tokio::spawn(simulation.clone().run_workers());
    let (controller, _task) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&controller)).await);
    simulation.state.lock().unwrap().machine_types = vec!["d8".into()];
    let id = submit_job(&simulation, &controller, 1, 2, 4.0, 5.0).await;
    assert_job_completes(&simulation, &controller, &id).await;
}

// A leader of an earlier version writes no record of the types. The next leader must, also if it
// read them before the outage and can't any more, or the one after it would know none.
#[tokio::test(start_paused = true)]
async fn leader_after_an_earlier_version_records_the_types_that_it_has_read() {
    let (simulation, leader, task) = start_with_leader().await;
    let (follower, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || follower.catalogue.is_loaded()).await);
    simulation.set_faults(|faults| faults.cloud_down = true);
    let removal = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Remove {
            key: "s/types/0".into(),
        }],
    };
    let priority = RequestPriority::Leadership;
    leader.store.transact(priority, &removal).await.unwrap();
    assert_eq!(simulation.count_keys("s/types"), 0);
    simulation.crash_controller("n-a", &task);
    assert!(eventually(30.0, async || is_active_leader(&follower)).await);
    sleep_s(LEASE_S * 0.1).await;
    assert_eq!(simulation.count_keys("s/types"), 1);
}

// Machines that fall idle are returned. While the cloud is out it refuses the returns, and the
// machines were withheld from new tasks until it was back, however long that took.
#[tokio::test(start_paused = true)]
async fn machines_whose_return_the_cloud_refused_are_used_for_new_tasks() {
    let (simulation, controllers, id) = start_cloud_outage_while_machines_boot().await;
    let controller = &controllers[0].0;
    assert_job_completes(&simulation, controller, &id).await;
    sleep_s(LEASE_S * 3.0).await;
    let second = submit_job(&simulation, controller, 2, 2, 4.0, 5.0).await;
    assert_job_completes(&simulation, controller, &second).await;
    simulation.set_faults(|faults| faults.cloud_down = false);
    let is_returned = async || simulation.booted_machines().is_empty();
    assert!(eventually(LEASE_S * 3.0, is_returned).await, "not returned");
}

// As above, for a machine that was to be returned since nothing was received from it: a partition of
// its zone, which is over while the cloud is still out.
#[tokio::test(start_paused = true)]
async fn machine_whose_return_as_silent_was_refused_is_used_once_it_reports_again() {
    let (simulation, controller, _task) = start_with_booted_machines(1).await;
    let machine = simulation.booted_machines().remove(0);
    simulation.set_faults(|faults| faults.cloud_down = true);
    simulation.set_worker_partitioned(&machine, true);
    sleep_s(LEASE_S * 5.0).await;
    simulation.set_worker_partitioned(&machine, false);
    let id = submit_job(&simulation, &controller, 1, 1, 4.0, 5.0).await;
    assert_job_completes(&simulation, &controller, &id).await;
}

// A controller that started in the outage knows recorded types alone. It must accept what can
// run by them. A job that fits none of them may fit a type that is offered since: it must not
// be rejected for good, while one that exceeds its team's quota must be.
#[tokio::test(start_paused = true)]
async fn controller_with_recorded_types_accepts_jobs_but_rejects_none_by_type() {
    let (simulation, controllers, _id) = start_cloud_outage_while_machines_boot().await;
    for (controller, task) in &controllers {
        simulation.crash_controller(&controller.settings.node_name, task);
    }
    let (controller, _task) = simulation.start_controller("n-c");
    assert!(eventually(30.0, async || controller.catalogue.is_loaded()).await);
    assert!(eventually(30.0, async || is_active_leader(&controller)).await);
    let status_of = async |number, cpus| {
        let request = simulation.job(number, 1, cpus, 5.0);
        user_api::submit(&controller, &request.body).await.status()
    };
    assert_eq!(status_of(11, 4.0).await, 201);
    assert_eq!(status_of(12, 12.0).await, 503, "fits no recorded type");
    assert_eq!(status_of(13, 24.0).await, 422, "exceeds the quota");
    simulation.set_faults(|faults| faults.cloud_down = false);
    let has_read = async || controller.catalogue.age_s(controller.now()).is_some();
    assert!(eventually(30.0, has_read).await);
    assert_eq!(status_of(12, 12.0).await, 422, "fits no type on offer");
}

// A controller that does not lead read the types once, when it started. It rejected jobs for good
// that fit a type or a zone which the cloud has offered since, and would have done so after the
// cloud went out as well.
#[tokio::test(start_paused = true)]
async fn follower_rejects_jobs_only_by_current_types() {
    let (simulation, _leader, _task) = start_with_leader().await;
    let (follower, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || follower.catalogue.is_loaded()).await);
    let status_of = async |number, zone| {
        let shape = JobShape {
            zone: Some(zone),
            ..JobShape::default()
        };
        let request = simulation.job_with_shape(number, shape);
        user_api::submit(&follower, &request.body).await.status()
    };
    assert_eq!(status_of(11, "b").await, 422);
    simulation.state.lock().unwrap().zones = vec!["a", "b"];
    sleep_s(MAX_TYPE_AGE_S).await;
    assert_eq!(status_of(12, "b").await, 201, "the zone is offered now");
    assert_eq!(status_of(13, "c").await, 422);
    simulation.set_faults(|faults| faults.cloud_down = true);
    sleep_s(MAX_TYPE_AGE_S).await;
    assert_eq!(status_of(14, "c").await, 503, "the types may have changed");
    assert_eq!(status_of(15, "b").await, 201);
}

// A machine that is rented before its type is on record could not be used by the next leader.
#[tokio::test(start_paused = true)]
async fn machines_are_rented_only_once_their_type_is_recorded() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    simulation.set_faults(|faults| faults.hang_writes_with_prefix = Some("s/types"));
    let (controller, _task) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&controller)).await);
    let job = simulation.job(1, 1, 1.0, 5.0);
    submit_until_accepted(&controller, &job.body).await;
    sleep_s(LEASE_S * 0.5).await;
    assert!(simulation.booted_machines().is_empty(), "rented too early");
    // A record that cannot be written must not keep the cluster from working for ever.
    let is_running = eventually(LEASE_S * 2.0, async || count_starts(&simulation) > 0);
    assert!(is_running.await, "no machine without a record");
    simulation.set_faults(|faults| faults.hang_writes_with_prefix = None);
    let is_recorded = eventually(LEASE_S, async || simulation.count_keys("s/types") > 0);
    assert!(is_recorded.await, "the types are not recorded");
    simulation.assert_invariants();
}
