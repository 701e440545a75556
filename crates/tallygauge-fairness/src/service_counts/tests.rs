use super::*;

#[test]
fn what_is_kept_comes_back_and_fits() {
    let mut book = ServiceCounts::new(100.0);
    for n in 0..600u32 {
        // A hostile name is all escapes.
        let class = format!("\u{1}\u{2}class-{}", n % 300);
        let class = book.group_id(GroupKind::Class, &class);
        let size = [f64::from(n), 1.0, 2.0];
        book.record_opened(class, size);
        let places = GroupIds {
            class,
            team: book.group_id(GroupKind::Team, &format!("team-{}", n % 40)),
            largest: book.largest_group_of_job(class, size),
        };
        book.record_closed(class, size);
        let end = match n % 5 {
            0 => JobEnd::Cancelled {
                started: n % 2 == 0,
            },
            _ => JobEnd::Done { late: n % 3 == 0 },
        };
        book.record_end(places, end, 1e9 + f64::from(n));
    }
    assert!(book.keys().len() <= (MAX_CLASSES + 1) * 2 + 40);
    let all = book.to_record(1 << 20);
    let mut back = ServiceCounts::new(100.0);
    assert!(back.restore(all.clone()));
    assert!(back.to_record(1 << 20) == all);
    let others = back.group_id(GroupKind::Class, OTHERS);
    assert_eq!(
        back.counts(others).done,
        160,
        "two rounds of a hundred classes"
    );
    for limit in [100, 2_000, 7_000, 30_000] {
        let text = serde_json::to_string(&book.to_record(limit)).unwrap();
        assert!(text.len() <= limit, "{} of {limit} bytes", text.len());
    }
    assert!(
        !back.restore(ServiceCountsRecord::default()),
        "an unknown format"
    );
}
