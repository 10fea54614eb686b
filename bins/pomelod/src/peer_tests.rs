use rstest::rstest;
use wire::Msg;
use wire::member::{IncarnationHash, MemberMsg};

use super::*;

/// A receiver with its queue, and a sender of another address.
struct Pair {
    to: SocketAddr,
    from: SocketAddr,
    sender: Peers,
    _receiver: Peers,
    metrics: PeerMetrics,
    inputs: mpsc::Receiver<Input>,
}

fn secret() -> FleetSecret {
    FleetSecret::new(b"a secret of at least sixteen bytes").unwrap()
}

async fn sockets() -> (UdpSocket, TcpListener, SocketAddr) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = tcp.local_addr().unwrap();
        if let Ok(udp) = UdpSocket::bind(addr).await {
            return (udp, tcp, addr);
        }
    }
}

async fn pair(queue: usize) -> Pair {
    let metrics = PeerMetrics::new(&Registry::new());
    let (udp, tcp, to) = sockets().await;
    let (tx, inputs) = mpsc::channel(queue);
    let receiver = Peers::start(secret(), udp, tcp, metrics.clone(), tx).await;
    let (udp, tcp, from) = sockets().await;
    let sender = Peers::start(secret(), udp, tcp, metrics.clone(), mpsc::channel(1).0).await;
    Pair { to, from, sender, _receiver: receiver, metrics, inputs }
}

fn wanting(pair: &Pair, to: SocketAddr, names: usize) -> Envelope {
    let daemons: Vec<IncarnationHash> = vec![[7; 4]; names];
    Envelope { from: pair.from, to, incarnation: 3, msg: Msg::Member(MemberMsg::Want { daemons }) }
}

/// The number of names in the next message that control gets.
async fn next_names(pair: &mut Pair) -> usize {
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
async fn a_message_arrives(#[case] names: usize, #[case] way: &str) {
    let mut pair = pair(8).await;
    let envelope = wanting(&pair, pair.to, names);
    pair.sender.send(&envelope);
    assert_eq!(next_names(&mut pair).await, names);
    assert_eq!(pair.metrics.sent.with_label_values(&[way]).get(), 1);
}

#[tokio::test]
async fn a_message_over_the_largest_frame_is_dropped_and_counted() {
    let mut pair = pair(8).await;
    let envelope = wanting(&pair, pair.to, 1 + MAX_FRAME_BYTES / 4);
    pair.sender.send(&envelope);
    assert_eq!(pair.metrics.sent.with_label_values(&["too-large"]).get(), 1);
}

/// Sends bytes from the sender's socket, then a good message, and waits for the latter.
async fn count_of(result: &str, bytes: &[u8]) -> u64 {
    let mut pair = pair(8).await;
    pair.sender.udp.send_to(bytes, pair.to).await.unwrap();
    let good = wanting(&pair, pair.to, 1);
    pair.sender.udp.send_to(&wire::seal(&secret(), &good), pair.to).await.unwrap();
    next_names(&mut pair).await;
    pair.metrics.received.with_label_values(&[result]).get()
}

#[rstest]
#[case::not_ours("not-ours", b"hello".to_vec())]
#[case::not_authentic("not-authentic", [b"pmp1".as_slice(), &[0; 40]].concat())]
#[case::too_large("too-large", vec![0; MAX_DATAGRAM_BYTES + 1])]
#[tokio::test]
async fn refused_bytes_are_counted_and_harm_nothing(#[case] result: &str, #[case] bytes: Vec<u8>) {
    assert_eq!(count_of(result, &bytes).await, 1);
}

#[tokio::test]
async fn a_message_for_another_address_is_dropped() {
    let mut pair = pair(8).await;
    let other = wanting(&pair, pair.from, 2);
    pair.sender.udp.send_to(&wire::seal(&secret(), &other), pair.to).await.unwrap();
    let good = wanting(&pair, pair.to, 1);
    pair.sender.send(&good);
    assert_eq!(next_names(&mut pair).await, 1);
    assert_eq!(pair.metrics.received.with_label_values(&["other-address"]).get(), 1);
}

#[tokio::test]
async fn messages_that_control_cant_take_are_dropped_instead_of_waiting() {
    let pair = pair(1).await;
    let receiver =
        Receiver { secret: secret(), me: pair.to, inputs: mpsc::channel(1).0, metrics: pair.metrics.clone() };
    let sealed = wire::seal(&secret(), &wanting(&pair, pair.to, 1));
    receiver.receive(&sealed);
    assert_eq!(pair.metrics.received.with_label_values(&["queue-full"]).get(), 1);
}
