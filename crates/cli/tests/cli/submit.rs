//! Submitting a sheet: acceptance, refusal, lost answers and the wait until it is in force.

use serde_json::{Value, json};
use sesamewind_cli::Exit;

use crate::fake::{Fake, File, Post, sheet, tool};

fn instances(rows: &[(&str, &str, u64)]) -> Value {
    let rows: Vec<Value> = rows
        .iter()
        .map(|(name, state, revision)| {
            json!({"name": name, "zone": "a", "state": state, "revision": revision})
        })
        .collect();
    json!({"instances": rows})
}

struct Case {
    name: &'static str,
    posts: &'static [Post],
    exit: Exit,
    /// Texts that the output must contain.
    out: &'static [&'static str],
    attempts: usize,
}

impl Case {
    async fn check(self) {
        let fake = Fake::start(&sheet("old")).await;
        fake.script(self.posts);
        fake.instances(&[instances(&[("i1", "live", 8), ("i2", "live", 8)])]);
        let file = File::new(&self.name.replace(' ', "-"), &sheet("new"));
        let line = format!("--address {} sheet submit {}", fake.address, file.path());
        let ran = tool(&line).await;
        assert_eq!(ran.exit, self.exit, "{}: {ran:?}", self.name);
        for part in self.out {
            assert!(ran.out.contains(part), "{}: no {part:?} in {ran:?}", self.name);
        }
        let queries = fake.queries();
        assert_eq!(queries.len(), self.attempts, "{}: {queries:?}", self.name);
        assert!(queries[0].starts_with("base=7&submission="), "{}: {queries:?}", self.name);
        assert!(queries.iter().all(|query| *query == queries[0]), "{}: {queries:?}", self.name);
    }
}

#[tokio::test]
async fn each_outcome_has_its_exit_code() {
    const OUTAGE: Post = Post::Answer(503, r#"{"code":1403,"accepted":"no"}"#);
    const UNKNOWN: Post = Post::Answer(503, r#"{"code":1403,"accepted":"unknown"}"#);
    const CONFLICT: Post =
        Post::Answer(409, r#"{"code":1402,"current":9,"changes":["added account north"]}"#);
    let cases = [
        Case {
            name: "accepted",
            posts: &[Post::Accept],
            exit: Exit::Ok,
            out: &["accepted as revision 8", "in force on 2 of 2 known instances"],
            attempts: 1,
        },
        Case {
            name: "answer lost after the write",
            posts: &[Post::AcceptAndBreak],
            exit: Exit::Ok,
            out: &["accepted as revision 8"],
            attempts: 2,
        },
        Case {
            name: "short outage of the store",
            posts: &[OUTAGE, UNKNOWN, Post::Accept],
            exit: Exit::Ok,
            out: &["accepted as revision 8"],
            attempts: 3,
        },
        Case {
            name: "conflict",
            posts: &[CONFLICT],
            exit: Exit::Refused,
            out: &[
                "1402",
                "revision 9 is in force",
                "the sheet in force differs: added account north",
            ],
            attempts: 1,
        },
        Case {
            name: "faults that only the instance sees",
            posts: &[Post::Answer(
                422,
                r#"{"code":1401,"faults":[{"row":2,"column":"rank","code":2113,"message":"m"}]}"#,
            )],
            exit: Exit::Refused,
            out: &["rank", "2113", "no part of the sheet was accepted"],
            attempts: 1,
        },
        Case {
            name: "long outage",
            posts: &[OUTAGE; 6],
            exit: Exit::Unreachable,
            out: &["not accepted: the store could not be reached"],
            attempts: 6,
        },
        Case {
            name: "outage after a lost answer",
            posts: &[Post::Break, OUTAGE, OUTAGE, OUTAGE, OUTAGE, OUTAGE],
            exit: Exit::Unknown,
            out: &["unknown whether accepted", "--base 7 --submission "],
            attempts: 6,
        },
        Case {
            name: "conflict after a lost answer",
            posts: &[Post::Break, CONFLICT],
            exit: Exit::Unknown,
            out: &["unknown whether accepted", "revision 9 is in force now"],
            attempts: 2,
        },
        Case {
            name: "another refusal",
            posts: &[Post::Answer(403, r#"{"code":1501,"reason":"forbidden"}"#)],
            exit: Exit::Refused,
            out: &[],
            attempts: 1,
        },
        Case {
            name: "malformed answer",
            posts: &[Post::Answer(200, "[]")],
            exit: Exit::InvalidAnswer,
            out: &[],
            attempts: 1,
        },
    ];
    // The cases run concurrently so that their pauses between attempts overlap.
    futures_util::future::join_all(cases.into_iter().map(Case::check)).await;
}

#[tokio::test]
async fn instances_without_the_sheet_are_listed() {
    let fake = Fake::start(&sheet("old")).await;
    fake.script(&[Post::Accept]);
    fake.instances(&[instances(&[
        ("i1", "live", 8),
        ("i2", "suspect", 7),
        ("i3", "removed", 2),
        ("i4", "leaving", 9),
    ])]);
    let file = File::new("named", &sheet("new"));
    let line = format!("--address {} sheet submit {} --wait 1", fake.address, file.path());
    let ran = tool(&line).await;
    assert_eq!(ran.exit, Exit::NotEverywhere, "{ran:?}");
    assert!(ran.out.contains("in force on 2 of 3 known instances"), "{ran:?}");
    assert!(ran.out.contains("not on i2 in zone a: suspect, revision 7"), "{ran:?}");

    // Repeating the same submission gives the same revision.
    fake.instances(&[
        instances(&[("i1", "live", 8), ("i2", "live", 7)]),
        instances(&[("i1", "live", 8), ("i2", "live", 8)]),
    ]);
    let id = fake.queries()[0].split('=').next_back().expect("an id").to_owned();
    let ran = tool(&format!("--json {line} --base 7 --submission {id}")).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    let want = json!({"revision": 8, "submission": id, "in_force": 2, "known": 2, "lacking": []});
    assert_eq!(ran.json(), want);
}

#[tokio::test]
async fn a_sheet_with_faults_is_not_posted() {
    let fake = Fake::start(&sheet("old")).await;
    let file = File::new("faulty", &sheet("new").replace(",0,", ",none,"));
    let ran = tool(&format!("--address {} sheet submit {}", fake.address, file.path())).await;
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.out.contains("2113"), "{ran:?}");
    assert!(fake.queries().is_empty());
}

#[tokio::test]
async fn an_unreachable_address_is_skipped() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = listener.local_addr().expect("bound");
    drop(listener);
    let fake = Fake::start(&sheet("old")).await;
    fake.script(&[Post::Accept]);
    fake.instances(&[instances(&[("i1", "live", 8)])]);
    let file = File::new("passed", &sheet("new"));
    let line = format!(
        "--address {closed} --address {} sheet submit {} --base 7",
        fake.address,
        file.path()
    );
    let ran = tool(&line).await;
    assert_eq!(ran.exit, Exit::Ok, "{ran:?}");
    assert_eq!(fake.queries().len(), 1);
}
