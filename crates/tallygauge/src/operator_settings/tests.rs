use super::*;

#[test]
fn absent_elements_have_defaults_and_invalid_elements_are_rejected() {
    let settings = OperatorSettings::parse(
        "<tallygauge><worth><high>9</high></worth><idle-wait>2.5</idle-wait></tallygauge>",
    )
    .unwrap();
    assert_eq!(
        (
            settings.utility.high,
            settings.utility.low,
            settings.idle_timeout_boot_times
        ),
        (9.0, 1.0, 2.5)
    );
    assert_eq!(
        OperatorSettings::parse("<tallygauge/>").unwrap(),
        OperatorSettings::default()
    );
    for invalid in [
        "<tallygauge><idel-wait>2</idel-wait></tallygauge>",
        "<tallygauge><idle-wait>long</idle-wait></tallygauge>",
        "<tallygauge><idle-wait>-1</idle-wait></tallygauge>",
        "<tallygauge><late-worth>2</late-worth></tallygauge>",
        "<tallygauge><floor><share>1.5</share></floor></tallygauge>",
        "<tallygauge><floor><begin-within>-1</begin-within></floor></tallygauge>",
        "<tallygauge><weights><replica-risk>-1</replica-risk></weights></tallygauge>",
        "<tallygauge><worth><high>1</high></worth></tallygauge>",
    ] {
        assert!(
            OperatorSettings::parse(invalid).is_err(),
            "{invalid} was accepted"
        );
    }
}
