//! The operator's configuration.

/// A route.
#[derive(Debug, Clone)]
pub struct Route<'a> {
    /// Name, which is the first part of its paths.
    pub name: &'a str,
    /// `idempotent`, `non_idempotent` or `streaming`.
    pub kind: &'a str,
    /// Service.
    pub service: &'a str,
    /// Longest time to keep a client waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Largest number of engines that one client attempt may be sent to.
    pub attempts: u32,
}

/// Returns a configuration with these routes and with keys of one tenant without a quota.
pub fn text(version: u32, routes: &[Route<'_>], services: &[&str], keys: &[&str]) -> String {
    text_with_quota(version, routes, services, keys, 0)
}

/// Like [`text`], with a quota of `rate` tokens a second and a burst of as many.
pub fn text_with_quota(
    version: u32,
    routes: &[Route<'_>],
    services: &[&str],
    keys: &[&str],
    rate: u32,
) -> String {
    let routes = routes.iter().map(|route| {
        let Route { name, kind, service, timeout_ms, attempts } = route;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":1000,\
             \"targetGapMs\":200,\"priority\":0,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"public\":false,\"resumable\":false}}"
        )
    });
    let services = services.iter().map(|name| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":600}}")
    });
    let keys = keys.iter().map(|key| format!("\"{key}\""));
    let join = |parts: &mut dyn Iterator<Item = String>| parts.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"t1\",\"apiKeys\":[{}],\"priority\":1,\"unit\":\"token_stream\",\
         \"uncachedTokens\":10,\"ratePerS\":{rate},\"burst\":{rate}}}]}}",
        join(&mut { routes }),
        join(&mut { services }),
        join(&mut { keys })
    )
}
