//! Replays of requests that differ in cost, without a network: many callers' daemons place requests at many
//! servers by reports of 0 to 1.5 s of age. Compares the choice by counts of requests (the rule before
//! [`route::cost`]), by the least reported work alone, by [`place_request`], and by an oracle that knows all
//! costs and the present state of all servers. Each prints the share within the objective and the 99th
//! percentile of the time to the answer in parts of the objective.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use route::placement::{Candidate, Distance, Requirements, ServerCondition, ServerLoad, place_request};
use route::slot_queue::{Dequeued, OfferOutcome, SlotRequest, SlotWork, Ticket};
use route::{CostEstimator, RunEstimate, SlotQueue, SpeedEstimator};

const SERVERS: usize = 60;
const CALLERS: usize = 20;
const SLOTS: usize = 4;
/// Part of all slots that the requests need on the mean.
const LOAD: f64 = 0.8;
const REQUESTS: usize = 30_000;
/// First requests, which are not counted: nothing is known of the routes yet.
const WARM_UP: usize = 6_000;
const SEEDS: [u64; 3] = [11, 12, 13];
const REPORT_PERIOD: Duration = Duration::from_millis(1_500);
/// Servers to which a request is offered before it counts as missed, as in `relay::attempts`.
const MAX_OFFERS: usize = 8;
/// Bounds of the wait for a slot, as in `relay::local_server`: this time, or this multiple of the expected wait.
const MIN_SLOT_WAIT: Duration = Duration::from_millis(150);
const SLOT_WAIT_FACTOR: u32 = 2;
/// Deadline of a request, and time of an answer that never came, as a multiple of the objective.
const NEVER: f64 = 4.0;
/// Candidates drawn at random by the choices that don't use [`place_request`].
const DRAWN: usize = 3;
/// What callers are promised: the objective is the time within which 99 of 100 requests are answered.
const PROMISED_SHARE: f64 = 0.99;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Counts,
    LeastWork,
    Cost,
    Oracle,
}

#[derive(Clone, Copy, Debug)]
struct Route {
    mean_ms: f64,
    /// Standard deviation of the logarithm of the cost.
    sigma: f64,
    objective: Duration,
    /// Part of the requests.
    share: f64,
}

impl Route {
    fn draw_cost(&self, rng: &mut SmallRng) -> Duration {
        let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
        let normal = (-2.0 * u.ln()).sqrt() * (v * std::f64::consts::TAU).cos();
        let factor = (self.sigma * normal - self.sigma * self.sigma / 2.0).exp();
        Duration::from_secs_f64(self.mean_ms * factor / 1_000.0)
    }
}

/// Routes and servers of a replay. `late_routes` replace `routes` after half of the requests.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    routes: &'static [Route],
    late_routes: &'static [Route],
    /// Factor by which server 0 is slower than the others.
    slowness: f64,
}

#[derive(Debug)]
struct Request {
    route: u32,
    cost: Duration,
    sent: Instant,
    objective: Duration,
    /// Mean run time that the caller's daemon has learned.
    expected: Option<Duration>,
    caller: usize,
    /// Servers that declined the request.
    tried: Vec<usize>,
}

/// Moving averages of run times, as the rule before [`route::cost`] used them.
#[derive(Debug, Default)]
struct MovingAverages {
    by_route: HashMap<u32, f64>,
    overall: Option<f64>,
}

impl MovingAverages {
    fn record(&mut self, route: u32, took: Duration) {
        let took = took.as_secs_f64();
        let blend = |old: f64| old + 0.15 * (took - old);
        self.overall = Some(self.overall.map_or(took, blend));
        self.by_route.entry(route).and_modify(|old| *old = blend(*old)).or_insert(took);
    }

    fn expected_run(&self, route: u32, objective: Duration) -> Duration {
        self.by_route.get(&route).map_or(objective.mul_f64(0.3), |mean| Duration::from_secs_f64(*mean))
    }
}

/// A report as a caller's daemon knows it.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: ServerLoad,
    mean_run: Duration,
}

#[derive(Debug)]
struct Server {
    queue: SlotQueue,
    slowness: f64,
    costs: CostEstimator,
    speed: SpeedEstimator,
    averages: MovingAverages,
    requests: HashMap<Ticket, Request>,
    /// Tickets and start times of runs.
    running: Vec<(Ticket, Instant)>,
}

impl Server {
    fn new(slowness: f64) -> Self {
        Self {
            queue: SlotQueue::new(SLOTS),
            slowness,
            costs: CostEstimator::default(),
            speed: SpeedEstimator::default(),
            averages: MovingAverages::default(),
            requests: HashMap::new(),
            running: Vec::new(),
        }
    }

    fn report(&self, now: Instant) -> Report {
        let load = ServerLoad {
            running: self.queue.running() as u32,
            waiting: self.queue.waiting() as u32,
            slots: SLOTS as u32,
            work: self.queue.work(now),
            slowness: self.speed.has_runs().then(|| self.speed.slowness()),
            shed_share: 0.0,
        };
        let longest = self.running.iter().map(|(_, start)| now - *start).max().unwrap_or_default();
        let mean = self.averages.overall.map_or(Duration::from_millis(250), Duration::from_secs_f64);
        Report { load, mean_run: mean.max(longest / 2) }
    }

    fn estimate(&self, request: &Request, rule: Rule) -> RunEstimate {
        if rule == Rule::Counts {
            return self.averages.expected_run(request.route, request.objective).into();
        }
        let learned = self.costs.recorded(request.route).or(request.expected.map(RunEstimate::from));
        let average = learned.unwrap_or_else(|| RunEstimate::from_objective(request.objective));
        average.at_slowness(self.speed.slowness())
    }

    /// Time until a request of this cost would be answered.
    fn true_completion(&self, cost: Duration, now: Instant) -> Duration {
        let mut free_in = [Duration::ZERO; SLOTS];
        let mut occupy = |work: Duration| {
            if let Some(first) = free_in.iter_mut().min() {
                *first += work;
            }
        };
        for (ticket, start) in &self.running {
            let run = self.requests[ticket].cost.mul_f64(self.slowness);
            occupy((*start + run).saturating_duration_since(now));
        }
        let is_running = |ticket: &Ticket| self.running.iter().any(|(running, _)| running == ticket);
        for (_, request) in self.requests.iter().filter(|(ticket, _)| !is_running(ticket)) {
            occupy(request.cost.mul_f64(self.slowness));
        }
        free_in.into_iter().min().unwrap_or_default() + cost.mul_f64(self.slowness)
    }
}

#[derive(Debug, Default)]
struct Caller {
    costs: CostEstimator,
    averages: MovingAverages,
    /// Hand-offs to each server since its report and their work at an average server.
    pending: HashMap<usize, (u32, Duration)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RunEnds { server: usize, ticket: Ticket },
    WaitEnds { server: usize, ticket: Ticket },
    ReportMade { server: usize },
    RequestArrives { nth: usize },
}

#[derive(Debug)]
struct Outcome {
    share_within: f64,
    /// 99th percentile of the time to the answer as a part of the objective.
    p99: f64,
    /// Part of the requests that server 0 got, as a multiple of the mean.
    slow_server_share: f64,
}

struct Replay {
    rule: Rule,
    rng: SmallRng,
    servers: Vec<Server>,
    reports: Vec<Report>,
    reported_at: Vec<Instant>,
    callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    /// Time to the answer as a part of the objective.
    answers: Vec<f64>,
    /// Requests that each server got.
    placed: Vec<usize>,
}

impl Replay {
    fn new(rule: Rule, scenario: &Scenario, start: Instant, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let servers: Vec<Server> =
            (0..SERVERS).map(|n| Server::new(if n == 0 { scenario.slowness } else { 1.0 })).collect();
        let reports = servers.iter().map(|s| s.report(start)).collect();
        let callers = (0..CALLERS).map(|_| Caller::default()).collect();
        let mut events = BinaryHeap::new();
        for server in 0..SERVERS {
            let at = start + REPORT_PERIOD.mul_f64(rng.random());
            events.push(Reverse((at, Event::ReportMade { server })));
        }
        events.push(Reverse((start, Event::RequestArrives { nth: 0 })));
        let reported_at = vec![start; SERVERS];
        Self {
            rule,
            rng,
            servers,
            reports,
            reported_at,
            callers,
            events,
            answers: Vec::new(),
            placed: vec![0; SERVERS],
        }
    }

    /// Load of a server as the caller's daemon knows it, and the mean run time in the report.
    fn known_load(&self, caller: usize, server: usize) -> (ServerLoad, Duration) {
        let Report { load, mean_run } = self.reports[server];
        let (count, work) = self.callers[caller].pending.get(&server).copied().unwrap_or_default();
        let work = work.mul_f64(load.slowness.unwrap_or(1.0));
        let work = SlotWork { total: load.work.total + work, before_calls: load.work.before_calls + work };
        (ServerLoad { running: load.running + count, work, ..load }, mean_run)
    }

    fn choose(&mut self, request: &Request, now: Instant) -> usize {
        let caller = request.caller;
        let untried = |n: &usize| !request.tried.contains(n);
        if self.rule == Rule::Oracle {
            let completion = |n: &usize| self.servers[*n].true_completion(request.cost, now);
            return (0..SERVERS).filter(untried).min_by_key(completion).expect("there are servers");
        }
        let loads: Vec<_> = (0..SERVERS).map(|n| self.known_load(caller, n)).collect();
        let known = &self.callers[caller];
        if self.rule == Rule::Cost {
            let candidate = |(index, (load, _)): (usize, &(ServerLoad, Duration))| Candidate {
                index,
                distance: Distance::SameDataCentre,
                load: *load,
                condition: ServerCondition::Healthy,
                reachable: true,
                is_known: true,
                report_age: now - self.reported_at[index],
            };
            let candidates = loads.iter().enumerate().filter(|(n, _)| untried(n));
            let candidates: Vec<Candidate> = candidates.map(candidate).collect();
            let requirements = Requirements {
                repeatable: false,
                nested: false,
                objective_left: request.objective.saturating_sub(now - request.sent),
                expected_run: known.costs.estimate(request.route, request.objective).mean(),
                bytes: 0,
            };
            return place_request(&candidates, &requirements, &mut self.rng).expect("there are servers");
        }
        let drawn = (0..SERVERS).filter(untried).choose_multiple(&mut self.rng, DRAWN);
        let typical = loads.iter().map(|(_, mean)| *mean).sum::<Duration>() / SERVERS as u32;
        let expected = known.averages.expected_run(request.route, request.objective);
        let score = |n: &usize| {
            let (load, mean_run) = loads[*n];
            if self.rule == Rule::LeastWork {
                return load.work.total;
            }
            let present = load.running + load.waiting;
            let wait = mean_run * (present + 1).saturating_sub(load.slots) / load.slots;
            let slowness = (mean_run.as_secs_f64() / typical.as_secs_f64()).clamp(0.25, 16.0);
            let use_share = (f64::from(present) / f64::from(load.slots)).min(1.0);
            wait + expected.mul_f64(slowness * (1.0 + 0.5 * use_share))
        };
        drawn.into_iter().min_by_key(score).expect("servers are drawn")
    }

    fn place(&mut self, mut request: Request, now: Instant) {
        while request.tried.len() < MAX_OFFERS {
            let server = self.choose(&request, now);
            let known = &mut self.callers[request.caller];
            let pending = known.pending.entry(server).or_default();
            pending.0 += 1;
            pending.1 += known.costs.estimate(request.route, request.objective).mean();
            request.expected = known.costs.learned_mean(request.route);
            let target = &mut self.servers[server];
            let estimate = target.estimate(&request, self.rule);
            let offer = SlotRequest {
                priority: 1,
                nested: false,
                objective_at: request.sent + request.objective,
                deadline: request.sent + request.objective.mul_f64(NEVER),
                expected_run: estimate.mean(),
                estimate,
            };
            match target.queue.offer(offer, now) {
                OfferOutcome::Started(ticket) => {
                    target.requests.insert(ticket, request);
                    return self.start(server, ticket, now);
                }
                OfferOutcome::Waiting(ticket) => {
                    let wait = target.queue.expected_wait(&offer, now) * SLOT_WAIT_FACTOR;
                    target.requests.insert(ticket, request);
                    let until = now + wait.max(MIN_SLOT_WAIT);
                    self.events.push(Reverse((until, Event::WaitEnds { server, ticket })));
                    return;
                }
                OfferOutcome::Declined { .. } => request.tried.push(server),
            }
        }
        self.answers.push(NEVER);
    }

    /// Places a request anew that has waited for too long.
    fn end_wait(&mut self, server: usize, ticket: Ticket, now: Instant) {
        let target = &mut self.servers[server];
        if target.running.iter().any(|(running, _)| *running == ticket) {
            return;
        }
        if let Some(mut request) = target.requests.remove(&ticket) {
            target.queue.remove(ticket);
            request.tried.push(server);
            self.place(request, now);
        }
    }

    fn start(&mut self, server: usize, ticket: Ticket, now: Instant) {
        self.placed[server] += 1;
        let target = &mut self.servers[server];
        target.running.push((ticket, now));
        let end = now + target.requests[&ticket].cost.mul_f64(target.slowness);
        self.events.push(Reverse((end, Event::RunEnds { server, ticket })));
    }

    fn end_run(&mut self, server: usize, ticket: Ticket, now: Instant) {
        let target = &mut self.servers[server];
        target.queue.remove(ticket);
        target.running.retain(|(running, _)| *running != ticket);
        let request = target.requests.remove(&ticket).expect("the run is known");
        let took = request.cost.mul_f64(target.slowness);
        let cost = took.div_f64(target.speed.slowness());
        target.costs.record(request.route, cost);
        target.averages.record(request.route, took);
        if let Some(expected) = request.expected {
            target.speed.record(took, expected);
        }
        self.callers[request.caller].costs.record(request.route, cost);
        self.callers[request.caller].averages.record(request.route, now - request.sent);
        self.answers.push((now - request.sent).as_secs_f64() / request.objective.as_secs_f64());
        for dequeued in self.servers[server].queue.start_waiting(now) {
            match dequeued {
                Dequeued::Started(ticket) => self.start(server, ticket, now),
                Dequeued::TooLate(ticket) => {
                    self.servers[server].requests.remove(&ticket);
                    self.answers.push(NEVER);
                }
            }
        }
    }

    fn run(mut self, scenario: &Scenario) -> Outcome {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::RunEnds { server, ticket } => self.end_run(server, ticket, now),
                Event::WaitEnds { server, ticket } => self.end_wait(server, ticket, now),
                Event::ReportMade { server } => {
                    self.reports[server] = self.servers[server].report(now);
                    self.reported_at[server] = now;
                    for caller in &mut self.callers {
                        caller.pending.remove(&server);
                    }
                    // The reports of servers end with the requests, so that the replay ends.
                    if self.events.iter().any(|e| !matches!(e.0.1, Event::ReportMade { .. })) {
                        self.events.push(Reverse((now + REPORT_PERIOD, Event::ReportMade { server })));
                    }
                }
                Event::RequestArrives { nth } => self.arrive(nth, scenario, now),
            }
        }
        let mut answers = self.answers.split_off(WARM_UP);
        answers.sort_by(f64::total_cmp);
        let within = answers.iter().filter(|part| **part <= 1.0).count();
        let placed: usize = self.placed.iter().sum();
        Outcome {
            share_within: within as f64 / answers.len() as f64,
            p99: answers[answers.len() * 99 / 100],
            slow_server_share: (self.placed[0] * SERVERS) as f64 / placed as f64,
        }
    }

    fn arrive(&mut self, nth: usize, scenario: &Scenario, now: Instant) {
        let routes = if nth < REQUESTS / 2 { scenario.routes } else { scenario.late_routes };
        let mean_ms: f64 = routes.iter().map(|r| r.share * r.mean_ms).sum();
        let rate_per_ms = LOAD * (SERVERS * SLOTS) as f64 / mean_ms;
        if nth + 1 < REQUESTS {
            let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_ms;
            let next = now + Duration::from_secs_f64(gap_ms / 1_000.0);
            self.events.push(Reverse((next, Event::RequestArrives { nth: nth + 1 })));
        }
        let mut drawn: f64 = self.rng.random();
        let route = routes.iter().position(|r| {
            drawn -= r.share;
            drawn < 0.0
        });
        let index = route.unwrap_or(routes.len() - 1);
        let cost = routes[index].draw_cost(&mut self.rng);
        let objective = routes[index].objective;
        let caller = self.rng.random_range(0..CALLERS);
        let (route, tried) = (index as u32, Vec::new());
        let request = Request { route, cost, sent: now, objective, expected: None, caller, tried };
        self.place(request, now);
    }
}

/// Replays a scenario by all rules, prints the outcomes and returns those of [`Rule::Counts`],
/// [`Rule::LeastWork`], [`Rule::Cost`] and [`Rule::Oracle`], each the mean over its seeds.
fn compare(name: &str, scenario: &Scenario) -> [Outcome; 4] {
    [Rule::Counts, Rule::LeastWork, Rule::Cost, Rule::Oracle].map(|rule| {
        // The oracle takes far longer than the others, and varies little.
        let seeds = if rule == Rule::Oracle { &SEEDS[..1] } else { &SEEDS };
        let run = |seed: &u64| Replay::new(rule, scenario, Instant::now(), *seed).run(scenario);
        let outcomes: Vec<Outcome> = seeds.iter().map(run).collect();
        let mean = |figure: fn(&Outcome) -> f64| {
            outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
        };
        let share_within = mean(|o| o.share_within);
        let p99 = mean(|o| o.p99);
        let slow_server_share = mean(|o| o.slow_server_share);
        println!(
            "scenario={name} rule={rule:?} within={share_within:.4} p99={p99:.3} server_0={slow_server_share:.2}"
        );
        Outcome { share_within, p99, slow_server_share }
    })
}

const HEAVY: [Route; 1] =
    [Route { mean_ms: 180.0, sigma: 1.1, objective: Duration::from_secs(2), share: 1.0 }];

const SHORT: Route = Route { mean_ms: 20.0, sigma: 0.4, objective: Duration::from_millis(300), share: 0.9 };
const LONG: Route = Route { mean_ms: 600.0, sigma: 0.4, objective: Duration::from_secs(3), share: 0.1 };

/// Two routes whose costs change to a quarter and to the fourfold in the middle.
const BEFORE: [Route; 2] = [
    Route { mean_ms: 100.0, sigma: 0.5, objective: Duration::from_millis(1_500), share: 0.5 },
    Route { mean_ms: 400.0, sigma: 0.5, objective: Duration::from_secs(3), share: 0.5 },
];
const AFTER: [Route; 2] = [Route { mean_ms: 400.0, ..BEFORE[0] }, Route { mean_ms: 100.0, ..BEFORE[1] }];

fn steady(routes: &'static [Route]) -> Scenario {
    Scenario { routes, late_routes: routes, slowness: 1.0 }
}

/// Asserts that callers get what they are promised by the rule, and no less than by the choices that know less.
fn assert_promise_is_kept([counts, least_work, cost, oracle]: &[Outcome; 4]) {
    assert!(oracle.share_within >= PROMISED_SHARE, "the load can't be served: {oracle:?}");
    assert!(cost.share_within >= PROMISED_SHARE, "{cost:?}");
    assert!(cost.p99 <= 1.0, "{cost:?}");
    assert_better(cost, counts);
    assert_better(cost, least_work);
}

fn assert_better(cost: &Outcome, other: &Outcome) {
    assert!(cost.share_within >= other.share_within, "{cost:?} {other:?}");
    assert!(cost.p99 <= other.p99, "{cost:?} {other:?}");
}

/// Guards against requests behind a few long ones at a server that has few requests.
#[test]
fn requests_of_one_route_with_a_heavy_tail_meet_their_objective() {
    assert_promise_is_kept(&compare("heavy", &steady(&HEAVY)));
}

/// Guards against estimates that stay with the costs before a change.
#[test]
fn requests_meet_their_objective_while_costs_change() {
    assert_promise_is_kept(&compare("drift", &Scenario { late_routes: &AFTER, ..steady(&BEFORE) }));
}

/// Guards against more requests at a slow server than it can run, and against a cost that one slow server raises
/// for all.
#[test]
fn one_slow_server_gets_no_more_than_it_can_run() {
    let slowness = 5.0;
    let outcomes = compare("slow", &Scenario { slowness, ..steady(&HEAVY) });
    assert_promise_is_kept(&outcomes);
    let cost = &outcomes[2];
    assert!(cost.slow_server_share <= 1.0 / (LOAD * slowness), "{cost:?}");
}

static TWO_ROUTES: LazyLock<[Outcome; 4]> = LazyLock::new(|| compare("two", &steady(&[SHORT, LONG])));

/// Guards against short requests behind long ones at a server that has few requests.
#[test]
fn short_requests_beside_long_ones_fare_better_than_by_counts() {
    let [counts, least_work, cost, _] = &*TWO_ROUTES;
    assert_better(cost, counts);
    assert_better(cost, least_work);
}

/// Guards against short requests behind long ones.
#[test]
fn short_requests_beside_long_ones_meet_their_objective() {
    assert_promise_is_kept(&TWO_ROUTES);
}
