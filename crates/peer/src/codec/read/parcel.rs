//! Reading of configurations on their way.

use std::collections::BTreeMap;

use auburnline_configuration::parcel::Ask;
use auburnline_configuration::parcel::Content;
use auburnline_configuration::parcel::Parcel;
use auburnline_configuration::parcel::Piece;
use auburnline_core::published::Section;

use super::configuration;
use super::string;
use crate::codec::Malformed;
use crate::peer_capnp;

pub(super) fn ask(it: peer_capnp::ask::Reader) -> Result<Ask, Malformed> {
    let mut have = BTreeMap::new();
    for entry in it.get_have()? {
        have.insert(section(entry.get_section())?, string(entry.get_digest()?)?);
    }
    Ok(Ask {
        ticket: it.get_ticket(),
        head: configuration(it.get_configuration()?)?,
        have,
        whole: it.get_whole(),
    })
}

pub(super) fn parcel(it: peer_capnp::parcel::Reader) -> Result<Parcel, Malformed> {
    use crate::peer_capnp::parcel::content::Which;
    let content = match it.get_content().which()? {
        Which::Nothing(()) => Content::Nothing,
        Which::Busy(()) => Content::Busy,
        Which::Newer(it) => newer(it?)?,
    };
    Ok(Parcel {
        ticket: it.get_ticket(),
        head: configuration(it.get_configuration()?)?,
        content,
    })
}

fn newer(it: peer_capnp::newer::Reader) -> Result<Content, Malformed> {
    let mut pieces = BTreeMap::new();
    for entry in it.get_pieces()? {
        pieces.insert(section(entry.get_section())?, piece(entry)?);
    }
    Ok(Content::Newer {
        manifest: it.get_manifest()?.into(),
        pieces,
    })
}

fn piece(it: peer_capnp::piece::Reader) -> Result<Piece, Malformed> {
    use crate::peer_capnp::piece::Which;
    Ok(match it.which()? {
        Which::Whole(bytes) => Piece::Whole(bytes?.into()),
        Which::Delta(it) => {
            let it = it?;
            Piece::Delta {
                base: string(it.get_base()?)?,
                prefix: size(it.get_prefix())?,
                suffix: size(it.get_suffix())?,
                middle: it.get_middle()?.into(),
            }
        }
    })
}

fn size(number: u64) -> Result<usize, Malformed> {
    usize::try_from(number).map_err(|_| Malformed::Number("size", number))
}

fn section(number: u8) -> Result<Section, Malformed> {
    let found = Section::ALL.get(usize::from(number)).copied();
    found.ok_or(Malformed::Number("section", u64::from(number)))
}
