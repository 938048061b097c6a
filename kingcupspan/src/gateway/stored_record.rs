//! Content of the gateway's records in the store, and their keys.

use kingcupspan_core::{
    digest::Digest,
    gateway::{
        allocation::{AllocationId, Settlement},
        call::{ProgramKey, RequestId},
        fragment::Fragment,
        history::Turn,
        incarnation::Incarnation,
        stream_origin::StreamRecord,
    },
    id::WallMs,
};
use kingcupspan_platform::store::Record;
use rmp_serde::decode;
use serde::{Deserialize, Serialize};

/// Space in a record for its key and for what a fragment holds besides the turn's bytes.
const FRAGMENT_OVERHEAD_BYTES: usize = 256;

/// Content of a record in the store.
#[derive(Debug, Serialize, Deserialize)]
pub enum StoredRecord {
    /// A turn with a complete answer, and the time at which it was stored.
    Turn(RequestId, Turn, WallMs),

    /// A fragment of a turn that does not fit into one record; the joined bytes are the
    /// encoded id and turn.
    Fragment(Fragment),

    /// Number of tokens of a program's budget that a daemon has allocated for a turn, or that
    /// the turn has used.
    #[serde(rename = "Taking")]
    Allocation(ProgramKey, AllocationId, u64),

    /// Where a stream was begun. The key tells its partition: the program, or the attempt if it
    /// belongs to none.
    Stream(ProgramKey, AllocationId, StreamRecord),

    /// Written by former versions, which granted tokens without the store.
    #[serde(rename = "Closed")]
    GrantsDisabled(ProgramKey),

    /// Written by former versions, which granted tokens without the store.
    Claim(ProgramKey, Incarnation, String),
}

impl StoredRecord {
    /// Encodes the content with the record's key.
    pub fn with_key(&self, key: String) -> Record {
        Record {
            key,
            value: Some(encode(self)),
        }
    }
}

/// Records of a turn stored at `written`: one if it fits into `record_bytes`, otherwise one
/// for each fragment.
pub fn turn_records(
    id: &RequestId,
    turn: &Turn,
    written: WallMs,
    record_bytes: usize,
) -> Vec<Record> {
    let key = turn_key(id);
    let max_bytes = record_bytes.saturating_sub(FRAGMENT_OVERHEAD_BYTES);
    let whole = StoredRecord::Turn(id.clone(), turn.clone(), written).with_key(key.clone());
    if whole.encoded_bytes() <= max_bytes {
        return vec![whole];
    }
    let encoded = encode(&(id, turn));
    Fragment::split(&key, turn.retention, written, &encoded, max_bytes)
        .into_iter()
        .map(|fragment| {
            let key = fragment_key(id, fragment.index);
            StoredRecord::Fragment(fragment).with_key(key)
        })
        .collect()
}

/// Decodes the joined fragments of a turn.
pub fn decode_turn(encoded: &[u8]) -> Result<(RequestId, Turn), decode::Error> {
    rmp_serde::from_slice(encoded)
}

/// Key of a turn's record, or of the record of its first fragment.
pub fn turn_key(id: &RequestId) -> String {
    key(&format!("turn/{id}"))
}

/// Key of the record of a fragment.
fn fragment_key(id: &RequestId, index: u32) -> String {
    match index {
        0 => turn_key(id),
        index => key(&format!("fragment/{index}/{id}")),
    }
}

/// Builds the record of an allocation, and its decoded content.
pub fn allocation(program: ProgramKey, id: AllocationId, tokens: u64) -> (Record, StoredRecord) {
    let key = allocation_key(&program, &id);
    let allocation = StoredRecord::Allocation(program, id, tokens);
    (allocation.with_key(key), allocation)
}

/// Builds the record of where a stream was begun, and its decoded content.
///
/// Its key is that of one of the places of the daemon's VM, so that records of streams that have
/// ended make room for others, also those of former runs of the daemon.
pub fn stream(key: ProgramKey, id: AllocationId, stream: StreamRecord) -> (Record, StoredRecord) {
    let run = &*id.daemon.0;
    let vm = run.rsplit_once('/').map_or(run, |(vm, _)| vm);
    let record_key = self::key(&format!("stream/{vm}/{}", stream.place));
    let content = StoredRecord::Stream(key, id, stream);
    (content.with_key(record_key), content)
}

/// Builds the records that settle an allocation, and the decoded content of the first one.
///
/// It has a key of its own, so that it stays if the allocation is appended once more by a late
/// call; the second record deletes the allocation. They must be appended by one call.
pub fn settlement(settlement: &Settlement) -> (Vec<Record>, StoredRecord) {
    let Settlement { program, id, .. } = settlement;
    let key = key(&format!("settled/{program}/{}/{}", id.daemon, id.made_at.0));
    let deletion = Record {
        key: allocation_key(program, id),
        value: None,
    };
    let settled = settled(settlement);
    (vec![settled.with_key(key), deletion], settled)
}

/// Builds the record that settles the allocation of a stored turn beside the turn's own record.
pub fn turn_use(id: &RequestId, settlement: &Settlement) -> Record {
    settled(settlement).with_key(use_key(id))
}

/// Key of the record that settles the allocation of a turn beside the turn's own record.
pub fn use_key(id: &RequestId) -> String {
    key(&format!("use/{id}"))
}

/// Content of a record that settles an allocation.
fn settled(settlement: &Settlement) -> StoredRecord {
    let Settlement { program, id, used } = settlement.clone();
    StoredRecord::Allocation(program, id, used)
}

/// Key of the record of an allocation.
fn allocation_key(program: &ProgramKey, id: &AllocationId) -> String {
    key(&format!("taking/{program}/{}/{}", id.daemon, id.made_at.0))
}

/// Derives a record key that is valid in URL paths from a name that may contain text
/// chosen by callers.
fn key(name: &str) -> String {
    hex::encode(&Digest::of(name.as_bytes()).0[..16])
}

/// Encodes content; it consists of numbers, strings and bytes, which always encode.
fn encode(content: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(content).expect("records encode")
}
