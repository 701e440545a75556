use super::*;

fn mark(incarnation: u64, sequence: u64) -> SequenceMark {
    SequenceMark {
        incarnation,
        sequence,
    }
}

// A copy was answered as if its sender waited, and a dead machine's attempts were
// kept for as long as copies of its heartbeats arrived.
#[test]
fn only_a_message_overtaken_by_a_direct_reply_is_classified_as_overtaken() {
    let mut order = MessageOrder::default();
    order.advance(mark(2, 10), false, 100.0);
    assert_eq!(order.classify(mark(2, 11), 100.1, 4.0), Arrival::New);
    assert_eq!(order.classify(mark(3, 1), 100.1, 4.0), Arrival::New);
    assert_eq!(order.classify(mark(2, 10), 100.1, 4.0), Arrival::Old);
    assert_eq!(order.classify(mark(2, 9), 100.1, 4.0), Arrival::Old);
    order.advance(mark(2, 12), true, 101.0);
    assert_eq!(order.classify(mark(2, 11), 101.1, 4.0), Arrival::Overtaken);
    assert_eq!(order.classify(mark(1, 99), 101.1, 4.0), Arrival::Old);
    assert_eq!(
        order.classify(mark(2, 12), 101.1, 4.0),
        Arrival::Old,
        "itself"
    );
    assert_eq!(
        order.classify(mark(2, 11), 105.1, 4.0),
        Arrival::Old,
        "the sender has given up"
    );
}

#[test]
fn an_old_message_requests_one_liveness_probe_at_most() {
    let mut order = MessageOrder::default();
    assert!(!order.needs_liveness_probe());
    order.request_liveness_probe();
    assert!(order.needs_liveness_probe());
    order.liveness_probe_sent();
    assert!(!order.needs_liveness_probe());
    order.request_liveness_probe();
    order.advance(mark(1, 1), false, 1.0);
    assert!(!order.needs_liveness_probe(), "a new message answers it");
}
