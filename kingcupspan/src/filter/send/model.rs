//! Calls of models.

use async_std::task;
use http_types::Response;
use kingcupspan_core::{
    budget::Amount,
    id::EndpointId,
    record::{Answer, Outcome},
};
use serde_json::{Value, json};

use super::{
    DecodedOutput, clear_suspicion, failed_result, log_failed_attempt, record_failure, request_id,
    timeouts, unavailable, wait_before_retry,
};
use crate::{
    edge::{
        body,
        endpoint::{self, EndpointError, ModelCall, StreamPart, Usage},
        peer::Target,
        problem::{Kind, Problem},
    },
    filter::{
        placement,
        turn::{self, CallResult, ResponseSink, TurnCx},
    },
};

/// Runs a model call, including retries.
pub(super) async fn run(cx: &mut TurnCx) -> CallResult {
    let mut decoded = DecodedOutput::default();
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut attempt = 0;
    loop {
        attempt += 1;
        let error = match attempt_model(cx, &mut decoded).await {
            Ok((reason, usage)) => return model_result(cx, &decoded, &reason, usage).await,
            Err(error) => error,
        };
        log_failed_attempt(cx, attempt, &error);
        if let EndpointError::Refused(status, text) = &error {
            let detail = format!("the engine refused the call with status {status}: {text}");
            return failed_result(cx, &decoded, Problem::not_run(Kind::BadRequest, detail));
        }
        record_failure(cx, &error, &mut tried).await;
        turn::release_grant(cx);
        if !wait_before_retry(cx, attempt).await {
            let detail = format!("no engine answered in {attempt} attempts: {error}");
            return failed_result(cx, &decoded, unavailable(detail));
        }
        if let Err(problem) = placement::run(cx, &tried).await {
            return failed_result(cx, &decoded, problem);
        }
    }
}

/// Runs one attempt of a model call; returns the finish reason and the token usage.
async fn attempt_model(
    cx: &mut TurnCx,
    decoded: &mut DecodedOutput,
) -> Result<(String, Usage), EndpointError> {
    let Some(grant) = cx.held_grant.clone() else {
        return Err(EndpointError::NotRun("no place".to_owned()));
    };
    let Target::Model {
        model, messages, ..
    } = &cx.turn_request.target
    else {
        return Err(EndpointError::NotRun("not a model call".to_owned()));
    };
    let prompt = match cx.history.messages.is_empty() {
        true => messages.clone(),
        false => format!("{},{messages}", cx.history.messages),
    };
    let call = ModelCall {
        model: model.clone(),
        messages: prompt,
        decoded: decoded.text.clone(),
        max_tokens: cx.max_tokens,
        request_id: request_id(),
        program: cx.call.program,
        fence: cx.start_record.map(|s| s.fence()).unwrap_or_default(),
    };
    cx.daemon
        .cache
        .record_sent(cx.call.program, &grant.endpoint.endpoint);
    cx.daemon.metrics.calls_sent.inc();
    let sent_at = cx.daemon.clock.mono();
    let endpoint = &grant.endpoint;
    let mut stream =
        endpoint::call_model(&cx.daemon.client, endpoint.addr, &call, timeouts(cx)).await?;
    let mut first_text_at = None;
    loop {
        match stream.next().await? {
            StreamPart::Text(text) => {
                let now = cx.daemon.clock.mono();
                first_text_at.get_or_insert(now);
                forward_text(cx, decoded, &text).await;
            }
            StreamPart::End {
                finish_reason,
                usage,
            } => {
                task::spawn(stream.drain());
                let now = cx.daemon.clock.mono();
                let first_text_at = first_text_at.unwrap_or(now);
                record_rates(
                    cx,
                    &grant.endpoint.endpoint,
                    usage,
                    first_text_at.since(sent_at),
                    now.since(first_text_at),
                );
                return Ok((finish_reason, usage));
            }
        }
    }
}

/// Appends decoded text to the output and forwards it to a caller that streams.
///
/// The final events are only sent once the outcome is durable.
async fn forward_text(cx: &mut TurnCx, decoded: &mut DecodedOutput, text: &str) {
    if decoded.chunks == 0 {
        let seconds = cx.daemon.clock.mono().since(cx.arrived_at) as f64 / 1_000.0;
        cx.daemon.metrics.first_token_s.observe(seconds);
    }
    decoded.text.push_str(text);
    decoded.chunks += 1;
    if !cx.is_streamed() {
        return;
    }
    if matches!(cx.response_sink, ResponseSink::Pending(_)) {
        let (writer, body) = body::channel();
        let mut res = Response::new(200);
        res.set_body(body);
        res.insert_header("Content-Type", "text/event-stream");
        cx.respond(Ok(res)).await;
        cx.response_sink = ResponseSink::Streaming(writer);
    }
    let event = turn::chunk_event(&completion_id(cx), text);
    if let ResponseSink::Streaming(writer) = &cx.response_sink
        && !writer.write(event.into_bytes()).await
    {
        cx.response_sink = ResponseSink::Done;
    }
}

/// Returns the id of the chat completion.
fn completion_id(cx: &TurnCx) -> String {
    format!("{}-{}", cx.call.program, cx.turn_request.turn)
}

/// Records the measured prompt and decode rates of the endpoint, and the number of the program's
/// tokens in its cache.
fn record_rates(cx: &TurnCx, endpoint: &EndpointId, usage: Usage, prompt_ms: u64, decode_ms: u64) {
    let cached = usage.prompt_tokens_details.cached_tokens;
    let computed = usage.prompt_tokens.saturating_sub(cached);
    let rate =
        |tokens: u64, ms: u64| (tokens > 8 && ms > 0).then(|| tokens as f64 * 1e3 / ms as f64);
    let prompt_rate = rate(computed, prompt_ms);
    let decode_rate = rate(usage.completion_tokens, decode_ms);
    cx.daemon
        .endpoints
        .record_success(endpoint, prompt_rate, decode_rate);
    let held_tokens = usage.prompt_tokens + usage.completion_tokens;
    cx.daemon
        .cache
        .record_cached(cx.call.program, endpoint, held_tokens);
}

/// Adds up the cost of a completed model call and returns its result.
async fn model_result(
    cx: &mut TurnCx,
    decoded: &DecodedOutput,
    reason: &str,
    usage: Usage,
) -> CallResult {
    let cached = usage.prompt_tokens_details.cached_tokens;
    cx.cost.prompt_tokens += usage.prompt_tokens.saturating_sub(cached);
    cx.cost.cached_tokens += cached;
    cx.cost.recomputed_tokens += cx.history.tokens.saturating_sub(cached);
    cx.cost.decoded_tokens += usage.completion_tokens;
    cx.cost.calls += 1;
    clear_suspicion(cx).await;
    let completion = completion_json(cx, decoded, reason, usage);
    let total_tokens = usage.prompt_tokens + usage.completion_tokens;
    CallResult {
        outcome: Outcome::Answered(Answer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: completion.to_string().into_bytes(),
            messages: messages_with_response(cx, &decoded.text),
        }),
        used: Amount {
            tokens: total_tokens.saturating_sub(cx.history.tokens),
            calls: 1,
        },
        problem: None,
    }
}

/// Builds the complete chat completion.
fn completion_json(cx: &TurnCx, decoded: &DecodedOutput, reason: &str, usage: Usage) -> Value {
    let Target::Model { model, .. } = &cx.turn_request.target else {
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

/// Returns the messages of the turn followed by the model's message.
fn messages_with_response(cx: &TurnCx, text: &str) -> String {
    let Target::Model { messages, .. } = &cx.turn_request.target else {
        return String::new();
    };
    let response = json!({"role": "assistant", "content": text});
    format!("{messages},{response}")
}
