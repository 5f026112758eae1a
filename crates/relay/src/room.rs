//! Room for connections, within the file descriptors that the process may have.
//!
//! Each connection takes a place until it ends, and none is accepted without one: where the system has no descriptor left, new
//! connections would stay unread for as long as others are kept. While many are open none is kept beyond its request, and when
//! all places are taken those that have waited longest for a request are closed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::sleep;

/// Time for which a connection may wait for a request in any case: one has mostly been sent by then if it was under way.
const MIN_IDLE: Duration = Duration::from_millis(100);
/// Interval at which the connections that may make room are looked at again.
const POLL: Duration = Duration::from_millis(20);
/// Divisor of the number of connections that may be busy which gives how many more may be open. Requests on these are refused,
/// which takes no connection to an upstream.
const EXCESS_DIVISOR: usize = 2;
/// Percentage of the connections that may be busy beyond which none is kept.
const CROWDED_PERCENT: usize = 75;

/// Places for connections.
#[derive(Debug)]
pub(crate) struct Room {
    /// Connections that may be busy at once.
    most: usize,
    open: Cell<usize>,
    /// Number of the next wait for a request.
    next: Cell<u64>,
    /// Connections that wait for a request, the longest wait first.
    idle: RefCell<BTreeMap<u64, Idle>>,
    left: Notify,
}

#[derive(Debug)]
struct Idle {
    since: Instant,
    told: Rc<Notify>,
}

impl Room {
    pub(crate) fn new(most: usize) -> Rc<Room> {
        Rc::new(Room {
            most,
            open: Cell::new(0),
            next: Cell::new(0),
            idle: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns whether so many connections are open that none is to be kept beyond its request.
    pub(crate) fn is_crowded(&self) -> bool {
        self.open.get() * 100 > self.most * CROWDED_PERCENT
    }

    /// Returns whether more connections are busy than may be.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.open.get() - self.idle.borrow().len() > self.most
    }

    /// Waits until there is a place for a new connection.
    pub(crate) async fn wait(&self) {
        while self.open.get() >= self.most + self.most / EXCESS_DIVISOR {
            tokio::select! {
                () = self.left.notified() => {}
                () = sleep(POLL) => self.close_oldest(),
            }
        }
    }

    /// Tells the connection that has waited longest for a request to close.
    pub(crate) fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.first_entry();
        if let Some(oldest) = oldest.filter(|oldest| oldest.get().since.elapsed() >= MIN_IDLE) {
            oldest.remove().told.notify_one();
        }
    }

    /// Takes a place for a connection, which waits for its first request.
    pub(crate) fn enter(self: &Rc<Room>) -> Rc<Place> {
        self.open.set(self.open.get() + 1);
        let place = Place {
            room: Rc::clone(self),
            wait: Cell::new(0),
            told: Rc::default(),
        };
        place.wait();
        Rc::new(place)
    }
}

/// The place of an open connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    room: Rc<Room>,
    /// Number of its latest wait for a request.
    wait: Cell<u64>,
    told: Rc<Notify>,
}

impl Place {
    pub(crate) fn room(&self) -> &Room {
        &self.room
    }

    /// Records that a request came; the connection is busy until the result is dropped.
    pub(crate) fn begin(self: &Rc<Place>) -> Busy {
        self.room.idle.borrow_mut().remove(&self.wait.get());
        Busy(Rc::clone(self))
    }

    /// Completes when the connection is to make room for another one.
    pub(crate) async fn told_to_close(&self) {
        self.told.notified().await;
    }

    fn wait(&self) {
        let room = &self.room;
        let number = room.next.get();
        room.next.set(number + 1);
        self.wait.set(number);
        let idle = Idle {
            since: Instant::now(),
            told: Rc::clone(&self.told),
        };
        room.idle.borrow_mut().insert(number, idle);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let room = &self.room;
        room.idle.borrow_mut().remove(&self.wait.get());
        room.open.set(room.open.get() - 1);
        room.left.notify_one();
    }
}

/// A connection that is busy with a request, until this is dropped.
#[derive(Debug)]
pub(crate) struct Busy(Rc<Place>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.wait();
    }
}
