//! Callers: programs of turns and calls of tools, over connections that are kept.

use std::{
    collections::{HashMap, HashSet},
    net,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan::http::conn::Conn;
use kingcupspan_platform_standin::caller::{self, Request, Response};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Tokens in an event, by the stand-in's configuration.
const TOKENS_PER_EVENT: u64 = 10;

/// Budget of a program that ends by itself.
const BUDGET: u64 = 2_000;

/// Budget of a program that goes on until it is stopped.
const SMALL_BUDGET: u64 = 250;

/// Turns of a program that ends by itself.
const TURNS: u32 = 5;

/// Attempts at a turn.
const ATTEMPTS: u32 = 4;

/// A turn that was answered whole.
#[derive(Debug, Clone)]
pub struct Done {
    /// Its id.
    pub id: String,

    /// When it was answered.
    pub at: Instant,

    /// All inputs and outputs up to its end.
    pub said: String,
}

/// What callers sent and saw.
#[derive(Default)]
pub struct Record {
    /// Ids that were sent, and the body that an endpoint may get.
    pub sent: Mutex<HashMap<String, String>>,

    /// Ids of requests that must not run twice.
    pub once: Mutex<HashSet<String>>,

    /// Ids whose answer promises that they have not run.
    pub refused: Mutex<HashMap<String, u16>>,

    /// Turns that were answered whole.
    pub done: Mutex<Vec<Done>>,

    /// Tokens handed out and budget of each program.
    pub tokens: Mutex<HashMap<String, (u64, u64)>>,

    /// Answers that break a promise.
    pub findings: Mutex<Vec<String>>,

    /// Answers by status.
    pub statuses: Mutex<HashMap<u16, u32>>,
}

/// One caller.
pub struct Caller {
    name: String,
    rng: StdRng,
    fronts: Vec<net::SocketAddr>,
    conns: HashMap<net::SocketAddr, Conn>,
    record: Arc<Record>,
    next: u64,
}

impl Caller {
    /// Caller `n` of a seed.
    pub fn new(seed: u64, n: u64, fronts: Vec<net::SocketAddr>, record: Arc<Record>) -> Self {
        Self {
            name: format!("s{seed}c{n}"),
            rng: StdRng::seed_from_u64(seed * 1_000 + n),
            fronts,
            conns: HashMap::new(),
            record,
            next: 0,
        }
    }

    /// Runs programs for a time.
    pub async fn run(mut self, span: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < span {
            match self.rng.random_ratio(1, 4) {
                true => self.program(SMALL_BUDGET, u32::MAX, begun + span).await,
                false => self.program(BUDGET, TURNS, begun + span).await,
            }
        }
    }

    fn id(&mut self, kind: &str) -> String {
        self.next += 1;
        format!("{}{kind}{}", self.name, self.next)
    }

    async fn program(&mut self, budget: u64, turns: u32, until: Instant) {
        let program = self.id("p");
        let mut last: Option<Done> = None;
        for _ in 0..turns {
            let Some(done) = self.turn(&program, budget, last.as_ref()).await else {
                return;
            };
            last = Some(done);
            self.tool().await;
            if Instant::now() > until {
                return;
            }
        }
    }

    /// One turn, sent again with another id while it fails.
    async fn turn(&mut self, program: &str, budget: u64, last: Option<&Done>) -> Option<Done> {
        for _ in 0..ATTEMPTS {
            let id = self.id("t");
            let previous = last.map(|d| d.id.as_str());
            let request = Request::turn(program, &id, previous, budget);
            let before = last.map_or("", |d| d.said.as_str());
            let prompt = format!("{before}{}", request.body);
            self.note_sent(&id, &prompt, true);
            let answer = self.send(&request).await;
            self.note_tokens(program, budget, &answer);
            if answer.status == 404 && last.is_some() {
                self.find(format!("{id}: 404 though {previous:?} was answered whole"));
            }
            if answer.status == 200 && answer.is_complete {
                self.check_stream(&id, &answer);
                let outputs = answer.body.lines().filter_map(|l| l.strip_prefix("data: "));
                let output: String = outputs.map(|o| format!("{o}\n")).collect();
                let done = Done {
                    id,
                    at: Instant::now(),
                    said: prompt + &output,
                };
                self.record.done.lock().push(done.clone());
                return Some(done);
            }
            if answer.status == 402 {
                return None;
            }
            let pause = self.rng.random_range(50..300);
            task::sleep(Duration::from_millis(pause)).await;
        }
        None
    }

    /// A call of a tool, idempotent or not.
    async fn tool(&mut self) {
        let is_idempotent = self.rng.random_bool(0.5);
        let id = self.id("c");
        let path = match is_idempotent {
            true => "/safe/x",
            false => "/unsafe/x",
        };
        let request = Request {
            body: format!("call {id}"),
            ..Request::plain(path, &id)
        };
        self.note_sent(&id, &request.body, !is_idempotent);
        let answer = self.send(&request).await;
        if answer.status == 200 && answer.is_complete && answer.body != format!("done {id}\n") {
            self.find(format!("{id}: answered with {:?}", answer.body));
        }
    }

    /// Sends a request, as a rule on a connection that was used before.
    async fn send(&mut self, request: &Request) -> Response {
        let front = self.fronts[self.rng.random_range(0..self.fronts.len())];
        let kept = self.conns.remove(&front);
        let answer = match kept.filter(|_| self.rng.random_ratio(4, 5)) {
            Some(mut conn) => {
                let answer = caller::send_on_connection(&mut conn, request).await;
                let answer = answer.unwrap_or_default();
                if answer.is_complete && !answer.closes_connection {
                    self.conns.insert(front, conn);
                }
                answer
            }
            None => self.send_anew(front, request).await,
        };
        self.note_answer(&request.id, &answer);
        answer
    }

    async fn send_anew(&mut self, front: net::SocketAddr, request: &Request) -> Response {
        let Some(mut conn) = caller::start_request(front, request).await else {
            return Response::default();
        };
        let answer = caller::read_response_with_timeout(&mut conn)
            .await
            .unwrap_or_default();
        if answer.is_complete && !answer.closes_connection {
            self.conns.insert(front, conn);
        }
        answer
    }

    fn note_sent(&self, id: &str, body: &str, is_once: bool) {
        self.record
            .sent
            .lock()
            .insert(id.to_owned(), body.to_owned());
        if is_once {
            self.record.once.lock().insert(id.to_owned());
        }
    }

    fn note_answer(&self, id: &str, answer: &Response) {
        *self
            .record
            .statuses
            .lock()
            .entry(answer.status)
            .or_default() += 1;
        if matches!(answer.status, 402 | 408 | 421 | 429 | 503) {
            let mut refused = self.record.refused.lock();
            refused.insert(id.to_owned(), answer.status);
        }
        if answer.status == 200 && answer.signature.is_none() {
            self.find(format!("{id}: a success without a signature"));
        }
    }

    fn note_tokens(&self, program: &str, budget: u64, answer: &Response) {
        let events = answer.body.matches("data: ").count() as u64;
        let mut tokens = self.record.tokens.lock();
        let entry = tokens.entry(program.to_owned()).or_insert((0, budget));
        entry.0 += events * TOKENS_PER_EVENT;
    }

    fn check_stream(&self, id: &str, answer: &Response) {
        let data: Vec<&str> = answer
            .body
            .lines()
            .filter_map(|l| l.strip_prefix("data: "))
            .collect();
        let is_in_order = data.iter().zip(1..).all(|(d, n)| *d == format!("{id}.{n}"));
        if data.len() != 3 || !is_in_order {
            self.find(format!("{id}: events {data:?}"));
        }
    }

    fn find(&self, what: String) {
        self.record.findings.lock().push(what);
    }
}
