use proptest::prelude::*;

use super::FramingCheck;

/// Pieces that random inputs are mostly made of, so that they reach the branches of the inspection.
const PIECES: [&[u8]; 10] = [
    b"GET / HTTP/1.1\r\n",
    b"Host: a\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 4\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"\r\n",
    b"abc",
    b"\n",
    b" folded\r\n",
    b"\xff\x00",
];

fn input() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        8 => (0..PIECES.len()).prop_map(|n| PIECES[n].to_vec()),
        1 => prop::collection::vec(any::<u8>(), 1..9),
    ];
    prop::collection::vec(piece, 0..20).prop_map(|pieces| pieces.concat())
}

fn is_ambiguous<'a>(mut parts: impl Iterator<Item = &'a [u8]>) -> bool {
    let mut framing = FramingCheck::default();
    parts.any(|part| framing.feed(part))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn splitting_the_bytes_differently_does_not_hide_an_ambiguous_head(bytes in input(), size in 1..7_usize) {
        let whole = is_ambiguous([bytes.as_slice()].into_iter());
        let split = is_ambiguous(bytes.chunks(size));
        prop_assert_eq!(whole, split);
    }
}
