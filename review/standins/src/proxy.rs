//! A TCP proxy whose links can be cut: silently for all callers, or with resets for one process.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

/// Interval at which a link without traffic checks whether it is cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// The links to one upstream.
#[derive(Debug)]
pub struct Proxy {
    /// Address of the proxy.
    pub address: SocketAddr,
    /// Whether the bytes of all callers are held.
    is_silent: AtomicBool,
    /// Process whose connections are reset; zero for none.
    reset: AtomicU32,
}

impl Proxy {
    /// Starts a proxy for `upstream` on a free loopback port.
    pub fn start(upstream: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (is_silent, reset) = (AtomicBool::new(false), AtomicU32::new(0));
        let proxy = Arc::new(Self { address, is_silent, reset });
        let shared = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = Arc::clone(&shared);
                thread::spawn(move || proxy.link(stream, upstream));
            }
        });
        proxy
    }

    /// Holds the bytes of all callers in both directions.
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Resets the open connections of the process `pid`, and its new ones.
    pub fn reset(&self, pid: u32) {
        self.reset.store(pid, Ordering::SeqCst);
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.is_silent.store(false, Ordering::SeqCst);
        self.reset.store(0, Ordering::SeqCst);
    }

    fn wait_while_silent(&self) {
        while self.is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn is_reset(&self, owner: &Owner) -> bool {
        match self.reset.load(Ordering::SeqCst) {
            0 => false,
            pid => owner.is(pid),
        }
    }

    fn link(self: Arc<Self>, caller: TcpStream, upstream: SocketAddr) {
        let Ok(from) = caller.peer_addr() else { return };
        let owner = Arc::new(Owner::of(from, self.address));
        if self.is_reset(&owner) {
            return close_with_reset(&caller);
        }
        self.wait_while_silent();
        let Ok(server) = TcpStream::connect(upstream) else { return };
        let pairs = (caller.try_clone(), server.try_clone());
        let (Ok(caller2), Ok(server2)) = pairs else { return };
        let (proxy, shared) = (Arc::clone(&self), Arc::clone(&owner));
        let other = thread::spawn(move || proxy.copy(&caller2, &server2, &shared));
        self.copy(&server, &caller, &owner);
        let _ = other.join();
        if self.is_reset(&owner) {
            close_with_reset(&caller);
        }
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, owner: &Owner) {
        let _ = to.set_nodelay(true);
        let _ = from.set_read_timeout(Some(CHECK_INTERVAL));
        let mut buffer = [0; 16_384];
        loop {
            let read = from.read(&mut buffer);
            self.wait_while_silent();
            if self.is_reset(owner) {
                break;
            }
            match read {
                Ok(length @ 1..) if to.write_all(&buffer[..length]).is_ok() => {}
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => break,
            }
        }
        if self.is_reset(owner) {
            // The other direction notices it within the interval, and the caller's side is reset.
            return;
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

/// Lets the socket end with a reset when its last handle is dropped.
fn close_with_reset(stream: &TcpStream) {
    let linger = [1, 0];
    // SAFETY: the descriptor is open, and the value has the layout of `struct linger`.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &raw const linger, 8) };
}

/// The process that has opened a connection.
#[derive(Debug)]
struct Owner {
    /// Name of its socket.
    socket: Option<String>,
    /// Whether it is the process that was asked about first.
    known: OnceLock<bool>,
}

impl Owner {
    fn of(from: SocketAddr, to: SocketAddr) -> Self {
        let socket = inode(from, to).map(|inode| format!("socket:[{inode}]"));
        Self { socket, known: OnceLock::new() }
    }

    /// Returns whether it is the process `pid`, which is the same in all calls.
    fn is(&self, pid: u32) -> bool {
        *self.known.get_or_init(|| self.has_socket(pid))
    }

    fn has_socket(&self, pid: u32) -> bool {
        let Some(wanted) = &self.socket else { return false };
        let Ok(open) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
        let mut links = open.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
        links.any(|link| link.as_os_str() == wanted.as_str())
    }
}

fn inode(from: SocketAddr, to: SocketAddr) -> Option<String> {
    let wanted = [row_address(from)?, row_address(to)?];
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let row: Vec<&str> = line.split_whitespace().collect();
        (row.get(1..3)? == wanted).then(|| row.get(9).map(|inode| (*inode).to_owned()))?
    })
}

fn row_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port()))
}
