//! Which endpoint of a service takes a request.

use std::sync::Arc;

use crate::{
    gateway::endpoint::{Endpoint, InstanceId},
    rendezvous,
};

/// What this daemon knows of an endpoint's load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests under way from this daemon.
    pub in_flight: u32,

    /// Requests running and waiting there, those of others included: as last told,
    /// and what this daemon has sent since.
    pub reported: Option<u32>,

    /// Whether connections to it failed lately.
    pub is_failing: bool,
}

impl Load {
    /// Requests running and waiting there, as far as this daemon knows.
    pub fn estimate(&self) -> u32 {
        self.reported.unwrap_or(0).max(self.in_flight)
    }
}

/// Fill of an endpoint whose slots are all taken, in percent.
const FULL: u32 = 100;

/// Fill from which a program may leave its engine: half as many requests wait there
/// as run.
const LEAVE_FROM: u32 = 150;

/// An endpoint that may take the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,

    /// What is known of its load.
    pub load: Load,
}

impl Candidate {
    /// Whether it answers and has not refused the request; others come last.
    fn is_usable(&self, tried: &[InstanceId]) -> bool {
        !tried.contains(&self.endpoint.id) && !self.load.is_failing
    }

    /// Work for each slot, in percent: above 100 requests wait.
    fn fill(&self) -> u32 {
        self.load.estimate() * 100 / self.endpoint.slots.max(1)
    }

    /// The same; an endpoint that has said nothing lately has as much as others.
    fn fill_or(&self, mean: u32) -> u32 {
        match self.load.reported {
            Some(_) => self.fill(),
            None => self.fill().max(mean),
        }
    }
}

/// Chooses an engine for a request of a program: the program's last one, which has
/// its prompt in memory, else the first one in the order of the key, which other
/// daemons find as well, that has no more work than its share.
///
/// Answers engines that many programs hash to while others are idle, and bursts that
/// fill some: a program leaves its engine only when more requests wait there than
/// run and another one has far less to do, since its prompt is read again there.
pub fn choose_engine(
    candidates: &[Candidate],
    key: &str,
    last: Option<&InstanceId>,
    tried: &[InstanceId],
) -> Option<usize> {
    let mean = mean_fill(candidates);
    let fill = |i: &usize| candidates[*i].fill_or(mean);
    let mut order: Vec<usize> = (0..candidates.len())
        .filter(|&i| candidates[i].is_usable(tried))
        .collect();
    order
        .sort_by_key(|&i| std::cmp::Reverse(rendezvous::weight(key, &candidates[i].endpoint.id.0)));
    let is_last = |i: &usize| last == Some(&candidates[*i].endpoint.id);
    let home = order.iter().copied().find(is_last);
    if let Some(home) = home.filter(|i| fill(i) < LEAVE_FROM) {
        return Some(home);
    }
    let share = (mean + mean / 4).max(FULL / 2);
    let with_room = order.iter().copied().find(|i| fill(i) <= share);
    let other = with_room.or_else(|| order.iter().copied().min_by_key(fill));
    match (home, other) {
        (Some(home), Some(other)) if fill(&other) > fill(&home) / 2 => Some(home),
        (_, Some(other)) => Some(other),
        // None answers: it may be back.
        (_, None) => (0..candidates.len()).max_by_key(|&i| {
            let c = &candidates[i];
            let is_new = !tried.contains(&c.endpoint.id);
            (is_new, rendezvous::weight(key, &c.endpoint.id.0))
        }),
    }
}

/// Mean fill of the engines whose load is known, in percent; 0 if none is.
fn mean_fill(candidates: &[Candidate]) -> u32 {
    let known: Vec<u32> = candidates
        .iter()
        .filter(|c| c.load.reported.is_some())
        .map(Candidate::fill)
        .collect();
    match known.len() as u32 {
        0 => 0,
        n => known.iter().sum::<u32>() / n,
    }
}

/// Chooses a copy of a plain service: the one with the least work for each of its
/// slots, a nearer one as long as it has a free slot.
///
/// Answers it when calls come faster than one failure domain's copies take them;
/// below that, calls stay where a network partition does not lose their answers.
pub fn choose_service_endpoint(
    candidates: &[Candidate],
    domain: &str,
    spread: u64,
    tried: &[InstanceId],
) -> Option<usize> {
    let n = candidates.len();
    let rank = |i: usize| {
        let c = &candidates[i];
        let tried = tried.contains(&c.endpoint.id);
        let is_far = c.endpoint.domain != domain;
        let work = c.load.estimate();
        let is_full = work >= c.endpoint.slots;
        let turn = (i as u64 + spread) % n.max(1) as u64;
        match is_full {
            false => (tried, c.load.is_failing, false, is_far, work, turn),
            true => (tried, c.load.is_failing, true, false, work, turn),
        }
    };
    (0..n).min_by_key(|&i| rank(i))
}
