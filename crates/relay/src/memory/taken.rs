//! Count of the bytes taken of a pool, which bytes on their way to a caller keep on other threads too.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::sync::Notify;

/// Bytes taken of a pool, including those that wait to be passed on.
#[derive(Debug, Default)]
pub(super) struct Taken {
    bytes: AtomicUsize,
    /// Wakes those that wait for memory.
    pub(super) freed: Notify,
}

impl Taken {
    /// Returns how many are taken.
    pub(super) fn get(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Takes so many bytes in place of those taken before.
    pub(super) fn replace(&self, before: usize, after: usize) {
        self.bytes.fetch_add(after, Ordering::Relaxed);
        self.bytes.fetch_sub(before, Ordering::Relaxed);
        if after < before {
            self.freed.notify_waiters();
        }
    }
}

/// Bytes that keep their part of a pool until they are dropped.
pub(super) struct Held {
    pub(super) bytes: Bytes,
    pub(super) taken: usize,
    pub(super) all: Arc<Taken>,
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
