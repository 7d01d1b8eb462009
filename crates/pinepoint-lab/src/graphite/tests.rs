//! The Graphite receiver by itself.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::{Graphite, POLL_INTERVAL, Points, Protocol};

fn wait(graphite: &Graphite, what: impl Fn(&Points) -> bool) -> Points {
    for _ in 0..2000 {
        let points = graphite.points();
        if what(&points) {
            return points;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("it did not come: {:?}", graphite.points());
}

#[test]
fn whole_lines_are_kept_and_the_rest_is_not() {
    let graphite = Graphite::start(Protocol::Plaintext).expect("it listens");
    let mut stream = TcpStream::connect(graphite.address()).expect("connected");
    stream.write_all(b"a.b 3 100\na.b 4 110\nnonsense\na.b 5 1").expect("sent");
    let points = wait(&graphite, |points| points.malformed == 1);
    assert_eq!((points.sum("a.b"), points.values["a.b"].len(), points.conflicting), (7.0, 2, 0));
    graphite.stop();
    assert!(matches!(stream.read(&mut [0]), Ok(0) | Err(_)));
    assert!(TcpStream::connect(graphite.address()).is_err() || graphite.restart().is_ok());
}
