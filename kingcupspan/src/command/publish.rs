//! Command `publish`, which publishes a configuration to all daemons through the log.

use std::{path, time::Duration};

use async_std::task;
use kingcupspan_config::settings::Settings;
use kingcupspan_core::{
    document::{Change, CurrentDocument, Record},
    id::{Offset, Version},
};
use serde_json::Value;

use crate::{
    command::{EXIT_FAILED, EXIT_FINDINGS, check},
    controller::configuration::{STREAM, apply_change},
    edge::{
        client, peer,
        platform::{HttpLog, Log, LogError},
    },
};

/// Maximum number of attempts to append the record and to find it on the log, and of retries
/// when reading the log fails.
const MAX_ATTEMPTS: usize = 10;

/// Delay between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Error returned when a configuration is not published.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// The current version is not the base version.
    #[error("the current version is {current}, not {base}: review it and publish a change to it")]
    VersionConflict {
        /// Version that the new configuration is based on.
        base: Version,

        /// Current version.
        current: Version,
    },

    /// The log cannot be read or written.
    #[error("request to the log failed: {0}; the configuration may or may not have been published")]
    Log(#[from] LogError),

    /// The response to the append was lost and the record has not appeared on the log.
    #[error(
        "the record is not on the log yet, but may still appear: check the current version \
         before publishing again"
    )]
    Unconfirmed,
}

/// Publishes a configuration file; returns the exit code.
pub fn run(settings: &path::Path, base: Version, config: &path::Path) -> u8 {
    let settings = match check::read_settings(settings) {
        Ok(settings) => settings,
        Err(e) => return check::report(settings, &e),
    };
    let document = match check::read_configuration(config) {
        Ok((value, _)) => value,
        Err(e) => return check::report(config, &e),
    };
    match task::block_on(publish(&settings, base, &document)) {
        Ok(version) => {
            println!("version {version} is published");
            0
        }
        Err(e @ PublishError::VersionConflict { .. }) => {
            eprintln!("{e}");
            EXIT_FINDINGS
        }
        Err(e) => {
            eprintln!("{e}");
            EXIT_FAILED
        }
    }
}

/// Publishes a document that is based on version `base`; returns the new version.
pub async fn publish(
    settings: &Settings,
    base: Version,
    document: &Value,
) -> Result<Version, PublishError> {
    let log = HttpLog {
        client: client::Client::default(),
        addr: settings.platform.log,
    };
    let current = read(&log).await?.0;
    if current.version != base {
        return Err(PublishError::VersionConflict {
            base,
            current: current.version,
        });
    }
    let nonce = rand::random();
    let record = Record::Publish {
        base,
        nonce,
        change: smallest_change(&current.document, document),
    };
    let bytes = peer::encode(&record);
    for _ in 0..MAX_ATTEMPTS {
        match log.append(STREAM, bytes.clone()).await {
            Ok(_) => break,
            // Appending the record twice is safe: at most one copy is based on the current version.
            Err(LogError::RateLimited | LogError::Refused(_)) => task::sleep(RETRY_INTERVAL).await,
            Err(LogError::Lost(_)) => {
                if let Some(result) = find_published(&log, base, nonce).await? {
                    return result;
                }
            }
            Err(e @ LogError::Expired { .. }) => return Err(e.into()),
        }
    }
    for _ in 0..MAX_ATTEMPTS {
        if let Some(result) = find_published(&log, base, nonce).await? {
            return result;
        }
        task::sleep(RETRY_INTERVAL).await;
    }
    Err(PublishError::Unconfirmed)
}

/// Returns a patch if it is smaller than the whole document, and the document otherwise.
fn smallest_change(before: &str, after: &Value) -> Change {
    let whole = after.to_string();
    let Ok(before) = serde_json::from_str::<Value>(before) else {
        return Change::Whole(whole);
    };
    let patch = json_patch::diff(&before, after);
    match serde_json::to_string(&patch) {
        Ok(patch) if patch.len() < whole.len() => Change::Patch(patch),
        _ => Change::Whole(whole),
    }
}

/// Returns the result of publishing the record with this nonce, or `None` if the record is not
/// on the log.
async fn find_published(
    log: &HttpLog,
    base: Version,
    nonce: u64,
) -> Result<Option<Result<Version, PublishError>>, PublishError> {
    let (current, records) = read(log).await?;
    let mut state = CurrentDocument::default();
    for (offset, record) in &records {
        let apply_outcome = state.apply(*offset, record, apply_change);
        let is_own_record = matches!(record, Record::Publish { nonce: n, .. } if *n == nonce);
        if !is_own_record {
            continue;
        }
        return Ok(Some(match apply_outcome {
            kingcupspan_core::document::ApplyOutcome::Accepted(version) => Ok(version),
            _ => Err(PublishError::VersionConflict {
                base,
                current: current.version,
            }),
        }));
    }
    Ok(None)
}

/// Reads the retained records from the log and derives the current document from them.
async fn read(log: &HttpLog) -> Result<(CurrentDocument, Vec<(Offset, Record)>), PublishError> {
    let mut records = Vec::new();
    let mut next = Offset(0);
    let mut attempts = 0;
    loop {
        match log.read(STREAM, next, Duration::ZERO).await {
            Ok(page) if page.is_empty() => break,
            Ok(page) => {
                for stored in page {
                    next = stored.offset.next();
                    if let Ok(record) = rmp_serde::from_slice(&stored.bytes) {
                        records.push((stored.offset, record));
                    }
                }
            }
            Err(LogError::Expired { oldest }) => next = oldest,
            Err(e) if attempts >= MAX_ATTEMPTS => return Err(e.into()),
            Err(_) => {
                attempts += 1;
                task::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    Ok((CurrentDocument::bootstrap(&records, apply_change), records))
}
