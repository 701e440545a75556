//! Drives the connections of a client from a task of the caller's choice.

use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{future::Future, pin::Pin};
use tokio::sync::mpsc;

/// The work of one connection, as the HTTP implementation hands it over.
pub(super) type ConnectionTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Connections that wait for the driver to take them over; further ones are spawned as
/// tasks of their own.
const MAX_QUEUED: usize = 64;

/// Executor that hands the work of connections over to a [`ConnectionDriver`].
#[derive(Clone)]
pub(super) struct TaskQueue(mpsc::Sender<ConnectionTask>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for TaskQueue {
    fn execute(&self, task: F) {
        if let Err(error) = self.0.try_send(Box::pin(task)) {
            tokio::spawn(error.into_inner());
        }
    }
}

/// The connections of a client, driven by whoever runs this: they don't queue with the
/// other tasks of the runtime and can be given precedence.
pub struct ConnectionDriver(mpsc::Receiver<ConnectionTask>);

impl ConnectionDriver {
    /// An executor for a client, and the driver of its connections.
    pub(super) fn new() -> (TaskQueue, Self) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        (TaskQueue(sender), Self(receiver))
    }

    /// Drives the connections for as long as the client is in use.
    pub async fn run(mut self) {
        let mut connections = FuturesUnordered::new();
        loop {
            tokio::select! {
                task = self.0.recv() => match task {
                    Some(task) => connections.push(task),
                    None => return,
                },
                Some(()) = connections.next(), if !connections.is_empty() => {}
            }
        }
    }
}
