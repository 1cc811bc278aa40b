//! Steps that follow from a sequence of replies to a submission.

use sesamewind_cli::{Reply, Step, Submission};
use sesamewind_protocol::Code;
use sesamewind_protocol::operator::{Acceptance, Accepted, Conflict, Faulty};

#[test]
fn a_lost_answer_is_resolved_only_by_a_reply_for_all_attempts() {
    let accepted = || Accepted { revision: 8, submission: "id".to_owned() };
    let conflict = || Conflict { code: Code::SheetConflict, current: 9, changes: Vec::new() };
    let faulty = || Faulty { code: Code::SheetFaulty, faults: Vec::new() };

    /// Kind of the expected last step.
    #[derive(Debug, PartialEq, Eq)]
    enum Want {
        Accepted,
        Conflict,
        Faulty,
        Refused,
        Retry,
        Unknown,
    }
    struct Case {
        name: &'static str,
        replies: Vec<Reply>,
        want: Want,
        uncertain: bool,
    }
    let unavailable = Reply::Unavailable(Acceptance::No);
    let case = |name, replies, want, uncertain| Case { name, replies, want, uncertain };
    let cases = [
        case("accepted", vec![Reply::Accepted(accepted())], Want::Accepted, false),
        case(
            "accepted on retry",
            vec![Reply::Lost, Reply::Accepted(accepted())],
            Want::Accepted,
            true,
        ),
        case(
            "conflict",
            vec![unavailable.clone(), Reply::Conflict(conflict())],
            Want::Conflict,
            false,
        ),
        case(
            "conflict after a lost answer, since the lost attempt may have been accepted",
            vec![Reply::Lost, Reply::Conflict(conflict())],
            Want::Unknown,
            true,
        ),
        case(
            "faults apply to every attempt",
            vec![Reply::Lost, Reply::Faulty(faulty())],
            Want::Faulty,
            true,
        ),
        case(
            "wrong token",
            vec![Reply::Refused("1501 forbidden".to_owned())],
            Want::Refused,
            false,
        ),
        case(
            "token changed after a lost answer",
            vec![Reply::Lost, Reply::Refused("1501 forbidden".to_owned())],
            Want::Unknown,
            true,
        ),
        case("no connection", vec![Reply::NotProcessed], Want::Retry, false),
        case(
            "a later outage does not resolve a lost answer",
            vec![Reply::Unavailable(Acceptance::Unknown), unavailable],
            Want::Retry,
            true,
        ),
    ];
    for case in cases {
        let mut submission = Submission::new("id".to_owned(), 7);
        let steps: Vec<Step> =
            case.replies.into_iter().map(|reply| submission.next_step(reply)).collect();
        let (last, earlier) = steps.split_last().expect("a reply");
        assert!(earlier.iter().all(|step| matches!(step, Step::Retry(_))), "{}", case.name);
        let got = match last {
            Step::Accepted(_) => Want::Accepted,
            Step::Conflict(_) => Want::Conflict,
            Step::Faulty(_) => Want::Faulty,
            Step::Refused(_) => Want::Refused,
            Step::Retry(_) => Want::Retry,
            Step::Unknown(_) => Want::Unknown,
        };
        assert_eq!((got, submission.is_uncertain()), (case.want, case.uncertain), "{}", case.name);
    }
    assert!(Submission::resumed("id".to_owned(), 7).is_uncertain());
}
