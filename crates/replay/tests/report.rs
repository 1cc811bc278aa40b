//! Tests of the counts in the report and of the checks of expected outcomes.

use std::time::Duration;

use sesamewind_protocol::{Code, RunState, WallTime};
use sesamewind_replay::client::request_key;
use sesamewind_replay::count::{Dispatch, Observations, RecordedOutcome};
use sesamewind_replay::received::{Answer, Received, Refusal};
use sesamewind_replay::report::{OutcomeStatus, Report};
use sesamewind_replay::scenario::{OutcomePlan, Scenario};
use sesamewind_replay::trace::{self, Entry};

const START: u64 = 1_000_000;

fn scenario() -> Scenario {
    let text = r#"
region = "r"
zones = ["z"]
zone_delay_ms = 0
client_delay_ms = 0
instances = [{ name = "i1", zone = "z" }]
tiers = [
  { name = "urgent", rank = 0, first_token_ms = 500, total_ms = 2000 },
  { name = "low", rank = 1, first_token_ms = 9000, total_ms = 9000 },
]
accounts = [{ name = "a", tier = "urgent" }]
generations = {}
targets = []
rollouts = [{ id = "r1", service = "s", from = "v1", to = "v2", deadline_s = 9, share = 0.1, truth = "bad" }]
outcomes = []

[[services]]
name = "s"
class = "model"
version = "v1"
routes = [{ route = "reply", tier = "urgent", idempotent = false }]

[[services]]
name = "p"
class = "plain"
version = "v1"
routes = [
  { route = "GET /", tier = "urgent", idempotent = true },
  { route = "GET /pay", tier = "urgent", idempotent = false },
]
"#;
    Scenario::parse(text).unwrap()
}

/// Two urgent model requests, the first with a resend, one of tier `low`, and two plain requests.
fn entries() -> Vec<Entry> {
    let lines = [
        "0,a,urgent,s,reply,k1,0,,0,100,5,4000",
        "0,a,urgent,s,reply,k2,0,,0,100,5,4000",
        "0,a,low,s,reply,k3,0,,0,100,5,4000",
        "0,a,urgent,p,GET /x,k4,0,,0,0,0,4000",
        "0,a,urgent,p,GET /pay/7,k5,0,,0,0,0,4000",
        "400,a,urgent,s,reply,k1,1,,0,100,5,4000",
    ];
    trace::read((trace::COLUMNS.join(",") + "\n" + &lines.join("\n")).as_bytes()).unwrap()
}

fn received(entry: usize, sent: u64, first_token: u64, total: u64, answer: Answer) -> Received {
    let first_token = (first_token > 0).then(|| Duration::from_millis(first_token));
    let (sent, ended) = (WallTime(START + sent), WallTime(START + sent + total));
    Received {
        entry,
        instance: 0,
        sent,
        ended,
        first_token,
        total: Duration::from_millis(total),
        answer,
    }
}

fn refused(code: Code, run: RunState) -> Answer {
    Answer::Refused(Refusal { status: code.status(), code: code.number(), run })
}

fn dispatch(entry: &Entry, at: u64, ended: u64, prefill_tokens: u64) -> Dispatch {
    Dispatch {
        request: request_key(entry).to_string(),
        target: "e1".to_owned(),
        service: entry.service.clone(),
        version: "v1".to_owned(),
        at: WallTime(START + at),
        ended: Some(WallTime(START + ended)),
        complete: true,
        prefill_tokens,
        after_leaving: false,
    }
}

fn report(received: &[Received], dispatches: Vec<Dispatch>) -> Report {
    let (scenario, entries) = (scenario(), entries());
    let start = WallTime(START);
    let observations = Observations {
        scenario: &scenario,
        entries: &entries,
        start,
        received,
        dispatches,
        recorded: Vec::new(),
        harmful_orders: 0,
    };
    observations.report("sesamewind", "t", 1)
}

#[test]
fn goodput_counts_whole_answers_within_the_tiers_times() {
    struct Case {
        name: &'static str,
        received: Vec<Received>,
        in_time: u64,
    }
    let whole = |entry, sent, first, total| received(entry, sent, first, total, Answer::Whole);
    let lost = || received(0, 0, 0, 300, Answer::Lost);
    let cases = [
        Case { name: "in time", received: vec![whole(0, 0, 500, 2_000)], in_time: 1 },
        Case { name: "late token", received: vec![whole(0, 0, 501, 1_000)], in_time: 0 },
        Case { name: "late end", received: vec![whole(0, 0, 100, 2_001)], in_time: 0 },
        Case { name: "wrong", received: vec![received(0, 0, 9, 9, Answer::Wrong)], in_time: 0 },
        Case {
            name: "resend in time",
            received: vec![lost(), whole(5, 400, 100, 500)],
            in_time: 1,
        },
        Case { name: "resend late", received: vec![lost(), whole(5, 400, 101, 500)], in_time: 0 },
        Case { name: "both", received: vec![whole(0, 0, 9, 9), whole(5, 400, 9, 9)], in_time: 1 },
    ];
    for case in cases {
        let goodput = report(&case.received, Vec::new()).goodput["urgent"];
        assert_eq!((goodput.offered, goodput.answered_in_time), (1, case.in_time), "{}", case.name);
    }
}

#[test]
fn faults_of_dispatch_and_answer_are_counted() {
    struct Case {
        name: &'static str,
        received: Vec<Received>,
        dispatches: Vec<Dispatch>,
        /// Counts: dispatched twice, not repeatable, lost, wrong, false not-run, shed early, and
        /// wasted prompt tokens.
        expected: [u64; 7],
    }
    let entries = entries();
    let (urgent, low) = (&entries[0], &entries[2]);
    let answer = |entry, sent, answer| received(entry, sent, 0, 100, answer);
    let not_run = || refused(Code::QueueFull, RunState::NotRun);
    let unknown = || refused(Code::OutcomeUnknown, RunState::Unknown);
    let one = |at, ended| vec![dispatch(urgent, at, ended, 100)];
    let case = |name, received, dispatches, expected| Case { name, received, dispatches, expected };
    let cases = [
        case("served", vec![answer(0, 0, Answer::Whole)], one(10, 90), [0; 7]),
        case("wasted", vec![answer(0, 0, unknown())], one(10, 90), [0, 0, 0, 0, 0, 0, 100]),
        case("lost", vec![answer(0, 0, Answer::Lost)], vec![], [0, 0, 1, 0, 0, 0, 0]),
        case("wrong", vec![answer(0, 0, Answer::Wrong)], one(10, 90), [0, 0, 0, 1, 0, 0, 100]),
        case(
            "twice",
            vec![answer(0, 0, Answer::Whole)],
            vec![dispatch(urgent, 10, 90, 100), dispatch(urgent, 20, 90, 70)],
            [1, 1, 0, 0, 0, 0, 70],
        ),
        case(
            "repeatable twice",
            vec![answer(3, 0, Answer::Whole)],
            vec![dispatch(&entries[3], 10, 90, 0), dispatch(&entries[3], 20, 90, 0)],
            [1, 0, 0, 0, 0, 0, 0],
        ),
        case(
            "the longest route decides",
            vec![answer(4, 0, Answer::Whole)],
            vec![dispatch(&entries[4], 10, 90, 0), dispatch(&entries[4], 20, 90, 0)],
            [1, 1, 0, 0, 0, 0, 0],
        ),
        case("true not-run", vec![answer(0, 0, not_run())], vec![], [0; 7]),
        case("ran before", vec![answer(0, 0, not_run())], one(50, 60), [0, 0, 0, 0, 1, 0, 100]),
        case("ran after", vec![answer(0, 0, not_run())], one(150, 160), [0, 0, 0, 0, 1, 0, 100]),
        case(
            "ran by its resend",
            vec![answer(0, 0, not_run()), answer(5, 400, Answer::Whole)],
            one(410, 450),
            [0; 7],
        ),
        case(
            "shed while lower ran",
            vec![answer(0, 0, not_run()), answer(2, 0, Answer::Whole)],
            vec![dispatch(low, 50, 150, 100)],
            [0, 0, 0, 0, 0, 1, 0],
        ),
        case(
            "shed after lower ran",
            vec![answer(0, 0, not_run()), answer(2, 0, Answer::Whole)],
            vec![dispatch(low, 50, 99, 100)],
            [0; 7],
        ),
        case(
            "lower shed while urgent ran",
            vec![answer(2, 0, not_run()), answer(0, 0, Answer::Whole)],
            one(50, 150),
            [0; 7],
        ),
    ];
    for case in cases {
        let report = report(&case.received, case.dispatches);
        let got = [
            report.dispatched_twice,
            report.unrepeatable_repeated,
            report.lost,
            report.wrong_answer,
            report.false_not_run,
            report.urgent_shed_while_lower_ran,
            report.prefill_tokens.wasted,
        ];
        assert_eq!(got, case.expected, "{}", case.name);
    }
}

#[test]
fn rollouts_are_judged_by_the_recorded_outcome_and_what_reached_the_version() {
    let (scenario, entries) = (scenario(), entries());
    let new = |at| Dispatch { version: "v2".to_owned(), ..dispatch(&entries[0], at, at, 0) };
    let at = WallTime(START + 5_000);
    let outcome = "rolled-back".to_owned();
    let mut observations = Observations {
        scenario: &scenario,
        entries: &entries,
        start: WallTime(START),
        received: &[],
        dispatches: vec![
            new(1_000),
            new(7_999),
            new(8_001),
            dispatch(&entries[0], 9_000, 9_000, 0),
        ],
        recorded: vec![RecordedOutcome { rollout: "r1".to_owned(), at, outcome }],
        harmful_orders: 0,
    };
    let rollout = observations.report("p", "t", 1).rollouts["r1"].clone();
    assert_eq!((rollout.exposed_requests, rollout.requests_after_verdict), (3, 1));
    assert!(rollout.in_time && rollout.ended_well);
    observations.recorded[0].at = WallTime(START + 9_001);
    assert!(!observations.report("p", "t", 1).rollouts["r1"].in_time);
    observations.recorded[0].outcome = "completed".to_owned();
    assert!(!observations.report("p", "t", 1).rollouts["r1"].ended_well);
    observations.recorded.clear();
    let rollout = observations.report("p", "t", 1).rollouts["r1"].clone();
    assert_eq!(
        (rollout.outcome.as_str(), rollout.in_time, rollout.ended_well),
        ("none", false, false)
    );
}

#[test]
fn outcomes_hold_by_number_or_text_and_baselines_are_compared() {
    struct Case {
        measure: &'static str,
        at_least: Option<f64>,
        at_most: Option<f64>,
        equals: Option<&'static str>,
        expected: OutcomeStatus,
    }
    let whole = [received(0, 0, 9, 9, Answer::Whole), received(1, 0, 9, 9, Answer::Whole)];
    let half = [received(0, 0, 9, 9, Answer::Whole), received(1, 0, 9, 9, Answer::Lost)];
    let mut judged = report(&whole, Vec::new());
    judged.judge(vec![report(&half, Vec::new()), report(&[], Vec::new())], &[]);
    let case = |measure, at_least, at_most, equals, expected| Case {
        measure,
        at_least,
        at_most,
        equals,
        expected,
    };
    let cases = [
        case("lost", None, Some(0.0), None, OutcomeStatus::Held),
        case("goodput.urgent.offered", Some(3.0), None, None, OutcomeStatus::NotHeld),
        case("goodput_share.urgent", Some(1.0), None, None, OutcomeStatus::Held),
        case("versus_baseline.urgent", Some(2.0), Some(2.0), None, OutcomeStatus::Held),
        case("rollouts.r1.outcome", None, None, Some("none"), OutcomeStatus::Held),
        case("rollouts.r1.outcome", None, None, Some("completed"), OutcomeStatus::NotHeld),
        case("rollouts.r1.in_time", Some(1.0), None, None, OutcomeStatus::NotHeld),
        case("rollouts.r9.outcome", None, None, Some("none"), OutcomeStatus::NotJudged),
        case("lost", None, None, Some("0"), OutcomeStatus::NotHeld),
    ];
    for case in cases {
        let plan = OutcomePlan {
            name: "o".to_owned(),
            measure: case.measure.to_owned(),
            at_least: case.at_least,
            at_most: case.at_most,
            equals: case.equals.map(str::to_owned),
        };
        assert_eq!(judged.status(&plan), case.expected, "{}", case.measure);
    }
}
