//! A runner, which is a process of its own: a model engine that streams events, or a plain service.
//!
//! It writes a line to its log when it begins to run a request, and another one when it has sent the
//! whole answer. A request whose path ends with `/poison` crashes it.

use std::{
    fs::{File, OpenOptions},
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Head},
    record::unix_ms,
};

/// What a runner is started with.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub addr: String,
    pub log: String,
    pub slots: u32,
    /// Number of events of a stream; 0 for a plain service.
    pub events: u32,
    /// Time before each event, or that a plain request takes.
    pub pause_ms: u64,
}

impl Options {
    pub fn to_args(&self) -> Vec<String> {
        let Self {
            id,
            addr,
            log,
            slots,
            events,
            pause_ms,
        } = self;
        [
            id.clone(),
            addr.clone(),
            log.clone(),
            slots.to_string(),
            events.to_string(),
            pause_ms.to_string(),
        ]
        .to_vec()
    }

    pub fn from_args(args: &[String]) -> Self {
        let number = |i: usize| args[i].parse::<u64>().expect("a number");
        Self {
            id: args[0].clone(),
            addr: args[1].clone(),
            log: args[2].clone(),
            slots: number(3) as u32,
            events: number(4) as u32,
            pause_ms: number(5),
        }
    }
}

struct Runner {
    options: Options,
    running: AtomicU32,
    log: Mutex<File>,
}

/// Serves until the process is killed.
pub fn run(options: Options) -> ! {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&options.log);
    let listener = TcpListener::bind(&options.addr).expect("the runner's address is free");
    let runner = Arc::new(Runner {
        options,
        running: AtomicU32::new(0),
        log: Mutex::new(log.expect("the log can be written")),
    });
    for stream in listener.incoming().flatten() {
        let runner = Arc::clone(&runner);
        thread::spawn(move || runner.serve(stream));
    }
    process::exit(0)
}

impl Runner {
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
            if self.answer(&head, &body, &mut output).is_none() {
                return;
            }
        }
    }

    fn note(&self, what: &str, head: &Head, body: &[u8]) {
        let id = head.get("kingcupspan-request-id").unwrap_or("-");
        let line = format!(
            "{} {what} {} {} {id} {}\n",
            unix_ms(),
            self.options.id,
            head.word(1),
            body.len()
        );
        let _ = self.log.lock().unwrap().write_all(line.as_bytes());
    }

    /// Answers a request; `None` if the connection has failed.
    fn answer(&self, head: &Head, body: &[u8], output: &mut TcpStream) -> Option<()> {
        let id = head.get("kingcupspan-request-id").unwrap_or_default();
        let own = [("Kingcupspan-Instance-Id", self.options.id.as_str())];
        if head.word(1) == "/healthz" {
            return http::write_message(output, "HTTP/1.1 200 OK", &own, b"").ok();
        }
        let target = head.get("kingcupspan-target-instance");
        if target.is_some_and(|t| t != self.options.id) {
            return http::write_message(output, "HTTP/1.1 421 Misdirected Request", &own, b"").ok();
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let done = self.run_request(head, body, id, running, output);
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn run_request(
        &self,
        head: &Head,
        body: &[u8],
        id: &str,
        running: u32,
        output: &mut TcpStream,
    ) -> Option<()> {
        let Options {
            slots,
            events,
            pause_ms,
            ..
        } = self.options;
        if running >= 2 * slots {
            let headers = [
                ("Kingcupspan-Request-Id", id),
                ("Kingcupspan-Not-Executed", "1"),
            ];
            return http::write_message(output, "HTTP/1.1 503 Full", &headers, b"").ok();
        }
        self.note("runs", head, body);
        if head.word(1).ends_with("/poison") {
            process::abort();
        }
        let load = format!("{},0,{slots}", running + 1);
        let signature = format!("s-{}-{id}", self.options.id);
        let headers = [
            ("Kingcupspan-Request-Id", id),
            ("Kingcupspan-Server-Signature", &signature),
            ("Kingcupspan-Server-Load", &load),
        ];
        if events == 0 {
            thread::sleep(Duration::from_millis(pause_ms));
            let answer = format!("{} has run {id}\n", self.options.id);
            http::write_message(output, "HTTP/1.1 200 OK", &headers, answer.as_bytes()).ok()?;
        } else {
            let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
            for (name, value) in headers {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
            text.push_str("Transfer-Encoding: chunked\r\n\r\n");
            output.write_all(text.as_bytes()).ok()?;
            for number in 1..=events {
                thread::sleep(Duration::from_millis(pause_ms));
                let event = format!("id: {number}\ndata: {id}.{number}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                output.write_all(chunk.as_bytes()).ok()?;
            }
            output.write_all(b"0\r\n\r\n").ok()?;
        }
        self.note("sent", head, body);
        Some(())
    }
}
