//! Requests through one or two daemons: what reaches the servers and what callers get back.

mod common;

use std::time::{Duration, Instant};

use common::{
    Act, Backend, KEY, Rows, conf, conf_with_callee, eventually, fleet, fleet_with_rows, on_one_thread,
    request, snapshot, status,
};
use conf::{KeyHasher, Snapshot};
use relay::handoff::{Handoff, Repetition};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[test]
fn a_request_reaches_the_server_beside_the_daemon() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let rep = fleet.daemons[0].send_raw(&request("GET", "/stock/a?b=c&key=1", "r1", ""), "whole").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert!(rep.contains("x-server-signature: signed"), "{rep}");
        let seen = fleet.daemons[0].backend.seen.borrow()[0].clone();
        assert_eq!(seen.target, "/stock/a?b=c&key=1");
        assert_eq!(seen.headers["x-customer"], "parish");
        assert_eq!(seen.headers["x-caller-service"], "sacristia");
        assert_eq!(seen.headers["x-expected-server"], "server-1");
        assert_eq!(seen.headers["x-request-id"], "r1");
        assert!(seen.headers.values().all(|v| v != KEY));
    });
}

#[test]
fn a_request_reaches_the_server_beside_another_daemon() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        fleet.daemons[0].register(2, true);
        let rep = fleet.daemons[0].send_raw(&request("POST", "/order/a", "r1", "one crate"), "whole").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert_eq!(fleet.daemons[0].runs(), 0);
        let seen = fleet.daemons[1].backend.seen.borrow()[0].clone();
        assert_eq!(&*seen.body, b"one crate");
        assert_eq!(seen.headers["host"], "a");
        assert_eq!(seen.headers["x-expected-server"], "server-2");
        assert!(seen.headers.keys().all(|name| !name.as_str().starts_with("x-pomelo")));
    });
}

#[rstest]
#[case::no_route("GET /none/a HTTP/1.1\r\nhost: a\r\n\r\n", 404)]
#[case::prefix_without_slash("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n", 404)]
#[case::no_key("GET /stock/a HTTP/1.1\r\nhost: a\r\n\r\n", 401)]
#[case::unknown_key("GET /stock/a HTTP/1.1\r\nhost: a\r\nx-api-key: b\r\n\r\n", 401)]
#[case::two_lengths(
    "POST /open/a HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n12",
    400
)]
#[case::length_and_chunks(
    "POST /open/a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
fn a_request_that_may_not_run_is_refused(#[case] req: &str, #[case] expected: u16) {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let rep = fleet.daemons[0].send_raw(req, "\r\n\r\n").await;
        assert_eq!(status(&rep), expected, "{rep}");
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn headers_that_only_daemons_may_set_are_not_taken_from_callers() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        let forged = "GET /open/a HTTP/1.1\r\nhost: a\r\nx-request-id: r1\r\nx-customer: other\r\n\
                      x-caller-service: other\r\nx-expected-server: other\r\n\r\n";
        fleet.daemons[0].send_raw(forged, "whole").await;
        let seen = fleet.daemons[0].backend.seen.borrow()[0].clone();
        assert!(!seen.headers.contains_key("x-customer"));
        assert_eq!(seen.headers["x-caller-service"], "sacristia");
        assert_eq!(seen.headers["x-expected-server"], "server-1");
    });
}

#[test]
fn a_failed_repeatable_request_runs_at_another_server() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Fail], &[Act::Answer]], conf).await;
        for n in 0..10 {
            let rep = fleet.daemons[0].get("/stock/a", &format!("r{n}")).await;
            assert_eq!(status(&rep), 200, "{rep}");
        }
        assert!(fleet.daemons[0].runs() > 0);
    });
}

#[rstest]
#[case::error(Act::Fail, 500)]
#[case::broken(Act::Break, 502)]
#[case::wrong_id(Act::WrongId, 502)]
#[case::unsigned(Act::Unsigned, 502)]
fn a_failed_unrepeatable_request_runs_once(#[case] act: Act, #[case] expected: u16) {
    on_one_thread(async {
        let fleet = fleet(&[&[act], &[act]], conf).await;
        let rep = fleet.daemons[0].post("/order/a", "r1").await;
        assert_eq!(status(&rep), expected, "{rep}");
        assert_eq!(fleet.runs(), 1);
    });
}

#[test]
fn an_endless_idle_timeout_of_the_server_does_not_end_its_callers_connection() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::EndlessKeepAlive]], conf).await;
        for n in 0..2 {
            let rep = fleet.daemons[0].post("/order/a", &format!("r{n}")).await;
            assert_eq!(status(&rep), 200, "{rep}");
        }
    });
}

#[test]
fn a_customer_is_not_told_that_it_exceeds_its_rate_before_the_fleet_is_known() {
    on_one_thread(async {
        let backends = vec![Backend::start(&[Act::Answer]).await];
        let fleet = fleet_with_rows(backends, conf, Rows::down()).await;
        let rep = fleet.daemons[0].get("/stock/a", "r1").await;
        assert_eq!(status(&rep), 503, "{rep}");
        assert!(rep.contains("retry-after"), "{rep}");
    });
}

#[rstest]
#[case::after_a_call_failed(true)]
#[case::without_a_call(false)]
fn a_failure_that_a_failed_call_explains_is_no_evidence_against_the_server(#[case] has_call: bool) {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::FailAfter(250)]], conf_with_callee).await;
        let daemon = &fleet.daemons[0];
        let call = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            if has_call {
                assert_eq!(status(&daemon.get("/callee/a", "r2").await), 503);
            }
        };
        let (rep, ()) = tokio::join!(daemon.post("/order/a", "r1"), call);
        assert_eq!(status(&rep), 500, "{rep}");
        let condition = daemon.node.local_server.report(Instant::now()).condition;
        assert_eq!(condition.is_suspect(), !has_call);
    });
}

#[test]
fn a_shed_unrepeatable_request_runs_at_another_server() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Shed], &[Act::Answer]], conf).await;
        for n in 0..4 {
            let rep = fleet.daemons[0].post("/order/a", &format!("r{n}")).await;
            assert_eq!(status(&rep), 200, "{rep}");
        }
        assert_eq!(fleet.daemons[1].runs(), 4);
    });
}

#[test]
fn a_late_answer_to_another_request_does_not_show_that_a_request_has_not_run() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::WrongIdShed], &[Act::WrongIdShed]], conf).await;
        let rep = fleet.daemons[0].post("/order/a", "r1").await;
        assert_eq!(fleet.runs(), 1, "{rep}");
        assert_eq!(status(&rep), 502, "{rep}");
    });
}

#[test]
fn a_request_that_every_server_sheds_is_refused_as_not_run() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Shed], &[Act::Shed]], conf).await;
        let rep = fleet.daemons[0].post("/order/a", "r1").await;
        assert_eq!(status(&rep), 503, "{rep}");
        assert!(rep.contains("retry-after"), "{rep}");
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn a_long_run_without_a_hedge_is_not_cancelled() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(1_500)]], conf).await;
        let daemon = &fleet.daemons[0];
        // Overdue runs make the server suspect, and there is no second server for a hedge.
        for n in 0..2 {
            let rep = daemon.get("/open/a", &format!("r{n}")).await;
            assert_eq!(status(&rep), 200, "{rep}");
        }
        assert_eq!(daemon.backend.cancelled.get(), 0);
    });
}

#[test]
fn the_slot_is_freed_when_the_caller_disconnects() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Hang]], conf).await;
        fleet.daemons[0].register(2, true);
        let mut stream = TcpStream::connect(fleet.daemons[0].callers).await.expect("the daemon listens");
        stream.write_all(request("POST", "/order/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        eventually(|| fleet.daemons[1].runs() == 1).await;
        drop(stream);
        eventually(|| fleet.daemons[1].backend.cancelled.get() == 1).await;
        eventually(|| fleet.daemons[1].node.local_server.request_count() == 0).await;
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(30), Act::Answer]], conf).await;
        let three: String = (1..4).map(|n| request("GET", "/stock/a", &format!("r{n}"), "")).collect();
        let rep = fleet.daemons[0].send_raw(&three, "x-request-id: r3").await;
        let position = |id: &str| rep.find(&format!("x-request-id: {id}"));
        assert!(
            position("r1").is_some() && position("r1") < position("r2") && position("r2") < position("r3"),
            "{rep}"
        );
    });
}

#[test]
fn a_pipelined_request_starts_before_the_request_in_front_is_answered() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Hang, Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let two: String = (1..3).map(|n| request("GET", "/stock/a", &format!("r{n}"), "")).collect();
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(two.as_bytes()).await.expect("the daemon reads");
        eventually(|| daemon.runs() == 2).await;
    });
}

#[test]
fn a_pipelined_request_that_may_not_be_repeated_waits_for_its_turn() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(100), Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let two = request("POST", "/order/a", "r1", "") + &request("POST", "/order/a", "r2", "one crate");
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(two.as_bytes()).await.expect("the daemon reads");
        let rep = common::read_until(&mut stream, "x-request-id: r1").await;
        assert_eq!(status(&rep), 200, "{rep}");
        let ids: Vec<_> =
            daemon.backend.seen.borrow().iter().map(|s| s.headers["x-request-id"].clone()).collect();
        assert_eq!(ids[0], "r1");
        common::read_until(&mut stream, "x-request-id: r2").await;
        assert_eq!(daemon.runs(), 2);
    });
}

#[test]
fn pipelined_work_ends_when_the_caller_leaves() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Hang]], conf).await;
        let daemon = &fleet.daemons[0];
        let two: String = (1..3).map(|n| request("GET", "/stock/a", &format!("r{n}"), "")).collect();
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(two.as_bytes()).await.expect("the daemon reads");
        eventually(|| daemon.runs() == 2).await;
        drop(stream);
        eventually(|| daemon.node.local_server.request_count() == 0).await;
    });
}

#[test]
fn pipelined_work_ends_soon_after_the_caller_leaves() {
    // Far shorter than the route's timeout, which would end the requests too.
    const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Hang]], conf).await;
        let daemon = &fleet.daemons[0];
        let two: String = (1..3).map(|n| request("GET", "/stock/a", &format!("r{n}"), "")).collect();
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(two.as_bytes()).await.expect("the daemon reads");
        eventually(|| daemon.runs() == 2).await;
        drop(stream);
        tokio::time::sleep(CANCEL_TIMEOUT).await;
        assert_eq!(daemon.node.local_server.request_count(), 0);
    });
}

fn conf_without_keys(hasher: &KeyHasher) -> Snapshot {
    snapshot(hasher, 2, &[], 1_000_000.0)
}

#[test]
fn a_withdrawn_key_stops_working() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        fleet.source.make_snapshot.set(conf_without_keys);
        eventually(|| fleet.daemons.iter().all(|d| d.node.conf_version() == 2)).await;
        for daemon in &fleet.daemons {
            assert_eq!(status(&daemon.get("/stock/a", "r1").await), 401);
        }
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn keys_are_neither_accepted_nor_rejected_without_a_recent_proof() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], conf).await;
        fleet.source.is_up.set(false);
        let daemon = &fleet.daemons[0];
        eventually(|| !daemon.node.is_conf_fresh()).await;
        assert_eq!(status(&daemon.get("/stock/a", "r1").await), 503);
        assert_eq!(status(&daemon.get("/open/a", "r2").await), 200);
        fleet.source.is_up.set(true);
        eventually(|| daemon.node.is_conf_fresh()).await;
        assert_eq!(status(&daemon.get("/stock/a", "r3").await), 200);
    });
}

// Guards against a withdrawn key that is in use again after a restart, by a configuration of another daemon.
#[test]
fn a_restarted_daemon_does_not_take_an_old_configuration_for_proven() {
    on_one_thread(async {
        let mut fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        fleet.source.is_up.set(false);
        eventually(|| fleet.daemons.iter().all(|d| !d.node.is_conf_fresh())).await;
        let old = fleet.daemons.remove(0);
        let new = fleet.kill_and_restart(old).await;
        eventually(|| new.node.conf().is_some()).await;
        assert_eq!(status(&new.get("/stock/a", "r1").await), 503);
        assert_eq!(fleet.runs() + new.runs(), 0);
        assert_eq!(status(&new.get("/open/a", "r2").await), 200);
    });
}

/// The daemon of rank 0, which asks the source on behalf of its data centre.
fn lowest_ranked(fleet: &common::Fleet) -> &common::Daemon {
    fleet.daemons.iter().min_by_key(|d| d.node.identity.addr).expect("there are daemons")
}

#[test]
fn a_daemon_that_is_partitioned_from_the_store_uses_proofs_of_other_daemons() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer], &[Act::Answer]], conf).await;
        let daemon = lowest_ranked(&fleet);
        fleet.source.partitioned.set(Some(daemon.node.identity.incarnation));
        let longer_than_a_proof = daemon.node.bounds.max_proof_age * 2;
        tokio::time::sleep(longer_than_a_proof).await;
        eventually(|| daemon.node.is_conf_fresh()).await;
        assert_eq!(status(&daemon.get("/stock/a", "r1").await), 200);
    });
}

#[test]
fn a_withdrawn_key_stops_working_although_the_lowest_ranked_daemon_is_partitioned() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer], &[Act::Answer]], conf).await;
        fleet.source.partitioned.set(Some(lowest_ranked(&fleet).node.identity.incarnation));
        fleet.source.make_snapshot.set(conf_without_keys);
        eventually(|| fleet.daemons.iter().all(|d| d.node.conf_version() == 2)).await;
        assert_eq!(status(&lowest_ranked(&fleet).get("/stock/a", "r1").await), 401);
    });
}

fn low_rate_conf(hasher: &KeyHasher) -> Snapshot {
    snapshot(hasher, 1, &[KEY], 0.001)
}

#[test]
fn a_customer_beyond_its_rate_is_refused_as_not_run() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer]], low_rate_conf).await;
        let rep = fleet.daemons[0].get("/stock/a", "r1").await;
        assert_eq!(status(&rep), 429, "{rep}");
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn a_graceful_stop_answers_what_was_accepted() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(800)], &[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        fleet.daemons[1].register(2, true);
        eventually(|| {
            let now = std::time::Instant::now();
            daemon.node.peers.borrow().candidates("sacristia", &[], |_| true, now).0.is_empty()
        })
        .await;
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(request("POST", "/order/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        eventually(|| daemon.runs() == 1).await;
        daemon.stop.cancel();
        let rep = common::read_until(&mut stream, "whole").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert!(rep.contains("connection: close"), "{rep}");
        let ended = tokio::time::timeout(Duration::from_secs(10), daemon.ended.cancelled()).await;
        ended.expect("the daemon ends");
    });
}

#[test]
fn a_graceful_stop_answers_pipelined_requests_that_have_started() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(150), Act::After(600)]], conf).await;
        let daemon = &fleet.daemons[0];
        let two: String = (1..3).map(|n| request("GET", "/stock/a", &format!("r{n}"), "")).collect();
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(two.as_bytes()).await.expect("the daemon reads");
        eventually(|| daemon.runs() == 2).await;
        daemon.stop.cancel();
        let rep = common::read_until(&mut stream, "x-request-id: r2").await;
        assert!(rep.contains("x-request-id: r1") && rep.contains("x-request-id: r2"), "{rep}");
    });
}

#[test]
fn a_stopping_daemon_does_not_start_pipelined_requests_early() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(200), Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(request("POST", "/order/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        eventually(|| daemon.runs() == 1).await;
        daemon.stop.cancel();
        eventually(|| daemon.node.is_stopping()).await;
        stream.write_all(request("GET", "/stock/a", "r2", "").as_bytes()).await.expect("the daemon reads");
        common::read_until(&mut stream, "x-request-id: r1").await;
        assert_eq!(daemon.runs(), 1);
    });
}

#[test]
fn a_caller_that_comes_shortly_after_the_stop_signal_is_served() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        daemon.stop.cancel();
        eventually(|| daemon.node.is_stopping()).await;
        let rep = daemon.get("/stock/a", "r1").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert!(rep.contains("connection: close"), "{rep}");
    });
}

#[test]
fn a_server_serves_other_daemons_while_its_stopping_daemon_still_accepts_work() {
    // A daemon still accepts work for 2.5 s after the stop signal.
    const ACCEPTING_TIME: Duration = Duration::from_secs(2);
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        let (caller_daemon, stopping) = (&fleet.daemons[0], &fleet.daemons[1]);
        caller_daemon.register(2, true);
        stopping.stop.cancel();
        let until = Instant::now() + ACCEPTING_TIME;
        let mut refused = 0;
        while Instant::now() < until {
            let rep = caller_daemon.post("/order/a", "r1").await;
            refused += usize::from(status(&rep) != 200);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(refused, 0);
    });
}

#[test]
fn a_keep_alive_connection_is_served_shortly_after_the_stop_signal() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(request("GET", "/stock/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        common::read_until(&mut stream, "whole").await;
        daemon.stop.cancel();
        tokio::time::sleep(Duration::from_millis(300)).await;
        stream.write_all(request("GET", "/stock/a", "r2", "").as_bytes()).await.expect("the daemon reads");
        let rep = common::read_until(&mut stream, "whole").await;
        assert_eq!(status(&rep), 200, "{rep}");
    });
}

#[test]
fn callers_that_come_long_after_the_stop_signal_are_not_read() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(4_000)], &[Act::Answer]], conf).await;
        let daemon = &fleet.daemons[0];
        // A long request, so that the daemon can't end before the test does.
        let mut busy = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        busy.write_all(request("POST", "/order/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        eventually(|| fleet.runs() == 1).await;
        let mut idle = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        daemon.stop.cancel();
        tokio::time::sleep(Duration::from_millis(3_200)).await;
        let late = idle.write_all(request("POST", "/order/a", "r2", "").as_bytes()).await;
        if late.is_ok() {
            assert_eq!(common::read_until(&mut idle, "\r\n\r\n").await, "");
        }
        TcpStream::connect(daemon.callers).await.expect_err("the daemon no longer listens");
        assert_eq!(fleet.runs(), 1);
    });
}

#[test]
fn retries_stay_a_small_part_of_the_requests() {
    const REQUESTS: usize = 100;
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Fail], &[Act::Fail], &[Act::Fail]], conf).await;
        for n in 0..REQUESTS {
            fleet.daemons[0].get("/stock/a", &format!("r{n}")).await;
        }
        let repeated = fleet.runs() - REQUESTS;
        assert!(repeated > 0 && repeated <= REQUESTS / 5, "{repeated}");
    });
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        fleet.daemons[1].register(2, true);
        for n in 0..10 {
            let rep = fleet.daemons[0].post("/order/a", &format!("r{n}")).await;
            assert_eq!(status(&rep), 200, "{rep}");
        }
        assert_eq!(fleet.daemons[1].runs(), 0);
    });
}

#[test]
fn an_acknowledged_departure_outlives_its_daemon() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        let old = &fleet.daemons[0];
        old.register(3, true);
        relay::departures::store_departures(&old.node).await;
        let new = fleet.restart(old).await;
        new.register(2, false);
        eventually(|| {
            new.node.local_server.has_server() && !new.node.local_server.report(Instant::now()).takes_work
        })
        .await;
    });
}

#[test]
fn a_slot_is_free_once_its_large_answer_is_whole() {
    on_one_thread(async {
        // More than a caller's daemon buffers.
        let bytes = 1_100 * 1024;
        let fleet = fleet(&[&[Act::Large(bytes, 0)]], conf).await;
        let daemon = &fleet.daemons[0];
        let mut stream = TcpStream::connect(daemon.callers).await.expect("the daemon listens");
        stream.write_all(request("GET", "/open/a", "r1", "").as_bytes()).await.expect("the daemon reads");
        let is_whole =
            |rep: &[u8]| common::parse_answers(rep).first().is_some_and(|(_, body)| body.len() == bytes);
        common::read_slowly(&mut stream, bytes, Duration::ZERO, is_whole).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        // The connection is still open, and has carried no further request.
        assert_eq!(daemon.node.local_server.request_count(), 0);
        drop(stream);
    });
}

/// Hand-off of a request that is past its latency objective.
fn late_handoff() -> Handoff {
    Handoff {
        service: common::SERVICE.into(),
        customer: None,
        caller_service: common::SERVICE.into(),
        route_hash: 1,
        priority: 0,
        nested: false,
        repetition: Repetition::Allowed,
        allow_suspect: false,
        is_repeat: false,
        connection: 0,
        number: 0,
        cost: None,
        objective: Duration::from_secs(1),
        objective_left: Duration::ZERO,
        deadline_left: Duration::from_secs(5),
    }
}

#[test]
fn a_request_past_its_objective_does_not_make_a_newly_registered_server_suspect() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(200)]], conf).await;
        let local_server = &fleet.daemons[0].node.local_server;
        for _ in 0..4 {
            let req = hyper::Request::get("/stock/a").header("host", "a").header("x-request-id", "r1");
            let handoff = late_handoff();
            let running =
                local_server.run_request(&handoff, req.body(bytes::Bytes::new()).expect("a request"));
            let early = tokio::time::timeout(Duration::from_millis(100), running).await;
            assert!(early.is_err(), "the server needs longer");
        }
        assert!(!local_server.report(Instant::now()).condition.is_suspect());
    });
}

fn repeat() -> Handoff {
    Handoff { is_repeat: true, ..late_handoff() }
}

/// Runs a request at the only daemon's server, which makes a call meanwhile, and returns the calls that were charged
/// as those of repeats.
async fn repeated_calls_during(handoff: Handoff) -> f64 {
    let fleet = fleet(&[&[Act::After(300)]], conf_with_callee).await;
    let node = &fleet.daemons[0].node;
    let req = hyper::Request::get("/stock/a").header("host", "a").header("x-request-id", "r1");
    let run = node.local_server.run_request(&handoff, req.body(bytes::Bytes::new()).expect("a request"));
    let call = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.daemons[0].get("/callee/a", "call").await
    };
    let (run, _call) = tokio::join!(run, call);
    assert!(run.is_ok(), "{run:?}");
    node.metrics.repeated_calls.get()
}

// Guards against calls of repeated runs beyond the called service's retry budget.
#[test]
fn a_call_of_a_repeated_run_is_charged_to_the_called_service() {
    on_one_thread(async {
        assert!(repeated_calls_during(repeat()).await > 0.99);
    });
}

#[test]
fn a_call_of_a_first_run_is_not_charged() {
    on_one_thread(async {
        assert!(repeated_calls_during(late_handoff()).await < 0.01);
    });
}

#[test]
fn a_handoff_of_an_older_version_is_not_a_repeat() {
    let mut headers = hyper::HeaderMap::new();
    relay::handoff::insert_header(&mut headers, &relay::handoff::HANDOFF_HEADER, &late_handoff());
    let value = headers[&relay::handoff::HANDOFF_HEADER].to_str().expect("digits").to_owned();
    let without_last_bytes = &value[..value.len() - 8];
    headers.insert(&relay::handoff::HANDOFF_HEADER, without_last_bytes.parse().expect("a header value"));
    let decoded = relay::handoff::take_handoff(&mut headers);
    assert!(decoded.is_some_and(|handoff| !handoff.is_repeat));
}

// Guards against hand-offs of daemons of an older version, which have no number, being declined as malformed.
#[test]
fn a_handoff_of_an_older_version_without_a_number_is_valid() {
    let mut headers = hyper::HeaderMap::new();
    relay::handoff::insert_header(&mut headers, &relay::handoff::HANDOFF_HEADER, &repeat());
    let value = headers[&relay::handoff::HANDOFF_HEADER].to_str().expect("digits").to_owned();
    let without_number = &value[..value.len() - 4];
    headers.insert(&relay::handoff::HANDOFF_HEADER, without_number.parse().expect("a header value"));
    let decoded = relay::handoff::take_handoff(&mut headers);
    assert!(decoded.is_some_and(|handoff| handoff.is_repeat && handoff.connection == 0));
}

// Guards against a fleet in which daemons that know neither repeats nor costs can hand nothing over.
#[test]
fn a_handoff_without_the_fields_of_later_versions_is_understood() {
    let mut headers = hyper::HeaderMap::new();
    let new = Handoff { is_repeat: true, ..late_handoff() };
    relay::handoff::insert_header(&mut headers, &relay::handoff::HANDOFF_HEADER, &new);
    let value = headers[&relay::handoff::HANDOFF_HEADER].to_str().expect("digits").to_owned();
    let without_later_fields = &value[..value.len() - 8];
    headers.insert(&relay::handoff::HANDOFF_HEADER, without_later_fields.parse().expect("a header value"));
    let decoded = relay::handoff::take_handoff(&mut headers);
    assert!(decoded.is_some_and(|handoff| !handoff.is_repeat && handoff.cost.is_none()));
}

// Guards against costs that include the wait for a slot, and against headers of the fleet in answers.
#[test]
fn a_run_time_comes_back_from_another_daemon_and_is_not_sent_to_the_caller() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Shed], &[Act::After(100)]], conf).await;
        let rep = fleet.daemons[0].post("/order/a", "r1").await;
        assert_eq!(status(&rep), 200, "{rep}");
        assert!(!rep.contains("x-pomelo-run-time"), "{rep}");
        assert_eq!(fleet.daemons[0].node.metrics.run_ratio.get_sample_count(), 1);
    });
}

// Guards against a server whose speed is never learned, or is learned from the defaults for unknown routes.
#[test]
fn the_speed_of_a_server_is_reported_once_its_routes_are_known() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(20)]], conf).await;
        let daemon = &fleet.daemons[0];
        let slowness = || daemon.node.local_server.report(Instant::now()).slowness_percent;
        for n in 0..4 {
            assert_eq!(status(&daemon.get("/stock/a", &format!("r{n}")).await), 200);
        }
        assert_eq!(slowness(), 0);
        for n in 4..20 {
            assert_eq!(status(&daemon.get("/stock/a", &format!("r{n}")).await), 200);
        }
        // The only server is an average one, also on a machine where run times vary.
        assert!((25..400).contains(&slowness()), "{}", slowness());
    });
}

// Guards against placement that takes a server with work for an idle one.
#[test]
fn the_report_tells_the_work_of_a_running_request() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::After(300)]], conf).await;
        let daemon = &fleet.daemons[0];
        assert_eq!(daemon.node.local_server.report(Instant::now()).work_ms, 0);
        let check = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            daemon.node.local_server.report(Instant::now())
        };
        let (rep, report) = tokio::join!(daemon.get("/stock/a", "r1"), check);
        assert_eq!(status(&rep), 200, "{rep}");
        assert!(report.work_ms > 0, "{report:?}");
        assert_eq!(report.work_ms, report.work_before_calls_ms);
    });
}

// Guards against a missing last byte that is made up for messages other than a handoff.
#[test]
fn a_message_without_its_last_byte_is_malformed() {
    let mut headers = hyper::HeaderMap::new();
    let name = &relay::handoff::PROOF_AGE_HEADER;
    relay::handoff::insert_header(&mut headers, name, &Duration::from_secs(1));
    let value = headers[name].to_str().expect("digits").to_owned();
    headers.insert(name, value[..value.len() - 2].parse().expect("a header value"));
    assert_eq!(relay::handoff::take_header::<Duration>(&mut headers, name), None);
}
