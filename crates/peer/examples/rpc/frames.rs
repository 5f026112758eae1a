//! A streamed answer by frames, written and read as a session does it.

use std::net;
use std::time::Instant;

use auburnline_core::answer::Part;
use auburnline_peer::codec;
use auburnline_peer::wire::Answer;
use auburnline_peer::wire::Frame;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::Plan;
use crate::Seen;
use crate::WINDOW;
use crate::block_on;
use crate::nanos;

/// Bytes read at once.
const READ_BYTES: usize = 64 * 1024;

fn token(number: u32, start: Instant) -> Frame {
    Frame::Answer(Answer {
        id: "mediators/m-0123456789abcdef-1-0123456789abcdef".into(),
        stream: 1,
        incarnation: 1,
        attempt: 1,
        part: Part::Chunk {
            offset: u64::from(number) * 8,
            bytes: Bytes::copy_from_slice(&nanos(start).to_le_bytes()),
        },
        revision: 1,
    })
}

pub(crate) fn send(stream: net::TcpStream, plan: Plan, start: Instant) -> Seen {
    block_on(async move {
        let mut stream = TcpStream::from_std(stream).expect("a stream");
        let mut out = BytesMut::with_capacity(READ_BYTES);
        let mut waiting = 0;
        for number in 0..plan.tokens {
            if !plan.pause.is_zero() {
                tokio::time::sleep(plan.pause).await;
            }
            codec::encode(&token(number, start), &mut out);
            waiting += 1;
            let last = number + 1 == plan.tokens;
            if waiting == WINDOW || last || !plan.pause.is_zero() {
                stream.write_all(&out).await.expect("a receiver");
                out.clear();
                waiting = 0;
            }
        }
    });
    Seen::new(start)
}

pub(crate) fn receive(stream: net::TcpStream, _: Plan, start: Instant) -> Seen {
    block_on(async move {
        let mut stream = TcpStream::from_std(stream).expect("a stream");
        let mut seen = Seen::new(start);
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        loop {
            while let Some(frame) = codec::decode(&mut buffer).expect("a frame") {
                if let Frame::Answer(Answer {
                    part: Part::Chunk { bytes, .. },
                    ..
                }) = frame
                {
                    seen.note(&bytes);
                }
            }
            buffer.reserve(READ_BYTES);
            if stream.read_buf(&mut buffer).await.expect("a sender") == 0 {
                return seen;
            }
        }
    })
}
