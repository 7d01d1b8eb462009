use super::*;

fn check<R: ReasonCode + std::fmt::Debug>() {
    let words: std::collections::BTreeSet<_> = R::ALL.iter().map(|r| r.code()).collect();
    assert_eq!(words.len(), R::ALL.len(), "each has a word of its own");
    for (at, reason) in R::ALL.iter().enumerate() {
        assert_eq!(reason.index(), at);
        assert!(reason.code().bytes().all(|b| b.is_ascii_lowercase() || b == b'-'), "{reason:?}");
    }
}

#[test]
fn every_reason_has_one_plain_word() {
    check::<RejectReason>();
    check::<FailureReason>();
    check::<CallOutcome>();
    check::<RunOutcome>();
    check::<ResourceLimit>();
    check::<Protocol>();
}

#[test]
fn a_fact_is_small() {
    assert!(std::mem::size_of::<RequestEvent>() <= 64, "{}", std::mem::size_of::<RequestEvent>());
}
