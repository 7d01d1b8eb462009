use rand_pcg::Pcg64Mcg;

use super::*;

#[test]
fn waits_double_up_to_the_longest_and_are_spread_over_their_whole_range() {
    let config = Config::default();
    let mut sums = [0.0; 10];
    for seed in 0..500_u128 {
        let (mut circuit_breaker, mut random) = (CircuitBreaker::new(config), Pcg64Mcg::new(seed * 7919 + 1));
        for (n, sum) in sums.iter_mut().enumerate() {
            assert_eq!(circuit_breaker.record_failure(0.0, &mut random), n + 1 == 2);
            let wait = circuit_breaker.next_attempt_ms();
            assert!((MIN_BACKOFF_MS..=(500.0 * 2_f64.powi(n as i32)).min(30_000.0)).contains(&wait));
            *sum += wait / 500.0;
        }
    }
    for (n, mean) in sums.iter().enumerate() {
        let most = (500.0 * 2_f64.powi(n as i32)).min(30_000.0);
        assert!((0.45..0.56).contains(&(mean / most)), "try {n}: mean {mean} of at most {most}");
    }
}

#[test]
fn it_trips_comes_back_and_takes_its_paths_back_in_steps() {
    let (mut circuit_breaker, mut random) = (CircuitBreaker::new(Config::default()), Pcg64Mcg::new(1));
    assert_eq!(circuit_breaker.slow_start_fraction(0.0), 1.0, "from the start it has all of them");
    assert!(!circuit_breaker.record_failure(0.0, &mut random));
    assert_eq!(circuit_breaker.state(), BreakerState::Closed, "one failure is no outage");
    assert!(circuit_breaker.record_failure(1.0, &mut random));
    assert_eq!(
        (circuit_breaker.state(), circuit_breaker.slow_start_fraction(1.0)),
        (BreakerState::Open, 0.0)
    );
    assert!(!circuit_breaker.record_failure(2.0, &mut random), "it is out already");
    assert!(circuit_breaker.record_success(1000.0));
    assert_eq!(
        (circuit_breaker.slow_start_fraction(1000.0), circuit_breaker.slow_start_fraction(16_000.0)),
        (0.0, 0.5)
    );
    assert_eq!(
        (circuit_breaker.slow_start_end_ms(16_000.0), circuit_breaker.slow_start_end_ms(31_000.0)),
        (Some(31_000.0), None)
    );
    assert!(!circuit_breaker.record_success(2000.0), "it is back already");
    assert_eq!(circuit_breaker.slow_start_fraction(31_000.0), 1.0);
}
