//! Executor by which hyper spawns its tasks on the daemon's thread.

/// Spawns tasks on the current thread's [`LocalSet`](tokio::task::LocalSet).
#[derive(Clone, Copy, Debug)]
pub struct LocalExec;

impl<F> hyper::rt::Executor<F> for LocalExec
where
    F: Future + 'static,
{
    fn execute(&self, fut: F) {
        tokio::task::spawn_local(fut);
    }
}
