//! Tests of endpoints that crash, leave the fleet, stop responding, or return truncated or swapped
//! responses.

mod common;

use std::time::{Duration, Instant};

use async_std::task;
use common::{
    Fleet, FleetOptions,
    requests::{
        ChargeOutcome, charge, charge_with_retries, chat, chat_must_succeed, streamed_chat,
    },
};
use kingcupspan::edge::problem::{Kind, Ran};
use kingcupspan_standin::{engine, faults::Faults};

/// Time after which an endpoint whose VM is leaving must get no new requests.
const DRAIN_NOTICE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time until engines have released the memory of ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(12);

#[test]
fn every_caller_gets_its_whole_answer_at_200_programs() {
    task::block_on(async {
        let mut options = FleetOptions::new("two-hundred");
        options.engine_options.batch = 32;
        options.limits = serde_json::json!({"waiting_calls": 1000});
        let fleet = Fleet::start(options).await;
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
                        _ => streamed_chat(&text),
                    };
                    let timeout = Duration::from_secs(25);
                    let result = caller.chat_with_retries(&mut program, &chat, timeout).await;
                    result.map_err(|e| format!("program {n} turn {turn}: {e:?}"))?;
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
fn interrupted_stream_continues_on_another_engine() {
    task::block_on(async {
        let mut options = FleetOptions::new("engine-dies");
        options.engine_options = engine::Options {
            time_per_token: Duration::from_millis(25),
            ..engine::Options::default()
        };
        let fleet = Fleet::start(options).await;
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
        let chat = streamed_chat("tell it to the end decode=16");
        // The caller sends one request without retries and gets each token exactly once.
        caller.chat(&mut program, &chat).await.unwrap();
        let decoded: u64 = fleet.engines.iter().map(|e| e.stats().decoded_tokens).sum();
        assert!(
            decoded < 16,
            "only the remaining tokens are decoded after the interruption: {decoded}"
        );
    });
}

#[test]
fn leaving_endpoint_gets_no_new_requests_and_completes_running_ones() {
    task::block_on(async {
        let mut options = FleetOptions::new("leaving");
        options.engine_options = engine::Options {
            time_per_token: Duration::from_millis(20),
            ..engine::Options::default()
        };
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..6 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                let deadline = Instant::now() + Duration::from_secs(8);
                let mut turn = 0;
                while Instant::now() < deadline {
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
        task::sleep(DRAIN_NOTICE_TIMEOUT).await;
        let received = fleet.engines[0].stats().received;
        assert!(
            received > 0,
            "the endpoint got requests before its VM was leaving"
        );
        for program in running {
            program.await;
        }
        assert_eq!(
            fleet.engines[0].stats().received,
            received,
            "no new requests 3 s after the VM was leaving"
        );
        assert_eq!(
            fleet.engines[0].stats().calls,
            received,
            "all received requests are completed"
        );
    });
}

#[test]
fn unresponsive_connections_are_replaced_without_counting_failures() {
    task::block_on(async {
        let mut options = FleetOptions::new("silent");
        options.engine_count = 1;
        options.limits = serde_json::json!({"first_byte_ms": 1500, "between_bytes_ms": 1500});
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        fleet.engines[0].faults.set(Faults {
            silent_old_connections: true,
            ..Faults::default()
        });
        let started_at = Instant::now();
        caller
            .chat(&mut program, &chat("over a new one"))
            .await
            .unwrap();
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "{:?}",
            started_at.elapsed()
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
fn poison_request_crashes_at_most_two_endpoints_and_only_it_is_quarantined() {
    task::block_on(async {
        let mut options = FleetOptions::new("poison");
        options.engine_count = 0;
        options.crashing_engine_count = 5;
        let mut fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..12 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                for turn in 0..12 {
                    let text = format!("innocent {n} turn {turn} decode=16");
                    chat_must_succeed(&caller, &mut program, &text).await;
                }
            }));
        }
        task::sleep(Duration::from_millis(100)).await;
        let mut refusals = 0;
        for _ in 0..9 {
            let mut program = caller.open("tests", None, None).await.unwrap();
            match caller.chat(&mut program, &chat("poison")).await {
                Err(f) if f.kind() == Some(Kind::Quarantined) => refusals += 1,
                Err(_) => {}
                Ok(_) => panic!("every engine crashes on the poison request"),
            }
        }
        for program in running {
            program.await;
        }
        let processes = fleet.engine_processes.iter_mut();
        let crashed = processes
            .filter_map(|p| (!p.is_running()).then_some(()))
            .count();
        println!("{crashed} endpoints crashed, poison request refused {refusals} times of 9");
        assert!(crashed <= 2, "{crashed} endpoints crashed");
        for n in 0..3 {
            let quarantine = fleet.dump(n, "quarantine").await.unwrap();
            let strikes = quarantine["strikes"].as_object().unwrap();
            let quarantined = strikes
                .values()
                .filter(|s| s["nonces"].as_array().unwrap().len() > 1);
            assert!(
                quarantined.count() <= 1,
                "only the poison request is quarantined: {quarantine}"
            );
        }
    });
}

#[test]
fn engines_release_memory_of_ended_programs() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("memory")).await;
        let caller = fleet.caller();
        let budget = kingcupspan_standin::caller::Budget {
            tokens: 10_000,
            calls: 100,
            seconds: 4,
        };
        let mut last = None;
        for n in 0..12 {
            let mut program = caller.open("tests", Some(budget), None).await.unwrap();
            chat_must_succeed(&caller, &mut program, &format!("program {n}")).await;
            // A third of the programs is closed. The others are abandoned, and some of them lose their
            // owner.
            match n % 3 {
                0 => caller.close(&program).await.unwrap(),
                _ => last = Some(program.id),
            }
        }
        let owner = fleet.owner_of(0, last.unwrap()).await;
        fleet.daemons[owner].process.kill();
        fleet
            .wait_until(
                "engines release the memory of all programs",
                RELEASE_TIMEOUT,
                || async { fleet.engines.iter().all(|e| e.cached_programs().is_empty()) },
            )
            .await;
    });
}

#[test]
fn lost_service_response_has_unknown_outcome_and_is_not_retried() {
    task::block_on(async {
        let fleet = Fleet::start(FleetOptions::new("service-lost")).await;
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
        let again = charge_with_retries(&caller, &mut program, "s-1", Duration::from_secs(2)).await;
        assert_eq!(again, ChargeOutcome::Unknown);
        assert_eq!(fleet.run_count("s-1"), 1);
        program.turn += 1;
        chat_must_succeed(&caller, &mut program, "after").await;
    });
}
