use super::*;

fn mark(incarnation: u64, sequence: u64) -> SequenceMark {
    SequenceMark {
        incarnation,
        sequence,
    }
}

// Guards against classifying a late copy as overtaken: it would be responded to as if its
// sender were waiting, and the attempts of a dead machine would be kept for as long as
// copies of its heartbeats arrived.
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
        "a copy of the direct reply itself"
    );
    assert_eq!(
        order.classify(mark(2, 11), 105.1, 4.0),
        Arrival::Old,
        "the sender no longer waits for the response"
    );
}

#[test]
fn an_old_message_requests_at_most_one_liveness_probe() {
    let mut order = MessageOrder::default();
    assert!(!order.needs_liveness_probe());
    order.request_liveness_probe();
    assert!(order.needs_liveness_probe());
    order.liveness_probe_sent();
    assert!(!order.needs_liveness_probe());
    order.request_liveness_probe();
    order.advance(mark(1, 1), false, 1.0);
    assert!(
        !order.needs_liveness_probe(),
        "a new message makes the probe unnecessary"
    );
}
