//! The processes that this run has started, so that all of them are ended with it.

use std::{
    process::{self, Child, Command},
    sync::Mutex,
    thread,
    time::Duration,
};

/// Longest run.
const MAX_RUN: Duration = Duration::from_secs(112);

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Remembers a process.
pub fn note(child: &Child) {
    STARTED
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(child.id());
}

/// Forgets a process that has ended.
pub fn forget(pid: u32) {
    STARTED
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .retain(|p| *p != pid);
}

/// Sends a signal to a process of this run.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status();
}

/// Ends all processes and this one, without a result.
pub fn abandon() -> ! {
    let started = std::mem::take(&mut *STARTED.lock().unwrap_or_else(|e| e.into_inner()));
    started.into_iter().for_each(|pid| signal(pid, "KILL"));
    process::exit(2)
}

/// Ends all processes if this one fails or takes too long.
pub fn guard() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        abandon();
    }));
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        eprintln!("the case takes too long");
        abandon();
    });
}
