//! A turn that is larger than a record of the store is answered whole. Afterwards the gateways
//! are stopped and started in turn.

#[path = "../common/kit.rs"]
mod kit;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{Call, Case, Gateway, Message, Request, Store};

/// Size of the large turn's input, in bytes; the operator allows 4 MiB.
const LARGE: usize = 300_000;
/// Events of a turn.
const EVENTS: u64 = 6;
/// Time between the answers and the planned work.
const BEFORE: Duration = Duration::from_secs(3);
/// Bound `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Pause between the restarts of two machines.
const GAP: Duration = Duration::from_secs(2);
/// Time after which the machines are in touch again, over `stable_window_ms`.
const CALM: Duration = Duration::from_secs(4);
/// Tries of the turn that goes on from the large one.
const TRIES: usize = 12;

/// Prompts that runners got, by the turn's id.
type Prompts = Arc<Mutex<HashMap<String, Vec<u8>>>>;

fn turn(previous: Option<&str>, program: &str, input: Vec<u8>) -> Request {
    let mut headers = vec![
        ("Kingcupspan-Program-Id", program.to_owned()),
        ("Kingcupspan-Session-Id", program.to_owned()),
        ("Kingcupspan-Program-Deadline-Ms", "90000".to_owned()),
        ("Kingcupspan-Token-Budget", "20000".to_owned()),
        (
            "Kingcupspan-Token-Usage",
            format!("{},99", 100 + input.len() / 2),
        ),
    ];
    headers.extend(previous.map(|p| ("Kingcupspan-Previous-Turn", p.to_owned())));
    Request {
        path: "/chat/1".to_owned(),
        id: kit::new_id(),
        deadline_ms: 3_000,
        headers,
        body: input,
    }
}

/// Sends a turn and notes what is answered.
fn send(case: &Case, gateway: &Gateway, request: &Request, what: &str) -> Message {
    let answer = request.send(gateway.front());
    case.note(&format!(
        "client: {what}, turn {} of {} bytes at {}, is answered {}, whole={}, {} events",
        request.id,
        request.body.len(),
        gateway.name,
        answer.status(),
        answer.is_whole,
        answer.events()
    ));
    answer
}

fn main() {
    let case = Case::begin();
    let store = Store::start(case.addr(1, 8142));
    let prompts = Prompts::default();
    for (i, (name, zone)) in [("i-llm-1", "a"), ("i-llm-2", "b")].into_iter().enumerate() {
        let (noted, prompts) = (Arc::clone(&case), Arc::clone(&prompts));
        kit::start_runner(
            &case,
            &store,
            name,
            (10 + i as u8, "llm", zone),
            24,
            move |call: &mut Call<'_>| {
                let (id, prompt) = (call.request.id().to_owned(), call.request.body.clone());
                noted.note(&format!(
                    "{name} runs {id} with a prompt of {} bytes",
                    prompt.len()
                ));
                prompts.lock().unwrap().insert(id, prompt);
                call.stream_events(name, EVENTS, Duration::from_millis(3))
            },
        );
    }
    store.put(
        "keyed.op",
        "config",
        r#"{"resource_version":3,"routes":[{"name":"chat","host":"shop.example","path_prefix":"/chat/",
"kind":"streaming","timeout_ms":3000,"target_latency_ms":250,"gap_aim_ms":200,"priority":0,"service":"llm",
"max_attempts":1,"sticky":true,"resumable":false,"retain_history":true,"retention_s":60}],
"services":[{"name":"llm","max_connections":200,"engine":{"slots":24,"kv_capacity_tokens":204035,"tokens_per_event":11}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    );
    let zones = [("edge-a-1", "a"), ("edge-b-1", "b"), ("edge-c-1", "c")];
    let mut gateways: Vec<Gateway> = (20..)
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
    let large = turn(None, "large", vec![b'x'; LARGE]);
    let small = turn(None, "small", vec![b'y'; 1_300]);
    let first = send(&case, &gateways[0], &large, "the large turn");
    let other = send(&case, &gateways[0], &small, "a small turn");
    if ![&first, &other]
        .iter()
        .all(|a| a.status() == 200 && a.is_whole && a.events() == EVENTS)
    {
        case.cannot_run("the first turns aren't answered whole");
    }
    thread::sleep(BEFORE);
    if case.trouble {
        gateways.iter_mut().for_each(|g| restart(&case, g));
    }
    thread::sleep(CALM);
    let expected = [&large.body, first.event_data().as_bytes()].concat();
    go_on(
        &case,
        &gateways,
        (&large.id, &expected),
        &small.id,
        &prompts,
    );
}

/// Stops a gateway as the platform does and starts it again.
fn restart(case: &Case, gateway: &mut Gateway) {
    gateway.terminate();
    let stopped = Instant::now();
    while !gateway.has_ended() {
        if stopped.elapsed() > GRACE {
            gateway.kill("grace_s is over");
        }
        thread::sleep(Duration::from_millis(20));
    }
    gateway.launch();
    if !gateway.wait_ready(Duration::from_secs(10)) {
        case.cannot_run("a gateway doesn't get ready again");
    }
    thread::sleep(GAP);
}

/// Sends turns that continue from the first ones, and checks the rule LOST.
fn go_on(
    case: &Case,
    gateways: &[Gateway],
    (large, expected): (&str, &[u8]),
    small: &str,
    prompts: &Prompts,
) -> ! {
    let (mut reached, mut others, mut others_served) = (0, 0, 0);
    for number in 0..TRIES {
        let gateway = &gateways[number % gateways.len()];
        let next = turn(Some(large), "large", b"and now this".to_vec());
        send(case, gateway, &next, "after the large turn");
        if let Some(prompt) = prompts.lock().unwrap().get(&next.id) {
            reached += 1;
            let is_chain = *prompt == [expected, b"and now this"].concat();
            case.note(&format!(
                "the turn after the large one ran; its prompt is the chain: {is_chain}"
            ));
        }
        let others_now = [
            (
                turn(Some(small), "small", b"and now that".to_vec()),
                "after the small turn",
            ),
            (
                turn(None, &kit::new_id(), b"hello".to_vec()),
                "a first turn",
            ),
        ];
        for (next, what) in others_now {
            let answer = send(case, gateway, &next, what);
            others += 1;
            others_served += u32::from(answer.status() == 200 && answer.is_whole);
        }
        thread::sleep(Duration::from_millis(500));
    }
    let why = format!(
        "turns that name the large turn reached a runner in {reached} of {TRIES} tries; of other turns \
         meanwhile {others_served} of {others} were served"
    );
    case.end(reached == 0 && others_served * 10 >= others * 9, &why)
}
