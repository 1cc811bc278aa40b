//! Accepted and rejected settings, defaults and the handling of secrets.

use std::collections::BTreeSet;
use std::time::Duration;

use log::LevelFilter;
use sesamewind_settings::{Control, Faults, Log, Records, Secret, Settings, Stop, Traffic};

const EXAMPLE: &str = include_str!("../../../../docs/sesamewindd.example.toml");

/// Settings with the required keys only.
pub(crate) const MINIMAL: &str = r#"
deployment = "d"
[instance]
name = "i"
zone = "z"
region = "r"
[listen]
callers = "127.0.0.1:1"
inner = "127.0.0.1:2"
[platform]
url = "http://127.0.0.1:3/"
[tokens]
operator_env = "OPERATOR"
peer_env = "PEER"
"#;

pub(crate) fn env(name: &str) -> Option<String> {
    match name {
        "OPERATOR" | "SESAMEWIND_OPERATOR_TOKEN" => Some("operator-token".to_owned()),
        "PEER" | "SESAMEWIND_PEER_TOKEN" => Some("peer-token\n".to_owned()),
        "SHORT" => Some("short".to_owned()),
        _ => None,
    }
}

fn parse(text: &str) -> Result<Settings, Faults> {
    Settings::parse(text, &env)
}

#[test]
fn omitted_keys_take_their_defaults() {
    let settings = parse(MINIMAL).expect("valid settings");
    assert_eq!(settings.traffic, Traffic::default());
    assert_eq!(settings.control, Control::default());
    assert_eq!(settings.records, Records::default());
    assert_eq!(settings.stop, Stop::default());
    assert_eq!(settings.log, Log::default());
    assert_eq!(settings.platform.url, "http://127.0.0.1:3");
    assert!(settings.tokens.operator.matches("operator-token"));
    assert!(settings.tokens.peer.matches("peer-token"));
}

#[test]
fn the_example_loads_with_every_key_at_its_default() {
    let example = parse(EXAMPLE).expect("valid settings");
    assert_eq!(example.traffic, Traffic::default());
    assert_eq!(example.control, Control::default());
    assert_eq!(example.records, Records::default());
    assert_eq!(example.stop, Stop::default());
    assert_eq!(example.log.level, LevelFilter::Info);
    assert_eq!(example.instance.name.as_str(), "entry-a1");

    // Each key must follow a comment that explains it.
    let lines: Vec<&str> = EXAMPLE.lines().collect();
    for pair in lines.windows(2).filter(|pair| pair[1].contains(" = ") && !pair[1].starts_with('#'))
    {
        assert!(
            pair[0].starts_with('#') || pair[0] == "[log.modules]",
            "{:?} has no comment",
            pair[1]
        );
    }
    // If the example lacks a key, its section has fewer keys than expected here.
    let table: toml::Table = EXAMPLE.parse().expect("TOML");
    let keys = |section: &str| table[section].as_table().expect("table").len();
    assert_eq!([keys("traffic"), keys("control"), keys("records"), keys("stop")], [8, 8, 3, 2]);
}

#[test]
fn values_have_units() {
    let text = format!(
        "{MINIMAL}[traffic]\nbody_limit = \"1 MB\"\nconnect_timeout = \"1m 30s\"\n\
         [stop]\nbalancer_lag = \"0s\"\n[log]\nlevel = \"warn\"\nmodules = {{ a = \"trace\" }}\n"
    );
    let settings = parse(&text).expect("valid settings");
    assert_eq!(settings.traffic.body_limit, 1_000_000);
    assert_eq!(settings.traffic.connect_timeout, Duration::from_secs(90));
    assert_eq!(settings.stop.balancer_lag, Duration::ZERO);
    assert_eq!(settings.log.level, LevelFilter::Warn);
    assert_eq!(settings.log.modules["a"], LevelFilter::Trace);
}

#[test]
fn each_fault_names_its_key() {
    struct Case {
        name: &'static str,
        /// Text to replace in the minimal settings, and its replacement.
        edit: [&'static str; 2],
        want: &'static [&'static str],
    }
    let case = |name, edit, want: &'static [&'static str]| Case { name, edit, want };
    let cases = [
        case("not TOML", ["deployment =", "deployment"], &[""]),
        case("missing name", ["name = \"i\"", ""], &["instance.name"]),
        case("empty name", ["\"i\"", "\" \""], &["instance.name"]),
        case("name with a slash", ["\"z\"", "\"a/b\""], &["instance.zone"]),
        case("missing section", ["[platform]\nurl = \"http://127.0.0.1:3/\"", ""], &["platform"]),
        case(
            "section of another type",
            ["deployment = \"d\"", "deployment = \"d\"\ntraffic = 1"],
            &["traffic"],
        ),
        case(
            "unknown keys at both levels",
            ["deployment = \"d\"", "deployment = \"d\"\nx = 1\n[stop]\ny = 2"],
            &["x", "stop.y"],
        ),
        case("host name", ["127.0.0.1:1", "host:1"], &["listen.callers"]),
        case("same address twice", ["0.1:2", "0.1:1"], &["listen.inner"]),
        case(
            "no address that peers can connect to",
            ["\"127.0.0.1:2\"", "\"0.0.0.0:2\""],
            &["listen.advertise"],
        ),
        case("URL that is not HTTP", ["http:", "ftp:"], &["platform.url"]),
        case(
            "number for a duration",
            ["[platform]", "[platform]\ncall_timeout = 5"],
            &["platform.call_timeout"],
        ),
        case(
            "duration without a unit",
            ["[platform]", "[platform]\ncall_timeout = \"5\""],
            &["platform.call_timeout"],
        ),
        case(
            "zero duration",
            ["[platform]", "[platform]\ncall_timeout = \"0s\""],
            &["platform.call_timeout"],
        ),
        case(
            "duration and size out of range",
            ["[platform]", "[records]\nkeep = \"8 days\"\nanswer_limit = \"2 GiB\"\n[platform]"],
            &["records.keep", "records.answer_limit"],
        ),
        case(
            "counts and sizes out of range or without a unit",
            [
                "[platform]",
                "[traffic]\nthreads = 0\nqueue_limit = \"5\"\nbody_limit = \"4\"\n\
                 header_limit = \"0 KiB\"\n[platform]",
            ],
            &[
                "traffic.threads",
                "traffic.body_limit",
                "traffic.header_limit",
                "traffic.queue_limit",
            ],
        ),
        case(
            "suspicion after less than two heartbeats",
            ["[platform]", "[control]\nheartbeat = \"20s\"\n[platform]"],
            &["control.suspect_after"],
        ),
        case(
            "removal before suspicion",
            ["[platform]", "[control]\nremove_after = \"2s\"\n[platform]"],
            &["control.remove_after"],
        ),
        case(
            "unknown log levels",
            ["[platform]", "[log]\nlevel = \"loud\"\nmodules = {a = \"b\"}\n[platform]"],
            &["log.level", "log.modules.a"],
        ),
        case("no token", ["peer_env = \"PEER\"", ""], &["tokens.peer"]),
        case(
            "token in the settings themselves",
            ["peer_env", "peer"],
            &["tokens.peer", "tokens.peer"],
        ),
        case("unset variable", ["\"PEER\"", "\"P\""], &["tokens.peer_env"]),
        case("short token", ["\"PEER\"", "\"SHORT\""], &["tokens.peer_env"]),
        case("same token for operators and peers", ["\"PEER\"", "\"OPERATOR\""], &["tokens.peer"]),
        case(
            "missing token file",
            ["peer_env = \"PEER\"", "peer_file = \"/absent/token\""],
            &["tokens.peer_file"],
        ),
        case(
            "both token file and variable",
            ["peer_env = \"PEER\"", "peer_env = \"PEER\"\npeer_file = \"/absent\""],
            &["tokens.peer"],
        ),
    ];
    for case in cases {
        let text = MINIMAL.replacen(case.edit[0], case.edit[1], 1);
        assert_ne!(text, MINIMAL, "{}: the text to replace was not found", case.name);
        let faults = parse(&text).expect_err(case.name);
        let keys: Vec<&str> = faults.as_slice().iter().map(|fault| fault.key.as_str()).collect();
        assert_eq!(keys, case.want, "{}: {faults}", case.name);
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let faults = parse("x = 1\n[listen]\ninner = \"a\"\n[traffic]\nthreads = -1\n")
        .expect_err("invalid settings");
    let keys: BTreeSet<&str> = faults.as_slice().iter().map(|fault| fault.key.as_str()).collect();
    let want = [
        "deployment",
        "instance",
        "listen.callers",
        "listen.inner",
        "platform",
        "tokens",
        "traffic.threads",
        "x",
    ];
    assert_eq!(keys, BTreeSet::from(want));
    assert_eq!(faults.to_string().lines().count(), want.len());
}

#[test]
fn tokens_come_from_files_and_are_not_shown() {
    let path = std::env::temp_dir().join(format!("sesamewind-token-{}", std::process::id()));
    std::fs::write(&path, "token-from-a-file\n").expect("written");
    let file = format!("peer_file = {path:?}");
    let settings = parse(&MINIMAL.replace("peer_env = \"PEER\"", &file));
    std::fs::remove_file(&path).expect("removed");
    let settings = settings.expect("valid settings");
    assert!(settings.tokens.peer.matches("token-from-a-file"));
    let shown = format!("{settings:?}");
    assert!(!shown.contains("token-from") && !shown.contains("operator-token"), "{shown}");
}

#[test]
fn secrets_compare_by_content() {
    let secret = Secret::new("abcdefgh");
    for offered in ["", "abcdefg", "abcdefgi", "abcdefghi", "Abcdefgh"] {
        assert!(!secret.matches(offered), "{offered}");
    }
    assert!(secret.matches("abcdefgh"));
    assert_eq!(secret.expose(), "abcdefgh");
}

#[test]
fn an_absent_file_is_a_fault() {
    let faults = Settings::load(std::path::Path::new("/absent/settings.toml")).expect_err("absent");
    assert!(faults.to_string().contains("/absent/settings.toml"), "{faults}");
}
