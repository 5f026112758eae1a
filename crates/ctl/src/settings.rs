//! Settings of the command line itself: whom to ask, and with which token.

use std::net::SocketAddr;

use auburnline_settings::Error;
use auburnline_settings::Reason;
use auburnline_settings::Settings;
use auburnline_settings::Token;
use serde::Deserialize;

/// Whom to ask.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Client {
    /// Operators' addresses of the processes.
    pub(crate) operators: Vec<SocketAddr>,
    /// Token that they ask for.
    pub(crate) token: Token,
}

impl Settings for Client {
    fn check(&self) -> Result<(), Error> {
        if self.operators.is_empty() {
            return Err(Error::single("operators", Reason::Empty));
        }
        if self.token.secret().is_empty() {
            return Err(Error::single("token", Reason::Empty));
        }
        Ok(())
    }
}
