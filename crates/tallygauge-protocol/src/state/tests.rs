use super::*;

#[test]
fn examples_round_trip() {
    let text = r#"{"guards":[{"path":"a/b","stamp":0}],"writes":[{"set":"a/b","value":{"x":1},"permit":7},{"remove":"c/d"}]}"#;
    let txn: Transaction = serde_json::from_str(text).unwrap();
    assert!(matches!(&txn.writes[1], Write::Remove { key } if key == "c/d"));
    assert_eq!(serde_json::to_string(&txn).unwrap(), text);
    let news = r#"{"epoch":433,"news":[{"set":"c/9","value":{},"stamp":433},{"remove":"c/d","stamp":432}]}"#;
    let changes: WatchResponse = serde_json::from_str(news).unwrap();
    assert_eq!(changes.events.len(), 2);
    assert_eq!(serde_json::to_string(&changes).unwrap(), news);
}
