//! Golden files of the stored records and of both settings files. They guard against
//! renames of types and fields that change the stored format, or the settings that
//! operators and the platform write.
//!
//! Each line of `tests/golden/records.txt` has the key of a record in the store, its
//! version and its value. The golden files must not be changed when types and fields
//! are renamed.

#![allow(clippy::unwrap_used, reason = "an unexpected value must fail the test")]

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use tallygauge::{
    deadline_settings::{CutoffEntry, CutoffSettings, RankEntry, RankSettings},
    machine_types::MachineTypesRecord,
    operator_settings::{
        LocalitySettings, MinimumShareSettings, OperatorSettings, UtilitySettings,
    },
    settings::Settings,
    store_keys::{
        active_job_key, completion_page_key, placement_batch_key, terminal_job_key,
        undelivered_starts_key,
    },
    user_api::{ActiveJobRecord, TerminalJobRecord},
};
use tallygauge_records::{Record, StoredRecord, decode, encode, record_name};
use tallygauge_scheduler::{
    CompletionPageRecord, DeadlineTracker, ImageLocations, PlacementBatchRecord, PriorityRules,
    ServiceCountsRecord, UndeliveredStartsRecord,
};

/// Deserializes a value as a record of a certain type and serializes it again.
type RoundTrip = fn(Value) -> Value;

/// Round trip of a record that is stored without an envelope.
fn round_trip_value<T: DeserializeOwned + Serialize>(value: Value) -> Value {
    let record: T = serde_json::from_value(value).unwrap();
    serde_json::to_value(&record).unwrap()
}

/// Round trip of a leader record, which is stored with the time of the write.
fn round_trip_record<T: Record>(value: Value) -> Value {
    match decode::<T>(Some(value)) {
        Ok(Some(StoredRecord { record, written_at })) => encode(&record, written_at).unwrap(),
        other => panic!("{}: {:?}", T::NAME, other.err()),
    }
}

/// Key of a leader record, or of one part of it.
fn record_key<T: Record>(part: Option<usize>) -> String {
    format!("s/{}", record_name::<T>(part))
}

#[test]
fn stored_records_keep_their_keys_and_serialized_form() {
    let round_trips: Vec<(String, RoundTrip)> = vec![
        (active_job_key("req-1"), round_trip_value::<ActiveJobRecord>),
        (active_job_key("req-2"), round_trip_value::<ActiveJobRecord>),
        (
            terminal_job_key("req-8"),
            round_trip_value::<TerminalJobRecord>,
        ),
        (
            terminal_job_key("req-9"),
            round_trip_value::<TerminalJobRecord>,
        ),
        (
            completion_page_key(0),
            round_trip_value::<CompletionPageRecord>,
        ),
        (
            placement_batch_key("2-1"),
            round_trip_value::<PlacementBatchRecord>,
        ),
        (
            placement_batch_key("2-2"),
            round_trip_value::<PlacementBatchRecord>,
        ),
        (
            undelivered_starts_key("2-1"),
            round_trip_value::<UndeliveredStartsRecord>,
        ),
        (
            record_key::<ServiceCountsRecord>(None),
            round_trip_record::<ServiceCountsRecord>,
        ),
        (
            record_key::<ImageLocations>(Some(0)),
            round_trip_record::<ImageLocations>,
        ),
        (
            record_key::<DeadlineTracker>(None),
            round_trip_record::<DeadlineTracker>,
        ),
        (
            record_key::<PriorityRules>(None),
            round_trip_record::<PriorityRules>,
        ),
        (
            record_key::<CutoffSettings>(None),
            round_trip_record::<CutoffSettings>,
        ),
        (
            record_key::<MachineTypesRecord>(Some(0)),
            round_trip_record::<MachineTypesRecord>,
        ),
    ];
    let lines: Vec<&str> = include_str!("golden/records.txt").lines().collect();
    assert_eq!(lines.len(), round_trips.len());
    for (line, (key, round_trip)) in lines.into_iter().zip(round_trips) {
        let fields: Vec<&str> = line.splitn(3, ' ').collect();
        assert_eq!(fields[0], key);
        let value = serde_json::from_str(fields[2]).unwrap();
        assert_eq!(round_trip(value).to_string(), fields[2], "{key}");
    }
}

#[test]
fn every_element_of_the_operator_settings_is_parsed() {
    let expected = OperatorSettings {
        max_round_interval_s: 11.0,
        min_round_interval_fraction: 0.06,
        min_remaining_s: 6.0,
        utility: UtilitySettings {
            low: 1.5,
            normal: 2.5,
            high: 8.5,
            production: 16.5,
        },
        late_utility_factor: 0.2,
        idle_timeout_boot_times: 1.75,
        rental_horizon_boot_times: 1.25,
        minimum_share: MinimumShareSettings {
            share: 0.7,
            start_within_s: 250.0,
        },
        locality: LocalitySettings {
            replica_risk_s: 61.0,
            min_recorded_fetch_s: 1.5,
        },
        cutoffs: CutoffSettings {
            version: 4,
            act_on_inferred: true,
            holidays: vec!["2026-12-25".into()],
            cutoffs: vec![CutoffEntry {
                name: "lectures".into(),
                zone: "Asia/Seoul".into(),
                days: "month-end".into(),
                before: 2,
                opens: "18:00".into(),
                opens_before: 1,
                at: "08:00".into(),
                classes: "w exam".into(),
                teams: "red blue".into(),
            }],
        },
        ranks: RankSettings {
            version: 3,
            ranks: vec![
                RankEntry {
                    class: Some("w".into()),
                    team: Some("red".into()),
                    during: Some("lectures".into()),
                    value: 90,
                },
                RankEntry {
                    class: None,
                    team: None,
                    during: None,
                    value: 10,
                },
            ],
        },
    };
    let parsed = OperatorSettings::parse(include_str!("golden/settings.xml"));
    assert_eq!(parsed.unwrap(), expected);
}

#[test]
fn every_field_of_the_platform_settings_is_parsed() {
    let settings = Settings::parse(include_str!("golden/settings.json")).unwrap();
    assert_eq!((&*settings.node_name, &*settings.zone), ("n-0", "a"));
    assert_eq!(settings.client_listen.port(), 7080);
    assert_eq!(settings.peer_listen.port(), 7081);
    assert_eq!(settings.peers.len(), 1);
    let peer = &settings.peers[0];
    assert_eq!((&*peer.node_name, peer.addr.port()), ("n-1", 7181));
    assert_eq!(settings.services.cloud.port(), 7001);
    assert_eq!(settings.services.store.port(), 7002);

    let deployment = &settings.deployment;
    assert_eq!(deployment.controller_count, 3);
    let teams = deployment.teams.iter();
    let teams: Vec<(&str, [f64; 4])> = teams
        .map(|t| {
            (
                &*t.name,
                [t.guaranteed_cpus, t.max_cpus, t.guaranteed_gpus, t.max_gpus],
            )
        })
        .collect();
    assert_eq!(
        teams,
        [("red", [8.0, 16.0, 2.0, 4.0]), ("guests", [0.0; 4])]
    );
    let objectives = deployment.objectives.iter();
    let objectives: Vec<_> = objectives
        .map(|o| (&*o.kind, o.class.as_deref(), o.within_s, o.deadline_factor))
        .collect();
    assert_eq!(
        objectives,
        [
            ("finished", Some("w"), Some(60.0), Some(1.5)),
            ("started", None, None, None)
        ]
    );
    let workers = &deployment.workers;
    let timeouts = (
        workers.heartbeat_interval_s,
        workers.lease_s,
        workers.cancel_timeout_s,
    );
    assert_eq!(timeouts, (1.0, 10.0, 20.0));
    let store = &deployment.store;
    let limits = (
        store.requests_per_s,
        store.writes_per_s,
        store.max_value_kib,
        store.max_writes_per_transaction,
    );
    assert_eq!(limits, (100.0, 50.0, 8.0, 16));
    let cloud = &deployment.cloud;
    assert_eq!((cloud.requests_per_s, cloud.list_lag_s), (4.0, 2.0));
    let resources = &deployment.resource_limits;
    let resource_limits = (resources.cores, resources.memory_mib, resources.connections);
    assert_eq!(resource_limits, (0.5, 128.0, 200));
}
