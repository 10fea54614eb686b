//! Digests between data centres: what they name, what daemons elsewhere learn from them, and what they cost.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::Place;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use relay::clock::BootTime;
use relay::datagram::{Datagram, PeerInfo, Status};
use relay::digest::Digest;
use relay::handoff::ServerReport;
use relay::peers::Peers;
use route::placement::{Candidate, ServerCondition};
use rstest::rstest;

const SERVICES: [&str; 3] = ["palette", "applications", "registry"];
const CENTRES: [(&str, &str); 4] =
    [("viti-levu", "suva"), ("viti-levu", "nadi"), ("vanua-levu", "labasa"), ("vanua-levu", "savusavu")];
/// Largest datagram that is sent without fragmentation, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn place(centre: usize) -> Place {
    let (region, name) = CENTRES[centre];
    Place::new(region, name)
}

fn addr(centre: usize, n: usize) -> SocketAddr {
    SocketAddr::from(([10, centre as u8, (n >> 8) as u8, n as u8], 7780))
}

fn report(running: u16) -> ServerReport {
    ServerReport {
        takes_work: true,
        running,
        waiting: 0,
        slots: 5,
        slowness_percent: 100,
        condition: ServerCondition::Healthy,
        work_ms: u32::from(running) * 400,
        work_before_calls_ms: u32::from(running) * 400,
        shed_percent: 0,
    }
}

fn status(report: ServerReport) -> Status {
    Status {
        incarnation: 1,
        report,
        version: 1,
        proof_age_ms: None,
        sent_at: BootTime::default(),
        echo: None,
        receives_from_you: true,
        member_count: 1,
    }
}

/// Table of daemon 0 of data centre `centre`, in a fleet with `daemons` in each data centre.
fn peers(centre: usize, daemons: usize, now: Instant) -> Peers {
    let mut peers = Peers::new(addr(centre, 0), place(centre));
    for other in 0..CENTRES.len() {
        for n in 0..daemons {
            let service = SERVICES[n % SERVICES.len()].into();
            peers.add_peer(
                PeerInfo { addr: addr(other, n), incarnation: 1, place: place(other), service },
                now,
            );
        }
    }
    peers
}

/// As [`peers`], after a status of each daemon of the data centre.
fn informed_peers(centre: usize, daemons: usize, now: Instant) -> Peers {
    let mut peers = peers(centre, daemons, now);
    for n in 1..daemons {
        peers.apply_status(addr(centre, n), &status(report(0)), now);
    }
    peers
}

fn candidate(peers: &Peers, of: SocketAddr, now: Instant) -> Candidate {
    let found = SERVICES.iter().find_map(|service| {
        let (addrs, candidates) = peers.candidates(service, &[], |_| true, now);
        let index = addrs.iter().position(|a| *a == of)?;
        candidates.into_iter().find(|c| c.index == index)
    });
    found.expect("the daemon is a candidate")
}

#[test]
fn a_server_elsewhere_is_known_from_a_digest_until_the_report_is_old() {
    let now = Instant::now();
    let mut here = peers(0, 4, now);
    let mut there = peers(2, 4, now);
    there.apply_status(addr(2, 1), &status(report(3)), now);
    assert!(!candidate(&here, addr(2, 1), now).is_known);

    assert!(here.apply_digest(&addr(2, 0), &there.digest(1, now, &mut rng()), now));

    let learned = candidate(&here, addr(2, 1), now);
    assert!(learned.is_known && learned.reachable);
    assert_eq!(learned.load.running, 3);
    assert!(!candidate(&here, addr(2, 1), now + Duration::from_secs(10)).is_known);
}

#[rstest]
#[case::suspect(ServerReport { condition: ServerCondition::Suspect, ..report(0) })]
#[case::takes_no_work(ServerReport { takes_work: false, ..report(0) })]
fn a_server_that_should_get_no_work_is_in_no_digest(#[case] report: ServerReport) {
    let now = Instant::now();
    let mut there = peers(2, 4, now);
    there.apply_status(addr(2, 1), &status(report), now);
    assert!(there.digest(1, now, &mut rng()).servers.is_empty());
}

#[test]
fn a_silent_daemon_is_counted_and_its_server_not_named() {
    let now = Instant::now();
    let there = informed_peers(2, 4, now);
    let digest = there.digest(1, now + Duration::from_secs(6), &mut rng());
    assert_eq!(digest, Digest { version: 1, silent_daemons: 3, servers: Vec::new() });
}

#[test]
fn servers_with_room_come_before_full_ones() {
    let now = Instant::now();
    let mut there = peers(2, 90, now);
    for n in 1..90 {
        let running = if n < 12 { 0 } else { 5 };
        there.apply_status(addr(2, n), &status(report(running)), now);
    }
    let digest = there.digest(1, now, &mut rng());
    let with_room = digest.servers.iter().filter(|s| s.report.running == 0).count();
    assert_eq!(with_room, 11, "of 30 servers of each service at most 8 are named");
}

#[test]
fn an_older_digest_does_not_replace_the_report_of_an_answer() {
    let now = Instant::now();
    let mut here = peers(0, 4, now);
    let there = informed_peers(2, 4, now);
    let digest = there.digest(1, now + Duration::from_millis(500), &mut rng());
    let answered_at = now + Duration::from_millis(300);
    here.record_report(addr(2, 1), report(4), answered_at);
    here.apply_digest(&addr(2, 0), &digest, now + Duration::from_millis(500));
    assert_eq!(candidate(&here, addr(2, 1), answered_at).load.running, 4);
}

#[test]
fn the_own_data_centre_is_known_first_hand_only() {
    let now = Instant::now();
    let mut here = informed_peers(0, 4, now);
    let digest = informed_peers(0, 4, now).digest(1, now, &mut rng());
    assert!(!here.apply_digest(&addr(0, 1), &digest, now));
    here.apply_relayed_reports(&[], now);
}

#[test]
fn a_declined_request_learns_of_servers_of_its_service() {
    let now = Instant::now();
    let mut here = peers(0, 12, now);
    let there = informed_peers(2, 12, now);
    let named = there.alternatives("registry", now, &mut rng());
    assert!(!named.is_empty() && named.len() <= 3, "{named:?}");
    here.apply_relayed_reports(&named, now);
    let (_, candidates) = here.candidates("registry", &[], |_| true, now);
    assert_eq!(
        candidates
            .iter()
            .filter(|c| c.is_known && c.distance > route::placement::Distance::SameDataCentre)
            .count(),
        named.len()
    );
}

#[rstest]
#[case::small(6)]
#[case::medium(24)]
#[case::large(265)]
fn a_digest_fits_one_datagram_whatever_the_size_of_the_data_centre(#[case] daemons: usize) {
    let now = Instant::now();
    let there = informed_peers(2, daemons, now);
    let digest = there.digest(1, now, &mut rng());
    let message = Datagram::Digest { origin: addr(2, 0), digest };
    let bytes = postcard::to_stdvec(&message).expect("the message is encoded").len();
    assert!(bytes < MAX_DATAGRAM_BYTES, "{bytes}");
}

/// Guards against digests that the receiver's buffer cuts off when all servers have much work.
#[test]
fn a_digest_of_many_services_with_loaded_servers_fits_one_datagram() {
    let now = Instant::now();
    let loaded = ServerReport {
        running: 200,
        waiting: 1_600,
        slots: 200,
        slowness_percent: 1_600,
        work_ms: 2_000_000,
        work_before_calls_ms: 2_000_000,
        ..report(0)
    };
    let mut there = Peers::new(addr(2, 0), place(2));
    for n in 1..200 {
        let service = format!("service-{}", n % 20).into();
        there.add_peer(PeerInfo { addr: addr(2, n), incarnation: 1, place: place(2), service }, now);
        there.apply_status(addr(2, n), &status(loaded), now);
    }
    let later = now + Duration::from_millis(500);
    let digest = there.digest(1_000_000, later, &mut rng());
    let servers = digest.servers.len();
    let message = Datagram::Digest { origin: addr(2, 0), digest };
    let bytes = postcard::to_stdvec(&message).expect("the message is encoded").len();
    assert!(bytes < MAX_DATAGRAM_BYTES, "{bytes} bytes of {servers} servers");
}

#[test]
fn each_other_data_centre_gets_one_digest() {
    let now = Instant::now();
    let here = peers(0, 30, now);
    let targets = here.daemon_of_each_centre(&mut rng());
    let mut centres: Vec<usize> = (0..CENTRES.len())
        .flat_map(|centre| (0..30).map(move |n| (centre, addr(centre, n))))
        .filter(|(_, addr)| targets.contains(addr))
        .map(|(centre, _)| centre)
        .collect();
    centres.sort_unstable();
    assert_eq!(centres, [1, 2, 3]);
}

#[test]
fn a_server_that_the_next_digest_does_not_name_is_no_longer_known() {
    let now = Instant::now();
    let mut here = peers(0, 4, now);
    let mut there = informed_peers(2, 4, now);
    here.apply_digest(&addr(2, 0), &there.digest(1, now, &mut rng()), now);
    assert!(candidate(&here, addr(2, 1), now).is_known);

    let later = now + Duration::from_millis(900);
    let suspect = ServerReport { condition: ServerCondition::Suspect, ..report(0) };
    there.apply_status(addr(2, 1), &status(suspect), later);
    here.apply_digest(&addr(2, 0), &there.digest(1, later, &mut rng()), later);

    assert!(!candidate(&here, addr(2, 1), later).is_known);
    assert!(candidate(&here, addr(2, 2), later).is_known);
}

#[test]
fn a_server_that_has_just_answered_is_known_although_a_digest_does_not_name_it() {
    let now = Instant::now();
    let mut here = peers(0, 4, now);
    here.record_report(addr(2, 1), report(1), now);
    let empty = Digest { version: 1, silent_daemons: 0, servers: Vec::new() };
    here.apply_digest(&addr(2, 0), &empty, now + Duration::from_millis(100));
    assert!(candidate(&here, addr(2, 1), now).is_known);
}
