//! Command `explain`: asks a running gateway where a request would go.

use std::{fmt::Write, net};

use http_types::{Method, Url};
use kingcupspan_platform::headers;

use crate::{
    command::{EXIT_FAILED, operator},
    gateway::serve::explain::{Explanation, Place},
};

/// Identifier of the request in the daemon's log, unless a header names another one.
const REQUEST_ID: &str = "explain";

/// Prints where a request would go, and why; returns the exit code.
pub fn run(
    daemon: net::SocketAddr,
    method: &str,
    headers: &[String],
    json: bool,
    target: &str,
) -> u8 {
    let path = request_path(method, headers, target);
    operator::print_or_fail(operator::send_request(Method::Get, daemon, &path), |body| {
        let explanation: Result<Explanation, _> = serde_json::from_slice(body);
        let Ok(explanation) = explanation else {
            eprintln!("cannot parse the explanation that the daemon returned");
            return EXIT_FAILED;
        };
        match json {
            true => println!("{:#}", serde_json::json!(explanation)),
            false => print!("{}", lines(&explanation)),
        }
        0
    })
}

/// Returns the path at the daemon that explains a request to `target`, its host and path.
pub fn request_path(method: &str, caller_headers: &[String], target: &str) -> String {
    let (host, path) = target.split_at(target.find('/').unwrap_or(target.len()));
    let path = if path.is_empty() { "/" } else { path };
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for header in caller_headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    let is_id = |h: &String| {
        let name = h.split(':').next();
        name.is_some_and(|name| name.eq_ignore_ascii_case(headers::REQUEST_ID))
    };
    if !caller_headers.iter().any(is_id) {
        head.push_str(&format!("{}: {REQUEST_ID}\r\n", headers::REQUEST_ID));
    }
    head.push_str("\r\n");
    let mut url = Url::parse("http://daemon/explain").expect("the address is valid");
    url.query_pairs_mut().append_pair("head", &head);
    format!("/explain?{}", url.query().unwrap_or_default())
}

/// Formats an explanation in lines that a person reads.
pub fn lines(explanation: &Explanation) -> String {
    let mut out = format!("configuration {}\n", explanation.configuration);
    let mut line = |text: String| out.push_str(&(text + "\n"));
    if let Some(route) = &explanation.route {
        let again = match route.is_repeatable {
            true => "may be sent again",
            false => "is sent once",
        };
        line(format!(
            "route {}, service {}, rank {}, {again}, {} attempts, {} ms",
            route.name, route.service, route.rank, route.max_attempts, route.deadline_ms
        ));
    }
    if let Some(workspace) = &explanation.workspace {
        line(format!("workspace {workspace}"));
    }
    if let Some(utilization) = explanation.utilization {
        let percent = explanation.refused_share * 100.0;
        line(format!(
            "starts a program: {utilization:.2} requests a slot, {percent:.0}% refused"
        ));
    }
    if let Some(refusal) = &explanation.refusal {
        let retry = refusal.retry_after_ms;
        let retry = retry.map_or_else(String::new, |ms| format!(", retry after {ms} ms"));
        line(format!(
            "refused: {} {}{retry}",
            refusal.status, refusal.reason
        ));
    }
    if explanation.route.is_some() && explanation.endpoints.is_empty() {
        line("no endpoint accepts requests".to_owned());
    }
    for (i, place) in explanation.endpoints.iter().enumerate() {
        line(format!("{}. {}", i + 1, place_line(place)));
    }
    out
}

/// Formats an endpoint and what is known of it.
fn place_line(place: &Place) -> String {
    let endpoint = &place.endpoint;
    let mut out = format!(
        "{} at {}, domain {}",
        endpoint.id, endpoint.addr, endpoint.domain
    );
    let reported = place
        .reported
        .map_or("unknown".to_owned(), |n| n.to_string());
    // Writing to a string succeeds.
    let _ = write!(
        out,
        ": {} in flight from here, {reported} in all, {} slots",
        place.in_flight, endpoint.slots
    );
    if let Some(per_s) = place.limit_per_s {
        let _ = write!(out, ", limited to {per_s} a second");
    }
    if place.is_failing {
        out.push_str(", fails or is slow");
    }
    if !place.takes_now {
        out.push_str(", takes none now");
    }
    out
}
