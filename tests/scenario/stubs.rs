//! Stub services with line protocols over TCP or with datagrams. Received lines go into the inbox of an
//! [`Actor`].

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};

use super::actor::{Actor, Streams};

/// Returns the replies of a stub service to a line.
pub type Answer = Box<dyn FnMut(&str) -> Vec<String> + Send>;

/// Reads one line, without its line ending.
pub(super) fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    input.read_line(&mut text).ok().filter(|n| *n > 0)?;
    Some(text.trim_end().to_owned())
}

/// Reads one line. In RUN, FEED and CALL the last word is a length; it is replaced by `|` and the body that
/// follows.
fn read_line_and_body(input: &mut impl BufRead) -> Option<String> {
    let text = read_line(input)?;
    let (head, length) = text.rsplit_once(' ').unwrap_or((&text, ""));
    if !["RUN", "FEED", "CALL"].contains(&text.split(' ').next()?) {
        return Some(text);
    }
    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
    input.read_exact(&mut body).ok()?;
    Some(format!("{head}|{}", String::from_utf8_lossy(&body[..body.len() - 2])))
}

/// Starts a stub service. Each line goes to `answer` first; its replies are sent back, and only lines without
/// a reply reach the inbox.
pub fn service(answer: Answer) -> (Actor, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (sender, inbox) = channel();
    let streams = Streams::default();
    let connections = Connections { sender, streams: streams.clone(), answer: Arc::new(Mutex::new(answer)) };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            connections.record_stream("", &stream);
            let connections = connections.clone();
            std::thread::spawn(move || connections.serve(stream));
        }
    });
    (Actor::new(inbox, streams), address)
}

/// State shared by the connections of a service.
#[derive(Clone)]
struct Connections {
    sender: Sender<String>,
    streams: Streams,
    answer: Arc<Mutex<Answer>>,
}

impl Connections {
    /// Records that the request id `name` was last named on this connection.
    fn record_stream(&self, name: &str, stream: &TcpStream) {
        let stream = stream.try_clone().expect("cloned");
        self.streams.lock().expect("not poisoned").insert(name.to_owned(), stream);
    }

    fn serve(&self, stream: TcpStream) {
        let mut input = BufReader::new(stream);
        while let Some(text) = read_line_and_body(&mut input) {
            self.record_stream(text.split(' ').nth(1).unwrap_or_default(), input.get_ref());
            let replies = self.answer.lock().expect("not poisoned")(&text);
            if replies.is_empty() && self.sender.send(text).is_err() {
                return;
            }
            let bytes: Vec<u8> = replies.iter().flat_map(|reply| wire_line(reply)).collect();
            let _ = input.get_mut().write_all(&bytes);
        }
        let _ = self.sender.send("closed".into());
    }
}

/// A service that is down. Nothing listens at its address, and nothing else binds ports of 127.0.0.2.
pub fn down() -> (Actor, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.2:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (Actor::new(channel().1, Streams::default()), address)
}

/// Encodes a line: the text after `|` is sent as a body, and its length is added as the last word of the
/// line.
pub(super) fn wire_line(text: &str) -> Vec<u8> {
    let text = match text.split_once('|') {
        Some((head, body)) => format!("{head} {}\r\n{body}\r\n", body.len()),
        None => format!("{text}\r\n"),
    };
    text.into_bytes()
}

/// Answers each query of the gauges as an idle engine does.
pub fn idle_gauges(text: &str) -> Vec<String> {
    text.strip_prefix("STAT ").map(|tag| format!("STATS {tag} 0.1 0 0.1 3")).into_iter().collect()
}

/// Starts a service that receives datagrams; `read` converts each to lines for the inbox.
pub(super) fn datagram_service(read: fn(&[u8]) -> Vec<String>) -> (Actor, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("bound");
    let (sender, inbox) = channel();
    std::thread::spawn(move || {
        let mut packet = [0; 2048];
        loop {
            // A signal to the test process may interrupt the call.
            let Ok(n) = socket.recv(&mut packet) else { continue };
            if read(&packet[..n]).into_iter().any(|text| sender.send(text).is_err()) {
                return;
            }
        }
    });
    (Actor::new(inbox, Streams::default()), address)
}
