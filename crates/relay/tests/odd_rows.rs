//! Rows of the directory that another writer has left, which describe no daemon.

mod common;

use common::{Act, Backend, Rows, conf, fleet_with_rows, on_one_thread, status};
use rstest::rstest;

/// A row as a daemon writes it, with its address and incarnation given as JSON.
fn row(addr: &str, incarnation: &str) -> String {
    format!(
        r#"{{"addr":{addr},"incarnation":{incarnation},"place":{{"region":"meseta","data_centre":"barva"}},"service":"sacristia","departures":[]}}"#
    )
}

fn nested() -> String {
    format!(r#"{{"departures":{}{}}}"#, "[".repeat(10_000), "]".repeat(10_000))
}

#[rstest]
#[case::not_json("daemon/127.0.0.1:9", "{".to_owned())]
#[case::deeply_nested("daemon/127.0.0.1:9", nested())]
#[case::number_beyond_its_type("daemon/127.0.0.1:9", row(r#""127.0.0.1:9""#, "18446744073709551616"))]
#[case::number_beyond_a_float("daemon/127.0.0.1:9", row(r#""127.0.0.1:9""#, "1e400"))]
#[case::negative_number("daemon/127.0.0.1:9", row(r#""127.0.0.1:9""#, "-1"))]
#[case::start_in_the_far_future("daemon/127.0.0.1:9", row(r#""127.0.0.1:9""#, "18446744073709551615"))]
#[case::port_zero("daemon/127.0.0.1:0", row(r#""127.0.0.1:0""#, "1"))]
#[case::port_out_of_range("daemon/127.0.0.1:65536", row(r#""127.0.0.1:65536""#, "1"))]
#[case::unspecified_address("daemon/0.0.0.0:9", row(r#""0.0.0.0:9""#, "1"))]
#[case::address_of_another_row("daemon/127.0.0.1:9", row(r#""127.0.0.1:10""#, "1"))]
#[case::address_of_another_type("daemon/127.0.0.1:9", row("9", "1"))]
#[case::no_address("daemon/", "{}".to_owned())]
#[case::departures_not_json("daemon/127.0.0.1:9/departures", "{".to_owned())]
#[case::departures_deeply_nested("daemon/127.0.0.1:9/departures", nested())]
#[case::departure_of_no_daemon("daemon//departures", r#"{"departures":[{"id":"s1","born":1e400}]}"#.to_owned())]
#[case::field_twice("daemon/127.0.0.1:9", row(r#""127.0.0.1:9","addr":"127.0.0.1:9""#, "1"))]
fn an_odd_row_names_no_daemon_and_hides_no_other(#[case] key: &str, #[case] value: String) {
    on_one_thread(async {
        let backends = vec![Backend::start(&[Act::Answer]).await, Backend::start(&[Act::Answer]).await];
        let fleet = fleet_with_rows(backends, conf, Rows::with(&[(key, &value)])).await;
        for daemon in &fleet.daemons {
            assert_eq!(daemon.node.peers.borrow().member_count(), 2);
        }
        let rep = fleet.daemons[0].get("/stock/a", "r1").await;
        assert_eq!(status(&rep), 200, "{rep}");
    });
}
