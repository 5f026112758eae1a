//! Memory for what callers and upstreams send, within what the process may have.
//!
//! What is being received takes its part of a [`Pool`] before it is held. Where the pool or the heap has no room left, the
//! [`Buffer`] that holds most for what it has passed on is given up, so that what comes without end does not take the place of
//! what ends. What said its length may instead take all of it at once and wait for it: it needs no more after that, so that each
//! one that waits gets its turn.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use auburnline_duty::memory;
use auburnline_duty::memory::Limit;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Bytes that each buffer may take whatever the others take.
pub(crate) const OWN_BYTES: usize = 16 << 10;
/// Parts of the heap up to which the buffers of a pool may grow together: one quarter for what may have no end, and one half for
/// what said its length.
const ENDLESS_DIVISOR: usize = 4;
const LENGTH_KNOWN_DIVISOR: usize = 2;
/// Largest size of a pool, in bytes.
const MAX_POOL_BYTES: usize = 64 << 20;
/// Percentage of the heap up to which buffers may grow.
const GROWTH_PERCENT: usize = 90;
/// Percentage of the heap beyond which no request is taken on.
const REQUEST_PERCENT: usize = 75;
/// Bytes that a request may take with the connections of its caller and its upstream, in addition to its body and its answer.
pub(crate) const REQUEST_BYTES: usize = 64 << 10;
/// Bytes of memory for each byte of a buffer that grows: it doubles each time that it is full.
const GROWTH_FACTOR: usize = 2;
/// Bytes passed on for which a buffer counts as holding half as much.
const PASSED_ON_UNIT: usize = 4 << 10;
/// Divisor of what a buffer holds whose sender said how much it will send: it ends.
const LENGTH_DIVISOR: usize = 8;
/// Interval at which memory that is waited for is looked at again: the heap shrinks unnoticed.
const POLL: Duration = Duration::from_millis(20);

/// Returns whether there is memory for another request.
pub(crate) fn has_room_for_request(limit: Limit) -> bool {
    limit.has_room(REQUEST_BYTES, REQUEST_PERCENT)
}

/// Memory that all buffers of a kind share.
#[derive(Clone, Debug)]
pub(crate) struct Pool(Rc<State>);

#[derive(Debug)]
struct State {
    /// What the buffers are for, as it is logged.
    name: &'static str,
    limit: Limit,
    taken: Arc<Taken>,
    /// Bytes of buffers that were given up and not dropped yet.
    leaving: Cell<usize>,
    next: Cell<u64>,
    /// Buffers that are being filled.
    filling: RefCell<BTreeMap<u64, Filling>>,
}

/// Bytes taken of a pool, including those that wait to be passed on.
#[derive(Debug, Default)]
struct Taken {
    bytes: AtomicUsize,
    freed: Notify,
}

impl Taken {
    fn get(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    fn replace(&self, before: usize, after: usize) {
        self.bytes.fetch_add(after, Ordering::Relaxed);
        self.bytes.fetch_sub(before, Ordering::Relaxed);
        if after < before {
            self.freed.notify_waiters();
        }
    }
}

#[derive(Debug)]
struct Filling {
    held: usize,
    passed_on: usize,
    /// Whether its sender said how much it will send.
    has_length: bool,
    given_up: Rc<Notify>,
}

impl Filling {
    /// Returns how early the buffer is given up: those with the largest value go first, and those with zero never.
    fn rank(&self) -> usize {
        let part = self.held.saturating_sub(OWN_BYTES) / (1 + self.passed_on / PASSED_ON_UNIT);
        if self.has_length {
            part / LENGTH_DIVISOR
        } else {
            part
        }
    }
}

impl Pool {
    pub(crate) fn new(name: &'static str, limit: Limit) -> Pool {
        Pool(Rc::new(State {
            name,
            limit,
            taken: Arc::default(),
            leaving: Cell::new(0),
            next: Cell::new(0),
            filling: RefCell::default(),
        }))
    }

    /// Returns a buffer that takes nothing yet. `length` is what the sender says that it will send.
    pub(crate) fn buffer(&self, length: Option<u64>) -> Buffer {
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        let given_up = Rc::new(Notify::new());
        let filling = Filling {
            held: 0,
            passed_on: 0,
            has_length: length.is_some(),
            given_up: Rc::clone(&given_up),
        };
        self.0.filling.borrow_mut().insert(number, filling);
        Buffer {
            pool: self.clone(),
            number,
            held: 0,
            given_up,
        }
    }
}

impl State {
    /// Returns the most bytes of all buffers together up to which one may grow.
    fn most(&self, has_length: bool) -> usize {
        let divisor = if has_length {
            LENGTH_KNOWN_DIVISOR
        } else {
            ENDLESS_DIVISOR
        };
        (self.limit.heap / divisor).min(MAX_POOL_BYTES)
    }

    fn has_room(&self, growth: usize, has_length: bool) -> bool {
        let leaving = self.leaving.get();
        self.taken.get() + growth <= self.most(has_length) + leaving
            && self
                .limit
                .has_room(growth.saturating_sub(leaving), GROWTH_PERCENT)
    }

    /// Gives up buffers until there is room for so many bytes, and returns whether there is.
    fn make_room(&self, bytes: usize) -> bool {
        while bytes > OWN_BYTES && !self.has_room(bytes, true) {
            if !self.give_up_first(None) {
                return false;
            }
        }
        true
    }

    /// Gives up the buffer that goes first, unless that is the one with this number.
    fn give_up_first(&self, number: Option<u64>) -> bool {
        let mut filling = self.filling.borrow_mut();
        let others = filling.iter().filter(|(_, one)| one.rank() > 0);
        let first = others.max_by_key(|(_, one)| one.rank());
        let Some(first) = first
            .map(|(first, _)| *first)
            .filter(|one| Some(*one) != number)
        else {
            return false;
        };
        if let Some(first) = filling.remove(&first) {
            self.leaving.update(|leaving| leaving + first.held);
            first.given_up.notify_one();
            self.log(&first);
        }
        true
    }

    fn log(&self, one: &Filling) {
        let (name, held, passed_on, has_length) =
            (self.name, one.held, one.passed_on, one.has_length);
        let (heap, limit) = (memory::in_use(), self.limit.heap);
        log::warn!(target: "memory", name, held, passed_on, has_length, heap, limit; "given up for lack of memory");
        metrics::counter!("auburnline_memory_given_up_total", "of" => name).increment(1);
    }
}

/// A part of a [`Pool`], which is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Buffer {
    pool: Pool,
    number: u64,
    held: usize,
    given_up: Rc<Notify>,
}

impl Buffer {
    /// Sets how many bytes the buffer holds; returns `false` if there is no room for them, in which case they must be dropped.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        self.take(bytes.saturating_mul(GROWTH_FACTOR))
    }

    /// Waits until there is room for all bytes that the sender said it will send; returns `false` if there never is.
    pub(crate) async fn reserve(&mut self, bytes: usize) -> bool {
        if bytes > self.pool.0.most(true) {
            return false;
        }
        let taken = Arc::clone(&self.pool.0.taken);
        loop {
            let freed = taken.freed.notified();
            if self.pool.0.make_room(bytes) {
                self.set_held(bytes);
                return true;
            }
            tokio::select! {
                () = freed => {}
                () = sleep(POLL) => {}
            }
        }
    }

    fn take(&mut self, bytes: usize) -> bool {
        let state = &self.pool.0;
        let growth = bytes.saturating_sub(self.held);
        let has_length = match state.filling.borrow_mut().get_mut(&self.number) {
            Some(filling) => {
                filling.held = bytes;
                filling.has_length
            }
            None => return false,
        };
        while bytes > OWN_BYTES && growth > 0 && !state.has_room(growth, has_length) {
            if !state.give_up_first(Some(self.number)) {
                let own = state.filling.borrow_mut().remove(&self.number);
                state.leaving.update(|leaving| leaving + self.held);
                own.inspect(|own| state.log(own));
                return false;
            }
        }
        self.set_held(bytes);
        true
    }

    fn set_held(&mut self, bytes: usize) {
        self.pool.0.taken.replace(self.held, bytes);
        self.held = bytes;
    }

    /// Records bytes that were passed on.
    pub(crate) fn record_passed_on(&self, bytes: usize) {
        let mut filling = self.pool.0.filling.borrow_mut();
        if let Some(filling) = filling.get_mut(&self.number) {
            filling.passed_on += bytes;
        }
    }

    /// Completes when the buffer is given up, so that others can be held.
    pub(crate) fn given_up(&self) -> impl Future<Output = ()> + use<> {
        let given_up = Rc::clone(&self.given_up);
        async move { given_up.notified().await }
    }

    /// Ends the filling of the buffer. What was given up is no longer expected to leave.
    fn leave(&self) {
        let state = &self.pool.0;
        let was_given_up = state.filling.borrow_mut().remove(&self.number).is_none();
        if was_given_up {
            state
                .leaving
                .update(|leaving| leaving.saturating_sub(self.held));
        }
    }

    /// Returns bytes that keep their part of the pool until they are dropped.
    pub(crate) fn hold(mut self, bytes: Bytes) -> Bytes {
        self.leave();
        let taken = std::mem::take(&mut self.held);
        Bytes::from_owner(Held {
            bytes,
            taken,
            all: Arc::clone(&self.pool.0.taken),
        })
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.leave();
        self.pool.0.taken.replace(self.held, 0);
    }
}

struct Held {
    bytes: Bytes,
    taken: usize,
    all: Arc<Taken>,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.replace(self.taken, 0);
    }
}
