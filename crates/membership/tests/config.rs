//! Tests of the configuration state and of submissions.

use bolero::{TypeGenerator, check, produce};
use sesamewind_membership::{
    ConfigRow, ConfigState, Fetch, InstallOutcome, Outcome, Source, Step, Submission,
    SubmissionTiming, SubmitAnswer, SubmitCall, SubmitRequest,
};
use sesamewind_protocol::{Revision, Time};

fn peer(name: &str) -> Source {
    Source::Peer(name.into())
}

fn hash(revision: u64) -> String {
    format!("hash-{revision}")
}

fn state_at(revision: u64) -> ConfigState {
    let mut state = ConfigState::new();
    state.install(Revision(revision), &hash(revision));
    state
}

#[test]
fn only_higher_revisions_are_fetched() {
    struct Case {
        name: &'static str,
        in_force: u64,
        offered: u64,
        hash: &'static str,
        is_fetched: bool,
        stale: u64,
        mismatched: u64,
    }
    let case = |name, in_force, offered, hash, is_fetched, stale, mismatched| Case {
        name,
        in_force,
        offered,
        hash,
        is_fetched,
        stale,
        mismatched,
    };
    let cases = [
        case("first", 0, 1, "hash-1", true, 0, 0),
        case("none offered", 0, 0, "", false, 0, 0),
        case("next", 4, 5, "hash-5", true, 0, 0),
        case("several ahead", 4, 9, "hash-9", true, 0, 0),
        case("same", 4, 4, "hash-4", false, 0, 0),
        case("stale", 4, 3, "hash-3", false, 1, 0),
        case("peer with none", 4, 0, "", false, 1, 0),
        case("same revision, other content", 4, 4, "other", false, 0, 1),
    ];
    for case in cases {
        let mut state = state_at(case.in_force);
        let fetch = state.offer(Revision(case.offered), case.hash, Source::Store);
        assert_eq!(fetch.is_some(), case.is_fetched, "{}", case.name);
        assert_eq!(state.stale_offers(), case.stale, "{}", case.name);
        assert_eq!(state.mismatched_offers(), case.mismatched, "{}", case.name);
    }
}

#[test]
fn another_source_is_asked_when_one_fails() {
    let mut state = ConfigState::new();
    let first = state.offer(Revision(3), "h", Source::Store).unwrap();
    assert_eq!(state.offer(Revision(3), "h", peer("a")), None, "one fetch at a time");
    let second = state.on_fetch_failed(&first).unwrap();
    assert_eq!(second.source, peer("a"));
    assert_eq!(state.on_fetch_failed(&first), None, "a failure reported twice");
    assert_eq!(state.on_fetch_failed(&second), None, "no source left");
    let again = state.offer(Revision(3), "h", Source::Store);
    assert_eq!(
        again.map(|fetch| fetch.source),
        Some(Source::Store),
        "a new offer starts a new fetch"
    );
}

#[test]
fn a_higher_offer_replaces_a_fetch_in_flight() {
    let mut state = ConfigState::new();
    let old = state.offer(Revision(3), "h3", Source::Store).unwrap();
    assert!(state.offer(Revision(4), "h4", peer("a")).is_some());
    assert_eq!(
        state.on_fetch_failed(&old),
        None,
        "the failure of the old fetch does not affect the new one"
    );
    assert_eq!(state.install(Revision(3), "h3"), InstallOutcome::InForce, "still newer than none");
    assert_eq!(state.newest(), Revision(4));
    assert_eq!(state.install(Revision(4), "h4"), InstallOutcome::InForce);
    assert_eq!(state.install(Revision(3), "h3"), InstallOutcome::Stale);
}

#[derive(Debug, Clone, TypeGenerator)]
enum Event {
    Offer { revision: u8, store: bool },
    Fetched,
    Failed,
    LateFetch { revision: u8 },
}

/// For random orders of offers, fetches and failures, the revision in force never decreases, and
/// the content of a revision is the one that it was offered with.
#[test]
fn random_orders_never_lower_the_revision() {
    let orders = produce::<Vec<Event>>().with().len(0..200usize);
    check!().with_generator(orders).for_each(|events| {
        let mut state = ConfigState::new();
        let mut fetches: Vec<Fetch> = Vec::new();
        let mut highest = Revision(0);
        for event in events {
            match event {
                Event::Offer { revision, store } => {
                    let source = if *store { Source::Store } else { peer("a") };
                    let revision = u64::from(*revision);
                    fetches.extend(state.offer(Revision(revision), &hash(revision), source));
                }
                Event::Fetched => {
                    if let Some(fetch) = fetches.pop() {
                        state.install(fetch.revision, &fetch.hash);
                    }
                }
                Event::Failed => {
                    if let Some(fetch) = fetches.pop() {
                        fetches.extend(state.on_fetch_failed(&fetch));
                    }
                }
                Event::LateFetch { revision } => {
                    let revision = u64::from(*revision);
                    let before = state.in_force().revision;
                    let got = state.install(Revision(revision), &hash(revision));
                    assert_eq!(got == InstallOutcome::InForce, Revision(revision) > before);
                }
            }
            let digest = state.in_force();
            assert!(digest.revision >= highest, "{:?} after {highest:?}", digest.revision);
            highest = digest.revision;
            assert!(highest == Revision(0) || digest.hash == hash(highest.0));
        }
    });
}

/// How a call to the platform is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
enum Delivery {
    /// The call takes effect and its answer arrives.
    Done,
    /// The call takes effect; its answer is lost.
    AnswerLost,
    /// The call has no effect; the caller gets no answer.
    CallLost,
    /// The service reports that the call had no effect.
    Down,
    /// The call takes effect only after the next call; its answer is lost.
    Late,
}

/// A fake of the pointer row and the object store.
#[derive(Debug, Default)]
struct Store {
    row: ConfigRow,
    has_content: bool,
    late: Option<SubmitCall>,
}

impl Store {
    fn deliver(&mut self, call: &SubmitCall, delivery: Delivery) -> SubmitAnswer {
        let late = self.late.take();
        let answer = match delivery {
            Delivery::Done => self.run(call),
            Delivery::AnswerLost => {
                self.run(call);
                self.lost(call)
            }
            Delivery::CallLost => self.lost(call),
            Delivery::Down => SubmitAnswer::Unavailable,
            Delivery::Late => {
                self.late = Some(call.clone());
                self.lost(call)
            }
        };
        if let Some(late) = late {
            self.run(&late);
        }
        answer
    }

    fn lost(&self, call: &SubmitCall) -> SubmitAnswer {
        if *call == SubmitCall::ReadPointer {
            return SubmitAnswer::Unavailable;
        }
        SubmitAnswer::Unknown
    }

    fn run(&mut self, call: &SubmitCall) -> SubmitAnswer {
        let current = || (self.row.revision > 0).then(|| self.row.clone());
        match call {
            SubmitCall::ReadPointer => SubmitAnswer::Pointer(current()),
            SubmitCall::PutContent { .. } => {
                self.has_content = true;
                SubmitAnswer::Stored
            }
            SubmitCall::WritePointer { expected, row } => {
                assert!(self.has_content, "the pointer is written before the content");
                if *expected != self.row.revision {
                    return SubmitAnswer::Conflict(current());
                }
                assert_eq!(row.revision, expected + 1);
                self.row = row.clone();
                SubmitAnswer::Stored
            }
        }
    }

    /// Accepts a submission of another operator.
    fn accept_other(&mut self) {
        self.row = self.row.successor("other-hash", "other", "other operator");
    }

    fn deliver_late(&mut self) {
        if let Some(late) = self.late.take() {
            self.run(&late);
        }
    }
}

fn submission(base: u64) -> Submission {
    let request = SubmitRequest {
        submission: "mine".to_owned(),
        author: "operator".to_owned(),
        base: Revision(base),
        hash: "h".to_owned(),
    };
    Submission::new(request, SubmissionTiming::default(), Time::ZERO)
}

/// Runs a submission to its end. `others` holds the indices of the calls before which another
/// operator's sheet is accepted.
fn run(store: &mut Store, deliveries: &[Delivery], last: Delivery, others: &[usize]) -> Outcome {
    let mut submission = submission(store.row.revision);
    let mut now = Time::ZERO;
    let mut calls = 0;
    loop {
        match submission.next(now) {
            Step::Call(call) => {
                if others.contains(&calls) {
                    store.accept_other();
                }
                let delivery = deliveries.get(calls).copied().unwrap_or(last);
                calls += 1;
                now = now + std::time::Duration::from_millis(20);
                let answer = store.deliver(&call, delivery);
                submission.on_result(answer, now);
            }
            Step::Wait(until) => now = until,
            Step::Pending => unreachable!("every call is answered"),
            Step::Done(outcome) => return outcome,
        }
    }
}

#[test]
fn submission_outcomes_match_the_store() {
    #[derive(Debug, PartialEq, Eq)]
    enum Want {
        Accepted(u64),
        Conflict,
        NotAccepted,
        Unknown,
    }
    struct Case {
        name: &'static str,
        deliveries: Vec<Delivery>,
        last: Delivery,
        others: Vec<usize>,
        want: Want,
    }
    use Delivery::{AnswerLost, CallLost, Done, Down, Late};
    let case = |name, deliveries: &[Delivery], last, others: &[usize], want| Case {
        name,
        deliveries: deliveries.to_vec(),
        last,
        others: others.to_vec(),
        want,
    };
    let cases = [
        case("undisturbed", &[], Done, &[], Want::Accepted(1)),
        case("store down throughout", &[], Down, &[], Want::NotAccepted),
        case("store down at first", &[Down, Down], Done, &[], Want::Accepted(1)),
        case("content write lost", &[Done, AnswerLost], Done, &[], Want::Accepted(1)),
        case("store down before the write", &[Done, Done], Down, &[], Want::NotAccepted),
        case("answer lost", &[Done, Done, AnswerLost], Done, &[], Want::Accepted(1)),
        case("write lost", &[Done, Done, CallLost], Done, &[], Want::Accepted(1)),
        case("write late", &[Done, Done, Late], Done, &[], Want::Accepted(1)),
        case("answer lost, then down", &[Done, Done, AnswerLost], Down, &[], Want::Unknown),
        case("write lost, then down", &[Done, Done, CallLost], Down, &[], Want::Unknown),
        case("other submission before the read", &[], Done, &[0], Want::Conflict),
        case("other submission before the write", &[], Done, &[2], Want::Conflict),
        case(
            "answer lost, then other submission",
            &[Done, Done, AnswerLost],
            Done,
            &[3],
            Want::Accepted(1),
        ),
        case(
            "write lost, then other submission",
            &[Done, Done, CallLost],
            Done,
            &[3],
            Want::Conflict,
        ),
        case("write late, after other submission", &[Done, Done, Late], Done, &[3], Want::Conflict),
    ];
    for case in cases {
        let mut store = Store::default();
        let got = match run(&mut store, &case.deliveries, case.last, &case.others) {
            Outcome::Accepted(revision) => Want::Accepted(revision.0),
            Outcome::Conflict { .. } => Want::Conflict,
            Outcome::NotAccepted => Want::NotAccepted,
            Outcome::Unknown => Want::Unknown,
        };
        assert_eq!(got, case.want, "{}", case.name);
    }
}

#[test]
fn a_submission_repeated_under_its_id_is_accepted_once() {
    let mut store = Store::default();
    assert_eq!(run(&mut store, &[], Delivery::Done, &[]), Outcome::Accepted(Revision(1)));
    let mut again = submission(0);
    let Step::Call(call) = again.next(Time::ZERO) else {
        panic!("expected a call as the first step")
    };
    again.on_result(store.deliver(&call, Delivery::Done), Time::ZERO);
    assert_eq!(again.next(Time::ZERO), Step::Done(Outcome::Accepted(Revision(1))));
    assert_eq!(store.row.revision, 1);
}

/// For random deliveries of calls and random acceptances of other operators, an outcome other than
/// "unknown" is correct when it is returned and stays so.
#[test]
fn random_faults_never_make_an_outcome_false() {
    check!().with_type::<(Vec<Delivery>, Delivery, Vec<u8>)>().for_each(
        |(deliveries, last, others)| {
            let others: Vec<usize> = others.iter().map(|call| usize::from(call % 8)).collect();
            let mut store = Store::default();
            let outcome = run(&mut store, deliveries, *last, &others);
            store.deliver_late();
            let accepted = store.row.accepted("mine");
            match outcome {
                Outcome::Accepted(revision) => assert_eq!(accepted, Some(revision)),
                Outcome::Conflict { .. } | Outcome::NotAccepted => assert_eq!(accepted, None),
                Outcome::Unknown => {}
            }
        },
    );
}
