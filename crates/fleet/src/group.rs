//! One node's part in its fleet: its seat, if it has one, what it knows of what was agreed, and what it is to do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nanorand::{Rng, WyRand};
use serde::Serialize;

use crate::charter::{Charter, UnitName};
use crate::engine::{Decided, Letter, TICK_MS, Voter};
use crate::hosts::{Emptying, HostWatch, Listing};
use crate::member::Member;
use crate::message::{Beat, Chair, Echo, Envelope, Fact, Message, News, Reach, Told, Witness};
use crate::plant::{Plant, planted};
use crate::state::{Answer, AskId, Cause, Command, Entry, Incarnation, Life, Permit, Seat, State};
use crate::steward::{Heard, Steward};
use crate::{Key, Moment, Saved, Write, bytes};

/// What a node starts with.
pub struct Setup {
    pub name: UnitName,
    pub charter: Charter,
    pub life: Life,
    pub seed: u64,
    /// The build or settings that it runs.
    pub version: String,
    /// What its store holds, if it has one.
    pub saved: Option<Saved>,
    /// The store had something that could not be read.
    pub spoilt: bool,
    /// An epoch ends with so many entries: [`LONGEST_LOG`] but where many epochs are to be seen soon.
    pub longest_log: usize,
}

/// What the node says of itself; counts are totals of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// It takes clients, and nothing of the fleet's keeps it from that.
    pub serving: bool,
    /// It was told to go out, and holds nothing any more.
    pub drained: bool,
    pub calls: u64,
    pub failed: u64,
    pub busy: u64,
    pub waiting: u32,
    pub hosts_down: u32,
    /// Connections and attempts at hosts that are to be kept away from, where there are any.
    pub holds: Vec<(UnitName, u32)>,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    Send(UnitName, Box<Envelope>),
    /// To be on disk whole before [`Fleet::written`] is told this number. Never two at once.
    Write(u64, Vec<Write>),
    /// Send the clients away.
    GoOut {
        permit: Permit,
        cause: Cause,
    },
    /// Take clients again.
    Return,
    /// Open nothing new at these hosts and use all others; of what stands there one connection goes in so many ms.
    KeepFrom {
        hosts: BTreeSet<UnitName>,
        every_ms: u64,
    },
    /// End this process; whoever supervises it is to start that version.
    Leave {
        version: String,
    },
    /// What an operator is to hear.
    Answer(AskId, Seen),
    /// For the log.
    Note(String),
}

/// What became of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    Answered(Answer),
    /// Nothing was decided in time; it may still be. The same question may be asked again.
    Unknown,
}

pub(crate) enum Input {
    Letter(Letter),
    Propose(Entry),
    Reconnected(u64),
    Reseat(Vec<Seat>),
    Tick,
}

struct Question {
    command: Command,
    since: Moment,
    said: Option<Moment>,
}

/// What waits for the disk.
enum Pending {
    Opened,
    Step(Vec<Letter>),
    Sit(u64),
    Forget,
}

struct Disk {
    saved: Saved,
    batch: u64,
    /// On disk for good.
    stamp: u64,
    pending: Option<(u64, u64, Pending)>,
    /// Written with the next batch that has to wait anyway.
    lazy: Vec<Write>,
}

/// Entries of one epoch: a voter that takes them anew is told a few hundred KiB.
pub const LONGEST_LOG: usize = 2_000;

/// A node says so much to a voter once in this time.
pub const BEAT_MS: u64 = 1_000;

/// A question goes out again after this, and is given up after that: operators hear something within a second.
const ASK_AGAIN_MS: u64 = 250;
const ASK_ENDS_MS: u64 = 900;

/// Facts kept to be told to those who are a little behind.
const RECENT: usize = 512;

/// Inputs that wait for the disk; a disk that stalls for longer loses letters, as a link would.
const INPUTS: usize = 4_096;

/// A fresh voter waits so long for the others to be fresh too before it takes the group for founded without it.
const FOUNDING_MS: u64 = 5_000;

pub struct Fleet {
    pub(crate) name: UnitName,
    pub(crate) charter: Charter,
    pub(crate) life: Life,
    version: String,
    chance: WyRand,
    pub(crate) now: Moment,
    pub(crate) facts: Facts,
    pub(crate) actions: Vec<Action>,
    pub(crate) state: State,
    recent: VecDeque<Fact>,
    leader: Option<(UnitName, Moment)>,
    /// When each voter last answered, and the moment that it named.
    pub(crate) told_at: BTreeMap<UnitName, Moment>,
    echoes: BTreeMap<UnitName, Echo>,
    disk: Option<Disk>,
    incarnation: Incarnation,
    chair: Chair,
    voter: Option<Voter>,
    /// Up to where the seat's log has been taken in; what is behind the state came from others.
    log_at: u64,
    inputs: VecDeque<Input>,
    /// What voters were heard to have on disk.
    witnessed: BTreeMap<UnitName, Witness>,
    /// Voters that were heard to be fresh in this life of ours, and that say there is a group.
    fresh: BTreeSet<UnitName>,
    founded_elsewhere: Option<Moment>,
    /// An operator has said that this disk is whole, whoever is missing.
    trusted: bool,
    /// Voters that know nothing better of our seat than our disk does.
    vouched: BTreeSet<UnitName>,
    pub(crate) heard: BTreeMap<UnitName, Heard>,
    pub(crate) steward: Steward,
    pub(crate) member: Member,
    pub(crate) listing: Listing,
    pub(crate) host_watch: HostWatch,
    /// What the node was told last of hosts to keep away from.
    pub(crate) eased: Option<(BTreeSet<UnitName>, u64)>,
    /// What it counts was counted since.
    pub(crate) holds_count: bool,
    questions: BTreeMap<AskId, Question>,
    next_beat: Moment,
    next_tick: Moment,
    asked_around: usize,
    pub(crate) longest_log: usize,
    /// How far a leader has said that the log goes, since this process began.
    leader_said: Option<u64>,
    leader_at: Option<Moment>,
}

/// What may be shown of the fleet, as this node knows it.
#[derive(Clone, Debug, Serialize)]
pub struct View<'a> {
    pub name: &'a UnitName,
    pub version: &'a str,
    pub leader: Option<&'a UnitName>,
    pub leads: bool,
    pub chair: String,
    pub epoch: u32,
    pub applied: u64,
    /// Voters that answered within the last seconds, and those that did not.
    pub hears: Vec<&'a UnitName>,
    pub misses: Vec<&'a UnitName>,
    /// Names that two living processes give.
    pub doubled: Vec<&'a UnitName>,
    /// Hosts that are to be empty, and who holds what there; known to the leader alone.
    pub emptying: Vec<Emptying<'a>>,
    pub state: &'a State,
}

impl Fleet {
    pub fn new(setup: Setup, now: Moment) -> Fleet {
        let Setup { name, charter, life, seed, version, saved, spoilt, longest_log } = setup;
        let mut state = State::before_founding(&charter.voters);
        let mut fleet = Fleet {
            name,
            life,
            version,
            chance: WyRand::new_seed(seed),
            now,
            facts: Facts::default(),
            actions: Vec::new(),
            recent: VecDeque::new(),
            leader: None,
            told_at: BTreeMap::new(),
            echoes: BTreeMap::new(),
            disk: None,
            incarnation: Incarnation(0),
            chair: Chair::None,
            voter: None,
            log_at: 0,
            inputs: VecDeque::new(),
            witnessed: BTreeMap::new(),
            fresh: BTreeSet::new(),
            founded_elsewhere: None,
            trusted: false,
            vouched: BTreeSet::new(),
            heard: BTreeMap::new(),
            steward: Steward::default(),
            member: Member::default(),
            listing: Listing::default(),
            host_watch: HostWatch::default(),
            eased: None,
            holds_count: false,
            questions: BTreeMap::new(),
            next_beat: now,
            next_tick: now,
            asked_around: 0,
            longest_log,
            leader_said: None,
            leader_at: None,
            state: state.clone(),
            charter,
        };
        if let Some(saved) = saved {
            let seat: Option<u64> = saved.value(Key::Seat);
            let base: Option<State> = saved.value(Key::Base);
            // Danger: a log with a hole, or shorter than what is decided, would be taken for a short one.
            let decided = saved.value::<usize>(Key::Decided).unwrap_or(0);
            let whole = saved.log.len() >= decided
                && saved.log.iter().all(|entry| postcard::from_bytes::<Entry>(entry).is_ok());
            fleet.chair = match (seat, base) {
                (Some(seat), Some(base)) if whole && !spoilt => {
                    state = base;
                    Chair::Asks(seat)
                }
                (Some(_), _) => Chair::Forgot,
                _ if spoilt => Chair::Forgot,
                _ => Chair::Fresh,
            };
            fleet.state = state;
            fleet.witnessed = saved.value(Key::Witness).unwrap_or_default();
            fleet.incarnation = Incarnation(saved.value::<u64>(Key::Incarnation).unwrap_or(0) + 1);
            let stamp = saved.value(Key::Stamp).unwrap_or(0);
            fleet.disk = Some(Disk { saved, batch: 0, stamp, pending: None, lazy: Vec::new() });
            let writes = vec![Write::Put(Key::Incarnation, bytes(&fleet.incarnation.0))];
            fleet.write(writes, Pending::Opened);
        }
        fleet
    }

    // What happened.

    /// To be told at least ten times a second.
    pub fn tick(&mut self, now: Moment, facts: Facts) {
        self.now = now;
        if facts.drained != self.facts.drained || facts.serving != self.facts.serving {
            self.next_beat = now;
        }
        self.facts = facts;
        self.holds_count = self.eased.is_some();
        self.member.note(now, &self.facts);
        if now >= self.next_tick {
            // Ticks that a stopped process has missed are gone.
            self.next_tick = now.plus_ms(TICK_MS);
            self.take_chair();
            if self.voter.is_some() {
                self.input(Input::Tick);
            }
            self.look_after();
            self.follow();
            self.follow_hosts();
            self.ask_on();
        }
        if now >= self.next_beat {
            self.beat();
        }
        self.work();
    }

    /// A link to or from this peer has come up; what was under way may be lost.
    pub fn linked(&mut self, now: Moment, peer: &UnitName) {
        self.now = now;
        if let Some(seat) = self.state.seat_of(peer).map(|seat| seat.number)
            && self.voter.as_ref().is_some_and(|voter| voter.seat != seat)
        {
            self.input(Input::Reconnected(seat));
            self.work();
        }
    }

    pub fn heard(&mut self, now: Moment, from: &UnitName, envelope: Envelope) {
        self.now = now;
        if let Some(witness) = envelope.witness {
            let known = self.witnessed.entry(from.clone()).or_default();
            *known = witness.max(*known);
        }
        match envelope.message {
            Message::Beat(beat) => self.take_beat(from, beat),
            Message::Told(told) => self.take_told(from, told),
            Message::Ask { id, command } => self.take_ask(from, id, command),
            Message::Engine { epoch, letter } => {
                let of = |number: u64| self.state.seats.iter().find(|seat| seat.number == number);
                // Danger: a letter of another epoch, or by another than its seat's holder, is no vote.
                let sender = of(letter.get_sender()).is_some_and(|seat| seat.name == *from);
                let mine = self.voter.as_ref().is_some_and(|voter| voter.seat == letter.get_receiver());
                if epoch == self.state.epoch && sender && mine {
                    self.input(Input::Letter(letter));
                }
            }
            Message::Nudge => {
                if let Some(seat) = self.state.seat_of(from).map(|seat| seat.number) {
                    self.input(Input::Reconnected(seat));
                }
            }
            Message::Witnessed => {}
            Message::Seek(echo, names) => self.sought(from, echo, &names),
            Message::Found(echo, found) => {
                // It was there so long before the other answered, and that was after we had asked.
                let Some(asked) = self.proved(Some(echo)) else { return };
                for (name, beat, ago) in found {
                    let at = Moment(asked.0.saturating_sub(ago * 1_000_000));
                    let known = self.heard.remove(&name);
                    let newer = known.as_ref().is_none_or(|known| at > known.at);
                    let heard = match known {
                        Some(known) if !newer => known,
                        known => Heard::take(known, beat, Some(at), now, false),
                    };
                    self.heard.insert(name, heard);
                }
            }
        }
        self.work();
    }

    /// That batch is on disk for good.
    pub fn written(&mut self, now: Moment, batch: u64) {
        self.now = now;
        let Some(disk) = &mut self.disk else { return };
        let Some((_, stamp, pending)) = disk.pending.take_if(|(of, _, _)| *of == batch) else { return };
        disk.stamp = stamp;
        match pending {
            Pending::Opened => {}
            Pending::Step(letters) => {
                // All voters are to know what this one has acknowledged, not only the one that it is for.
                for seat in self.state.seats.clone() {
                    let addressed = letters.iter().any(|letter| letter.get_receiver() == seat.number);
                    if seat.name != self.name && !addressed {
                        self.send(&seat.name, Message::Witnessed);
                    }
                }
                self.let_out(letters);
            }
            Pending::Sit(seat) => self.sit(seat),
            Pending::Forget => self.chair = Chair::Forgot,
        }
        self.work();
    }

    /// The store has failed and counts as dead: this node votes no more until it is started anew.
    pub fn disk_died(&mut self, now: Moment, why: &str) {
        self.now = now;
        (self.disk, self.voter, self.chair) = (None, None, Chair::None);
        self.inputs.clear();
        self.steward = Steward::default();
        self.note(format!("the store counts as dead, this node gives up its vote: {why}"));
    }

    /// An operator's question or order; the answer comes as an action within a second.
    pub fn ask(&mut self, now: Moment, id: AskId, command: Command) {
        self.now = now;
        if let Some(answer) = self.state.answer(&id) {
            let answer = Seen::Answered(answer.clone());
            return self.actions.push(Action::Answer(id, answer));
        }
        self.questions.insert(id, Question { command, since: now, said: None });
        self.ask_on();
        self.work();
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// An operator vouches for this node's disk: it sits without waiting for voters that are gone for good. Nothing
    /// helps if the disk had forgotten something after all. Whether there was anything to wait for.
    pub fn trust(&mut self, now: Moment) -> bool {
        self.now = now;
        self.trusted = matches!(self.chair, Chair::Asks(_));
        self.trusted
    }

    // What is known.

    pub fn state(&self) -> &State {
        &self.state
    }

    /// Those that this node is to be linked to: all voters, and whoever holds a seat.
    pub fn voters(&self) -> BTreeSet<UnitName> {
        let seated = self.state.seats.iter().map(|seat| &seat.name);
        self.charter.voters.iter().chain(seated).filter(|name| **name != self.name).cloned().collect()
    }

    /// It has taken in all that a leader has told it of. Danger: a process that has just begun knows the log as its own
    /// disk has it, and would do what has long been undone.
    pub fn is_current(&self) -> bool {
        let told = self.leader_said.is_some_and(|applied| self.state.applied >= applied);
        self.state.charter.is_some() && (told || self.leads())
    }

    /// A leader that a majority hears has said so of late, and all that it told of is known here.
    pub fn hears_leader(&self) -> bool {
        let told = self.leader_at.is_some_and(|at| self.now.ms_since(at) < crate::member::HEARS_MS);
        self.is_current() && if self.leads() { self.hears_majority() } else { told }
    }

    pub fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// Under which permit this process is out.
    pub fn is_out(&self) -> Option<(Permit, Cause)> {
        self.member.out
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn chair(&self) -> Chair {
        self.chair
    }

    pub(crate) fn has_undecided(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::has_undecided)
    }

    pub(crate) fn sitting_log_length(&self) -> usize {
        self.voter.as_ref().map_or(0, Voter::log_length)
    }

    pub fn view(&self) -> View<'_> {
        let (hears, misses) = self.state.seats.iter().map(|seat| &seat.name).partition(|name| {
            let told =
                self.told_at.get(name).is_some_and(|at| self.now.ms_since(*at) < crate::member::HEARS_MS);
            **name == self.name || told
        });
        View {
            name: &self.name,
            version: &self.version,
            leader: self.leader(),
            leads: self.leads(),
            chair: format!("{:?}", self.chair).to_lowercase(),
            epoch: self.state.epoch,
            applied: self.state.applied,
            hears,
            misses,
            doubled: self.heard.iter().filter(|(_, of)| of.doubled.is_some()).map(|(name, _)| name).collect(),
            emptying: self.emptying(),
            state: &self.state,
        }
    }

    fn leader(&self) -> Option<&UnitName> {
        if self.leads() {
            return Some(&self.name);
        }
        if let Some(leader) = self.voter.as_ref().and_then(Voter::leader) {
            return self.state.seats.iter().find(|seat| seat.number == leader).map(|seat| &seat.name);
        }
        self.leader.as_ref().filter(|(_, at)| self.now.ms_since(*at) < 3 * BEAT_MS).map(|(name, _)| name)
    }

    fn reach(&self) -> Reach {
        Reach { epoch: self.state.epoch, applied: self.state.applied }
    }

    // Sending.

    pub(crate) fn note(&mut self, text: String) {
        self.actions.push(Action::Note(text));
    }

    pub(crate) fn send(&mut self, to: &UnitName, message: Message) {
        let seat = match self.chair {
            Chair::Sits(seat) | Chair::Asks(seat) => Some(seat),
            _ => None,
        };
        let stamp = self.disk.as_ref().map(|disk| disk.stamp);
        let witness = seat.zip(stamp).map(|(seat, stamp)| Witness { seat, stamp });
        self.actions.push(Action::Send(to.clone(), Box::new(Envelope { witness, message })));
    }

    fn own_beat(&self) -> Beat {
        Beat {
            life: self.life,
            have: self.reach(),
            serving: self.facts.serving,
            out: self.member.out.map(|(permit, _)| permit),
            version: self.version.clone(),
            rates: self.member.rates(&self.facts),
            holds: (self.holds_count && self.is_current()).then(|| self.facts.holds.clone()),
            chair: self.chair,
            incarnation: self.incarnation,
            echo: None,
        }
    }

    /// Now, to be said back.
    pub(crate) fn echo(&self) -> Echo {
        Echo { life: self.life, at: self.now.0 }
    }

    /// The moment that an echo of ours names.
    fn proved(&self, echo: Option<Echo>) -> Option<Moment> {
        echo.filter(|echo| echo.life == self.life).map(|echo| Moment(echo.at))
    }

    fn beat(&mut self) {
        // Jittered by a tenth: a fleet started at once must not speak at once for ever.
        let jitter = self.chance.generate_range(0..BEAT_MS / 10);
        self.next_beat = self.now.plus_ms(BEAT_MS - jitter);
        let beat = self.own_beat();
        for voter in self.voters() {
            let beat = Beat { echo: self.echoes.get(&voter).copied(), ..beat.clone() };
            self.send(&voter, Message::Beat(beat));
        }
        if self.voter.is_some() {
            let known = self.heard.remove(&self.name);
            self.heard.insert(self.name.clone(), Heard::take(known, beat, Some(self.now), self.now, true));
        }
    }

    fn news_for(&self, have: Reach) -> News {
        if self.state.charter.is_none() || have.applied >= self.state.applied {
            return News::None;
        }
        // What came before the epoch's start is no entry of its log: a voter that has fallen behind enters it whole.
        // Whoever has nothing starts from the group's beginnings, not from those that its own file names.
        if have.epoch < self.state.epoch || have.applied == 0 {
            return News::Whole(Box::new(self.state.clone()));
        }
        let behind = (self.state.applied - have.applied) as usize;
        if behind <= self.recent.len() {
            let facts = self.recent.iter().skip(self.recent.len() - behind).cloned().collect();
            return News::Since(have, facts);
        }
        News::Whole(Box::new(self.state.clone()))
    }

    fn tell(&mut self, to: &UnitName, news: News) {
        let told = Told {
            echo: self.echo(),
            leader: self.leader().cloned(),
            news,
            applied: self.state.applied,
            of_you: self.witnessed.get(to).copied(),
            founded: matches!(self.chair, Chair::Sits(_) | Chair::Asks(_) | Chair::Forgot),
            chair: self.chair,
        };
        self.send(to, Message::Told(told));
    }

    /// Says something to whoever leads, or to a voter that may know.
    pub(crate) fn submit(&mut self, id: Option<AskId>, command: Command) {
        if self.leads() {
            return self.propose(Entry { id, command });
        }
        let to = self.leader().filter(|leader| **leader != self.name).cloned().or_else(|| {
            let voters: Vec<UnitName> = self.voters().into_iter().collect();
            self.asked_around += 1;
            voters.get(self.asked_around % voters.len().max(1)).cloned()
        });
        if let Some(to) = to {
            self.send(&to, Message::Ask { id, command });
        }
    }

    /// What the leader says by itself.
    pub(crate) fn propose_own(&mut self, command: Command) {
        self.input(Input::Propose(Entry { id: None, command }));
    }

    fn propose(&mut self, entry: Entry) {
        // Danger: a leader that has just begun does not know yet who was lost meanwhile. Whoever asked asks again.
        if matches!(entry.command, Command::Drain { .. }) && !self.may_grant() {
            return;
        }
        // Danger: after a loss of all voters the halt is not in the log yet, and a begin that comes before it would count.
        if matches!(entry.command, Command::Begin { .. }) && !self.has_reigned() {
            return;
        }
        // Danger: while its list stands still a deploy may be under way there that nobody counts.
        if let Command::Drain { unit } = &entry.command
            && self.state.hosts.contains_key(unit)
            && !self.may_hold_hosts()
        {
            return;
        }
        // Danger: an order that waits for a majority would be carried out when there is one again, long after its
        // operator was told that nothing had been decided.
        if entry.id.is_some() && !self.hears_majority() {
            return;
        }
        self.input(Input::Propose(entry));
    }

    /// A majority of the voters has answered this one of late, itself counted.
    pub(crate) fn hears_majority(&self) -> bool {
        let answers = |seat: &&Seat| {
            let told = self.told_at.get(&seat.name);
            seat.name == self.name || told.is_some_and(|at| self.now.ms_since(*at) < 2 * BEAT_MS)
        };
        self.state.seats.iter().filter(answers).count() * 2 > self.state.seats.len()
    }

    fn ask_on(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        self.questions.retain(|id, question| {
            if now.ms_since(question.since) >= ASK_ENDS_MS {
                self.actions.push(Action::Answer(id.clone(), Seen::Unknown));
                return false;
            }
            if question.said.is_none_or(|at| now.ms_since(at) >= ASK_AGAIN_MS) {
                question.said = Some(now);
                again.push((id.clone(), question.command.clone()));
            }
            true
        });
        for (id, command) in again {
            self.submit(Some(id), command);
        }
    }

    // Hearing.

    fn take_beat(&mut self, from: &UnitName, beat: Beat) {
        let have = beat.have;
        if beat.chair == Chair::Fresh {
            self.fresh.insert(from.clone());
        }
        let known = self.heard.remove(from);
        let doubled = known.as_ref().and_then(|known| known.doubled);
        let proved = self.proved(beat.echo);
        let heard = Heard::take(known, beat, proved, self.now, true);
        if heard.doubled.is_some() && doubled.is_none() {
            self.note(format!("two living processes give the name {from}"));
        }
        self.heard.insert(from.clone(), heard);
        let news = self.news_for(have);
        self.tell(from, news);
    }

    fn take_ask(&mut self, from: &UnitName, id: Option<AskId>, command: Command) {
        // Danger: what only a leader may propose would end an epoch, or call a unit back, on another's word.
        if command.is_the_leaders() {
            return;
        }
        if self.leads() {
            return self.propose(Entry { id, command });
        }
        // Danger: two voters that take each other for the leader would pass it to and fro for ever.
        let from_voter = self.state.seat_of(from).is_some();
        if let Some(leader) = self.leader().cloned().filter(|leader| !from_voter && *leader != self.name) {
            self.send(&leader, Message::Ask { id, command });
        }
    }

    fn take_told(&mut self, from: &UnitName, told: Told) {
        self.told_at.insert(from.clone(), self.now);
        if self.echoes.insert(from.clone(), told.echo).is_none_or(|known| known.life != told.echo.life) {
            // The next beat is the first that proves anything to it.
            self.next_beat = self.now;
        }
        if told.leader.as_ref() == Some(from) {
            self.leader_said = self.leader_said.max(Some(told.applied));
            self.leader_at = Some(self.now);
        }
        if let Some(leader) = told.leader {
            self.leader = Some((leader, self.now));
        }
        if told.chair == Chair::Fresh {
            self.fresh.insert(from.clone());
        }
        if told.founded {
            self.founded_elsewhere.get_or_insert(self.now);
        }
        self.judge_chair(from, told.of_you, told.chair);
        self.take_news(told.news);
        self.follow();
        self.follow_hosts();
    }

    fn take_news(&mut self, news: News) {
        match news {
            News::None => {}
            // A voter knows of its own epoch by its seat alone.
            News::Since(from, facts) => {
                if self.voter.is_none() && from == self.reach() && self.state.charter.is_some() {
                    for fact in facts {
                        self.take_fact(fact);
                    }
                }
            }
            News::Whole(state) => {
                let further = state.applied > self.state.applied || self.state.charter.is_none();
                let replaces = self.voter.is_none() || state.epoch > self.state.epoch;
                let busy = self.disk.as_ref().is_some_and(|disk| disk.pending.is_some());
                if further && replaces && !(busy && state.epoch > self.state.epoch) {
                    let anew = state.epoch > self.state.epoch;
                    self.state = *state;
                    self.recent.clear();
                    if anew {
                        self.enter_epoch();
                    }
                }
            }
        }
    }

    fn take_fact(&mut self, fact: Fact) {
        match &fact {
            Fact::Entry(entry) => {
                let answer = self.state.apply(entry);
                let asked = entry.id.as_ref().filter(|id| self.questions.contains_key(id)).cloned();
                if let (Some(id), Some(answer)) = (asked, answer) {
                    self.questions.remove(&id);
                    self.actions.push(Action::Answer(id, Seen::Answered(answer)));
                }
            }
            Fact::Reseat(seats) => {
                self.state.reseat(seats.clone());
            }
        }
        let reseated = matches!(fact, Fact::Reseat(_));
        self.recent.push_back(fact);
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        if reseated {
            self.enter_epoch();
        }
    }

    // The seat.

    fn write(&mut self, mut writes: Vec<Write>, pending: Pending) {
        let witnessed = bytes(&self.witnessed);
        let Some(disk) = &mut self.disk else { return };
        disk.batch += 1;
        let stamp = match pending {
            // Danger: opening an older copy again and again must not make it look newer than it is.
            Pending::Opened | Pending::Forget => disk.stamp,
            Pending::Step(_) | Pending::Sit(_) => disk.stamp + 1,
        };
        let mut all = std::mem::take(&mut disk.lazy);
        all.append(&mut writes);
        all.push(Write::Put(Key::Stamp, bytes(&stamp)));
        all.push(Write::Put(Key::Witness, witnessed));
        disk.saved.take(&all);
        disk.pending = Some((disk.batch, stamp, pending));
        self.actions.push(Action::Write(disk.batch, all));
    }

    fn writes_now(&self) -> bool {
        self.disk.as_ref().is_some_and(|disk| disk.pending.is_some())
    }

    /// The epoch of the state is new here: its seat is taken up, if one is ours.
    fn enter_epoch(&mut self) {
        self.voter = None;
        self.inputs.clear();
        self.steward = Steward::default();
        let mine = self.state.seat_of(&self.name).cloned();
        let held = match self.chair {
            Chair::Asks(seat) | Chair::Sits(seat) => Some(seat),
            _ => None,
        };
        match (mine, held) {
            // Kept over the change.
            (Some(seat), Some(held)) if seat.number == held => {
                if matches!(self.chair, Chair::Sits(_)) {
                    self.take_seat(held);
                }
            }
            // Given anew, to this very process.
            (Some(seat), _) if seat.life == self.life => self.take_seat(seat.number),
            (_, Some(_)) => self.forget("its seat was given to another"),
            _ => {}
        }
    }

    fn take_seat(&mut self, seat: u64) {
        let mut writes = vec![
            Write::Cut(0),
            Write::Remove(Key::Promise),
            Write::Remove(Key::Accepted),
            Write::Remove(Key::Decided),
        ];
        writes.push(Write::Put(Key::Base, bytes(&self.state)));
        writes.push(Write::Put(Key::Seat, bytes(&seat)));
        if let Some(disk) = &mut self.disk {
            disk.lazy.clear();
        }
        self.chair = Chair::Asks(seat);
        self.write(writes, Pending::Sit(seat));
    }

    fn sit(&mut self, seat: u64) {
        let Some(disk) = &self.disk else { return };
        self.log_at = self.state.epoch_began;
        self.voter = Some(Voter::new(self.state.epoch, seat, &self.state.seats, &disk.saved));
        self.chair = Chair::Sits(seat);
        self.note(format!("sits on seat {seat} of epoch {}", self.state.epoch));
    }

    fn forget(&mut self, why: &str) {
        (self.voter, self.chair) = (None, Chair::None);
        self.inputs.clear();
        self.steward = Steward::default();
        self.note(format!("does not vote: {why}"));
        let gone = [Key::Seat, Key::Base, Key::Promise, Key::Accepted, Key::Decided];
        let mut writes = vec![Write::Cut(0)];
        writes.extend(gone.map(Write::Remove));
        if let Some(disk) = &mut self.disk {
            disk.lazy.clear();
        }
        self.write(writes, Pending::Forget);
    }

    /// What a voter knows of our seat.
    fn judge_chair(&mut self, from: &UnitName, of_us: Option<Witness>, theirs: Chair) {
        if self.writes_now() {
            return;
        }
        match self.chair {
            Chair::Asks(seat) => {
                let stamp = self.disk.as_ref().map_or(0, |disk| disk.stamp);
                let better = of_us.is_some_and(|known| known > Witness { seat, stamp });
                if better && !planted(Plant::OlderDiskVotes) {
                    return self.forget("its disk is older than what it has acknowledged");
                }
                // One that has never been part of the group knows nothing, which is no word for us. One whose disk has
                // failed it counts: it is of the minority that may fail, and so this one is the less likely to.
                if matches!(theirs, Chair::Sits(_) | Chair::Asks(_) | Chair::Forgot) {
                    self.vouched.insert(from.clone());
                }
            }
            Chair::Fresh if of_us.is_some() => self.forget("its store is empty, but peers know of its seat"),
            _ => {}
        }
    }

    /// Sits down where nothing stands against it.
    fn take_chair(&mut self) {
        if self.writes_now() || self.disk.is_none() {
            return;
        }
        match self.chair {
            Chair::Asks(seat) => {
                if self.state.seats.iter().all(|of| of.number != seat) {
                    return self.forget("its seat was given to another");
                }
                let others = self.state.seats.iter().filter(|of| of.number != seat);
                let vouched = others.filter(|of| self.vouched.contains(&of.name)).count();
                // Danger: a majority would do to vote, but all that know of the last acknowledgement may be among the
                // rest. So many as meet every majority that this voter was part of, without itself.
                let seats = self.state.seats.len();
                let majority = seats / 2 + 1;
                let enough = if planted(Plant::OlderDiskVotes) {
                    majority - 1
                } else {
                    (seats - majority + 1).min(seats - 1)
                };
                if vouched >= enough || self.trusted {
                    // The group may be in a later epoch than the disk.
                    let base = self.disk.as_ref().and_then(|disk| disk.saved.value::<State>(Key::Base));
                    match base.is_some_and(|base| base.epoch == self.state.epoch) {
                        true => self.sit(seat),
                        false => self.take_seat(seat),
                    }
                }
            }
            Chair::Fresh => {
                let Some(at) = self.charter.voters.iter().position(|name| *name == self.name) else { return };
                let others = self.charter.voters.iter().filter(|name| **name != self.name);
                let all_fresh = others.clone().all(|name| self.fresh.contains(name));
                if all_fresh && self.state.charter.is_none() {
                    return self.take_seat(at as u64 + 1);
                }
                if self.founded_elsewhere.is_some_and(|at| self.now.ms_since(at) >= FOUNDING_MS) {
                    self.forget("its store is empty, but the group exists");
                }
            }
            Chair::Forgot => {
                let given = self.state.seats.iter().find(|of| of.name == self.name && of.life == self.life);
                if let Some(seat) = given.map(|seat| seat.number)
                    && self.voter.is_none()
                {
                    self.take_seat(seat);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn input(&mut self, input: Input) {
        if self.voter.is_none() {
            return;
        }
        if matches!(input, Input::Tick) && self.writes_now() {
            // Danger: ticks that pile up behind a stalled disk would let elections race when it comes back.
            return;
        }
        if self.inputs.len() < INPUTS {
            self.inputs.push_back(input);
        }
    }

    /// Takes steps until the disk has to be waited for.
    fn work(&mut self) {
        loop {
            if self.writes_now() || self.inputs.is_empty() {
                return;
            }
            let Some(voter) = &mut self.voter else { return self.inputs.clear() };
            for input in self.inputs.drain(..) {
                match input {
                    Input::Letter(letter) => voter.take(letter),
                    Input::Propose(entry) => voter.propose(entry),
                    Input::Reconnected(seat) => voter.reconnected(seat),
                    Input::Reseat(seats) => voter.reseat(&seats),
                    Input::Tick => voter.tick(),
                }
            }
            let ((writes, binds), letters) = (voter.take_writes(), voter.take_letters());
            if binds && planted(Plant::SentBeforeSynced) {
                self.write(writes, Pending::Step(vec![]));
                self.let_out(letters);
            } else if binds {
                self.write(writes, Pending::Step(letters));
            } else {
                if let Some(disk) = &mut self.disk {
                    disk.lazy.extend(writes);
                }
                self.let_out(letters);
            }
        }
    }

    /// All of a step is on disk: what it says goes out, and what it has decided counts.
    fn let_out(&mut self, letters: Vec<Letter>) {
        let epoch = self.state.epoch;
        for letter in letters {
            let to = self.state.seats.iter().find(|seat| seat.number == letter.get_receiver());
            if let Some(to) = to.map(|seat| seat.name.clone()) {
                self.send(&to, Message::Engine { epoch, letter });
            }
        }
        let decided = self.voter.as_mut().map(Voter::take_decided).unwrap_or_default();
        if decided.is_empty() {
            return;
        }
        let before = self.reach();
        let leads = self.leads();
        let mut facts = Vec::new();
        for decided in decided {
            let fact = match decided {
                Decided::Entry(entry) => Fact::Entry(entry),
                Decided::Reseat(seats) => Fact::Reseat(seats),
            };
            self.log_at += 1;
            if self.log_at <= self.state.applied {
                continue;
            }
            facts.push(fact.clone());
            self.take_fact(fact);
        }
        if leads && before.applied > 0 && !facts.is_empty() {
            self.push(before, &facts);
        }
        self.follow();
        self.follow_hosts();
    }

    /// The leader tells all that it hears what was decided, so that nobody waits for its next beat.
    fn push(&mut self, before: Reach, facts: &[Fact]) {
        let names: Vec<UnitName> = self
            .heard
            .iter()
            .filter(|(name, heard)| {
                **name != self.name && heard.direct && self.now.ms_since(heard.at) < 3 * BEAT_MS
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.tell(&name, News::Since(before, facts.to_vec()));
        }
    }
}
