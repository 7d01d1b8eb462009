use super::*;

#[test]
fn quantiles_are_accurate_to_two_digits_after_merging() {
    let (mut whole, mut halves) =
        (DistributionRecorder::default(), [DistributionRecorder::default(), DistributionRecorder::default()]);
    let mut exact: Vec<f64> = (0..4000_u32).map(|n| f64::from(n * 7919 % 4001) * 0.7 + 0.1).collect();
    for (n, ms) in exact.iter().enumerate() {
        whole.record(*ms);
        halves[n % 2].record(*ms);
    }
    let [a, b] = halves.each_mut().map(DistributionRecorder::take);
    let (whole, merged) = (whole.take(), a.merged(&b));
    assert_eq!(whole.buckets, merged.buckets);
    exact.sort_by(f64::total_cmp);
    for (thousandths, index) in [(500, 1999), (900, 3599), (990, 3959), (999, 3995)] {
        let quantile = merged.statistic(Statistic::Quantile(thousandths)).expect("values");
        assert!(
            (quantile / exact[index] - 1.0).abs() < 0.01,
            "{thousandths}: {quantile} for {}",
            exact[index]
        );
    }
    assert_eq!(merged.statistic(Statistic::Count), Some(4000.0));
    let sum: f64 = exact.iter().sum();
    assert!((merged.statistic(Statistic::Sum).expect("a sum") / sum - 1.0).abs() < 1e-9);
}

#[test]
fn empty_distribution_has_count_but_no_quantile() {
    let distribution = DistributionRecorder::default().take();
    assert_eq!(distribution.statistic(Statistic::Count), Some(0.0));
    assert_eq!(distribution.statistic(Statistic::Quantile(990)), None);
    assert_eq!(distribution.statistic(Statistic::Max), None);
}

#[test]
fn records_invalid_values_as_nearest_valid_ones() {
    let mut recorder = DistributionRecorder::default();
    for ms in [f64::NAN, -5.0, f64::INFINITY, 1e12] {
        recorder.record(ms);
    }
    let distribution = recorder.take();
    assert_eq!(distribution.statistic(Statistic::Count), Some(4.0));
    assert!(distribution.statistic(Statistic::Max).expect("values") <= 605_000.0);
}
