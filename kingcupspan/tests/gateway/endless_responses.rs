//! Endpoints that send a part of a response without end.

use std::{
    fs,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request},
    endpoint::{EndlessPart, EndpointBehavior},
};

use crate::fleet::Fleet;

/// Timeout of all routes.
const ROUTE_TIMEOUT_MS: u64 = 1_500;

/// Time after the timeout of its route within which every request is answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Requests that meet a response without end at the same time.
const REQUESTS: usize = 12;

/// Memory of a VM, in kilobytes.
const MEMORY_KB: u64 = 130_000;

/// Every part of a response that may never end.
const PARTS: [EndlessPart; 6] = [
    EndlessPart::Head,
    EndlessPart::InterimHeads,
    EndlessPart::ChunkLine,
    EndlessPart::EventLine,
    EndlessPart::EventLines,
    EndlessPart::Body,
];

/// Largest resident memory that a process has had, in kilobytes.
fn peak_memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the daemon runs");
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number
        .and_then(|n| n.parse().ok())
        .expect("the kernel tells the peak memory")
}

// Guards against responses without end that hold requests past their timeout, stop a daemon
// from serving others, or use up its memory.
#[async_std::test]
async fn responses_without_end_are_cut_off() {
    let fleet = Fleet::start("gateway-endless", 1, ROUTE_TIMEOUT_MS).await;
    for part in PARTS {
        fleet.engine.set_behavior(EndpointBehavior::Endless(part));
        let requests: Vec<_> = (0..REQUESTS)
            .map(|i| {
                let id = format!("{part:?}{i}");
                let turn = Request::turn(&id, &id, None, 3_000);
                let addr = fleet.caller_addr(0);
                task::spawn(async move {
                    let sent_at = Instant::now();
                    let response = caller::send(addr, &turn).await;
                    (response, sent_at.elapsed())
                })
            })
            .collect();
        task::sleep(Duration::from_millis(300)).await;
        let sent_at = Instant::now();
        let other = Request::plain("/safe/", &format!("other{part:?}"));
        let response = fleet.send(0, &other).await;
        assert_eq!(response.status, 200, "{part:?}: {response:?}");
        let elapsed = sent_at.elapsed();
        assert!(
            elapsed < ANSWER_MARGIN,
            "{part:?}: another request took {elapsed:?}"
        );
        for request in requests {
            let (response, elapsed) = request.await;
            let longest = Duration::from_millis(ROUTE_TIMEOUT_MS) + ANSWER_MARGIN;
            assert!(elapsed < longest, "{part:?}: answered after {elapsed:?}");
            let looks_complete = response.status == 200 && response.is_complete;
            assert!(!looks_complete, "{part:?}: {} bytes", response.body.len());
        }
        fleet.engine.drop_connections();
    }
    let plain = &fleet.service_endpoints;
    let endless_body = EndpointBehavior::Endless(EndlessPart::Body);
    plain.iter().for_each(|e| e.set_behavior(endless_body));
    let sent_at = Instant::now();
    let response = fleet.send(0, &Request::plain("/unsafe/", "body")).await;
    let elapsed = sent_at.elapsed();
    let longest = Duration::from_millis(ROUTE_TIMEOUT_MS) + ANSWER_MARGIN;
    assert!(
        elapsed < longest,
        "a plain body was cut off after {elapsed:?}"
    );
    assert!(!response.is_complete, "{} bytes", response.body.len());
    let peak = peak_memory_kb(fleet.daemons[0].id());
    assert!(peak < MEMORY_KB, "used up to {peak} kB");
}
