//! A long program goes on after the daemon that served it was killed and started again.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request},
    deployment::Deployment,
};

/// Turns of the long program before the disruption.
const TURNS: usize = 300;

/// Bytes of the input of each of its turns.
const INPUT_BYTES: usize = 400;

/// First turns of other programs that the store holds, and the bytes of their inputs.
const OTHER_TURNS: usize = 4_000;
const OTHER_INPUT_BYTES: usize = 26_000;

/// Clients that send them.
const OTHER_CLIENTS: usize = 16;

/// Tries to continue the long program after the disruption.
const TRIES: usize = 8;

/// A turn on the route that keeps what was said.
pub fn turn(d: &Deployment, program: &str, previous: Option<&str>, input: &[u8]) -> Request {
    let request = Request {
        method: "POST",
        path: "/chat/4b".into(),
        id: d.id(),
        deadline_ms: 3_000,
        body: input.to_vec(),
        ..Request::default()
    };
    let request = request
        .with("Kingcupspan-Model", "m")
        .with("Kingcupspan-Program-Id", program)
        .with("Kingcupspan-Session-Id", program)
        .with("Kingcupspan-Program-Deadline-Ms", 60_000)
        .with("Kingcupspan-Token-Budget", 100_000)
        .with("Kingcupspan-Token-Usage", "400,80");
    match previous {
        Some(previous) => request.with("Kingcupspan-Previous-Turn", previous),
        None => request,
    }
}

pub fn play(mut d: Deployment, has_trouble: bool) -> ! {
    d.configure();
    for id in ["i-7f3a91c2", "i-02d9e6b4"] {
        d.add_runner(id, "feather-llm", (7, 1), None);
    }
    d.start_gateways(2);
    thread::sleep(Duration::from_secs(4));
    fill_store(&d);
    let record = d.record.clone();
    let mut last: Option<String> = None;
    for number in 1..=TURNS {
        let input = vec![b'a' + (number % 26) as u8; INPUT_BYTES];
        let request = turn(&d, "long-program", last.as_deref(), &input);
        let mut answer = client::send(d.gateways[0].front, &request);
        let mut id = request.id.clone();
        for _ in 0..5 {
            if answer.status == 200 && answer.is_complete {
                break;
            }
            record.line(&format!(
                "turn {number} is sent again: {}",
                answer.summary()
            ));
            thread::sleep(Duration::from_millis(300));
            let again = Request {
                id: d.id(),
                ..request.clone()
            };
            id = again.id.clone();
            answer = client::send(d.gateways[0].front, &again);
        }
        if answer.status != 200 || !answer.is_complete {
            d.end(None, "the long program did not get so far");
        }
        last = Some(id);
    }
    let answered_at = Instant::now();
    record.line(&format!("the long program has {TURNS} turns, all answered whole; peak memory of the daemons {} and {} MB", d.peak_memory_mb(0), d.peak_memory_mb(1)));
    if has_trouble {
        d.kill_gateway(0);
        thread::sleep(Duration::from_secs(1));
        d.start_gateway(0);
        d.wait_until_ready(0);
    }
    // All machines are in touch again after stable_window_ms (3 s).
    thread::sleep(Duration::from_secs(4));
    let mut unserved = 0;
    let mut lost = 0;
    let (mut first_sent, mut first_run) = (0, 0);
    for number in 1..=TRIES {
        let first = turn(
            &d,
            &format!("new-{number}"),
            None,
            b"another program begins\n",
        );
        let answer = client::send(d.gateways[0].front, &first);
        first_sent += 1;
        first_run += usize::from(d.has_run(&first.id));
        record.line(&format!(
            "first turn {} of a new program: {}",
            first.id,
            answer.summary()
        ));
        let next = turn(&d, "long-program", last.as_deref(), b"and then\n");
        let answer = client::send(d.gateways[0].front, &next);
        let has_run = d.has_run(&next.id);
        record.line(&format!(
            "turn {} after {}, {:.1} s after that was answered: {}, {}; the daemon's peak memory is {} MB{}",
            next.id,
            last.as_deref().unwrap_or("-"),
            answered_at.elapsed().as_secs_f64(),
            answer.summary(),
            if has_run { "has reached a runner" } else { "has reached no runner" },
            d.peak_memory_mb(0),
            if d.has_ended(0) { ", and it has ended" } else { "" },
        ));
        lost += usize::from(answer.status == 404 || answer.status == 410);
        unserved += usize::from(!has_run);
        thread::sleep(Duration::from_millis(400));
    }
    let is_broken = lost > 0 || (unserved >= 5 && first_run * 10 >= first_sent * 9);
    let text = format!(
        "LOST: of {TRIES} tries to go on from a turn that was answered whole less than retention_s (60 s) ago, \
         {lost} got 404 or 410 and {unserved} reached no runner; {first_run} of {first_sent} first turns did"
    );
    d.end(Some(is_broken), &text)
}

/// Sends first turns of other programs through the second daemon.
fn fill_store(d: &Deployment) {
    let started = Instant::now();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..OTHER_CLIENTS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= OTHER_TURNS {
                        return;
                    }
                    let input = vec![b'A' + (number % 26) as u8; OTHER_INPUT_BYTES];
                    let request = turn(d, &format!("other-{number}"), None, &input);
                    let answer = client::send(d.gateways[1].front, &request);
                    if answer.status == 200 && answer.is_complete {
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let (records, bytes) = d.store.volume("keyed.turns");
    d.record.line(&format!(
        "{} of {OTHER_TURNS} first turns of other programs were answered whole, in {:.1} s; the store has {records} records of turns, {} MB",
        done.load(Ordering::Relaxed),
        started.elapsed().as_secs_f64(),
        bytes / 1_000_000
    ));
}
