//! A TCP proxy on loopback that injects faults: it closes connections, and drops, holds back or
//! delays their bytes.

mod cut;
mod relay;

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const LISTEN_BACKLOG: u32 = 1024;
const REBIND_ATTEMPTS: u32 = 100;
const RETRY_DELAY: Duration = Duration::from_millis(20);

pub use cut::Cut;

/// What happens to bytes in one direction of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Bytes and the end of the stream are discarded; the connection stays open.
    Drop,
    /// Bytes are held back until the flow changes.
    Freeze,
}

/// How bytes of one connection are handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionMode {
    /// Flow towards the upstream.
    pub up: Flow,
    /// Flow towards the client.
    pub down: Flow,
    /// Delay of every byte in each direction.
    pub delay: Duration,
}

/// The directions that a change applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// Towards the upstream.
    Up,
    /// Towards the client.
    Down,
    /// Both directions.
    Both,
}

impl ConnectionMode {
    fn with_flow(mut self, side: Side, flow: Flow) -> Self {
        if side != Side::Down {
            self.up = flow;
        }
        if side != Side::Up {
            self.down = flow;
        }
        self
    }
}

#[derive(Debug)]
struct OpenConnection {
    source: IpAddr,
    from: SocketAddr,
    mode: watch::Sender<ConnectionMode>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct ConnectionTable {
    upstream: SocketAddr,
    new_mode: ConnectionMode,
    blocked: HashSet<IpAddr>,
    cut: Option<(u32, Cut)>,
    open: HashMap<u64, OpenConnection>,
    by_peer: HashMap<SocketAddr, u64>,
    accepted: u64,
}

impl ConnectionTable {
    fn set_source(&self, source: IpAddr, flow: Flow) {
        for open in self.open.values().filter(|open| open.source == source) {
            open.mode.send_modify(|mode| *mode = mode.with_flow(Side::Both, flow));
        }
    }

    /// Returns the mode of a new connection from `source`.
    fn mode_for(&self, source: IpAddr) -> ConnectionMode {
        let is_blocked = self.blocked.contains(&source);
        if is_blocked { self.new_mode.with_flow(Side::Both, Flow::Freeze) } else { self.new_mode }
    }
}

#[derive(Debug)]
struct Shared {
    table: Mutex<ConnectionTable>,
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP proxy whose faults can be changed while it runs; dropping it closes all connections.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
    listener: Mutex<Option<JoinHandle<()>>>,
}

impl FaultProxy {
    /// Starts a proxy to `upstream` on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(upstream: SocketAddr) -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), upstream).await
    }

    /// Starts a proxy to `upstream` that listens on `listen`.
    ///
    /// # Panics
    ///
    /// Panics if `listen` can't be bound.
    pub async fn bind(listen: SocketAddr, upstream: SocketAddr) -> Self {
        let listener = bind(listen).expect("proxy address can be bound");
        let addr = listener.local_addr().expect("bound socket has an address");
        let table = ConnectionTable {
            upstream,
            new_mode: ConnectionMode::default(),
            blocked: HashSet::new(),
            cut: None,
            open: HashMap::new(),
            by_peer: HashMap::new(),
            accepted: 0,
        };
        let shared = Arc::new(Shared { table: Mutex::new(table) });
        let task = tokio::spawn(accept(listener, addr, Arc::clone(&shared)));
        Self { addr, shared, listener: Mutex::new(Some(task)) }
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Forwards connections made from now on to `upstream`.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.shared.table().upstream = upstream;
    }

    /// Returns the number of connections accepted since the start.
    pub fn accepted(&self) -> u64 {
        self.shared.table().accepted
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        let mut table = self.shared.table();
        table.open.retain(|_, open| !open.task.is_finished());
        table.open.len()
    }

    /// Sets the flow on open and new connections.
    pub fn set(&self, side: Side, flow: Flow) {
        self.set_new(side, flow);
        self.set_open(side, flow);
    }

    /// Sets the flow on connections that are open now; new ones are not affected.
    pub fn set_open(&self, side: Side, flow: Flow) {
        for open in self.shared.table().open.values() {
            open.mode.send_modify(|mode| *mode = mode.with_flow(side, flow));
        }
    }

    /// Sets the flow on connections made from now on.
    pub fn set_new(&self, side: Side, flow: Flow) {
        let mut table = self.shared.table();
        table.new_mode = table.new_mode.with_flow(side, flow);
    }

    /// Sets the delay in each direction on open and new connections.
    pub fn delay(&self, delay: Duration) {
        let mut table = self.shared.table();
        table.new_mode.delay = delay;
        for open in table.open.values() {
            open.mode.send_modify(|mode| mode.delay = delay);
        }
    }

    /// Simulates a network partition between `source` and the upstream: bytes on open and new
    /// connections are held back until [`FaultProxy::unblock`], as when packets are lost and
    /// retransmitted.
    pub fn block(&self, source: IpAddr) {
        let mut table = self.shared.table();
        table.blocked.insert(source);
        table.set_source(source, Flow::Freeze);
    }

    /// Ends the partition started by [`FaultProxy::block`].
    pub fn unblock(&self, source: IpAddr) {
        let mut table = self.shared.table();
        table.blocked.remove(&source);
        table.set_source(source, Flow::Pass);
    }

    /// Simulates a network partition between the process `pid` and the upstream, or ends it. Only one
    /// process can be cut.
    pub fn set_cut(&self, pid: u32, cut: Option<Cut>) {
        let mut table = self.shared.table();
        table.cut = cut.map(|cut| (pid, cut));
        let own = table.open.values().filter(|open| cut::is_from(pid, open.from, self.addr));
        for open in own {
            match cut {
                Some(Cut::Reset) => open.task.abort(),
                Some(Cut::RefuseNew) => {}
                Some(Cut::Hang) | None => {
                    let flow = if cut.is_some() { Flow::Freeze } else { Flow::Pass };
                    open.mode.send_modify(|mode| *mode = mode.with_flow(Side::Both, flow));
                }
            }
        }
    }

    /// Closes every open connection; new ones are accepted.
    pub async fn close_open(&self) {
        let open: Vec<OpenConnection> = {
            let mut table = self.shared.table();
            table.by_peer.clear();
            table.open.drain().map(|(_, open)| open).collect()
        };
        for OpenConnection { task, .. } in open {
            task.abort();
            let _ = task.await;
        }
    }

    /// Closes the connection whose upstream side has the address `peer`.
    pub fn close_peer(&self, peer: SocketAddr) {
        let mut table = self.shared.table();
        let Some(id) = table.by_peer.remove(&peer) else { return };
        let Some(open) = table.open.remove(&id) else { return };
        open.task.abort();
    }

    /// Closes every connection and stops listening, so that new ones are refused.
    pub async fn cut(&self) {
        let task = self.listener().take();
        if let Some(task) = task {
            task.abort();
            let _ = task.await;
        }
        self.close_open().await;
    }

    /// Listens again, and forwards all bytes without delay on open and new connections.
    ///
    /// # Panics
    ///
    /// Panics if another socket has taken the address in the meantime.
    pub async fn restore(&self) {
        self.set(Side::Both, Flow::Pass);
        self.delay(Duration::ZERO);
        if self.listener().is_some() {
            return;
        }
        let listener = rebind(self.addr).await;
        let task = tokio::spawn(accept(listener, self.addr, Arc::clone(&self.shared)));
        *self.listener() = Some(task);
    }

    fn listener(&self) -> MutexGuard<'_, Option<JoinHandle<()>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        if let Some(task) = self.listener().take() {
            task.abort();
        }
        for open in self.shared.table().open.values() {
            open.task.abort();
        }
    }
}

fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit the option from the listening one.
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn rebind(addr: SocketAddr) -> TcpListener {
    for _ in 0..REBIND_ATTEMPTS {
        if let Ok(listener) = bind(addr) {
            return listener;
        }
        sleep(RETRY_DELAY).await;
    }
    panic!("address {addr} of the proxy was taken by another socket");
}

async fn accept(listener: TcpListener, addr: SocketAddr, shared: Arc<Shared>) {
    loop {
        let Ok((client, from)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let mut table = shared.table();
        let id = table.accepted;
        table.accepted += 1;
        let source = from.ip();
        let mut mode = table.mode_for(source);
        match table.cut.filter(|(pid, _)| cut::is_from(*pid, from, addr)) {
            Some((_, Cut::Hang)) => mode = mode.with_flow(Side::Both, Flow::Freeze),
            Some((_, Cut::Reset | Cut::RefuseNew)) => {
                let _ = client.set_zero_linger();
                continue;
            }
            None => {}
        }
        let (mode, modes) = watch::channel(mode);
        let task = tokio::spawn(relay::connection(Arc::clone(&shared), id, client, modes));
        table.open.insert(id, OpenConnection { source, from, mode, task });
    }
}
