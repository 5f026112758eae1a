//! Optional decisions, each enabled by name in the settings.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Features that are enabled.
pub type Features = BTreeSet<Feature>;

/// A decision that is made only where the settings enable it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Feature {
    /// Capacity goes to the requests that the configuration ranks as more urgent first.
    Urgency,
    /// Requests that can no longer meet their objective wait for capacity that no other request
    /// wants, instead of being refused.
    LateQueue,
    /// A gateway's share of a group's capacity follows its part of the demand.
    DemandShares,
    /// Gateways tell each other how long the forward passes of each group take.
    SharedForecasts,
    /// A stream that shows nothing while others of its group go on is resumed at another rank.
    SilenceDetection,
    /// A gateway that starts holds requests until it has a configuration.
    StartupHold,
}
