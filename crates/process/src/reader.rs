//! The duty that reads the configuration service and the instance list.
//!
//! It reads what it is told to read, one call for one order, and tells what came; when to read is
//! decided elsewhere.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::hash;
use auburnline_core::hash::Digest;
use auburnline_core::published::MANIFEST_KEY;
use auburnline_core::published::Section;
use auburnline_duty::ring;
use auburnline_duty::thread::Thread;
use auburnline_registry::Client;
use auburnline_registry::Instances;
use auburnline_registry::Timeouts;
use bytes::Bytes;
use tokio::task::spawn_local;

/// Number that ties a reading to its order.
pub type Ticket = u64;

/// What to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// The manifest, at once or after a wait for a change.
    Manifest {
        /// Number to return.
        ticket: Ticket,
        /// Digest that is no news.
        known: Option<Digest>,
        /// Longest wait; zero reads at once.
        wait: Duration,
    },
    /// A section.
    Section(Section, String),
    /// The instance list.
    Instances,
}

/// What came of an order; `None` where the service did not answer, or has no such value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The manifest.
    Manifest(Ticket, Option<Bytes>),
    /// A section.
    Section(Section, Option<Bytes>),
    /// The instance list.
    Instances(Option<Instances>),
}

/// Manifest that was read last.
#[derive(Clone, Debug)]
struct Last {
    version: u64,
    digest: Digest,
    bytes: Bytes,
}

/// Starts the duty; `told` gets each reading.
///
/// # Errors
///
/// The system's error if the thread can't be made.
pub fn start(
    address: SocketAddr,
    timeout: Duration,
    mut orders: ring::Receiver<Order>,
    told: impl Fn(Reading) + Clone + Send + 'static,
) -> io::Result<Thread> {
    Thread::start("platform", move || async move {
        let timeouts = Timeouts::new().connect(timeout).head(timeout);
        let client = Client::with_timeouts(address, timeouts);
        let last = Rc::new(RefCell::new(None));
        while let Some(order) = orders.pop().await {
            let client = client.clone();
            let last = Rc::clone(&last);
            let told = told.clone();
            spawn_local(async move { told(obey(&client, &last, order).await) });
        }
    })
}

async fn obey(client: &Client, last: &RefCell<Option<Last>>, order: Order) -> Reading {
    match order {
        Order::Manifest {
            ticket,
            known,
            wait,
        } => Reading::Manifest(ticket, manifest(client, last, known, wait).await),
        Order::Section(section, key) => {
            let read = client.read(&key).await.ok().flatten();
            Reading::Section(section, read.map(|value| value.bytes))
        }
        Order::Instances => Reading::Instances(client.instances().await.ok()),
    }
}

/// Reads the manifest; a watch that saw no change returns what is known.
async fn manifest(
    client: &Client,
    last: &RefCell<Option<Last>>,
    known: Option<Digest>,
    wait: Duration,
) -> Option<Bytes> {
    let held = last.borrow().clone();
    let held = held.filter(|held| Some(&held.digest) == known.as_ref() && !wait.is_zero());
    let read = match &held {
        Some(held) => client.watch(MANIFEST_KEY, held.version, wait).await,
        None => client.read(MANIFEST_KEY).await,
    };
    let Some(value) = read.ok()? else {
        return held.map(|held| held.bytes);
    };
    *last.borrow_mut() = Some(Last {
        version: value.version,
        digest: hash::digest(&value.bytes),
        bytes: value.bytes.clone(),
    });
    Some(value.bytes)
}
