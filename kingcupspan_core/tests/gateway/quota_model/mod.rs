//! Model of the daemons that keep one workspace to its quota, with the real buckets, allowances
//! and loans. Messages take no time; cuts, pauses, suspensions, kills and configurations come at
//! given times. The steps of [`Model::answer`] are those of the daemon's homes.

mod home;

use kingcupspan_core::{
    gateway::{
        incarnation::Incarnation,
        quota::{Allowance, Grant, Granted, Home, Moment, Part, Token},
        workspace::Quota,
    },
    id::{MonoMs, Version, WallMs},
};

/// Step of the model, in milliseconds.
pub const STEP_MS: u64 = 20;

/// Span over which the users count the requests of a workspace, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// Longest time until a daemon has a new configuration or learns of a new daemon.
pub const APPLY_MS: u64 = 3_000;

/// Time at which a run begins, long after the start of its daemons, in milliseconds.
pub const BEGIN_MS: u64 = 10_000;

/// Time for which a daemon that did not respond is passed over.
const PASSED_OVER_MS: u64 = 5_000;

/// Time for which another home counts as one that may go on to grant.
const FORMER_HOME_MS: u64 = 8_000;

/// Time for which a former home passes questions on.
const SUCCESSION_MS: u64 = 8_000;

/// Time within which a home has to hear of another daemon of its domain.
const HEARD_WITHIN_MS: u64 = 1_500;

/// Pause after which other homes may have taken over.
const LONG_PAUSE_MS: u64 = 2_500;

/// Deliberate faults that the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,

    /// A home lends tokens and keeps them.
    LendsTwice,

    /// Tokens do not expire.
    NoExpiry,

    /// The burst is available at once after a start.
    BurstAfterStart,

    /// A home that takes over grants at the full rate and claims nothing.
    NoTakeover,
}

/// What happens in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A failure domain is cut off from the others.
    DomainCut,

    /// A daemon is cut off from all others.
    DaemonCut,

    /// A daemon does not run.
    Pause,

    /// A daemon's VM is suspended, so that its monotonic clock stops.
    Suspension,

    /// A daemon is killed, and started again after the span.
    Kill,

    /// All daemons are killed, and started again after the span.
    KillAll,

    /// A daemon that was not there before is started.
    Added,
}

/// Event in the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    pub kind: EventKind,
    pub at: u64,
    pub span_ms: u64,

    /// Daemon, or a daemon of the failure domain, that it befalls.
    pub daemon: usize,
}

/// A fleet, its load and what befalls it.
#[derive(Debug, Clone)]
pub struct Case {
    pub domains: usize,
    pub quota: Quota,

    /// Limit that replaces the first one, and when.
    pub lowered: Option<(u64, Quota)>,

    /// Requests a second of the callers of each daemon.
    pub loads: Vec<f64>,

    /// Longest time between the token of a request and its sending.
    pub wait_ms: u64,
    pub events: Vec<Event>,
    pub seed: u64,
    pub end_ms: u64,
}

/// What a run of the model has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Times at which requests were sent.
    pub sent: Vec<u64>,
    /// Times at which requests were refused.
    pub refused: Vec<u64>,

    /// Questions and claims between daemons.
    pub messages: usize,
}

/// Run of a daemon.
type Run = (usize, u64);

/// Question for tokens.
#[derive(Clone, Copy)]
struct Question {
    version: Version,
    quota: Quota,
    domain: usize,
    wanted: u32,
    former: Option<Run>,
    is_forwarded: bool,
}

/// Answer of a home.
#[derive(Clone, Copy)]
struct Answer {
    home: Run,
    granted: Granted,
    retry_ms: u64,
    level: f64,
    use_per_s: f64,
}

/// A daemon.
struct Daemon {
    domain: usize,
    rank: u64,
    run: u64,
    started_at: u64,
    suspended_ms: u64,
    allowance: Allowance,
    home: Option<Home>,
    successor: Option<(usize, u64)>,
    passed_over: Vec<u64>,
    last_home: Option<(Run, u64)>,
    last_lenders: Vec<Option<(Run, u64)>>,
    heard_at: u64,
    active_at: u64,
    arrivals: f64,
    pending: Vec<(u64, Token)>,
    version: Version,
}

/// The fleet.
pub struct Model {
    case: Case,
    flaw: Flaw,
    now: u64,
    daemons: Vec<Daemon>,
    random: u64,
    outcome: Outcome,
}

/// Name of a run of a daemon.
fn incarnation((daemon, run): Run) -> Incarnation {
    Incarnation::from(format!("{daemon}/{run}"))
}

/// Runs a case.
pub fn run(case: &Case, flaw: Flaw) -> Outcome {
    let mut model = Model::new(case.clone(), flaw);
    while model.now < case.end_ms {
        model.step();
    }
    model.outcome
}

impl Model {
    /// Creates a fleet whose daemons have run for long.
    fn new(case: Case, flaw: Flaw) -> Self {
        let mut model = Self {
            flaw,
            now: BEGIN_MS,
            daemons: Vec::new(),
            random: case.seed | 1,
            outcome: Outcome::default(),
            case,
        };
        for n in 0..model.case.loads.len() {
            let rank = model.next_random();
            let arrivals = model.next_fraction();
            model.daemons.push(Daemon {
                domain: n % model.case.domains,
                rank,
                run: 0,
                started_at: rank % (BEGIN_MS / 2),
                suspended_ms: 0,
                allowance: Allowance::default(),
                home: None,
                successor: None,
                passed_over: vec![0; model.case.loads.len()],
                last_home: None,
                last_lenders: vec![None; model.case.domains],
                heard_at: BEGIN_MS,
                active_at: BEGIN_MS,
                arrivals,
                pending: Vec::new(),
                version: Version(1),
            });
        }
        model
    }

    /// Next pseudo-random number.
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Pseudo-random number between 0 and 1.
    fn next_fraction(&mut self) -> f64 {
        (self.next_random() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Whether an event of a kind befalls a daemon now.
    fn is_under(&self, daemon: usize, kind: EventKind) -> bool {
        let domain = self.daemons[daemon].domain;
        self.case.events.iter().any(|e| {
            let target = e.daemon % self.daemons.len();
            let is_hit = match kind {
                EventKind::DomainCut => self.daemons[target].domain == domain,
                EventKind::KillAll => true,
                _ => target == daemon,
            };
            let span = match kind {
                EventKind::Added => 0..e.at,
                _ => e.at..e.at + e.span_ms,
            };
            e.kind == kind && is_hit && span.contains(&self.now)
        })
    }

    /// Whether a daemon's process exists.
    fn is_alive(&self, daemon: usize) -> bool {
        let kinds = [EventKind::Kill, EventKind::KillAll, EventKind::Added];
        !kinds.iter().any(|kind| self.is_under(daemon, *kind))
    }

    /// Whether a daemon's process runs.
    fn is_running(&self, daemon: usize) -> bool {
        let kinds = [EventKind::Pause, EventKind::Suspension];
        self.is_alive(daemon) && !kinds.iter().any(|kind| self.is_under(daemon, *kind))
    }

    /// Whether messages pass between two daemons.
    fn can_talk(&self, a: usize, b: usize) -> bool {
        let is_cut = |d| self.is_under(d, EventKind::DaemonCut);
        let is_domain_cut = |d| self.is_under(d, EventKind::DomainCut);
        let is_same_domain = self.daemons[a].domain == self.daemons[b].domain;
        let is_between_cut = !is_same_domain && (is_domain_cut(a) || is_domain_cut(b));
        self.is_running(a) && self.is_running(b) && !is_cut(a) && !is_cut(b) && !is_between_cut
    }

    /// Whether a daemon knows of another one, of which it learns late.
    fn knows(&self, daemon: usize, other: usize) -> bool {
        let added = self
            .case
            .events
            .iter()
            .find(|e| e.kind == EventKind::Added && e.daemon % self.daemons.len() == other);
        let lag = (self.daemons[daemon].rank ^ self.daemons[other].rank) % APPLY_MS;
        daemon == other || added.is_none_or(|e| self.now >= e.at + lag)
    }

    /// Time by the clocks of a daemon.
    fn moment(&self, daemon: usize) -> Moment {
        let d = &self.daemons[daemon];
        Moment {
            mono: MonoMs(self.now - d.started_at - d.suspended_ms),
            wall: WallMs(self.now),
        }
    }

    /// The limit that a daemon knows.
    fn quota(&self, daemon: usize) -> Quota {
        match (self.daemons[daemon].version, self.case.lowered) {
            (Version(2), Some((_, quota))) => quota,
            _ => self.case.quota,
        }
    }

    /// Daemons of a domain in the order of their ranks that a daemon does not pass over.
    fn ranked(&self, daemon: usize, domain: usize) -> Vec<usize> {
        let passed_over = &self.daemons[daemon].passed_over;
        let mut ranked: Vec<usize> = (0..self.daemons.len())
            .filter(|d| self.daemons[*d].domain == domain && self.knows(daemon, *d))
            .filter(|d| passed_over[*d] <= self.now)
            .collect();
        ranked.sort_by_key(|d| self.daemons[*d].rank);
        ranked
    }

    /// Whether a message of a daemon arrives; one that does not respond is passed over.
    fn reaches(&mut self, daemon: usize, peer: usize) -> bool {
        if daemon == peer {
            return true;
        }
        self.outcome.messages += 1;
        let has_responded = self.can_talk(daemon, peer);
        self.daemons[daemon].passed_over[peer] = match has_responded {
            true => 0,
            false => self.now + PASSED_OVER_MS,
        };
        if has_responded && self.daemons[daemon].domain == self.daemons[peer].domain {
            self.daemons[daemon].heard_at = self.now;
            self.daemons[peer].heard_at = self.now;
        }
        has_responded
    }

    /// Lets one step pass.
    fn step(&mut self) {
        self.now += STEP_MS;
        for daemon in 0..self.daemons.len() {
            self.start_or_suspend(daemon);
            if !self.is_running(daemon) {
                continue;
            }
            self.read_configuration(daemon);
            self.note_activity(daemon);
            self.send_pending(daemon);
            self.receive(daemon);
        }
    }

    /// Forgets what a killed daemon knew, and stops the clock of a suspended one.
    fn start_or_suspend(&mut self, daemon: usize) {
        if self.is_under(daemon, EventKind::Suspension) {
            self.daemons[daemon].suspended_ms += STEP_MS;
        }
        if self.is_alive(daemon) {
            return;
        }
        let (now, peers) = (self.now, self.daemons.len());
        let domains = self.case.domains;
        let d = &mut self.daemons[daemon];
        d.run += 1;
        (d.started_at, d.suspended_ms) = (now, 0);
        (d.heard_at, d.active_at) = (now, now);
        d.allowance = Allowance::default();
        (d.home, d.successor, d.last_home) = (None, None, None);
        d.passed_over = vec![0; peers];
        d.last_lenders = vec![None; domains];
        d.pending.clear();
    }

    /// Reads a configuration that has changed.
    fn read_configuration(&mut self, daemon: usize) {
        let lag = self.daemons[daemon].rank % APPLY_MS;
        let has_come = self
            .case
            .lowered
            .is_some_and(|(at, _)| self.now >= at + lag);
        let d = &mut self.daemons[daemon];
        if has_come && d.version == Version(1) {
            d.version = Version(2);
            d.allowance.clear();
        }
    }

    /// Restrains the bucket of a daemon that did not run for long.
    fn note_activity(&mut self, daemon: usize) {
        let now = self.moment(daemon).mono;
        let d = &mut self.daemons[daemon];
        let has_paused = self.now - d.active_at >= LONG_PAUSE_MS;
        d.active_at = self.now;
        if let Some(home) = d.home.as_mut().filter(|_| has_paused) {
            home.bucket.restrain(now);
        }
    }

    /// Sends requests that have waited.
    fn send_pending(&mut self, daemon: usize) {
        let now = self.now;
        let due = self.daemons[daemon]
            .pending
            .extract_if(.., |(at, _)| *at <= now);
        let due: Vec<(u64, Token)> = due.collect();
        for (_, token) in due {
            let is_valid = token.is_valid(&self.moment(daemon));
            if is_valid || self.take(daemon).is_some() {
                self.outcome.sent.push(now);
            }
        }
    }

    /// Receives requests of callers, and gets tokens for them.
    fn receive(&mut self, daemon: usize) {
        let mut count = self.case.loads[daemon] * STEP_MS as f64 / 1_000.0;
        count *= 2.0 * self.next_fraction();
        self.daemons[daemon].arrivals += count;
        while self.daemons[daemon].arrivals >= 1.0 {
            self.daemons[daemon].arrivals -= 1.0;
            let Some(token) = self.take(daemon) else {
                self.outcome.refused.push(self.now);
                continue;
            };
            let wait = self.next_random() % (self.case.wait_ms + 1);
            self.daemons[daemon].pending.push((self.now + wait, token));
        }
    }

    /// Takes a token for a request.
    fn take(&mut self, daemon: usize) -> Option<Token> {
        let now = self.moment(daemon);
        let allowance = &mut self.daemons[daemon].allowance;
        allowance.note_demand(now.mono);
        if let Some(token) = allowance.take(&now) {
            return Some(token);
        }
        if allowance.refused_for(now.mono).is_some() {
            return None;
        }
        self.refill(daemon);
        self.daemons[daemon].allowance.take(&now)
    }

    /// Asks a home for tokens, or the next one if it does not respond.
    fn refill(&mut self, daemon: usize) {
        let quota = self.quota(daemon);
        let domain = self.daemons[daemon].domain;
        let validity_ms = Part::of(&quota, self.case.domains).validity_ms;
        let asked_at = self.moment(daemon);
        for home in self.ranked(daemon, domain).into_iter().take(2) {
            let d = &self.daemons[daemon];
            let question = Question {
                version: d.version,
                quota,
                domain,
                wanted: d.allowance.wanted(1, validity_ms, asked_at.mono),
                former: self.former(d.last_home, home),
                is_forwarded: false,
            };
            if !self.reaches(daemon, home) {
                continue;
            }
            let Some(answer) = self.answer(home, question) else {
                continue;
            };
            let now = self.now;
            let d = &mut self.daemons[daemon];
            d.last_home = Some((answer.home, now));
            let validity_ms = match self.flaw {
                Flaw::NoExpiry => u64::MAX / 2,
                _ => answer.granted.validity_ms,
            };
            match answer.granted.tokens {
                0 => d.allowance.refuse(answer.retry_ms, asked_at.mono),
                tokens => d.allowance.add(Grant {
                    tokens,
                    asked_at,
                    validity_ms,
                }),
            }
            return;
        }
    }

    /// Run that may go on to grant beside `home`.
    fn former(&self, last: Option<(Run, u64)>, home: usize) -> Option<Run> {
        let is_former = |(run, at): &(Run, u64)| {
            *run != (home, self.daemons[home].run) && self.now - at < FORMER_HOME_MS
        };
        last.filter(is_former).map(|(run, _)| run)
    }
}
