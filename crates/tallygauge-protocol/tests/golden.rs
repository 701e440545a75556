//! Golden tests of the wire format: each message must be read and written unchanged, byte for
//! byte. They fail if renaming a type or a field changes the format.
//!
//! Each line of `tests/golden/*.txt` has the name of a sample and the message as text
//! (protobuf in hexadecimal). These files are never changed when types or fields are renamed.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

use serde::{Serialize, de::DeserializeOwned};
use tallygauge_protocol::{cloud, peer, state, users, workers};

/// Deserializes a message as a certain type and serializes it again.
type RoundTrip = fn(&str) -> String;

fn round_trip_json<T: DeserializeOwned + Serialize>(text: &str) -> String {
    let message: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"));
    serde_json::to_string(&message).unwrap()
}

fn round_trip_protobuf<T: prost::Message + Default>(text: &str) -> String {
    let bytes: Vec<u8> = (0..text.len())
        .step_by(2)
        .map(|offset| u8::from_str_radix(&text[offset..offset + 2], 16).unwrap())
        .collect();
    let message = T::decode(bytes.as_slice()).unwrap();
    let encoded = message.encode_to_vec();
    encoded.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that all samples of a golden file round-trip unchanged. `samples` (the file) and
/// `types` must have the same names in the same order.
fn assert_round_trips_unchanged(samples: &str, types: &[(&str, RoundTrip)]) {
    let lines = samples.lines().map(|line| line.split_once(' ').unwrap());
    let lines: Vec<(&str, &str)> = lines.collect();
    let sample_names: Vec<&str> = lines.iter().map(|line| line.0).collect();
    let type_names: Vec<&str> = types.iter().map(|entry| entry.0).collect();
    assert_eq!(
        sample_names, type_names,
        "samples in the golden file (left) do not match the types in the test (right)"
    );
    for ((name, text), (_, round_trip)) in lines.into_iter().zip(types) {
        assert_eq!(round_trip(text), text, "sample {name} changed");
    }
}

#[test]
fn user_messages_round_trip_unchanged() {
    assert_round_trips_unchanged(
        include_str!("golden/users.txt"),
        &[
            ("submission-array", round_trip_json::<users::JobSpec>),
            ("submission-service", round_trip_json::<users::JobSpec>),
            ("answer-full", round_trip_json::<users::JobResponse>),
            ("answer-absent", round_trip_json::<users::JobResponse>),
            ("refusal", round_trip_json::<users::ErrorResponse>),
            ("shapes", round_trip_json::<Vec<users::Shape>>),
            ("priorities", round_trip_json::<Vec<users::Priority>>),
            ("statuses", round_trip_json::<Vec<users::JobStatus>>),
        ],
    );
}

#[test]
fn worker_messages_round_trip_unchanged() {
    assert_round_trips_unchanged(
        include_str!("golden/workers.txt"),
        &[
            ("report-full", round_trip_json::<workers::Heartbeat>),
            ("report-absent", round_trip_json::<workers::Heartbeat>),
            ("task-states", round_trip_json::<Vec<workers::TaskState>>),
            ("end-causes", round_trip_json::<Vec<workers::EndCause>>),
            ("answer", round_trip_json::<workers::HeartbeatResponse>),
            (
                "direct-commands",
                round_trip_json::<workers::DirectCommands>,
            ),
            ("redirect-known", round_trip_json::<workers::Redirect>),
            ("redirect-unknown", round_trip_json::<workers::Redirect>),
        ],
    );
}

#[test]
fn cloud_messages_round_trip_unchanged() {
    assert_round_trips_unchanged(
        include_str!("golden/cloud.txt"),
        &[
            ("catalogue", round_trip_json::<cloud::Catalogue>),
            ("rent-request", round_trip_json::<cloud::RentRequest>),
            ("machine-names", round_trip_json::<cloud::MachineNames>),
            ("machine-page", round_trip_json::<cloud::MachinePage>),
            (
                "machine-states",
                round_trip_json::<Vec<cloud::MachineState>>,
            ),
        ],
    );
}

#[test]
fn store_messages_round_trip_unchanged() {
    assert_round_trips_unchanged(
        include_str!("golden/state.txt"),
        &[
            ("row", round_trip_json::<state::KeyValue>),
            ("revision", round_trip_json::<state::RevisionResponse>),
            ("page", round_trip_json::<state::ListResponse>),
            ("transaction-full", round_trip_json::<state::Transaction>),
            (
                "transaction-guards-only",
                round_trip_json::<state::Transaction>,
            ),
            ("conflict", round_trip_json::<state::ConflictResponse>),
            ("lease-request", round_trip_json::<state::LeaseRequest>),
            ("lease", round_trip_json::<state::LeaseResponse>),
            ("changes", round_trip_json::<state::WatchResponse>),
        ],
    );
}

#[test]
fn peer_messages_round_trip_unchanged() {
    assert_round_trips_unchanged(
        include_str!("golden/peers.txt"),
        &[
            ("relay-request", round_trip_protobuf::<peer::RelayRequest>),
            ("relay-reply", round_trip_protobuf::<peer::RelayReply>),
            (
                "announcement-full",
                round_trip_protobuf::<peer::Announcement>,
            ),
            (
                "announcement-absent",
                round_trip_protobuf::<peer::Announcement>,
            ),
            (
                "progress-request",
                round_trip_protobuf::<peer::ProgressRequest>,
            ),
            ("progress-reply", round_trip_protobuf::<peer::ProgressReply>),
        ],
    );
}
