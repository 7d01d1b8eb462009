use super::*;

fn check_codes<R: ReasonCode + std::fmt::Debug>() {
    let codes: std::collections::BTreeSet<_> = R::ALL.iter().map(|reason| reason.code()).collect();
    assert_eq!(codes.len(), R::ALL.len(), "the codes are unique");
    for (index, reason) in R::ALL.iter().enumerate() {
        assert_eq!(reason.index(), index);
        assert!(reason.code().bytes().all(|b| b.is_ascii_lowercase() || b == b'-'), "{reason:?}");
    }
}

#[test]
fn reason_codes_are_unique_and_lowercase() {
    check_codes::<RejectReason>();
    check_codes::<FailureReason>();
    check_codes::<CallOutcome>();
    check_codes::<RunOutcome>();
    check_codes::<ResourceLimit>();
    check_codes::<Protocol>();
}

#[test]
fn request_event_fits_into_64_bytes() {
    assert!(std::mem::size_of::<RequestEvent>() <= 64, "{}", std::mem::size_of::<RequestEvent>());
}
