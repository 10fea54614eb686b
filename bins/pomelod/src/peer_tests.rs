use rstest::rstest;
use wire::Msg;
use wire::member::{IncarnationHash, MemberMsg};

use super::*;

/// Two peers on loopback; `inputs` receives the messages that reach the receiving one.
struct PeerPair {
    receiver_addr: SocketAddr,
    sender_addr: SocketAddr,
    sender: Peers,
    /// Kept alive for its tasks.
    _receiver: Peers,
    metrics: PeerMetrics,
    inputs: mpsc::Receiver<Input>,
}

fn secret() -> FleetSecret {
    FleetSecret::new(b"a secret of at least sixteen bytes").unwrap()
}

async fn bind_sockets() -> (UdpSocket, TcpListener, SocketAddr) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = tcp.local_addr().unwrap();
        if let Ok(udp) = UdpSocket::bind(addr).await {
            return (udp, tcp, addr);
        }
    }
}

/// Starts two peers; the receiving one queues up to `queue_capacity` messages.
async fn peer_pair(queue_capacity: usize) -> PeerPair {
    let metrics = PeerMetrics::new(&Registry::new());
    let (udp, tcp, receiver_addr) = bind_sockets().await;
    let (tx, inputs) = mpsc::channel(queue_capacity);
    let receiver = Peers::start(secret(), udp, tcp, metrics.clone(), tx).await;
    let (udp, tcp, sender_addr) = bind_sockets().await;
    let sender = Peers::start(secret(), udp, tcp, metrics.clone(), mpsc::channel(1).0).await;
    PeerPair { receiver_addr, sender_addr, sender, _receiver: receiver, metrics, inputs }
}

/// A message from the sender whose size grows with `names`.
fn want_message(pair: &PeerPair, to: SocketAddr, names: usize) -> Envelope {
    let daemons: Vec<IncarnationHash> = vec![[7; 4]; names];
    Envelope { from: pair.sender_addr, to, incarnation: 3, msg: Msg::Member(MemberMsg::Want { daemons }) }
}

/// Waits for the next message at the receiver and returns the number of names in it.
async fn next_name_count(pair: &mut PeerPair) -> usize {
    match pair.inputs.recv().await {
        Some(Input::Msg { msg: Msg::Member(MemberMsg::Want { daemons }), incarnation: 3, .. }) => {
            daemons.len()
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::small_as_a_datagram(10, "datagram")]
#[case::large_as_bulk(10_000, "bulk")]
#[tokio::test]
async fn message_of_either_size_arrives(#[case] names: usize, #[case] transport: &str) {
    let mut pair = peer_pair(8).await;
    let envelope = want_message(&pair, pair.receiver_addr, names);
    pair.sender.send(&envelope);
    assert_eq!(next_name_count(&mut pair).await, names);
    assert_eq!(pair.metrics.sent.with_label_values(&[transport]).get(), 1);
}

#[tokio::test]
async fn message_above_the_frame_limit_is_dropped_and_counted() {
    let mut pair = peer_pair(8).await;
    let envelope = want_message(&pair, pair.receiver_addr, 1 + MAX_FRAME_BYTES / 4);
    pair.sender.send(&envelope);
    assert_eq!(pair.metrics.sent.with_label_values(&["too-large"]).get(), 1);
}

/// Sends raw bytes and then a valid message, waits for the latter, and returns how often `result` was
/// counted.
async fn received_count(result: &str, bytes: &[u8]) -> u64 {
    let mut pair = peer_pair(8).await;
    pair.sender.udp.send_to(bytes, pair.receiver_addr).await.unwrap();
    let valid = want_message(&pair, pair.receiver_addr, 1);
    pair.sender.udp.send_to(&wire::seal(&secret(), &valid), pair.receiver_addr).await.unwrap();
    next_name_count(&mut pair).await;
    pair.metrics.received.with_label_values(&[result]).get()
}

#[rstest]
#[case::not_ours("not-ours", b"hello".to_vec())]
#[case::not_authentic("not-authentic", [b"pmp1".as_slice(), &[0; 40]].concat())]
#[case::too_large("too-large", vec![0; MAX_DATAGRAM_BYTES + 1])]
#[tokio::test]
async fn invalid_datagram_is_counted_and_does_not_stop_the_receiver(
    #[case] result: &str,
    #[case] bytes: Vec<u8>,
) {
    assert_eq!(received_count(result, &bytes).await, 1);
}

#[tokio::test]
async fn message_for_another_address_is_dropped() {
    let mut pair = peer_pair(8).await;
    let other = want_message(&pair, pair.sender_addr, 2);
    pair.sender.udp.send_to(&wire::seal(&secret(), &other), pair.receiver_addr).await.unwrap();
    let valid = want_message(&pair, pair.receiver_addr, 1);
    pair.sender.send(&valid);
    assert_eq!(next_name_count(&mut pair).await, 1);
    assert_eq!(pair.metrics.received.with_label_values(&["other-address"]).get(), 1);
}

#[tokio::test]
async fn full_queue_of_the_control_thread_drops_messages_instead_of_blocking() {
    let pair = peer_pair(1).await;
    let receiver = Receiver {
        secret: secret(),
        me: pair.receiver_addr,
        inputs: mpsc::channel(1).0,
        metrics: pair.metrics.clone(),
    };
    let sealed = wire::seal(&secret(), &want_message(&pair, pair.receiver_addr, 1));
    receiver.receive_sealed(&sealed);
    assert_eq!(pair.metrics.received.with_label_values(&["queue-full"]).get(), 1);
}
