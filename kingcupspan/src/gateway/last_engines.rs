//! Remembers which engine last ran requests of each program.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::endpoint::InstanceId;
use parking_lot::Mutex;

/// How long the engine of a program without requests is remembered; longer than a
/// loaded engine's cache retains the program's prompt.
const RETENTION: Duration = Duration::from_secs(60);

/// Engines last used, with the time of use, by placement key.
#[derive(Default)]
pub struct LastEngines(Mutex<HashMap<String, (InstanceId, Instant)>>);

impl LastEngines {
    /// Returns the engine that a request with this placement key was last sent to.
    pub fn get(&self, key: &str) -> Option<InstanceId> {
        self.0.lock().get(key).map(|(id, _)| id.clone())
    }

    /// Records the engine that a request with this placement key is sent to.
    pub fn record(&self, key: &str, id: &InstanceId) {
        self.0
            .lock()
            .insert(key.to_owned(), (id.clone(), Instant::now()));
    }

    /// Removes keys without a request within the retention period.
    pub fn expire(&self) {
        self.0
            .lock()
            .retain(|_, (_, used_at)| used_at.elapsed() < RETENTION);
    }
}
