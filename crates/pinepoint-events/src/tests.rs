use super::*;

fn check_codes<R: ReasonCode + std::fmt::Debug>() {
    let codes: std::collections::BTreeSet<_> = R::ALL.iter().map(|reason| reason.code()).collect();
    assert_eq!(codes.len(), R::ALL.len(), "each has a code of its own");
    for (index, reason) in R::ALL.iter().enumerate() {
        assert_eq!(reason.index(), index);
        assert!(reason.code().bytes().all(|b| b.is_ascii_lowercase() || b == b'-'), "{reason:?}");
    }
}

#[test]
fn every_reason_has_one_plain_code() {
    check_codes::<RejectReason>();
    check_codes::<FailureReason>();
    check_codes::<CallOutcome>();
    check_codes::<RunOutcome>();
    check_codes::<ResourceLimit>();
    check_codes::<Protocol>();
}

#[test]
fn an_event_is_small() {
    assert!(std::mem::size_of::<RequestEvent>() <= 64, "{}", std::mem::size_of::<RequestEvent>());
}
