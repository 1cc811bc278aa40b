//! A TCP proxy whose open connections can go silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use crate::http::bind;

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections with numbers below this one are silent.
    silent: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(upstream: SocketAddr) -> Self {
        let listener = bind();
        let address = listener.local_addr().expect("a bound socket has an address");
        let (silent, accepted) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let this = Self { address, silent: Arc::clone(&silent), accepted: Arc::clone(&accepted) };
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let number = accepted.fetch_add(1, Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(upstream) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(client_too), Ok(server_too)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let silent_too = Arc::clone(&silent);
                thread::spawn(move || pump(client_too, server_too, number, &silent_too));
                let silent = Arc::clone(&silent);
                thread::spawn(move || pump(server, client, number, &silent));
            }
        });
        this
    }

    /// Makes the connections that are open now silent for good: they stay open, and deliver nothing.
    pub fn silence(&self) {
        self.silent.store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, silent: &AtomicU64) {
    let mut bytes = [0; 16_384];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        if number < silent.load(Ordering::SeqCst) {
            if count == 0 {
                // The other side isn't told. It stays open as long as the process holds `to`.
                std::mem::forget(to);
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
