use std::io::{Read, Write};
use std::net::{TcpListener, UdpSocket};
use std::time::Duration;

use async_executor::LocalExecutor;
use futures_lite::future;

use super::*;

struct Harness {
    commands: Sender<Command>,
    events: Receiver<Event>,
}

/// Runs a connection to this receiver, and beside it what the test does with it.
fn connected<F: Future<Output = ()>>(transport: Transport, test: impl FnOnce(Harness) -> F) {
    let executor = LocalExecutor::new();
    let ((commands, told), (events, heard)) = (async_channel::unbounded(), async_channel::unbounded());
    let id = ConnectionId { receiver: 0, number: 1 };
    let connection = ConnectionTask { id, events, commands: told, clock: Clock::system() };
    let task = executor.spawn(connection.run(transport));
    async_io::block_on(executor.run(test(Harness { commands, events: heard })));
    drop(task);
}

impl Harness {
    async fn connected(&self) {
        assert!(matches!(self.events.recv().await, Ok(Event::Connected { .. })));
    }

    fn send(&self, sequence: u64, bytes: &[u8]) {
        self.commands
            .try_send(Command::Send { sequence, message: EncodedMessage::Stream(bytes.to_vec()) })
            .expect("sent");
    }

    fn request_ack(&self) {
        self.commands.try_send(Command::RequestAck).expect("sent");
    }

    /// The next event but for progress; `None` if none comes in that time.
    async fn next(&self, ms: u64) -> Option<Event> {
        let late = async {
            async_io::Timer::after(Duration::from_millis(ms)).await;
            None
        };
        let next = async {
            loop {
                match self.events.recv().await {
                    Ok(Event::Written { .. }) => {}
                    event => return event.ok(),
                }
            }
        };
        future::or(next, late).await
    }
}

fn listener() -> (TcpListener, Transport) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, Transport::Stream(address, AckPolicy::Closed))
}

#[test]
fn what_was_read_up_to_the_end_is_taken() {
    let (listener, transport) = listener();
    let reader = std::thread::spawn(move || {
        let mut read = String::new();
        listener.accept().expect("accepted").0.read_to_string(&mut read).expect("read");
        read
    });
    connected(transport, |harness| async move {
        harness.connected().await;
        harness.send(1, b"one ");
        harness.send(2, b"two");
        harness.request_ack();
        assert!(matches!(
            harness.next(20_000).await,
            Some(Event::Acknowledged { up_to: 2, closed: true, .. })
        ));
    });
    assert_eq!(reader.join().expect("no panic"), "one two");
}

/// The receiver's system has it and has said so; its process has not, and dies.
#[test]
fn what_only_the_system_has_is_not_taken() {
    let (listener, transport) = listener();
    connected(transport, |harness| async move {
        harness.connected().await;
        let (peer, _) = listener.accept().expect("accepted");
        harness.send(1, b"one");
        harness.request_ack();
        assert!(harness.next(300).await.is_none(), "nobody has read it");
        drop(peer);
        assert!(matches!(
            harness.next(20_000).await,
            Some(Event::Disconnected { reason: DisconnectReason::Reset, .. })
        ));
    });
}

/// The receiver read the first and closed; the second crosses its end, and our end comes right behind it.
#[test]
fn what_crosses_the_end_of_the_receiver_is_not_taken() {
    let (listener, transport) = listener();
    connected(transport, |harness| async move {
        harness.connected().await;
        let (mut peer, _) = listener.accept().expect("accepted");
        harness.send(1, b"one");
        assert!(harness.next(50).await.is_none());
        peer.read_exact(&mut [0; 3]).expect("read");
        drop(peer);
        // Not polled in between: the end is there, and not yet seen.
        std::thread::sleep(Duration::from_millis(20));
        harness.send(2, b"two");
        harness.request_ack();
        let event = harness.next(20_000).await;
        assert!(matches!(event, Some(Event::Disconnected { .. })), "{event:?}");
    });
}

/// For relays that never close it is enough that their system has all of it, and no less.
#[test]
fn acknowledged_is_taken_where_that_was_chosen() {
    let (listener, transport) = listener();
    let Transport::Stream(address, _) = transport else { return };
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).expect("a small window");
    connected(Transport::Stream(address, AckPolicy::Acknowledged), |harness| async move {
        harness.connected().await;
        let (mut peer, _) = listener.accept().expect("accepted");
        harness.send(1, &[b'x'; 400_000]);
        harness.request_ack();
        assert!(harness.next(300).await.is_none(), "its system has no room for it");
        peer.set_nonblocking(true).expect("set");
        let mut chunk = [0; 65_536];
        let event = loop {
            let _ = peer.read(&mut chunk);
            if let Some(event) = harness.next(5).await {
                break event;
            }
        };
        assert!(matches!(event, Event::Acknowledged { up_to: 1, closed: true, .. }), "{event:?}");
    });
}

#[test]
fn lines_are_taken_when_all_are_answered_and_nonsense_is_no_answer() {
    for (answer, good) in [("0 Success: 1 value", true), ("-1 value too old", true), ("hello", false)] {
        let (listener, transport) = listener();
        let Transport::Stream(address, _) = transport else { return };
        connected(Transport::AnsweredLines(CollectdAddress::Address(address)), |harness| async move {
            harness.connected().await;
            let (mut peer, _) = listener.accept().expect("accepted");
            let message = EncodedMessage::Lines { bytes: b"a\nb\n".to_vec(), count: 2 };
            harness.commands.try_send(Command::Send { sequence: 1, message }).expect("sent");
            peer.write_all(format!("{answer}\n").as_bytes()).expect("written");
            if good {
                assert!(harness.next(100).await.is_none(), "one of two is answered");
                peer.write_all(b"0 Success\n").expect("written");
                assert!(matches!(
                    harness.next(20_000).await,
                    Some(Event::Acknowledged { up_to: 1, closed: false, .. })
                ));
            } else {
                let event = harness.next(20_000).await;
                assert!(
                    matches!(event, Some(Event::Disconnected { reason: DisconnectReason::InvalidReply, .. })),
                    "{event:?}"
                );
            }
        });
    }
}

#[test]
fn datagrams_to_nobody_are_not_taken() {
    let address = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
    connected(Transport::Datagrams(address), |harness| async move {
        harness.connected().await;
        let message = EncodedMessage::Datagrams(vec![b"one".to_vec()]);
        harness.commands.try_send(Command::Send { sequence: 1, message }).expect("sent");
        assert!(matches!(
            harness.next(20_000).await,
            Some(Event::Disconnected { reason: DisconnectReason::Refused, .. })
        ));
    });
}
