//! Settings of a sidecar.

use std::net::SocketAddr;

use auburnline_duty::memory::MIN_MEBIBYTES;
use auburnline_settings::Error;
use auburnline_settings::Fault;
use auburnline_settings::Reason;
use auburnline_settings::number;
use serde::Deserialize;

/// Settings of a sidecar, read from JSON.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the instance, as it is logged.
    pub instance: String,
    /// Failure domain of the instance; the leader groups sidecars by it.
    pub failure_domain: String,
    /// UDP address for messages of other sidecars and gateways; its port must be the same at all sidecars.
    pub peers: SocketAddr,
    /// TCP address at which metrics are scraped.
    pub metrics: SocketAddr,
    /// Peer addresses of a few gateways, which are queried for the members of the service.
    pub gateways: Vec<SocketAddr>,
    /// Address of the engine on this instance.
    pub engine: SocketAddr,
    /// Service that the engine belongs to.
    pub service: String,
    /// Bandwidth of the instance's link in megabits per second.
    pub link_mbps: f64,
    /// Memory of the process in MiB, at least 32; what the system allows if absent.
    #[serde(default, deserialize_with = "number::optional_limit")]
    pub memory_mb: Option<usize>,
}

impl auburnline_settings::Settings for Settings {
    fn check(&self) -> Result<(), Error> {
        let texts = [
            ("instance", &self.instance),
            ("failure_domain", &self.failure_domain),
            ("service", &self.service),
        ];
        let empty = texts.into_iter().filter(|(_, text)| text.is_empty());
        let mut faults: Vec<Fault> = empty.map(|(path, _)| fault(path, "is empty")).collect();
        let is_link = self.link_mbps.is_finite() && self.link_mbps > 0.0;
        if !is_link {
            faults.push(fault("link_mbps", "is not a positive number"));
        }
        if self.memory_mb.is_some_and(|memory| memory < MIN_MEBIBYTES) {
            faults.push(fault("memory_mb", "is less than 32"));
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Error(faults))
        }
    }
}

fn fault(path: &str, cause: &str) -> Fault {
    Fault {
        path: path.to_owned(),
        reason: Reason::Malformed(cause.to_owned()),
    }
}
