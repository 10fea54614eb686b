use std::time::Duration;

use rstest::rstest;

use super::Schedule;

#[rstest]
#[case::not_a_number("fast")]
#[case::negative("-1")]
#[case::zero("0")]
#[case::starts_late("100@5")]
#[case::descending("100;200@5;300@4")]
fn malformed_schedule_is_refused(#[case] text: &str) {
    assert_eq!(Schedule::parse(text), None);
}

#[rstest]
fn requests_are_evenly_spaced() {
    let schedule = Schedule::parse("10").unwrap();

    let times = schedule.due_times(Duration::from_secs(2));

    assert_eq!(times.len(), 20);
    assert_eq!(times[1], Duration::from_millis(100));
}

#[rstest]
fn rate_changes_at_the_second_of_its_step() {
    let schedule = Schedule::parse("10;100@1").unwrap();

    let times = schedule.due_times(Duration::from_secs(2));

    assert_eq!(times.len(), 110);
    assert_eq!(times[11], times[10] + Duration::from_millis(10));
}
