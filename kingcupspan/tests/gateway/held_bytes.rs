//! What callers' connections hold in one process, over sockets of the test.

use std::{io, sync::Arc, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::AsyncReadExt;
use kingcupspan::{
    clock::Clock,
    http::{
        conn::Conn,
        held_bytes::{HeldBytes, Holder},
    },
};
use kingcupspan_core::gateway::byte_budget::{BudgetLimits, Stage};

/// Most bytes that large requests hold in the tests.
const LARGE: usize = 100_000;

const LIMITS: BudgetLimits = BudgetLimits {
    bytes: 200_000,
    floor: 100_000,
    connections: 2,
    waiting: 2,
};

/// Time after which a connection without progress gives way.
const STALLED: Duration = Duration::from_millis(600);

/// Size of a response that its caller does not read, in bytes.
const UNREAD_BYTES: usize = 16 * 1024 * 1024;

/// Time for which the task of a connection that gave way does not run.
const HELD_UP: Duration = Duration::from_millis(500);

/// Returns a state, two connections that hold memory, and the sockets, which have to stay.
async fn two_holders() -> (Arc<HeldBytes>, [Holder; 2], Vec<TcpStream>) {
    let held = Arc::new(HeldBytes::new(LIMITS, Clock::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let addr = listener.local_addr().expect("it has an address");
    let mut streams = Vec::new();
    for _ in 0..2 {
        streams.push(TcpStream::connect(addr).await.expect("it connects"));
        streams.push(listener.accept().await.expect("it accepts").0);
    }
    let holders = [1, 3].map(|i| held.open(&streams[i]).expect("there is room"));
    (held, holders, streams)
}

// Guards against a connection that holds memory for good, since it has once sent something.
#[async_std::test]
async fn stalled_connection_gives_way_also_after_it_has_sent() {
    let (held, [first, second], _streams) = two_holders().await;
    assert!(first.set_stage(Stage::Receiving));
    assert!(first.try_resize(LARGE).is_ok());
    drop(first.begin_sending());
    assert!(second.try_resize(LARGE).is_err());
    assert!(!first.is_evicted());
    task::sleep(STALLED).await;
    assert!(second.try_resize(LARGE).is_err());
    assert!(first.is_evicted());
    drop(first);
    assert!(second.try_resize(LARGE).is_ok());
    assert_eq!(held.totals(), (LARGE as u64, 1));
    assert_eq!(held.take_stalled_count(), 1);
}

// Guards against a wait that misses the room that another connection leaves.
#[async_std::test]
async fn waiting_connection_gets_the_room_that_is_left() {
    let (_held, [first, second], _streams) = two_holders().await;
    assert!(first.set_stage(Stage::Processing));
    assert!(first.try_resize(LARGE).is_ok());
    let waiting = task::spawn(async move { second.resize(LARGE).await });
    task::sleep(Duration::from_millis(50)).await;
    drop(first);
    assert!(waiting.await.is_ok());
}

// Guards against a body that ends with its connection and looks complete, since the connection
// gave way to others in the middle of it and its task ran late.
#[async_std::test]
async fn response_that_gives_way_does_not_end_in_order() {
    let (_held, [first, second], mut streams) = two_holders().await;
    assert!(first.try_resize(LARGE).is_ok());
    let mut conn = Conn::with_holder(streams[1].clone(), first);
    let mut caller = streams.swap_remove(0);
    // The connection of this test is closed with `conn`.
    drop(streams);
    let sending = task::spawn(async move {
        conn.set_reset_on_close(true);
        let written = conn.write(&vec![0; UNREAD_BYTES]).await;
        task::sleep(HELD_UP).await;
        written
    });
    task::sleep(STALLED).await;
    assert!(second.try_resize(LARGE).is_err());
    let read = caller.read_to_end(&mut Vec::new()).await;
    let error = read.expect_err("the connection is reset");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    assert!(sending.await.is_err());
}
