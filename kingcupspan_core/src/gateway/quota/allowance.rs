//! Tokens that a daemon has been granted and has not spent yet.

use super::{Meter, Moment};
use crate::id::MonoMs;

/// Share of a token's validity for which tokens are asked ahead.
const AHEAD_SHARE: f64 = 0.5;

/// Most tokens asked for at a time.
const MAX_WANTED: u32 = 1_000;

/// Longest time for which a refusal counts for further requests, in milliseconds.
const MAX_REFUSAL_MS: u64 = 250;

/// Tokens granted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number of tokens.
    pub tokens: u32,

    /// Time of the question for the tokens.
    pub asked_at: Moment,

    /// Time from the question within which the tokens have to be spent, in milliseconds.
    pub validity_ms: u64,
}

impl Grant {
    /// Whether the tokens may be spent.
    pub fn is_valid(&self, now: &Moment) -> bool {
        now.since(&self.asked_at) < self.validity_ms
    }
}

/// Permission to send one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token(Grant);

impl Token {
    /// Whether the request may be sent.
    pub fn is_valid(&self, now: &Moment) -> bool {
        self.0.is_valid(now)
    }
}

/// Tokens of one workspace at a daemon, and what the daemon knows of its demand.
#[derive(Debug, Clone, Default)]
pub struct Allowance {
    grants: Vec<Grant>,

    /// Requests that have wanted a token.
    demand: Meter,

    /// End of the time in which requests are refused without a question, and time after which
    /// their callers should come back.
    refused: Option<(MonoMs, u64)>,
}

impl Allowance {
    /// Counts a request that wants a token.
    pub fn note_demand(&mut self, now: MonoMs) {
        self.demand.add(1.0, now);
    }

    /// Requests a second that want a token.
    pub fn demand_per_s(&self, now: MonoMs) -> f64 {
        self.demand.per_s(now)
    }

    /// Takes a token, that which expires first.
    pub fn take(&mut self, now: &Moment) -> Option<Token> {
        self.grants.retain(|g| g.tokens > 0 && g.is_valid(now));
        let remaining = |g: &&mut Grant| g.validity_ms - now.since(&g.asked_at);
        let grant = self.grants.iter_mut().min_by_key(remaining)?;
        grant.tokens -= 1;
        Some(Token(Grant {
            tokens: 1,
            ..*grant
        }))
    }

    /// Adds tokens, which also ends a refusal.
    pub fn add(&mut self, grant: Grant) {
        self.refused = None;
        self.grants.push(grant);
    }

    /// Puts back a token whose request did not run.
    pub fn put_back(&mut self, token: Token) {
        self.grants.push(token.0);
    }

    /// Forgets all tokens, since the limit has changed.
    pub fn clear(&mut self) {
        self.grants.clear();
        self.refused = None;
    }

    /// Records that the home has no tokens.
    pub fn refuse(&mut self, retry_ms: u64, now: MonoMs) {
        let until = MonoMs(now.0 + retry_ms.min(MAX_REFUSAL_MS));
        self.refused = Some((until, retry_ms));
    }

    /// Time after which callers should come back if requests are refused without a question, in
    /// milliseconds.
    pub fn refused_for(&self, now: MonoMs) -> Option<u64> {
        let (until, retry_ms) = self.refused?;
        (now < until).then_some(retry_ms)
    }

    /// Number of tokens to ask for if `waiting` requests have none.
    pub fn wanted(&self, waiting: u32, validity_ms: u64, now: MonoMs) -> u32 {
        let ahead_s = validity_ms as f64 / 1_000.0 * AHEAD_SHARE;
        let ahead = self.demand.per_s(now) * ahead_s;
        waiting.max(ahead as u32).clamp(1, MAX_WANTED)
    }

    /// Whether tokens should be asked for before a request has to wait for one.
    pub fn is_low(&self, validity_ms: u64, now: &Moment) -> bool {
        let expected = self.wanted(0, validity_ms, now.mono);
        let valid = self.grants.iter().filter(|g| g.is_valid(now));
        let tokens: u32 = valid.map(|g| g.tokens).sum();
        expected >= 2 && tokens <= expected / 4
    }

    /// Whether no request has wanted a token lately.
    pub fn is_idle(&self, now: MonoMs) -> bool {
        self.demand.per_s(now) < 1e-6
    }
}
