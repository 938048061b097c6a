//! Identifies the runs of daemons.

use std::sync::Arc;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Identifier of one run of a daemon, which changes with each start.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct Incarnation(pub Arc<str>);
