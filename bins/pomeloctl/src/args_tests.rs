//! Tests of the command line, tables and differences.

use hyper::Method;
use rstest::rstest;
use serde_json::json;

use crate::args::{Command, parse};
use crate::diff::diff;
use crate::table::{fields, table};

fn command(words: &str) -> Option<Command> {
    let words = words.split_whitespace().map(Into::into).collect();
    parse(pico_args::Arguments::from_vec(words)).ok().map(|a| a.command)
}

#[rstest]
#[case::withdraw("keys withdraw k1", Method::DELETE, "/v1/keys/k1")]
#[case::drain("drain s1", Method::POST, "/v1/servers/s1/drain")]
#[case::fence("fence 127.0.0.1:7000", Method::POST, "/v1/fence/127.0.0.1:7000")]
#[case::history("history --before 70", Method::GET, "/v1/history?before=70")]
fn command_becomes_a_call(#[case] words: &str, #[case] method: Method, #[case] path: &str) {
    let Some(Command::Call(call)) = command(words) else {
        panic!("no call");
    };
    assert_eq!((call.method, &*call.path), (method, path));
}

#[rstest]
#[case::unknown("keys drop k1")]
#[case::bad_version("rollback newest")]
#[case::missing_file("apply /nowhere/fleet.toml")]
fn wrong_usage_is_refused(#[case] words: &str) {
    assert_eq!(command(words), None);
}

#[rstest]
fn rollback_names_its_base() {
    let Some(Command::Change { call, wait_s }) = command("rollback 7 --base 9 --wait 3") else {
        panic!("no change");
    };
    assert_eq!(
        (&*call.path, call.body.as_slice(), wait_s),
        ("/v1/rollback?base=9", &br#"{"version":7}"#[..], 3)
    );
}

#[rstest]
fn table_pads_columns() {
    let rows = [json!({ "name": "orosi", "rate": 10.0 }), json!({ "name": "k", "rate": null })];
    assert_eq!(table(&rows, &["name", "rate"]), "name   rate\norosi  10.0\nk      -");
}

#[rstest]
fn fields_indent_nested_objects() {
    assert_eq!(fields(&json!({ "a": 1, "b": { "c": true } }), 0), "a  1\nb\n  c  true");
}

#[rstest]
fn diff_names_each_entry() {
    let parse = |text| conf::source::parse("x", text).expect("valid");
    let old = parse("[[service]]\nname = \"a\"\n[[service]]\nname = \"b\"\n");
    let new = parse("[[service]]\nname = \"b\"\nfloor = 0.5\n[[service]]\nname = \"c\"\n");
    assert_eq!(diff(&old, &new), ["~ service[b]", "+ service[c]", "- service[a]"]);
}
