use rand_pcg::Pcg64Mcg;

use super::*;

#[test]
fn backoff_doubles_up_to_maximum_with_full_jitter() {
    let config = Config::default();
    let mut sums = [0.0; 10];
    for seed in 0..500_u128 {
        let (mut circuit_breaker, mut random) = (CircuitBreaker::new(config), Pcg64Mcg::new(seed * 7919 + 1));
        for (n, sum) in sums.iter_mut().enumerate() {
            assert_eq!(circuit_breaker.record_failure(0.0, &mut random), n + 1 == 2);
            let backoff_ms = circuit_breaker.next_attempt_ms();
            assert!((MIN_BACKOFF_MS..=(500.0 * 2_f64.powi(n as i32)).min(30_000.0)).contains(&backoff_ms));
            *sum += backoff_ms / 500.0;
        }
    }
    for (n, mean) in sums.iter().enumerate() {
        let max_ms = (500.0 * 2_f64.powi(n as i32)).min(30_000.0);
        assert!(
            (0.45..0.56).contains(&(mean / max_ms)),
            "failure {n}: the mean backoff is {mean} ms, the maximum {max_ms} ms"
        );
    }
}

#[test]
fn opens_after_threshold_and_restores_traffic_gradually() {
    let (mut circuit_breaker, mut random) = (CircuitBreaker::new(Config::default()), Pcg64Mcg::new(1));
    assert_eq!(circuit_breaker.slow_start_fraction(0.0), 1.0, "a new receiver gets all of its traffic");
    assert!(!circuit_breaker.record_failure(0.0, &mut random));
    assert_eq!(
        circuit_breaker.state(),
        BreakerState::Closed,
        "one failure does not open the circuit breaker"
    );
    assert!(circuit_breaker.record_failure(1.0, &mut random));
    assert_eq!(
        (circuit_breaker.state(), circuit_breaker.slow_start_fraction(1.0)),
        (BreakerState::Open, 0.0)
    );
    assert!(!circuit_breaker.record_failure(2.0, &mut random), "the circuit breaker is open already");
    assert!(circuit_breaker.record_success(1000.0));
    assert_eq!(
        (circuit_breaker.slow_start_fraction(1000.0), circuit_breaker.slow_start_fraction(16_000.0)),
        (0.0, 0.5)
    );
    assert_eq!(
        (circuit_breaker.slow_start_end_ms(16_000.0), circuit_breaker.slow_start_end_ms(31_000.0)),
        (Some(31_000.0), None)
    );
    assert!(!circuit_breaker.record_success(2000.0), "the circuit breaker is closed already");
    assert_eq!(circuit_breaker.slow_start_fraction(31_000.0), 1.0);
}
