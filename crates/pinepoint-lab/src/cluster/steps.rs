//! Carries out the steps of a script on the members, the network, the store, the service registry and the
//! routers. [`crate::script`] defines the language; [`super`] has the table of steps.

use std::time::Duration;

use rustix::process::Signal;

use super::view::{has_verdict, member_state};
use super::{Cluster, ScriptError};
use crate::fault_proxy::{Direction, Endpoint, Faults};
use crate::script::{Step, steps};

impl Cluster {
    /// Runs a script; stops at the first step that fails.
    pub fn run(&mut self, script: &str) -> Result<(), ScriptError> {
        for step in steps(script) {
            self.run_step(step).map_err(|source| ScriptError::Line {
                line: step.line.to_owned(),
                source: Box::new(source),
            })?;
        }
        Ok(())
    }

    fn run_step(&mut self, step: Step<'_>) -> Result<(), ScriptError> {
        let words: Vec<&str> = step.words.split_whitespace().collect();
        match (step.actor, step.verb, words.as_slice()) {
            ("net", verb, words) => self.change_network(verb, words),
            ("store", verb, words) => self.change_store(verb, words),
            ("list", verb, []) => self.change_service_registry(verb),
            ("routers", verb, words) => self.run_routers_step(verb, words),
            ("rules", "hold", []) => self.check_rules(),
            ("all", "wait", ["settled"]) => self.await_settled(),
            (actor, "wait", words) => self.await_members(actor, words),
            (actor, "never", ["verdict", kind]) => {
                self.for_each_member(actor, |member| self.check_no_verdict(member, kind))
            }
            (actor, "never", ["log", ..]) => {
                let pattern = step.words.trim_start_matches("log ");
                self.for_each_member(actor, |member| self.check_not_logged(member, pattern))
            }
            (actor, verb, words) => self.change_members(actor, verb, words),
        }
    }

    // ---- services and routers ----

    fn change_store(&mut self, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        let mut state = self.store.state();
        match (verb, words) {
            ("down", []) => state.down = true,
            ("up", []) => state.down = false,
            ("slots", [count]) => state.slots = parse_number(count)? as usize,
            ("call", [ms]) => state.call_time = parse_milliseconds(ms)?,
            ("away", [ms]) => state.outage = parse_milliseconds(ms)?,
            _ => return Err(ScriptError::UnknownStep),
        }
        Ok(())
    }

    fn change_service_registry(&mut self, verb: &str) -> Result<(), ScriptError> {
        let mut faults = self.proxy.faults();
        match verb {
            "down" => {
                let members = (0..self.members.len()).map(Endpoint::Member);
                faults.blocked.extend(members.map(|member| Direction::new(member, Endpoint::Registry)));
            }
            "up" => faults.blocked.retain(|direction| direction.to != Endpoint::Registry),
            _ => return Err(ScriptError::UnknownStep),
        }
        Ok(())
    }

    fn run_routers_step(&mut self, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        match (verb, words) {
            ("send", [rate]) => {
                self.routers.set_rate(parse_number(rate)?);
                Ok(())
            }
            ("wait", ["served", count]) => {
                let target = self.routers.stats().all().served + parse_number(count)? as u64;
                self.await_routers(|stats| stats.all().served >= target)
            }
            ("wait", ["quiet"]) => self.await_routers(|stats| stats.in_flight == 0),
            _ => Err(ScriptError::UnknownStep),
        }
    }

    fn check_rules(&mut self) -> Result<(), ScriptError> {
        let violations = self.violations();
        if violations.is_empty() { Ok(()) } else { Err(ScriptError::RulesViolated(violations)) }
    }

    // ---- members ----

    /// The members of an actor: `all`, or comma-separated names of members and zones.
    fn members_of(&self, actor: &str) -> Result<Vec<usize>, ScriptError> {
        if actor == "all" {
            return Ok((0..self.members.len()).collect());
        }
        let mut selected = Vec::new();
        for word in actor.split(',') {
            let in_zone = self.members_in_zone(word);
            if in_zone.is_empty() {
                selected.push(self.index_of(word)?);
            } else {
                selected.extend(in_zone);
            }
        }
        Ok(selected)
    }

    fn members_in_zone(&self, zone: &str) -> Vec<usize> {
        (0..self.members.len()).filter(|member| self.members[*member].zone == zone).collect()
    }

    /// Runs the same check for each member of an actor; an error names the member.
    fn for_each_member(
        &self,
        actor: &str,
        check: impl Fn(usize) -> Result<(), ScriptError>,
    ) -> Result<(), ScriptError> {
        for member in self.members_of(actor)? {
            check(member).map_err(|source| ScriptError::Member {
                name: self.members[member].name.clone(),
                source: Box::new(source),
            })?;
        }
        Ok(())
    }

    fn await_members(&self, actor: &str, words: &[&str]) -> Result<(), ScriptError> {
        match words {
            ["verdict", kind, about @ ..] => {
                let about = about.first().copied();
                self.for_each_member(actor, |member| {
                    self.await_view(member, |view| has_verdict(view, kind, about))
                })
            }
            ["no", "verdict", kind] => self.for_each_member(actor, |member| {
                self.await_view(member, |view| !has_verdict(view, kind, None))
            }),
            ["log", words @ ..] => {
                let pattern = words.join(" ");
                self.for_each_member(actor, |member| self.await_log(member, &pattern))
            }
            [other, state] => {
                self.index_of(other)?;
                self.for_each_member(actor, |member| {
                    self.await_view(member, |view| member_state(view, other) == Some(state))
                })
            }
            _ => Err(ScriptError::UnknownStep),
        }
    }

    /// Applies a change to all members of an actor, and only then waits for the changes that take time.
    fn change_members(&mut self, actor: &str, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        let members = self.members_of(actor)?;
        for member in &members {
            self.change_member(*member, verb, words)?;
        }
        members.into_iter().try_for_each(|member| self.finish_change(member, verb))
    }

    fn change_member(&mut self, member_index: usize, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        match (verb, words) {
            ("start", []) => self.start_member(member_index)?,
            ("stop", []) => self.stop_member(member_index)?,
            ("slow", [share]) => self.throttle_member(member_index, parse_number(share)?)?,
            ("engine", words) => self.change_engine(member_index, words)?,
            _ => self.change_process(member_index, verb, words)?,
        }
        Ok(())
    }

    fn change_process(&mut self, member_index: usize, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        let member = &mut self.members[member_index];
        match (verb, words) {
            ("kill", []) => {
                member.stop_throttle();
                member.signal(Signal::KILL)?;
            }
            ("continue", []) => {
                member.signal(Signal::CONT)?;
                member.is_stopped = false;
            }
            ("term", []) => member.signal(Signal::TERM)?,
            ("hup", []) => member.signal(Signal::HUP)?,
            ("clock", [ms]) => {
                parse_number(ms)?;
                std::fs::write(member.files.clock(), ms)?;
            }
            ("wipe", []) => std::fs::remove_dir_all(member.files.directory())?,
            ("named", [name]) => member.configured_name = (*name).to_owned(),
            _ => return Err(ScriptError::UnknownStep),
        }
        Ok(())
    }

    fn change_engine(&mut self, member_index: usize, words: &[&str]) -> Result<(), ScriptError> {
        let mut engine = self.members[member_index].engine.state();
        match words {
            ["down"] => engine.down = true,
            ["up"] => engine.down = false,
            ["chilly", ms] => engine.warm_up = parse_milliseconds(ms)?,
            _ => return Err(ScriptError::UnknownStep),
        }
        Ok(())
    }

    fn stop_member(&mut self, member_index: usize) -> Result<(), ScriptError> {
        self.routers.stats().excused.insert(member_index);
        self.members[member_index].signal(Signal::STOP)?;
        self.members[member_index].is_stopped = true;
        Ok(())
    }

    /// Throttles a member, which runs only in this share of the time; 1 or more ends the throttling.
    fn throttle_member(&mut self, member_index: usize, share: f64) -> Result<(), ScriptError> {
        self.members[member_index].stop_throttle();
        if share < 1.0 {
            self.routers.stats().excused.insert(member_index);
            self.members[member_index].start_throttle(share)?;
        }
        Ok(())
    }

    /// Waits for the exit of a member that was sent SIGKILL or SIGTERM.
    fn finish_change(&mut self, member_index: usize, verb: &str) -> Result<(), ScriptError> {
        if !matches!(verb, "kill" | "term") {
            return Ok(());
        }
        match self.members[member_index].wait_for_exit()? {
            Some(status) if verb == "term" && !status.success() => Err(ScriptError::FailedExit(status)),
            _ => Ok(()),
        }
    }

    // ---- the network ----

    fn change_network(&mut self, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        match (verb, words) {
            ("heal", []) => *self.proxy.faults() = Faults::default(),
            ("loss", [share]) => self.proxy.faults().loss = parse_number(share)?,
            ("twice", [share]) => self.proxy.faults().duplication = parse_number(share)?,
            ("delay", [ms]) => self.proxy.faults().delay_ms = parse_number(ms)? as u64,
            ("deaf", [name, share]) => {
                let (endpoint, share) = (self.endpoint(name)?, parse_number(share)?);
                self.proxy.faults().receive_loss.insert(endpoint, share);
            }
            ("cut", [from, to]) => {
                let direction = Direction::new(self.endpoint(from)?, self.endpoint(to)?);
                self.proxy.faults().blocked.insert(direction);
            }
            ("part", ["zone", zone]) => self.add_partition(&self.members_in_zone(zone)),
            ("part", names) => {
                let members: Result<Vec<usize>, ScriptError> =
                    names.iter().map(|name| self.index_of(name)).collect();
                self.add_partition(&members?);
            }
            _ => return Err(ScriptError::UnknownFault),
        }
        Ok(())
    }

    /// The endpoint with this name in scripts.
    fn endpoint(&self, name: &str) -> Result<Endpoint, ScriptError> {
        Ok(match name {
            "store" => Endpoint::Store,
            "list" => Endpoint::Registry,
            "routers" => Endpoint::Routers,
            _ => Endpoint::Member(self.index_of(name)?),
        })
    }

    /// Moves members into a network partition of their own.
    fn add_partition(&self, members: &[usize]) {
        let mut faults = self.proxy.faults();
        let partition_number = faults.partition.values().max().copied().unwrap_or(0) + 1;
        faults.partition.extend(members.iter().map(|member| (Endpoint::Member(*member), partition_number)));
    }
}

fn parse_number(word: &str) -> Result<f64, ScriptError> {
    word.parse().map_err(|source| ScriptError::InvalidNumber { word: word.to_owned(), source })
}

fn parse_milliseconds(word: &str) -> Result<Duration, ScriptError> {
    Ok(Duration::from_secs_f64(parse_number(word)? / 1000.0))
}
