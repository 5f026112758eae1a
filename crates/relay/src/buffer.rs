//! Memory for answers of upstreams, bounded for all of them together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Bytes that each answer may take whatever the others take.
const OWN_BYTES: usize = 64 << 10;
/// Bytes that all answers may take together beyond that.
const SHARED_BYTES: usize = 32 << 20;

/// Memory that all answers share.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool(Arc<AtomicUsize>);

impl Pool {
    /// Returns a buffer that takes nothing yet.
    pub(crate) fn buffer(&self) -> Buffer {
        Buffer {
            pool: self.clone(),
            taken: 0,
        }
    }
}

/// One answer's part of the [`Pool`], which is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Buffer {
    pool: Pool,
    /// Bytes taken of those that all answers share.
    taken: usize,
}

impl Buffer {
    /// Sets how many bytes the answer takes; returns `false` if there is no room for them, and takes as many as before.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(OWN_BYTES);
        let others = self.pool.0.load(Ordering::Relaxed) - self.taken;
        let has_room = others + needed <= SHARED_BYTES || needed <= self.taken;
        if has_room {
            self.pool.0.store(others + needed, Ordering::Relaxed);
            self.taken = needed;
        }
        has_room
    }

    /// Returns bytes that keep their part of the memory until they are dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        if self.taken == 0 {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _buffer: self,
        })
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.0.fetch_sub(self.taken, Ordering::Relaxed);
    }
}

struct Held {
    bytes: Bytes,
    _buffer: Buffer,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
