//! Guards against faulty configurations that are accepted, or refused without the field and line.

use conf::ConfError;
use rstest::rstest;

const VALID: &str = r#"
[fleet]
shares = 256

[[service]]
name = "sacristia"
floor = 0.6

[[customer]]
name = "orosi"
rate = 10
burst = 10

[[route]]
name = "stock"
prefix = "/stock"
service = "sacristia"
"#;

fn fault_in(text: &str) -> ConfError {
    let source = match conf::source::parse("fleet.toml", text) {
        Ok(source) => source,
        Err(e) => return e,
    };
    conf::locate_error(conf::compile(&source, 1).expect_err("a fault"), "fleet.toml", text)
}

#[rstest]
#[case::shares_too_few("shares = 256", "shares = 63", "fleet.shares", 3)]
#[case::shares_too_many("shares = 256", "shares = 1025", "fleet.shares", 3)]
#[case::fresh_too_short("shares = 256", "fresh_ms = 10", "fleet.fresh_ms", 3)]
#[case::floor_above_one("floor = 0.6", "floor = 1.2", "service[sacristia].floor", 7)]
#[case::rate_negative("rate = 10", "rate = -1", "customer[orosi].rate", 11)]
#[case::rate_not_a_number("rate = 10", "rate = nan", "customer[orosi].rate", 11)]
#[case::burst_below_one("burst = 10", "burst = 0.5", "customer[orosi].burst", 12)]
#[case::unknown_service("service = \"sacristia\"", "service = \"x\"", "route[stock].service", 17)]
#[case::prefix_without_slash("\"/stock\"", "\"stock\"", "route[stock].prefix", 16)]
#[case::route_of_no_customer("prefix", "customer = \"x\"\nprefix", "route[stock].customer", 16)]
fn fault_names_field_and_line(#[case] from: &str, #[case] to: &str, #[case] field: &str, #[case] line: u32) {
    let e = fault_in(&VALID.replacen(from, to, 1));
    assert_eq!((&*e.file, &*e.field, e.line), ("fleet.toml", field, Some(line)), "{e}");
}

#[rstest]
fn unknown_field_is_refused_with_its_line() {
    let e = fault_in(&VALID.replacen("floor", "flor", 1));
    assert_eq!((&*e.file, e.line), ("fleet.toml", Some(7)), "{e}");
}

#[rstest]
#[case::service("[[service]]\nname = \"sacristia\"\n", "service[sacristia].name")]
#[case::customer("[[customer]]\nname = \"orosi\"\nrate = 1\nburst = 1\n", "customer[orosi].name")]
#[case::route("[[route]]\nname = \"stock\"\nprefix = \"/x\"\nservice = \"sacristia\"\n", "route[stock].name")]
fn duplicate_name_is_refused(#[case] extra: &str, #[case] field: &str) {
    let e = fault_in(&format!("{VALID}{extra}"));
    assert_eq!(&*e.field, field, "{e}");
}

#[rstest]
#[case::same("prefix = \"/stock\"")]
#[case::trailing_slash("prefix = \"/stock/\"")]
#[case::one_method_of_all("prefix = \"/stock\"\nmethods = [\"GET\"]")]
fn conflicting_route_is_refused(#[case] place: &str) {
    let e = fault_in(&format!("{VALID}[[route]]\nname = \"two\"\nservice = \"sacristia\"\n{place}\n"));
    assert!(e.problem.contains("same requests"), "{e}");
}

#[rstest]
#[case::other_host("prefix = \"/stock\"\nhost = \"a\"")]
#[case::longer("prefix = \"/stock/all\"")]
fn different_route_is_accepted(#[case] place: &str) {
    let text = format!("{VALID}[[route]]\nname = \"two\"\nservice = \"sacristia\"\n{place}\n");
    let source = conf::source::parse("fleet.toml", &text).expect("valid");
    assert_eq!(conf::compile(&source, 1).expect("valid").routes().count(), 2);
}
