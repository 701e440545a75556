//! Drives a client's connections from a task that the caller chooses.

use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{future::Future, pin::Pin};
use tokio::sync::mpsc;

/// Future that drives one connection, as the HTTP library passes it to its executor.
pub(super) type ConnectionTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Capacity of the queue of connections that the driver has not yet taken. Further
/// connections are spawned as separate tasks.
const MAX_QUEUED_CONNECTIONS: usize = 64;

/// Executor that passes connection futures to a [`ConnectionDriver`].
#[derive(Clone)]
pub(super) struct TaskQueue(mpsc::Sender<ConnectionTask>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for TaskQueue {
    fn execute(&self, task: F) {
        if let Err(error) = self.0.try_send(Box::pin(task)) {
            tokio::spawn(error.into_inner());
        }
    }
}

/// Drives a client's connections within the task that calls [`ConnectionDriver::run`].
/// The connections then don't queue behind the other tasks of the runtime and can be
/// given precedence.
pub struct ConnectionDriver(mpsc::Receiver<ConnectionTask>);

impl ConnectionDriver {
    /// Creates an executor for a client, and the driver of the client's connections.
    pub(super) fn new() -> (TaskQueue, Self) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
        (TaskQueue(sender), Self(receiver))
    }

    /// Drives the connections for as long as the client or a clone of it is in use.
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
