//! Endpoints that crash, leave, go silent, cut or cross their answers.

mod common;

use std::time::{Duration, Instant};

use async_std::task;
use common::{
    Fleet, Plan,
    record::{Charged, charge, charge_patiently, chat, must_chat, streamed},
};
use kingcupspan::edge::problem::{Kind, Ran};
use kingcupspan_standin::{engine, faults::Faults};

/// Time after which a leaving endpoint gets no new work.
const LEAVING_MAX: Duration = Duration::from_secs(3);

/// Time after which engines hold nothing of programs that are gone.
const RELEASED_MAX: Duration = Duration::from_secs(12);

#[test]
fn every_caller_gets_its_whole_answer_at_200_programs() {
    task::block_on(async {
        let mut plan = Plan::new("two-hundred");
        plan.engine.batch = 32;
        plan.limits = serde_json::json!({"waiting_calls": 1000});
        let fleet = Fleet::start(plan).await;
        for engine in &fleet.engines {
            engine.faults.set(Faults {
                cut_streams: 20,
                crossed_answers: 20,
                ..Faults::default()
            });
        }
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..200 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let opened = caller.open("tests", None, None).await;
                let mut program = opened.map_err(|e| format!("program {n}: open: {e:?}"))?;
                for turn in 0..3 {
                    let text = format!("program {n} turn {turn} decode=12");
                    let chat = match (n + turn) % 2 {
                        0 => chat(&text),
                        _ => streamed(&text),
                    };
                    let patience = Duration::from_secs(25);
                    let told = caller
                        .chat_with_retries(&mut program, &chat, patience)
                        .await;
                    told.map_err(|e| format!("program {n} turn {turn}: {e:?}"))?;
                }
                let closed = caller.close(&program).await;
                closed.map_err(|e| format!("program {n}: close: {e:?}"))
            }));
        }
        let mut failed = Vec::new();
        for program in running {
            failed.extend(program.await.err());
        }
        assert_eq!(failed, Vec::<String>::new());
    });
}

#[test]
fn stream_goes_on_elsewhere_when_its_engine_dies() {
    task::block_on(async {
        let mut plan = Plan::new("engine-dies");
        plan.engine = engine::Options {
            time_per_token: Duration::from_millis(25),
            ..engine::Options::default()
        };
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        fleet.engines[0].faults.set(Faults {
            cut_streams: 1,
            ..Faults::default()
        });
        fleet.engines[1].faults.set(Faults {
            cut_streams: 1,
            ..Faults::default()
        });
        let chat = streamed("tell it to the end decode=16");
        // One request, no retry by the caller: each token exactly once.
        caller.chat(&mut program, &chat).await.unwrap();
        let decoded: u64 = fleet.engines.iter().map(|e| e.stats().decoded_tokens).sum();
        assert!(
            decoded < 16,
            "the rest was decoded, not all of it again: {decoded}"
        );
    });
}

#[test]
fn leaving_endpoint_gets_no_new_work_and_ends_what_it_has() {
    task::block_on(async {
        let mut plan = Plan::new("leaving");
        plan.engine = engine::Options {
            time_per_token: Duration::from_millis(20),
            ..engine::Options::default()
        };
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..6 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                let until = Instant::now() + Duration::from_secs(8);
                let mut turn = 0;
                while Instant::now() < until {
                    let text = format!("program {n} turn {turn} decode=16");
                    caller.chat(&mut program, &chat(&text)).await.unwrap();
                    turn += 1;
                }
            }));
        }
        task::sleep(Duration::from_secs(2)).await;
        fleet
            .vms
            .iter()
            .for_each(|list| list.mark_leaving("engine-vm-0"));
        task::sleep(LEAVING_MAX).await;
        let received = fleet.engines[0].stats().received;
        assert!(received > 0, "it had work before");
        for program in running {
            program.await;
        }
        assert_eq!(
            fleet.engines[0].stats().received,
            received,
            "new work after 3 s"
        );
        assert_eq!(
            fleet.engines[0].stats().calls,
            received,
            "work that was cut"
        );
    });
}

#[test]
fn silent_connections_are_replaced_and_nobody_is_blamed() {
    task::block_on(async {
        let mut plan = Plan::new("silent");
        plan.engines = 1;
        plan.limits = serde_json::json!({"first_byte_ms": 1500, "between_bytes_ms": 1500});
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        fleet.engines[0].faults.set(Faults {
            silent_old_connections: true,
            ..Faults::default()
        });
        let begun = Instant::now();
        caller
            .chat(&mut program, &chat("over a new one"))
            .await
            .unwrap();
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "{:?}",
            begun.elapsed()
        );
        for n in 0..3 {
            let endpoints = fleet.dump(n, "endpoints").await.unwrap();
            for endpoint in endpoints.as_array().unwrap() {
                assert_eq!(endpoint[1]["failures"], 0, "{endpoint}");
            }
            let quarantine = fleet.dump(n, "quarantine").await.unwrap();
            assert_eq!(quarantine["strikes"], serde_json::json!({}));
        }
    });
}

#[test]
fn poison_takes_down_two_endpoints_and_no_innocent_request() {
    task::block_on(async {
        let mut plan = Plan::new("poison");
        plan.engines = 0;
        plan.crashing_engines = 5;
        let mut fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..12 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                for turn in 0..12 {
                    let text = format!("innocent {n} turn {turn} decode=16");
                    must_chat(&caller, &mut program, &text).await;
                }
            }));
        }
        task::sleep(Duration::from_millis(100)).await;
        let mut refused = 0;
        for _ in 0..9 {
            let mut program = caller.open("tests", None, None).await.unwrap();
            match caller.chat(&mut program, &chat("poison")).await {
                Err(f) if f.kind() == Some(Kind::Quarantined) => refused += 1,
                Err(_) => {}
                Ok(_) => panic!("every engine crashes on the poison"),
            }
        }
        for program in running {
            program.await;
        }
        let processes = fleet.engine_processes.iter_mut();
        let dead = processes
            .filter_map(|p| (!p.is_running()).then_some(()))
            .count();
        println!("{dead} endpoints taken down, poison refused {refused} times of 9");
        assert!(dead <= 2, "{dead} endpoints taken down");
        for n in 0..3 {
            let quarantine = fleet.dump(n, "quarantine").await.unwrap();
            let strikes = quarantine["strikes"].as_object().unwrap();
            let two = strikes
                .values()
                .filter(|s| s["nonces"].as_array().unwrap().len() > 1);
            assert!(
                two.count() <= 1,
                "only the poison is quarantined: {quarantine}"
            );
        }
    });
}

#[test]
fn engines_hold_nothing_of_programs_that_are_gone() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("memory")).await;
        let caller = fleet.caller();
        let budget = kingcupspan_standin::caller::Budget {
            tokens: 10_000,
            calls: 100,
            seconds: 4,
        };
        let mut last = None;
        for n in 0..12 {
            let mut program = caller.open("tests", Some(budget), None).await.unwrap();
            must_chat(&caller, &mut program, &format!("program {n}")).await;
            // A third is closed, a third abandoned, a third loses its owner.
            match n % 3 {
                0 => caller.close(&program).await.unwrap(),
                _ => last = Some(program.id),
            }
        }
        let owner = fleet.owner_of(0, last.unwrap()).await;
        fleet.members[owner].process.kill();
        fleet
            .until("all memory is released", RELEASED_MAX, || async {
                fleet.engines.iter().all(|e| e.cached_programs().is_empty())
            })
            .await;
    });
}

#[test]
fn lost_answer_of_a_service_is_unknown_and_not_sent_again() {
    task::block_on(async {
        let fleet = Fleet::start(Plan::new("service-lost")).await;
        for service in &fleet.services {
            service.faults.set(Faults {
                lose_answers: 1,
                ..Faults::default()
            });
        }
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        let failure = caller
            .service(&mut program, &charge("s-1"))
            .await
            .unwrap_err();
        assert_eq!(failure.ran(), Ran::Unknown);
        let again = charge_patiently(&caller, &mut program, "s-1", Duration::from_secs(2)).await;
        assert_eq!(again, Charged::Unknown);
        assert_eq!(fleet.ran("s-1"), 1);
        program.turn += 1;
        must_chat(&caller, &mut program, "after").await;
    });
}
