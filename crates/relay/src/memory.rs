//! Memory for what callers and upstreams send, within what the process may have.
//!
//! What is being received takes its part of a [`Pool`] before it is held. Where the pool or the heap has no room left, the
//! [`Buffer`] that holds most for what it has passed on is given up, so that what comes without end does not take the place of
//! what ends. What said its length may instead take all of it at once and wait for it: it needs no more after that, so that each
//! one that waits gets its turn.

mod buffer;
mod taken;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use auburnline_duty::memory;
use auburnline_duty::memory::Limit;
use tokio::sync::Notify;

pub(crate) use self::buffer::Buffer;
use self::taken::Taken;

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
pub(crate) const REQUEST_BYTES: usize = 48 << 10;
/// Bytes passed on for which a buffer counts as holding half as much.
const PASSED_ON_UNIT: usize = 4 << 10;
/// Divisor of what a buffer holds whose sender said how much it will send: it ends.
const LENGTH_DIVISOR: usize = 8;

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
    abandoned: Cell<usize>,
    next: Cell<u64>,
    /// Buffers that are being filled.
    filling: RefCell<BTreeMap<u64, Filling>>,
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
            abandoned: Cell::new(0),
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
        let abandoned = self.abandoned.get();
        self.taken.get() + growth <= self.most(has_length) + abandoned
            && self
                .limit
                .has_room(growth.saturating_sub(abandoned), GROWTH_PERCENT)
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
            self.abandoned.update(|abandoned| abandoned + first.held);
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
