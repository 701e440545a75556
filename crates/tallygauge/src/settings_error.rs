//! Errors of both settings files. Each displays as the one line that an operator
//! reads: it names the field, or the element, as it stands in the file.

use std::{
    fmt, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};
use tallygauge_scheduler::CutoffRuleError;

/// Which of the two settings files an error is about.
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
    /// [`SettingsFileError`], which names the file.
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
        parse(&text).map_err(|source| SettingsFileError::Refused {
            file: self,
            path: path.to_path_buf(),
            source,
        })
    }
}

impl fmt::Display for SettingsFile {
    /// The words in front of the file's path.
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
        /// Which file it is.
        file: SettingsFile,
        /// Its path.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The file was read, but its content is refused.
    #[error("{file}{}: {source}", path.display())]
    Refused {
        /// Which file it is.
        file: SettingsFile,
        /// Its path.
        path: PathBuf,
        /// What is wrong with its content.
        source: SettingsError,
    },
}

/// What is wrong with the content of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Not JSON, or a field is missing or of the wrong type.
    #[error("{0}")]
    MalformedJson(#[from] serde_json::Error),
    /// Not XML, or an element is unknown or of the wrong type.
    #[error("{}", on_one_line(.0))]
    MalformedXml(#[from] quick_xml::DeError),
    /// A value is not one of those that its field may have.
    #[error("{field} must be {expected}, not {found}")]
    Invalid {
        /// Field, as in the file.
        field: &'static str,
        /// What it may be.
        expected: String,
        /// What it is.
        found: String,
    },
    /// A field breaks a rule that its value alone doesn't show.
    #[error("{field} must {requirement}")]
    RequirementNotMet {
        /// Field, as in the file.
        field: String,
        /// What must hold of it.
        requirement: &'static str,
    },
    /// A name that must be unique occurs twice.
    #[error("{field} '{name}' is there twice")]
    DuplicateName {
        /// Field, as in the file.
        field: String,
        /// The name.
        name: String,
    },
    /// Two endpoints have the same address.
    #[error("{field}: address {address} is also that of {other_field}")]
    DuplicateAddress {
        /// Field of the later endpoint, as in the file.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Field of the earlier endpoint.
        other_field: &'static str,
    },
    /// An attribute of a cutoff has a value that it may not have.
    #[error("calendar/cutoff '{cutoff}': {attribute} must be {expected}")]
    InvalidCutoff {
        /// Name of the cutoff.
        cutoff: String,
        /// Attribute of its element.
        attribute: &'static str,
        /// What it may be.
        expected: &'static str,
    },
    /// The attributes of a cutoff are valid each, but not together.
    #[error("calendar/cutoff '{cutoff}': {source}")]
    InvalidCutoffRule {
        /// Name of the cutoff.
        cutoff: String,
        /// Which rule they break.
        source: CutoffRuleError,
    },
    /// A rank is limited to the window of a cutoff that is not declared.
    #[error("ledger/rank during '{cutoff}' names no cutoff of the calendar")]
    UnknownCutoff {
        /// Name of the cutoff.
        cutoff: String,
    },
}

impl SettingsError {
    /// An [`Invalid`](Self::Invalid) value.
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

    /// A [requirement](Self::RequirementNotMet) that a field does not meet.
    pub(crate) fn requirement(field: impl Into<String>, requirement: &'static str) -> Self {
        Self::RequirementNotMet {
            field: field.into(),
            requirement,
        }
    }
}

/// The XML parser's messages may have line breaks: an operator reads one line.
fn on_one_line(error: &quick_xml::DeError) -> String {
    error.to_string().replace('\n', " ")
}

/// Refuses numbers that are not above 0.
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
