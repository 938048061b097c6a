//! The platform's store: a log with partitions, whose keyed topics keep the newest record of each key.
//!
//! Each append takes `append_ms` and the partition's appends wait for each other; all reads share
//! `read_mb_s`. It loses and rejects nothing.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    ops::Bound,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::http::{self, Head};

const APPEND_MS: u64 = 4;
const ANSWER_MS: u64 = 4;
const PART_BYTES_PER_S: f64 = 20e6;
const READ_BYTES_PER_S: f64 = 80e6;
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Part {
    /// Records as they were appended, without their lengths.
    records: Vec<Arc<Vec<u8>>>,

    /// Newest record of each key.
    newest: BTreeMap<Vec<u8>, (u64, Arc<Vec<u8>>)>,
}

impl Part {
    fn append(&mut self, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        let record = Arc::new(record);
        if let Some((&len, rest)) = record.split_first() {
            if rest.len() >= len as usize {
                let (key, value) = rest.split_at(len as usize);
                match value.is_empty() {
                    true => self.newest.remove(key),
                    false => self
                        .newest
                        .insert(key.to_vec(), (offset, Arc::clone(&record))),
                };
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct Slot {
    /// Held while an append is processed.
    appending: Mutex<()>,
    part: Mutex<Part>,
}

#[derive(Default)]
pub struct Store {
    slots: Mutex<HashMap<(String, u32), Arc<Slot>>>,
    reading: Mutex<()>,
}

impl Store {
    /// Serves on a free port of the loopback address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, addr)
    }

    fn slot(&self, topic: &str, part: u32) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap();
        Arc::clone(slots.entry((topic.to_owned(), part)).or_default())
    }

    /// Writes a record with a key, as the operator and the runners do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.slot(topic, 0).part.lock().unwrap().append(record);
    }

    /// Writes a record with a key to a partition.
    pub fn put_in(&self, topic: &str, part: u32, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.slot(topic, part).part.lock().unwrap().append(record);
    }

    /// The newest records of all partitions of a topic: partition, key and value.
    pub fn newest(&self, topic: &str) -> Vec<(u32, Vec<u8>, Vec<u8>)> {
        let slots = self.slots.lock().unwrap();
        let mut found = Vec::new();
        for ((name, part), slot) in slots.iter().filter(|((name, _), _)| name == topic) {
            let _ = name;
            for (key, (_, record)) in &slot.part.lock().unwrap().newest {
                found.push((*part, key.clone(), record[1 + key.len()..].to_vec()));
            }
        }
        found
    }

    /// Number of records and bytes in the topics whose name begins with `prefix`.
    pub fn volume(&self, prefix: &str) -> (usize, usize) {
        let slots = self.slots.lock().unwrap();
        let matching = slots
            .iter()
            .filter(|((topic, _), _)| topic.starts_with(prefix));
        matching.fold((0, 0), |(count, bytes), (_, slot)| {
            let part = slot.part.lock().unwrap();
            let of_part: usize = part.records.iter().map(|r| r.len()).sum();
            (count + part.records.len(), bytes + of_part)
        })
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut input) {
            let Ok(body) = http::read_body(&mut input, &head, false, |_| {}) else {
                return;
            };
            let (status, kind, answer) = self.call(&head, &body);
            thread::sleep(Duration::from_millis(ANSWER_MS));
            let start = format!("HTTP/1.1 {status} X");
            if http::write_message(&mut output, &start, &[("Content-Type", kind)], &answer).is_err()
            {
                return;
            }
        }
    }

    fn call(&self, head: &Head, body: &[u8]) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let (path, query) = head.word(1).split_once('?').unwrap_or_default();
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let slot = self.slot(text("topic"), number("part") as u32);
        match (head.word(0), path) {
            ("POST", "/api/log-append") => {
                let _appending = slot.appending.lock().unwrap();
                let transfer = Duration::from_secs_f64(body.len() as f64 / PART_BYTES_PER_S);
                thread::sleep(Duration::from_millis(APPEND_MS) + transfer);
                let mut part = slot.part.lock().unwrap();
                let offset = part.records.len();
                let mut rest = body;
                while rest.len() >= 4 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    part.append(rest[4..4 + len].to_vec());
                    rest = &rest[4 + len..];
                }
                let end = part.records.len();
                (
                    200,
                    JSON,
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                )
            }
            ("GET", "/api/log-read") => {
                let max = match number("max_kib") {
                    0 => 1_024,
                    kib => kib as usize,
                } * 1_024;
                let part = slot.part.lock().unwrap();
                let mut answer = (part.records.len() as u64).to_be_bytes().to_vec();
                answer.extend(0_u64.to_be_bytes());
                for record in part.records.iter().skip(number("from") as usize) {
                    if answer.len() > 16 && answer.len() + record.len() > max {
                        break;
                    }
                    answer.extend((record.len() as u32).to_be_bytes());
                    answer.extend_from_slice(record);
                }
                drop(part);
                self.transfer(answer.len());
                (200, "application/octet-stream", answer)
            }
            ("GET", "/api/log-newest") => {
                let answer = newest_page(&slot.part.lock().unwrap(), text("after"));
                self.transfer(answer.len());
                (200, JSON, answer)
            }
            _ => (404, JSON, b"{}".to_vec()),
        }
    }

    /// Takes the time that a read of this size takes, one read after another.
    fn transfer(&self, bytes: usize) {
        let _reading = self.reading.lock().unwrap();
        thread::sleep(Duration::from_secs_f64(bytes as f64 / READ_BYTES_PER_S));
    }
}

fn newest_page(part: &Part, after: &str) -> Vec<u8> {
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    let behind = (Bound::Excluded(after.as_bytes().to_vec()), Bound::Unbounded);
    for (key, (offset, record)) in part.newest.range(behind) {
        bytes += record.len();
        if items.len() == PAGE_RECORDS || (bytes > PAGE_BYTES && !items.is_empty()) {
            has_more = true;
            break;
        }
        let value = base64(&record[1 + key.len()..]);
        let key = String::from_utf8_lossy(key);
        items.push(format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
        ));
    }
    let (items, end) = (items.join(","), part.records.len());
    format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}").into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let word = (0..3).fold(0_u32, |w, i| {
            w << 8 | u32::from(*group.get(i).unwrap_or(&0))
        });
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= group.len() { digit } else { '=' });
        }
    }
    out
}
