//! Another writer puts an entry with missing fields in the list of runners.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    client::{self, Request},
    deployment::Deployment,
};

const ENGINES: [&str; 2] = ["i-7f3a91c2", "i-02d9e6b4"];
const SERVICES: [&str; 3] = ["i-55c0d1e8", "i-0b6e72fa", "i-91ad3c40"];

/// Entries that the other writer puts there, one each 2 s.
const ENTRIES: usize = 3;

pub fn play(mut d: Deployment, has_trouble: bool) -> ! {
    d.configure();
    for id in ENGINES {
        d.add_runner(id, "feather-llm", (7, 5), None);
    }
    for id in SERVICES {
        d.add_runner(id, "shop-ledger", (0, 20), None);
    }
    d.start_gateways(2);
    thread::sleep(Duration::from_secs(4));
    let record = Arc::clone(&d.record);
    for _ in 0..ENTRIES {
        if has_trouble {
            // Without resource_version, cold_remaining_ms, sequence and born.
            let entry = format!(
                "{{\"service\":\"shop-ledger\",\"address\":\"{}\",\"zone\":\"savannah\",\"slots\":6,\"state\":\"ready\"}}",
                d.address_of(ENGINES[0])
            );
            d.store.put("keyed.servers", ENGINES[0], &entry);
            record.line(&format!("another writer: servers/{} = {entry}", ENGINES[0]));
        }
        for n in 0..40 {
            let request = Request {
                method: "POST",
                path: "/charge/2f".into(),
                id: d.id(),
                deadline_ms: 2_000,
                body: b"amount=12.50".to_vec(),
                ..Request::default()
            };
            let answer = client::send(d.gateways[n % 2].front, &request);
            record.line(&format!("charge {}: {}", request.id, answer.summary()));
            thread::sleep(Duration::from_millis(25));
        }
    }
    let runs = d.runs().into_iter();
    let foreign: Vec<_> = runs
        .filter(|(_, w)| {
            w[1] == "runs" && w[3].starts_with("/charge/") && ENGINES.contains(&w[2].as_str())
        })
        .collect();
    for (at, words) in &foreign {
        record.line(&format!(
            "at {at:.3} charge {} was run by {} of feather-llm",
            words[4], words[2]
        ));
    }
    let text = format!(
        "ROUTE: {} of {} charges were run by a runner of feather-llm; no configuration allows /charge/ to go there",
        foreign.len(),
        40 * ENTRIES
    );
    d.end(Some(!foreign.is_empty()), &text)
}
