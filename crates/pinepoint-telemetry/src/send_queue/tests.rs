use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

use super::*;

#[test]
fn counts_unacknowledged_bytes_until_peer_reads_them() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut stream = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (mut peer, _) = listener.accept().expect("accepted");
    assert_eq!(unacknowledged_bytes(&stream).expect("a socket"), 0);
    stream.set_nonblocking(true).expect("set");
    let mut written = 0;
    while let Ok(n) = stream.write(&[0; 65_536]) {
        written += n;
    }
    assert!(unacknowledged_bytes(&stream).expect("a socket") > 0);
    stream.set_nonblocking(false).expect("set");
    stream.shutdown(Shutdown::Write).expect("half closed");
    let mut read = Vec::new();
    peer.read_to_end(&mut read).expect("read");
    assert_eq!(read.len(), written);
    drop(peer);
    // The peer's FIN follows its acknowledgement of this side's FIN.
    assert_eq!(stream.read(&mut [0]).expect("an end"), 0);
    assert_eq!(unacknowledged_bytes(&stream).expect("a socket"), 0);
}
