//! Machine types that the cloud no longer offers, and machines of unknown types.

use super::*;

/// The names of the types of machines that are to be rented.
fn rented_types(c: &ClusterState, now: f64) -> BTreeSet<String> {
    let rentals = c.rentals(now).into_iter();
    rentals.map(|rental| rental.kind.machine_type).collect()
}

fn known_types(c: &ClusterState) -> Vec<String> {
    let types = c.known_machine_types().into_iter();
    types.map(|known| known.name).collect()
}

// Guards against renting a type that the cloud no longer offers, and against taking the machines
// of such a type for machines without capacity.
#[test]
fn withdrawn_type_is_not_rented_but_its_machines_are_used() {
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 8, 1.0), 1, 90.0, &RangeSet::default());
    assert_eq!(rented_types(&c, 100.0), ["small".to_string()].into());
    let large = &machine_types()[1..];
    c.set_machine_types(large);
    assert_eq!(rented_types(&c, 100.0), ["large".to_string()].into());
    assert_eq!(round(&mut c, 100.0).len(), 4, "the machine is not used");
    c.set_machine_types(&machine_types());
    assert_eq!(rented_types(&c, 100.0), ["small".to_string()].into());
}

// A withdrawn type is forgotten with its last machine, or every leader would record it for ever.
// Machines that the former leader rented last may not be listed yet when a term begins.
#[test]
fn withdrawn_type_is_forgotten_with_its_last_machine() {
    let mut c = cluster(&["sa"], 100.0);
    c.set_machine_types(&machine_types()[1..]);
    c.apply_machine_list(&[], 101.0, 101.0);
    assert_eq!(known_types(&c), ["large", "small"]);
    c.deregister_machine("sa", 102.0);
    c.apply_machine_list(&[], 103.0, 103.0);
    assert_eq!(known_types(&c), ["large", "small"], "the list may lag");
    c.apply_machine_list(&[], 120.0, 120.0);
    assert_eq!(known_types(&c), ["large"]);
}

// Guards against a machine that is kept empty and paid for because neither the cloud nor a record
// names its type.
#[test]
fn empty_machine_of_unknown_type_is_returned_as_idle() {
    let mut c = ClusterState::new(config(), 100.0, 16, 4096);
    c.set_machine_types(&machine_types()[1..]);
    let mut is_returned = false;
    for second in 0..120u32 {
        let now = 100.0 + f64::from(second);
        let heartbeat = heartbeat_from("sa", 1, 1 + u64::from(second), TERM, vec![]);
        c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
        let returnable = c.machines_to_return(now);
        is_returned |= returnable.iter().any(|m| m.reason == ReturnReason::Idle);
    }
    assert!(is_returned);
}
