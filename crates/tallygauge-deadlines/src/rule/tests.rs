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

fn unix_time(text: &str) -> f64 {
    text.parse::<Timestamp>()
        .unwrap()
        .as_duration()
        .as_secs_f64()
}

#[test]
fn windows_span_midnight_and_daylight_saving_changes() {
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
        let window = seoul.window_at(unix_time(at));
        assert_eq!(window.as_ref().map(|w| &*w.name), name, "{at}");
    }
    // From 18:00 to 8:00 are 13 hours in the night in which daylight saving time begins, and
    // 15 in the night in which it ends.
    let berlin = rule(
        "Europe/Berlin",
        CutoffDays::Daily,
        time(18, 0, 0, 0),
        1,
        time(8, 0, 0, 0),
    );
    let hours = |at: &str| {
        let window = berlin.window_at(unix_time(at)).unwrap();
        (window.cutoff - window.opens) / 3600.0
    };
    assert_eq!(hours("2026-03-28T20:00:00Z"), 13.0);
    assert_eq!(hours("2026-10-24T20:00:00Z"), 15.0);
    // A cutoff at 2:30, a time that is skipped when daylight saving time begins and occurs
    // twice when it ends.
    let mut cutoff_at_change = berlin.clone();
    cutoff_at_change.at = time(2, 30, 0, 0);
    assert_eq!(
        cutoff_at_change
            .window_at(unix_time("2026-03-28T20:00:00Z"))
            .unwrap()
            .cutoff,
        unix_time("2026-03-29T01:30:00Z")
    );
    assert_eq!(
        cutoff_at_change
            .window_at(unix_time("2026-10-24T20:00:00Z"))
            .unwrap()
            .cutoff,
        unix_time("2026-10-25T00:30:00Z")
    );
}

#[test]
fn weekday_and_month_end_cutoffs_are_on_working_days() {
    let mut month_end = rule(
        "Africa/Accra",
        CutoffDays::MonthEnd { before: 0 },
        time(0, 0, 0, 0),
        5,
        time(17, 0, 0, 0),
    );
    month_end.holidays.insert(date(2026, 12, 31));
    let cutoff_days = |rule: &CutoffRule, y, m| -> Vec<i8> {
        let days = (1..=31).filter_map(|d| Date::new(y, m, d).ok());
        days.filter(|d| rule.is_cutoff_day(*d))
            .map(Date::day)
            .collect()
    };
    assert_eq!(cutoff_days(&month_end, 2026, 11), [30]);
    assert_eq!(
        cutoff_days(&month_end, 2026, 12),
        [30],
        "the 31st is a holiday"
    );
    assert_eq!(
        cutoff_days(&month_end, 2027, 1),
        [29],
        "the 31st is a Sunday and the 30th a Saturday"
    );
    assert_eq!(
        cutoff_days(&month_end, 2028, 2),
        [29],
        "the last day is a leap day"
    );
    month_end.days = CutoffDays::MonthEnd { before: 3 };
    assert_eq!(cutoff_days(&month_end, 2026, 12), [25]);
    let inside = month_end
        .window_at(unix_time("2026-12-23T10:00:00Z"))
        .unwrap();
    assert_eq!(&*inside.name, "night@2026-12-25");
    assert_eq!(month_end.window_at(unix_time("2026-12-27T10:00:00Z")), None);
    let mut weekdays = month_end.clone();
    (weekdays.days, weekdays.opens_before) = (CutoffDays::Weekdays, 1);
    // Work accepted on Friday evening counts for Monday's cutoff only if the window opens
    // early enough.
    assert_eq!(weekdays.window_at(unix_time("2026-12-04T18:00:00Z")), None);
    weekdays.opens_before = 3;
    assert_eq!(
        &*weekdays
            .window_at(unix_time("2026-12-04T18:00:00Z"))
            .unwrap()
            .name,
        "night@2026-12-07"
    );
}

#[test]
fn invalid_rules_are_rejected_with_the_setting_named() {
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
    // Compares with a search over all days around the time.
    #[test]
    fn window_at_returns_the_earliest_window_that_contains_the_time(
        at in 1.76e9f64..1.83e9, opens in 0i8..24, cutoff in 0i8..24, before in 0u8..6, kind in 0u8..4, zone in 0usize..4,
    ) {
        let zones = ["Asia/Seoul", "Europe/Berlin", "America/New_York", "Africa/Accra"];
        let days = [CutoffDays::Daily, CutoffDays::Weekdays, CutoffDays::MonthEnd { before: 0 }, CutoffDays::MonthEnd { before: 2 }][usize::from(kind)];
        let mut rule = rule(zones[zone], days, time(opens, 0, 0, 0), before, time(cutoff, 30, 0, 0));
        rule.holidays.insert(date(2026, 12, 25));
        let today = Timestamp::from_second(at as i64).unwrap().to_zoned(rule.zone.clone()).date();
        let nearby_windows = (-3i64..50).filter_map(|n| rule.window_on(today.checked_add(n.days()).unwrap()));
        let containing = nearby_windows.filter(|w| w.opens <= at && at < w.cutoff);
        let expected = containing.min_by(|a, b| a.cutoff.total_cmp(&b.cutoff));
        prop_assert_eq!(rule.window_at(at), expected);
    }
}
