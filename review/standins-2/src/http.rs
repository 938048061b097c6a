//! Minimal HTTP/1.1: heads, bodies with a length, in chunks or up to the end of the connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// Start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header, whose name is matched without regard to case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

fn eof() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(eof());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = text.split_once(':').ok_or_else(eof)?;
        head.headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a whole body; one without a length is empty for requests and ends with the connection for
/// responses. Calls `on_data` for each part as it arrives.
pub fn read_body(
    input: &mut BufReader<TcpStream>,
    head: &Head,
    is_response: bool,
    mut on_data: impl FnMut(&[u8]),
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Err(eof());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| eof())?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            on_data(&chunk[..size]);
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.get("content-length").map(str::parse::<usize>) {
        Some(length) => {
            body = vec![0; length.map_err(|_| eof())?];
            input.read_exact(&mut body)?;
            on_data(&body);
        }
        None if is_response => {
            input.read_to_end(&mut body)?;
            on_data(&body);
        }
        None => {}
    }
    Ok(body)
}

/// Writes a message with a length.
pub fn write_message(
    output: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("{start}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}
