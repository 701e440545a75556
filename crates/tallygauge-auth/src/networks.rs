//! Networks that callers may come from.

use ipnet::IpNet;
use std::net::IpAddr;

/// A word that is no network.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no network; one looks like 10.1.0.0/16, fd00::/8 or 192.0.2.7")]
pub struct NetworkError(String);

/// A list of networks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Networks(Vec<IpNet>);

impl Networks {
    /// Networks in CIDR notation, and single addresses, with blanks or commas
    /// in between.
    ///
    /// # Errors
    /// The first word that is neither.
    pub fn parse(text: &str) -> Result<Self, NetworkError> {
        let words = text.split([' ', ',', '\n', '\t']).filter(|w| !w.is_empty());
        let nets: Result<Vec<IpNet>, NetworkError> = words
            .map(|word| {
                let one = || word.parse::<IpAddr>().map(IpNet::from).ok();
                let net = word.parse::<IpNet>().ok().or_else(one);
                net.ok_or_else(|| NetworkError(word.chars().take(50).collect()))
            })
            .collect();
        Ok(Self(IpNet::aggregate(&nets?)))
    }

    /// Whether an address is in one of them. An IPv4 address that came in as
    /// IPv6 counts as what it is.
    #[must_use]
    pub fn allow(&self, from: IpAddr) -> bool {
        let from = from.to_canonical();
        self.0.iter().any(|net| net.contains(&from))
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn addresses_in_the_networks_are_allowed() {
        let nets = Networks::parse("10.1.0.0/16, 192.0.2.7\n fd00::/8").unwrap();
        for (addr, allowed) in [
            ("10.1.255.3", true),
            ("10.2.0.1", false),
            ("192.0.2.7", true),
            ("192.0.2.8", false),
            ("::ffff:10.1.0.9", true),
            ("::ffff:10.9.0.9", false),
            ("fd12::1", true),
            ("fe80::1", false),
        ] {
            assert_eq!(nets.allow(addr.parse().unwrap()), allowed, "{addr}");
        }
        assert!(Networks::parse("10.1.0.0/33").is_err());
        assert!(Networks::parse("").unwrap().is_empty());
    }
}
