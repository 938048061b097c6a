//! Command `check`, which validates settings and configuration files.

use std::{fs, path};

use kingcupspan_config::{configuration::Configuration, finding::Findings, settings::Settings};
use serde_json::Value;

use crate::command::{EXIT_FAILED, EXIT_FINDINGS};

/// Error returned when a file is unreadable or invalid.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Io(#[from] std::io::Error),

    /// The file is not valid JSON.
    #[error("/: not JSON: {0}")]
    Json(#[from] serde_json::Error),

    /// The content of the file is invalid.
    #[error("{0}")]
    Findings(#[from] Findings),
}

/// Reads a JSON file.
pub fn read(file: &path::Path) -> Result<Value, FileError> {
    let text = fs::read_to_string(file)?;
    Ok(serde_json::from_str(&text)?)
}

/// Reads and validates a settings file.
pub fn read_settings(file: &path::Path) -> Result<Settings, FileError> {
    Ok(Settings::try_from(&read(file)?)?)
}

/// Reads and validates a configuration file; returns the JSON document as well.
pub fn read_configuration(file: &path::Path) -> Result<(Value, Configuration), FileError> {
    let value = read(file)?;
    let configuration = Configuration::try_from(&value)?;
    Ok((value, configuration))
}

/// Prints an error, with one line per finding, and returns the exit code of the command.
pub fn report(file: &path::Path, error: &FileError) -> u8 {
    let name = file.display();
    match error {
        FileError::Io(_) => {
            eprintln!("{name}: {error}");
            EXIT_FAILED
        }
        FileError::Json(_) => {
            eprintln!("{name}:{error}");
            EXIT_FINDINGS
        }
        FileError::Findings(findings) => {
            for finding in &findings.0 {
                eprintln!("{name}:{finding}");
            }
            EXIT_FINDINGS
        }
    }
}

/// Checks files and prints the findings; returns the exit code.
pub fn run(files: &[path::PathBuf]) -> u8 {
    let mut exit_code = 0;
    for file in files {
        match check(file) {
            Ok(what) => println!("{}: {what}, no findings", file.display()),
            Err(e) => exit_code = exit_code.max(report(file, &e)),
        }
    }
    exit_code
}

/// Checks a file and returns its type; a file with `vm` or `listen` is a settings file.
fn check(file: &path::Path) -> Result<&'static str, FileError> {
    let value = read(file)?;
    if value.get("vm").is_some() || value.get("listen").is_some() {
        Settings::try_from(&value)?;
        return Ok("settings");
    }
    Configuration::try_from(&value)?;
    Ok("configuration")
}
