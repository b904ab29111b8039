//! What becomes of work in hand when its node is lost: intents kept before an attempt goes, and what a call that comes again
//! may still do. Source and promises: `docs/takeover.md`.
//!
//! No I/O and no clock: a [`Takeover`] is told what happened and when, and says what is to be done. The same events give
//! the same steps.

pub mod fault_injection;
mod owner;
mod replica;
pub mod warm_state;

use std::collections::BTreeMap;

use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use serde::{Deserialize, Serialize};

pub use owner::{Owner, PriorAttempt};
pub use replica::Replica;

/// An attempt goes within this after its node asked for its intent to be kept, or not at all: two round trips over a crowded
/// link. Whoever takes a record over waits longer than this.
pub const SEND_WINDOW_MS: u64 = 500;

/// A record is left alone for so long after it was kept, and after its call's time: what its node may still send is out by
/// then, and clocks that go wrong by a tenth are.
pub const QUIET_PERIOD_MS: u64 = 600;

/// Keepers of one work, of which a majority has to agree.
pub const REPLICAS: usize = 3;

/// What a call concerns, with its traffic class and tenant, as one number: the same for whoever comes again with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkId(pub u64);

/// How long ago something went that nobody can tell: longer than any reference is recalled.
pub const UNKNOWN_AGE_MS: u64 = 1 << 40;

/// A call of one process of one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordId {
    pub owner: UnitName,
    pub incarnation: Incarnation,
    pub count: u64,
}

/// What the group agrees on, as this node knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Who holds seats.
    pub voter_slots: Vec<UnitName>,
    /// How often others have come to hold them.
    pub version: u32,
    /// A leader was heard of late: what is known is no older.
    pub hears: bool,
    /// How often each node was called lost.
    pub terms: BTreeMap<UnitName, u64>,
}

impl View {
    pub fn term(&self, of: &UnitName) -> u64 {
        self.terms.get(of).copied().unwrap_or(0)
    }

    /// A work's replicas, the same at all who know the same seats.
    pub fn replicas(&self, work: WorkId) -> Vec<UnitName> {
        let mut ranked: Vec<(u64, &UnitName)> =
            self.voter_slots.iter().map(|name| (rank(work, name), name)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(REPLICAS).map(|(_, name)| name.clone()).collect()
    }
}

fn name_number(name: &UnitName) -> u64 {
    name.0.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Rendezvous: FNV-1a over the name, mixed with the work (the finisher of splitmix64).
fn rank(work: WorkId, name: &UnitName) -> u64 {
    let mut mixed = name_number(name) ^ work.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// How a call ended, as far as its record goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// No attempt of it ran, and none is out: as if it had never been.
    NeverRan,
    /// It has its final answer; an attempt of it ran, or may have.
    Answered,
}

/// A request that an intent be kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    pub id: RecordId,
    pub work: WorkId,
    pub term: u64,
    pub version: u32,
    /// It comes again, and goes on from these records, each as it was with this attempt.
    pub repeat: bool,
    pub over: Vec<(RecordId, u32)>,
    /// Where the work's first attempt went that may have run, and how long ago, in ms; this one, if it is the first.
    pub first: (u64, u64),
    /// Counts the attempts of the call: an answer to another says nothing of this one.
    pub no: u32,
    /// How long the call still has, in ms.
    pub left_ms: u64,
}

/// A record as a replica shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordView {
    pub id: RecordId,
    pub term: u64,
    /// Where the work's first attempt went, and how long ago, in ms.
    pub first: (u64, u64),
    /// The last attempt whose intent was kept, and for how long, in ms.
    pub no: u32,
    pub age_ms: u64,
    /// Until its call's time is over, and its node sends nothing more.
    pub open_ms: u64,
    pub answered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentVerdict {
    Accepted,
    /// These are not among those that it goes on from.
    Conflict,
    /// This replica keeps nothing for it now.
    Unavailable,
}

/// What nodes say to replicas, and replicas to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    StoreIntent(Intent),
    IntentReply {
        id: RecordId,
        no: u32,
        verdict: IntentVerdict,
    },
    Query {
        id: RecordId,
        no: u32,
        work: WorkId,
        version: u32,
    },
    /// Nothing if the replica may have forgotten some.
    QueryReply {
        id: RecordId,
        no: u32,
        records: Option<Vec<RecordView>>,
    },
    /// As of this attempt: said late, it says nothing of a later one.
    CallEnded {
        no: u32,
        id: RecordId,
        work: WorkId,
        outcome: Outcome,
    },
}

/// An attempt that is to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub work: WorkId,
    /// Any number that means the same at all nodes.
    pub host: u64,
    /// The call's first attempt that may have run: where, and when it went.
    pub ran: Option<(u64, Timestamp)>,
    /// How long the call still has, in ms.
    pub left_ms: u64,
    /// It must not go later: hosts recall the work's reference until then, or the call has its time.
    pub latest: Timestamp,
}

/// What is to be done. A call is named by its caller's number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send(UnitName, ReplicaMessage),
    /// The attempt that was asked for may go, now.
    Proceed(u64),
    /// It may not: nobody can keep its intent.
    NotReplicated(u64),
    /// It may not: the same work is in hand elsewhere. The call is to look again.
    InFlightElsewhere(u64),
    /// A call that came again may be placed; this has been before it.
    Admit(u64, Option<PriorAttempt>),
    /// What has been before it cannot be told, or is not over: it is to be given up without any assurance.
    Fail(u64),
}

/// What a replica leaves to its next process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaHandover {
    /// It answered for repeats.
    remembers: bool,
    records: Vec<(WorkId, RecordHandover)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordHandover {
    id: RecordId,
    term: u64,
    repeat: bool,
    first: u64,
    no: u32,
    left_ms: u64,
    answered: bool,
    taken: bool,
}

/// One node's part: what it keeps for others, and what others keep for it.
#[derive(Clone, Debug)]
pub struct Takeover {
    me: UnitName,
    pub replica: Replica,
    pub owner: Owner,
    view: View,
    actions: Vec<Action>,
}

impl Takeover {
    /// Danger: what was before a clock's beginning would look younger than it is. `now` is to be a day or more.
    ///
    /// `recall_ms`: a call's record is kept for so long after its answer. `longest_ms`: the longest that any call has.
    pub fn new(
        now: Timestamp,
        me: UnitName,
        incarnation: Incarnation,
        seed: u64,
        recall_ms: u64,
        longest_ms: u64,
    ) -> Takeover {
        Takeover {
            replica: Replica::new(now, recall_ms, longest_ms),
            owner: Owner::new(me.clone(), incarnation, seed),
            me,
            view: View::default(),
            actions: Vec::new(),
        }
    }

    /// What is agreed, as it is known from here on.
    pub fn agreed(&mut self, now: Timestamp, view: View) {
        let mine = |view: &View| view.voter_slots.contains(&self.me);
        // Danger: one that comes to hold a seat has never heard of what was kept before. The first word of the group is
        // no change: it says what has been so.
        let first = self.view.voter_slots.is_empty();
        if !first && (view.version != self.view.version || mine(&view) != mine(&self.view)) {
            self.replica.begin(now);
        }
        self.view = view;
    }

    /// Before a planned end: it keeps nothing more, and this is for its next process.
    pub fn leave(&mut self, now: Timestamp) -> ReplicaHandover {
        self.replica.leave(now)
    }

    /// What the process before left when it ended as planned, and nobody else can have had since.
    pub fn restore(&mut self, now: Timestamp, left: ReplicaHandover) {
        self.replica.restore(now, left);
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// A call that comes again: what has been before it has to be known first. It has so long, in ms.
    pub fn returned(&mut self, now: Timestamp, call: u64, work: WorkId, left_ms: u64) {
        let actions = self.owner.returned(now, call, work, left_ms, &self.view);
        self.carry_out(now, actions);
    }

    /// An attempt is to go: [`Action::Go`] comes, or it must not. `host` is any number that means the same at all nodes.
    pub fn intend(&mut self, now: Timestamp, call: u64, attempt: Attempt) {
        let actions = self.owner.intend(now, call, attempt, &self.view);
        self.carry_out(now, actions);
    }

    /// The call is over. Nothing happens if no intent of it was asked for.
    pub fn ended(&mut self, now: Timestamp, call: u64, outcome: Outcome) {
        let actions = self.owner.ended(call, outcome, &self.view);
        self.carry_out(now, actions);
    }

    pub fn heard(&mut self, now: Timestamp, from: &UnitName, message: ReplicaMessage) {
        match message {
            ReplicaMessage::StoreIntent(_)
            | ReplicaMessage::Query { .. }
            | ReplicaMessage::CallEnded { .. } => {
                if let Some(answer) = self.replica.take(now, from, message, &self.view) {
                    self.actions.push(Action::Send(from.clone(), answer));
                }
            }
            answer => {
                let actions = self.owner.heard(now, from, answer, &self.view);
                self.carry_out(now, actions);
            }
        }
    }

    /// To be told ten times a second at least.
    pub fn tick(&mut self, now: Timestamp) {
        self.replica.tick(now);
        let actions = self.owner.tick(now, &self.view);
        self.carry_out(now, actions);
    }

    pub fn take_all(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What is said to this node's own replica is not sent.
    fn carry_out(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) if to == self.me => {
                    if let Some(answer) = self.replica.take(now, &to, message, &self.view) {
                        let actions = self.owner.heard(now, &to, answer, &self.view);
                        self.carry_out(now, actions);
                    }
                }
                action => self.actions.push(action),
            }
        }
    }
}
