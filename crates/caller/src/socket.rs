//! The settings of sockets that `dropshot` does not offer.
//!
//! Without `TCP_NODELAY` the system holds a token back until the caller has acknowledged the one
//! before it, which callers that keep connections do some 40 ms late. On Linux a connection takes
//! the settings of the listener that accepted it, so they are set there, once. `dropshot` keeps its
//! listener to itself; it is found among this process's descriptors by its port.
//!
//! The HTTP library's read buffer grows to what one read brings, which the receive buffer of the
//! connection bounds.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::os::fd::BorrowedFd;
use std::os::fd::RawFd;

use dropshot::HttpServer;
use dropshot::ServerContext;
use socket2::SockRef;

/// Tables of the sockets of this network namespace.
const TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];
/// Descriptors of this process.
const DESCRIPTORS: &str = "/proc/self/fd";
/// State of a listening socket in the tables.
const LISTENING: &str = "0A";
/// Columns of the tables.
const ADDRESS: usize = 1;
const STATE: usize = 3;
const INODE: usize = 9;

/// Receive buffer of a connection, in bytes.
const RECEIVE_BYTES: usize = 32 << 10;

/// Bounds what the system receives ahead on all connections to come.
///
/// # Errors
///
/// The system's error if the listener can't be found or set.
pub(crate) fn bound_receiving<C: ServerContext>(server: &HttpServer<C>) -> io::Result<()> {
    let set = |listener: &SockRef| listener.set_recv_buffer_size(RECEIVE_BYTES);
    each(server, set).map(|_| ())
}

/// Lets all connections to come send what is written at once.
///
/// # Errors
///
/// The system's error if the listener can't be found or set.
pub(crate) fn send_at_once<C: ServerContext>(server: &HttpServer<C>) -> io::Result<()> {
    each(server, |listener| listener.set_tcp_nodelay(true)).map(|_| ())
}

/// Returns whether connections to come send what is written at once.
///
/// # Errors
///
/// The system's error if the listener can't be found or asked.
pub(crate) fn sends_at_once<C: ServerContext>(server: &HttpServer<C>) -> io::Result<bool> {
    let all = each(server, |listener| listener.tcp_nodelay())?;
    Ok(all.into_iter().all(|is_set| is_set))
}

/// Does something with each listener of this process on the server's port; there is at least one.
fn each<C: ServerContext, T>(
    server: &HttpServer<C>,
    act: impl Fn(&SockRef) -> io::Result<T>,
) -> io::Result<Vec<T>> {
    let listening = listening(server.local_addr().port());
    let mut done = Vec::new();
    for descriptor in fs::read_dir(DESCRIPTORS)? {
        let path = descriptor?.path();
        let target = fs::read_link(&path).unwrap_or_default();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if let Ok(number) = name.parse()
            && listening.contains(&*target.to_string_lossy())
        {
            done.push(with(number, &act)?);
        }
    }
    if done.is_empty() {
        return Err(io::Error::other("the listener is not found"));
    }
    Ok(done)
}

/// Returns how this process's descriptors name the sockets that listen on a port.
fn listening(port: u16) -> BTreeSet<String> {
    let tables = TABLES.map(|table| fs::read_to_string(table).unwrap_or_default());
    let lines = tables.iter().flat_map(|table| table.lines());
    let end = format!(":{port:04X}");
    let sockets = lines.filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let here = columns.get(ADDRESS)?.ends_with(&end) && *columns.get(STATE)? == LISTENING;
        here.then_some(())?;
        Some(format!("socket:[{}]", columns.get(INODE)?))
    });
    sockets.collect()
}

#[allow(unsafe_code, reason = "dropshot does not lend its listener")]
fn with<T>(number: RawFd, act: impl Fn(&SockRef) -> io::Result<T>) -> io::Result<T> {
    // SAFETY: the descriptor is a listener of this process, on the port of a server that its caller
    // borrows; listeners are closed with their servers only, so it stays open while borrowed here.
    let listener = unsafe { BorrowedFd::borrow_raw(number) };
    act(&SockRef::from(&listener))
}
