//! Claims on programs and how reports agree.

use kingcupspan_core::{
    gateway::{
        call::ProgramKey,
        grant::{self, ClaimReport, GrantClaims, Incarnation},
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
fn of_two_claimants_the_one_that_has_granted_or_the_least_goes_on() {
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
fn claims_are_forgotten_once_their_program_is_over() {
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
