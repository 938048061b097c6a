//! The engines that programs ran on last, as far as this daemon knows.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::endpoint::InstanceId;
use parking_lot::Mutex;

/// How long the engine of a program without requests is remembered: longer than
/// its cache holds the prompt under load.
const RETENTION: Duration = Duration::from_secs(60);

/// Last engines by placement key.
#[derive(Default)]
pub struct LastEngines(Mutex<HashMap<String, (InstanceId, Instant)>>);

impl LastEngines {
    /// The engine that requests with a key ran on last.
    pub fn get(&self, key: &str) -> Option<InstanceId> {
        self.0.lock().get(key).map(|(id, _)| id.clone())
    }

    /// Notes where a request with a key runs.
    pub fn record(&self, key: &str, id: &InstanceId) {
        self.0
            .lock()
            .insert(key.to_owned(), (id.clone(), Instant::now()));
    }

    /// Forgets programs without requests.
    pub fn expire(&self) {
        self.0
            .lock()
            .retain(|_, (_, used_at)| used_at.elapsed() < RETENTION);
    }
}
