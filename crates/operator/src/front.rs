//! Bounds on connections, which `dropshot` doesn't offer.
//!
//! Connections to the operators' address are taken here and their bytes handed on to `dropshot` on a
//! loopback address that the kernel chooses. A connection beyond the bound gets a typed answer at
//! once; each ends after a fixed lifetime, so that slow senders can't hold them for good.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind;
use tokio::io::AsyncWriteExt;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::failure::Failure;

/// Longest life of a connection.
const LIFETIME: Duration = Duration::from_mins(1);
/// Time that the refusal of a connection may take.
const REFUSAL: Duration = Duration::from_secs(1);
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Refusals that are written at once; further connections are just closed.
const MAX_REFUSALS: usize = 16;

/// Takes connections for good and hands them to `inner`, at most `most` at once.
pub(crate) async fn run(listener: TcpListener, inner: SocketAddr, most: usize) {
    let places = Arc::new(Semaphore::new(most));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    loop {
        let Ok((outer, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Ok(place) = Arc::clone(&places).try_acquire_owned() {
            tokio::spawn(async move {
                let _ = timeout(LIFETIME, relay(outer, inner)).await;
                drop(place);
            });
        } else if let Ok(place) = Arc::clone(&refusals).try_acquire_owned() {
            tokio::spawn(async move {
                let _ = timeout(REFUSAL, refuse(outer)).await;
                drop(place);
            });
        }
    }
}

async fn relay(mut outer: TcpStream, inner: SocketAddr) -> std::io::Result<()> {
    let mut inner = TcpStream::connect(inner).await?;
    copy_bidirectional(&mut outer, &mut inner).await?;
    Ok(())
}

async fn refuse(mut outer: TcpStream) -> std::io::Result<()> {
    outer.write_all(refusal().as_bytes()).await?;
    outer.shutdown().await
}

fn refusal() -> String {
    let kind = Kind::Overloaded;
    let failure = Failure::new(kind, "too many connections");
    let body = serde_json::to_string(&failure).unwrap_or_default();
    let status = kind.row().status;
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Service Unavailable\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
}
