use crate::operator_settings::OperatorSettings;

const VALID_SETTINGS: &str = r#"<tallygauge>
      <calendar version="4">
        <holiday>2026-12-25</holiday>
        <cutoff name="lectures" zone="Asia/Seoul" days="weekdays" opens="18:00" opens-before="1" at="08:00" classes="transcode-batch exam-rush"/>
        <cutoff name="exam-weeks" zone="Asia/Seoul" days="month-end" opens="00:00" opens-before="14" at="20:00"/>
      </calendar>
      <ledger version="3">
        <rank class="exam-rush" during="exam-weeks" value="90"/>
        <rank class="transcode-batch" team="campus-support" value="20"/>
      </ledger>
    </tallygauge>"#;

#[test]
fn cutoffs_and_ranks_are_converted_to_rules() {
    let settings = OperatorSettings::parse(VALID_SETTINGS).unwrap();
    let rules = settings.cutoffs.to_cutoff_rules().unwrap();
    assert_eq!(rules.len(), 2);
    assert!(rules[0].applies_to("exam-rush", "x") && !rules[0].applies_to("archive", "x"));
    let ranks = settings.ranks.to_declared_rules(&settings.cutoffs).unwrap();
    assert_eq!((ranks.version, ranks.rules.len()), (3, 2));
}

#[test]
fn errors_of_invalid_cutoffs_and_ranks_name_the_attribute() {
    for (valid, invalid, expected) in [
        ("2026-12-25", "christmas", "holiday"),
        ("Asia/Seoul", "Asia/Soul", "zone"),
        ("weekdays", "workdays", "days must be"),
        ("18:00", "six", "opens"),
        ("at=\"08:00\"", "at=\"25:00\"", "at must be"),
        ("opens-before=\"1\"", "opens-before=\"0\"", "opens-before"),
        ("\"exam-weeks\" zone", "\"lectures\" zone", "must be unique"),
        (
            "during=\"exam-weeks\"",
            "during=\"exams\"",
            "during 'exams'",
        ),
        ("value=\"90\"", "value=\"101\"", "from 0 to 100"),
        ("version=\"3\"", "version=\"0\"", "version"),
        (
            "<calendar version=\"4\"",
            "<calendar",
            "calendar must have a version",
        ),
        ("<ledger", "<ledger colour=\"red\"", "colour"),
    ] {
        let text = VALID_SETTINGS.replacen(valid, invalid, 1);
        assert_ne!(text, VALID_SETTINGS);
        let error = OperatorSettings::parse(&text)
            .expect_err(invalid)
            .to_string();
        assert!(error.contains(expected), "{invalid}: {error}");
    }
}
