use super::*;

fn record(generation: u64, incarnation: u32, phase: Phase, liveness: Liveness) -> MemberRecord {
    let address = ([10, 0, 0, 1], 7000).into();
    let identity = Identity { name: "n1".into(), zone: "a".into(), address, cores: 4, instance: 9 };
    MemberRecord { identity: Rc::new(identity), generation, incarnation, phase, liveness, accuser: 0 }
}

#[test]
fn precedence_orders_generation_leave_incarnation_liveness() {
    use Liveness::{Alive, Lost, Suspected};
    use Phase::{Left, Serving};
    let order = [
        record(1, 0, Serving, Alive),
        record(1, 0, Serving, Suspected),
        record(1, 0, Serving, Lost),
        record(1, 1, Serving, Alive),
        record(1, 0, Left, Alive),
        record(2, 0, Serving, Alive),
    ];
    assert!(order.is_sorted_by(|a, b| a.precedence() < b.precedence()));
}

#[test]
fn encoded_record_fits_size_bound() {
    let mut largest = record(u64::MAX, u32::MAX, Phase::Left, Liveness::Lost);
    largest.identity = Rc::new(Identity::largest());
    largest.accuser = u32::MAX;
    let bytes = postcard::to_allocvec(&largest).expect("a record can be encoded");
    assert!(
        bytes.len() <= largest.max_encoded_bytes(),
        "{} bytes encoded, expected at most {}",
        bytes.len(),
        largest.max_encoded_bytes()
    );
}
