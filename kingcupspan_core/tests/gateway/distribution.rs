//! The tree over which daemons pass a configuration on.

use std::collections::BTreeSet;

use kingcupspan_core::gateway::distribution::{self, Member, Place, Role};
use proptest::prelude::*;

/// Last digit of the names of VMs whose daemons do not reach the store.
const LACKS_STORE: char = '5';

/// Names and failure domains of `count` VMs.
fn fleet(count: usize, domains: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|n| (format!("vm-{n}"), format!("domain-{}", n % domains)))
        .collect()
}

/// Places of all daemons of a fleet.
fn places(fleet: &[(String, String)]) -> Vec<(Member<'_>, Place)> {
    let members: Vec<Member<'_>> = fleet
        .iter()
        .map(|(vm, domain)| Member {
            vm,
            domain,
            reaches_store: !vm.ends_with(LACKS_STORE),
        })
        .collect();
    members
        .iter()
        .map(|m| (*m, distribution::place(&members, *m)))
        .collect()
}

/// VMs that have the record once the readers have it and each daemon tells its targets.
fn reached(places: &[(Member<'_>, Place)]) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    let readers = places.iter().filter(|(_, p)| p.role == Role::Reader);
    let mut queue: Vec<String> = readers.map(|(m, _)| m.vm.to_owned()).collect();
    while let Some(vm) = queue.pop() {
        if reached.insert(vm.clone()) {
            let (_, place) = places.iter().find(|(m, _)| m.vm == vm).unwrap();
            queue.extend(place.targets.iter().cloned());
        }
    }
    reached
}

proptest! {
    #[test]
    fn record_reaches_each_daemon_and_few_read_it(count in 1_usize..200, domains in 1_usize..7) {
        let fleet = fleet(count, domains);
        let places = places(&fleet);
        prop_assert_eq!(reached(&places).len(), count);
        let readers = places.iter().filter(|(_, p)| p.role == Role::Reader).count();
        prop_assert!((1..=2).contains(&readers));
        for (member, place) in &places {
            prop_assert!(place.targets.len() <= 4 + domains);
            prop_assert!(!place.sources.contains(&member.vm.to_owned()));
            let has_source = place.role == Role::Reader || !place.sources.is_empty();
            prop_assert!(has_source, "{:?}", place);
            let reads = place.role == Role::Reader;
            let others_reach = places.iter().any(|(m, _)| m.domain == member.domain && m.reaches_store);
            prop_assert!(!reads || member.reaches_store || !others_reach);
        }
    }
}

#[test]
fn places_in_a_fleet_of_twelve() {
    let fleet = fleet(12, 3);
    let lines = places(&fleet).into_iter().map(|(member, place)| {
        let Place {
            role,
            rank,
            sources,
            targets,
        } = place;
        format!(
            "{} {role:?} {rank}: from {sources:?}, to {targets:?}\n",
            member.vm
        )
    });
    insta::assert_snapshot!(lines.collect::<String>());
}
