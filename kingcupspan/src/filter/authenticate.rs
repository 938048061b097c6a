//! Authentication filter: identifies the caller by a bearer key, of which the configuration
//! stores the digest.

use kingcupspan_core::digest::Digest;

use crate::{
    edge::problem::{Kind, Problem},
    filter::RequestCx,
};

/// Looks up the caller by its bearer key.
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
