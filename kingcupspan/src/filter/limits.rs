//! Is the request well-formed and within its bounds?

use std::time::Duration;

use crate::{
    edge::problem::{Kind, Problem},
    filter::{RequestCx, request},
};

/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the body and what it asks.
pub async fn run(cx: &mut RequestCx) -> Result<(), Problem> {
    let body = cx.exchange.body(cx.limits.body_bytes, BODY_TIMEOUT).await?;
    let Some(caller) = &cx.caller else {
        return Err(Problem::not_run(Kind::Unauthorized, "no caller"));
    };
    let call = request::read(cx, caller, body)?;
    cx.call = Some(call);
    Ok(())
}
