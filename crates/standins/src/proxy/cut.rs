//! Partitions of one process from the upstream.

use std::fs;
use std::net::{IpAddr, SocketAddr};

/// How the path of a process fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing arrives on open and new connections.
    Hang,
    /// Open and new connections are closed.
    Reset,
    /// New connections are reset; open ones carry data.
    RefuseNew,
}

/// Returns whether the connection from `from` to `to` was made by the process `pid`.
pub(super) fn is_from(pid: u32, from: SocketAddr, to: SocketAddr) -> bool {
    let Some(inode) = inode(from, to) else { return false };
    let wanted = format!("socket:[{inode}]");
    let Ok(open) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let links = open.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == wanted.as_str())
}

/// Returns the inode of the socket at `from`. Several connections may share its port, so both ends count.
fn inode(from: SocketAddr, to: SocketAddr) -> Option<String> {
    let (local, remote) = (row_address(from)?, row_address(to)?);
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row.get(1..3) == Some(&[local.as_str(), remote.as_str()]))?;
    row.get(9).map(|&inode| inode.to_owned())
}

fn row_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port()))
}
