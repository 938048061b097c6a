//! What is wrong with an input, and where.

use std::fmt;

use derive_more::{Display, IntoIterator};

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{pointer}: {message}")]
pub struct Finding {
    /// JSON pointer (RFC 6901) of the place.
    pub pointer: String,

    /// What is wrong and what would be right.
    pub message: String,
}

/// All that is wrong with an input.
#[derive(Debug, Clone, Default, PartialEq, Eq, IntoIterator)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, pointer: &str, message: impl Into<String>) {
        let pointer = match pointer.is_empty() {
            true => "/".to_owned(),
            false => pointer.to_owned(),
        };
        self.0.push(Finding {
            pointer,
            message: message.into(),
        });
    }

    /// `value` if nothing was found.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
