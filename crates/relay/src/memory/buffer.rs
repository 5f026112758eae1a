//! What is being received, and takes its part of a pool as it grows.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::OWN_BYTES;
use super::Pool;
use super::taken::Held;

/// Bytes of memory for each byte of a buffer that grows: it doubles each time that it is full.
const GROWTH_FACTOR: usize = 2;
/// Interval at which memory that is waited for is looked at again: the heap shrinks unnoticed.
const POLL: Duration = Duration::from_millis(20);

/// A part of a [`Pool`], which is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Buffer {
    pub(super) pool: Pool,
    pub(super) number: u64,
    pub(super) held: usize,
    pub(super) given_up: Rc<Notify>,
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
                state.abandoned.update(|abandoned| abandoned + self.held);
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
                .abandoned
                .update(|abandoned| abandoned.saturating_sub(self.held));
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
