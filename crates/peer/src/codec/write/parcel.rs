//! Writing of configurations on their way.

use std::collections::BTreeMap;

use auburnline_configuration::parcel::Ask;
use auburnline_configuration::parcel::Content;
use auburnline_configuration::parcel::Parcel;
use auburnline_configuration::parcel::Piece;
use auburnline_core::published::Section;

use super::configuration;
use crate::peer_capnp;

pub(super) fn ask(it: &Ask, mut to: peer_capnp::ask::Builder) {
    to.set_ticket(it.ticket);
    to.set_whole(it.whole);
    configuration(it.head.as_ref(), to.reborrow().init_configuration());
    let mut have = to.init_have(length(&it.have));
    for (index, (section, digest)) in (0..).zip(&it.have) {
        let mut entry = have.reborrow().get(index);
        entry.set_section(*section as u8);
        entry.set_digest(&**digest);
    }
}

pub(super) fn parcel(it: &Parcel, mut to: peer_capnp::parcel::Builder) {
    to.set_ticket(it.ticket);
    configuration(it.head.as_ref(), to.reborrow().init_configuration());
    let mut content = to.init_content();
    match &it.content {
        Content::Nothing => content.set_nothing(()),
        Content::Busy => content.set_busy(()),
        Content::Newer { manifest, pieces } => {
            let mut newer = content.init_newer();
            newer.set_manifest(manifest);
            let mut list = newer.init_pieces(length(pieces));
            for (index, (section, it)) in (0..).zip(pieces) {
                let mut entry = list.reborrow().get(index);
                entry.set_section(*section as u8);
                piece(it, entry);
            }
        }
    }
}

fn piece(it: &Piece, mut to: peer_capnp::piece::Builder) {
    match it {
        Piece::Whole(bytes) => to.set_whole(bytes),
        Piece::Delta {
            base,
            prefix,
            suffix,
            middle,
        } => {
            let mut delta = to.init_delta();
            delta.set_base(&**base);
            delta.set_prefix(*prefix as u64);
            delta.set_suffix(*suffix as u64);
            delta.set_middle(middle);
        }
    }
}

fn length<T>(entries: &BTreeMap<Section, T>) -> u32 {
    u32::try_from(entries.len()).unwrap_or(u32::MAX)
}
