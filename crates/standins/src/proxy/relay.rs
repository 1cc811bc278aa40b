//! Forwards the bytes of one connection through a fault proxy.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::{ConnectionMode, Flow, Shared};

const BUFFER_BYTES: usize = 16 << 10;
const MAX_QUEUED_BUFFERS: usize = 256;

/// Relays one connection until it ends, and removes it from the table.
pub(super) async fn connection(
    shared: Arc<Shared>,
    id: u64,
    client: TcpStream,
    modes: watch::Receiver<ConnectionMode>,
) {
    let peer = relay(&shared, id, client, modes).await.ok();
    let mut table = shared.table();
    table.open.remove(&id);
    if let Some(peer) = peer {
        table.by_peer.remove(&peer);
    }
}

async fn relay(
    shared: &Shared,
    id: u64,
    client: TcpStream,
    modes: watch::Receiver<ConnectionMode>,
) -> io::Result<SocketAddr> {
    let upstream = shared.table().upstream;
    let upstream = TcpStream::connect(upstream).await?;
    upstream.set_nodelay(true)?;
    let peer = upstream.local_addr()?;
    shared.table().by_peer.insert(peer, id);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let up = forward(client_read, upstream_write, modes.clone(), |mode| mode.up);
    let down = forward(upstream_read, client_write, modes, |mode| mode.down);
    // An error in one direction ends both; a clean end of one leaves the other open.
    let _ = tokio::try_join!(up, down);
    Ok(peer)
}

async fn forward(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    modes: watch::Receiver<ConnectionMode>,
    flow: impl Fn(&ConnectionMode) -> Flow,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_BUFFERS);
    tokio::try_join!(read_side(from, sender, modes, flow), write_side(to, receiver))?;
    Ok(())
}

async fn read_side(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<(Instant, Bytes)>,
    mut modes: watch::Receiver<ConnectionMode>,
    flow: impl Fn(&ConnectionMode) -> Flow,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(BUFFER_BYTES);
        let count = from.read_buf(&mut buffer).await?;
        let Ok(mode) = modes.wait_for(|mode| flow(mode) != Flow::Freeze).await.map(|mode| *mode)
        else {
            return Ok(());
        };
        match (flow(&mode), count) {
            (Flow::Drop, 0) => return pending().await,
            (Flow::Drop, _) => buffer.clear(),
            (_, 0) => return Ok(()),
            (_, _) => {
                let due = Instant::now() + mode.delay;
                if sender.send((due, buffer.split().freeze())).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

async fn write_side(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
) -> io::Result<()> {
    while let Some((due, bytes)) = receiver.recv().await {
        if due > Instant::now() {
            sleep_until(due).await;
        }
        to.write_all(&bytes).await?;
    }
    to.shutdown().await
}
