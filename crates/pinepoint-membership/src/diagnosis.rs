//! Judgement over the single member: has a zone gone in one stroke, is it cut off, is one direction of a link dead, is it I
//! who am cut off, does the whole fleet start anew. It owns the verdicts, their evidence and their hold-down; it must never
//! do I/O, read a clock or change what is known of a member.

use std::collections::{BTreeMap, BTreeSet};

use pinepoint_events::reason_codes;
use serde::Serialize;

use crate::table::{MemberTable, Recovery};

reason_codes! {
    /// What is judged of more than one member.
    VerdictKind {
        /// The members of a zone went in one stroke, and their processes are not there.
        ZoneLost = "zone-lost",
        /// The members of a zone went in one stroke, and some of them were seen alive since.
        ZoneCutOff = "zone-cut-off",
        /// The members of a zone went in one stroke; whether they run is not known.
        ZoneUnreachable = "zone-unreachable",
        /// A member is heard and does not hear me.
        OneWay = "one-way",
        /// I lost most of what I knew at once: it is I who am cut off.
        SelfCutOff = "self-cut-off",
        /// Everybody has started just now.
        FleetStart = "fleet-start",
        /// Another process goes by my name.
        NameClash = "name-clash",
    }
}

impl VerdictKind {
    /// Kinds of one subject: of these one holds at a time, and they flap together.
    fn subject(self) -> VerdictKind {
        match self {
            VerdictKind::ZoneLost | VerdictKind::ZoneCutOff => VerdictKind::ZoneUnreachable,
            kind => kind,
        }
    }
}

impl Serialize for VerdictKind {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(pinepoint_events::ReasonCode::code(*self))
    }
}

/// A judgement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// What is judged.
    pub kind: VerdictKind,
    /// Of whom: a zone, a member, or nothing where it is of this member or the fleet.
    pub of: String,
    /// How sure that is, 0 to 1: the part of the members concerned that bear it out.
    pub confidence: f64,
    /// What it rests on, for people.
    pub evidence: String,
    /// When it was first judged so, Unix ms.
    pub since_ms: f64,
    /// Its evidence is over, and it holds on against flapping.
    pub held: bool,
}

/// The figures of judgement. Times are periods.
#[derive(Clone, Copy, Debug)]
pub struct DiagnosisSettings {
    /// Within so long members go in one stroke.
    pub stroke: f64,
    /// The part of a zone that has to go in it.
    pub part: f64,
    /// While this part of it has not come back the zone is gone still.
    pub still: f64,
    /// Fewer members than this are no zone and no fleet.
    pub least: usize,
    /// A verdict holds at least so long once it is made. If it is made again within `memory` after it ended, it holds for
    /// that long after its evidence is over too, then for three times and for seven times as long: what flaps is held, as
    /// routes are (RFC 2439), so that its changes become rare and its being made is never late.
    pub hold: f64,
    /// See above.
    pub memory: f64,
    /// A fleet that starts anew does so within this time.
    pub young: f64,
    /// So long nobody is heard by one that is cut off.
    pub silent: f64,
}

impl Default for DiagnosisSettings {
    fn default() -> Self {
        DiagnosisSettings {
            stroke: 12.0,
            part: 0.8,
            still: 0.5,
            least: 2,
            hold: 10.0,
            memory: 160.0,
            young: 60.0,
            silent: 4.0,
        }
    }
}

/// Most doublings of a verdict's least time.
const DOUBLINGS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct HoldDown {
    since_ms: f64,
    seen_ms: f64,
    /// How often it was made again soon after it had ended.
    flaps: u32,
}

/// Makes and keeps verdicts.
#[derive(Clone, Debug)]
pub struct DiagnosisEngine {
    rules: DiagnosisSettings,
    period_ms: f64,
    verdicts: BTreeMap<(VerdictKind, String), (Verdict, HoldDown)>,
    /// Verdicts that ended of late: when, and how often they had flapped. By subject.
    ended: BTreeMap<(VerdictKind, String), (f64, u32)>,
    /// Zones that went in one stroke and when, till their members are back.
    gone: BTreeMap<String, f64>,
    /// When those went that make this member cut off, while it is.
    cut_ms: Option<f64>,
    /// Somebody was there long before this member, or left in order: the fleet did not start with it.
    elder: bool,
}

/// A change of a verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictChange {
    /// The verdict.
    pub verdict: Verdict,
    /// It holds from now on, or no longer.
    pub holds: bool,
}

/// What the judge is told of this member itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalObservation<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// How long it runs, ms.
    pub up_ms: f64,
    /// It was stopped or starved of late: what it holds of others is not worth a verdict.
    pub in_trouble: bool,
    /// Questions in a row that nobody answered.
    pub unanswered: u32,
    /// How much its own trouble stretches its waits, from 1: what goes at once is seen to go over so much longer.
    pub stretch: f64,
    /// Members that did not answer it directly, twice or more in a row.
    pub dubious: &'a BTreeSet<u64>,
}

struct ZoneTally<'a> {
    members: &'a BTreeSet<u64>,
    /// Members that are, or were until the stroke, there.
    all: usize,
    /// Of these, not answering since the stroke began.
    gone: usize,
    refused: usize,
    heard: usize,
    first_gone_ms: f64,
}

impl DiagnosisEngine {
    /// No verdicts yet.
    pub fn new(rules: DiagnosisSettings, period_ms: f64) -> Self {
        DiagnosisEngine {
            rules,
            period_ms,
            verdicts: BTreeMap::new(),
            ended: BTreeMap::new(),
            gone: BTreeMap::new(),
            cut_ms: None,
            elder: false,
        }
    }

    /// The verdicts that hold.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.values().map(|(verdict, _)| verdict)
    }

    /// Whether one of this kind holds, of anybody.
    pub fn holds(&self, kind: VerdictKind) -> bool {
        self.verdicts.keys().any(|(of, _)| *of == kind)
    }

    /// Notes a clash of names, which is seen by a message and not by the table.
    pub fn clash(&mut self, now: f64, with: &str, out: &mut Vec<VerdictChange>) {
        let evidence = format!("a message came from another process of this name at {with}");
        self.see(now, VerdictKind::NameClash, with.to_owned(), 1.0, evidence, out);
    }

    /// Judges the table as it is now. To be called once a period.
    pub fn judge(
        &mut self,
        now: f64,
        own: LocalObservation<'_>,
        table: &MemberTable,
        out: &mut Vec<VerdictChange>,
    ) {
        let window = self.rules.stroke * self.period_ms * own.stretch;
        // Where all answer there is nothing to judge, however large the fleet.
        let all_well =
            table.down().is_empty() && own.unanswered < 2 && self.gone.is_empty() && self.cut_ms.is_none();
        if !own.in_trouble {
            if !all_well {
                self.judge_zones(now, window, own, table, out);
            }
            self.judge_links(now, own, table, out);
        }
        self.judge_start(now, own, table, out);
        self.end(now, own.in_trouble, out);
    }

    /// Ends what has held for its time and is not seen any more.
    fn end(&mut self, now: f64, in_trouble: bool, out: &mut Vec<VerdictChange>) {
        let memory = self.rules.memory * self.period_ms;
        self.ended.retain(|_, (at, _)| now - *at < memory);
        let mut over = Vec::new();
        for (key, (verdict, held)) in &mut self.verdicts {
            verdict.held = held.seen_ms < now;
            let hold = self.rules.hold * self.period_ms;
            let after = hold * f64::from((1_u32 << held.flaps.min(DOUBLINGS)) - 1);
            let unseen = now - held.seen_ms >= after.max(2.0 * self.period_ms);
            // One that was stopped has not looked.
            if unseen && now - held.since_ms >= hold && !in_trouble {
                over.push(key.clone());
            }
        }
        for (kind, of) in over {
            self.drop_verdict(now, kind, &of, out);
        }
    }

    fn drop_verdict(&mut self, now: f64, kind: VerdictKind, of: &str, out: &mut Vec<VerdictChange>) {
        if let Some((verdict, held)) = self.verdicts.remove(&(kind, of.to_owned())) {
            self.ended.insert((kind.subject(), of.to_owned()), (now, held.flaps));
            out.push(VerdictChange { verdict, holds: false });
        }
    }

    fn judge_zones(
        &mut self,
        now: f64,
        window: f64,
        own: LocalObservation<'_>,
        table: &MemberTable,
        out: &mut Vec<VerdictChange>,
    ) {
        let mut zones: BTreeMap<&str, ZoneTally<'_>> = BTreeMap::new();
        for (name, members) in table.zones() {
            let all = members.len();
            let zone =
                ZoneTally { members, all, gone: 0, refused: 0, heard: 0, first_gone_ms: f64::INFINITY };
            zones.insert(name, zone);
        }
        // Only those that do not answer are looked at one by one.
        for member in table.down().iter().filter_map(|key| table.get(*key)) {
            let name = member.record.identity.zone.as_str();
            let Some(zone) = zones.get_mut(name) else { continue };
            // What comes as lost by news alone is what one held who was cut off, till those it speaks of refute it: it
            // counts once it has stood.
            let pause = if member.lost_by_gossip { self.rules.stroke * self.period_ms } else { 0.0 };
            let since_ms = member.since_ms + pause;
            if since_ms > now {
                continue;
            }
            let anchor = self.cut_ms.or_else(|| self.gone.get(name).copied());
            // Who was lost long before the stroke is no part of it.
            if since_ms < anchor.unwrap_or(now) - window {
                zone.all -= 1;
                continue;
            }
            zone.gone += 1;
            zone.first_gone_ms = zone.first_gone_ms.min(since_ms);
            zone.refused += usize::from(member.refused);
            // Heard after it was held lost: it runs, and hears nothing of mine.
            zone.heard += usize::from(member.heard_ms > member.since_ms);
        }
        let sum = |of: fn(&ZoneTally<'_>) -> usize| zones.values().map(of).sum::<usize>();
        let (all, gone, refused) = (sum(|zone| zone.all), sum(|zone| zone.gone), sum(|zone| zone.refused));
        let part = |n: usize, of: usize| n as f64 / of.max(1) as f64;
        // Most of the fleet at once, and it is not known to be down: the trouble is here. Or nobody is heard at all.
        let silent = now - table.heard_ms();
        let is_deaf =
            silent.is_finite() && silent >= self.rules.silent * self.period_ms && own.unanswered >= 2;
        let most = 2 * gone > all + 1 && 2 * refused < gone;
        let cut_off = all > self.rules.least && (is_deaf || most);
        if !cut_off {
            self.cut_ms = None;
        } else {
            let first = zones.values().map(|zone| zone.first_gone_ms).fold(now, f64::min);
            self.cut_ms.get_or_insert(first);
            let evidence = if is_deaf {
                format!(
                    "nobody of {all} members heard for {silent:.0} ms, {} questions unanswered",
                    own.unanswered
                )
            } else {
                format!("{gone} of {all} members stopped answering within {window:.0} ms")
            };
            let sure = if is_deaf { 1.0 } else { part(gone, all) };
            self.see(now, VerdictKind::SelfCutOff, String::new(), sure, evidence, out);
        }
        let answering = all - gone;
        self.gone.retain(|name, _| zones.contains_key(name.as_str()));
        for (name, zone) in &zones {
            if cut_off {
                // It is I who am cut off: what was said of zones was wrong.
                self.gone.remove(*name);
                self.withdraw(now, name, out);
                continue;
            }
            let needed = if self.gone.contains_key(*name) { self.rules.still } else { self.rules.part };
            let stroke = zone.all >= self.rules.least && part(zone.gone, zone.all) >= needed;
            if !stroke || *name == own.zone || answering == 0 || name.is_empty() {
                self.gone.remove(*name);
                continue;
            }
            let since = *self.gone.entry((*name).to_owned()).or_insert(zone.first_gone_ms);
            let anew = |key: &&u64| {
                let back = |m: &crate::table::MemberState| {
                    m.recovery == Recovery::NewGeneration && m.recovered_ms >= since
                };
                table.get(**key).is_some_and(back)
            };
            let restarted = zone.members.iter().filter(anew).count();
            let ZoneTally { all, gone, refused, heard, .. } = *zone;
            let found = if heard > 0 {
                VerdictKind::ZoneCutOff
            } else if 2 * refused >= gone || restarted > 0 {
                VerdictKind::ZoneLost
            } else {
                VerdictKind::ZoneUnreachable
            };
            let evidence = format!(
                "{gone} of {all} stopped answering; of these {refused} have nobody listening, {heard} were heard since, \
                 {restarted} came back with a new start"
            );
            // A better founded verdict takes the place of a poorer one about the same zone, and not the other way.
            let known = [VerdictKind::ZoneLost, VerdictKind::ZoneCutOff]
                .into_iter()
                .find(|kind| self.verdicts.contains_key(&(*kind, (*name).to_owned())));
            let kind = if found == VerdictKind::ZoneUnreachable { known.unwrap_or(found) } else { found };
            self.see(now, kind, (*name).to_owned(), part(gone, all), evidence, out);
        }
    }

    /// Ends the verdicts about a zone.
    fn withdraw(&mut self, now: f64, zone: &str, out: &mut Vec<VerdictChange>) {
        for kind in [VerdictKind::ZoneUnreachable, VerdictKind::ZoneLost, VerdictKind::ZoneCutOff] {
            self.drop_verdict(now, kind, zone, out);
        }
    }

    fn judge_links(
        &mut self,
        now: f64,
        own: LocalObservation<'_>,
        table: &MemberTable,
        out: &mut Vec<VerdictChange>,
    ) {
        let lately = 4.0 * self.period_ms;
        for member in own.dubious.iter().filter_map(|key| table.get(*key)) {
            let heard = now - member.heard_ms < lately;
            if member.unanswered >= 2 && heard && member.record.is_up() {
                let name = member.record.identity.name.clone();
                let evidence = format!(
                    "heard {:.0} ms ago, {} questions unanswered",
                    now - member.heard_ms,
                    member.unanswered
                );
                self.see(
                    now,
                    VerdictKind::OneWay,
                    name,
                    1.0 - 0.5_f64.powi(member.unanswered as i32),
                    evidence,
                    out,
                );
            }
        }
    }

    fn judge_start(
        &mut self,
        now: f64,
        own: LocalObservation<'_>,
        table: &MemberTable,
        out: &mut Vec<VerdictChange>,
    ) {
        let young_ms = self.rules.young * self.period_ms;
        if self.elder || own.up_ms > 2.0 * young_ms {
            return;
        }
        let (n, first_began_ms) = table.heard();
        let elder = table.seen_leave() || (now - own.up_ms) - first_began_ms > young_ms;
        self.elder = elder;
        if !elder && n >= self.rules.least && own.up_ms < young_ms {
            let evidence = format!(
                "none of {n} members heard started over {young_ms:.0} ms before me, and none has left"
            );
            self.see(now, VerdictKind::FleetStart, String::new(), n as f64 / (n as f64 + 1.0), evidence, out);
        }
    }

    fn see(
        &mut self,
        now: f64,
        kind: VerdictKind,
        of: String,
        confidence: f64,
        evidence: String,
        out: &mut Vec<VerdictChange>,
    ) {
        if let Some((verdict, held)) = self.verdicts.get_mut(&(kind, of.clone())) {
            (verdict.confidence, verdict.evidence, held.seen_ms) = (confidence, evidence, now);
            return;
        }
        let verdict = Verdict { kind, of: of.clone(), confidence, evidence, since_ms: now, held: false };
        // Another of the same subject gives way, which is no flap.
        let subject = |key: &(VerdictKind, String)| key.0.subject() == kind.subject() && key.1 == of;
        let other = self.verdicts.keys().find(|key| subject(key)).cloned();
        let flaps = if let Some((verdict, held)) = other.and_then(|key| self.verdicts.remove(&key)) {
            out.push(VerdictChange { verdict, holds: false });
            held.flaps
        } else {
            let ended = self.ended.remove(&(kind.subject(), of.clone()));
            ended.map_or(0, |(_, flaps)| (flaps + 1).min(DOUBLINGS))
        };
        out.push(VerdictChange { verdict: verdict.clone(), holds: true });
        self.verdicts.insert((kind, of), (verdict, HoldDown { since_ms: now, seen_ms: now, flaps }));
    }
}
