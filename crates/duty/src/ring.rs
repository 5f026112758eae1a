//! Bounded channels between workers.
//!
//! A message has to wake a receiver that waits on another thread's runtime, which a plain lock-free
//! ring buffer does not do. The channel is therefore Tokio's bounded channel, without its send that
//! waits indefinitely.

use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use tokio::sync::mpsc;

/// Sending half; can be cloned.
#[derive(Debug)]
pub struct Sender<T>(mpsc::Sender<T>);

/// Receiving half, held by one worker.
#[derive(Debug)]
pub struct Receiver<T>(mpsc::Receiver<T>);

/// The channel was full or its receiver dropped; returns the message.
#[derive(Debug, PartialEq, Eq)]
pub struct Full<T>(pub T);

impl<T> Display for Full<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("the channel is full or closed")
    }
}

impl<T: std::fmt::Debug> Error for Full<T> {}

/// Creates a channel for `capacity` messages.
#[must_use]
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::channel(capacity);
    (Sender(sender), Receiver(receiver))
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Sends a message without waiting.
    ///
    /// # Errors
    ///
    /// [`Full`] with the message if the channel is full or the receiver was dropped.
    pub fn push(&self, message: T) -> Result<(), Full<T>> {
        self.0
            .try_send(message)
            .map_err(|error| Full(error.into_inner()))
    }

    /// Sends a message, waiting at most `bound` for capacity.
    ///
    /// Only for streams whose source supports backpressure, never for requests.
    ///
    /// # Errors
    ///
    /// [`Full`] with the message if the channel stayed full or the receiver was dropped.
    pub async fn push_within(&self, message: T, bound: Duration) -> Result<(), Full<T>> {
        let sent = self.0.send_timeout(message, bound).await;
        sent.map_err(|error| Full(error.into_inner()))
    }

    /// Returns whether the receiver was dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

impl<T> Receiver<T> {
    /// Waits for the next message; `None` once all senders are dropped and the channel is empty.
    pub async fn pop(&mut self) -> Option<T> {
        self.0.recv().await
    }

    /// Waits for messages and appends up to `most` of them to `into`; returns their number.
    ///
    /// Returns 0 once all senders are dropped and the channel is empty, or if `most` is 0.
    pub async fn pop_many(&mut self, into: &mut Vec<T>, most: usize) -> usize {
        self.0.recv_many(into, most).await
    }

    /// Receives a message without waiting; `None` if there is none.
    pub fn try_pop(&mut self) -> Option<T> {
        self.0.try_recv().ok()
    }
}
