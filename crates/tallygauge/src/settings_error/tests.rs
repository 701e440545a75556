use crate::{operator_settings::OperatorSettings, settings::Settings};
use std::path::Path;

fn valid_platform_settings() -> serde_json::Value {
    serde_json::json!({
        "node_name": "n-0", "area": "a",
        "client_listen": "127.0.0.1:7080", "back": "127.0.0.1:7081",
        "seeds": [{"node_name": "n-1", "addr": "127.0.0.1:7181"}],
        "services": {"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"},
        "deployment": {
            "count": 2,
            "teams": [
                {"name": "red", "cpus": 8.0, "cpus_max": 16.0},
                {"name": "blue", "cpus": 8.0, "cpus_max": 16.0},
            ],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 20.0},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 2.0},
            "quota": {"cores": 0.5, "memory_mb": 100.0, "sockets": 100},
        },
    })
}

#[test]
fn faults_of_the_platform_settings_have_one_line_messages() {
    for (pointer, value, message) in [
        (
            "/deployment/workers/report_s",
            serde_json::json!(0),
            "deployment.workers.report_s must be above 0, not 0",
        ),
        (
            "/deployment/quota/cores",
            serde_json::json!(-1.5),
            "deployment.quota.cores must be above 0, not -1.5",
        ),
        (
            "/deployment/cloud/list_lag_s",
            serde_json::json!(-1),
            "deployment.cloud.list_lag_s must not be negative",
        ),
        (
            "/deployment/workers/report_s",
            serde_json::json!(6),
            "deployment.workers.lease_s must be at least twice report_s",
        ),
        (
            "/deployment/workers/cancel_s",
            serde_json::json!(10),
            "deployment.workers.cancel_s must be above lease_s",
        ),
        (
            "/deployment/state/txn_ops",
            serde_json::json!(3),
            "deployment.state.txn_ops must be at least 4",
        ),
        (
            "/deployment/quota/sockets",
            serde_json::json!(0),
            "deployment.quota.sockets must be above 0",
        ),
        (
            "/deployment/teams/1/cpus_max",
            serde_json::json!(-2),
            "deployment.teams[1]: amounts must not be negative",
        ),
        (
            "/deployment/teams/1/name",
            serde_json::json!("red"),
            "deployment.teams[1].name 'red' occurs twice",
        ),
        (
            "/seeds/0/addr",
            serde_json::json!("127.0.0.1:7081"),
            "seeds: address 127.0.0.1:7081 is already used by back",
        ),
        (
            "/seeds/0/node_name",
            serde_json::json!("n-0"),
            "seeds: node_name 'n-0' occurs twice",
        ),
        (
            "/deployment/count",
            serde_json::json!("two"),
            "invalid type: string \"two\", expected u32 at line 1 column 133",
        ),
    ] {
        let mut settings = valid_platform_settings();
        *settings.pointer_mut(pointer).unwrap() = value;
        let error = Settings::parse(&settings.to_string()).unwrap_err();
        assert_eq!(error.to_string(), message);
    }
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
#[test]
fn faults_of_the_operator_settings_have_one_line_messages() {
    let cutoff = |attributes: &str| {
        format!(
            r#"<calendar version="1"><cutoff name="night" zone="UTC" days="daily" {attributes}/></calendar>"#
        )
    };
    let valid_cutoff = r#"opens="01:00" at="08:00""#;
    for (content, message) in [
        (
            "<idle-wait>-1</idle-wait>".to_string(),
            "idle-wait must be above 0, not -1",
        ),
        (
            "<late-worth>2</late-worth>".into(),
            "late-worth must be from 0 to 1",
        ),
        (
            "<floor><share>1.5</share></floor>".into(),
            "floor/share must be from 0 to 1, not 1.5",
        ),
        (
            "<floor><begin-within>-1</begin-within></floor>".into(),
            "floor/begin-within must be 0 or more, not -1",
        ),
        (
            "<weights><remember-from>-1</remember-from></weights>".into(),
            "weights/remember-from must be 0 or more, not -1",
        ),
        (
            "<worth><high>1</high></worth>".into(),
            "worth must not decrease from low to production",
        ),
        (
            "<calendar><holiday>christmas</holiday></calendar>".into(),
            "calendar/holiday must be a date such as 2026-12-25, not 'christmas'",
        ),
        (
            cutoff(valid_cutoff).replace(" version=\"1\"", ""),
            "calendar must have a version above 0 that is raised with every change",
        ),
        (
            cutoff(valid_cutoff).replace("daily", "workdays"),
            "calendar/cutoff 'night': days must be daily, weekdays or month-end",
        ),
        (
            cutoff(valid_cutoff).replace("UTC", "Asia/Soul"),
            "calendar/cutoff 'night': zone must be an IANA time zone such as Asia/Seoul",
        ),
        (
            cutoff(r#"opens="six" at="25:00""#),
            "calendar/cutoff 'night': at must be a time such as 08:00",
        ),
        (
            cutoff(r#"opens="six" at="08:00""#),
            "calendar/cutoff 'night': opens must be a time such as 18:00",
        ),
        (
            cutoff(r#"opens="09:00" at="08:00""#),
            "calendar/cutoff 'night': the window must open before the cutoff: set opens-before",
        ),
        (
            cutoff(r#"opens="09:00" at="08:00" opens-before="36""#),
            "calendar/cutoff 'night': opens-before must be at most 35 days",
        ),
        (
            cutoff(valid_cutoff)
                .replace("night", "")
                .replace("daily", "weekdays"),
            "calendar/cutoff '': name must have 1 to 60 bytes",
        ),
        (
            cutoff(r#"opens="01:00" at="08:00" before="16""#).replace("daily", "month-end"),
            "calendar/cutoff 'night': before must be at most 15 working days",
        ),
        (
            r#"<calendar version="1"><cutoff name="n" zone="UTC" days="daily" opens="01:00" at="08:00"/><cutoff name="n" zone="UTC" days="daily" opens="01:00" at="08:00"/></calendar>"#.into(),
            "calendar/cutoff 'n': name must be unique",
        ),
        (
            r#"<ledger version="1"><rank value="101"/></ledger>"#.into(),
            "ledger/rank value must be from 0 to 100, not 101",
        ),
        (
            r#"<ledger version="1"><rank during="exams" value="1"/></ledger>"#.into(),
            "ledger/rank during 'exams' does not name a cutoff of the calendar",
        ),
        (
            r#"<ledger><rank value="1"/></ledger>"#.into(),
            "ledger must have a version above 0 that is raised with every change",
        ),
    ] {
        let text = format!("<tallygauge>{content}</tallygauge>");
        let error = OperatorSettings::parse(&text).unwrap_err();
        assert_eq!(error.to_string(), message, "{text}");
    }
}

#[test]
fn the_error_of_an_unreadable_file_names_its_path() {
    let path = Path::new("/nonexistent/settings");
    let platform = Settings::load(path).unwrap_err().to_string();
    let prefix = "settings /nonexistent/settings: can't be read: ";
    assert!(platform.starts_with(prefix), "{platform}");
    let operator = OperatorSettings::load(path).unwrap_err().to_string();
    let prefix = "/nonexistent/settings: can't be read: ";
    assert!(operator.starts_with(prefix), "{operator}");
}
