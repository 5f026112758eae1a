//! Writing of messages.

mod parcel;

use std::time::Duration;

use auburnline_attempt::ledger::Fence;
use auburnline_attempt::ledger::Presence;
use auburnline_attempt::ledger::Standing;
use auburnline_configuration::head::Head;
use auburnline_core::answer::Part;
use auburnline_core::load::Load;
use auburnline_core::request::Priority;
use auburnline_core::request::Work;
use bytes::BufMut as _;
use bytes::BytesMut;
use capnp::message::Builder;
use capnp::message::HeapAllocator;

use crate::peer_capnp;
use crate::wire::Answer;
use crate::wire::Attach;
use crate::wire::Found;
use crate::wire::Frame;
use crate::wire::Heartbeat;
use crate::wire::Hello;
use crate::wire::Reference;
use crate::wire::Still;
use crate::wire::Stream;
use crate::wire::Submit;

/// Words of the first segment; a frame with a token fits, so that it needs one allocation.
const FIRST_WORDS: u32 = 64;

/// Appends `frame` to `out`.
///
/// # Panics
///
/// If a frame is over four gibibytes; bodies are bounded far below that before they get here.
pub fn encode(frame: &Frame, out: &mut BytesMut) {
    let mut message = Builder::new(HeapAllocator::new().first_segment_words(FIRST_WORDS));
    into_root(frame, message.init_root());
    let length = capnp::serialize::compute_serialized_size_in_words(&message) * size_of::<u64>();
    out.reserve(size_of::<u32>() + length);
    out.put_u32_le(u32::try_from(length).expect("a frame under four gibibytes"));
    let written = capnp::serialize::write_message(&mut out.writer(), &message);
    debug_assert!(written.is_ok(), "memory takes every write");
}

fn into_root(frame: &Frame, root: peer_capnp::frame::Builder) {
    match frame {
        Frame::Hello(it) => hello(it, root.init_hello()),
        Frame::Heartbeat(it) => heartbeat(it, root.init_heartbeat()),
        Frame::Still(it) => still(*it, root.init_still()),
        Frame::Submit(it) => submit(it, root.init_submit()),
        Frame::Answer(it) => answer(it, root.init_answer()),
        Frame::Cancel(it) => reference(it, root.init_cancel()),
        Frame::Locate(it) => reference(it, root.init_locate()),
        Frame::Fence(stream, it) => fence(*stream, it, root.init_fence()),
        Frame::Found(it) => found(it, root.init_found()),
        Frame::Attach(it) => attach(it, root.init_attach()),
        Frame::Acknowledge(it) => attach(it, root.init_acknowledge()),
        Frame::Announce(it) => configuration(Some(it), root.init_announce()),
        Frame::Ask(it) => parcel::ask(it, root.init_ask()),
        Frame::Parcel(it) => parcel::parcel(it, root.init_parcel()),
        Frame::Control(it) => {
            let mut to = root.init_control();
            to.set_topic(it.topic as u16);
            to.set_bytes(&it.bytes);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn configuration(it: Option<&Head>, mut to: peer_capnp::configuration::Builder) {
    if let Some(head) = it {
        to.set_revision(head.revision);
        to.set_digest(&*head.digest);
    }
}

fn hello(it: &Hello, mut to: peer_capnp::hello::Builder) {
    to.set_version(it.version);
    to.set_instance(&*it.instance);
    to.set_incarnation(it.incarnation);
    to.set_uptime_millis(millis(it.uptime));
    configuration(it.configuration.as_ref(), to.init_configuration());
}

fn heartbeat(it: &Heartbeat, mut to: peer_capnp::heartbeat::Builder) {
    to.set_leaving(it.leaving);
    to.set_admitting(it.admitting);
    let times = it.still();
    to.set_load_age_millis(age_millis(times));
    to.set_next_millis(next_millis(times));
    load(&it.report.load, to.reborrow().init_load());
    configuration(it.configuration.as_ref(), to.init_configuration());
}

fn still(it: Still, mut to: peer_capnp::frame::still::Builder) {
    to.set_load_age_millis(age_millis(it));
    to.set_next_millis(next_millis(it));
}

fn age_millis(it: Still) -> u32 {
    u32::try_from(it.age.as_millis()).unwrap_or(u32::MAX)
}

fn next_millis(it: Still) -> u16 {
    u16::try_from(it.next.as_millis()).unwrap_or(u16::MAX)
}

fn load(it: &Load, mut to: peer_capnp::load::Builder) {
    to.set_queued(it.queued);
    to.set_running(it.running);
    to.set_backlog_tokens(it.backlog_tokens);
    let micros = u64::try_from(it.step_time.as_micros()).unwrap_or(u64::MAX);
    to.set_step_time_micros(micros);
    to.set_skew(it.skew);
}

const fn priority(priority: Priority) -> u8 {
    match priority {
        Priority::Batch => 0,
        Priority::Normal => 1,
        Priority::Urgent => 2,
    }
}

fn submit(it: &Submit, mut to: peer_capnp::submit::Builder) {
    to.set_id(&*it.id);
    to.set_stream(it.stream);
    to.set_incarnation(it.incarnation);
    to.set_revision(it.revision);
    to.set_attempt(it.attempt);
    to.set_age_millis(millis(it.age));
    to.set_deadline_millis(millis(it.deadline));
    to.set_workspace(&*it.workspace);
    to.set_group(&*it.group);
    to.set_priority(priority(it.priority));
    to.set_idempotent(it.idempotent);
    work(&it.work, to.init_work());
}

fn work(it: &Work, to: peer_capnp::submit::work::Builder) {
    match it {
        Work::Draft {
            model,
            prompt,
            max_tokens,
        } => {
            let mut to = to.init_draft();
            to.set_model(&**model);
            to.set_prompt(&**prompt);
            to.set_max_tokens(*max_tokens);
        }
        Work::Call {
            service,
            method,
            path,
            body,
        } => {
            let mut to = to.init_call();
            to.set_service(&**service);
            to.set_method(&**method);
            to.set_path(&**path);
            to.set_body(body);
        }
    }
}

fn answer(it: &Answer, mut to: peer_capnp::answer::Builder) {
    to.set_id(&*it.id);
    to.set_stream(it.stream);
    to.set_incarnation(it.incarnation);
    to.set_attempt(it.attempt);
    match &it.part {
        Part::Chunk { offset, bytes } => {
            let mut to = to.init_chunk();
            to.set_offset(*offset);
            to.set_bytes(bytes);
        }
        Part::End { length, checksum } => {
            let mut to = to.init_end();
            to.set_length(*length);
            to.set_checksum(*checksum);
        }
        Part::Failure(failure) => {
            let mut to = to.init_failure();
            to.set_kind(failure.kind.number());
            to.set_again(failure.retry.is_some());
            to.set_retry_millis(millis(failure.retry.unwrap_or_default()));
            to.set_detail(&*failure.detail);
            to.set_revision(it.revision);
        }
    }
}

fn reference(it: &Reference, mut to: peer_capnp::id::Builder) {
    to.set_id(&*it.id);
    to.set_stream(it.stream);
    to.set_revision(it.revision);
}

fn attach(it: &Attach, mut to: peer_capnp::attach::Builder) {
    to.set_id(&*it.id);
    to.set_stream(it.stream);
    to.set_offset(it.offset);
}

fn fence(stream: Stream, it: &Fence, mut to: peer_capnp::fence::Builder) {
    to.set_id(&*it.id);
    to.set_stream(stream);
    to.set_revision(it.revision);
    let mut favoured = to.init_favoured();
    match &it.favoured {
        None => favoured.set_none(()),
        Some(slot) => favoured.set_slot(&**slot),
    }
}

fn found(it: &Found, mut to: peer_capnp::found::Builder) {
    to.set_id(&*it.id);
    to.set_stream(it.stream);
    to.set_incarnation(it.finding.incarnation);
    to.set_uptime_millis(millis(it.finding.uptime));
    names(&it.finding.other_candidates, |length| {
        to.reborrow().init_also(length)
    });
    presence(&it.finding.presence, to.init_presence());
}

fn presence(it: &Presence, mut to: peer_capnp::found::presence::Builder) {
    match it {
        Presence::Absent => to.set_absent(()),
        Presence::Fenced { favoured: None } => to.set_fenced(()),
        Presence::Fenced {
            favoured: Some(slot),
        } => to.set_fenced_for(&**slot),
        Presence::Known {
            fingerprint,
            attempt,
            standing,
        } => {
            let mut to = to.init_known();
            to.set_fingerprint(*fingerprint);
            to.set_attempt(*attempt);
            self::standing(*standing, to.init_standing());
        }
        Presence::Full => to.set_full(()),
        Presence::Stale(revision) => to.set_stale(*revision),
    }
}

fn standing(it: Standing, mut to: peer_capnp::known::standing::Builder) {
    match it {
        Standing::Queued => to.set_queued(()),
        Standing::Running => to.set_running(()),
        Standing::Finished(last) => {
            let mut to = to.init_finished();
            to.set_length(last.length);
            to.set_checksum(last.checksum);
        }
        Standing::Expired => to.set_expired(()),
        Standing::Failed(kind) => to.set_failed(kind.number()),
        Standing::Lost => to.set_lost(()),
    }
}

fn names<'a, T: AsRef<str>>(names: &[T], init: impl FnOnce(u32) -> capnp::text_list::Builder<'a>) {
    let length = u32::try_from(names.len()).unwrap_or(u32::MAX);
    let mut list = init(length);
    for (index, name) in (0..length).zip(names) {
        list.set(index, name.as_ref());
    }
}
