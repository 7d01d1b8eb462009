//! Connections to receivers: a task each, which is told what to send and tells what became of it. It owns the sockets;
//! it must never decide when to connect, what to send or when to give up: dropping the task is what ends it.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future};
use pinepoint_clock::Clock;

use crate::config::{Place, Receipt};
use crate::delivery::{Break, Event};
use crate::outq::unacknowledged;

/// Between two looks at what the other end has not acknowledged, ms.
const LOOK_MS: f64 = 20.0;
/// Wait for the word that nobody listens where a datagram went, ms.
const DATAGRAM_WORD_MS: f64 = 50.0;
/// Datagrams in a row before the receiver gets time to read them.
const BURST: usize = 8;
const BURST_PAUSE_MS: f64 = 2.0;
/// Longest reply line of the text protocol, bytes.
const REPLY_MOST: usize = 1024;

/// What a connection is told.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send this; its number is told when it was taken.
    Send { send: u64, bytes: Bytes },
    /// Ask for the receipt.
    Finish,
}

/// What is sent.
#[derive(Debug)]
pub(crate) enum Bytes {
    /// On a stream.
    Stream(Vec<u8>),
    /// Lines on a stream, each of which is answered.
    Lines(Vec<u8>, usize),
    /// As datagrams.
    Datagrams(Vec<Vec<u8>>),
}

/// How a receiver is reached.
#[derive(Clone, Debug)]
pub(crate) enum Way {
    /// A TCP stream, with this receipt.
    Stream(SocketAddr, Receipt),
    /// A stream whose lines are answered.
    Answered(Place),
    /// Datagrams.
    Datagrams(SocketAddr),
}

/// One connection.
pub(crate) struct Link {
    pub(crate) receiver: u8,
    pub(crate) link: u64,
    pub(crate) events: Sender<Event>,
    pub(crate) commands: Receiver<Command>,
    pub(crate) clock: Clock,
}

impl Link {
    /// Serves the connection to its end, which is the last thing that it tells.
    pub(crate) async fn run(self, way: Way) {
        let end = match way {
            Way::Stream(address, receipt) => self.stream(address, receipt).await,
            Way::Answered(Place::Address(address)) => match Async::<TcpStream>::connect(address).await {
                Ok(stream) => self.answered(&stream).await,
                Err(_) => Err(Break::Refused),
            },
            Way::Answered(Place::Path(path)) => match Async::<UnixStream>::connect(path).await {
                Ok(stream) => self.answered(&stream).await,
                Err(_) => Err(Break::Refused),
            },
            Way::Datagrams(address) => self.datagrams(address).await,
        };
        let (receiver, link) = (self.receiver, self.link);
        let event = match end {
            Ok(upto) => Event::Taken { receiver, link, upto, over: true },
            Err(why) => Event::Broken { receiver, link, why },
        };
        self.tell(event).await;
    }

    async fn tell(&self, event: Event) {
        // Without its driver nobody is interested any more.
        let _ = self.events.send(event).await;
    }

    async fn opened(&self) {
        self.tell(Event::Opened { receiver: self.receiver, link: self.link }).await;
    }

    async fn moved(&self, bytes: usize, left: usize) {
        self.tell(Event::Moved { receiver: self.receiver, link: self.link, bytes, left }).await;
    }

    async fn write(&self, mut stream: impl AsyncWrite + Unpin, bytes: &[u8]) -> Result<(), Break> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let n = stream.write(rest).await.map_err(|_| Break::Reset)?;
            if n == 0 {
                return Err(Break::Closed);
            }
            rest = &rest[n..];
            self.moved(n, rest.len()).await;
        }
        Ok(())
    }

    /// Graphite over TCP. Returns the last that was taken.
    async fn stream(&self, address: SocketAddr, receipt: Receipt) -> Result<u64, Break> {
        let stream = Async::<TcpStream>::connect(address).await.map_err(|_| Break::Refused)?;
        let _ = stream.get_ref().set_nodelay(true);
        self.opened().await;
        let mut last = 0;
        let writing = async {
            while let Ok(command) = self.commands.recv().await {
                match command {
                    Command::Send { send, bytes: Bytes::Stream(bytes) } => {
                        self.write(&stream, &bytes).await?;
                        last = send;
                    }
                    Command::Send { .. } => {}
                    Command::Finish => return Ok(()),
                }
            }
            Err(Break::Closed)
        };
        // An end that was not asked for says nothing of what was read.
        let ended = async {
            match drained(&stream).await {
                Ok(()) => Err(Break::Closed),
                Err(_) => Err(Break::Reset),
            }
        };
        future::or(writing, ended).await?;
        if receipt == Receipt::Closed {
            stream.get_ref().shutdown(Shutdown::Write).map_err(|_| Break::Reset)?;
            // Its end says that its process closed; a reset instead, that it had not read all.
            drained(&stream).await.map_err(|_| Break::Reset)?;
        }
        let mut left = usize::MAX;
        loop {
            if !matches!(stream.get_ref().take_error(), Ok(None)) {
                return Err(Break::Reset);
            }
            let now = unacknowledged(&stream).map_err(|_| Break::Reset)?;
            if now == 0 {
                return Ok(last);
            }
            self.moved(left.saturating_sub(now).min(now), now).await;
            left = now;
            self.clock.pause(LOOK_MS).await;
        }
    }

    /// collectd's text protocol: each line has one line for an answer.
    async fn answered<S>(&self, stream: &S) -> Result<u64, Break>
    where
        for<'a> &'a S: AsyncRead + AsyncWrite + Unpin,
    {
        self.opened().await;
        let (mut input, mut chunk) = (Vec::new(), [0; 1024]);
        while let Ok(command) = self.commands.recv().await {
            let Command::Send { send, bytes: Bytes::Lines(bytes, lines) } = command else { continue };
            let mut answers = 0;
            let reading = async {
                while answers < lines {
                    while let Some(end) = input.iter().position(|b| *b == b'\n') {
                        let line: Vec<u8> = input.drain(..=end).collect();
                        if !is_answer(&line) {
                            return Err(Break::BadReply);
                        }
                        answers += 1;
                    }
                    if answers >= lines {
                        break;
                    }
                    if input.len() > REPLY_MOST {
                        return Err(Break::BadReply);
                    }
                    let mut stream = stream;
                    match stream.read(&mut chunk).await {
                        Ok(0) => return Err(Break::Closed),
                        Ok(n) => input.extend_from_slice(&chunk[..n]),
                        Err(_) => return Err(Break::Reset),
                    }
                }
                Ok(())
            };
            // Answers are read while lines are written, or both ends would wait for each other.
            let (written, read) = future::zip(self.write(stream, &bytes), reading).await;
            written.and(read)?;
            let (receiver, link) = (self.receiver, self.link);
            self.tell(Event::Taken { receiver, link, upto: send, over: false }).await;
        }
        Err(Break::Closed)
    }

    async fn datagrams(&self, address: SocketAddr) -> Result<u64, Break> {
        let any: SocketAddr =
            if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        let socket = Async::<UdpSocket>::bind(any).map_err(|_| Break::Refused)?;
        socket.get_ref().connect(address).map_err(|_| Break::Refused)?;
        self.opened().await;
        while let Ok(command) = self.commands.recv().await {
            let Command::Send { send, bytes: Bytes::Datagrams(datagrams) } = command else { continue };
            for (n, datagram) in datagrams.iter().enumerate() {
                if n > 0 && n % BURST == 0 {
                    self.clock.pause(BURST_PAUSE_MS).await;
                }
                socket.send(datagram).await.map_err(|_| Break::Refused)?;
            }
            // That nobody listens is told by the next call, a moment later.
            self.clock.pause(DATAGRAM_WORD_MS).await;
            if !matches!(socket.get_ref().take_error(), Ok(None)) {
                return Err(Break::Refused);
            }
            let (receiver, link) = (self.receiver, self.link);
            self.moved(datagrams.iter().map(Vec::len).sum(), 0).await;
            self.tell(Event::Taken { receiver, link, upto: send, over: false }).await;
        }
        Err(Break::Closed)
    }
}

/// Reads what a receiver that has nothing to say says, up to its end.
async fn drained(mut stream: &Async<TcpStream>) -> io::Result<()> {
    let mut chunk = [0; 512];
    while stream.read(&mut chunk).await? > 0 {}
    Ok(())
}

/// `STATUS TEXT`, where STATUS is the number of lines that follow; of an error it is negative. A value that collectd
/// does not want is not wanted the second time either.
fn is_answer(line: &[u8]) -> bool {
    let status = line.split(|b| *b == b' ').next().unwrap_or_default();
    std::str::from_utf8(status)
        .is_ok_and(|status| status.trim().parse::<i32>().is_ok_and(|status| status <= 0))
}

#[cfg(test)]
mod tests;
