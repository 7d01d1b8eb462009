//! Two processes of one server during an upgrade, with real cores: for any sequence of events, no key runs
//! twice in its window, each request that was read is answered once and in time, and all counters add up.

mod core_harness;
mod handover_simulation;

use handover_simulation::{ClassSpec, LOOK, PAY, Simulation, TIMEOUT_MS, WRITE, WRITE_AS_READ, run_result};
use pinepoint::server::control::lifecycle::Phase as LifecyclePhase;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 400;
/// Environment variable that overrides the first four bytes of the seed, to search other sequences.
const SEED_VARIABLE: &str = "HANDOVER_SEED";
const CASES_VARIABLE: &str = "HANDOVER_CASES";

#[derive(Clone, Debug)]
enum Step {
    Start { classes: usize },
    EngineUp,
    Arrive { newer: bool, class: u8, token: u8, age: u16, caller: u64 },
    EndRun { pick: usize, how: u8 },
    Cancel { newer: bool, pick: usize },
    Close { newer: bool, caller: u64 },
    Advance { ms: u16 },
    Delay { ms: u16 },
    Drain { newer: bool, drained: bool },
    Terminate,
    Crash { newer: bool, kept: usize },
    Cut { kept: usize },
    Reload { newer: bool, classes: usize },
}

const CLASS_SETS: [&[ClassSpec]; 4] = [&[LOOK, WRITE], &[LOOK], &[WRITE, PAY, LOOK], &[WRITE_AS_READ, LOOK]];

fn step() -> impl Strategy<Value = Step> {
    let age = prop_oneof![4 => 0..100u16, 1 => 0..2500u16];
    let ms = prop_oneof![6 => 0..40u16, 3 => 0..400u16, 1 => 0..1500u16];
    let delay = prop_oneof![6 => 0..20u16, 2 => 0..200u16, 1 => 400..700u16];
    prop_oneof![
        2 => (0..CLASS_SETS.len()).prop_map(|classes| Step::Start { classes }),
        3 => Just(Step::EngineUp),
        30 => (any::<bool>(), 0..4u8, 0..3u8, age, 0..3u64).prop_map(|(newer, class, token, age, caller)| {
            Step::Arrive { newer, class, token, age, caller }
        }),
        12 => (any::<usize>(), any::<u8>()).prop_map(|(pick, how)| Step::EndRun { pick, how }),
        3 => (any::<bool>(), any::<usize>()).prop_map(|(newer, pick)| Step::Cancel { newer, pick }),
        1 => (any::<bool>(), 0..3u64).prop_map(|(newer, caller)| Step::Close { newer, caller }),
        12 => ms.prop_map(|ms| Step::Advance { ms }),
        3 => delay.prop_map(|ms| Step::Delay { ms }),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(newer, drained)| Step::Drain { newer, drained }),
        1 => Just(Step::Terminate),
        1 => (any::<bool>(), 0..4usize).prop_map(|(newer, kept)| Step::Crash { newer, kept }),
        1 => (0..4usize).prop_map(|kept| Step::Cut { kept }),
        2 => (any::<bool>(), 0..CLASS_SETS.len())
            .prop_map(|(newer, classes)| Step::Reload { newer, classes }),
    ]
}

/// Terminates the predecessor, as the platform does, once the successor serves without a link to it.
fn terminate_unlinked_predecessor(simulation: &mut Simulation) {
    let is_unlinked = simulation.processes.len() == 2 && simulation.serves(1) && !simulation.is_linked(0, 1);
    if is_unlinked && simulation.processes[0].alive {
        simulation.terminate(0);
    }
}

fn run_steps(steps: &[Step]) {
    let mut simulation = Simulation::serving(CLASS_SETS[0]);
    for step in steps {
        let newest = simulation.processes.len() - 1;
        let at = |newer: bool| if newer { newest } else { 0 };
        match *step {
            Step::Start { classes } => {
                if simulation.processes.len() == 1 && simulation.processes[0].alive {
                    simulation.start(CLASS_SETS[classes]);
                }
            }
            Step::EngineUp => {
                if newest == 1
                    && matches!(
                        simulation.phase(1),
                        LifecyclePhase::Starting | LifecyclePhase::StartingLameDuck
                    )
                {
                    simulation.engine_up(1);
                }
            }
            Step::Arrive { newer, class, token, age, caller } => {
                let index = at(newer);
                let class = ["look", "write", "write", "pay"][usize::from(class)];
                if LifecyclePhase::Serving <= simulation.phase(index)
                    && simulation.phase(index) < LifecyclePhase::Finishing
                {
                    simulation.arrive(index, class, token, f64::from(age), caller);
                }
            }
            Step::EndRun { pick, how } => simulation.end_run(pick, run_result(how)),
            Step::Cancel { newer, pick } => simulation.cancel(at(newer), pick),
            Step::Close { newer, caller } => simulation.close(at(newer), caller),
            Step::Advance { ms } => simulation.advance(f64::from(ms)),
            Step::Delay { ms } => simulation.delay_ms = f64::from(ms),
            Step::Drain { newer, drained } => simulation.set_lame_duck(at(newer), drained),
            Step::Terminate => simulation.terminate(0),
            Step::Crash { newer, kept } => simulation.crash(at(newer), kept),
            Step::Cut { kept } => simulation.cut(kept),
            Step::Reload { newer, classes } => simulation.reload(at(newer), CLASS_SETS[classes]),
        }
        terminate_unlinked_predecessor(&mut simulation);
    }
    simulation.finish_and_check();
}

#[test]
fn upholds_invariants_under_random_events() {
    let number_from_env = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u32>().ok());
    let seed = number_from_env(SEED_VARIABLE).unwrap_or(11);
    println!("seed {seed}");
    let cases = number_from_env(CASES_VARIABLE).unwrap_or(CASES);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let steps = proptest::collection::vec(step(), 1..150);
    runner
        .run(&steps, |steps| {
            run_steps(&steps);
            Ok(())
        })
        .expect("no sequence of events violates an invariant");
}

// ---- named cases ----

/// A simulation with a first process, and with a second process of these classes that has taken over the keys
/// and serves.
fn handed_over(classes: &[ClassSpec]) -> Simulation {
    let mut simulation = Simulation::serving(CLASS_SETS[0]);
    let new = simulation.start(classes);
    simulation.engine_up(new);
    simulation.advance(50.0);
    assert!(simulation.serves(new) && simulation.is_linked(0, new));
    simulation
}

/// The second process gets the class by a reload, after a key of the class ran in the first process.
#[test]
fn does_not_rerun_key_of_class_added_by_reload() {
    let mut simulation = Simulation::serving(CLASS_SETS[0]);
    let first = simulation.arrive(0, "write", 1, 0.0, 0).expect("the class is known");
    assert_eq!(simulation.times_run(&first), 1);
    let new = simulation.start(&[LOOK]);
    simulation.engine_up(new);
    simulation.advance(50.0);
    simulation.reload(new, CLASS_SETS[0]);
    let again = simulation.arrive(new, "write", 1, 0.0, 0).expect("the class is known");
    simulation.end_run(0, run_result(0));
    simulation.advance(50.0);
    assert_eq!(simulation.times_run(&again), 0);
    assert_eq!(simulation.answers(new, &again).len(), 1);
}

/// When the keys reach the second process, the class of this name is of another kind there.
#[test]
fn keeps_imported_key_while_its_class_is_not_keyed() {
    let mut simulation = Simulation::serving(CLASS_SETS[0]);
    let new = simulation.start(CLASS_SETS[0]);
    simulation.reload(new, &[WRITE_AS_READ, LOOK]);
    let first = simulation.arrive(0, "write", 1, 0.0, 0).expect("the class is known");
    assert_eq!(simulation.times_run(&first), 1);
    simulation.engine_up(new);
    simulation.advance(50.0);
    simulation.reload(new, CLASS_SETS[0]);
    let again = simulation.arrive(new, "write", 1, 0.0, 0).expect("the class is known");
    simulation.advance(50.0);
    assert_eq!(simulation.times_run(&again), 0);
}

#[test]
fn denies_claim_after_further_handover() {
    let mut simulation = handed_over(CLASS_SETS[0]);
    let third = simulation.start(CLASS_SETS[0]);
    simulation.engine_up(third);
    simulation.advance(50.0);
    assert!(simulation.serves(third) && simulation.is_linked(1, third));
    let at_third = simulation.arrive(third, "write", 1, 0.0, 0).expect("the class is known");
    let at_first = simulation.arrive(0, "write", 1, 0.0, 0).expect("the class is known");
    simulation.advance(50.0);
    assert_eq!((simulation.times_run(&at_third), simulation.times_run(&at_first)), (1, 0));
    assert_eq!(simulation.answers(0, &at_first).len(), 1);
}

#[test]
fn does_not_run_cancelled_request_that_waits_for_claim() {
    for closes in [false, true] {
        let mut simulation = handed_over(CLASS_SETS[0]);
        simulation.delay_ms = 100.0;
        let cancelled = simulation.arrive(0, "write", 1, 0.0, 7).expect("the class is known");
        assert_eq!(simulation.handover_state(0).waiting, [0, 1]);
        if closes {
            simulation.close(0, 7);
        } else {
            simulation.cancel(0, 0);
        }
        assert_eq!(simulation.handover_state(0).waiting, [0, 0]);
        simulation.advance(400.0);
        assert_eq!(simulation.times_run(&cancelled), 0);
        let next = simulation.arrive(1, "write", 1, 0.0, 0).expect("the class is known");
        simulation.advance(10.0);
        assert_eq!(simulation.times_run(&next), 1, "the granted key was given back");
    }
}

#[test]
fn answers_request_that_waits_for_claim_by_deadline() {
    let mut simulation = handed_over(CLASS_SETS[0]);
    simulation.delay_ms = 400.0;
    let late = simulation.arrive(0, "write", 1, TIMEOUT_MS - 50.0, 0).expect("the class is known");
    simulation.advance(200.0);
    assert_eq!(simulation.answers(0, &late).len(), 1);
}

/// Guards against a claim that holds a request past the time that its caller waits.
#[test]
fn answers_request_that_waits_for_claim_by_the_time_its_caller_waits() {
    let mut simulation = handed_over(CLASS_SETS[0]);
    simulation.delay_ms = 400.0;
    simulation.timeout_ms = Some(50.0);
    let late = simulation.arrive(0, "write", 1, 0.0, 0).expect("the class is known");
    simulation.advance(200.0);
    assert_eq!(simulation.answers(0, &late).len(), 1);
}
