//! Settings and their errors.

use shallottackd::Settings;

use crate::support::settings;

fn error(text: &str) -> String {
    let report = miette::Report::new(Settings::parse("test.yaml", text).unwrap_err());
    let mut rendered = String::new();
    miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::unicode_nocolor())
        .render_report(&mut rendered, report.as_ref())
        .unwrap();
    rendered
}

/// Guards against a misspelt key that is silently ignored.
#[test]
fn an_unknown_key_is_named_with_its_line() {
    insta::assert_snapshot!(error(&settings("a").replace("data_centre", "datacentre")));
}

/// Guards against a typed value that is read as another type.
#[test]
fn a_malformed_address_is_named_with_its_line() {
    insta::assert_snapshot!(error(&settings("a").replacen("127.0.0.1:0", "127.0.0.1", 1)));
}

/// Guards against reporting only the first of several problems.
#[test]
fn all_ranges_are_checked_at_once() {
    let text = settings("a")
        .replace("mesh: mesh-token-of-the-tests", "mesh: short")
        .replace("announce: 127.0.0.1:0", "announce: 0.0.0.0:0")
        .replace("slots: 4", "slots: 0")
        + "limits:\n  body_bytes: 0\n";
    insta::assert_snapshot!(error(&text));
}
