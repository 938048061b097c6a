//! A runner answers one streaming request at each gateway with bytes that have no end. The
//! gateway neither answers the request nor gives it up when its time is over.

#[path = "../common/kit.rs"]
mod kit;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{Call, Case, Gateway, Request, Store};

/// The route's `timeout_ms`.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// How much later an answer may come, as the rule CONFIG says.
const LATE: Duration = Duration::from_millis(500);
/// Time that the clients wait.
const PATIENCE_MS: u64 = 8_000;
/// Bytes that the faulty runner sends in a second, below `link_mbps` of a machine.
const BYTES_PER_S: usize = 15_000_000;
/// Size of the pieces in which it sends them.
const PIECE: usize = 10_000;
/// Time after which the faulty runner stops, for the safety of this machine.
const ENDLESS_AT_MOST: Duration = Duration::from_secs(8);
/// Most endless answers at once, so that together they stay below `link_mbps`, 125 MB a second.
const MOST_AT_ONCE: usize = 8;
/// Healthy turns at each gateway.
const HEALTHY: usize = 40;

fn turn() -> Request {
    let id = kit::new_id();
    Request {
        path: "/guide/1".to_owned(),
        deadline_ms: PATIENCE_MS,
        headers: vec![
            ("Kingcupspan-Program-Id", format!("p-{id}")),
            ("Kingcupspan-Session-Id", "s1".to_owned()),
            ("Kingcupspan-Program-Deadline-Ms", "30000".to_owned()),
            ("Kingcupspan-Token-Budget", "2000".to_owned()),
            ("Kingcupspan-Token-Usage", "100,99".to_owned()),
        ],
        body: b"what is said so far".to_vec(),
        id,
    }
}

/// Answers with a signed head and then bytes without end, until the connection is closed.
fn endless(call: &mut Call<'_>, case: &Case) -> bool {
    let head = call.signed_head("i-llm-1")
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut piece = format!("{PIECE:x}\r\n").into_bytes();
    piece.extend(vec![b'#'; PIECE]);
    piece.extend(b"\r\n");
    let mut is_open = call.send(head.as_bytes());
    let began = Instant::now();
    let mut sent = 0;
    while is_open && began.elapsed() < ENDLESS_AT_MOST {
        if sent > began.elapsed().as_millis() as usize * (BYTES_PER_S / 1_000) {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        is_open = call.send(&piece);
        sent += PIECE;
    }
    case.note(&format!(
        "i-llm-1 has sent {} MB to {} in {:.1} s; the gateway closed the connection: {}",
        sent / 1_000_000,
        call.request.id(),
        began.elapsed().as_secs_f64(),
        !is_open
    ));
    false
}

/// Requests that were unanswered when their time was over, and those of them that still were
/// half a second later.
#[derive(Default)]
struct Unanswered {
    at_timeout: u32,
    later: u32,
}

fn send(
    case: &Case,
    gateway: (String, std::net::SocketAddr),
    request: &Request,
    unanswered: &Mutex<Unanswered>,
) {
    let began = Instant::now();
    let answer = request.send(gateway.1);
    let took = began.elapsed();
    case.note(&format!(
        "client: {} at {} is answered {}, whole={}, after {:.2} s",
        request.id,
        gateway.0,
        answer.status(),
        answer.is_whole,
        took.as_secs_f64()
    ));
    let mut unanswered = unanswered.lock().unwrap();
    unanswered.at_timeout += u32::from(took > TIMEOUT);
    unanswered.later += u32::from(took > TIMEOUT + LATE);
}

fn main() {
    let case = Case::begin();
    let store = Store::start(case.addr(1, 8142));
    let faulty: Arc<Mutex<HashSet<String>>> = Arc::default();
    let (noted, spoilt) = (Arc::clone(&case), Arc::clone(&faulty));
    kit::start_runner(
        &case,
        &store,
        "i-llm-1",
        (10, "llm", "a"),
        16,
        move |call| {
            noted.note(&format!("i-llm-1 runs {}", call.request.id()));
            let is_spoilt = spoilt.lock().unwrap().remove(call.request.id());
            match is_spoilt {
                true => endless(call, &noted),
                false => call.stream_events("i-llm-1", 9, Duration::from_millis(10)),
            }
        },
    );
    store.put(
        "keyed.op",
        "config",
        r#"{"resource_version":3,"routes":[{"name":"guide","host":"shop.example","path_prefix":"/guide/",
"kind":"streaming","timeout_ms":3000,"target_latency_ms":250,"gap_aim_ms":200,"priority":0,"service":"llm",
"max_attempts":1,"sticky":true,"resumable":true,"retain_history":false,"retention_s":60}],
"services":[{"name":"llm","max_connections":180,"engine":{"slots":16,"kv_capacity_tokens":132211,"tokens_per_event":11}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    );
    let zones = [("edge-a-1", "a"), ("edge-b-1", "b"), ("edge-c-1", "c")];
    let gateways: Vec<Gateway> = (20..)
        .zip(zones)
        .map(|(machine, (name, zone))| Gateway::start(&case, name, zone, machine))
        .collect();
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(10)))
    {
        case.cannot_run("the gateways don't get ready");
    }
    // Traffic starts 10 s after the machines.
    thread::sleep(Duration::from_secs(10));
    let unanswered = Arc::new(Mutex::new(Unanswered::default()));
    let mut senders = Vec::new();
    for gateway in &gateways {
        let place = (gateway.name.clone(), gateway.front());
        for number in 0..=HEALTHY {
            let request = turn();
            if number == 0 && case.trouble {
                faulty.lock().unwrap().insert(request.id.clone());
            }
            let (case, unanswered, place) =
                (Arc::clone(&case), Arc::clone(&unanswered), place.clone());
            senders.push(thread::spawn(move || {
                send(&case, place, &request, &unanswered)
            }));
            thread::sleep(Duration::from_millis(10));
        }
    }
    thread::sleep(Duration::from_secs(9));
    // As many answers at once as the gateway has threads; on its own machine it has one.
    let threads = thread::available_parallelism()
        .map_or(MOST_AT_ONCE, usize::from)
        .min(MOST_AT_ONCE);
    let place = (gateways[0].name.clone(), gateways[0].front());
    case.note(&format!("{threads} such answers at once at {}", place.0));
    for number in 0..threads + HEALTHY {
        let request = turn();
        if number < threads && case.trouble {
            faulty.lock().unwrap().insert(request.id.clone());
        }
        let (shared, unanswered, target) =
            (Arc::clone(&case), Arc::clone(&unanswered), place.clone());
        senders.push(thread::spawn(move || {
            send(&shared, target, &request, &unanswered)
        }));
        if number >= threads {
            thread::sleep(Duration::from_millis(100));
        }
        if number % 8 == 7 {
            let is_ready = gateways[0].is_ready();
            case.note(&format!(
                "{} says within a second that it is ready: {is_ready}",
                place.0
            ));
        }
    }
    for gateway in &gateways {
        case.note(&format!(
            "{} holds {} MB",
            gateway.name,
            gateway.resident_mb()
        ));
    }
    senders.into_iter().for_each(|s| drop(s.join()));
    let unanswered = unanswered.lock().unwrap();
    let why = format!(
        "{} requests were unanswered at their route's timeout_ms, {} of them half a second later",
        unanswered.at_timeout, unanswered.later
    );
    case.end(unanswered.later * 2 > unanswered.at_timeout, &why);
}
