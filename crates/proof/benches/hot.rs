//! Benchmarks of the decisions that a daemon takes for every request (route lookup, admission, token pool,
//! choice of a server), with a configuration of the target size.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Place;
use conf::source::{CustomerSource, KeySource, RouteSource, ServiceSource, Source};
use conf::{Dedupe, KeyHasher, RepeatPolicy, Snapshot};
use criterion::Criterion;
use hyper::Request;
use hyper::http::request::Parts;
use kernel::{ServerCounters, ServerView, TokenPools, View};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wire::server::{ServerInfo, ServerState};

/// Routes of the target size.
const ROUTES: usize = 13_000;
/// Customers of the target size.
const CUSTOMERS: usize = 21_000;
/// Servers among which one is chosen.
const SERVERS: usize = 26;
const SECRET: &str = "a caller's key of some length";

fn customer_name(n: usize) -> Box<str> {
    format!("customer-{n}").into()
}

fn route_source(n: usize) -> RouteSource {
    RouteSource {
        name: format!("route-{n}").into(),
        host: None,
        prefix: format!("/customer-{n}/orders").into(),
        methods: vec![],
        service: "sacristia".into(),
        customer: Some(customer_name(n)),
        open: false,
        repeatable: RepeatPolicy::ByMethod,
        timeout_ms: 1_000,
        dedupe: Dedupe::Off,
        cost: 1,
    }
}

/// A compiled configuration in which the customer 7 has the key [`SECRET`].
fn compile_snapshot(hasher: &KeyHasher) -> Snapshot {
    let customer = |n| CustomerSource {
        name: customer_name(n),
        rate: 10.0,
        burst: 20.0,
        template: None,
        params: std::collections::BTreeMap::default(),
    };
    let hash = conf::tree::digest_to_hex(&hasher.hash(SECRET.as_bytes()));
    let key = KeySource { name: "k".into(), hash, customer: customer_name(7), expires: None };
    let service = ServiceSource { name: "sacristia".into(), floor: 0.6, cross_region: true, queue: 100 };
    let source = Source {
        service: vec![service],
        customer: (0..CUSTOMERS).map(customer).collect(),
        route: (0..ROUTES).map(route_source).collect(),
        key: vec![key],
        ..Source::default()
    };
    conf::compile(&source, 1).expect("a valid configuration")
}

/// Head of a request that matches one route and carries a valid key.
fn request_head() -> Parts {
    let req = Request::get("/customer-7/orders/12").header("x-api-key", SECRET).body(());
    req.expect("a valid request").into_parts().0
}

/// A view that stays current during the benchmark.
fn current_view(conf: Snapshot) -> View {
    let valid_until = Some(Instant::now() + Duration::from_hours(1));
    View {
        conf: Some(Arc::new(conf)),
        current_until: valid_until,
        ..View::empty(Place::new("meseta", "barva"))
    }
}

/// Ready servers, half of them in the data centre of the daemon.
fn ready_servers() -> Vec<Arc<ServerView>> {
    let data_centres = ["paraiso", "barva"];
    let info = |n: usize| ServerInfo {
        id: format!("sacristia-{n}").into(),
        service: "sacristia".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        place: Place::new("meseta", data_centres[n % 2]),
        slots: 6,
        connections: 400,
        load: 0.3,
        state: ServerState::Ready,
        stamp: 0,
        ttl_ms: 3_000,
    };
    let server = |n| ServerView {
        info: info(n),
        weight: 1.0,
        trial: false,
        ready_since: None,
        counters: Arc::new(ServerCounters::default()),
    };
    (0..SERVERS).map(|n| Arc::new(server(n))).collect()
}

fn bench_request_path(c: &mut Criterion) {
    let hasher = KeyHasher::new(b"a secret of the fleet");
    let view = current_view(compile_snapshot(&hasher));
    let parts = request_head();
    let now = Instant::now();
    let conf = view.conf.as_ref().expect("just set");
    c.bench_function("snapshot lookup", |b| {
        b.iter(|| black_box(conf.match_route(None, black_box("/customer-7/orders/12"), "GET")));
    });
    c.bench_function("admit", |b| {
        b.iter(|| black_box(edge::admit::admit_request(&view, &hasher, &parts, now)));
    });

    let pools = TokenPools::new(now);
    pools.set_customers(conf.customers.keys());
    let pool = pools.get("customer-7").expect("just set");
    c.bench_function("token take", |b| b.iter(|| black_box(pool.take(1, now))));

    let servers = ready_servers();
    let place = Place::new("meseta", "barva");
    let mut rng = SmallRng::seed_from_u64(1);
    let criteria = route::Criteria { place: &place, tried: &[], repeatable: true, cross_region: true, now };
    c.bench_function("choose", |b| {
        b.iter(|| black_box(route::choose_server(&servers, &criteria, &mut rng).map(|s| s.info.slots)));
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_request_path(&mut criterion);
    criterion.final_summary();
}
