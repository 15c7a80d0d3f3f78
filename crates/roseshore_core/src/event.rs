//! Catalogue of log events.
//!
//! Every event line that a daemon logs begins with the event's number, so that operators can search
//! for it and set alarms. `docs/EVENTS.md` lists the events; a test compares it with this table.
//! The hundreds group events by subsystem: 1 process, 2 requests, 3 answers, 4 non-idempotent
//! requests and their keys, 5 configuration, 6 membership and load, 7 orders and placement, 8
//! lookups, 9 usage accounting.

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $summary:literal;)+) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $summary] $name,)+
        }

        impl Event {
            /// Every event, in order of number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)+];

            /// Stable number, printed as `E101`.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)+ }
            }

            /// Severity at which it is logged.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)+ }
            }

            /// One-line summary for the catalogue.
            pub fn summary(self) -> &'static str {
                match self { $(Event::$name => $summary,)+ }
            }
        }
    };
}

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// An operator should act.
    Error,
    /// Worth investigating when it repeats.
    Warn,
    /// Normal operation.
    Info,
    /// Useful only to developers.
    Debug,
}

events! {
    Started = 101, Info, "the daemon serves";
    Draining = 102, Info, "the daemon takes no new work and finishes what is in flight";
    Stopped = 103, Info, "the daemon has ended";
    BadSettings = 104, Error, "settings were refused at start";
    ThreadLost = 105, Error, "a thread ended by a panic";
    ReadyChanged = 106, Info, "the daemon became ready for callers, or stopped being so";
    Reloaded = 107, Info, "the settings were read again";
    LinesDropped = 108, Warn, "log lines were left out";
    CallersTurnedAway = 109, Warn, "the daemon had no time for new callers and closed their connections";
    CallersNotAccepted = 110, Info, "a stopping daemon closed its listener for callers";
    MemoryLow = 111, Warn, "what is held for others takes too much memory, and some of it was given up";
    ConnectionsFull = 112, Warn, "callers have all connections that they may have, and the least active were closed or new ones refused";
    RequestEnded = 201, Debug, "a request got its final verdict";
    RequestRefused = 202, Info, "a request was refused";
    CallerLeft = 203, Info, "a caller left before its answer was whole";
    AnswerLate = 204, Warn, "an answer was given after its deadline";
    AdvisoryMissed = 205, Warn, "an advisory request ended without a whole answer in time";
    SendFailed = 206, Warn, "a send to a target brought no answer";
    TargetEnded = 207, Warn, "a target ended while it ran a request";
    RequestBlocked = 208, Warn, "a request is held to end its targets, and refused";
    RequestCleared = 209, Info, "a request is no longer held to end its targets";
    OwnRecordsWritten = 210, Info, "records of blocked requests, or the number of daemons, were written to the store or dropped there";
    OwnRecordsFailed = 211, Warn, "records of blocked requests, or the number of daemons, could not be read or written";
    RetryDenied = 212, Info, "a request was not sent again: the retry budget is spent";
    RetriesLent = 213, Debug, "another host asked for retries of the shared budget";
    RetryMade = 214, Debug, "a request is sent again";
    AnswerCut = 215, Warn, "a host ended a request that may have run, without a whole answer";
    AnswerGivenUp = 216, Warn, "unfinished answers took too much memory, and the largest one was given up";
    CallerClosed = 217, Debug, "a host closed a caller's connection that the caller had not closed";
    RetriesLate = 218, Info, "retries may have arrived at their targets long after they were made";
    CrashesDropped = 219, Info, "crashes no longer count against a request or a part of prompts: a run with it went well";
    CrashNotFound = 220, Info, "an interrupted send does not count as a crash: none of its targets is known to have ended";
    RouteChosen = 301, Debug, "an answer was given a chain of targets";
    StageLost = 302, Warn, "a stage was lost in the middle of an answer";
    AnswerResumed = 303, Info, "an answer goes on over another chain";
    LineageBroken = 304, Error, "a token did not pass every layer once and in order";
    RoomNarrowed = 340, Info, "an engine refused a request for want of room, and gets less";
    RoomWidened = 341, Info, "all room of an engine is used again";
    RequestQueued = 345, Debug, "a request waits for room";
    RequestNotAdmitted = 346, Info, "a request was refused since callers ask for more than the engines can do";
    WaitEnded = 347, Debug, "a request no longer waits for room";
    SendKept = 350, Debug, "a send without an event is waited for, as its targets are only slow or it cannot be repeated";
    StandbyResumed = 351, Info, "a request goes on with an earlier send that had been silent";
    StandbyEnded = 352, Info, "the target of a silent send that was kept open has ended it";
    MoveHeld = 353, Debug, "a silent request is not sent elsewhere yet: the targets there have sent nothing lately either, or too many copies would be read late";
    ReturnPlanned = 355, Debug, "a refused caller was told when to come back";
    KeyClaimed = 401, Debug, "a key was won";
    KeyRepeated = 402, Info, "a repeat of a key got the recorded answer";
    KeyAbandoned = 403, Warn, "a claim was given up before dispatch";
    KeyUnsettled = 404, Error, "whether a key ran is not known";
    KeySettled = 405, Warn, "an operator's word settled a key";
    ConfigApplied = 501, Info, "a configuration is in force";
    ConfigRejected = 502, Warn, "a command was rejected";
    LogLost = 503, Warn, "the log service cannot be reached";
    LogBack = 504, Info, "the log service answers again";
    ConfigDiverged = 505, Error, "two daemons at one offset differ in state";
    ConfigTrimmed = 506, Error, "the log no longer keeps records that are missing here";
    ConfigSkipped = 507, Warn, "a record of the configuration stream was skipped";
    SnapshotWritten = 508, Info, "a snapshot of the configuration was written";
    SnapshotBad = 509, Error, "a snapshot of the configuration cannot be used";
    KeysSuspended = 510, Warn, "keys are not honoured: the configuration may be old";
    KeysHonoured = 511, Info, "keys are honoured again";
    StoreAsked = 512, Debug, "the store was asked for records, and why";
    StoreWentBack = 513, Warn, "the store came back from an older copy: what it holds is read anew";
    ReplyDropped = 514, Warn, "a reply of the store is of another era than its question, and is dropped";
    HostSuspected = 601, Info, "a daemon is suspected";
    HostGone = 602, Warn, "a daemon is gone";
    HostJoined = 603, Info, "a daemon joined";
    TargetLeft = 604, Info, "a target takes no new work";
    TargetLost = 605, Warn, "a target is out of use";
    TargetBack = 606, Info, "a target is in use again";
    HostLeaving = 607, Info, "a daemon takes no new work";
    TargetListed = 608, Info, "a target is listed, or its record changed";
    TargetLapsed = 609, Info, "a target dropped out of the list after an outage of the store";
    RecordSkipped = 610, Warn, "a record of the list of targets cannot be read or used";
    DatagramSkipped = 611, Warn, "a datagram cannot be read or sent";
    CopyFailed = 612, Warn, "another host's copy of the store's records could not be had or given";
    SpeakingChanged = 613, Info, "a daemon began or ended to speak for its data centre";
    PaceChanged = 614, Info, "an engine runs faster or slower than before";
    TargetRests = 615, Info, "a target wants nothing from this daemon for a while";
    LimitNamed = 616, Info, "a target names the requests a second that it takes from all daemons, or ends to";
    PermitRefused = 617, Debug, "a request was not sent to a target, which takes no more a second from all daemons";
    TargetsReported = 618, Info, "other hosts report that targets fail their liveness checks, or no longer do";
    TargetRelayed = 619, Warn, "a target that this daemon cannot reach is reached through another one";
    TunnelOpened = 620, Debug, "a connection to a target was opened for another daemon, or refused";
    TunnelClosed = 621, Debug, "a connection to a target that was opened for another daemon has ended";
    TargetsChecked = 622, Debug, "liveness checks that a daemon began within a second, by reason";
    LeaseTaken = 701, Info, "this daemon may give orders";
    LeaseLost = 702, Warn, "this daemon may no longer give orders";
    OrderSent = 703, Info, "an order was sent to a target";
    OrderUnknown = 704, Warn, "whether an order took effect is not known";
    OrderFenced = 705, Warn, "a target refused an order with an old fencing number";
    VersionServes = 706, Info, "new answers use another version of a model";
    PlacementWanted = 707, Info, "a placement of layers differs from the plan";
    ReportFailed = 708, Warn, "a target gave no usable report";
    LayersMissing = 709, Warn, "a data centre's engines hold no whole copy of the layers any more";
    LayersWhole = 710, Info, "a data centre's engines hold a whole copy of the layers";
    SourceSilent = 801, Warn, "a lookup source did not answer";
    SourceConflict = 802, Warn, "sources of one name differ";
    AccountWritten = 901, Info, "a part of the weekly account was recorded";
    AccountDelayed = 902, Warn, "a part of the account waits for the log service";
}

impl std::fmt::Display for Event {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "E{}", self.number())
    }
}
