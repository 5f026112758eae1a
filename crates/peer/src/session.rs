//! One TCP session: greeting, reading, writing, heartbeats, silence.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use auburnline_membership::heartbeat;
use bytes::BytesMut;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::codec;
use crate::node::Event;
use crate::node::Handler;
use crate::node::Reason;
use crate::node::SessionId;
use crate::node::Shared;
use crate::wire::Frame;
use crate::wire::Heartbeat;
use crate::wire::Hello;
use crate::wire::VERSION;

/// Bytes read at once.
const READ_BYTES: usize = 64 * 1024;
/// Frames written with one call.
const BATCH: usize = 256;

/// Sending side of a session, on the node's thread.
#[derive(Clone)]
pub(crate) struct Handle {
    frames: mpsc::Sender<Frame>,
    end: Rc<watch::Sender<Option<Reason>>>,
}

impl Handle {
    /// Makes a handle and the queue that the session writes from.
    pub(crate) fn new(queue: usize) -> (Handle, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(queue);
        let end = Rc::new(watch::Sender::new(None));
        (Handle { frames, end }, receiver)
    }

    /// Queues a frame; a full queue ends the session, since frames may not be left out.
    pub(crate) fn send(&self, frame: Frame) {
        if self.frames.try_send(frame).is_err() {
            self.end(Reason::Overflow);
        }
    }

    /// Ends the session on this side's wish.
    pub(crate) fn close(&self) {
        self.end(Reason::Ordered);
    }

    fn end(&self, reason: Reason) {
        self.end.send_if_modified(|held| {
            let first = held.is_none();
            held.get_or_insert(reason);
            first
        });
    }
}

/// A greeted connection.
pub(crate) struct Open {
    pub(crate) hello: Hello,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    buffer: BytesMut,
}

/// Exchanges greetings; `None` if the peer is silent, speaks another version or no frames at all.
pub(crate) async fn greet<H: Handler>(shared: &Shared<H>, stream: TcpStream) -> Option<Open> {
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let mut out = BytesMut::new();
    codec::encode(&Frame::Hello(shared.hello()), &mut out);
    let bound = shared.config.silence;
    timeout(bound, writer.write_all(&out)).await.ok()?.ok()?;
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    let first = timeout(bound, first(&mut reader, &mut buffer))
        .await
        .ok()??;
    match first {
        Frame::Hello(hello) if hello.version == VERSION => Some(Open {
            hello,
            reader,
            writer,
            buffer,
        }),
        _ => None,
    }
}

async fn first(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) -> Option<Frame> {
    loop {
        match codec::decode(buffer) {
            Ok(Some(frame)) => return Some(frame),
            Ok(None) => {}
            Err(_) => return None,
        }
        if reader.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Runs a session to its end and says why it ended.
pub(crate) async fn run<H: Handler>(
    shared: &Shared<H>,
    session: SessionId,
    open: Open,
    handle: Handle,
    queue: mpsc::Receiver<Frame>,
) -> Reason {
    let mut ended = handle.end.subscribe();
    let reading = read(shared, session, open.reader, open.buffer);
    let writing = write(shared, open.writer, queue);
    tokio::select! {
        reason = reading => reason,
        reason = writing => reason,
        reason = order(&mut ended) => reason,
    }
}

async fn order(ended: &mut watch::Receiver<Option<Reason>>) -> Reason {
    match ended.wait_for(Option::is_some).await {
        Ok(reason) => reason.unwrap_or(Reason::Ordered),
        Err(_) => Reason::Ordered,
    }
}

async fn read<H: Handler>(
    shared: &Shared<H>,
    session: SessionId,
    mut reader: OwnedReadHalf,
    mut buffer: BytesMut,
) -> Reason {
    let mut silence = shared.config.silence;
    let mut last = None;
    loop {
        loop {
            match codec::decode(&mut buffer) {
                Ok(Some(frame)) => {
                    shared.traffic.frames_received.increment(1);
                    let Some(frame) = whole(frame, &mut last) else {
                        log::warn!(target: "peer", session; "heartbeat without a first one");
                        return Reason::Malformed;
                    };
                    if let Frame::Heartbeat(beat) = &frame {
                        silence = shared.config.silence.max(heartbeat::allowance(beat.next));
                    }
                    shared.tell(Event::Frame { session, frame });
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!(target: "peer", session, error:% = error; "malformed frame");
                    return Reason::Malformed;
                }
            }
        }
        buffer.reserve(READ_BYTES);
        match timeout(silence, reader.read_buf(&mut buffer)).await {
            Err(_) => return Reason::Silent,
            Ok(Ok(0) | Err(_)) => return Reason::Closed,
            Ok(Ok(count)) => shared.traffic.bytes_received.increment(count as u64),
        }
    }
}

/// Makes the short form of a heartbeat whole again; `None` if there was none to go by.
fn whole(frame: Frame, last: &mut Option<Heartbeat>) -> Option<Frame> {
    match frame {
        Frame::Still(still) => {
            let beat = last.as_ref()?.after(still);
            Some(Frame::Heartbeat(beat))
        }
        Frame::Heartbeat(beat) => {
            *last = Some(beat.clone());
            Some(Frame::Heartbeat(beat))
        }
        other => Some(other),
    }
}

/// Writes a heartbeat, in short where the peer knows all of it from the last one.
fn encode(frame: &Frame, last: &mut Option<Heartbeat>, out: &mut BytesMut) {
    let Frame::Heartbeat(beat) = frame else {
        codec::encode(frame, out);
        return;
    };
    if last.as_ref().is_some_and(|last| last.holds_in(beat)) {
        codec::encode(&Frame::Still(beat.still()), out);
    } else {
        *last = Some(beat.clone());
        codec::encode(frame, out);
    }
}

async fn write<H: Handler>(
    shared: &Shared<H>,
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Frame>,
) -> Reason {
    let mut next = pin!(sleep(Duration::ZERO));
    let mut last = None;
    let mut frames = Vec::with_capacity(BATCH);
    let mut out = BytesMut::with_capacity(READ_BYTES);
    loop {
        tokio::select! {
            biased;
            () = next.as_mut() => {
                shared.traffic.frames_sent.increment(1);
                let beat = shared.heartbeat();
                next.as_mut().reset(Instant::now() + beat.next);
                encode(&Frame::Heartbeat(beat), &mut last, &mut out);
            }
            count = queue.recv_many(&mut frames, BATCH) => {
                if count == 0 {
                    return Reason::Ordered;
                }
            }
        }
        shared.traffic.frames_sent.increment(frames.len() as u64);
        for frame in frames.drain(..) {
            encode(&frame, &mut last, &mut out);
        }
        match flush(&mut writer, &out, shared.config.silence).await {
            Ok(()) => {
                shared.traffic.bytes_sent.increment(out.len() as u64);
                out.clear();
            }
            Err(reason) => return reason,
        }
    }
}

async fn flush(writer: &mut OwnedWriteHalf, out: &[u8], bound: Duration) -> Result<(), Reason> {
    match timeout(bound, writer.write_all(out)).await {
        Err(_) => Err(Reason::Silent),
        Ok(Err(_)) => Err(Reason::Closed),
        Ok(Ok(())) => Ok(()),
    }
}
