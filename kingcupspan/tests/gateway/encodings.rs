//! Encodings of records and of messages between daemons, which other versions read.

use std::{fmt::Write, time::Duration};

use kingcupspan::gateway::{
    peers::{PeerRequest, Purpose},
    stored_record,
};
use kingcupspan_core::{
    gateway::{
        allocation::{AllocationId, Settlement},
        call::RequestId,
        crash_tracker::{Crash, Fingerprint},
        history::Turn,
        workspace::WorkspaceName,
    },
    id::WallMs,
};
use kingcupspan_platform::store::Record;

/// Identifiers that a caller has chosen, as the gateway keeps them for a workspace.
fn qualified(workspace: Option<&str>, id: &str) -> RequestId {
    let workspace = workspace.map(WorkspaceName::from);
    RequestId::from(id).within(workspace.as_ref())
}

/// Records and messages about a turn of a workspace, one a line.
fn encoded(workspace: Option<&str>) -> String {
    let id = qualified(workspace, "t2");
    let turn = Turn {
        program: qualified(workspace, "p").0.into(),
        retention: Duration::from_secs(60),
        ancestors: vec![qualified(workspace, "t1")],
        input: b"in".to_vec(),
        output: b"out\n".to_vec(),
    };
    let settlement = Settlement {
        program: turn.program.clone(),
        id: AllocationId {
            daemon: "vm-0/1".into(),
            made_at: WallMs(5),
        },
        used: 20,
    };
    let allocation = settlement.id.clone();
    let (allocated, _) = stored_record::allocation(turn.program.clone(), allocation, 100);
    let (settled, _) = stored_record::settlement(&settlement);
    let turns = stored_record::turn_records(&id, &turn, WallMs(7), 1_000);
    let turn_use = stored_record::turn_use(&id, &settlement);
    let mut out = String::new();
    let records = turns
        .into_iter()
        .chain([turn_use, allocated])
        .chain(settled);
    for Record { key, value } in records {
        let value = value.map_or_else(|| "deleted".to_owned(), hex::encode);
        writeln!(out, "record {key} {value}").expect("writing to a string succeeds");
    }
    let name = workspace.map(WorkspaceName::from);
    let messages = [
        PeerRequest::Find(vec![id.clone()]),
        PeerRequest::Release {
            program: turn.program,
            requested: 0,
            sender: "vm-0/1".into(),
            purpose: Purpose::Share,
        },
        PeerRequest::Crashed(vec![Crash {
            request: Fingerprint::of("POST", "/a", b"x").within(name.as_ref()),
            endpoint: "e1".into(),
            attempt: "t2".into(),
        }]),
    ];
    for message in messages {
        let bytes = rmp_serde::to_vec(&message).expect("messages encode");
        let line = format!("{} {}", message.name(), hex::encode(bytes));
        writeln!(out, "{line}").expect("writing to a string succeeds");
    }
    out
}

// Guards against records and messages that change for deployments without workspaces, which
// daemons of a former version could not read.
#[test]
fn without_workspaces_records_and_messages_stay_as_they_are() {
    insta::assert_snapshot!(encoded(None));
}

// Guards against records of two workspaces under one key.
#[test]
fn records_and_messages_of_two_workspaces_differ() {
    let [none, north, south] = [None, Some("north"), Some("south")].map(encoded);
    for (a, b) in [(&none, &north), (&none, &south), (&north, &south)] {
        for (a, b) in a.lines().zip(b.lines()) {
            assert_ne!(a, b);
        }
    }
}
