use super::*;
use jiff::civil::{date, time};
use proptest::prelude::*;

fn rule(zone: &str, days: CutoffDays, opens: Time, before: u8, at: Time) -> CutoffRule {
    CutoffRule {
        name: "night".into(),
        zone: TimeZone::get(zone).unwrap(),
        classes: BTreeSet::new(),
        teams: BTreeSet::new(),
        days,
        at,
        opens,
        opens_before: before,
        holidays: BTreeSet::new(),
    }
}

fn timestamp(text: &str) -> f64 {
    text.parse::<Timestamp>()
        .unwrap()
        .as_duration()
        .as_secs_f64()
}

#[test]
fn a_window_spans_midnight_and_changes_of_daylight_saving() {
    let seoul = rule(
        "Asia/Seoul",
        CutoffDays::Daily,
        time(18, 0, 0, 0),
        1,
        time(8, 0, 0, 0),
    );
    seoul.validate().unwrap();
    for (at, name) in [
        ("2026-12-02T08:59:59Z", None), // 17:59:59 in Seoul
        ("2026-12-02T09:00:00Z", Some("night@2026-12-03")),
        ("2026-12-02T22:59:59Z", Some("night@2026-12-03")),
        ("2026-12-02T23:00:00Z", None),
    ] {
        let window = seoul.window_at(timestamp(at));
        assert_eq!(window.as_ref().map(|d| &*d.name), name, "{at}");
    }
    // The night in which clocks go forward has 13 hours, the other one 15.
    let berlin = rule(
        "Europe/Berlin",
        CutoffDays::Daily,
        time(18, 0, 0, 0),
        1,
        time(8, 0, 0, 0),
    );
    let hours = |at: &str| {
        let window = berlin.window_at(timestamp(at)).unwrap();
        (window.cutoff - window.opens) / 3600.0
    };
    assert_eq!(hours("2026-03-28T20:00:00Z"), 13.0);
    assert_eq!(hours("2026-10-24T20:00:00Z"), 15.0);
    // A cutoff at a time that is skipped, and at one that comes twice.
    let mut odd = berlin.clone();
    odd.at = time(2, 30, 0, 0);
    assert_eq!(
        odd.window_at(timestamp("2026-03-28T20:00:00Z"))
            .unwrap()
            .cutoff,
        timestamp("2026-03-29T01:30:00Z")
    );
    assert_eq!(
        odd.window_at(timestamp("2026-10-24T20:00:00Z"))
            .unwrap()
            .cutoff,
        timestamp("2026-10-25T00:30:00Z")
    );
}

#[test]
fn month_end_cutoffs_are_on_working_days() {
    let mut accra = rule(
        "Africa/Accra",
        CutoffDays::MonthEnd { before: 0 },
        time(0, 0, 0, 0),
        5,
        time(17, 0, 0, 0),
    );
    accra.holidays.insert(date(2026, 12, 31));
    let cutoff_days = |rule: &CutoffRule, y, m| -> Vec<i8> {
        let days = (1..=31).filter_map(|d| Date::new(y, m, d).ok());
        days.filter(|d| rule.is_cutoff_day(*d))
            .map(Date::day)
            .collect()
    };
    assert_eq!(cutoff_days(&accra, 2026, 11), [30]);
    assert_eq!(cutoff_days(&accra, 2026, 12), [30], "a holiday");
    assert_eq!(cutoff_days(&accra, 2027, 1), [29], "a Sunday");
    assert_eq!(cutoff_days(&accra, 2028, 2), [29], "a leap day");
    accra.days = CutoffDays::MonthEnd { before: 3 };
    assert_eq!(cutoff_days(&accra, 2026, 12), [25]);
    let inside = accra.window_at(timestamp("2026-12-23T10:00:00Z")).unwrap();
    assert_eq!(&*inside.name, "night@2026-12-25");
    assert_eq!(accra.window_at(timestamp("2026-12-27T10:00:00Z")), None);
    let mut weekdays = accra.clone();
    (weekdays.days, weekdays.opens_before) = (CutoffDays::Weekdays, 1);
    // Friday evening's work is due on Monday only if the window says so.
    assert_eq!(weekdays.window_at(timestamp("2026-12-04T18:00:00Z")), None);
    weekdays.opens_before = 3;
    assert_eq!(
        &*weekdays
            .window_at(timestamp("2026-12-04T18:00:00Z"))
            .unwrap()
            .name,
        "night@2026-12-07"
    );
}

#[test]
fn invalid_rules_are_refused_with_the_field_named() {
    let valid = rule(
        "UTC",
        CutoffDays::Daily,
        time(1, 0, 0, 0),
        0,
        time(8, 0, 0, 0),
    );
    assert!(valid.validate().is_ok());
    let mut invalid = valid.clone();
    invalid.opens = time(9, 0, 0, 0);
    assert!(
        invalid
            .validate()
            .unwrap_err()
            .to_string()
            .contains("opens-before")
    );
    invalid.opens_before = 200;
    assert!(invalid.validate().unwrap_err().to_string().contains("35"));
    invalid = valid;
    invalid.name = String::new();
    assert!(invalid.validate().unwrap_err().to_string().contains("name"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(83), failure_persistence: None, ..ProptestConfig::default() })]
    // All days around are tried one by one.
    #[test]
    fn the_window_found_is_the_earliest_that_contains_the_time(
        at in 1.76e9f64..1.83e9, opens in 0i8..24, cutoff in 0i8..24, before in 0u8..6, kind in 0u8..4, zone in 0usize..4,
    ) {
        let zones = ["Asia/Seoul", "Europe/Berlin", "America/New_York", "Africa/Accra"];
        let days = [CutoffDays::Daily, CutoffDays::Weekdays, CutoffDays::MonthEnd { before: 0 }, CutoffDays::MonthEnd { before: 2 }][usize::from(kind)];
        let mut rule = rule(zones[zone], days, time(opens, 0, 0, 0), before, time(cutoff, 30, 0, 0));
        rule.holidays.insert(date(2026, 12, 25));
        let today = Timestamp::from_second(at as i64).unwrap().to_zoned(rule.zone.clone()).date();
        let all = (-3i64..50).filter_map(|n| rule.window_on(today.checked_add(n.days()).unwrap()));
        let within = all.filter(|d| d.opens <= at && at < d.cutoff);
        let plain = within.min_by(|a, b| a.cutoff.total_cmp(&b.cutoff));
        prop_assert_eq!(rule.window_at(at), plain);
    }
}
