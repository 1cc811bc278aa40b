//! A TCP proxy on loopback. Its open connections can be made silent for good, while new ones work; or it
//! can hold back all bytes, as a partition does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug, Default)]
struct Core {
    /// Rises each time the open connections fall silent.
    round: AtomicU64,
    /// Whether the other side can't be reached at present: nothing passes.
    cut: AtomicBool,
}

/// A running proxy.
#[derive(Debug, Clone)]
pub struct Proxy {
    core: Arc<Core>,
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let core = Arc::new(Core::default());
        let shared = Arc::clone(&core);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let core = Arc::clone(&shared);
                thread::spawn(move || {
                    let round = core.round.load(Ordering::SeqCst);
                    // Behind a partition, what was sent arrives once it has healed.
                    core.wait(round);
                    let Ok(server) = TcpStream::connect(upstream) else { return };
                    let _ = client.set_nodelay(true);
                    let _ = server.set_nodelay(true);
                    let (Ok(c), Ok(s)) = (client.try_clone(), server.try_clone()) else { return };
                    let other = Arc::clone(&core);
                    thread::spawn(move || pump(&other, round, s, c));
                    pump(&core, round, client, server);
                });
            }
        });
        Ok(Self { core, address })
    }

    /// Makes all connections silent for good that are open now. New ones work.
    pub fn silence_open(&self) {
        self.core.round.fetch_add(1, Ordering::SeqCst);
    }

    /// Begins or ends a partition: bytes of all connections are held back.
    pub fn set_cut(&self, cut: bool) {
        self.core.cut.store(cut, Ordering::SeqCst);
    }
}

impl Core {
    fn is_silent(&self, round: u64) -> bool {
        self.round.load(Ordering::SeqCst) != round
    }

    /// Waits while there is a partition.
    fn wait(&self, round: u64) {
        while self.cut.load(Ordering::SeqCst) && !self.is_silent(round) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn pump(core: &Core, round: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16_384];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        core.wait(round);
        if core.is_silent(round) {
            if count == 0 {
                // The end does not get through either. The socket stays open for the other side.
                thread::sleep(Duration::from_secs(120));
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}
