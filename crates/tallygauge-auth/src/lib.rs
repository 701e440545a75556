//! Who may use the operators' interface: tokens signed with keys from a file,
//! and the networks that callers may come from.
//!
//! A token names its holder, a role and an end; whoever has the key can check
//! it, nothing is kept of it. Keys are replaced by editing the file: the first
//! signs, all of them check. `docs/operators.md` has the formats.

mod keys;
mod networks;
mod token;

pub use keys::{KeyError, KeyFile, KeyRing, new_key_line};
pub use networks::{NetworkError, Networks};
pub use token::{Claims, TokenError};
