//! A request crashes each engine that runs it and comes again; meanwhile the daemons are stopped and
//! started in turn.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::{self, Request},
    deployment::Deployment,
    long_program::turn,
};

const ENGINES: [&str; 6] = [
    "i-7f3a91c2",
    "i-02d9e6b4",
    "i-55c0d1e8",
    "i-0b6e72fa",
    "i-91ad3c40",
    "i-c8d25e17",
];

/// Time after which a crashed engine is back.
const DOWN: Duration = Duration::from_secs(2);

const STABLE_WINDOW_S: f64 = 3.0;

/// The request, which has the same path, caller and body each time.
fn poison(d: &Deployment) -> Request {
    let request = turn(d, "program-with-a-fault", None, b"the same body\n");
    Request {
        path: "/guide/poison".into(),
        ..request
    }
}

/// Crashes so far: time, request.
fn crashes(d: &Deployment) -> Vec<(f64, String)> {
    let is_crash = |words: &[String]| words[1] == "runs" && words[3].ends_with("/poison");
    let runs = d.runs().into_iter();
    runs.filter(|(_, w)| is_crash(w))
        .map(|(at, w)| (at, w[4].clone()))
        .collect()
}

fn send_poison(d: &Deployment, gateway: usize) {
    let request = poison(d);
    let answer = client::send(d.gateways[gateway].front, &request);
    let has_run = d.has_run(&request.id);
    d.record.line(&format!(
        "request {} that crashes engines, at {}: {}, {}",
        request.id,
        d.gateways[gateway].name,
        answer.summary(),
        if has_run {
            "has reached an engine"
        } else {
            "has reached no engine"
        }
    ));
    thread::sleep(Duration::from_millis(1_000));
}

pub fn play(mut d: Deployment, has_trouble: bool) -> ! {
    d.configure();
    for id in ENGINES {
        d.add_runner(id, "feather-llm", (7, 100), Some(DOWN));
    }
    d.start_gateways(3);
    thread::sleep(Duration::from_secs(4));
    let record = Arc::clone(&d.record);
    let fronts: Vec<_> = d.gateways.iter().map(|g| g.front).collect();
    let (is_over, cut, sent) = (
        AtomicBool::new(false),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    let others: Vec<Request> = (0..400)
        .map(|n| {
            turn(
                &d,
                &format!("program-{n}"),
                None,
                format!("question {n}\n").as_bytes(),
            )
        })
        .collect();
    thread::scope(|scope| {
        for worker in 0..6 {
            let (others, fronts) = (&others, &fronts);
            let (is_over, cut, sent) = (&is_over, &cut, &sent);
            scope.spawn(move || {
                for (n, request) in others.iter().enumerate().filter(|(n, _)| n % 6 == worker) {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let answer = client::send(fronts[n % fronts.len()], request);
                    sent.fetch_add(1, Ordering::SeqCst);
                    if answer.status == 502 || (answer.status == 200 && !answer.is_complete) {
                        cut.fetch_add(1, Ordering::SeqCst);
                    }
                }
            });
        }
        for round in 0..6 {
            send_poison(&d, round % 3);
        }
        thread::sleep(Duration::from_secs(4));
        for gateway in 0..3 {
            if has_trouble {
                d.stop_gateway(gateway);
                thread::sleep(Duration::from_millis(500));
                d.start_gateway(gateway);
                d.wait_until_ready(gateway);
            }
            // The daemon is in touch again after stable_window_ms (3 s).
            thread::sleep(Duration::from_secs(4));
            for _ in 0..5 {
                send_poison(&d, gateway);
            }
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let crashes = crashes(&d);
    for (at, id) in &crashes {
        record.line(&format!("at {at:.3} request {id} crashed an engine"));
    }
    let Some((third, _)) = crashes.get(2) else {
        d.end(None, "the request did not crash three engines");
    };
    let late = crashes
        .iter()
        .filter(|(at, _)| *at > third + STABLE_WINDOW_S)
        .count();
    let text = format!(
        "BUDGET: {} attempts reached an engine later than stable_window_ms (3 s) after the third crash, sent by machines in \
         touch; {} of {} other turns, which had begun to run, were cut",
        late,
        cut.load(Ordering::SeqCst),
        sent.load(Ordering::SeqCst)
    );
    d.end(Some(late > 3), &text)
}
