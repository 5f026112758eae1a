//! Input and output of [transfers of the published state](auburnline_gateway::transfer).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_gateway::message::Datagram;
use auburnline_gateway::transfer::Query;
use auburnline_gateway::transfer::Reply;
use auburnline_gateway::transfer::Step;
use tokio::time::sleep;

use crate::shared::Shared;
use crate::source::Feed;

/// Interval at which a gateway that waits for the list checks whether to ask another gateway.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Requests the list from other gateways until it is here, from one of them or from the store.
pub(crate) async fn run(shared: Rc<Shared>) {
    while shared.gateway().awaits_transfer(shared.now()) {
        let query = shared.gateway().next_transfer_query(shared.now());
        if let Some((query, to)) = query {
            shared.send(&Datagram::TransferQuery(query), to);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Answers the request of a gateway that starts.
pub(crate) fn answer(shared: &Shared, query: &Query, from: SocketAddr) {
    let now = shared.now();
    let replies = shared.gateway().answer_transfer(query, from, now);
    for reply in replies {
        shared.send(&reply, from);
    }
}

/// Handles the reply to a request of this gateway.
pub(crate) fn receive(shared: &Rc<Shared>, reply: Reply, from: SocketAddr) {
    let now = shared.now();
    let step = shared.gateway().apply_transfer(reply, from, now);
    match step {
        Step::Ignore => {}
        Step::Request(query, to) => shared.send(&Datagram::TransferQuery(query), to),
        Step::Done(done) => Feed(Rc::clone(shared)).apply_transfer(done, from),
    }
}
