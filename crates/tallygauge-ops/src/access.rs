//! Who is calling, and whether they may.

use std::{
    net::IpAddr,
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tallygauge_auth::{Claims, KeyFile, Networks};
use tallygauge_wire::ops::Role;

/// Time between two looks at the key file.
const LOOK: Duration = Duration::from_secs(1);

/// A caller whose token was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Name that the token was made out to.
    pub name: String,
    /// What they may do.
    pub role: Role,
}

struct Keys {
    file: KeyFile,
    looked: Option<Instant>,
}

/// Networks and keys in force.
pub struct Access {
    networks: Networks,
    keys: Mutex<Keys>,
}

impl Access {
    /// Access from some networks, with tokens signed by keys of a file.
    #[must_use]
    pub fn new(networks: Networks, file: KeyFile) -> Self {
        let keys = Keys { file, looked: None };
        Self {
            networks,
            keys: Mutex::new(keys),
        }
    }

    /// Whether a caller may come from there.
    #[must_use]
    pub fn allows(&self, from: IpAddr) -> bool {
        self.networks.allow(from)
    }

    /// Who holds a token, if it is good now. Why it is not stays here: a
    /// refused caller learns nothing.
    #[must_use]
    pub fn caller(&self, token: &str) -> Option<Caller> {
        let mut keys = self.keys.lock().expect("keys lock");
        if keys.looked.is_none_or(|at| at.elapsed() >= LOOK) {
            keys.looked = Some(Instant::now());
            let path = keys.file.path().display().to_string();
            match keys.file.refresh() {
                Some(Ok(count)) => tracing::info!(path, count, "operators' keys in force"),
                Some(Err(error)) => {
                    let before = keys.file.ring().is_some();
                    tracing::warn!(path, %error, keys_before_hold = before, "operators' keys");
                }
                None => {}
            }
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.map_or(u64::MAX, |d| d.as_secs());
        let claims = Claims::check(token, keys.file.ring()?, now);
        let claims = claims
            .inspect_err(|error| tracing::debug!(%error, "an operator's token is refused"))
            .ok()?;
        Some(Caller {
            name: claims.name,
            role: claims.role,
        })
    }
}
