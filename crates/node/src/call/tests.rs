use super::LineProgress;

#[test]
fn a_host_may_have_run_a_call_once_any_byte_of_its_line_was_sent() {
    let table = [
        (0, None, LineProgress::Unsent, false),
        (0, Some(40), LineProgress::Unsent, false),
        (1, Some(40), LineProgress::Partial, true),
        (39, Some(40), LineProgress::Partial, true),
        (40, Some(40), LineProgress::Whole, true),
        // Lines of the client follow on an open connection.
        (90, Some(40), LineProgress::Whole, true),
    ];
    for (bytes_sent, line_length, expected, may_have_run) in table {
        let progress = LineProgress::new(bytes_sent, line_length);
        assert_eq!(progress, expected, "{bytes_sent} of {line_length:?}");
        assert_eq!(progress.may_have_run(), may_have_run, "{bytes_sent} of {line_length:?}");
    }
}
