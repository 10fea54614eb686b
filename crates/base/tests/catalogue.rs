//! Guards against pages of `docs/` that drift from the events, refusals and retry reasons in the code.

use base::{Event, Refusal, RetryReason};
use rstest::rstest;

fn page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

#[rstest]
fn events_page_lists_exactly_the_events_in_order() {
    let page = page("EVENTS.md");
    let listed: Vec<&str> = page.lines().filter(|l| l.starts_with("| E")).collect();

    let expected: Vec<String> =
        Event::ALL.iter().map(|e| format!("| E{:04} | {e:?} | {} |", e.number(), e.text())).collect();

    assert_eq!(listed, expected);
}

#[rstest]
fn event_numbers_ascend() {
    assert!(Event::ALL.is_sorted_by(|a, b| a.number() < b.number()));
}

#[rstest]
fn operating_page_lists_every_refusal() {
    let page = page("OPERATING.md");

    for refusal in Refusal::ALL {
        let cell = format!("| `{}` | {} | {} |", refusal.code(), refusal.status(), refusal.executed());
        assert!(page.contains(&cell), "missing: {cell}");
    }
}

#[rstest]
fn operating_page_lists_every_retry_reason() {
    let page = page("OPERATING.md");

    for reason in RetryReason::ALL {
        assert!(page.contains(&format!("| `{}` |", reason.code())), "missing: {}", reason.code());
    }
}
