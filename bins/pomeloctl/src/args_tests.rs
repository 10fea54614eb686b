//! Tests of the command line, the text output and the differences between configurations.

use hyper::Method;
use rstest::rstest;
use serde_json::json;

use crate::args::{Command, parse_args};
use crate::diff::diff_entries;
use crate::table::{format_fields, format_table};

fn parse_command(words: &str) -> Option<Command> {
    let words = words.split_whitespace().map(Into::into).collect();
    parse_args(pico_args::Arguments::from_vec(words)).ok().map(|a| a.command)
}

#[rstest]
#[case::withdraw("keys withdraw k1", Method::DELETE, "/v1/keys/k1")]
#[case::drain("drain s1", Method::POST, "/v1/servers/s1/drain")]
#[case::fence("fence 127.0.0.1:7000", Method::POST, "/v1/fence/127.0.0.1:7000")]
#[case::history("history --before 70", Method::GET, "/v1/history?before=70")]
fn command_is_mapped_to_its_api_call(#[case] words: &str, #[case] method: Method, #[case] path: &str) {
    let Some(Command::Call(call)) = parse_command(words) else {
        panic!("no call");
    };
    assert_eq!((call.method, &*call.path), (method, path));
}

#[rstest]
#[case::unknown("keys drop k1")]
#[case::bad_version("rollback newest")]
#[case::missing_file("apply /nowhere/fleet.toml")]
fn unknown_or_malformed_command_is_refused(#[case] words: &str) {
    assert_eq!(parse_command(words), None);
}

#[rstest]
fn rollback_sends_its_base_version() {
    let Some(Command::Change { call, wait_s }) = parse_command("rollback 7 --base 9 --wait 3") else {
        panic!("no change");
    };
    assert_eq!(
        (&*call.path, call.body.as_slice(), wait_s),
        ("/v1/rollback?base=9", &br#"{"version":7}"#[..], 3)
    );
}

#[rstest]
fn table_columns_are_padded_and_null_is_a_dash() {
    let rows = [json!({ "name": "orosi", "rate": 10.0 }), json!({ "name": "k", "rate": null })];
    assert_eq!(format_table(&rows, &["name", "rate"]), "name   rate\norosi  10.0\nk      -");
}

#[rstest]
fn nested_objects_are_indented() {
    assert_eq!(format_fields(&json!({ "a": 1, "b": { "c": true } }), 0), "a  1\nb\n  c  true");
}

#[rstest]
fn diff_lists_changed_added_and_removed_entries() {
    let parse = |text| conf::source::parse("x", text).expect("valid");
    let old = parse("[[service]]\nname = \"a\"\n[[service]]\nname = \"b\"\n");
    let new = parse("[[service]]\nname = \"b\"\nfloor = 0.5\n[[service]]\nname = \"c\"\n");
    assert_eq!(diff_entries(&old, &new), ["~ service[b]", "+ service[c]", "- service[a]"]);
}
