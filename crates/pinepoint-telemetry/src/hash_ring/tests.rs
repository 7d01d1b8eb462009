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
fn removing_one_of_ten_receivers_moves_only_its_paths() {
    let names = names(10);
    let full_ring = ring(&names);
    for removed in 0..10_u8 {
        let remaining = names.iter().enumerate().filter(|(slot, _)| *slot != usize::from(removed));
        let reduced_ring = HashRing::new(remaining.map(|(slot, name)| (slot as u8, name.as_str())));
        let mut moved = 0;
        for path in paths() {
            let (before, after) = (full_ring.preference(&path), reduced_ring.preference(&path));
            if before[0] == removed {
                moved += 1;
                assert_eq!(
                    after[0], before[1],
                    "a path of the removed receiver moves to its second preference"
                );
            } else {
                assert_eq!(after[0], before[0], "a path of another receiver does not move");
            }
        }
        let share = f64::from(moved) / 20_000.0;
        assert!((0.08..=0.12).contains(&share), "{share} of the paths moved with receiver {removed}");
    }
}

#[test]
fn preference_does_not_depend_on_receiver_order() {
    let names = names(5);
    let (forward, reversed) = (ring(&names), ring(&names.iter().rev().cloned().collect::<Vec<_>>()));
    for path in paths().iter().step_by(97) {
        let mapped_slots: Vec<u8> = reversed.preference(path).iter().map(|slot| 4 - slot).collect();
        assert_eq!(*forward.preference(path), *mapped_slots);
    }
}

#[test]
fn path_fractions_are_uniform_for_each_receiver() {
    let ring = ring(&names(4));
    let early = |receiver: u8| {
        let paths = paths();
        let own_paths: Vec<&String> = paths.iter().filter(|p| ring.preference(p)[0] == receiver).collect();
        let early = own_paths.iter().filter(|path| path_fraction(path) < 0.25).count();
        early as f64 / own_paths.len() as f64
    };
    assert!((0..4).all(|receiver| (0.22..0.28).contains(&early(receiver))));
}

#[test]
fn handles_single_receiver_and_empty_ring() {
    assert_eq!(*ring(&names(1)).preference("a"), [0]);
    assert!(HashRing::default().preference("a").is_empty());
}
