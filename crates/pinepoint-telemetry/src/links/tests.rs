use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use async_executor::LocalExecutor;

use super::*;

struct Near {
    commands: Sender<Command>,
    events: Receiver<Event>,
}

/// Runs a connection to this receiver, and beside it what the test does with it.
fn connected<F: Future<Output = ()>>(way: Way, test: impl FnOnce(Near) -> F) {
    let executor = LocalExecutor::new();
    let ((commands, told), (events, heard)) = (async_channel::unbounded(), async_channel::unbounded());
    let link = Link { receiver: 0, link: 1, events, commands: told, clock: Clock::system() };
    let task = executor.spawn(link.run(way));
    async_io::block_on(executor.run(test(Near { commands, events: heard })));
    drop(task);
}

impl Near {
    async fn opened(&self) {
        assert!(matches!(self.events.recv().await, Ok(Event::Opened { .. })));
    }

    fn send(&self, send: u64, bytes: &[u8]) {
        self.commands.try_send(Command::Send { send, bytes: Bytes::Stream(bytes.to_vec()) }).expect("sent");
    }

    fn finish(&self) {
        self.commands.try_send(Command::Finish).expect("sent");
    }

    /// The next event but for progress; nothing if none comes in that time.
    async fn next(&self, ms: u64) -> Option<Event> {
        let late = async {
            async_io::Timer::after(Duration::from_millis(ms)).await;
            None
        };
        let next = async {
            loop {
                match self.events.recv().await {
                    Ok(Event::Moved { .. }) => {}
                    event => return event.ok(),
                }
            }
        };
        future::or(next, late).await
    }
}

fn listener() -> (TcpListener, Way) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, Way::Stream(address, Receipt::Closed))
}

#[test]
fn what_was_read_up_to_the_end_is_taken() {
    let (listener, way) = listener();
    let reader = std::thread::spawn(move || {
        let mut read = String::new();
        listener.accept().expect("accepted").0.read_to_string(&mut read).expect("read");
        read
    });
    connected(way, |near| async move {
        near.opened().await;
        near.send(1, b"one ");
        near.send(2, b"two");
        near.finish();
        assert!(matches!(near.next(20_000).await, Some(Event::Taken { upto: 2, over: true, .. })));
    });
    assert_eq!(reader.join().expect("no panic"), "one two");
}

/// The receiver's system has it and has said so; its process has not, and dies.
#[test]
fn what_only_the_system_has_is_not_taken() {
    let (listener, way) = listener();
    connected(way, |near| async move {
        near.opened().await;
        let (far, _) = listener.accept().expect("accepted");
        near.send(1, b"one");
        near.finish();
        assert!(near.next(300).await.is_none(), "nobody has read it");
        drop(far);
        assert!(matches!(near.next(20_000).await, Some(Event::Broken { why: Break::Reset, .. })));
    });
}

/// The receiver read the first and closed; the second crosses its end, and our end comes right behind it.
#[test]
fn what_crosses_the_end_of_the_receiver_is_not_taken() {
    let (listener, way) = listener();
    connected(way, |near| async move {
        near.opened().await;
        let (mut far, _) = listener.accept().expect("accepted");
        near.send(1, b"one");
        assert!(near.next(50).await.is_none());
        far.read_exact(&mut [0; 3]).expect("read");
        drop(far);
        // Not polled in between: the end is there, and not yet seen.
        std::thread::sleep(Duration::from_millis(20));
        near.send(2, b"two");
        near.finish();
        let event = near.next(20_000).await;
        assert!(matches!(event, Some(Event::Broken { .. })), "{event:?}");
    });
}

/// For relays that never close it is enough that their system has all of it, and no less.
#[test]
fn acknowledged_is_taken_where_that_was_chosen() {
    let (listener, way) = listener();
    let Way::Stream(address, _) = way else { return };
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4096).expect("a small window");
    connected(Way::Stream(address, Receipt::Acknowledged), |near| async move {
        near.opened().await;
        let (mut far, _) = listener.accept().expect("accepted");
        near.send(1, &[b'x'; 400_000]);
        near.finish();
        assert!(near.next(300).await.is_none(), "its system has no room for it");
        far.set_nonblocking(true).expect("set");
        let mut chunk = [0; 65_536];
        let event = loop {
            let _ = far.read(&mut chunk);
            if let Some(event) = near.next(5).await {
                break event;
            }
        };
        assert!(matches!(event, Event::Taken { upto: 1, over: true, .. }), "{event:?}");
    });
}

#[test]
fn lines_are_taken_when_all_are_answered_and_nonsense_is_no_answer() {
    for (answer, good) in [("0 Success: 1 value", true), ("-1 value too old", true), ("hello", false)] {
        let (listener, way) = listener();
        let Way::Stream(address, _) = way else { return };
        connected(Way::Answered(Place::Address(address)), |near| async move {
            near.opened().await;
            let (mut far, _) = listener.accept().expect("accepted");
            let bytes = Bytes::Lines(b"a\nb\n".to_vec(), 2);
            near.commands.try_send(Command::Send { send: 1, bytes }).expect("sent");
            far.write_all(format!("{answer}\n").as_bytes()).expect("written");
            if good {
                assert!(near.next(100).await.is_none(), "one of two is answered");
                far.write_all(b"0 Success\n").expect("written");
                assert!(matches!(near.next(20_000).await, Some(Event::Taken { upto: 1, over: false, .. })));
            } else {
                let event = near.next(20_000).await;
                assert!(matches!(event, Some(Event::Broken { why: Break::BadReply, .. })), "{event:?}");
            }
        });
    }
}

#[test]
fn datagrams_to_nobody_are_not_taken() {
    let address = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
    connected(Way::Datagrams(address), |near| async move {
        near.opened().await;
        let bytes = Bytes::Datagrams(vec![b"one".to_vec()]);
        near.commands.try_send(Command::Send { send: 1, bytes }).expect("sent");
        assert!(matches!(near.next(20_000).await, Some(Event::Broken { why: Break::Refused, .. })));
    });
}
