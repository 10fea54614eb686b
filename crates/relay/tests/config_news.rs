//! What a daemon has heard of newer configurations, and for how long it has been behind.

use std::time::{Duration, Instant};

use relay::config_news::ConfigNews;

const STEP: Duration = Duration::from_millis(100);

#[test]
fn a_version_is_news_once() {
    let (mut news, now) = (ConfigNews::default(), Instant::now());
    assert!(news.hear(2, 1, now));
    assert!(!news.hear(2, 1, now + STEP));
    assert_eq!(news.behind_since(), Some(now));
}

#[test]
fn a_version_that_is_in_force_is_no_news() {
    let (mut news, now) = (ConfigNews::default(), Instant::now());
    assert!(!news.hear(2, 2, now));
    assert_eq!(news.behind_since(), None);
}

#[test]
fn a_daemon_is_behind_until_the_newest_version_is_in_force() {
    let (mut news, now) = (ConfigNews::default(), Instant::now());
    news.hear(2, 1, now);
    news.hear(3, 1, now + STEP);
    assert_eq!(news.apply(2, now + STEP * 2), Some(STEP * 2));
    assert_eq!(news.behind_since(), Some(now));
    assert_eq!(news.apply(3, now + STEP * 3), Some(STEP * 3));
    assert_eq!(news.behind_since(), None);
}

#[test]
fn the_store_settles_only_what_was_heard_before_it_was_asked() {
    let (mut news, now) = (ConfigNews::default(), Instant::now());
    news.hear(2, 1, now + STEP);
    news.settle(now);
    assert_eq!(news.behind_since(), Some(now + STEP));
    news.settle(now + STEP);
    assert_eq!(news.behind_since(), None);
}
