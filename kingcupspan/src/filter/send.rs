//! Send: run the call on its endpoint, and again elsewhere where that is allowed.

use std::{net, time::Duration};

use async_std::task;
use http_types::Response;
use kingcupspan_core::{
    budget::Amount,
    id::EndpointId,
    quarantine,
    record::{Answer, Idempotency, Outcome},
    retry
};
use serde_json::{Value, json};

use crate::{
    controller,
    edge::{
        body,
        client::Timeouts,
        endpoint::{self, EndpointError, LoadReport, ModelCall, ServiceCall, StreamPart, Usage},
        peer::Target,
        problem::{Kind, Problem, Ran}
    },
    filter::{
        place,
        turn::{self, Ended, ReplyTo, TurnCx}
    }
};

/// How long connecting to an endpoint may take.
const CONNECT_PATIENCE: Duration = Duration::from_millis(1_500);

/// Age of a start beyond which a paused daemon no longer sends the call, in leases.
const START_LEASES_MAX: u64 = 1;

/// Probes of an endpoint that resets its connections.
const PROBES_MAX: u32 = 6;

/// Pause between these.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// Longest time in which a reset comes, in milliseconds; later is silence.
const RESET_MAX_MS: u64 = 500;

/// Text decoded so far, over all attempts.
#[derive(Default)]
struct Decoded {
    text: String,
    pieces: u64
}

/// Runs the call until it ends.
pub async fn run(cx: &mut TurnCx) -> Ended {
    let started = cx.daemon.clock.mono();
    let percent = cx.limits.retry_percent;
    cx.daemon.endpoints.deposit_retries(&cx.call.caller, percent);
    let ended = match cx.ask.target.clone() {
        Target::Model { .. } => run_model(cx).await,
        Target::Service { .. } => run_service(cx).await
    };
    cx.cost.runner_ms += cx.daemon.clock.mono().since(started);
    ended
}

fn patience(cx: &TurnCx) -> Timeouts {
    let left = cx.left();
    Timeouts {
        connect: CONNECT_PATIENCE.min(left),
        head: Duration::from_millis(cx.limits.first_byte_ms).min(left),
        body: Duration::from_millis(cx.limits.between_bytes_ms).min(left)
    }
}

fn failed(cx: &TurnCx, decoded: &Decoded, problem: Problem) -> Ended {
    let outcome = match cx.repeat {
        Idempotency::Idempotent => Outcome::Failed,
        Idempotency::NonIdempotent => Outcome::Unknown
    };
    Ended {
        outcome,
        used: Amount {
            tokens: decoded.pieces.min(cx.reserve.tokens),
            calls: 1
        },
        problem: Some(problem)
    }
}

fn request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Whether another attempt is allowed, after a pause.
async fn may_retry(cx: &mut TurnCx, attempt: u32) -> bool {
    let many = u64::from(attempt) >= cx.limits.attempts;
    if many || !cx.daemon.endpoints.try_withdraw_retry(&cx.call.caller) {
        return false;
    }
    let pause = Duration::from_millis(retry::backoff_ms(attempt, rand::random()));
    if cx.left() <= pause {
        return false;
    }
    task::sleep(pause).await;
    cx.cost.retries += 1;
    cx.daemon.metrics.retries.inc();
    true
}

async fn run_model(cx: &mut TurnCx) -> Ended {
    let mut decoded = Decoded::default();
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut attempt = 0;
    loop {
        attempt += 1;
        let error = match attempt_model(cx, &mut decoded).await {
            Ok((reason, usage)) => return answered(cx, &decoded, &reason, usage).await,
            Err(error) => error
        };
        log_attempt(cx, attempt, &error);
        if let EndpointError::Refused(status, text) = &error {
            let detail = format!("the engine refused the call with status {status}: {text}");
            return failed(cx, &decoded, Problem::not_run(Kind::BadRequest, detail));
        }
        note_failure(cx, &error, &mut tried).await;
        turn::give_back(cx);
        if !may_retry(cx, attempt).await {
            let detail = format!("no engine answered in {attempt} attempts: {error}");
            return failed(cx, &decoded, unavailable(detail));
        }
        if let Err(problem) = place::run(cx, &tried).await {
            return failed(cx, &decoded, problem);
        }
    }
}

fn unavailable(detail: String) -> Problem {
    Problem {
        // A model call has no effect but its answer, which is discarded.
        ran: Ran::Unknown,
        ..Problem::not_run(Kind::Unavailable, detail).retry_after(1)
    }
}

fn log_attempt(cx: &TurnCx, attempt: u32, error: &EndpointError) {
    let endpoint = cx.held.as_ref().map(|h| h.endpoint.endpoint.to_string());
    log::warn!(
        program = cx.call.program.to_string().as_str(),
        caller = cx.call.caller.as_str(),
        turn = cx.ask.turn.0,
        endpoint = endpoint.as_deref().unwrap_or("-"),
        attempt = attempt,
        error = error.to_string().as_str();
        "attempt failed"
    );
}

/// Finds out what became of the endpoint and notes it.
async fn note_failure(cx: &mut TurnCx, error: &EndpointError, tried: &mut Vec<EndpointId>) {
    let Some(held) = &cx.held else {
        return;
    };
    let endpoint = held.endpoint.clone();
    tried.push(endpoint.endpoint.clone());
    cx.daemon.client.close_idle_connections(endpoint.addr);
    // A silent connection says nothing of the endpoint: ask over a new one.
    let probe = probe(cx, endpoint.addr).await;
    if probe.is_ok() {
        return;
    }
    let now = cx.daemon.clock.mono();
    cx.daemon.endpoints.record_failure(&endpoint.endpoint, now);
    let died_running = matches!(error, EndpointError::Lost(_));
    let refuses = matches!(probe, Err(EndpointError::NotRun(_)));
    if died_running && refuses {
        strike(cx).await;
    }
}

/// Asks an endpoint for its load. One that is just going down may still accept
/// a connection and reset it, so a quick failure is looked at again.
async fn probe(cx: &TurnCx, addr: net::SocketAddr) -> Result<LoadReport, EndpointError> {
    let mut probes = 1;
    loop {
        let begun = cx.daemon.clock.mono();
        let probe = endpoint::fetch_load(&cx.daemon.client, addr).await;
        let was_reset = matches!(probe, Err(EndpointError::Lost(_)));
        let quick = cx.daemon.clock.mono().since(begun) < RESET_MAX_MS;
        if probes >= PROBES_MAX || !was_reset || !quick {
            return probe;
        }
        probes += 1;
        task::sleep(PROBE_PAUSE).await;
    }
}

async fn strike(cx: &TurnCx) {
    cx.daemon.metrics.strikes.inc();
    let record = quarantine::Record::Strike {
        fingerprint: place::fingerprint(cx),
        nonce: rand::random(),
        at: cx.daemon.clock.wall()
    };
    controller::quarantine::publish(&cx.daemon, record).await;
}

async fn attempt_model(
    cx: &mut TurnCx,
    decoded: &mut Decoded
) -> Result<(String, Usage), EndpointError> {
    let Some(held) = cx.held.clone() else {
        return Err(EndpointError::NotRun("no place".to_owned()));
    };
    let Target::Model {
        model, messages, ..
    } = &cx.ask.target
    else {
        return Err(EndpointError::NotRun("not a model call".to_owned()));
    };
    let prompt = match cx.history.messages.is_empty() {
        true => messages.clone(),
        false => format!("{},{messages}", cx.history.messages)
    };
    let call = ModelCall {
        model: model.clone(),
        messages: prompt,
        decoded: decoded.text.clone(),
        max_tokens: cx.max_tokens,
        request_id: request_id(),
        program: cx.call.program,
        fence: cx.started.map(|s| s.fence()).unwrap_or_default()
    };
    cx.daemon
        .cache
        .record_sent(cx.call.program, &held.endpoint.endpoint);
    cx.daemon.metrics.calls_sent.inc();
    let sent = cx.daemon.clock.mono();
    let endpoint = &held.endpoint;
    let mut stream =
        endpoint::call_model(&cx.daemon.client, endpoint.addr, &call, patience(cx)).await?;
    let mut first = None;
    loop {
        match stream.next().await? {
            StreamPart::Text(text) => {
                let now = cx.daemon.clock.mono();
                first.get_or_insert(now);
                pass_on(cx, decoded, &text).await;
            }
            StreamPart::End {
                finish_reason,
                usage
            } => {
                task::spawn(stream.drain());
                let now = cx.daemon.clock.mono();
                let first = first.unwrap_or(now);
                note_rates(
                    cx,
                    &held.endpoint.endpoint,
                    usage,
                    first.since(sent),
                    now.since(first)
                );
                return Ok((finish_reason, usage));
            }
        }
    }
}

/// Hands text on to a caller that wants it piece by piece; the last piece
/// waits until the answer is durable.
async fn pass_on(cx: &mut TurnCx, decoded: &mut Decoded, text: &str) {
    if decoded.pieces == 0 {
        let seconds = cx.daemon.clock.mono().since(cx.arrived) as f64 / 1_000.0;
        cx.daemon.metrics.first_token_s.observe(seconds);
    }
    decoded.text.push_str(text);
    decoded.pieces += 1;
    if !cx.is_streamed() {
        return;
    }
    if matches!(cx.reply_to, ReplyTo::Nobody(_)) {
        let (writer, body) = body::channel();
        let mut res = Response::new(200);
        res.set_body(body);
        res.insert_header("Content-Type", "text/event-stream");
        cx.answer(Ok(res)).await;
        cx.reply_to = ReplyTo::Streaming(writer);
    }
    let event = turn::chunk_event(&completion_id(cx), text);
    if let ReplyTo::Streaming(writer) = &cx.reply_to
        && !writer.write(event.into_bytes()).await
    {
        cx.reply_to = ReplyTo::Done;
    }
}

fn completion_id(cx: &TurnCx) -> String {
    format!("{}-{}", cx.call.program, cx.ask.turn)
}

fn note_rates(cx: &TurnCx, endpoint: &EndpointId, usage: Usage, prompt_ms: u64, decode_ms: u64) {
    let cached = usage.prompt_tokens_details.cached_tokens;
    let computed = usage.prompt_tokens.saturating_sub(cached);
    let rate =
        |tokens: u64, ms: u64| (tokens > 8 && ms > 0).then(|| tokens as f64 * 1e3 / ms as f64);
    let prompt_rate = rate(computed, prompt_ms);
    let decode_rate = rate(usage.completion_tokens, decode_ms);
    cx.daemon
        .endpoints
        .record_success(endpoint, prompt_rate, decode_rate);
    let held = usage.prompt_tokens + usage.completion_tokens;
    cx.daemon.cache.record_cached(cx.call.program, endpoint, held);
}

async fn answered(cx: &mut TurnCx, decoded: &Decoded, reason: &str, usage: Usage) -> Ended {
    let cached = usage.prompt_tokens_details.cached_tokens;
    cx.cost.prompt_tokens += usage.prompt_tokens.saturating_sub(cached);
    cx.cost.cached_tokens += cached;
    cx.cost.recomputed_tokens += cx.history.tokens.saturating_sub(cached);
    cx.cost.decoded_tokens += usage.completion_tokens;
    cx.cost.calls += 1;
    clear_suspicion(cx).await;
    let whole = whole(cx, decoded, reason, usage);
    let all = usage.prompt_tokens + usage.completion_tokens;
    Ended {
        outcome: Outcome::Answered(Answer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: whole.to_string().into_bytes(),
            messages: messages_with_answer(cx, &decoded.text)
        }),
        used: Amount {
            tokens: all.saturating_sub(cx.history.tokens),
            calls: 1
        },
        problem: None
    }
}

/// An answer proves that the request did not crash the earlier endpoint.
async fn clear_suspicion(cx: &TurnCx) {
    let fingerprint = place::fingerprint(cx);
    let now = cx.daemon.clock.wall();
    let standing = cx.daemon.quarantine.status(&fingerprint, now);
    if standing == quarantine::QuarantineStatus::Suspect {
        let record = quarantine::Record::Cleared { fingerprint };
        controller::quarantine::publish(&cx.daemon, record).await;
    }
}

fn whole(cx: &TurnCx, decoded: &Decoded, reason: &str, usage: Usage) -> Value {
    let Target::Model { model, .. } = &cx.ask.target else {
        return Value::Null;
    };
    json!({
        "id": completion_id(cx),
        "object": "chat.completion",
        "model": model.as_str(),
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": decoded.text},
            "finish_reason": reason
        }],
        "usage": {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            "prompt_tokens_details": {
                "cached_tokens": usage.prompt_tokens_details.cached_tokens
            }
        }
    })
}

fn messages_with_answer(cx: &TurnCx, text: &str) -> String {
    let Target::Model { messages, .. } = &cx.ask.target else {
        return String::new();
    };
    let answer = json!({"role": "assistant", "content": text});
    format!("{messages},{answer}")
}

async fn run_service(cx: &mut TurnCx) -> Ended {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut attempt = 0;
    loop {
        attempt += 1;
        if let Some(ended) = paused_too_long(cx) {
            return ended;
        }
        let error = match attempt_service(cx).await {
            Ok(answer) => {
                cx.cost.calls += 1;
                clear_suspicion(cx).await;
                return service_answered(answer);
            }
            Err(error) => error
        };
        log_attempt(cx, attempt, &error);
        note_failure(cx, &error, &mut tried).await;
        turn::give_back(cx);
        let not_run = matches!(error, EndpointError::NotRun(_));
        if cx.repeat == Idempotency::NonIdempotent && !not_run {
            let detail = format!("the call was sent and its answer is lost: {error}");
            return failed(cx, &Decoded::default(), Problem::unknown(detail));
        }
        let placed = match may_retry(cx, attempt).await {
            true => place::run(cx, &tried).await,
            false => {
                let detail = format!("no runner answered in {attempt} attempts: {error}");
                Err(Problem::not_run(Kind::Unavailable, detail).retry_after(1))
            }
        };
        if let Err(problem) = placed {
            return not_run_or_failed(cx, problem);
        }
    }
}

/// A non-idempotent call that no endpoint has received is given up for good.
fn not_run_or_failed(cx: &TurnCx, problem: Problem) -> Ended {
    match cx.repeat {
        Idempotency::Idempotent => failed(cx, &Decoded::default(), unavailable(problem.detail)),
        Idempotency::NonIdempotent => Ended {
            outcome: Outcome::NotRun,
            used: Amount::default(),
            problem: Some(problem)
        }
    }
}

/// A daemon that was paused between the start and the send may have been
/// replaced; it does not send a call that must not come late.
fn paused_too_long(cx: &TurnCx) -> Option<Ended> {
    if cx.repeat == Idempotency::Idempotent {
        return None;
    }
    let owned = cx.cell().ok()?.with_owner(|o| o.epoch());
    let started = cx.started.map(|s| s.epoch);
    let since_start = cx.daemon.clock.mono().since(cx.started_at);
    let late = since_start > START_LEASES_MAX * cx.daemon.settings.lease_ms;
    if owned == started && !late {
        return None;
    }
    let detail = "the daemon was held up before it sent the call";
    let problem = Problem::not_run(Kind::Unavailable, detail).retry_after(1);
    Some(not_run_or_failed(cx, problem))
}

async fn attempt_service(cx: &TurnCx) -> Result<Answer, EndpointError> {
    let (
        Some(held),
        Target::Service {
            path,
            key,
            content_type,
            ..
        }
    ) = (&cx.held, &cx.ask.target)
    else {
        return Err(EndpointError::NotRun("no place".to_owned()));
    };
    cx.daemon.metrics.calls_sent.inc();
    let call = ServiceCall {
        path: path.clone(),
        content_type: content_type.clone(),
        body: cx.ask.body.clone(),
        key: key.clone(),
        request_id: request_id(),
        program: cx.call.program,
        fence: cx.started.map(|s| s.fence()).unwrap_or_default()
    };
    let addr = held.endpoint.addr;
    let answer = endpoint::call_service(&cx.daemon.client, addr, call, patience(cx)).await?;
    cx.daemon
        .endpoints
        .record_success(&held.endpoint.endpoint, None, None);
    Ok(Answer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
        messages: String::new()
    })
}

fn service_answered(answer: Answer) -> Ended {
    Ended {
        outcome: Outcome::Answered(answer),
        used: Amount::call(0),
        problem: None
    }
}
