use super::*;

const SUBMISSION: &str = r#"{"nameId":"req-000412","workload":"train","owner":"vision","shape":"array","urgency":"urgent","pieces":16,
     "cores":8.0,"gpus":1.0,"memGb":64.0,"bundle":"img-07","pullGb":6.2,
     "builds":["g8"],"site":null,"oneZone":true,"spread":false,"borrowed":true,
     "expectedS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0,"later":1}"#;

#[test]
fn job_spec_round_trips_and_ignores_unknown_fields() {
    let spec: JobSpec = serde_json::from_str(SUBMISSION).unwrap();
    assert_eq!(spec.priority, Priority::High);
    assert_eq!(spec.machine_types.as_deref(), Some(&["g8".to_string()][..]));
    spec.validate().unwrap();
    let json = serde_json::to_string(&spec).unwrap();
    assert!(json.contains("\"urgency\":\"urgent\"") && json.contains("\"shape\":\"array\""));
    assert_eq!(serde_json::from_str::<JobSpec>(&json).unwrap(), spec);
}

#[test]
fn invalid_submissions_are_rejected() {
    let valid: serde_json::Value = serde_json::from_str(SUBMISSION).unwrap();
    for (field, value) in [
        ("pieces", serde_json::json!(0)),
        ("pieces", serde_json::json!(100_001)),
        ("pieces", serde_json::json!(1.5)),
        ("cores", serde_json::json!(-1)),
        ("shape", serde_json::json!("ring")),
        ("urgency", serde_json::json!("meh")),
        ("nameId", serde_json::json!("req-x")),
        ("oneZone", serde_json::json!(null)),
    ] {
        let mut body = valid.clone();
        body[field] = value.clone();
        let result = serde_json::from_value::<JobSpec>(body)
            .map_err(|e| e.to_string())
            .and_then(|spec| spec.validate().map_err(|e| e.to_string()));
        assert!(result.is_err(), "{field} = {value} was accepted");
    }
}
