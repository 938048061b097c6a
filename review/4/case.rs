//! All gateways are killed while the store is away and one of them has granted itself tokens
//! of a program's budget. The program goes on for more than a minute.

#[path = "../common/kit.rs"]
mod kit;

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use kit::{Case, Gateway, Message, Request, Store};

/// Token budget of the program.
const BUDGET: u64 = 2_000;
/// Most tokens that a turn may generate.
const TURN_MOST: u64 = 99;
/// Tokens in an event.
const TOKENS_PER_EVENT: u64 = 11;
/// Events of a turn.
const EVENTS: u64 = TURN_MOST / TOKENS_PER_EVENT;
/// How long the store is away.
const OUTAGE: Duration = Duration::from_secs(7);
/// How long the processes are down after they were killed.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time from the start of the case until which the program pauses between its turns, so that
/// none of its turns comes later than `retention_s` (60 s) after the one before.
const UNHURRIED_UNTIL: f64 = 80.0;
/// Pause between unhurried turns.
const PAUSE_MS: u64 = 6_000;
/// Time from the start of the case until which the program goes on.
const LAST_TURN: f64 = 108.0;

/// A program that sends one turn after the other.
struct Program {
    case: Arc<Case>,
    tokens: u64,
    budget_refusals: u32,
}

impl Program {
    /// Sends a turn to a gateway and counts the tokens that it hands out.
    fn turn(&mut self, gateway: &Gateway) -> u16 {
        let request = Request {
            path: "/guide/1".to_owned(),
            id: kit::new_id(),
            deadline_ms: 3_000,
            headers: vec![
                ("Kingcupspan-Program-Id", "p1".to_owned()),
                ("Kingcupspan-Session-Id", "s1".to_owned()),
                ("Kingcupspan-Program-Deadline-Ms", "120000".to_owned()),
                ("Kingcupspan-Token-Budget", BUDGET.to_string()),
                ("Kingcupspan-Token-Usage", format!("100,{TURN_MOST}")),
            ],
            body: b"what is said so far".to_vec(),
        };
        let answer: Message = request.send(gateway.front());
        let events = if answer.status() == 200 {
            answer.events()
        } else {
            0
        };
        self.tokens += events * TOKENS_PER_EVENT;
        self.budget_refusals += u32::from(answer.status() == 402);
        self.case.note(&format!(
            "client: turn {} at {} is answered {}, whole={}, {events} events; {} tokens so far",
            request.id,
            gateway.name,
            answer.status(),
            answer.is_whole,
            self.tokens
        ));
        answer.status()
    }
}

fn main() {
    let case = Case::begin();
    let store = Store::start(case.addr(1, 8142));
    for (i, (name, zone)) in [("i-llm-1", "a"), ("i-llm-2", "b")].into_iter().enumerate() {
        let noted = Arc::clone(&case);
        kit::start_runner(
            &case,
            &store,
            name,
            (10 + i as u8, "llm", zone),
            16,
            move |call| {
                noted.note(&format!("{name} runs {}", call.request.id()));
                call.stream_events(name, EVENTS, Duration::from_millis(3))
            },
        );
    }
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
    let mut program = Program {
        case: Arc::clone(&case),
        tokens: 0,
        budget_refusals: 0,
    };
    if program.turn(&gateways[0]) != 200 {
        case.cannot_run("the first turn isn't served");
    }
    if case.trouble {
        outage(&case, &store, &mut gateways, &mut program);
    }
    go_on(&case, &gateways, &mut program);
    let most = BUDGET + TURN_MOST;
    let why = format!(
        "{} tokens were handed out, at most {most} are allowed",
        program.tokens
    );
    case.end(program.tokens > most, &why);
}

/// The store goes away, the program goes on, and all processes are killed.
fn outage(case: &Case, store: &Store, gateways: &mut [Gateway], program: &mut Program) {
    let began = Instant::now();
    case.note("the store goes silent");
    store.set_silent(true);
    let wait_until = |after: Duration| thread::sleep(after.saturating_sub(began.elapsed()));
    wait_until(Duration::from_millis(1_500));
    while began.elapsed() < Duration::from_millis(4_500) {
        program.turn(&gateways[0]);
        thread::sleep(Duration::from_millis(60));
    }
    for gateway in gateways.iter_mut() {
        gateway.kill("all processes are killed");
    }
    thread::sleep(DOWN);
    gateways.iter_mut().for_each(Gateway::launch);
    wait_until(OUTAGE);
    store.set_silent(false);
    case.note("the store answers again");
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(10)))
    {
        case.cannot_run("the gateways don't get ready again");
    }
}

/// The program sends turns until its budget is spent or the time is over.
fn go_on(case: &Case, gateways: &[Gateway], program: &mut Program) {
    for number in 1.. {
        if case.now() > LAST_TURN || program.budget_refusals > 5 {
            return;
        }
        let status = program.turn(&gateways[number % gateways.len()]);
        let pause = match status {
            200 if case.trouble && case.now() < UNHURRIED_UNTIL => PAUSE_MS,
            200 => 60,
            _ => 1_000,
        };
        thread::sleep(Duration::from_millis(pause));
    }
}
