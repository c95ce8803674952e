use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;

use cuminarch_testing::{ConnectionAction, PlatformServer, RawConnection, RawRequest, RawUpstream};
use eyre::{Result, ensure, eyre};

use super::nodes::BenchNode;
use super::usage;

const CHUNK_BYTES: usize = 64 * 1024;
const DOWNLOAD_CHUNKS: usize = 200 * 1024 / 64;
const UPLOAD_CHUNKS: usize = 50 * 1024 / 64;

/// Sends a large download and a large upload through two nodes, compares each byte, and prints how
/// much the resident memory of the process grew.
pub fn run() -> Result<()> {
    let upstream = RawUpstream::start_streaming(answer)?;
    let platform = PlatformServer::start()?;
    let first = BenchNode::start("first", upstream.address(), platform.address())?;
    let second = BenchNode::start("second", upstream.address(), platform.address())?;
    first.wait_for_members(2)?;
    let before = usage::resident_bytes()?;
    let mut peak = before;
    let mut stream = TcpStream::connect(first.node.caller_address())?;
    let head = "GET / HTTP/1.1\r\nhost: bench\r\ncuminarch-service: second\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    ensure!(
        read_content_length(&mut stream)? == DOWNLOAD_CHUNKS * CHUNK_BYTES,
        "the download has an unexpected content-length"
    );
    let mut bytes = vec![0; CHUNK_BYTES];
    for number in 0..DOWNLOAD_CHUNKS {
        stream.read_exact(&mut bytes)?;
        ensure!(bytes == chunk(number), "chunk {number} of the download differs");
        peak = peak.max(usage::resident_bytes()?);
    }
    let length = UPLOAD_CHUNKS * CHUNK_BYTES;
    let head = format!(
        "PUT / HTTP/1.1\r\nhost: bench\r\ncuminarch-service: second\r\n\
         content-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in 0..UPLOAD_CHUNKS {
        stream.write_all(&chunk(number))?;
        peak = peak.max(usage::resident_bytes()?);
    }
    ensure!(
        read_content_length(&mut stream)? == 0,
        "the upload that the upstream received differs"
    );
    let megabytes = |bytes: usize| bytes as f64 / (1024.0 * 1024.0);
    println!(
        "{:.0} MB down and {:.0} MB up through two nodes, equal byte for byte; the process grew \
         by {:.1} MB at most\n",
        megabytes(DOWNLOAD_CHUNKS * CHUNK_BYTES),
        megabytes(length),
        megabytes(peak.saturating_sub(before))
    );
    for bench_node in [first, second] {
        thread::spawn(move || bench_node.node.shutdown());
    }
    Ok(())
}

/// Sends the download; or compares the upload, and answers with an empty body if it is equal.
fn answer(request: &RawRequest, connection: &mut RawConnection) -> io::Result<ConnectionAction> {
    if request.header("content-length").is_none() {
        let length = DOWNLOAD_CHUNKS * CHUNK_BYTES;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        connection.write(head.as_bytes())?;
        for number in 0..DOWNLOAD_CHUNKS {
            connection.write(&chunk(number))?;
        }
        return Ok(ConnectionAction::KeepAlive);
    }
    let mut offset = 0;
    let mut is_equal = true;
    connection.read_body(request, |bytes| {
        is_equal &= bytes.iter().enumerate().all(|(index, byte)| *byte == byte_at(offset + index));
        offset += bytes.len();
    })?;
    let length = usize::from(!is_equal);
    connection.write(format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").as_bytes())?;
    Ok(ConnectionAction::Close)
}

fn read_content_length(stream: &mut TcpStream) -> Result<usize> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    ensure!(text.starts_with("HTTP/1.1 200"), "{text}");
    let mut lines = text.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    Ok(length.ok_or_else(|| eyre!("the answer has no content-length header"))?.parse()?)
}

fn chunk(number: usize) -> Vec<u8> {
    (number * CHUNK_BYTES..(number + 1) * CHUNK_BYTES).map(byte_at).collect()
}

/// Returns the byte at an offset of a body; it depends on the chunk, to detect swapped chunks.
fn byte_at(offset: usize) -> u8 {
    (offset % 251) as u8 ^ (offset / CHUNK_BYTES % 241) as u8
}
