//! The node's handler: passes events on to the deciding duty.

use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Kind;
use auburnline_duty::ring;
use auburnline_peer::node;
use auburnline_peer::node::Handler;
use auburnline_peer::wire::Answer;
use auburnline_peer::wire::Frame;

use crate::event::Event;

/// Passes all events on over the ring of the deciding duty.
pub(crate) struct Forward(pub(crate) ring::Sender<Event>);

impl Handler for Forward {
    type Note = ();

    fn handle(&mut self, event: node::Event) -> Option<Frame> {
        let full = self.0.push(Event::Peer(event)).err()?;
        log::warn!(target: "slot", ring = "decide"; "ring full");
        match full.0 {
            Event::Peer(node::Event::Frame { frame, .. }) => refusal(frame),
            _ => None,
        }
    }

    fn note(&mut self, (): ()) {}
}

/// Answers a submission that never reached the ledger, which is the proof that it was not run.
///
/// Other frames get no answer: whoever sent them has a bound on its wait.
fn refusal(frame: Frame) -> Option<Frame> {
    let Frame::Submit(submit) = frame else {
        return None;
    };
    let failure = Failure::new(Kind::Overloaded, "the slot has no room");
    Some(Frame::Answer(Answer {
        id: submit.id,
        stream: submit.stream,
        incarnation: submit.incarnation,
        attempt: submit.attempt,
        part: Part::Failure(failure),
        revision: 0,
    }))
}
