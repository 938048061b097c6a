//! A client of the system, which uses a new connection for each request.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http;

/// A request.
#[derive(Clone, Default)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

/// What a client has got; status 0 stands for no answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub is_signed: bool,
    pub is_complete: bool,
    pub body: Vec<u8>,
    pub ms: u64,
}

impl Answer {
    /// Status, signature, completeness and the body of an error.
    pub fn summary(&self) -> String {
        let signed = if self.is_signed { "signed" } else { "unsigned" };
        let complete = if self.is_complete {
            "whole"
        } else {
            "broken off"
        };
        let text = String::from_utf8_lossy(&self.body[..self.body.len().min(60)])
            .trim()
            .replace('\n', " ");
        format!(
            "{} {signed} {complete} after {} ms: {text}",
            self.status, self.ms
        )
    }
}

/// Sends a request and reads its answer.
pub fn send(addr: SocketAddr, request: &Request) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let _ = exchange(addr, request, &mut answer);
    answer.ms = started.elapsed().as_millis() as u64;
    answer
}

/// Connects and sends a request.
pub fn start(addr: SocketAddr, request: &Request) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 1_000)))?;
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nKingcupspan-Request-Id: {}\r\nKingcupspan-Deadline-Ms: {}\r\n",
        request.method, request.path, request.id, request.deadline_ms
    );
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if request.method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)?;
    Ok(stream)
}

fn exchange(addr: SocketAddr, request: &Request, answer: &mut Answer) -> std::io::Result<()> {
    let stream = start(addr, request)?;
    let mut input = BufReader::new(stream);
    let Some(head) = http::read_head(&mut input)? else {
        return Ok(());
    };
    answer.status = head.word(1).parse().unwrap_or(0);
    answer.is_signed = head.get("kingcupspan-server-signature").is_some();
    let mut body = Vec::new();
    let read = http::read_body(&mut input, &head, true, |part| body.extend_from_slice(part));
    answer.is_complete = read.is_ok();
    answer.body = body;
    Ok(())
}
