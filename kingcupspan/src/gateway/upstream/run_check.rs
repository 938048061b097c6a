//! Finds out which run of an endpoint a connection leads to.
//!
//! An endpoint may be started again under the same identifier, with another version of its software,
//! and the list of endpoints tells that late. A connection leads to one run for as long as it lasts,
//! so it is asked once.

use std::{io, time::Duration};

use async_std::future;
use kingcupspan_core::gateway::endpoint::Endpoint;
use kingcupspan_platform::{headers, report};

use super::{SendError, endpoint_state::EndpointConnection};
use crate::http::{conn::Conn, conn::ReadError};

/// Timeout of a report, which waits for no other work of the endpoint. Three endpoints are tried within
/// the time in which a stream has to be sent.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a report, in bytes.
const REPORT_MAX_BYTES: usize = 256 * 1024;

/// The run of an endpoint to which a connection leads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Run {
    /// The endpoint was not asked.
    #[default]
    Unchecked,

    /// The endpoint does not tell when it was started.
    NotTold,

    /// The run that was started at this Unix time, in milliseconds.
    StartedAt(u64),
}

/// Checks that a connection leads to the run of the endpoint that is listed.
pub(super) async fn check(
    connection: &mut EndpointConnection,
    endpoint: &Endpoint,
) -> Result<(), SendError> {
    if connection.run == Run::Unchecked {
        let asked = ask(connection, endpoint).await;
        asked.map_err(|e| SendError::NotSent(e.to_string()))?;
    }
    match connection.run {
        Run::StartedAt(ms) if ms != endpoint.started_at_ms => Err(SendError::Replaced),
        _ => Ok(()),
    }
}

/// Asks the endpoint for its report, which shows that it is alive, and returns the run to which the
/// connection leads. The endpoint may close the connection behind the report.
pub(super) async fn ask(
    connection: &mut EndpointConnection,
    endpoint: &Endpoint,
) -> Result<Run, ReadError> {
    let report = read_report(&mut connection.conn, endpoint);
    let report = future::timeout(REPORT_TIMEOUT, report).await;
    let timed_out = |_| Err(io::Error::from(io::ErrorKind::TimedOut).into());
    let report = report.unwrap_or_else(timed_out)?;
    connection.run = report.run;
    if report.is_last {
        connection.carried.set_last();
    }
    Ok(connection.run)
}

/// A report of an endpoint.
struct Report {
    run: Run,

    /// Whether the endpoint closes the connection.
    is_last: bool,
}

/// Reads the report of the endpoint.
async fn read_report(conn: &mut Conn, endpoint: &Endpoint) -> Result<Report, ReadError> {
    conn.write(&report::request(endpoint.addr)).await?;
    let mut head = conn.response_head("GET").await?;
    let body = conn.body(&mut head.framing, REPORT_MAX_BYTES).await?;
    let info = headers::response_info(&head.headers, head.status);
    // A late answer to a request is no report.
    if info.id.is_some() || !conn.unread().is_empty() {
        return Err(ReadError::Closed);
    }
    let started_at_ms = report::started_at_ms(head.status, &body);
    Ok(Report {
        run: started_at_ms.map_or(Run::NotTold, Run::StartedAt),
        is_last: !head.is_keep_alive,
    })
}
