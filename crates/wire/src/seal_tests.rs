use proptest::prelude::*;

use super::*;
use crate::member::{Heartbeat, MemberMsg};

fn secret() -> FleetSecret {
    FleetSecret::new(b"a secret of at least sixteen bytes").unwrap()
}

fn envelope(beats: usize) -> Envelope {
    let beat = Heartbeat { daemon: [1, 2, 3, 4], clock: 77, packed_lag: 2, server_set_seq: 300 };
    Envelope {
        from: "127.0.0.1:7000".parse().unwrap(),
        to: "127.0.0.2:7000".parse().unwrap(),
        incarnation: 1_800_000_000_000,
        msg: Msg::Member(MemberMsg::Heartbeats { version: 12, beats: vec![beat; beats] }),
    }
}

/// Authenticates any body, as a daemon of another release or with a fault would.
fn seal_body(secret: &FleetSecret, body: &[u8]) -> Vec<u8> {
    let mac = blake3::keyed_hash(&secret.key, body);
    [&MAGIC, &mac.as_bytes()[..MAC_BYTES], body].concat()
}

#[test]
fn a_full_batch_of_heartbeats_fits_a_datagram() {
    let sealed = seal(&secret(), &envelope(80));
    assert!(sealed.len() <= crate::MAX_DATAGRAM_BYTES, "{}", sealed.len());
}

#[test]
fn a_message_under_another_secret_is_not_authentic() {
    let other = FleetSecret::new(b"another secret of sixteen bytes").unwrap();
    let sealed = seal(&other, &envelope(1));
    assert_eq!(open(&secret(), &sealed), Err(OpenError::NotAuthentic));
}

proptest! {
    #[test]
    fn random_bytes_never_open(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
        prop_assert!(open(&secret(), &bytes).is_err());
    }

    #[test]
    fn a_changed_datagram_never_opens(at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let mut sealed = seal(&secret(), &envelope(5));
        let at = at.index(sealed.len());
        sealed[at] ^= flip;
        prop_assert!(open(&secret(), &sealed).is_err());
    }

    #[test]
    fn a_cut_or_lengthened_datagram_never_opens(len in 0_usize..400) {
        let mut sealed = seal(&secret(), &envelope(5));
        prop_assume!(len != sealed.len());
        sealed.resize(len, 0);
        prop_assert!(open(&secret(), &sealed).is_err());
    }

    #[test]
    fn an_authentic_body_of_any_shape_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..600)) {
        let sealed = seal_body(&secret(), &body);
        if let Ok(e) = open(&secret(), &sealed) {
            prop_assert_eq!(open(&secret(), &seal(&secret(), &e)).unwrap().to, e.to);
        }
    }

    #[test]
    fn an_authentic_changed_body_does_not_panic(at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let sealed = seal(&secret(), &envelope(5));
        let mut body = sealed[MAGIC.len() + MAC_BYTES..].to_vec();
        let at = at.index(body.len());
        body[at] ^= flip;
        prop_assert_ne!(open(&secret(), &seal_body(&secret(), &body)), Err(OpenError::NotAuthentic));
    }
}
