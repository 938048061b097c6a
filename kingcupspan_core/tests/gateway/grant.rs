//! Claims on programs, and which of several claimants keeps the claim.

use kingcupspan_core::{
    gateway::{
        call::ProgramKey,
        grant::{
            self, Ballot, ClaimReport, GrantClaims, GrantConditions, GrantTally, Incarnation, Vote,
        },
    },
    id::MonoMs,
};

fn report(holder: &str, has_granted: bool) -> ClaimReport {
    ClaimReport {
        holder: holder.into(),
        has_granted,
    }
}

#[test]
fn claimant_with_grants_or_else_smallest_identifier_is_preferred() {
    let own = Incarnation::from("b");
    let preferred = |reports: &[ClaimReport]| grant::preferred_claimant(&own, reports).cloned();
    assert_eq!(preferred(&[]), None);
    assert_eq!(preferred(&[report("b", false)]), None);
    assert_eq!(preferred(&[report("c", false)]), None);
    assert_eq!(
        preferred(&[report("a", false), report("c", false)]),
        Some("a".into())
    );
    assert_eq!(
        preferred(&[report("a", false), report("c", true)]),
        Some("c".into())
    );
}

#[test]
fn unused_claims_expire_unless_their_program_is_kept() {
    let program = ProgramKey::from("p");
    let mut claims = GrantClaims::default();
    assert!(
        claims
            .claim_mut(&program, MonoMs(1_000))
            .try_acquire(&"a".into())
    );
    claims.expire(MonoMs(1_000), |_| false);
    assert!(!claims.is_empty());
    claims.expire(MonoMs(1_001), |_| true);
    assert!(!claims.is_empty());
    claims.expire(MonoMs(1_001), |_| false);
    assert!(claims.is_empty());
}

/// Conditions of a daemon in domain "a" that meet all requirements but for the votes, which
/// are given by domain.
fn conditions(votes: &[(&str, Vote)]) -> GrantConditions {
    let ballot = |(domain, vote): &(&str, Vote)| Ballot {
        domain: (*domain).to_owned(),
        vote: *vote,
    };
    let ballots: Vec<Ballot> = votes.iter().map(ballot).collect();
    GrantConditions {
        tally: GrantTally::count(&ballots, "a"),
        has_member_list: true,
        has_read_records: true,
        ..GrantConditions::default()
    }
}

#[test]
fn majority_leaves_tokens_for_domains_without_a_vote() {
    use Vote::{Agrees, Missing};
    let all = conditions(&[("a", Agrees), ("b", Agrees), ("c", Missing), ("c", Agrees)]);
    assert_eq!(all.max_grant(800), 400);
    let one_silent = conditions(&[("a", Agrees), ("b", Agrees), ("c", Missing)]);
    assert_eq!(one_silent.max_grant(800), 200);
    let two_silent = conditions(&[
        ("a", Agrees),
        ("a", Agrees),
        ("a", Agrees),
        ("b", Missing),
        ("c", Missing),
    ]);
    assert_eq!(two_silent.max_grant(800), 0);
    let no_majority = conditions(&[("a", Agrees), ("b", Missing)]);
    assert_eq!(no_majority.max_grant(800), 0);
}

#[test]
fn cut_off_domain_needs_all_its_daemons_but_those_of_new_vms() {
    use Vote::{Agrees, Missing, New};
    let cut_off = |votes: &[(&str, Vote)]| {
        let conditions = GrantConditions {
            is_cut_off: true,
            ..conditions(votes)
        };
        conditions.max_grant(800)
    };
    let others = [("b", Missing), ("b", Missing), ("c", Missing)];
    let with = |own: &[(&'static str, Vote)]| cut_off(&[own, &others[..]].concat());
    assert_eq!(with(&[("a", Agrees), ("a", Agrees)]), 200);
    assert_eq!(with(&[("a", Agrees), ("a", New)]), 200);
    assert_eq!(with(&[("a", Agrees), ("a", Missing)]), 0);
    assert_eq!(with(&[("a", New)]), 0);
}

#[test]
fn votes_of_new_vms_count_only_in_the_number_of_daemons() {
    use Vote::{Agrees, New};
    let minority = conditions(&[("a", Agrees), ("b", Agrees), ("a", New), ("b", New)]);
    assert_eq!(minority.max_grant(800), 0);
}
