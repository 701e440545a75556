//! Merging of the types that this controller has read with those that leaders have recorded.

use super::*;
use crate::machine_types::tests::machine_type;

/// When the types of these tests were read from the cloud.
const READ_AT: ReadTime = ReadTime {
    now: 7.0,
    unix_time_s: 100.0,
};

fn recorded(name: &str, cpus: f64, written_at: f64) -> RecordedType {
    RecordedType {
        machine_type: machine_type(name, cpus),
        written_at,
    }
}

fn cpus_and_zones(catalogue: &MachineCatalogue) -> Vec<(f64, usize)> {
    let types = catalogue.get().unwrap();
    types.iter().map(|t| (t.cpus, t.zones.len())).collect()
}

// A controller that read the types long ago may lead after one that read them since. If its
// own types replaced the later record, machines would be taken for larger than they are.
#[test]
fn later_of_read_and_recorded_type_applies() {
    let catalogue = MachineCatalogue::default();
    catalogue.set_offered(
        vec![machine_type("a", 1.0), machine_type("b", 1.0)],
        READ_AT,
    );
    catalogue.add_recorded([recorded("a", 2.0, 99.0), recorded("b", 2.0, 101.0)]);
    assert_eq!(cpus_and_zones(&catalogue), [(1.0, 1), (2.0, 1)]);
}

// The cloud did not offer the type any more when it was asked, but its machines still run.
#[test]
fn recorded_type_that_is_no_longer_offered_has_no_zones() {
    let catalogue = MachineCatalogue::default();
    catalogue.add_recorded([]);
    assert!(!catalogue.is_loaded(), "an empty record is not a catalogue");
    catalogue.add_recorded([recorded("b", 2.0, 99.0)]);
    assert!(catalogue.is_loaded());
    assert_eq!(catalogue.age_s(9.0), None, "not read from the cloud");
    catalogue.set_offered(vec![machine_type("a", 1.0)], READ_AT);
    assert_eq!(catalogue.age_s(9.0), Some(2.0));
    catalogue.add_recorded([recorded("b", 2.0, 99.0)]);
    assert_eq!(cpus_and_zones(&catalogue), [(1.0, 1), (2.0, 0)]);
}
