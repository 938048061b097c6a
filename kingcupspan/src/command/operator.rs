//! Commands `dump`, `usage` and `drain`, which send requests to a running daemon.

use std::{cmp, net};

use async_std::task;
use http_types::Method;
use kingcupspan_core::{
    id::CallerId,
    usage::{Account, Cost},
};
use serde_json::{Value, json};

use crate::{
    command::EXIT_FAILED,
    controller::refusals::RefusalsByCaller,
    edge::client::{Client, ClientRequest, SendError},
};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 30;

/// Response of a daemon.
pub(super) struct DaemonResponse {
    status: u16,
    body: Vec<u8>,
}

/// Sends a request to the daemon's operator address.
pub(super) fn send_request(
    method: Method,
    daemon: net::SocketAddr,
    path: &str,
) -> Result<DaemonResponse, SendError> {
    task::block_on(async {
        let client = Client::default();
        let reply = client
            .send(ClientRequest::new(method, daemon, path))
            .await?;
        let status = reply.status;
        let body = reply.bytes(MAX_RESPONSE_BYTES).await?;
        Ok(DaemonResponse { status, body })
    })
}

/// Prints a successful response with `print` or reports the error; returns the exit code.
pub(super) fn print_or_fail(
    response: Result<DaemonResponse, SendError>,
    print: impl FnOnce(&[u8]) -> u8,
) -> u8 {
    match response {
        Ok(response) if response.status < 300 => print(&response.body),
        Ok(response) => {
            eprintln!(
                "the daemon rejected the request: {}",
                String::from_utf8_lossy(&response.body)
            );
            EXIT_FAILED
        }
        Err(e) => {
            eprintln!("{e}; check that this is the operator address of the daemon");
            EXIT_FAILED
        }
    }
}

/// Prints the state of a daemon, or one section of it.
pub fn dump(daemon: net::SocketAddr, section: Option<&str>) -> u8 {
    let path = match section {
        Some(section) => format!("/dump/{section}"),
        None => "/dump".to_owned(),
    };
    print_or_fail(send_request(Method::Get, daemon, &path), |body| {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        println!("{value:#}");
        0
    })
}

/// Requests a graceful shutdown.
pub fn drain(daemon: net::SocketAddr) -> u8 {
    print_or_fail(send_request(Method::Post, daemon, "/drain"), |_| {
        println!("graceful shutdown started");
        0
    })
}

/// Prints the usage and the refused requests of each caller.
pub fn usage(daemon: net::SocketAddr, caller: Option<&CallerId>, json: bool) -> u8 {
    let is_selected = |name: &CallerId| caller.is_none_or(|c| c == name);
    print_or_fail(send_request(Method::Get, daemon, "/usage"), |body| {
        let account: Result<Account, _> = serde_json::from_slice(body);
        let Ok(mut account) = account else {
            eprintln!("cannot parse the usage that the daemon returned");
            return EXIT_FAILED;
        };
        account.0.retain(|key, _| is_selected(&key.caller));
        print_or_fail(send_request(Method::Get, daemon, "/refusals"), |body| {
            let refusals: Result<RefusalsByCaller, _> = serde_json::from_slice(body);
            let mut refusals = refusals.unwrap_or_default();
            refusals.0.retain(|name, _| is_selected(name));
            match json {
                true => println!("{:#}", json!({"account": account, "refusals": refusals})),
                false => print!("{}\n{}", usage_table(&account), refusals_table(&refusals)),
            }
            0
        })
    })
}

/// Formats the refusals as a table, with the callers most often refused for overload first.
pub fn refusals_table(refusals: &RefusalsByCaller) -> String {
    let mut rows: Vec<_> = refusals.0.iter().collect();
    rows.sort_by_key(|(_, refused)| cmp::Reverse(refused.over_share));
    let mut table = String::from(
        "refused since the daemons' start     over-share     budget unavailable      other\n",
    );
    for (caller, refused) in rows {
        table.push_str(&format!(
            "{caller:<36} {:>10} {:>10} {:>11} {:>10}\n",
            refused.over_share, refused.budget, refused.unavailable, refused.other
        ));
    }
    table
}

/// Formats the usage as a table with a total.
pub fn usage_table(account: &Account) -> String {
    let mut table = String::new();
    let headers = [
        "caller/workspace",
        "calls",
        "unknown",
        "prompt",
        "cached",
        "again",
        "decoded",
        "runner_ms",
        "waited_ms",
        "retries",
    ];
    table.push_str(&usage_line(&headers.map(str::to_owned)));
    let mut total = Cost::default();
    for (key, cost) in &account.0 {
        total += *cost;
        table.push_str(&usage_row(&key.to_string(), cost));
    }
    table.push_str(&usage_row("total", &total));
    table
}

/// Formats the cost of one caller and workspace, or the total.
fn usage_row(name: &str, cost: &Cost) -> String {
    usage_line(&[
        name.to_owned(),
        cost.calls.to_string(),
        cost.unknown.to_string(),
        cost.prompt_tokens.to_string(),
        cost.cached_tokens.to_string(),
        cost.recomputed_tokens.to_string(),
        cost.decoded_tokens.to_string(),
        cost.runner_ms.to_string(),
        cost.waited_ms.to_string(),
        cost.retries.to_string(),
    ])
}

/// Formats one line of the table.
fn usage_line(cells: &[String; 10]) -> String {
    let (name, rest) = cells.split_at(1);
    let rest: Vec<String> = rest.iter().map(|c| format!("{c:>10}")).collect();
    format!("{:<32}{}\n", name[0], rest.join(" "))
}
