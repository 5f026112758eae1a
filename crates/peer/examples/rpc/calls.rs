//! A streamed answer by remote calls: the receiver lends a sink, the sender calls it for each token.

use std::cell::RefCell;
use std::net;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::new_client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt as _;
use tokio_util::compat::TokioAsyncWriteCompatExt as _;

use crate::Plan;
use crate::Seen;
use crate::WINDOW;
use crate::block_on;
use crate::nanos;
use crate::stream_capnp::sink;
use crate::stream_capnp::source;

struct Source(Instant);

impl source::Server for Source {
    async fn start(
        self: Rc<Self>,
        params: source::StartParams,
        _: source::StartResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let sink = params.get_sink()?;
        let pause = Duration::from_micros(u64::from(params.get_pause_micros()));
        let mut calls = FuturesUnordered::new();
        for number in 0..params.get_tokens() {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let mut request = sink.push_request();
            request.get().set_offset(u64::from(number) * 8);
            request.get().set_bytes(&nanos(self.0).to_le_bytes());
            calls.push(request.send().promise);
            if calls.len() >= WINDOW {
                calls.next().await.transpose()?;
            }
        }
        while let Some(done) = calls.next().await {
            done?;
        }
        Ok(())
    }
}

struct Sink(Rc<RefCell<Seen>>);

impl sink::Server for Sink {
    async fn push(
        self: Rc<Self>,
        params: sink::PushParams,
        _: sink::PushResults,
    ) -> Result<(), Error> {
        let bytes = params.get()?.get_bytes()?;
        self.0.borrow_mut().note(bytes);
        Ok(())
    }
}

fn network(stream: net::TcpStream, side: Side) -> VatNetwork<impl futures::AsyncRead + Unpin> {
    let stream = TcpStream::from_std(stream).expect("a stream");
    let (reader, writer) = stream.into_split();
    let reader = futures::io::BufReader::new(reader.compat());
    let writer = futures::io::BufWriter::new(writer.compat_write());
    let options = capnp::message::ReaderOptions::default();
    VatNetwork::new(reader, writer, side, options)
}

pub(crate) fn send(stream: net::TcpStream, _: Plan, start: Instant) -> Seen {
    block_on(async move {
        let source: source::Client = new_client(Source(start));
        let network = network(stream, Side::Server);
        // The connection ends when the receiver has all and closes it.
        let _ = RpcSystem::new(Box::new(network), Some(source.client)).await;
    });
    Seen::new(start)
}

pub(crate) fn receive(stream: net::TcpStream, plan: Plan, start: Instant) -> Seen {
    block_on(async move {
        let seen = Rc::new(RefCell::new(Seen::new(start)));
        let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
        let source: source::Client = system.bootstrap(Side::Server);
        let running = tokio::task::spawn_local(system);
        let mut request = source.start_request();
        request.get().set_tokens(plan.tokens);
        let pause = u32::try_from(plan.pause.as_micros()).expect("a short pause");
        request.get().set_pause_micros(pause);
        request.get().set_sink(new_client(Sink(Rc::clone(&seen))));
        request.send().promise.await.expect("an answer");
        running.abort();
        seen.replace(Seen::new(start))
    })
}
