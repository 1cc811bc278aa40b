//! Routes, splits and keys.

use sesamewind_gateway::table::{Branch, Rejection};
use sesamewind_gateway::{Repeat, RouteTable};
use sesamewind_protocol::{Revision, ServiceId};

use crate::support::{at, bench, plain_route, routing};

#[test]
fn a_request_finds_its_route_and_account() {
    struct Case {
        host: &'static str,
        path: &'static str,
        key: Option<&'static str>,
        want: Result<&'static str, Rejection>,
    }
    let mut given = routing();
    let mut inner = plain_route("inner", Repeat::Whole);
    inner.prefix = "/read/inner/".into();
    given.routes.push(inner);
    let mut open = plain_route("open", Repeat::Whole);
    open.public = true;
    given.routes.push(open);
    let table = RouteTable::new(given);
    let host = "host.example";
    let cases = [
        Case { host, path: "/read/x", key: Some("key-a"), want: Ok("read") },
        Case { host: "Host.Example", path: "/read/x", key: Some("key-a"), want: Ok("read") },
        Case { host, path: "/read/inner/x", key: Some("key-a"), want: Ok("inner") },
        Case { host, path: "/read/innerx", key: Some("key-a"), want: Ok("read") },
        Case { host, path: "/rea", key: Some("key-a"), want: Err(Rejection::NoRoute) },
        Case { host: "other", path: "/read/x", key: Some("key-a"), want: Err(Rejection::NoRoute) },
        Case { host, path: "/read/x", key: Some("key-b"), want: Err(Rejection::UnknownKey) },
        Case { host, path: "/read/x", key: None, want: Err(Rejection::UnknownKey) },
        Case { host, path: "/open/x", key: None, want: Ok("open") },
    ];
    for case in cases {
        let got = table.resolve(case.host, case.path, case.key);
        let got = got.as_ref().map(|found| found.route.name.as_str()).map_err(|err| *err);
        assert_eq!(got, case.want, "{} {} {:?}", case.host, case.path, case.key);
    }
}

#[test]
fn a_split_follows_its_weights() {
    let mut route = plain_route("split", Repeat::Whole);
    route.split = vec![
        Branch { service: ServiceId::new("a"), weight: 90.0 },
        Branch { service: ServiceId::new("b"), weight: 10.0 },
        Branch { service: ServiceId::new("c"), weight: 0.0 },
    ];
    let count = |name: &str| {
        (0..1_000).filter(|n| route.service_at(f64::from(*n) / 1_000.0).as_str() == name).count()
    };
    assert_eq!((count("a"), count("b"), count("c")), (900, 100, 0));
}

#[test]
fn an_older_configuration_is_not_taken() {
    let mut bench = bench(1, 1);
    for (revision, want) in [(5, 5), (3, 5), (5, 5), (6, 6)] {
        let mut given = routing();
        given.revision = Revision(revision);
        let table = std::sync::Arc::new(RouteTable::new(given));
        bench.send(sesamewind_gateway::Event::Configured(table), at(10));
        assert_eq!(bench.gateway.revision(), Revision(want));
    }
}
