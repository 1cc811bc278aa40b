//! What replies mean after others.

use sesamewind_cli::{Reply, Step, Submission};
use sesamewind_protocol::Code;
use sesamewind_protocol::operator::{Acceptance, Accepted, Conflict, Faulty};

#[test]
fn doubt_is_only_settled_by_an_answer_for_all_attempts() {
    let accepted = || Accepted { revision: 8, submission: "id".to_owned() };
    let conflict = || Conflict { code: Code::SheetConflict, current: 9, changes: Vec::new() };
    let faulty = || Faulty { code: Code::SheetFaulty, faults: Vec::new() };

    /// What the step has to be.
    #[derive(Debug, PartialEq, Eq)]
    enum Want {
        Accepted,
        Conflict,
        Faulty,
        Refused,
        Again,
        Unknown,
    }
    struct Case {
        name: &'static str,
        replies: Vec<Reply>,
        want: Want,
        doubt: bool,
    }
    let unavailable = Reply::Unavailable(Acceptance::No);
    let cases = [
        Case {
            name: "accepted",
            replies: vec![Reply::Accepted(accepted())],
            want: Want::Accepted,
            doubt: false,
        },
        Case {
            name: "accepted on asking again",
            replies: vec![Reply::Lost, Reply::Accepted(accepted())],
            want: Want::Accepted,
            doubt: true,
        },
        Case {
            name: "conflict",
            replies: vec![unavailable.clone(), Reply::Conflict(conflict())],
            want: Want::Conflict,
            doubt: false,
        },
        Case {
            name: "conflict after a lost answer may be with oneself and one more",
            replies: vec![Reply::Lost, Reply::Conflict(conflict())],
            want: Want::Unknown,
            doubt: true,
        },
        Case {
            name: "faults hold for every attempt",
            replies: vec![Reply::Lost, Reply::Faulty(faulty())],
            want: Want::Faulty,
            doubt: true,
        },
        Case {
            name: "wrong token",
            replies: vec![Reply::Refused("1501 forbidden".to_owned())],
            want: Want::Refused,
            doubt: false,
        },
        Case {
            name: "token changed after a lost answer",
            replies: vec![Reply::Lost, Reply::Refused("1501 forbidden".to_owned())],
            want: Want::Unknown,
            doubt: true,
        },
        Case {
            name: "no connection",
            replies: vec![Reply::Unsent],
            want: Want::Again,
            doubt: false,
        },
        Case {
            name: "a later outage does not settle a lost answer",
            replies: vec![Reply::Unavailable(Acceptance::Unknown), unavailable],
            want: Want::Again,
            doubt: true,
        },
    ];
    for case in cases {
        let mut submission = Submission::new("id".to_owned(), 7);
        let steps: Vec<Step> =
            case.replies.into_iter().map(|reply| submission.judge(reply)).collect();
        let (last, earlier) = steps.split_last().expect("a reply");
        assert!(earlier.iter().all(|step| matches!(step, Step::Again(_))), "{}", case.name);
        let got = match last {
            Step::Accepted(_) => Want::Accepted,
            Step::Conflict(_) => Want::Conflict,
            Step::Faulty(_) => Want::Faulty,
            Step::Refused(_) => Want::Refused,
            Step::Again(_) => Want::Again,
            Step::Unknown(_) => Want::Unknown,
        };
        assert_eq!((got, submission.in_doubt()), (case.want, case.doubt), "{}", case.name);
    }
    assert!(Submission::resumed("id".to_owned(), 7).in_doubt());
}
