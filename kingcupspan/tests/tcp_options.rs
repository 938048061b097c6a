//! Tests of the socket options of connections.

use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use kingcupspan::edge::tcp::{self, Remote};
use socket2::SockRef;

// Guards against connections to a sound endpoint that fail while it is silent for a second: with a
// user timeout, keepalive probes count for as long as that, whatever their number.
#[async_std::test]
async fn connection_to_an_endpoint_outlives_a_second_of_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let stream = stream.unwrap();
    let user_timeout = || SockRef::from(&stream).tcp_user_timeout().unwrap().unwrap();
    tcp::set_options(&stream, Remote::Endpoint).unwrap();
    assert!(user_timeout() >= Duration::from_millis(1_500));
    tcp::set_options(&stream, Remote::System).unwrap();
    assert!(user_timeout() < Duration::from_millis(1_000));
}
