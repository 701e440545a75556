//! The key file: who signs, who checks, and what was revoked.

use data_encoding::HEXLOWER_PERMISSIVE as HEX;
use std::{
    collections::HashSet,
    path::{Path, PathBuf},
    time::SystemTime,
};

/// Bytes that a key must have at least: those of the hash.
pub(crate) const LEAST_BYTES: usize = 32;

/// Bytes of a key file at most.
const MOST_BYTES: u64 = 64 * 1024;

/// What is wrong with a key file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// It can't be read.
    #[error("can't be read: {0}")]
    Unreadable(String),
    /// A line says nothing known.
    #[error("line {line}: {what}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong, and what would be right.
        what: String,
    },
    /// No line is a key.
    #[error("holds no key; `tally key` makes one")]
    Empty,
}

/// One key.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Key {
    pub(crate) id: String,
    pub(crate) secret: Vec<u8>,
}

/// The keys of a file.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRing {
    keys: Vec<Key>,
    revoked: HashSet<String>,
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Secrets stay out of logs.
        let ids: Vec<&str> = self.keys.iter().map(|k| k.id.as_str()).collect();
        f.debug_struct("KeyRing").field("keys", &ids).finish()
    }
}

/// A line for a key file, with a key made here.
///
/// # Errors
/// A sentence, when the id can't be one.
pub fn new_key_line(id: &str) -> Result<String, String> {
    check_id(id)?;
    let mut secret = [0; LEAST_BYTES];
    rand::fill(&mut secret);
    Ok(format!("key {id} {}", HEX.encode(&secret)))
}

fn check_id(id: &str) -> Result<(), String> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if (1..=32).contains(&id.len()) && id.bytes().all(plain) {
        Ok(())
    } else {
        Err(format!(
            "an id has 1 to 32 letters, digits, '-' or '_', not '{}'",
            id.chars().take(40).collect::<String>()
        ))
    }
}

impl KeyRing {
    /// Reads the text of a key file: lines `key ID SECRET` (hex, 32 bytes or
    /// more), `revoke TOKEN-ID`, empty ones, and comments after `#`.
    ///
    /// # Errors
    /// The first line that is wrong, or that there is no key.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut ring = Self {
            keys: Vec::new(),
            revoked: HashSet::new(),
        };
        for (at, line) in text.lines().enumerate() {
            let wrong = |what: String| KeyError::Line { line: at + 1, what };
            let line = line.split('#').next().unwrap_or_default();
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                [] => {}
                ["key", id, secret] => {
                    check_id(id).map_err(wrong)?;
                    if ring.keys.iter().any(|k| k.id == *id) {
                        return Err(wrong(format!("a key called '{id}' stands above")));
                    }
                    let secret = HEX
                        .decode(secret.as_bytes())
                        .map_err(|_| wrong("the secret must be hex digits, in pairs".into()))?;
                    if secret.len() < LEAST_BYTES {
                        return Err(wrong(format!(
                            "the secret has {} bytes; {LEAST_BYTES} are the least",
                            secret.len()
                        )));
                    }
                    let id = (*id).to_string();
                    ring.keys.push(Key { id, secret });
                }
                ["revoke", token] => {
                    ring.revoked.insert((*token).to_string());
                }
                [word, ..] => {
                    return Err(wrong(format!(
                        "'key ID SECRET' or 'revoke TOKEN-ID' expected, not '{}'",
                        word.chars().take(20).collect::<String>()
                    )));
                }
            }
        }
        if ring.keys.is_empty() {
            return Err(KeyError::Empty);
        }
        Ok(ring)
    }

    /// Reads a key file.
    ///
    /// # Errors
    /// When it can't be read, or is wrong.
    pub fn read(path: &Path) -> Result<Self, KeyError> {
        let unreadable = |error: std::io::Error| KeyError::Unreadable(error.to_string());
        let size = std::fs::metadata(path).map_err(unreadable)?.len();
        if size > MOST_BYTES {
            return Err(KeyError::Unreadable(format!(
                "{size} bytes; {MOST_BYTES} are the most"
            )));
        }
        Self::parse(&std::fs::read_to_string(path).map_err(unreadable)?)
    }

    /// The key that signs.
    pub(crate) fn first(&self) -> &Key {
        &self.keys[0]
    }

    pub(crate) fn key(&self, id: &str) -> Option<&Key> {
        self.keys.iter().find(|k| k.id == id)
    }

    pub(crate) fn is_revoked(&self, token: &str) -> bool {
        self.revoked.contains(token)
    }
}

/// A key file that is looked at again now and then. While it can't be used, the
/// keys that were read last stay in force: a file that is being written must
/// not lock everybody out.
#[derive(Debug)]
pub struct KeyFile {
    path: PathBuf,
    seen: Option<(SystemTime, u64)>,
    ring: Option<KeyRing>,
    error: Option<KeyError>,
}

impl KeyFile {
    /// A key file that was not looked at yet.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        Self {
            path,
            seen: None,
            ring: None,
            error: None,
        }
    }

    /// Its path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The keys in force; none before the file could be used once.
    #[must_use]
    pub fn ring(&self) -> Option<&KeyRing> {
        self.ring.as_ref()
    }

    /// Looks at the file, and reads it if it is not as it was. Returns what
    /// there is to tell: new keys in force, or a new trouble.
    pub fn refresh(&mut self) -> Option<Result<usize, KeyError>> {
        let seen = std::fs::metadata(&self.path)
            .and_then(|m| Ok((m.modified()?, m.len())))
            .ok();
        if seen.is_some() && seen == self.seen && self.error.is_none() {
            return None;
        }
        match KeyRing::read(&self.path) {
            Ok(ring) => {
                self.seen = seen;
                let news = self.ring.as_ref() != Some(&ring) || self.error.is_some();
                let count = ring.keys.len();
                self.ring = Some(ring);
                self.error = None;
                news.then_some(Ok(count))
            }
            Err(error) => {
                let news = self.error.as_ref() != Some(&error);
                self.error = Some(error.clone());
                news.then_some(Err(error))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::fs;

    #[test]
    fn a_wrong_line_is_named() {
        let secret = "ab".repeat(32);
        let good = format!("# keys\n\nkey k1 {secret} # first\nrevoke t7\n");
        let ring = KeyRing::parse(&good).unwrap();
        assert_eq!(ring.first().id, "k1");
        assert!(ring.is_revoked("t7") && !ring.is_revoked("t8"));
        assert!(!format!("{ring:?}").contains("abab"), "a secret in a log");
        for (text, line, word) in [
            (
                format!("key k1 {secret}\nkey k1 {secret}"),
                2,
                "stands above",
            ),
            ("key k1 abcd".into(), 1, "2 bytes"),
            ("key k1 xyz".into(), 1, "hex"),
            (format!("key k!1 {secret}"), 1, "letters"),
            (format!("key k1 {secret}\n\nky k2 {secret}"), 3, "expected"),
        ] {
            match KeyRing::parse(&text) {
                Err(KeyError::Line { line: at, what }) => {
                    assert!(at == line && what.contains(word), "{at}: {what}");
                }
                other => panic!("{text}: {other:?}"),
            }
        }
        assert_eq!(KeyRing::parse("# none\n"), Err(KeyError::Empty));
    }

    #[test]
    fn a_file_that_cannot_be_used_leaves_the_keys_before_in_force() {
        // A torn or emptied file would else lock every operator out for as long
        // as it takes to write.
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("keys");
        let mut file = KeyFile::new(path.clone());
        assert!(matches!(file.refresh(), Some(Err(KeyError::Unreadable(_)))));
        assert!(file.refresh().is_none(), "told once");
        assert!(file.ring().is_none());
        let line = new_key_line("k1").unwrap();
        fs::write(&path, &line).unwrap();
        assert_eq!(file.refresh(), Some(Ok(1)));
        assert!(file.refresh().is_none());
        let before = file.ring().cloned();
        for torn in ["", &line[..20], "key k1"] {
            fs::write(&path, torn).unwrap();
            assert!(matches!(file.refresh(), Some(Err(_))), "{torn}");
            assert_eq!(file.ring().cloned(), before);
        }
        fs::remove_file(&path).unwrap();
        assert!(matches!(file.refresh(), Some(Err(KeyError::Unreadable(_)))));
        assert_eq!(file.ring().cloned(), before);
        // Replaced by one with another key, the old one does not check any more.
        fs::write(&path, new_key_line("k2").unwrap()).unwrap();
        assert_eq!(file.refresh(), Some(Ok(1)));
        assert!(file.ring().unwrap().key("k1").is_none());
    }
}
