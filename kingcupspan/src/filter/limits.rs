//! Limits filter: checks that a request is well-formed and within its limits.

use std::time::Duration;

use crate::{
    edge::problem::{Kind, Problem},
    filter::{RequestCx, request},
};

/// Maximum time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads and parses the body of the request.
pub async fn run(cx: &mut RequestCx) -> Result<(), Problem> {
    let body = cx.exchange.body(cx.limits.body_bytes, BODY_TIMEOUT).await?;
    let Some(caller) = &cx.caller else {
        return Err(Problem::not_run(Kind::Unauthorized, "no caller"));
    };
    let call = request::read(cx, caller, body)?;
    cx.call = Some(call);
    Ok(())
}
