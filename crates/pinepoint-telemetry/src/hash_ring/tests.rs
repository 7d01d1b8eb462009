use super::*;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|n| format!("10.0.0.{n}:2003")).collect()
}

fn ring(names: &[String]) -> HashRing {
    HashRing::new(names.iter().enumerate().map(|(slot, name)| (slot as u8, name.as_str())))
}

fn paths() -> Vec<String> {
    (0..20_000).map(|n| format!("pinepoint.n{}.class.look.stat{}", n / 250, n % 250)).collect()
}

#[test]
fn when_one_of_ten_goes_only_its_paths_move_and_they_are_about_a_tenth() {
    let names = names(10);
    let whole = ring(&names);
    for gone in 0..10_u8 {
        let left = names.iter().enumerate().filter(|(slot, _)| *slot != usize::from(gone));
        let less = HashRing::new(left.map(|(slot, name)| (slot as u8, name.as_str())));
        let mut moved = 0;
        for path in paths() {
            let (before, after) = (whole.preference(&path), less.preference(&path));
            if before[0] == gone {
                moved += 1;
                assert_eq!(after[0], before[1], "it goes to the next on the ring");
            } else {
                assert_eq!(after[0], before[0], "it had no reason to move");
            }
        }
        let share = f64::from(moved) / 20_000.0;
        assert!((0.08..=0.12).contains(&share), "{share} of the paths moved with receiver {gone}");
    }
}

#[test]
fn the_order_in_which_receivers_are_told_does_not_matter() {
    let names = names(5);
    let (forth, back) = (ring(&names), ring(&names.iter().rev().cloned().collect::<Vec<_>>()));
    for path in paths().iter().step_by(97) {
        let turned: Vec<u8> = back.preference(path).iter().map(|slot| 4 - slot).collect();
        assert_eq!(*forth.preference(path), *turned);
    }
}

#[test]
fn places_are_even_and_have_nothing_to_do_with_the_receiver() {
    let ring = ring(&names(4));
    let early = |receiver: u8| {
        let paths = paths();
        let of_it: Vec<&String> = paths.iter().filter(|p| ring.preference(p)[0] == receiver).collect();
        let early = of_it.iter().filter(|path| path_fraction(path) < 0.25).count();
        early as f64 / of_it.len() as f64
    };
    assert!((0..4).all(|receiver| (0.22..0.28).contains(&early(receiver))));
}

#[test]
fn a_ring_of_one_and_of_none() {
    assert_eq!(*ring(&names(1)).preference("a"), [0]);
    assert!(HashRing::default().preference("a").is_empty());
}
