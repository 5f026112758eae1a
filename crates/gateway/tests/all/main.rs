//! Tests of a gateway's routing decisions.

mod backoff;
mod departure;
mod evacuation;
mod event;
mod event_bytes;
mod fleet;
mod freshness;
mod gateway;
mod group;
mod limit;
mod load;
mod membership;
mod neighbour;
mod pace;
mod quarantine;
mod restore;
mod route;
mod settled;
mod spread;
mod start;
mod support;
mod transfer;
mod upstream;
mod version;
mod warm_up;
