//! Reading of messages.

mod parcel;

use std::sync::Arc;
use std::time::Duration;

use auburnline_attempt::ledger::Fence;
use auburnline_attempt::ledger::Finding;
use auburnline_attempt::ledger::Presence;
use auburnline_attempt::ledger::Standing;
use auburnline_attempt::stream::Last;
use auburnline_configuration::head::Head;
use auburnline_core::answer::Failure;
use auburnline_core::answer::Part;
use auburnline_core::error::Kind;
use auburnline_core::id::Revision;
use auburnline_core::load::Load;
use auburnline_core::load::Report;
use auburnline_core::request::Priority;
use auburnline_core::request::Work;
use bytes::Bytes;
use capnp::message::ReaderOptions;
use capnp::serialize::read_message_from_flat_slice;

use crate::codec::MAX_FRAME_BYTES;
use crate::codec::Malformed;
use crate::peer_capnp;
use crate::wire::Answer;
use crate::wire::Attach;
use crate::wire::Control;
use crate::wire::Found;
use crate::wire::Frame;
use crate::wire::Heartbeat;
use crate::wire::Hello;
use crate::wire::Reference;
use crate::wire::Still;
use crate::wire::Submit;
use crate::wire::Topic;

/// Bytes of a word, the unit of the traversal limit.
const WORD_BYTES: usize = 8;
/// Deepest nesting of the schema.
const NESTING: i32 = 8;

type Text<'a> = capnp::text::Reader<'a>;

/// Reads one message.
pub(super) fn frame(mut message: &[u8]) -> Result<Frame, Malformed> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(2 * MAX_FRAME_BYTES / WORD_BYTES));
    options.nesting_limit(NESTING);
    let reader = read_message_from_flat_slice(&mut message, options)?;
    let root = reader.get_root::<peer_capnp::frame::Reader>()?;
    from_root(root)
}

fn from_root(root: peer_capnp::frame::Reader) -> Result<Frame, Malformed> {
    use crate::peer_capnp::frame::Which;
    Ok(match root.which()? {
        Which::Hello(it) => Frame::Hello(hello(it?)?),
        Which::Heartbeat(it) => Frame::Heartbeat(heartbeat(it?)?),
        Which::Still(it) => Frame::Still(still(it)),
        Which::Submit(it) => Frame::Submit(Box::new(submit(it?)?)),
        Which::Answer(it) => Frame::Answer(answer(it?)?),
        Which::Cancel(it) => Frame::Cancel(reference(it?)?),
        Which::Locate(it) => Frame::Locate(reference(it?)?),
        Which::Fence(it) => fence(it?)?,
        Which::Found(it) => Frame::Found(found(it?)?),
        Which::Attach(it) => Frame::Attach(attach(it?)?),
        Which::Acknowledge(it) => Frame::Acknowledge(attach(it?)?),
        Which::Announce(it) => Frame::Announce(announced(it?)?),
        Which::Ask(it) => Frame::Ask(parcel::ask(it?)?),
        Which::Parcel(it) => Frame::Parcel(parcel::parcel(it?)?),
        Which::Control(it) => Frame::Control(control(it?)?),
    })
}

fn name(text: Text) -> Result<Arc<str>, Malformed> {
    Ok(Arc::from(text.to_str()?))
}

fn string(text: Text) -> Result<String, Malformed> {
    Ok(text.to_str()?.to_owned())
}

/// Reads what a peer has in force; revision 0 is nothing.
fn configuration(it: peer_capnp::configuration::Reader) -> Result<Option<Head>, Malformed> {
    let revision = it.get_revision();
    let digest = string(it.get_digest()?)?;
    Ok((revision > 0).then_some(Head { revision, digest }))
}

fn announced(it: peer_capnp::configuration::Reader) -> Result<Head, Malformed> {
    configuration(it)?.ok_or(Malformed::Number("revision", 0))
}

fn hello(it: peer_capnp::hello::Reader) -> Result<Hello, Malformed> {
    Ok(Hello {
        version: it.get_version(),
        instance: name(it.get_instance()?)?,
        incarnation: it.get_incarnation(),
        uptime: Duration::from_millis(it.get_uptime_millis()),
        configuration: configuration(it.get_configuration()?)?,
    })
}

fn heartbeat(it: peer_capnp::heartbeat::Reader) -> Result<Heartbeat, Malformed> {
    Ok(Heartbeat {
        configuration: configuration(it.get_configuration()?)?,
        leaving: it.get_leaving(),
        admitting: it.get_admitting(),
        report: Report {
            load: load(it.get_load()?),
            age: Duration::from_millis(u64::from(it.get_load_age_millis())),
        },
        next: Duration::from_millis(u64::from(it.get_next_millis())),
    })
}

fn still(it: peer_capnp::frame::still::Reader) -> Still {
    Still {
        next: Duration::from_millis(u64::from(it.get_next_millis())),
        age: Duration::from_millis(u64::from(it.get_load_age_millis())),
    }
}

fn load(it: peer_capnp::load::Reader) -> Load {
    Load {
        queued: it.get_queued(),
        running: it.get_running(),
        backlog_tokens: it.get_backlog_tokens(),
        step_time: Duration::from_micros(it.get_step_time_micros()),
        skew: it.get_skew(),
    }
}

fn priority(number: u8) -> Result<Priority, Malformed> {
    match number {
        0 => Ok(Priority::Batch),
        1 => Ok(Priority::Normal),
        2 => Ok(Priority::Urgent),
        _ => Err(Malformed::Number("priority", u64::from(number))),
    }
}

fn submit(it: peer_capnp::submit::Reader) -> Result<Submit, Malformed> {
    Ok(Submit {
        id: name(it.get_id()?)?,
        stream: it.get_stream(),
        incarnation: it.get_incarnation(),
        revision: it.get_revision(),
        attempt: it.get_attempt(),
        age: Duration::from_millis(it.get_age_millis()),
        deadline: Duration::from_millis(it.get_deadline_millis()),
        workspace: name(it.get_workspace()?)?,
        group: name(it.get_group()?)?,
        priority: priority(it.get_priority())?,
        idempotent: it.get_idempotent(),
        work: work(it.get_work())?,
    })
}

fn work(it: peer_capnp::submit::work::Reader) -> Result<Work, Malformed> {
    use crate::peer_capnp::submit::work::Which;
    Ok(match it.which()? {
        Which::Draft(it) => {
            let it = it?;
            Work::Draft {
                model: name(it.get_model()?)?,
                prompt: string(it.get_prompt()?)?,
                max_tokens: it.get_max_tokens(),
            }
        }
        Which::Call(it) => {
            let it = it?;
            Work::Call {
                service: name(it.get_service()?)?,
                method: string(it.get_method()?)?,
                path: string(it.get_path()?)?,
                body: it.get_body()?.to_vec(),
            }
        }
    })
}

fn answer(it: peer_capnp::answer::Reader) -> Result<Answer, Malformed> {
    let (part, revision) = part(it)?;
    Ok(Answer {
        id: name(it.get_id()?)?,
        stream: it.get_stream(),
        incarnation: it.get_incarnation(),
        attempt: it.get_attempt(),
        part,
        revision,
    })
}

fn part(it: peer_capnp::answer::Reader) -> Result<(Part, Revision), Malformed> {
    use crate::peer_capnp::answer::Which;
    match it.which()? {
        Which::Chunk(it) => {
            let it = it?;
            let part = Part::Chunk {
                offset: it.get_offset(),
                bytes: Bytes::copy_from_slice(it.get_bytes()?),
            };
            Ok((part, 0))
        }
        Which::End(it) => {
            let last = last(it?);
            let part = Part::End {
                length: last.length,
                checksum: last.checksum,
            };
            Ok((part, 0))
        }
        Which::Failure(it) => {
            let it = it?;
            Ok((Part::Failure(failure(it)?), it.get_revision()))
        }
    }
}

fn last(it: peer_capnp::end::Reader) -> Last {
    Last {
        length: it.get_length(),
        checksum: it.get_checksum(),
    }
}

fn kind(number: u16) -> Result<Kind, Malformed> {
    Kind::from_number(number).ok_or(Malformed::Number("kind", u64::from(number)))
}

fn failure(it: peer_capnp::failure::Reader) -> Result<Failure, Malformed> {
    let retry = Duration::from_millis(it.get_retry_millis());
    Ok(Failure {
        kind: kind(it.get_kind())?,
        retry: it.get_again().then_some(retry),
        detail: string(it.get_detail()?)?,
    })
}

fn reference(it: peer_capnp::id::Reader) -> Result<Reference, Malformed> {
    Ok(Reference {
        id: name(it.get_id()?)?,
        stream: it.get_stream(),
        revision: it.get_revision(),
    })
}

fn fence(it: peer_capnp::fence::Reader) -> Result<Frame, Malformed> {
    use crate::peer_capnp::fence::favoured::Which;
    let favoured = match it.get_favoured().which()? {
        Which::None(()) => None,
        Which::Slot(slot) => Some(name(slot?)?),
    };
    let fence = Fence {
        id: name(it.get_id()?)?,
        favoured,
        revision: it.get_revision(),
    };
    Ok(Frame::Fence(it.get_stream(), fence))
}

fn found(it: peer_capnp::found::Reader) -> Result<Found, Malformed> {
    let mut other_candidates = Vec::new();
    for slot in it.get_also()? {
        other_candidates.push(name(slot?)?);
    }
    let finding = Finding {
        incarnation: it.get_incarnation(),
        uptime: Duration::from_millis(it.get_uptime_millis()),
        presence: presence(it.get_presence())?,
        other_candidates,
    };
    Ok(Found {
        id: name(it.get_id()?)?,
        stream: it.get_stream(),
        finding,
    })
}

fn presence(it: peer_capnp::found::presence::Reader) -> Result<Presence, Malformed> {
    use crate::peer_capnp::found::presence::Which;
    Ok(match it.which()? {
        Which::Absent(()) => Presence::Absent,
        Which::Fenced(()) => Presence::Fenced { favoured: None },
        Which::FencedFor(slot) => Presence::Fenced {
            favoured: Some(name(slot?)?),
        },
        Which::Known(it) => known(it?)?,
        Which::Full(()) => Presence::Full,
        Which::Stale(revision) => Presence::Stale(revision),
    })
}

fn known(it: peer_capnp::known::Reader) -> Result<Presence, Malformed> {
    use crate::peer_capnp::known::standing::Which;
    let standing = match it.get_standing().which()? {
        Which::Queued(()) => Standing::Queued,
        Which::Running(()) => Standing::Running,
        Which::Finished(it) => Standing::Finished(last(it?)),
        Which::Expired(()) => Standing::Expired,
        Which::Failed(number) => Standing::Failed(kind(number)?),
        Which::Lost(()) => Standing::Lost,
    };
    Ok(Presence::Known {
        fingerprint: it.get_fingerprint(),
        attempt: it.get_attempt(),
        standing,
    })
}

fn attach(it: peer_capnp::attach::Reader) -> Result<Attach, Malformed> {
    Ok(Attach {
        id: name(it.get_id()?)?,
        stream: it.get_stream(),
        offset: it.get_offset(),
    })
}

fn control(it: peer_capnp::control::Reader) -> Result<Control, Malformed> {
    let number = it.get_topic();
    let topic = Topic::from_number(number);
    Ok(Control {
        topic: topic.ok_or(Malformed::Number("topic", u64::from(number)))?,
        bytes: Bytes::copy_from_slice(it.get_bytes()?),
    })
}
