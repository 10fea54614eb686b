use rstest::rstest;

use super::*;

const LOCAL: LocalView = LocalView { version: 5, head_seen: 5, withdrawn_digest: 9 };

fn id(n: u16) -> DaemonId {
    DaemonId::from(([127, 0, 0, 1], n))
}

/// Status of a daemon of the store's region that the store doesn't answer.
fn vote() -> ViewStatus {
    ViewStatus {
        version: 5,
        shares_version: 0,
        withdrawn_digest: 9,
        store_age_ms: None,
        quorum_age_ms: None,
        region_size: 3,
        store_down: true,
        shares_known: true,
    }
}

/// Age of the confirmation that this daemon, number 0 of a store region of three, gets from one answer and
/// its own vote.
fn confirmed_with(status: ViewStatus, local: &LocalView) -> Option<Duration> {
    let start = Instant::now() + Duration::from_mins(1);
    let mut evidence = Evidence::default();
    evidence.record_answer(id(1), PullAnswer { status, asked_at: start });
    let confirmed = evidence.reassess(local, &(0..3).map(id).collect(), Some(start));
    Some(start - confirmed.latest()?)
}

#[rstest]
#[case::counts_towards_the_majority(vote(), Some(0))]
#[case::has_an_older_version(ViewStatus { version: 4, ..vote() }, Some(0))]
#[case::is_answered_by_the_store(ViewStatus { store_down: false, ..vote() }, None)]
#[case::was_never_current(ViewStatus { region_size: 0, ..vote() }, None)]
#[case::knows_a_larger_region(ViewStatus { region_size: 4, ..vote() }, None)]
#[case::has_a_newer_version(ViewStatus { version: 6, ..vote() }, None)]
#[case::has_other_withdrawals(ViewStatus { withdrawn_digest: 8, ..vote() }, None)]
#[case::by_the_store(ViewStatus { store_down: false, store_age_ms: Some(700), ..vote() }, Some(700))]
#[case::by_a_majority(ViewStatus { store_down: false, quorum_age_ms: Some(900), ..vote() }, Some(900))]
#[case::by_the_store_for_a_newer_version(ViewStatus { version: 6, store_age_ms: Some(700), ..vote() }, None)]
fn an_answer_confirms_no_more_than_it_says(#[case] status: ViewStatus, #[case] age_ms: Option<u64>) {
    assert_eq!(confirmed_with(status, &LOCAL), age_ms.map(Duration::from_millis));
}

#[rstest]
fn nothing_is_confirmed_while_a_newer_version_is_known_to_be_committed() {
    let behind = LocalView { head_seen: 6, ..LOCAL };
    assert_eq!(confirmed_with(vote(), &behind), None);
}

#[rstest]
fn a_daemon_with_other_withdrawals_prevents_any_confirmation_until_it_agrees() {
    let start = Instant::now() + Duration::from_mins(1);
    let region = (0..3).map(id).collect();
    let mut evidence = Evidence::default();
    let differing = ViewStatus { withdrawn_digest: 8, ..vote() };
    evidence.record_answer(id(2), PullAnswer { status: differing, asked_at: start });
    evidence.record_store_read(start);
    assert_eq!(evidence.reassess(&LOCAL, &region, None).latest(), None);
    evidence.record_answer(id(2), PullAnswer { status: vote(), asked_at: start });
    assert_eq!(evidence.reassess(&LOCAL, &region, None).latest(), Some(start));
}
