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
            "accepted on asking again",
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
            "conflict after a lost answer may be with oneself and one more",
            vec![Reply::Lost, Reply::Conflict(conflict())],
            Want::Unknown,
            true,
        ),
        case(
            "faults hold for every attempt",
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
            "a later outage does not settle a lost answer",
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
