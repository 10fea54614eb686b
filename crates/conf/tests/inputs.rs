//! Guards against panics on random and mutated configurations, whether they are refused or accepted.

use proptest::prelude::*;

const SAMPLE: &str = include_str!("../../../scripts/sample.toml");

/// Parses and compiles a configuration and ignores the result.
fn parse_and_compile(text: &str) {
    if let Ok(source) = conf::source::parse("fuzz", text) {
        let _ = conf::compile(&source, 1);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_text_causes_no_panic(text in ".{0,400}") {
        parse_and_compile(&text);
    }

    #[test]
    fn a_sample_with_random_bytes_causes_no_panic(
        changes in prop::collection::vec((0..SAMPLE.len(), any::<u8>()), 1..8)
    ) {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        parse_and_compile(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_sample_without_some_lines_causes_no_panic(from in 0..60_usize, count in 1..20_usize) {
        let lines = SAMPLE.lines().enumerate();
        let kept: Vec<&str> = lines.filter(|(n, _)| !(from..from + count).contains(n)).map(|(_, l)| l).collect();
        parse_and_compile(&kept.join("\n"));
    }
}
