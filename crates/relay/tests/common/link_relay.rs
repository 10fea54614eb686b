//! Carries the connections of daemons to one daemon, so that a test can silence them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Interval of checks whether a silenced connection carries bytes again.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between the first bytes that a resumed connection carries and the next, so that a request arrives earlier than
/// its cancellation.
const RESUME_GAP: Duration = Duration::from_millis(50);

/// Carries connections to a daemon. A silenced one stays open, but carries no further bytes.
#[derive(Debug, Default)]
pub struct LinkRelay {
    /// Number of connections that were accepted.
    accepted: Cell<usize>,
    /// Connections below this number carry nothing.
    silent_below: Cell<usize>,
    /// Cancelled to close the open connections.
    cut: RefCell<CancellationToken>,
}

impl LinkRelay {
    /// Carries the connections that `listener` accepts to the returned listener.
    pub async fn start(listener: TcpListener) -> (Rc<Self>, TcpListener) {
        let inner = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = inner.local_addr().expect("a bound address");
        let relay = Rc::new(Self::default());
        let accepting = Rc::clone(&relay);
        spawn_local(async move {
            while let Ok((from_caller, _)) = listener.accept().await {
                let number = accepting.accepted.replace(accepting.accepted.get() + 1);
                let to_server = TcpStream::connect(to).await.expect("the daemon listens");
                from_caller.set_nodelay(true).expect("a socket option");
                to_server.set_nodelay(true).expect("a socket option");
                let (caller_read, caller_write) = from_caller.into_split();
                let (server_read, server_write) = to_server.into_split();
                let relay = Rc::clone(&accepting);
                let is_silent = move || number < relay.silent_below.get();
                let cut = accepting.cut.borrow().clone();
                let requests = carry(caller_read, server_write, is_silent.clone());
                spawn_local(cut.clone().run_until_cancelled_owned(requests));
                let answers = carry(server_read, caller_write, is_silent);
                spawn_local(cut.run_until_cancelled_owned(answers));
            }
        });
        (relay, inner)
    }

    /// Number of connections that were accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.get()
    }

    /// Silences the open connections in both directions.
    pub fn silence(&self) {
        self.silent_below.set(self.accepted.get());
    }

    /// The silenced connections carry bytes again, those that were sent meanwhile first.
    pub fn resume(&self) {
        self.silent_below.set(0);
    }

    /// Closes the open connections.
    pub fn cut(&self) {
        self.cut.replace(CancellationToken::new()).cancel();
    }
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_silent: impl Fn() -> bool) {
    let mut buf = [0; 16 * 1024];
    while let Ok(len) = from.read(&mut buf).await {
        let is_delayed = is_silent();
        while is_silent() {
            sleep(RESUME_POLL_INTERVAL).await;
        }
        if len == 0 || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
        if is_delayed {
            sleep(RESUME_GAP).await;
        }
    }
}
