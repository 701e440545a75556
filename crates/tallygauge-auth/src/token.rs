//! Tokens: `tg1.KEY.CLAIMS.MAC`, claims and MAC in base64url. The MAC is
//! HMAC-SHA256 over all that stands before it.

use crate::keys::{Key, KeyRing};
use data_encoding::{BASE64URL_NOPAD as B64, HEXLOWER};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tallygauge_wire::ops::Role;

const PREFIX: &str = "tg1";

/// Bytes of a token at most.
const MOST_BYTES: usize = 1024;

/// What a token says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Its own id, by which it can be revoked.
    pub id: String,
    /// Whose it is.
    pub name: String,
    /// What its holder may do.
    pub role: Role,
    /// When it ends, seconds since 1970.
    pub until: u64,
}

/// Why a token is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// It has not the form of one.
    #[error("this is no token")]
    Malformed,
    /// Its key is not in force.
    #[error("its key is not in force")]
    UnknownKey,
    /// It was not signed with that key.
    #[error("its signature is wrong")]
    Forged,
    /// It is past its end.
    #[error("it has ended")]
    Ended,
    /// It was revoked.
    #[error("it was revoked")]
    Revoked,
}

fn mac(key: &Key, text: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes keys of any length");
    mac.update(text.as_bytes());
    mac
}

impl Claims {
    /// Claims of a new token.
    ///
    /// # Errors
    /// A sentence, when the name can't be one.
    pub fn new(name: &str, role: Role, until: u64) -> Result<Self, String> {
        if name.is_empty() || name.len() > 64 || name.chars().any(char::is_control) {
            return Err("a name has 1 to 64 bytes and no control characters".into());
        }
        let mut id = [0; 8];
        rand::fill(&mut id);
        Ok(Self {
            id: HEXLOWER.encode(&id),
            name: name.into(),
            role,
            until,
        })
    }

    /// The token, signed with the first key.
    #[must_use]
    pub fn sign(&self, ring: &KeyRing) -> String {
        let key = ring.first();
        let claims = serde_json::to_vec(self).unwrap_or_default();
        let text = format!("{PREFIX}.{}.{}", key.id, B64.encode(&claims));
        let mac = B64.encode(&mac(key, &text).finalize().into_bytes());
        format!("{text}.{mac}")
    }

    /// Checks a token. The signature is compared in constant time, and nothing
    /// that the token says is looked at before.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn check(token: &str, ring: &KeyRing, now: u64) -> Result<Self, TokenError> {
        if token.len() > MOST_BYTES {
            return Err(TokenError::Malformed);
        }
        let (text, signature) = token.rsplit_once('.').ok_or(TokenError::Malformed)?;
        let signature = B64
            .decode(signature.as_bytes())
            .map_err(|_| TokenError::Malformed)?;
        let mut parts = text.split('.');
        let (prefix, id, claims) = (parts.next(), parts.next(), parts.next());
        let (Some(PREFIX), Some(id), Some(claims), None) = (prefix, id, claims, parts.next())
        else {
            return Err(TokenError::Malformed);
        };
        let key = ring.key(id).ok_or(TokenError::UnknownKey)?;
        mac(key, text)
            .verify_slice(&signature)
            .map_err(|_| TokenError::Forged)?;
        let claims = B64
            .decode(claims.as_bytes())
            .map_err(|_| TokenError::Malformed)?;
        let claims: Self = serde_json::from_slice(&claims).map_err(|_| TokenError::Malformed)?;
        if ring.is_revoked(&claims.id) {
            return Err(TokenError::Revoked);
        }
        if now >= claims.until {
            return Err(TokenError::Ended);
        }
        Ok(claims)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::new_key_line;
    use proptest::prelude::*;

    fn ring(ids: &[&str]) -> KeyRing {
        let lines: Vec<String> = ids.iter().map(|id| new_key_line(id).unwrap()).collect();
        KeyRing::parse(&lines.join("\n")).unwrap()
    }

    #[test]
    fn a_token_holds_until_its_end_its_key_or_its_revocation() {
        let line = new_key_line("old").unwrap();
        let before = KeyRing::parse(&line).unwrap();
        let claims = Claims::new("amma", Role::Submit, 1000).unwrap();
        let token = claims.sign(&before);
        assert_eq!(Claims::check(&token, &before, 999), Ok(claims.clone()));
        assert_eq!(Claims::check(&token, &before, 1000), Err(TokenError::Ended));
        // Rotation: the new key signs, the old one still checks, then goes.
        let new = new_key_line("new").unwrap();
        let both = KeyRing::parse(&format!("{new}\n{line}")).unwrap();
        assert_eq!(Claims::check(&token, &both, 5), Ok(claims.clone()));
        assert!(claims.sign(&both).starts_with("tg1.new."));
        let after = KeyRing::parse(&new).unwrap();
        assert_eq!(
            Claims::check(&token, &after, 5),
            Err(TokenError::UnknownKey)
        );
        let revoked = KeyRing::parse(&format!("{line}\nrevoke {}", claims.id)).unwrap();
        assert_eq!(Claims::check(&token, &revoked, 5), Err(TokenError::Revoked));
        // A key of the same name with another secret.
        assert_eq!(
            Claims::check(&token, &ring(&["old"]), 5),
            Err(TokenError::Forged)
        );
        assert!(Claims::new("", Role::See, 1).is_err());
    }

    proptest! {
        #[test]
        fn no_changed_token_is_taken(at in 0usize..200, to in any::<u8>(), cut in 0usize..200) {
            let ring = ring(&["k"]);
            let token = Claims::new("kofi", Role::See, 1000).unwrap().sign(&ring);
            let mut bytes = token.clone().into_bytes();
            let at = at % bytes.len();
            let before = bytes[at];
            bytes[at] = to;
            if let Ok(changed) = String::from_utf8(bytes)
                && to != before
            {
                prop_assert!(Claims::check(&changed, &ring, 1).is_err(), "{}", changed);
            }
            let cut = cut % token.len();
            prop_assert!(Claims::check(&token[..cut], &ring, 1).is_err());
        }
    }
}
