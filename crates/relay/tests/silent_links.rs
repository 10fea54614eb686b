//! Connections between daemons that go silent without a reset, while datagrams pass.

mod common;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::link_relay::LinkRelay;
use common::{
    Act, Fleet, conf, eventually, fleet, fleet_with_relays, long_timeout_conf, on_one_thread, status,
};
use futures_util::future::join_all;
use relay::datagram::Datagram;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Orders that are sent at once after the connections went silent.
const ORDERS: usize = 12;
/// Most rounds of requests until there is a connection to each server.
const MAX_ROUNDS: usize = 20;
/// Requests that are sent at once in each round.
const REQUESTS_PER_ROUND: usize = 8;
/// Time within which they must be answered. A silent connection is closed after 2.5 s.
const MAX_TIME: Duration = Duration::from_millis(1_500);
/// Run time of orders that must still run when their connections fail.
const LONG_RUN_MS: u64 = 400;

/// A fleet of three daemons, of which the first takes the requests and has no server.
async fn caller_and_two_servers(act: Act) -> (Fleet, Vec<Rc<LinkRelay>>) {
    let (fleet, relays) = fleet_with_relays(&[&[Act::Answer], &[act], &[act]], conf).await;
    fleet.daemons[0].register(2, true);
    // Opens a connection to both servers.
    let fleet_ref = &fleet;
    for round in 0.. {
        if relays[1].accepted() > 0 && relays[2].accepted() > 0 {
            break;
        }
        assert!(round < MAX_ROUNDS, "a server gets no work");
        let send =
            |n| async move { fleet_ref.daemons[0].get("/stock/a", &format!("warm-{round}-{n}")).await };
        join_all((0..REQUESTS_PER_ROUND).map(send)).await;
    }
    (fleet, relays)
}

/// Number of orders that servers have run. Checks that none ran twice.
fn order_runs(fleet: &Fleet) -> usize {
    let seen = fleet.daemons.iter().flat_map(|d| d.backend.seen.borrow().clone());
    let orders = seen.filter(|req| req.target.starts_with("/order/"));
    let ids: Vec<_> = orders.map(|req| req.headers["x-request-id"].clone()).collect();
    assert_eq!(ids.iter().collect::<HashSet<_>>().len(), ids.len(), "{ids:?}");
    ids.len()
}

/// Sends orders to the first daemon at once; returns their statuses and times.
async fn send_orders(fleet: &Fleet, round: usize, count: usize) -> Vec<(u16, Duration)> {
    let sends = (0..count).map(|n| async move {
        let sent_at = Instant::now();
        let rep = fleet.daemons[0].post("/order/a", &format!("order-{round}-{n}")).await;
        (status(&rep), sent_at.elapsed())
    });
    join_all(sends).await
}

/// Number of hand-offs of the first daemon that were proven lost.
fn lost(fleet: &Fleet) -> u64 {
    fleet.daemons[0].node.metrics.fate_answers.with_label_values(&["never-came"]).get()
}

fn count(answers: &[(u16, Duration)], status: u16) -> usize {
    answers.iter().filter(|(s, _)| *s == status).count()
}

// Guards against a 502 or a late answer for orders that never reached a server.
#[rstest]
#[case::to_one_server(&[1])]
#[case::to_all_servers(&[1, 2])]
fn orders_lost_on_silent_connections_are_answered_by_another_server(#[case] silent: &[usize]) {
    on_one_thread(async {
        let (fleet, relays) = caller_and_two_servers(Act::Answer).await;
        for n in silent {
            relays[*n].silence();
        }
        // All orders of a round may happen to go to the other server.
        let mut round = 0;
        while lost(&fleet) == 0 && round < MAX_ROUNDS {
            round += 1;
            let answers = send_orders(&fleet, round, ORDERS).await;
            let is_served = |(status, took): &&(u16, Duration)| *status == 200 && *took < MAX_TIME;
            assert_eq!(answers.iter().filter(is_served).count(), ORDERS, "{answers:?}");
        }
        assert!(lost(&fleet) > 0, "no order was lost");
        assert_eq!(order_runs(&fleet), round * ORDERS);
    });
}

// Guards against a second run of an order that has started when its connection goes silent.
#[test]
fn an_order_that_has_started_is_not_placed_again_after_its_connection_went_silent() {
    on_one_thread(async {
        let (fleet, relays) = caller_and_two_servers(Act::After(LONG_RUN_MS)).await;
        let silence = async {
            eventually(|| order_runs(&fleet) == 1).await;
            for relay in &relays {
                relay.silence();
            }
        };
        let (answers, ()) = tokio::join!(send_orders(&fleet, 0, 1), silence);
        assert_eq!((answers[0].0, order_runs(&fleet)), (502, 1), "{answers:?}");
    });
}

/// Time in which delayed hand-offs would start.
const START_TIME: Duration = Duration::from_millis(200);

// Guards against a second run of orders that were placed elsewhere, when their connection delivers them after all.
#[test]
fn orders_that_arrive_after_they_were_placed_elsewhere_do_not_start() {
    on_one_thread(async {
        let (fleet, relays) = caller_and_two_servers(Act::Answer).await;
        for relay in &relays {
            relay.silence();
        }
        let answers = send_orders(&fleet, 0, ORDERS).await;
        for relay in &relays {
            relay.resume();
        }
        sleep(START_TIME).await;
        assert_eq!((count(&answers, 200), order_runs(&fleet)), (ORDERS, ORDERS), "{answers:?}");
        assert!(lost(&fleet) > 0, "no order was lost");
    });
}

/// Slots of two servers.
const SLOTS: usize = 4;
/// Orders that are sent at once to two servers, so that some wait.
const MORE_THAN_SLOTS: usize = 8;
/// Time in which all orders reach the queues of the servers.
const QUEUE_TIME: Duration = Duration::from_millis(30);

/// How connections fail.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// They carry no further bytes.
    Silent,
    /// They are closed.
    Cut,
}

impl Failure {
    /// Number of orders to send afterwards. A silent connection is known to have failed once it has lost one.
    fn later_orders(self) -> usize {
        match self {
            Failure::Silent => 2,
            Failure::Cut => 0,
        }
    }
}

// Guards against a 502 for orders that wait for a slot when their connection fails, and against a later start of those
// that were placed elsewhere.
#[rstest]
#[case::silent(Failure::Silent)]
#[case::cut(Failure::Cut)]
fn orders_that_wait_when_their_connection_fails_are_placed_again(#[case] failure: Failure) {
    on_one_thread(async {
        let (fleet, relays) = caller_and_two_servers(Act::After(LONG_RUN_MS)).await;
        let fail = async {
            eventually(|| order_runs(&fleet) == SLOTS).await;
            sleep(QUEUE_TIME).await;
            for relay in &relays {
                match failure {
                    Failure::Silent => relay.silence(),
                    Failure::Cut => relay.cut(),
                }
            }
            send_orders(&fleet, 1, failure.later_orders()).await
        };
        let (answers, later) = tokio::join!(send_orders(&fleet, 0, MORE_THAN_SLOTS), fail);
        let seen = (count(&answers, 502), count(&answers, 200), count(&later, 200));
        let expected = (SLOTS, MORE_THAN_SLOTS - SLOTS, failure.later_orders());
        assert_eq!(seen, expected, "{answers:?} {later:?}");
        assert_eq!(order_runs(&fleet), MORE_THAN_SLOTS + failure.later_orders());
    });
}

// Guards against a second run of an order because the next process of a daemon has not received it.
#[test]
fn an_order_is_not_placed_again_because_a_restarted_daemon_does_not_know_it() {
    on_one_thread(async {
        let act: &[Act] = &[Act::After(LONG_RUN_MS)];
        let mut fleet = fleet(&[&[Act::Answer], act, act], conf).await;
        fleet.daemons[0].register(2, true);
        let answer = {
            let caller = fleet.daemons.remove(0);
            let sending = spawn_local(async move { caller.post("/order/a", "order").await });
            eventually(|| fleet.runs() == 1).await;
            let ran_at = fleet.daemons.iter().position(|d| d.runs() == 1).expect("the order runs");
            let killed = fleet.daemons.remove(ran_at);
            let restarted = fleet.kill_and_restart(killed).await;
            fleet.daemons.push(restarted);
            sending.await.expect("the task ends")
        };
        assert_eq!((status(&answer), fleet.runs()), (502, 1), "{answer}");
    });
}

/// Run time of the orders from which a server's daemon learns how long orders take.
const LEARNED_RUN_MS: u64 = 3_000;
/// Run time of orders that occupy the slots beyond the end of a stop.
const ENDLESS_RUN_MS: u64 = 30_000;

// Guards against a 502 for an order that still waits for a slot when its caller's daemon ends a planned stop.
#[test]
fn an_order_that_waits_until_the_end_of_a_stop_ends_as_not_run() {
    on_one_thread(async {
        let (learned, endless) = (Act::After(LEARNED_RUN_MS), Act::After(ENDLESS_RUN_MS));
        let acts: &[Act] = &[learned, learned, endless];
        let fleet = Rc::new(fleet(&[&[Act::Answer], acts], long_timeout_conf).await);
        fleet.daemons[0].register(2, true);
        let server_daemon = &fleet.daemons[1];
        tokio::join!(server_daemon.post("/order/a", "r1"), server_daemon.post("/order/a", "r2"));
        for id in ["r3", "r4"] {
            let fleet = Rc::clone(&fleet);
            spawn_local(async move { fleet.daemons[1].post("/order/a", id).await });
        }
        eventually(|| server_daemon.runs() == 4).await;
        let stop = async {
            eventually(|| server_daemon.node.local_server.report(Instant::now()).waiting == 1).await;
            fleet.daemons[0].stop.cancel();
        };
        let (rep, ()) = tokio::join!(fleet.daemons[0].post("/order/a", "r5"), stop);
        assert_eq!((status(&rep), server_daemon.runs()), (503, 4), "{rep}");
        assert_eq!(server_daemon.node.local_server.report(Instant::now()).waiting, 0);
    });
}

/// Largest datagram that daemons receive, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;

// Guards against questions about many hand-offs whose datagrams are too large to be received.
#[test]
fn a_question_about_as_many_hand_offs_as_possible_and_its_answer_fit_a_datagram_each() {
    let numbers = (0..).map(|n| u64::from(u32::MAX) - n).take(fate::MAX_NUMBERS);
    let fates = numbers.clone().map(|number| (number, fate::Fate::Started)).collect();
    let question = fate::Question { connection: u64::MAX, numbers: numbers.collect(), revoke: true };
    let answer = fate::Answer { connection: u64::MAX, incarnation: u64::MAX, fates };
    for datagram in [Datagram::FateQuestion(question), Datagram::FateAnswer(answer)] {
        let bytes = postcard::to_stdvec(&datagram).expect("a datagram");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    }
}
