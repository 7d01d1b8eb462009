use rand_pcg::Pcg64Mcg;

use super::*;

#[test]
fn waits_double_up_to_the_longest_and_are_spread_over_their_whole_range() {
    let rules = Rules::default();
    let mut sums = [0.0; 10];
    for seed in 0..500_u128 {
        let (mut circuit, mut random) = (Circuit::new(rules), Pcg64Mcg::new(seed * 7919 + 1));
        for (n, sum) in sums.iter_mut().enumerate() {
            assert_eq!(circuit.failed(0.0, &mut random), n + 1 == 2);
            let wait = circuit.retry_ms();
            assert!((LEAST_MS..=(500.0 * 2_f64.powi(n as i32)).min(30_000.0)).contains(&wait));
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
    let (mut circuit, mut random) = (Circuit::new(Rules::default()), Pcg64Mcg::new(1));
    assert_eq!(circuit.share(0.0), 1.0, "from the start it has all of them");
    assert!(!circuit.failed(0.0, &mut random));
    assert_eq!(circuit.service(), Service::In, "one failure is no outage");
    assert!(circuit.failed(1.0, &mut random));
    assert_eq!((circuit.service(), circuit.share(1.0)), (Service::Out, 0.0));
    assert!(!circuit.failed(2.0, &mut random), "it is out already");
    assert!(circuit.succeeded(1000.0));
    assert_eq!((circuit.share(1000.0), circuit.share(16_000.0)), (0.0, 0.5));
    assert_eq!((circuit.whole_ms(16_000.0), circuit.whole_ms(31_000.0)), (Some(31_000.0), None));
    assert!(!circuit.succeeded(2000.0), "it is back already");
    assert_eq!(circuit.share(31_000.0), 1.0);
}
