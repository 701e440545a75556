//! Golden messages: what goes over the wire must stay as it is, byte for byte.
//!
//! Each line of `tests/golden/*.txt` has the name of a sample and the message as
//! text (protobuf in hexadecimal). The files are never changed along with the
//! names of types and fields.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends on a value that it does not expect"
)]

use serde::{Serialize, de::DeserializeOwned};
use tallygauge_protocol::{cloud, peer, state, users, workers};

/// Reads a message with its type, and writes it again.
type Rewrite = fn(&str) -> String;

fn json<T: DeserializeOwned + Serialize>(text: &str) -> String {
    let message: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"));
    serde_json::to_string(&message).unwrap()
}

fn protobuf<T: prost::Message + Default>(text: &str) -> String {
    let bytes: Vec<u8> = (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect();
    let message = T::decode(bytes.as_slice()).unwrap();
    let written = message.encode_to_vec();
    written.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Rewrites all samples of a file; each must have its type here, and each type
/// its sample there.
fn rewrite_all(samples: &str, types: &[(&str, Rewrite)]) {
    let lines = samples.lines().map(|line| line.split_once(' ').unwrap());
    let lines: Vec<(&str, &str)> = lines.collect();
    let names: Vec<&str> = lines.iter().map(|line| line.0).collect();
    let expected: Vec<&str> = types.iter().map(|entry| entry.0).collect();
    assert_eq!(names, expected, "samples in the file and types in the test");
    for ((name, text), (_, rewrite)) in lines.into_iter().zip(types) {
        assert_eq!(rewrite(text), text, "{name}");
    }
}

#[test]
fn users_messages_are_read_and_written_unchanged() {
    rewrite_all(
        include_str!("golden/users.txt"),
        &[
            ("submission-array", json::<users::JobSpec>),
            ("submission-service", json::<users::JobSpec>),
            ("answer-full", json::<users::JobResponse>),
            ("answer-absent", json::<users::JobResponse>),
            ("refusal", json::<users::ErrorResponse>),
            ("shapes", json::<Vec<users::Shape>>),
            ("priorities", json::<Vec<users::Priority>>),
            ("statuses", json::<Vec<users::JobStatus>>),
        ],
    );
}

#[test]
fn workers_messages_are_read_and_written_unchanged() {
    rewrite_all(
        include_str!("golden/workers.txt"),
        &[
            ("report-full", json::<workers::Heartbeat>),
            ("report-absent", json::<workers::Heartbeat>),
            ("task-states", json::<Vec<workers::TaskState>>),
            ("end-causes", json::<Vec<workers::EndCause>>),
            ("answer", json::<workers::HeartbeatResponse>),
            ("direct-commands", json::<workers::DirectCommands>),
            ("redirect-known", json::<workers::Redirect>),
            ("redirect-unknown", json::<workers::Redirect>),
        ],
    );
}

#[test]
fn cloud_messages_are_read_and_written_unchanged() {
    rewrite_all(
        include_str!("golden/cloud.txt"),
        &[
            ("catalogue", json::<cloud::Catalogue>),
            ("rent-request", json::<cloud::RentRequest>),
            ("machine-names", json::<cloud::MachineNames>),
            ("machine-page", json::<cloud::MachinePage>),
            ("machine-states", json::<Vec<cloud::MachineState>>),
        ],
    );
}

#[test]
fn state_service_messages_are_read_and_written_unchanged() {
    rewrite_all(
        include_str!("golden/state.txt"),
        &[
            ("row", json::<state::KeyValue>),
            ("revision", json::<state::RevisionResponse>),
            ("page", json::<state::ListResponse>),
            ("transaction-full", json::<state::Transaction>),
            ("transaction-guards-only", json::<state::Transaction>),
            ("conflict", json::<state::ConflictResponse>),
            ("lease-request", json::<state::LeaseRequest>),
            ("lease", json::<state::LeaseResponse>),
            ("changes", json::<state::WatchResponse>),
        ],
    );
}

#[test]
fn peers_messages_are_read_and_written_unchanged() {
    rewrite_all(
        include_str!("golden/peers.txt"),
        &[
            ("relay-request", protobuf::<peer::RelayRequest>),
            ("relay-reply", protobuf::<peer::RelayReply>),
            ("announcement-full", protobuf::<peer::Announcement>),
            ("announcement-absent", protobuf::<peer::Announcement>),
            ("progress-request", protobuf::<peer::ProgressRequest>),
            ("progress-reply", protobuf::<peer::ProgressReply>),
        ],
    );
}
