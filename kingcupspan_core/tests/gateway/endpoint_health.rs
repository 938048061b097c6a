//! Endpoints that fail a part of their requests or turn slow, and their way back.

use kingcupspan_core::{
    gateway::{
        endpoint::{Endpoint, InstanceId, State},
        endpoint_health::{Change, Fault, HealthTracker, Outcome, Timing},
    },
    id::MonoMs,
};

/// A service whose endpoints get requests in turn, as long as they are not avoided.
struct Service {
    endpoints: Vec<Endpoint>,
    tracker: HealthTracker,
    now: MonoMs,

    /// Requests that each endpoint has got.
    requests: Vec<u32>,

    /// Changes of each endpoint, with the time.
    changes: Vec<(u64, usize, Change)>,
}

/// How an endpoint ends its `n`th request.
type Behavior = fn(endpoint: usize, n: u32, now: MonoMs) -> Outcome<'static>;

fn completed(elapsed_ms: f64) -> Outcome<'static> {
    Outcome::Completed(Some(Timing {
        route: "r",
        elapsed_ms,
    }))
}

impl Service {
    fn new(endpoints: usize) -> Self {
        let endpoint = |i: usize| Endpoint {
            id: i.to_string().as_str().into(),
            service: "s".into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            domain: "x".to_owned(),
            version: "v1".into(),
            slots: 4,
            state: State::Ready,
            started_at_ms: 1,
        };
        Self {
            endpoints: (0..endpoints).map(endpoint).collect(),
            tracker: HealthTracker::default(),
            now: MonoMs(1_000),
            requests: vec![0; endpoints],
            changes: Vec::new(),
        }
    }

    /// Sends requests in turn, one every 20 ms, for a time.
    fn run(&mut self, seconds: u64, behavior: Behavior) {
        let name = self.endpoints[0].service.clone();
        for request in 0..seconds as usize * 50 {
            self.now.0 += 20;
            self.tracker.set_listed(&name, self.endpoints.len());
            let ids: Vec<InstanceId> = self.endpoints.iter().map(|e| e.id.clone()).collect();
            let trial = self.tracker.take_trial(&name, ids.iter(), true, self.now);
            let n = self.endpoints.len();
            let in_turn = (0..n).map(|i| (request + i) % n);
            let usable = |i: &usize| !self.tracker.is_avoided(&name, &ids[*i]);
            let chosen = match trial {
                Some(trial) => ids.iter().position(|id| *id == trial).unwrap(),
                None => in_turn.into_iter().find(usable).unwrap(),
            };
            self.requests[chosen] += 1;
            let outcome = behavior(chosen, self.requests[chosen], self.now);
            let change = self
                .tracker
                .record(&self.endpoints[chosen], outcome, self.now);
            self.changes.extend(change.map(|c| (self.now.0, chosen, c)));
        }
    }

    fn avoided(&self) -> Vec<usize> {
        let name = &self.endpoints[0].service;
        let is_avoided = |i: &usize| self.tracker.is_avoided(name, &self.endpoints[*i].id);
        (0..self.endpoints.len()).filter(is_avoided).collect()
    }
}

// Guards against an endpoint that fails two of five requests while its connections stand.
#[test]
fn endpoint_that_fails_a_part_of_its_requests_gets_few() {
    let mut service = Service::new(8);
    service.run(60, |endpoint, n, _| match endpoint == 3 && n % 5 < 2 {
        true => Outcome::Failed,
        false => completed(50.0),
    });
    let others = service.requests.iter().sum::<u32>() - service.requests[3];
    assert!(
        service.requests[3] * 8 < others / 7,
        "{:?}",
        service.requests
    );
    assert!(
        service
            .changes
            .iter()
            .all(|(_, endpoint, _)| *endpoint == 3)
    );
}

// Guards against judging a tool's answer as a fault of the endpoint that ran it.
#[test]
fn errors_that_all_endpoints_return_avoid_none() {
    let mut service = Service::new(8);
    // A third of the requests, scattered.
    service.run(60, |endpoint, n, _| {
        match ((n as usize * 7 + endpoint * 5) % 11).is_multiple_of(3) {
            true => Outcome::Failed,
            false => completed(50.0),
        }
    });
    assert_eq!(service.changes, []);
}

// Guards against one lost connection that costs an endpoint its requests.
#[test]
fn single_failure_avoids_none() {
    let mut service = Service::new(4);
    service.run(20, |endpoint, n, _| match (endpoint, n) {
        (1, 1) | (2, 9) => Outcome::Failed,
        _ => completed(50.0),
    });
    assert_eq!(service.changes, []);
}

// Guards against an endpoint that goes down and up by turns and gets all requests at each return.
#[test]
fn endpoint_that_flaps_is_avoided_for_longer_each_time() {
    let mut service = Service::new(6);
    service.run(30, |endpoint, _, now| {
        match endpoint == 0 && now.0 / 1_400 % 2 == 0 {
            true => Outcome::Failed,
            false => completed(50.0),
        }
    });
    let pauses: Vec<u64> = service
        .changes
        .iter()
        .filter_map(|(_, _, change)| match change {
            Change::Avoided { pause_ms, .. } => Some(*pause_ms),
            Change::Restored => None,
        })
        .collect();
    assert!(pauses.len() >= 3, "{pauses:?}");
    assert!(pauses.is_sorted(), "{pauses:?}");
}

// Guards against a slow third of the endpoints that passes as usual because it moves the mean.
#[test]
fn slow_third_is_avoided_and_no_other() {
    let mut service = Service::new(9);
    service.run(30, |endpoint, _, _| match endpoint < 3 {
        true => completed(400.0),
        false => completed(50.0),
    });
    assert_eq!(service.avoided(), [0, 1, 2]);
    let faults = service.changes.iter().filter(|(_, _, c)| {
        matches!(c, Change::Avoided { fault: Fault::Slowness(times), .. } if *times > 3.0)
    });
    assert_eq!(faults.count(), 3);
}

// Guards against taking capacity away while the whole service is slow or fails.
#[test]
fn nothing_is_avoided_when_all_endpoints_are_slow_or_fail() {
    let mut service = Service::new(6);
    service.run(10, |_, _, _| completed(50.0));
    service.run(20, |_, _, _| completed(2_000.0));
    service.run(20, |_, _, _| Outcome::Failed);
    assert_eq!(service.changes, []);
}

// Guards against avoiding so many endpoints that the others cannot take their load.
#[test]
fn at_most_a_third_of_the_endpoints_is_avoided() {
    for (endpoints, most) in [(2, 0), (3, 1), (4, 1), (9, 3)] {
        let mut service = Service::new(endpoints);
        // Two endpoints of three fail most requests.
        service.run(30, |endpoint, n, _| match endpoint % 3 < 2 && n % 5 < 4 {
            true => Outcome::Failed,
            false => completed(50.0),
        });
        assert!(service.avoided().len() <= most, "{:?}", service.avoided());
    }
}

// Guards against an endpoint that is never asked again after its fault has passed.
#[test]
fn recovered_endpoint_is_taken_back() {
    let mut service = Service::new(6);
    service.run(10, |endpoint, _, _| match endpoint {
        2 => Outcome::Failed,
        _ => completed(50.0),
    });
    assert_eq!(service.avoided(), [2]);
    service.run(20, |_, _, _| completed(50.0));
    assert_eq!(service.avoided(), [0_usize; 0]);
    assert!(matches!(
        service.changes.last(),
        Some((_, 2, Change::Restored))
    ));
    let before = service.requests[2];
    service.run(6, |_, _, _| completed(50.0));
    assert_eq!(service.requests[2] - before, 50, "its full share");
}

// Guards against requests in flight that prolong the pause one after another.
#[test]
fn failures_of_requests_sent_before_do_not_prolong_the_pause() {
    let mut service = Service::new(6);
    service.run(5, |_, _, _| completed(50.0));
    let endpoint = service.endpoints[0].clone();
    let now = service.now;
    for _ in 0..20 {
        let change = service.tracker.record(&endpoint, Outcome::Failed, now);
        service.changes.extend(change.map(|c| (now.0, 0, c)));
    }
    assert_eq!(service.changes.len(), 1, "{:?}", service.changes);
}

// Guards against single requests that spoil calls which cannot be repeated.
#[test]
fn repeatable_requests_are_tried_first() {
    let mut service = Service::new(6);
    service.run(5, |endpoint, _, _| match endpoint {
        2 => Outcome::Failed,
        _ => completed(50.0),
    });
    let name = service.endpoints[0].service.clone();
    let id = service.endpoints[2].id.clone();
    let (_, _, change) = service.changes.last().unwrap();
    let Change::Avoided { pause_ms, .. } = *change else {
        panic!("{change:?}");
    };
    let since = service.changes.last().unwrap().0;
    let mut take = |is_repeatable, at| {
        let ids = std::iter::once(&id);
        let trial = service
            .tracker
            .take_trial(&name, ids, is_repeatable, MonoMs(at));
        trial.is_some()
    };
    assert!(!take(true, since + pause_ms - 1));
    assert!(!take(false, since + pause_ms));
    assert!(take(false, since + 2 * pause_ms));
    assert!(!take(true, since + 2 * pause_ms + 1), "one at a time");
}
