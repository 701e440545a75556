use super::*;

/// Valid settings of a small deployment on loopback addresses.
fn valid_settings() -> serde_json::Value {
    serde_json::json!({
        "node_name": "n-0", "area": "a",
        "client_listen": "127.0.0.1:7080", "back": "127.0.0.1:7081",
        "seeds": [{"node_name": "n-1", "area": "b", "addr": "127.0.0.1:7181"}],
        "services": {"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"},
        "deployment": {
            "count": 2, "zones": ["a", "b"],
            "teams": [{"name": "t", "cpus": 8.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [{"kind": "finished", "class": "c", "within_s": 60.0, "share": 0.5}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 1.0, "gang_peer_s": 1.0, "cancel_s": 20.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 2.0},
            "quota": {"cores": 0.5, "memory_mb": 100.0, "sockets": 100}
        },
        "time_bound_ms": 5.0, "new_field": true
    })
}

// Guards against taking a limit of 0 as zero resources: jobs of a guest team,
// whose guarantee and limit are 0, were rejected permanently with status 422.
#[test]
fn a_limit_of_zero_means_no_limit() {
    let mut settings = valid_settings();
    let guest_team = serde_json::json!({"name": "g", "cpus": 0.0, "cpus_max": 0.0});
    settings["deployment"]["teams"]
        .as_array_mut()
        .unwrap()
        .push(guest_team);
    let teams = Settings::parse(&settings.to_string()).unwrap().teams();
    let limits: Vec<(f64, f64)> = teams
        .iter()
        .map(|t| (t.guaranteed_cpus, t.max_cpus))
        .collect();
    assert_eq!(limits, [(8.0, 16.0), (0.0, f64::INFINITY)]);
}

#[test]
fn errors_of_invalid_settings_name_the_field() {
    Settings::parse(&valid_settings().to_string()).unwrap();
    for (pointer, value, expected) in [
        (
            "/deployment/workers/lease_s",
            serde_json::json!(0),
            "lease_s",
        ),
        (
            "/deployment/quota/memory_mb",
            serde_json::json!(-1),
            "memory_mb",
        ),
        (
            "/seeds/0/addr",
            serde_json::json!("127.0.0.1:7081"),
            "seeds",
        ),
        (
            "/deployment/teams/0/cpus",
            serde_json::json!(-2),
            "teams[0]",
        ),
        ("/back", serde_json::json!("nowhere"), "line"),
    ] {
        let mut invalid = valid_settings();
        *invalid.pointer_mut(pointer).unwrap() = value;
        let error = Settings::parse(&invalid.to_string())
            .unwrap_err()
            .to_string();
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "{pointer}: {error}"
        );
    }
    let mut missing = valid_settings();
    missing["deployment"]
        .as_object_mut()
        .unwrap()
        .remove("state");
    assert!(
        Settings::parse(&missing.to_string())
            .unwrap_err()
            .to_string()
            .contains("state")
    );
    assert!(Settings::parse("{").is_err());
}
