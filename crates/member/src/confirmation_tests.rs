use rstest::rstest;

use super::*;

const OWN: Own = Own { version: 5, head_seen: 5, withdrawn: 9 };

fn id(n: u16) -> DaemonId {
    DaemonId::from(([127, 0, 0, 1], n))
}

/// An answer of a daemon of the store's region that reports the store as down.
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

/// What this daemon, number 0 of a region of three, can prove with one answer and its own vote.
fn proven_with(known: ViewStatus, own: &Own) -> Option<Duration> {
    let start = Instant::now() + Duration::from_mins(1);
    let mut evidence = Evidence::default();
    evidence.note_answer(id(1), Answer { known, asked_at: start });
    let proven = evidence.judge(own, &(0..3).map(id).collect(), Some(start));
    Some(start - proven.at()?)
}

#[rstest]
#[case::a_vote_of_the_majority(vote(), Some(0))]
#[case::an_older_version_is_no_newer_one(ViewStatus { version: 4, ..vote() }, Some(0))]
#[case::the_store_answers_it(ViewStatus { store_down: false, ..vote() }, None)]
#[case::it_was_never_current(ViewStatus { region_size: 0, ..vote() }, None)]
#[case::it_knows_a_larger_region(ViewStatus { region_size: 4, ..vote() }, None)]
#[case::it_has_a_newer_version(ViewStatus { version: 6, ..vote() }, None)]
#[case::its_withdrawals_differ(ViewStatus { withdrawn_digest: 8, ..vote() }, None)]
#[case::a_chain_to_the_store(ViewStatus { store_down: false, store_age_ms: Some(700), ..vote() }, Some(700))]
#[case::a_chain_to_a_majority(ViewStatus { store_down: false, quorum_age_ms: Some(900), ..vote() }, Some(900))]
#[case::a_chain_with_a_newer_version(ViewStatus { version: 6, store_age_ms: Some(700), ..vote() }, None)]
fn an_answer_proves_no_more_than_it_says(#[case] known: ViewStatus, #[case] age_ms: Option<u64>) {
    assert_eq!(proven_with(known, &OWN), age_ms.map(Duration::from_millis));
}

#[rstest]
fn nothing_is_confirmed_while_a_newer_head_is_known() {
    let behind = Own { head_seen: 6, ..OWN };
    assert_eq!(proven_with(vote(), &behind), None);
}

#[rstest]
fn a_daemon_with_other_withdrawals_stops_confirmation_by_others_until_it_agrees() {
    let start = Instant::now() + Duration::from_mins(1);
    let region = (0..3).map(id).collect();
    let mut evidence = Evidence::default();
    let differing = ViewStatus { withdrawn_digest: 8, ..vote() };
    evidence.note_answer(id(2), Answer { known: differing, asked_at: start });
    evidence.note_read(start);
    assert_eq!(evidence.judge(&OWN, &region, None).at(), None);
    evidence.note_answer(id(2), Answer { known: vote(), asked_at: start });
    assert_eq!(evidence.judge(&OWN, &region, None).at(), Some(start));
}
