use super::*;

#[test]
fn messages_round_trip() {
    let transaction_json = r#"{"guards":[{"path":"a/b","stamp":0}],"writes":[{"set":"a/b","value":{"x":1},"permit":7},{"remove":"c/d"}]}"#;
    let transaction: Transaction = serde_json::from_str(transaction_json).unwrap();
    assert!(matches!(&transaction.writes[1], Write::Remove { key } if key == "c/d"));
    assert_eq!(
        serde_json::to_string(&transaction).unwrap(),
        transaction_json
    );
    let watch_json = r#"{"epoch":433,"news":[{"set":"c/9","value":{},"stamp":433},{"remove":"c/d","stamp":432}]}"#;
    let watch: WatchResponse = serde_json::from_str(watch_json).unwrap();
    assert_eq!(watch.events.len(), 2);
    assert_eq!(serde_json::to_string(&watch).unwrap(), watch_json);
}
