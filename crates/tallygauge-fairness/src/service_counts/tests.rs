use super::*;

#[test]
fn a_record_restores_the_counts_and_keeps_its_size_limit() {
    let mut counts = ServiceCounts::new(100.0);
    for n in 0..600u32 {
        // A hostile name is all escapes.
        let class = format!("\u{1}\u{2}class-{}", n % 300);
        let class = counts.group_id(GroupKind::Class, &class);
        let size = [f64::from(n), 1.0, 2.0];
        counts.record_opened(class, size);
        let groups = GroupIds {
            class,
            team: counts.group_id(GroupKind::Team, &format!("team-{}", n % 40)),
            largest: counts.largest_group_of_job(class, size),
        };
        counts.record_closed(class, size);
        let end = match n % 5 {
            0 => JobEnd::Cancelled {
                started: n % 2 == 0,
            },
            _ => JobEnd::Done { late: n % 3 == 0 },
        };
        counts.record_end(groups, end, 1e9 + f64::from(n));
    }
    assert!(counts.keys().len() <= (MAX_CLASSES + 1) * 2 + 40);
    let all = counts.to_record(1 << 20);
    let mut restored = ServiceCounts::new(100.0);
    assert!(restored.restore(all.clone()));
    assert!(restored.to_record(1 << 20) == all);
    let other_classes = restored.group_id(GroupKind::Class, OTHER_CLASSES);
    assert_eq!(
        restored.counts(other_classes).done,
        160,
        "two rounds of a hundred classes"
    );
    for limit in [100, 2_000, 7_000, 30_000] {
        let text = serde_json::to_string(&counts.to_record(limit)).unwrap();
        assert!(text.len() <= limit, "{} of {limit} bytes", text.len());
    }
    assert!(
        !restored.restore(ServiceCountsRecord::default()),
        "an unknown format"
    );
}
