//! Who sends the request: a bearer key whose digest the configuration knows.

use kingcupspan_core::digest::Digest;

use crate::{
    edge::problem::{Kind, Problem},
    filter::RequestCx,
};

/// Finds the caller by its key.
pub fn run(cx: &mut RequestCx) -> Result<(), Problem> {
    let header = cx.exchange.header("Authorization");
    let key = header.and_then(|h| h.strip_prefix("Bearer "));
    let Some(key) = key else {
        let detail = "send the caller's key as `Authorization: Bearer KEY`";
        return Err(Problem::not_run(Kind::Unauthorized, detail));
    };
    let digest = Digest::of(key.trim().as_bytes());
    let found = cx.active.configuration.caller_by_key(&digest);
    let Some(caller) = found.cloned() else {
        return Err(Problem::not_run(Kind::Unauthorized, "the key is not known"));
    };
    cx.limits = cx.active.configuration.limits(&caller.caller, None);
    cx.caller = Some(caller);
    Ok(())
}
