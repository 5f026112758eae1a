//! The published fleet of a deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use auburnline_core::id::PoolId;
use auburnline_core::published;
use auburnline_core::published::Call;
use auburnline_core::published::Fleet;
use auburnline_core::published::Group;
use auburnline_core::published::Placement;
use auburnline_core::published::Pool;
use auburnline_core::published::Preset;
use auburnline_core::published::Presets;
use auburnline_core::published::Rebalance;
use auburnline_core::published::Serves;
use auburnline_core::published::Services;
use auburnline_core::published::Workspace;
use auburnline_core::published::Workspaces;

use crate::net::Net;
use crate::shape::Shape;

/// Model that all groups hold.
pub(crate) const MODEL: &str = "clauses";
/// Pool of the plain services.
pub(crate) const SERVICE: &str = "case-records";
/// Pool of the groups that draft.
pub(crate) const DRAFTS: &str = "drafts";
/// Names of the workspaces with ample limits.
pub(crate) const WORKSPACES: [&str; 3] = ["mediators", "family-desk", "clerks"];
/// Name of the workspace with a scarce limit.
pub const SCARCE: &str = "scarce";
/// Tokens a second of that workspace.
pub const SCARCE_RATE: u64 = 100;
/// Tokens that it may use at once.
pub const SCARCE_BURST: u64 = 200;

/// Addresses of one daemon and its upstream.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) domain: String,
    /// Address that others dial; a relay's, where there are relays.
    pub(crate) published: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
    /// The caller's address of an entry, the upstream's of a slot.
    pub(crate) other: SocketAddr,
    pub(crate) lock: SocketAddr,
}

/// All places by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Places {
    pub(crate) entries: BTreeMap<String, Place>,
    pub(crate) engines: BTreeMap<String, Place>,
    pub(crate) services: BTreeMap<String, Place>,
}

impl Places {
    pub(crate) fn new(shape: &Shape, net: &mut Net) -> Places {
        let mut places = Places::default();
        let mut place = |index: usize, relays: bool| {
            let peer = net.address();
            Place {
                domain: format!("domain-{}", 1 + index % shape.domains),
                published: if relays { net.address() } else { peer },
                peer,
                operator: net.address(),
                other: net.address(),
                lock: net.address(),
            }
        };
        for index in 0..shape.entries {
            let name = format!("entry-{}", index + 1);
            places.entries.insert(name, place(index, shape.relays));
        }
        for group in 0..shape.groups {
            for instance in 0..shape.instances {
                let name = engine(group, instance);
                places.engines.insert(name, place(group, shape.relays));
            }
        }
        for index in 0..shape.services {
            let name = format!("records-{}", index + 1);
            places.services.insert(name, place(index, shape.relays));
        }
        places
    }

    /// Returns all places.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&String, &Place)> {
        let slots = self.engines.iter().chain(&self.services);
        self.entries.iter().chain(slots)
    }
}

/// Returns the name of an instance of a group.
pub(crate) fn engine(group: usize, instance: usize) -> String {
    format!("draft-{}-{}", group + 1, instance + 1)
}

pub(crate) fn fleet(shape: &Shape, places: &Places) -> Fleet {
    let domains = (1..=shape.domains).map(|n| (format!("domain-{n}").into(), "region".into()));
    let entries = places.entries.iter().map(|(name, place)| {
        let entry = published::Entry {
            failure_domain: place.domain.as_str().into(),
            caller: place.other,
            peer: place.published,
        };
        (name.as_str().into(), entry)
    });
    let slots = places.engines.iter().chain(&places.services);
    let upstreams = slots.map(|(name, place)| {
        let upstream = published::Upstream {
            failure_domain: place.domain.as_str().into(),
            peer: place.published,
            checks_fence: true,
        };
        (name.as_str().into(), upstream)
    });
    Fleet {
        failure_domains: domains.collect(),
        entries: entries.collect(),
        upstreams: upstreams.collect(),
        pools: pools(shape, places),
    }
}

fn pools(shape: &Shape, places: &Places) -> BTreeMap<PoolId, Pool> {
    let mut pools = BTreeMap::new();
    let groups = (0..shape.groups).map(|group| {
        let instances = (0..shape.instances).map(|instance| engine(group, instance).into());
        let published = Group {
            instances: instances.collect(),
            ranks_per_instance: 1,
        };
        (group_name(group).into(), published)
    });
    if shape.groups > 0 {
        let pool = Pool {
            serves: Serves::Drafts,
            groups: groups.collect(),
            minimum: 1,
        };
        pools.insert(DRAFTS.into(), pool);
    }
    let services = places.services.keys().map(|name| {
        let group = Group {
            instances: vec![name.as_str().into()],
            ranks_per_instance: 1,
        };
        (name.as_str().into(), group)
    });
    if shape.services > 0 {
        let pool = Pool {
            serves: Serves::Calls,
            groups: services.collect(),
            minimum: 1,
        };
        pools.insert(SERVICE.into(), pool);
    }
    pools
}

/// Returns the name of a group.
pub(crate) fn group_name(group: usize) -> String {
    format!("drafts-{}", group + 1)
}

pub(crate) fn workspaces(shape: &Shape) -> Workspaces {
    let ample = Workspace {
        tokens_per_second: 1_000_000,
        burst_tokens: 10_000_000,
        weight: 1,
    };
    let further = (0..shape.workspaces).map(|number| format!("workspace-{number:04}"));
    let named = WORKSPACES.iter().map(|name| (*name).to_owned());
    let all = named
        .chain(further)
        .map(|name| (name.into(), ample.clone()));
    let mut workspaces: BTreeMap<_, _> = all.collect();
    let scarce = Workspace {
        tokens_per_second: SCARCE_RATE,
        burst_tokens: SCARCE_BURST,
        weight: 1,
    };
    workspaces.insert(SCARCE.into(), scarce);
    Workspaces { workspaces }
}

pub(crate) fn services(shape: &Shape) -> Services {
    let call = |method: &str, path: &str, idempotent| Call {
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
    };
    let calls = vec![
        call("GET", "/cases", true),
        call("POST", "/hearings", false),
    ];
    let services = (shape.services > 0).then(|| (SERVICE.into(), calls));
    Services {
        services: services.into_iter().collect(),
    }
}

/// Returns presets for ordinary days and for maintenance, in which `drain` leaves.
pub(crate) fn presets(shape: &Shape, drain: &[String]) -> Presets {
    let placement = Placement {
        model: MODEL.into(),
        version: "1".to_owned(),
        adapters: Vec::new(),
    };
    let groups = (0..shape.groups).map(|group| (group_name(group).into(), placement.clone()));
    let ordinary = Preset {
        placements: groups.collect(),
        drain: Vec::new(),
        drain_deadline_ms: u64::try_from(shape.drain.as_millis()).unwrap_or(u64::MAX),
        limit_factor: 1.0,
        rebalance: Rebalance {
            skew_weight: 1.0,
            move_weight: 1.0,
            disruption_weight: 1.0,
        },
        changing_groups: 1,
    };
    let maintenance = Preset {
        drain: drain.iter().map(|name| name.as_str().into()).collect(),
        ..ordinary.clone()
    };
    let all = [("ordinary", ordinary), ("maintenance", maintenance)];
    Presets {
        presets: all
            .into_iter()
            .map(|(name, preset)| (name.into(), preset))
            .collect(),
    }
}
