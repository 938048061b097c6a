//! Time by both clocks of a VM.

use crate::id::{MonoMs, WallMs};

/// A moment as both clocks of a VM show it.
///
/// The monotonic clock stops while the VM is suspended, and the wall clock may be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time.
    pub mono: MonoMs,

    /// Time of day.
    pub wall: WallMs,
}

impl Moment {
    /// Time since an earlier moment by the clock that shows more, in milliseconds.
    pub fn since(&self, earlier: &Self) -> u64 {
        let mono = self.mono.0.saturating_sub(earlier.mono.0);
        let wall = self.wall.0.saturating_sub(earlier.wall.0);
        mono.max(wall)
    }
}
