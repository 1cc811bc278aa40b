//! What is taken, what is refused, and where secrets go.

use std::collections::BTreeSet;
use std::time::Duration;

use log::LevelFilter;
use sesamewind_settings::{Control, Faults, Log, Records, Secret, Settings, Stop, Traffic};

const EXAMPLE: &str = include_str!("../../../../docs/sesamewindd.example.toml");

/// The least that has to be given.
pub(crate) const LEAST: &str = r#"
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
fn defaults_hold_for_all_but_the_least() {
    let settings = parse(LEAST).expect("sound");
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
    let example = parse(EXAMPLE).expect("sound");
    assert_eq!(example.traffic, Traffic::default());
    assert_eq!(example.control, Control::default());
    assert_eq!(example.records, Records::default());
    assert_eq!(example.stop, Stop::default());
    assert_eq!(example.log.level, LevelFilter::Info);
    assert_eq!(example.instance.name.as_str(), "entry-a1");

    // Each key stands below a comment that explains it.
    let lines: Vec<&str> = EXAMPLE.lines().collect();
    for pair in lines.windows(2).filter(|pair| pair[1].contains(" = ") && !pair[1].starts_with('#'))
    {
        assert!(
            pair[0].starts_with('#') || pair[0] == "[log.modules]",
            "{:?} unexplained",
            pair[1]
        );
    }
    // A key that the example lacks would show as a difference in the number of keys.
    let table: toml::Table = EXAMPLE.parse().expect("TOML");
    let keys = |section: &str| table[section].as_table().expect("table").len();
    assert_eq!([keys("traffic"), keys("control"), keys("records"), keys("stop")], [8, 8, 3, 2]);
}

#[test]
fn values_have_units() {
    let text = format!(
        "{LEAST}[traffic]\nbody_limit = \"1 MB\"\nconnect_timeout = \"1m 30s\"\n\
         [stop]\nbalancer_lag = \"0s\"\n[log]\nlevel = \"warn\"\nmodules = {{ a = \"trace\" }}\n"
    );
    let settings = parse(&text).expect("sound");
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
        /// Text to replace, and what stands in its place.
        edit: [&'static str; 2],
        want: &'static [&'static str],
    }
    let cases = [
        Case { name: "not TOML", edit: ["deployment =", "deployment"], want: &[""] },
        Case { name: "missing name", edit: ["name = \"i\"", ""], want: &["instance.name"] },
        Case { name: "empty name", edit: ["\"i\"", "\" \""], want: &["instance.name"] },
        Case { name: "name with a slash", edit: ["\"z\"", "\"a/b\""], want: &["instance.zone"] },
        Case {
            name: "missing section",
            edit: ["[platform]\nurl = \"http://127.0.0.1:3/\"", ""],
            want: &["platform"],
        },
        Case {
            name: "section of another type",
            edit: ["deployment = \"d\"", "deployment = \"d\"\ntraffic = 1"],
            want: &["traffic"],
        },
        Case {
            name: "unknown keys at both levels",
            edit: ["deployment = \"d\"", "deployment = \"d\"\nx = 1\n[stop]\ny = 2"],
            want: &["x", "stop.y"],
        },
        Case { name: "host name", edit: ["127.0.0.1:1", "host:1"], want: &["listen.callers"] },
        Case { name: "same address twice", edit: ["0.1:2", "0.1:1"], want: &["listen.inner"] },
        Case {
            name: "no address for peers",
            edit: ["\"127.0.0.1:2\"", "\"0.0.0.0:2\""],
            want: &["listen.advertise"],
        },
        Case { name: "URL", edit: ["http:", "ftp:"], want: &["platform.url"] },
        Case {
            name: "number for a duration",
            edit: ["[platform]", "[platform]\ncall_timeout = 5"],
            want: &["platform.call_timeout"],
        },
        Case {
            name: "duration without a unit",
            edit: ["[platform]", "[platform]\ncall_timeout = \"5\""],
            want: &["platform.call_timeout"],
        },
        Case {
            name: "duration of nothing",
            edit: ["[platform]", "[platform]\ncall_timeout = \"0s\""],
            want: &["platform.call_timeout"],
        },
        Case {
            name: "duration and size out of range",
            edit: [
                "[platform]",
                "[records]\nkeep = \"8 days\"\nanswer_limit = \"2 GiB\"\n[platform]",
            ],
            want: &["records.keep", "records.answer_limit"],
        },
        Case {
            name: "numbers and sizes",
            edit: [
                "[platform]",
                "[traffic]\nthreads = 0\nqueue_limit = \"5\"\nbody_limit = \"4\"\n\
                 header_limit = \"0 KiB\"\n[platform]",
            ],
            want: &[
                "traffic.threads",
                "traffic.body_limit",
                "traffic.header_limit",
                "traffic.queue_limit",
            ],
        },
        Case {
            name: "timeouts that contradict one another",
            edit: ["[platform]", "[control]\nheartbeat = \"20s\"\n[platform]"],
            want: &["control.suspect_after"],
        },
        Case {
            name: "removal before suspicion",
            edit: ["[platform]", "[control]\nremove_after = \"2s\"\n[platform]"],
            want: &["control.remove_after"],
        },
        Case {
            name: "levels",
            edit: ["[platform]", "[log]\nlevel = \"loud\"\nmodules = {a = \"b\"}\n[platform]"],
            want: &["log.level", "log.modules.a"],
        },
        Case { name: "no token", edit: ["peer_env = \"PEER\"", ""], want: &["tokens.peer"] },
        Case {
            name: "token in the settings themselves",
            edit: ["peer_env", "peer"],
            want: &["tokens.peer", "tokens.peer"],
        },
        Case { name: "unset variable", edit: ["\"PEER\"", "\"P\""], want: &["tokens.peer_env"] },
        Case { name: "short token", edit: ["\"PEER\"", "\"SHORT\""], want: &["tokens.peer_env"] },
        Case { name: "same token", edit: ["\"PEER\"", "\"OPERATOR\""], want: &["tokens.peer"] },
        Case {
            name: "absent file",
            edit: ["peer_env = \"PEER\"", "peer_file = \"/absent/token\""],
            want: &["tokens.peer_file"],
        },
        Case {
            name: "file and variable",
            edit: ["peer_env = \"PEER\"", "peer_env = \"PEER\"\npeer_file = \"/absent\""],
            want: &["tokens.peer"],
        },
    ];
    for case in cases {
        let text = LEAST.replacen(case.edit[0], case.edit[1], 1);
        assert_ne!(text, LEAST, "{}: nothing replaced", case.name);
        let faults = parse(&text).expect_err(case.name);
        let keys: Vec<&str> = faults.as_slice().iter().map(|fault| fault.key.as_str()).collect();
        assert_eq!(keys, case.want, "{}: {faults}", case.name);
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let faults =
        parse("x = 1\n[listen]\ninner = \"a\"\n[traffic]\nthreads = -1\n").expect_err("faulty");
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
    let settings = parse(&LEAST.replace("peer_env = \"PEER\"", &file));
    std::fs::remove_file(&path).expect("removed");
    let settings = settings.expect("sound");
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
