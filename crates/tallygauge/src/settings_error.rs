//! Errors of both settings files. Each error displays as one line for the operator,
//! which gives the key or the element by its name in the file.

use std::{
    fmt, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};
use tallygauge_scheduler::CutoffRuleError;

/// The two settings files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsFile {
    /// The platform's settings (JSON).
    Platform,
    /// The operators' settings (XML).
    Operator,
}

impl SettingsFile {
    /// Reads a file and parses its text.
    ///
    /// # Errors
    /// A [`SettingsFileError`], which names the file.
    pub(crate) fn load<T>(
        self,
        path: &Path,
        parse: impl FnOnce(&str) -> Result<T, SettingsError>,
    ) -> Result<T, SettingsFileError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsFileError::Unreadable {
            file: self,
            path: path.to_path_buf(),
            source,
        })?;
        parse(&text).map_err(|source| SettingsFileError::Invalid {
            file: self,
            path: path.to_path_buf(),
            source,
        })
    }
}

impl fmt::Display for SettingsFile {
    /// The text that precedes the path of the file in an error message.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => formatter.write_str("settings "),
            Self::Operator => Ok(()),
        }
    }
}

/// A settings file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The file can't be opened, or is not UTF-8.
    #[error("{file}{}: can't be read: {source}", path.display())]
    Unreadable {
        /// Which of the settings files.
        file: SettingsFile,
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{file}{}: {source}", path.display())]
    Invalid {
        /// Which of the settings files.
        file: SettingsFile,
        /// Path of the file.
        path: PathBuf,
        /// Fault in the content.
        source: SettingsError,
    },
}

/// A fault in the content of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a field is missing or of the wrong type.
    #[error("{0}")]
    MalformedJson(#[from] serde_json::Error),
    /// The text is not XML, or an element is unknown or of the wrong type.
    #[error("{}", on_one_line(.0))]
    MalformedXml(#[from] quick_xml::DeError),
    /// The value of a field is out of the permitted range or malformed.
    #[error("{field} must be {expected}, not {found}")]
    Invalid {
        /// Name of the field in the file.
        field: &'static str,
        /// Description of the permitted values.
        expected: String,
        /// The value in the file.
        found: String,
    },
    /// A field violates a requirement; the message doesn't include its value.
    #[error("{field} must {requirement}")]
    RequirementNotMet {
        /// Name of the field in the file.
        field: String,
        /// The requirement, phrased to follow "must".
        requirement: &'static str,
    },
    /// A name that must be unique occurs twice.
    #[error("{field} '{name}' occurs twice")]
    DuplicateName {
        /// Name of the field in the file.
        field: String,
        /// The duplicate name.
        name: String,
    },
    /// Two endpoints have the same address.
    #[error("{field}: address {address} is already used by {other_field}")]
    DuplicateAddress {
        /// Name in the file of the later endpoint's field.
        field: &'static str,
        /// The duplicate address.
        address: SocketAddr,
        /// Name in the file of the earlier endpoint's field.
        other_field: &'static str,
    },
    /// An attribute of a cutoff has an invalid value.
    #[error("calendar/cutoff '{cutoff}': {attribute} must be {expected}")]
    InvalidCutoff {
        /// Name of the cutoff.
        cutoff: String,
        /// Name of the attribute.
        attribute: &'static str,
        /// Description of the permitted values.
        expected: &'static str,
    },
    /// The attributes of a cutoff parse, but the rule that they form is invalid.
    #[error("calendar/cutoff '{cutoff}': {source}")]
    InvalidCutoffRule {
        /// Name of the cutoff.
        cutoff: String,
        /// Why the rule is invalid.
        source: CutoffRuleError,
    },
    /// A rank applies during the window of a cutoff that is not declared.
    #[error("ledger/rank during '{cutoff}' does not name a cutoff of the calendar")]
    UnknownCutoff {
        /// Name of the cutoff.
        cutoff: String,
    },
}

impl SettingsError {
    /// An [`Invalid`](Self::Invalid) error.
    pub(crate) fn invalid(
        field: &'static str,
        expected: impl Into<String>,
        found: impl fmt::Display,
    ) -> Self {
        Self::Invalid {
            field,
            expected: expected.into(),
            found: found.to_string(),
        }
    }

    /// A [`RequirementNotMet`](Self::RequirementNotMet) error.
    pub(crate) fn requirement(field: impl Into<String>, requirement: &'static str) -> Self {
        Self::RequirementNotMet {
            field: field.into(),
            requirement,
        }
    }
}

/// The message of the XML parser with its line breaks replaced by spaces, so that the
/// error stays on one line.
fn on_one_line(error: &quick_xml::DeError) -> String {
    error.to_string().replace('\n', " ")
}

/// Rejects numbers that are not above 0 or not finite.
pub(crate) fn require_positive(fields: &[(&'static str, f64)]) -> Result<(), SettingsError> {
    for (field, value) in fields {
        if !value.is_finite() || *value <= 0.0 {
            return Err(SettingsError::invalid(field, "above 0", value));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
