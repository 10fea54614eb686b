//! Random and mutated configurations: refused or taken, never a panic.

use proptest::prelude::*;

const SAMPLE: &str = include_str!("../../../scripts/sample.toml");

/// Parses and compiles; the outcome does not matter, only that there is one.
fn take(text: &str) {
    if let Ok(source) = conf::source::parse("fuzz", text) {
        let _ = conf::compile(&source, 1);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_text_is_refused_or_taken(text in ".{0,400}") {
        take(&text);
    }

    #[test]
    fn a_sample_with_random_bytes_is_refused_or_taken(
        changes in prop::collection::vec((0..SAMPLE.len(), any::<u8>()), 1..8)
    ) {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        take(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_sample_without_some_lines_is_refused_or_taken(from in 0..60_usize, count in 1..20_usize) {
        let lines = SAMPLE.lines().enumerate();
        let kept: Vec<&str> = lines.filter(|(n, _)| !(from..from + count).contains(n)).map(|(_, l)| l).collect();
        take(&kept.join("\n"));
    }
}
