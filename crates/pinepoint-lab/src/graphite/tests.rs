//! Tests of the Graphite receiver.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::{Graphite, POLL_INTERVAL, Points, Protocol};

fn wait_for_points(graphite: &Graphite, condition: impl Fn(&Points) -> bool) -> Points {
    for _ in 0..2000 {
        let points = graphite.points();
        if condition(&points) {
            return points;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for points; received: {:?}", graphite.points());
}

#[test]
fn keeps_complete_lines_only() {
    let graphite = Graphite::start(Protocol::Plaintext).expect("receiver starts");
    let mut stream = TcpStream::connect(graphite.address()).expect("connect to the receiver");
    stream.write_all(b"a.b 3 100\na.b 4 110\nnonsense\na.b 5 1").expect("send lines");
    let points = wait_for_points(&graphite, |points| points.malformed == 1);
    assert_eq!((points.sum("a.b"), points.values["a.b"].len(), points.conflicting), (7.0, 2, 0));
    graphite.stop();
    assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)));
    assert!(TcpStream::connect(graphite.address()).is_err() || graphite.restart().is_ok());
}
