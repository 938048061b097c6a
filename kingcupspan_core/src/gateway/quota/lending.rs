//! Tokens that a home has borrowed of other failure domains.

use std::collections::BTreeMap;

use super::{Grant, Moment};
use crate::id::MonoMs;

/// Time for whose missing tokens a home borrows at a time, in seconds.
const BORROWED_AHEAD_S: f64 = 0.2;

/// Time for which a domain is not asked again after it had nothing to lend, in milliseconds.
const NOTHING_LEFT_MS: u64 = 150;

/// Time for which what another home has told counts, in milliseconds.
const RETENTION_MS: u64 = 5_000;

/// Borrowed tokens that are not yet granted.
#[derive(Debug, Clone, Default)]
pub struct Loans(Vec<Grant>);

impl Loans {
    /// Adds borrowed tokens.
    pub fn add(&mut self, grant: Grant) {
        self.0.push(grant);
    }

    /// Takes up to `max` tokens of one loan, that which expires first; they keep its expiry.
    pub fn take(&mut self, max: u32, now: &Moment) -> Option<Grant> {
        self.0.retain(|g| g.tokens > 0 && g.is_valid(now));
        let remaining = |g: &&mut Grant| g.validity_ms - now.since(&g.asked_at);
        let loan = self.0.iter_mut().min_by_key(remaining)?;
        let tokens = loan.tokens.min(max);
        loan.tokens -= tokens;
        Some(Grant { tokens, ..*loan })
    }

    /// Number of tokens that may still be granted.
    pub fn tokens(&self, now: &Moment) -> u32 {
        self.0
            .iter()
            .filter(|g| g.is_valid(now))
            .map(|g| g.tokens)
            .sum()
    }
}

/// What the home of another domain has told.
#[derive(Debug, Clone, Copy)]
struct Lender {
    told_at: MonoMs,

    /// Tokens left in its bucket.
    level: f64,

    /// Tokens a second that its domain uses.
    use_per_s: f64,

    /// End of the time in which it is not asked.
    empty_until: MonoMs,
}

/// What a home knows of the other domains, by name.
#[derive(Debug, Clone, Default)]
pub struct Lenders(BTreeMap<String, Lender>);

impl Lenders {
    /// Records the answer of a domain's home; `lent` is the number of tokens it has lent.
    pub fn note(&mut self, domain: &str, lent: u32, level: f64, use_per_s: f64, now: MonoMs) {
        let empty_ms = match lent {
            0 => NOTHING_LEFT_MS,
            _ => 0,
        };
        let lender = Lender {
            told_at: now,
            level,
            use_per_s,
            empty_until: MonoMs(now.0 + empty_ms),
        };
        self.0.insert(domain.to_owned(), lender);
    }

    /// Records that no home of a domain responds.
    pub fn note_unresponsive(&mut self, domain: &str, now: MonoMs) {
        self.note(domain, 0, 0.0, 0.0, now);
    }

    /// Domains of `domains` that may be asked, those with much left first.
    pub fn order<'a>(&self, domains: &'a [String], now: MonoMs) -> Vec<&'a str> {
        let is_empty = |d: &str| self.0.get(d).is_some_and(|l| now < l.empty_until);
        let level = |d: &str| self.0.get(d).map_or(f64::INFINITY, |l| l.level);
        let mut order: Vec<&str> = domains.iter().map(String::as_str).collect();
        order.retain(|d| !is_empty(d));
        order.sort_by(|a, b| level(b).total_cmp(&level(a)));
        order
    }

    /// Tokens a second that all domains use, where `own` is this domain's use; domains that have
    /// told nothing lately count as using as much.
    pub fn total_use(&self, own: f64, domains: usize, now: MonoMs) -> f64 {
        let is_recent = |l: &&Lender| now.0.saturating_sub(l.told_at.0) < RETENTION_MS;
        let told: Vec<f64> = self
            .0
            .values()
            .filter(is_recent)
            .map(|l| l.use_per_s)
            .collect();
        let silent = domains.saturating_sub(1 + told.len()) as f64;
        own * (1.0 + silent) + told.iter().sum::<f64>()
    }

    /// Number of tokens to borrow if `waiting` are needed at once and `missing_per_s` in general.
    pub fn wanted(waiting: u32, missing_per_s: f64) -> u32 {
        waiting.max((missing_per_s * BORROWED_AHEAD_S) as u32)
    }
}
