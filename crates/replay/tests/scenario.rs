//! Tests of the scenario parser.

use sesamewind_replay::scenario::{GroundTruth, Scenario};
use sesamewind_replay::trace;
use sesamewind_standins::Control;

const SCENARIO: &str = r#"
region = "r"
zones = ["z"]
zone_delay_ms = 1.5
client_delay_ms = 3
instances = [{ name = "i1", zone = "z" }]
tiers = [{ name = "urgent", rank = 0, first_token_ms = 500, total_ms = 2000 }]
accounts = [{ name = "a", tier = "urgent" }]
generations.new = { prefill_tokens_per_s = 1, decode_tokens_per_s = 1, batch_knee = 1, max_batch = 1, cache_tokens = 1 }
versions = [{ service = "s", version = "v2", bad = { fail_share = 0.5 } }]
rollouts = [{ id = "r1", service = "s", from = "v1", to = "v2", deadline_s = 9, share = 0.1, truth = "bad" }]
faults = [{ at_s = 1, node = "e1", do = "slow", factor = 3.0 }, { at_s = 2, node = "platform", do = "down", on = true }]
outcomes = [{ name = "o", measure = "lost", at_most = 0 }]

[[targets]]
name = "e1"
service = "s"
zone = "z"
generation = "new"

[[services]]
name = "s"
class = "model"
version = "v1"
routes = [{ route = "reply", tier = "urgent", idempotent = false }]
"#;

#[test]
fn a_scenario_is_read_with_its_faults() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    assert_eq!(scenario.rollouts[0].truth, GroundTruth::Bad);
    assert_eq!(scenario.faults[0].control, Control::Slow { factor: 3.0 });
    assert_eq!(scenario.faults[1].control, Control::Down { on: true });
    assert_eq!(scenario.zone_delay().as_micros(), 1_500);
}

#[test]
fn inconsistent_scenarios_are_refused() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        message: &'static str,
    }
    let case = |name, from, to, message| Case { name, from, to, message };
    let cases = [
        case("unknown key", "region =", "regions =", "unknown field"),
        case("fault", "do = \"slow\"", "do = \"explode\"", "unknown variant"),
        case("node", "node = \"e1\"", "node = \"e9\"", "fault on e9: unknown node"),
        case("zone", "name = \"i1\", zone = \"z\"", "name = \"i1\", zone = \"y\"", "instance i1"),
        case("generation", "generation = \"new\"", "", "target e1: unknown generation"),
        case(
            "tier",
            "route = \"reply\", tier = \"urgent\"",
            "route = \"reply\", tier = \"u\"",
            "route reply",
        ),
        case("outcome", ", at_most = 0", "", "outcome o: needs at_least, at_most or equals"),
    ];
    for case in cases {
        let text = SCENARIO.replace(case.from, case.to);
        let message = Scenario::parse(&text).unwrap_err().to_string();
        assert!(message.contains(case.message), "{}: {message}", case.name);
    }
}

#[test]
fn a_trace_with_names_that_the_scenario_does_not_define_is_refused() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let header = trace::COLUMNS.join(",");
    for (line, valid) in [
        ("0,a,urgent,s,reply,k,0,,0,1,1,9", true),
        ("0,b,urgent,s,reply,k,0,,0,1,1,9", false),
        ("0,a,low,s,reply,k,0,,0,1,1,9", false),
        ("0,a,urgent,t,reply,k,0,,0,1,1,9", false),
    ] {
        let entries = trace::read(format!("{header}\n{line}\n").as_bytes()).unwrap();
        assert_eq!(scenario.check_trace(&entries).is_ok(), valid, "{line}");
    }
}
