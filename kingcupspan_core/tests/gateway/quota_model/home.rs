//! What a home does, step by step as in the daemon.

use kingcupspan_core::{
    gateway::quota::{Grant, Granted, Home, Part},
    id::MonoMs,
};

use super::{Answer, Flaw, HEARD_WITHIN_MS, Model, Question, Run, SUCCESSION_MS, incarnation};

impl Model {
    /// Answers a question as home.
    pub(super) fn answer(&mut self, daemon: usize, question: Question) -> Option<Answer> {
        self.note_activity(daemon);
        let successor = self.successor(daemon);
        if question.is_forwarded && successor.is_some_and(|s| s != daemon) {
            return None;
        }
        let own_domain = self.daemons[daemon].domain;
        let mut is_new = false;
        let replaces_home = !self.better_homes(daemon).is_empty();
        if !question.is_forwarded {
            for home in self.better_homes(daemon) {
                if let Some(answer) = self.forward(daemon, home, question) {
                    return Some(answer);
                }
            }
            let has_resigned = successor.is_some_and(|s| s != daemon);
            if has_resigned && self.daemons[daemon].successor.take().is_some() {
                is_new |= self.become_home(daemon, &question);
                let now = self.moment(daemon).mono;
                self.home(daemon).bucket.restrain(now);
            }
        }
        let is_isolated = !self.hears_own_domain(daemon);
        is_new |= self.become_home(daemon, &question);
        let now = self.moment(daemon);
        if is_new && replaces_home && self.flaw != Flaw::NoTakeover {
            self.home(daemon).bucket.replace_home(now.mono);
        }
        if is_isolated {
            self.home(daemon).bucket.restrain(now.mono);
        }
        let former = question.former.filter(|f| f.0 != daemon);
        let former = former.filter(|f| self.take_over(daemon, *f));
        let granted = match question.domain == own_domain {
            true => self.grant(daemon, question.wanted, is_isolated),
            false => self.lend(daemon, question.wanted),
        };
        let run = self.daemons[daemon].run;
        let home = self.home(daemon);
        let answer = Answer {
            home: (daemon, run),
            granted,
            retry_ms: home.bucket.refusal(now.mono).retry_ms,
            level: home.bucket.level(now.mono),
            use_per_s: home.bucket.use_per_s(now.mono),
        };
        // Claims are made while tokens are granted already.
        let is_reduced = self.home(daemon).bucket.is_reduced(now.mono);
        let first = self.better_homes(daemon).first().copied();
        let former = former.filter(|f| self.daemons[f.0].run == f.1);
        match (first, former) {
            _ if self.flaw == Flaw::NoTakeover => {}
            (Some(first), _) if is_new => {
                self.claim(daemon, first);
            }
            (None, Some((former, _))) => {
                self.claim(daemon, former);
            }
            (None, None) if is_reduced && !is_isolated => self.claim_from_next(daemon),
            _ => {}
        }
        let is_unknown = is_isolated && granted.tokens == 0;
        (!is_unknown).then_some(answer)
    }

    /// Other daemons that are home as far as a daemon knows: one that has taken over, or the first
    /// ones in the order, also if they did not respond lately.
    fn better_homes(&self, daemon: usize) -> Vec<usize> {
        if let Some(successor) = self.successor(daemon) {
            return [successor].into_iter().filter(|s| *s != daemon).collect();
        }
        let d = &self.daemons[daemon];
        let mut better: Vec<usize> = (0..self.daemons.len())
            .filter(|o| self.daemons[*o].domain == d.domain && self.daemons[*o].rank < d.rank)
            .filter(|o| self.knows(daemon, *o))
            .collect();
        better.sort_by_key(|o| self.daemons[*o].rank);
        better.truncate(3);
        better
    }

    /// State of a home.
    fn home(&mut self, daemon: usize) -> &mut Home {
        self.daemons[daemon].home.as_mut().expect("it is home")
    }

    /// Daemon to which a former home passes questions on.
    fn successor(&self, daemon: usize) -> Option<usize> {
        let successor = self.daemons[daemon].successor;
        successor
            .filter(|(_, until)| self.now < *until)
            .map(|(s, _)| s)
    }

    /// Passes a question on.
    fn forward(&mut self, daemon: usize, home: usize, mut question: Question) -> Option<Answer> {
        question.is_forwarded = true;
        if self.daemons[daemon].home.is_some() {
            question.former = Some((daemon, self.daemons[daemon].run));
        }
        if !self.reaches(daemon, home) {
            return None;
        }
        let answer = self.answer(home, question);
        if answer.is_some() {
            self.daemons[daemon].home = None;
        }
        answer
    }

    /// The other daemons of a daemon's domain.
    fn others_in_domain(&self, daemon: usize) -> Vec<usize> {
        let domain = self.daemons[daemon].domain;
        (0..self.daemons.len())
            .filter(|d| *d != daemon && self.daemons[*d].domain == domain)
            .filter(|d| self.knows(daemon, *d))
            .collect()
    }

    /// Whether another daemon of the domain is heard of, or there is none.
    fn hears_own_domain(&mut self, daemon: usize) -> bool {
        if self.now - self.daemons[daemon].heard_at < HEARD_WITHIN_MS {
            return true;
        }
        let others = self.others_in_domain(daemon);
        others.is_empty() || others.into_iter().any(|d| self.reaches(daemon, d))
    }

    /// Creates the state of a home; returns false if there is one.
    fn become_home(&mut self, daemon: usize, question: &Question) -> bool {
        let part = Part::of(&question.quota, self.case.domains);
        let now = self.moment(daemon).mono;
        if let Some(home) = &mut self.daemons[daemon].home {
            home.set_limit(question.version, question.quota, part, now);
            return false;
        }
        let home = match self.flaw {
            Flaw::BurstAfterStart => {
                let full = Part {
                    extra: part.capacity,
                    ..part
                };
                Home::new(
                    question.version,
                    question.quota,
                    full,
                    MonoMs(now.0.max(6_000)),
                )
            }
            _ => Home::new(question.version, question.quota, part, now),
        };
        self.daemons[daemon].home = Some(home);
        if self.flaw != Flaw::NoTakeover {
            self.home(daemon).bucket.reduce(now);
        }
        true
    }

    /// Claims the workspace from the next daemons in the order until one responds.
    fn claim_from_next(&mut self, daemon: usize) {
        let mut others = self.others_in_domain(daemon);
        if others.is_empty() {
            self.end_restraint(daemon);
        }
        others.sort_by_key(|d| self.daemons[*d].rank);
        for next in others.into_iter().take(3) {
            if self.claim(daemon, next) {
                return;
            }
        }
    }

    /// Ends the reduction of a home's rate.
    fn end_restraint(&mut self, daemon: usize) {
        let now = self.moment(daemon).mono;
        if let Some(home) = &mut self.daemons[daemon].home {
            home.bucket.end_restraint(now);
        }
    }

    /// Takes over from a run that has answered the sender of a question; returns false if it
    /// already has.
    fn take_over(&mut self, daemon: usize, former: Run) -> bool {
        let now = self.moment(daemon).mono;
        if self.flaw == Flaw::NoTakeover {
            return false;
        }
        self.home(daemon)
            .bucket
            .take_over(&incarnation(former), now)
    }

    /// Tells a daemon that another one is home.
    fn claim(&mut self, daemon: usize, former: usize) -> bool {
        if !self.reaches(daemon, former) {
            return false;
        }
        let until = self.now + SUCCESSION_MS;
        let home = self.successor(former).unwrap_or(daemon);
        if self.successor(former).is_none() {
            self.daemons[former].home = None;
            self.daemons[former].successor = Some((daemon, until));
        }
        match home == daemon {
            true => self.end_restraint(daemon),
            false => self.daemons[daemon].home = None,
        }
        self.daemons[daemon].successor = Some((home, until));
        true
    }

    /// Grants tokens to the own domain.
    fn grant(&mut self, daemon: usize, wanted: u32, is_isolated: bool) -> Granted {
        let now = self.moment(daemon);
        let grant = |home: &mut Home| match is_isolated {
            true => home.grant_borrowed(wanted, &now),
            false => home.grant(wanted, &now),
        };
        let home = self.home(daemon);
        home.bucket.note_wanted(wanted, now.mono);
        let granted = grant(home);
        if granted.tokens > 0 {
            if home.missing_ahead(&now) > 0 {
                self.borrow(daemon, 0);
            }
            return granted;
        }
        self.borrow(daemon, wanted);
        grant(self.home(daemon))
    }

    /// Lends tokens to another domain.
    fn lend(&mut self, daemon: usize, wanted: u32) -> Granted {
        let now = self.moment(daemon);
        let lends_twice = self.flaw == Flaw::LendsTwice;
        let home = self.home(daemon);
        match lends_twice {
            true => home.clone().lend(wanted, &now),
            false => home.lend(wanted, &now),
        }
    }

    /// Borrows tokens of other domains.
    fn borrow(&mut self, daemon: usize, waiting: u32) {
        let now = self.moment(daemon);
        let own_domain = self.daemons[daemon].domain;
        let others = (0..self.case.domains).filter(|d| *d != own_domain);
        let others: Vec<String> = others.map(|d| d.to_string()).collect();
        let order = self.home(daemon).lenders.order(&others, now.mono);
        let order: Vec<usize> = order.iter().map(|d| d.parse().unwrap()).collect();
        for domain in order {
            let wanted = self.home(daemon).missing(waiting, &now);
            if wanted == 0 {
                return;
            }
            self.borrow_from(daemon, domain, wanted);
        }
    }

    /// Asks the home of another domain for tokens.
    fn borrow_from(&mut self, daemon: usize, domain: usize, wanted: u32) {
        let now = self.moment(daemon);
        let lender = self.ranked(daemon, domain).first().copied();
        let answer = lender.and_then(|lender| {
            let (version, quota) = self.home(daemon).limit();
            let question = Question {
                version,
                quota,
                domain: self.daemons[daemon].domain,
                wanted,
                former: self.former(self.daemons[daemon].last_lenders[domain], lender),
                is_forwarded: false,
            };
            match self.reaches(daemon, lender) {
                true => self.answer(lender, question),
                false => None,
            }
        });
        let at = self.now;
        let name = domain.to_string();
        let Some(answer) = answer else {
            let home = self.home(daemon);
            return home.lenders.note_unresponsive(&name, now.mono);
        };
        self.daemons[daemon].last_lenders[domain] = Some((answer.home, at));
        let Granted {
            tokens,
            validity_ms,
        } = answer.granted;
        let home = self.home(daemon);
        home.lenders
            .note(&name, tokens, answer.level, answer.use_per_s, now.mono);
        home.loans.add(Grant {
            tokens,
            asked_at: now,
            validity_ms,
        });
    }
}
