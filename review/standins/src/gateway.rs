//! Starts the project's gateway as the deploy file does.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::proxy::Proxy;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// SIGHUP.
pub const HANGUP: i32 = 1;
/// SIGKILL.
pub const KILL: i32 = 9;
/// SIGTERM.
pub const TERMINATE: i32 = 15;

/// Fields of the platform's settings by their paths, such as `bounds.graceS`.
pub type Fields = HashMap<String, String>;

/// A gateway process.
#[derive(Debug)]
pub struct Gateway {
    /// Name of the instance.
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    fields: Fields,
    /// Address of its listener for peers, and the one at which they reach it.
    inner: SocketAddr,
    advertised: Option<SocketAddr>,
    child: Option<Child>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// The settings of a small deployment; the bounds are those of the standard sites.
fn standard_fields() -> Fields {
    let fields = [
        ("zone", "z1"),
        ("zones", "z1=r1"),
        ("bounds.retryBudgetRatio", "0.2"),
        ("bounds.retryBudgetExtra", "52"),
        ("bounds.budgetWindowS", "10"),
        ("bounds.quotaWindowS", "8"),
        ("bounds.quotaOverage", "0.1"),
        ("bounds.quotaSlack", "140000"),
        ("bounds.drainMs", "2000"),
        ("bounds.graceS", "8"),
        ("bounds.contactMs", "3000"),
    ];
    fields.into_iter().map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Fills in the project's template as DEPLOY.md describes.
fn render(template: &str, fields: &Fields) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("the end of a section's name");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = name_end + text[name_end..].find(&close).expect("the end of a section");
        let inner = text[name_end + 2..end].to_owned();
        let filled = match name.as_str() {
            "zones" => fields["zones"]
                .split(',')
                .filter_map(|entry| entry.split_once('='))
                .map(|(zone, region)| inner.replace("{{@}}", zone).replace("{{.}}", region))
                .collect(),
            _ if fields.contains_key(&name) => inner,
            _ => String::new(),
        };
        text.replace_range(start..end + close.len(), &filled);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Gateway {
    /// Prepares an instance that uses the store at `store`, with its settings in `folder`.
    pub fn new(name: &str, store: SocketAddr, root: &Path, folder: &Path) -> Self {
        let (front, readiness, inner) = (free_address(), free_address(), free_address());
        let mut fields = standard_fields();
        for (field, value) in [
            ("nodeName", name.to_owned()),
            ("bootstrap", "true".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.readiness", readiness.to_string()),
            ("ip", inner.ip().to_string()),
            ("internalPortRange.0", inner.port().to_string()),
            ("platform.address", store.to_string()),
        ] {
            fields.insert(field.to_owned(), value);
        }
        let settings = folder.join(format!("{name}.toml"));
        let (name, root) = (name.to_owned(), root.to_owned());
        Self {
            name,
            front,
            readiness,
            settings,
            root,
            fields,
            inner,
            advertised: None,
            child: None,
        }
    }

    /// Puts a proxy before the listener for peers.
    pub fn set_peer_proxy(&mut self) -> Arc<Proxy> {
        let proxy = Proxy::start(self.inner);
        self.advertised = Some(proxy.address);
        proxy
    }

    /// Changes a field of the settings and writes the file.
    pub fn set(&mut self, field: &str, value: &str) {
        self.fields.insert(field.to_owned(), value.to_owned());
        self.write_settings();
    }

    fn write_settings(&self) {
        let template = self.root.join("deploy/settings.toml");
        let template = fs::read_to_string(template).expect("the template of the settings");
        let next = self.settings.with_extension("next");
        let mut text = render(&template, &self.fields);
        if let Some(address) = self.advertised {
            text = text.replace("[listen]\n", &format!("[listen]\nadvertise = \"{address}\"\n"));
        }
        fs::write(&next, text).expect("settings can be written");
        fs::rename(&next, &self.settings).expect("settings can be replaced");
    }

    /// Starts the process with the command of the deploy file, and waits until it is ready.
    pub fn start(&mut self) -> Result<(), String> {
        if let Some(mut former) = self.child.take() {
            let _ = former.wait();
        }
        self.write_settings();
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"));
        let deploy = deploy.map_err(|err| format!("deploy/system.toml: {err}"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or("no command in the deploy file")?.trim().trim_matches('"').to_owned();
        let token = deploy.split("SESAMEWIND_PEER_TOKEN = \"").nth(1).unwrap_or("token\"");
        let token = token.split('"').next().unwrap_or("token");
        let log =
            File::options().create(true).append(true).open(self.settings.with_extension("log"));
        let log = log.map_err(|err| format!("log: {err}"))?;
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let child = Command::new(program)
            .args(words)
            .current_dir(&self.root)
            .env("SESAMEWIND_CONFIG", &self.settings)
            .env("SESAMEWIND_PEER_TOKEN", token)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.map_err(|err| format!("the gateway can't be started: {err}"))?);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(15) {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready after 15 s", self.name))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let text = b"GET /sesamewind/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if std::io::Write::write_all(&mut stream, text).is_err() {
            return false;
        }
        let answer = http::read(&mut BufReader::new(stream));
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns the memory that the process occupies, in MiB.
    pub fn memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kb = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the log of the process.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
