//! `discover`: what a caller is told when it asks which entry to use.

use auburnline_caller::Discovery;
use http::Method;

use crate::error::Error;
use crate::fleet;
use crate::options;
use crate::options::Options;
use crate::output::Output;
use crate::table::Table;

/// Path of the discovery at a caller's address.
const PATH: &str = "/v1/entries";

/// Asks an entry's address towards callers; no token is sent there.
pub(crate) async fn run(
    address: &str,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let address = options::address(address)?;
    let limit = options.timeout()?;
    let found: Discovery = match fleet::exchange(address, Method::GET, PATH, None, limit).await {
        Ok(found) => found,
        Err(trouble) => {
            output.note(&format!("{address}: {trouble}"));
            return Ok(false);
        }
    };
    if options.json() {
        output.json(&found)?;
        return Ok(true);
    }
    let mut table = Table::new(&["INSTANCE", "ADDRESS", "DOMAIN"]);
    for place in found.entries {
        table.push(vec![place.instance, place.address, place.failure_domain]);
    }
    for line in table.lines() {
        output.line(&line)?;
    }
    output.line(&format!("for {} ms", found.lifetime_ms))?;
    Ok(true)
}
