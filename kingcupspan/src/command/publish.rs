//! `publish`: a configuration for the whole fleet.

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

/// Tries to append, and to read back.
const TRIES_MAX: usize = 10;

/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(300);

/// What became of a publication.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// Another version is in force.
    #[error("version {in_force} is in force, not {base}: look at it and publish from there")]
    Raced {
        /// The version named.
        base: Version,

        /// The version in force.
        in_force: Version,
    },

    /// The log cannot be read or written.
    #[error("the log did not answer: {0}; the configuration is not known to be in force")]
    Log(#[from] LogError),

    /// The append's answer was lost and the record has not shown up on the log.
    #[error(
        "the record is not on the log yet, but may still come: look at the version in force \
         before publishing again"
    )]
    Unsettled,
}

/// Publishes a configuration.
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
        Err(e @ PublishError::Raced { .. }) => {
            eprintln!("{e}");
            EXIT_FINDINGS
        }
        Err(e) => {
            eprintln!("{e}");
            EXIT_FAILED
        }
    }
}

/// Publishes a document made from version `base`; returns its version.
pub async fn publish(
    settings: &Settings,
    base: Version,
    document: &Value,
) -> Result<Version, PublishError> {
    let log = HttpLog {
        client: client::Client::default(),
        addr: settings.platform.log,
    };
    let in_force = read(&log).await?.0;
    if in_force.version != base {
        return Err(PublishError::Raced {
            base,
            in_force: in_force.version,
        });
    }
    let nonce = rand::random();
    let record = Record::Publish {
        base,
        nonce,
        change: change(&in_force.document, document),
    };
    let bytes = peer::encode(&record);
    for _ in 0..TRIES_MAX {
        match log.append(STREAM, bytes.clone()).await {
            Ok(_) => break,
            // The same record again is harmless: its base fits only once.
            Err(LogError::RateLimited | LogError::Refused(_)) => task::sleep(PAUSE).await,
            Err(LogError::Lost(_)) => {
                if let Some(settled) = settle(&log, base, nonce).await? {
                    return settled;
                }
            }
            Err(e @ LogError::Expired { .. }) => return Err(e.into()),
        }
    }
    for _ in 0..TRIES_MAX {
        if let Some(settled) = settle(&log, base, nonce).await? {
            return settled;
        }
        task::sleep(PAUSE).await;
    }
    Err(PublishError::Unsettled)
}

/// A small record where a patch is smaller than the document.
fn change(before: &str, after: &Value) -> Change {
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

/// Looks for the own record on the log.
async fn settle(
    log: &HttpLog,
    base: Version,
    nonce: u64,
) -> Result<Option<Result<Version, PublishError>>, PublishError> {
    let (in_force, records) = read(log).await?;
    let mut state = CurrentDocument::default();
    for (offset, record) in &records {
        let verdict = state.apply(*offset, record, apply_change);
        let is_ours = matches!(record, Record::Publish { nonce: n, .. } if *n == nonce);
        if !is_ours {
            continue;
        }
        return Ok(Some(match verdict {
            kingcupspan_core::document::ApplyOutcome::Accepted(version) => Ok(version),
            _ => Err(PublishError::Raced {
                base,
                in_force: in_force.version,
            }),
        }));
    }
    Ok(None)
}

/// Reads the whole kept stream.
async fn read(log: &HttpLog) -> Result<(CurrentDocument, Vec<(Offset, Record)>), PublishError> {
    let mut records = Vec::new();
    let mut next = Offset(0);
    let mut tries = 0;
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
            Err(e) if tries >= TRIES_MAX => return Err(e.into()),
            Err(_) => {
                tries += 1;
                task::sleep(PAUSE).await;
            }
        }
    }
    Ok((CurrentDocument::bootstrap(&records, apply_change), records))
}
