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

/// Runs a connection with this transport, and concurrently the test that uses it.
fn with_connection<F: Future<Output = ()>>(transport: Transport, test: impl FnOnce(Harness) -> F) {
    let executor = LocalExecutor::new();
    let ((commands, command_receiver), (events, event_receiver)) =
        (async_channel::unbounded(), async_channel::unbounded());
    let id = ConnectionId { receiver: 0, number: 1 };
    let connection = ConnectionTask { id, events, commands: command_receiver, clock: Clock::system() };
    let task = executor.spawn(connection.run(transport));
    async_io::block_on(executor.run(test(Harness { commands, events: event_receiver })));
    drop(task);
}

impl Harness {
    async fn wait_connected(&self) {
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

    /// The next event other than progress; `None` if none arrives within `ms`.
    async fn next(&self, ms: u64) -> Option<Event> {
        let timeout = async {
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
        future::or(next, timeout).await
    }
}

fn listener() -> (TcpListener, Transport) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, Transport::Stream(address, AckPolicy::Closed))
}

#[test]
fn acknowledges_messages_read_to_end_of_stream() {
    let (listener, transport) = listener();
    let reader = std::thread::spawn(move || {
        let mut read = String::new();
        listener.accept().expect("accepted").0.read_to_string(&mut read).expect("read");
        read
    });
    with_connection(transport, |harness| async move {
        harness.wait_connected().await;
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

/// The receiver's kernel acknowledged the message. Its process ends without having read it.
#[test]
fn does_not_acknowledge_messages_that_only_kernel_has() {
    let (listener, transport) = listener();
    with_connection(transport, |harness| async move {
        harness.wait_connected().await;
        let (peer, _) = listener.accept().expect("accepted");
        harness.send(1, b"one");
        harness.request_ack();
        assert!(harness.next(300).await.is_none(), "the receiver's process has not read the message");
        drop(peer);
        assert!(matches!(
            harness.next(20_000).await,
            Some(Event::Disconnected { reason: DisconnectReason::Reset, .. })
        ));
    });
}

/// The receiver reads the first message and closes. The second message is sent before the task has seen the
/// close, and this side's close follows at once.
#[test]
fn does_not_acknowledge_messages_sent_after_receiver_closed() {
    let (listener, transport) = listener();
    with_connection(transport, |harness| async move {
        harness.wait_connected().await;
        let (mut peer, _) = listener.accept().expect("accepted");
        harness.send(1, b"one");
        assert!(harness.next(50).await.is_none());
        peer.read_exact(&mut [0; 3]).expect("read");
        drop(peer);
        // The task is not polled in between: the receiver's FIN has arrived, and the task has not seen it.
        std::thread::sleep(Duration::from_millis(20));
        harness.send(2, b"two");
        harness.request_ack();
        let event = harness.next(20_000).await;
        assert!(matches!(event, Some(Event::Disconnected { .. })), "{event:?}");
    });
}

/// For relays that never close connections it is enough that their kernel has all bytes, but no fewer.
#[test]
fn acknowledged_policy_accepts_kernel_acknowledgement() {
    let (listener, transport) = listener();
    let Transport::Stream(address, _) = transport else { return };
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).expect("a small window");
    with_connection(Transport::Stream(address, AckPolicy::Acknowledged), |harness| async move {
        harness.wait_connected().await;
        let (mut peer, _) = listener.accept().expect("accepted");
        harness.send(1, &[b'x'; 400_000]);
        harness.request_ack();
        assert!(harness.next(300).await.is_none(), "the receiver's kernel has no space for the message");
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
fn acknowledges_lines_when_all_have_valid_answers() {
    for (answer, is_valid) in [("0 Success: 1 value", true), ("-1 value too old", true), ("hello", false)] {
        let (listener, transport) = listener();
        let Transport::Stream(address, _) = transport else { return };
        with_connection(Transport::AnsweredLines(CollectdAddress::Address(address)), |harness| async move {
            harness.wait_connected().await;
            let (mut peer, _) = listener.accept().expect("accepted");
            let message = EncodedMessage::Lines { bytes: b"a\nb\n".to_vec(), count: 2 };
            harness.commands.try_send(Command::Send { sequence: 1, message }).expect("sent");
            peer.write_all(format!("{answer}\n").as_bytes()).expect("written");
            if is_valid {
                assert!(harness.next(100).await.is_none(), "only one of two lines is answered");
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
fn does_not_acknowledge_refused_datagrams() {
    let address = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
    with_connection(Transport::Datagrams(address), |harness| async move {
        harness.wait_connected().await;
        let message = EncodedMessage::Datagrams(vec![b"one".to_vec()]);
        harness.commands.try_send(Command::Send { sequence: 1, message }).expect("sent");
        assert!(matches!(
            harness.next(20_000).await,
            Some(Event::Disconnected { reason: DisconnectReason::Refused, .. })
        ));
    });
}
