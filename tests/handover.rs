//! Two processes of one server during an upgrade, with real cores: whatever comes in whatever order, no key runs twice in its
//! window, each request read is answered once and in time, and all counters add up.

mod bench;
#[path = "handover/mod.rs"]
mod world;

use pinepoint::node::lifecycle::Phase as Life;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::*;

const CASES: u32 = 400;
/// Overrides the first byte of the seed, to look for more.
const SEED_VARIABLE: &str = "HANDOVER_SEED";
const CASES_VARIABLE: &str = "HANDOVER_CASES";

#[derive(Clone, Debug)]
enum Step {
    Start { classes: usize },
    EngineUp,
    Arrive { newer: bool, class: u8, token: u8, age: u16, caller: u64 },
    EndRun { pick: usize, how: u8 },
    GiveUp { newer: bool, pick: usize },
    Close { newer: bool, caller: u64 },
    Pass { ms: u16 },
    Delay { ms: u16 },
    Drain { newer: bool, drained: bool },
    Terminate,
    Crash { newer: bool, kept: usize },
    Cut { kept: usize },
    Reload { newer: bool, classes: usize },
}

const FILES: [&[ClassSpec]; 4] = [&[LOOK, WRITE], &[LOOK], &[WRITE, PAY, LOOK], &[WRITE_AS_READ, LOOK]];

fn step() -> impl Strategy<Value = Step> {
    let age = prop_oneof![4 => 0..100u16, 1 => 0..2500u16];
    let ms = prop_oneof![6 => 0..40u16, 3 => 0..400u16, 1 => 0..1500u16];
    let delay = prop_oneof![6 => 0..20u16, 2 => 0..200u16, 1 => 400..700u16];
    prop_oneof![
        2 => (0..FILES.len()).prop_map(|classes| Step::Start { classes }),
        3 => Just(Step::EngineUp),
        30 => (any::<bool>(), 0..4u8, 0..3u8, age, 0..3u64).prop_map(|(newer, class, token, age, caller)| {
            Step::Arrive { newer, class, token, age, caller }
        }),
        12 => (any::<usize>(), any::<u8>()).prop_map(|(pick, how)| Step::EndRun { pick, how }),
        3 => (any::<bool>(), any::<usize>()).prop_map(|(newer, pick)| Step::GiveUp { newer, pick }),
        1 => (any::<bool>(), 0..3u64).prop_map(|(newer, caller)| Step::Close { newer, caller }),
        12 => ms.prop_map(|ms| Step::Pass { ms }),
        3 => delay.prop_map(|ms| Step::Delay { ms }),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(newer, drained)| Step::Drain { newer, drained }),
        1 => Just(Step::Terminate),
        1 => (any::<bool>(), 0..4usize).prop_map(|(newer, kept)| Step::Crash { newer, kept }),
        1 => (0..4usize).prop_map(|kept| Step::Cut { kept }),
        2 => (any::<bool>(), 0..FILES.len()).prop_map(|(newer, classes)| Step::Reload { newer, classes }),
    ]
}

/// Once the new process serves without a link to the old one, the platform ends the old one.
fn end_old_if_alone(world: &mut World) {
    let apart = world.processes.len() == 2 && world.serves(1) && !world.is_linked(0, 1);
    if apart && world.processes[0].alive {
        world.terminate(0);
    }
}

fn play(steps: &[Step]) {
    let mut world = World::serving(FILES[0]);
    for step in steps {
        let newest = world.processes.len() - 1;
        let at = |newer: bool| if newer { newest } else { 0 };
        match *step {
            Step::Start { classes } => {
                if world.processes.len() == 1 && world.processes[0].alive {
                    world.start(FILES[classes]);
                }
            }
            Step::EngineUp => {
                if newest == 1 && matches!(world.life(1), Life::Starting | Life::StartingDrained) {
                    world.engine_up(1);
                }
            }
            Step::Arrive { newer, class, token, age, caller } => {
                let index = at(newer);
                let class = ["look", "write", "write", "pay"][usize::from(class)];
                if Life::Serving <= world.life(index) && world.life(index) < Life::Finishing {
                    world.arrive(index, class, token, f64::from(age), caller);
                }
            }
            Step::EndRun { pick, how } => world.end_run(pick, run_end(how)),
            Step::GiveUp { newer, pick } => world.give_up(at(newer), pick),
            Step::Close { newer, caller } => world.close(at(newer), caller),
            Step::Pass { ms } => world.pass(f64::from(ms)),
            Step::Delay { ms } => world.delay_ms = f64::from(ms),
            Step::Drain { newer, drained } => world.set_drained(at(newer), drained),
            Step::Terminate => world.terminate(0),
            Step::Crash { newer, kept } => world.crash(at(newer), kept),
            Step::Cut { kept } => world.cut(kept),
            Step::Reload { newer, classes } => world.reload(at(newer), FILES[classes]),
        }
        end_old_if_alone(&mut world);
    }
    world.settle_and_check();
}

#[test]
fn rules_hold_under_random_events_at_both_processes() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u32>().ok());
    let seed = number(SEED_VARIABLE).unwrap_or(11);
    println!("seed {seed}");
    let cases = number(CASES_VARIABLE).unwrap_or(CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let steps = proptest::collection::vec(step(), 1..150);
    runner
        .run(&steps, |steps| {
            play(&steps);
            Ok(())
        })
        .expect("no sequence of events breaks a rule");
}
