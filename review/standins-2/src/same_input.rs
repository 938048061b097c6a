//! Many programs send the same short input; an engine crashes while it runs some of these turns.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request},
    deployment::Deployment,
    long_program::turn,
};

/// As many engines as the site has.
const ENGINES: [&str; 8] = [
    "i-7f3a91c2",
    "i-02d9e6b4",
    "i-55c0d1e8",
    "i-0b6e72fa",
    "i-91ad3c40",
    "i-c8d25e17",
    "i-e2b94f06",
    "i-3d70a8bb",
];

/// Programs whose second turns are in flight at the crash, and programs that send theirs later.
const BEFORE: usize = 24;
const LATER: usize = 4;

/// Tries of each of the latter.
const TRIES: usize = 6;

/// Second input of all programs.
const INPUT: &[u8] = b"continue\n";

/// Turns in flight that an engine has to run when it is killed.
const MIN_RUNNING: usize = 3;

pub fn play(mut d: Deployment, has_trouble: bool) -> ! {
    d.configure();
    for id in ENGINES {
        d.add_runner(id, "feather-llm", (7, 150), Some(Duration::from_secs(3)));
    }
    d.start_gateways(2);
    thread::sleep(Duration::from_secs(4));
    let record = Arc::clone(&d.record);
    let programs: Vec<String> = (1..=BEFORE + LATER)
        .map(|n| format!("program-{n}"))
        .collect();
    let first: Vec<Request> = programs
        .iter()
        .map(|p| {
            turn(
                &d,
                p,
                None,
                format!("{p} asks for an estimate\n").as_bytes(),
            )
        })
        .collect();
    let answers = send_together(&d, &first);
    for (request, answer) in first.iter().zip(&answers) {
        record.line(&format!("first turn {}: {}", request.id, answer.summary()));
    }
    if answers.iter().any(|a| a.status != 200 || !a.is_complete) {
        d.end(None, "a first turn was not answered");
    }
    let answered_at = Instant::now();
    let second: Vec<Request> = (0..BEFORE)
        .map(|i| turn(&d, &programs[i], Some(&first[i].id), INPUT))
        .collect();
    let killer = d.record.clone();
    let answers = thread::scope(|scope| {
        let sending = scope.spawn(|| send_together(&d, &second));
        thread::sleep(Duration::from_millis(400));
        if let Some((engine, running)) = busiest(&d, &second) {
            killer.line(&format!(
                "engine {engine} runs {running} of the {BEFORE} second turns"
            ));
            if has_trouble && running >= MIN_RUNNING {
                d.kill_runner(&engine);
            }
        }
        sending.join().expect("the clients end")
    });
    for (request, answer) in second.iter().zip(&answers) {
        record.line(&format!("second turn {}: {}", request.id, answer.summary()));
    }
    if has_trouble && answers.iter().all(|a| a.is_complete && a.status == 200) {
        d.end(None, "no engine ran enough of the turns when it was killed");
    }
    // The engine is back after 3 s, and stable_window_ms (3 s) has passed since.
    thread::sleep(Duration::from_secs(8));
    record.line("the engine is back, and no disruption has been for 3 s");
    let mut lost = Vec::new();
    let (mut first_sent, mut first_run) = (0, 0);
    for i in BEFORE..BEFORE + LATER {
        let mut unserved = 0;
        for attempt in 0..TRIES {
            let front = d.gateways[(i + attempt) % 2].front;
            let new = turn(
                &d,
                &d.id(),
                None,
                format!("question {i}.{attempt}\n").as_bytes(),
            );
            let next = turn(&d, &programs[i], Some(&first[i].id), INPUT);
            let answers = send_pair(front, &new, &next);
            first_sent += 1;
            first_run += usize::from(d.has_run(&new.id));
            let has_run = d.has_run(&next.id);
            unserved += usize::from(!has_run);
            record.line(&format!(
                "first turn {} of a new program: {}; second turn {} of {}, {:.1} s after its first: {}, {}",
                new.id,
                answers.0.summary(),
                next.id,
                programs[i],
                answered_at.elapsed().as_secs_f64(),
                answers.1.summary(),
                if has_run { "has reached a runner" } else { "has reached no runner" }
            ));
        }
        if unserved >= 5 {
            lost.push(programs[i].clone());
        }
    }
    let is_broken = !lost.is_empty() && first_run * 10 >= first_sent * 9;
    let text = format!(
        "LOST: the second turns of {} of {LATER} programs reached no runner in five tries or more (retention_s is 60 s, \
         at most 2 of 128 slots were taken); {first_run} of {first_sent} first turns did",
        lost.len()
    );
    d.end(Some(is_broken), &text)
}

/// Sends requests at the same time, to the daemons in turn.
fn send_together(d: &Deployment, requests: &[Request]) -> Vec<client::Answer> {
    thread::scope(|scope| {
        let clients: Vec<_> = requests
            .iter()
            .enumerate()
            .map(|(i, r)| {
                let front = d.gateways[i % d.gateways.len()].front;
                scope.spawn(move || client::send(front, r))
            })
            .collect();
        clients
            .into_iter()
            .map(|c| c.join().expect("a client ends"))
            .collect()
    })
}

fn send_pair(
    front: std::net::SocketAddr,
    new: &Request,
    next: &Request,
) -> (client::Answer, client::Answer) {
    thread::scope(|scope| {
        let first = scope.spawn(|| client::send(front, new));
        let second = client::send(front, next);
        (first.join().expect("a client ends"), second)
    })
}

/// The engine that runs the most of the requests, and how many these are.
fn busiest(d: &Deployment, requests: &[Request]) -> Option<(String, usize)> {
    let mut running: BTreeMap<String, usize> = BTreeMap::new();
    for (_, words) in d.runs() {
        let is_one = requests.iter().any(|r| r.id == words[4]);
        if is_one && words[1] == "runs" {
            *running.entry(words[2].clone()).or_default() += 1;
        }
    }
    running.into_iter().max_by_key(|(_, n)| *n)
}
