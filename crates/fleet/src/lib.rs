//! Simulated model servers and a list service on local sockets, with faults on command. The servers take the
//! time that real servers would need, without doing the work.

pub mod http;
pub mod links;
pub mod list;
pub mod record;
pub mod server;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use anyhow::{Context, Result};
use paddleproxy_settings::day::FailureMode;
use paddleproxy_settings::fleet::FleetSettings;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::http::Tasks;
use crate::list::ListService;
use crate::record::Record;
use crate::server::{Server, Shared};

/// A server, the tasks of its process and the task of its listener.
struct ServerProcess {
    server: Rc<Server>,
    tasks: Tasks,
    listener_task: RefCell<Option<JoinHandle<()>>>,
}

pub struct Fleet {
    pub shared: Rc<Shared>,
    pub list_address: SocketAddr,
    processes: BTreeMap<String, ServerProcess>,
}

/// Opens a listening socket whose address can be reused immediately after the process has ended.
fn bind(address: SocketAddr, backlog: i32) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

impl Fleet {
    /// Starts all servers in the warm state. Each has a loopback address of its own, so that no other process
    /// takes its port.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound.
    pub async fn start(settings: FleetSettings, record: Record) -> Result<Self> {
        let listener = bind(settings.list, 64).with_context(|| format!("listening on {}", settings.list))?;
        let list_address = listener.local_addr()?;
        let list = ListService::new(record.clone(), settings.list_delay_ms, settings.list_hold_ms);
        tokio::task::spawn_local(http::listen_list(list.clone(), listener));
        let shared = Rc::new(Shared::new(settings, record, list.clone()));
        let subnet = fastrand::Rng::with_seed(u64::from(std::process::id()) ^ u64::from(list_address.port()))
            .u8(2..250);
        let mut processes = BTreeMap::new();
        for (row, server) in shared.settings.servers.iter().enumerate() {
            let ip = Ipv4Addr::new(127, subnet, (row / 200) as u8, (row % 200 + 1) as u8);
            let listener =
                bind(SocketAddr::from((ip, 0)), 1024).with_context(|| format!("listening on {ip}"))?;
            let server = Server::new(shared.clone(), server.clone(), listener.local_addr()?);
            let tasks: Tasks = Rc::new(RefCell::new(JoinSet::new()));
            let listener_task =
                tokio::task::spawn_local(http::listen(server.clone(), listener, tasks.clone()));
            server.start_process(false);
            tokio::task::spawn_local(server.clone().run());
            let process = ServerProcess {
                server: server.clone(),
                tasks,
                listener_task: RefCell::new(Some(listener_task)),
            };
            processes.insert(server.row.name.clone(), process);
        }
        list.publish_all();
        Ok(Fleet { shared, list_address, processes })
    }

    /// Finds a server by its initial name.
    pub fn server(&self, name: &str) -> Option<&Rc<Server>> {
        self.processes.get(name).map(|process| &process.server)
    }

    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.processes.keys()
    }

    pub fn in_zone(&self, zone: &str) -> Vec<String> {
        let inside = self.processes.iter().filter(|(_, process)| process.server.row.zone == zone);
        inside.map(|(name, _)| name.clone()).collect()
    }

    /// Ends a server's process. The list service publishes that with its usual delay.
    pub async fn kill(&self, name: &str, failure: FailureMode) {
        let Some(process) = self.processes.get(name) else { return };
        if !process.server.up.get() {
            return;
        }
        let listener_task = process.listener_task.borrow_mut().take();
        listener_task.iter().for_each(JoinHandle::abort);
        process.server.end_process();
        process.tasks.borrow_mut().abort_all();
        process.server.list("gone");
        // The task owns the listener, so the address is free once the task has ended.
        if let Some(listener_task) = listener_task {
            let _ = listener_task.await;
        }
        let address = process.server.address.get();
        let listener_task = match failure {
            FailureMode::Refuse => None,
            FailureMode::Reset => {
                bind(address, 64).ok().map(|listener| tokio::task::spawn_local(reset_connections(listener)))
            }
            // The backlog is full and nothing accepts, so connection attempts stay unanswered.
            FailureMode::Unreachable => {
                bind(address, 0).ok().map(|listener| tokio::task::spawn_local(fill_backlog(listener)))
            }
        };
        *process.listener_task.borrow_mut() = listener_task;
    }

    /// Starts a new, cold process at the same address; with `as_new`, under a new name.
    pub async fn restart(&self, name: &str, as_new: bool) -> Result<()> {
        let Some(process) = self.processes.get(name).filter(|process| !process.server.up.get()) else {
            return Ok(());
        };
        let listener_task = process.listener_task.borrow_mut().take();
        if let Some(listener_task) = listener_task {
            listener_task.abort();
            let _ = listener_task.await;
        }
        if as_new {
            let new_name = format!("{name}-{}", process.server.start.get());
            *process.server.name.borrow_mut() = new_name;
        }
        let address = process.server.address.get();
        let listener = bind(address, 1024).with_context(|| format!("restarting {name} on {address}"))?;
        let task = http::listen(process.server.clone(), listener, process.tasks.clone());
        *process.listener_task.borrow_mut() = Some(tokio::task::spawn_local(task));
        process.server.start_process(true);
        Ok(())
    }
}

/// Accepts connections and resets them.
async fn reset_connections(listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
        }
    }
}

/// Fills the listener's backlog and keeps it full.
async fn fill_backlog(listener: TcpListener) {
    let Ok(address) = listener.local_addr() else { return };
    let mut streams = Vec::new();
    for _ in 0..4 {
        let stream =
            tokio::time::timeout(std::time::Duration::from_millis(50), TcpStream::connect(address)).await;
        streams.extend(stream.ok().and_then(Result::ok));
    }
    std::future::pending::<()>().await;
}
