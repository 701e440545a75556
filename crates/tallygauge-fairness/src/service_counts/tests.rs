use super::*;

#[test]
fn record_restores_counts_and_respects_size_limit() {
    let mut counts = ServiceCounts::new(100.0);
    for n in 0..600u32 {
        // Control characters take the most bytes in JSON, as each is escaped.
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
    let full_record = counts.to_record(1 << 20);
    let mut restored = ServiceCounts::new(100.0);
    assert!(restored.restore(full_record.clone()));
    assert!(restored.to_record(1 << 20) == full_record);
    let other_classes = restored.group_id(GroupKind::Class, OTHER_CLASSES);
    assert_eq!(
        restored.counts(other_classes).done,
        160,
        "80 done jobs in each of two passes over the 100 classes beyond the limit"
    );
    for limit in [100, 2_000, 7_000, 30_000] {
        let text = serde_json::to_string(&counts.to_record(limit)).unwrap();
        assert!(text.len() <= limit, "{} of {limit} bytes", text.len());
    }
    assert!(
        !restored.restore(ServiceCountsRecord::default()),
        "the format version is unknown"
    );
}
