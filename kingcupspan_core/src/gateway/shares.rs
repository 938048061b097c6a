//! Shares of workspaces in the room that engines have, while there is too little of it.
//!
//! The load that this answers: one workspace sends many times what it usually does, or a few large
//! ones what many small ones do together, and the programs of all others wait or are refused
//! beside theirs. The programs that a workspace begins beyond its share are therefore refused
//! first, before any others, and only then those within the shares of all.
//!
//! A workspace's share is its quota, or an equal one if it has none. It is beyond its share if it
//! uses much more of it than the median workspace does of its own; so what matters is how
//! workspaces compare, not how much room there is. Rank decides among programs that are within
//! their shares, and among those that are not, but not between the two. Within their shares some
//! programs of every rank begin as long as some of the highest do.
//!
//! Each daemon decides with the utilization of the engines that it sees; a refusal lowers it for
//! all daemons, which so need not agree on who is beyond its share.

use std::collections::HashMap;

use super::{
    admission::{
        self, HIGHEST_RANK_UTILIZATION, OTHER_RANKS_UTILIZATION, REFUSAL_RANGE_UTILIZATION,
    },
    workspace::{Workspace, WorkspaceName},
};
use crate::id::MonoMs;

/// How much more of its share than the median workspace a workspace may use.
const LENIENCY: f64 = 1.5;

/// Increase in utilization over which programs of the highest rank beyond the share are refused;
/// all of them are before any within a share.
const HIGHEST_RANK_EXCESS_RANGE: f64 = HIGHEST_RANK_UTILIZATION - OTHER_RANKS_UTILIZATION;

/// The same for all other ranks.
const OTHER_RANKS_EXCESS_RANGE: f64 = HIGHEST_RANK_EXCESS_RANGE / 2.0;

/// Largest part of the programs within a share that is refused for their rank alone.
const MAX_REFUSED_FOR_RANK: f64 = 0.9;

/// Part of a workspace's programs beyond its share from which on it alone causes the lack of room, so
/// that programs of all other workspaces are refused like those of the highest rank.
const FULL_RELIEF_EXCESS: f64 = 0.5;

/// Time in which the memory of past requests fades to 1/e, in milliseconds.
const USE_FADES_MS: f64 = 5_000.0;

/// Number of requests that each workspace is taken to have sent besides those that it has, so that
/// a few more than others sent by chance are no excess.
const ASSUMED_REQUESTS: f64 = 2.0;

/// Number of remembered requests below which a workspace is forgotten.
const FORGOTTEN_REQUESTS: f64 = 0.05;

/// A workspace that begins a program.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Contender {
    /// Rank of the request; 0 is the highest.
    pub rank: u32,

    /// Part of its share that the workspace has used over the last seconds.
    pub share_used: f64,
}

/// What the workspaces with recent requests use of their shares.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// What the median workspace uses of its share.
    median: f64,

    /// What the workspace with the largest use does.
    highest: f64,
}

impl Shares {
    /// Summarizes what each workspace with recent requests uses of its share.
    pub fn new(mut used: Vec<f64>) -> Self {
        if used.is_empty() {
            return Self::default();
        }
        let middle = (used.len() - 1) / 2;
        let (_, median, _) = used.select_nth_unstable_by(middle, f64::total_cmp);
        Self {
            median: *median,
            highest: used.into_iter().fold(0.0, f64::max),
        }
    }

    /// Whether the program of a workspace may begin.
    ///
    /// `draw` is a random number, uniformly distributed in 0..1.
    pub fn should_admit(&self, utilization: f64, contender: Contender, draw: f64) -> bool {
        draw >= self.refused_share(utilization, contender)
    }

    /// Part of a workspace's programs that is refused, from 0 to 1.
    pub fn refused_share(&self, utilization: f64, contender: Contender) -> f64 {
        let excess = self.excess(contender.share_used);
        let refused_excess = refused_beyond_share(utilization, contender.rank);
        let refused = self.refused_within_share(utilization, contender.rank);
        excess * refused_excess + (1.0 - excess) * refused
    }

    /// Part of a workspace's programs that is beyond its share, from 0 to 1.
    pub fn excess(&self, share_used: f64) -> f64 {
        let allowed = LENIENCY * self.median;
        match share_used > allowed {
            true => 1.0 - allowed / share_used,
            false => 0.0,
        }
    }

    /// Part that is refused of the programs within the share of their workspace.
    fn refused_within_share(&self, utilization: f64, rank: u32) -> f64 {
        let highest_rank = refused_share(
            utilization,
            HIGHEST_RANK_UTILIZATION,
            REFUSAL_RANGE_UTILIZATION,
        );
        if rank == 0 {
            return highest_rank;
        }
        let by_rank = admission::refused_share(utilization, rank).clamp(0.0, 1.0);
        let by_rank = by_rank.min(MAX_REFUSED_FOR_RANK).max(highest_rank);
        let relief = (self.excess(self.highest) / FULL_RELIEF_EXCESS).min(1.0);
        relief * highest_rank + (1.0 - relief) * by_rank
    }
}

/// Part that is refused of the programs beyond the share of their workspace.
fn refused_beyond_share(utilization: f64, rank: u32) -> f64 {
    let range = match rank {
        0 => HIGHEST_RANK_EXCESS_RANGE,
        _ => OTHER_RANKS_EXCESS_RANGE,
    };
    refused_share(utilization, OTHER_RANKS_UTILIZATION, range)
}

/// Part that is refused from a utilization on, growing from none to all over a range.
fn refused_share(utilization: f64, threshold: f64, range: f64) -> f64 {
    ((utilization - threshold) / range).clamp(0.0, 1.0)
}

/// Requests of workspaces over the last seconds, as one daemon sees them.
#[derive(Debug, Default)]
pub struct RecentUse(HashMap<WorkspaceName, Requests>);

/// Requests of a workspace, the older ones counted for less.
#[derive(Debug, Default)]
struct Requests {
    count: f64,
    updated_at: MonoMs,

    /// Size of the workspace's share.
    share: f64,
}

impl Requests {
    /// Number of requests that still count at `now`.
    fn count_at(&self, now: MonoMs) -> f64 {
        let elapsed = now.0.saturating_sub(self.updated_at.0);
        self.count * (-(elapsed as f64) / USE_FADES_MS).exp()
    }
}

impl RecentUse {
    /// Counts a request of a workspace, also one that is then refused.
    pub fn record(&mut self, workspace: &Workspace, now: MonoMs) {
        let requests = self.0.entry(workspace.name.clone()).or_default();
        requests.count = requests.count_at(now) + 1.0;
        requests.updated_at = now;
        requests.share = workspace.quota.map_or(0.0, |q| q.rate.per_s());
    }

    /// Forgets workspaces without recent requests.
    pub fn expire(&mut self, now: MonoMs) {
        self.0.retain(|_, r| r.count_at(now) >= FORGOTTEN_REQUESTS);
    }

    /// Returns what a workspace uses of its share, and what all do.
    pub fn shares(&self, workspace: &WorkspaceName, now: MonoMs) -> (f64, Shares) {
        let quotas = self.0.values().map(|r| r.share).filter(|s| *s > 0.0);
        let (count, sum) = quotas.fold((0.0, 0.0), |(n, sum), share| (n + 1.0, sum + share));
        let mean_quota = if count > 0.0 { sum / count } else { 1.0 };
        let used = |r: &Requests| {
            let share = if r.share > 0.0 {
                r.share / mean_quota
            } else {
                1.0
            };
            ASSUMED_REQUESTS + r.count_at(now) / share
        };
        let all = Shares::new(self.0.values().map(used).collect());
        (self.0.get(workspace).map_or(ASSUMED_REQUESTS, used), all)
    }
}
