//! Checks whether a runner that has broken a connection runs on.
//!
//! Load pattern: runners drop idle connections without notice, turn connections away and break answers off while they
//! run on, each time under requests with the same content. Only a runner that has ended may have been crashed by a
//! request, so a break counts as a crash only if the runner takes no new connection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::Cause;
use balance::Key;
use base::Name;
use conn::Connection;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time;

use crate::Line;
use crate::Router;
use crate::forward;

/// How long a new connection must stay open to show that the runner runs on.
const WATCH_TIME: Duration = Duration::from_millis(30);

/// A break of a connection under a request.
#[derive(Debug)]
pub(crate) struct Break {
    pub(crate) runner: Key,
    pub(crate) id: Name,
    pub(crate) address: SocketAddr,
    /// The digest of the runner's incarnation.
    pub(crate) incarnation: u32,
    pub(crate) causes: Vec<Cause>,
    pub(crate) at: Duration,
}

/// The breaks that are to be checked.
#[derive(Debug, Default)]
pub(crate) struct Breaks {
    waiting: RefCell<Vec<Break>>,
    is_new: Notify,
}

impl Breaks {
    /// Adds a break.
    pub(crate) fn add(&self, new: Break) {
        self.waiting.borrow_mut().push(new);
        self.is_new.notify_one();
    }

    /// Takes all breaks, by the incarnation of their runner.
    fn take(&self) -> IndexMap<u32, Vec<Break>> {
        let mut by_runner: IndexMap<u32, Vec<Break>> = IndexMap::new();
        for each in self.waiting.take() {
            by_runner.entry(each.incarnation).or_default().push(each);
        }
        by_runner
    }
}

/// Checks the runners that break connections, until the process ends.
pub async fn check_breaks(router: Rc<Router>) {
    let mut checks = JoinSet::new();
    loop {
        tokio::select! {
            () = router.breaks.is_new.notified() => (),
            Some(_) = checks.join_next() => continue,
        }
        for breaks in router.breaks.take().into_values() {
            checks.spawn_local(check(Rc::clone(&router), breaks));
        }
    }
}

/// Counts the breaks of one runner as crashes, unless it takes a new connection, which is kept for a later request.
async fn check(router: Rc<Router>, breaks: Vec<Break>) {
    let Some(Break { runner, id, address, .. }) = breaks.first() else { return };
    if let Some(connection) = connect(*address).await {
        router.log(Line::new("runner_runs_on").subject(id.as_str()));
        router.pool.borrow_mut().put(*runner, connection, None);
        return;
    }
    let mut core = router.core.borrow_mut();
    for each in &breaks {
        core.crash_history.record_crash(each.at, each.incarnation, &each.causes);
    }
}

/// Opens a connection and returns it if it stays open.
async fn connect(address: SocketAddr) -> Option<Connection> {
    let mut connection = Connection::open(address, forward::CONNECT_TIMEOUT).await.ok()?;
    time::sleep(WATCH_TIME).await;
    connection.is_open().await.then_some(connection)
}
