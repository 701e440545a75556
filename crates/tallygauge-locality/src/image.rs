//! A container image.

/// An image that a machine must have before a task can start.
#[derive(Debug, Clone, PartialEq)]
pub struct Image {
    /// Name of the image.
    pub name: String,
    /// Size, GB.
    pub gb: f64,
}
