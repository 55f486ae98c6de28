//! Starts and ends the troubles of a plan.

use std::rc::Rc;
use std::time::Duration;

use paddleproxy_faults::Fault;
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::link::LinkCondition;
use crate::plan::{Kind, Trouble};
use crate::play::RunningPlay;
use crate::record::Window;
use crate::server::ServerCondition;
use crate::shutdown::{self, SignalSeries};

/// Steps of the wall clock, in ms.
const WALL_STEPS_MS: [i64; 4] = [-7_000, 7_000, -1_500, 1_500];
const HOUR_MS: i64 = 3_600_000;
/// How long a stall stops a router, and how long the router runs between two stalls, in ms.
const STALL_MS: u64 = 130;
const STALL_INTERVAL_MS: u64 = 220;
/// Longest time for which a freeze stops a router, in s.
const MAX_FREEZE_S: f64 = 2.5;
/// Connections that idle clients open to one router.
const IDLE_CONNECTIONS_PER_ROUTER: usize = 400;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// Runs one trouble from its beginning to its end, and records the period.
pub async fn run_trouble(running: Rc<RunningPlay>, trouble: Trouble, began_s: f64) {
    running.sleep_until_s(began_s + trouble.at_s).await;
    let from_ms = running.record.now_ms();
    let window = Window { trouble: trouble.kind.name().to_owned(), from_ms, to_ms: f64::INFINITY };
    let window_index = running.record.with(|observed| {
        observed.windows.push(window);
        observed.windows.len() - 1
    });
    let ends = Instant::now() + seconds(trouble.for_s);
    apply(&running, &trouble, ends).await;
    let now_ms = running.record.now_ms();
    running.record.with(|observed| observed.windows[window_index].to_ms = now_ms);
}

/// Draws at least one and at most `most` of the indices below `of` with the seed of the trouble; `most` of
/// them for seed 0.
fn pick(trouble: &Trouble, of: usize, most: usize) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(trouble.pick);
    let mut all: Vec<usize> = (0..of).collect();
    rng.shuffle(&mut all);
    let most = most.clamp(1, of.max(1));
    all.truncate(if trouble.pick == 0 { most } else { rng.usize(1..=most) });
    all
}

async fn apply(running: &Rc<RunningPlay>, trouble: &Trouble, ends: Instant) {
    let routers = running.plan.routers;
    let mut rng = fastrand::Rng::with_seed(!trouble.pick);
    match trouble.kind {
        Kind::RouterRestart => {
            restart(running, trouble, &pick(trouble, routers, 2), SignalSeries::TERM).await
        }
        Kind::RouterSeries => restart_in_turn(running, trouble, &pick(trouble, routers, routers / 2)).await,
        Kind::RouterBatch => {
            restart(running, trouble, &pick(trouble, routers, routers / 2), SignalSeries::TERM).await
        }
        Kind::ReloadThenStop => {
            restart(running, trouble, &pick(trouble, routers, 3), SignalSeries::RELOAD_FIRST).await
        }
        Kind::RouterKill => kill(running, &pick(trouble, routers, 4)).await,
        Kind::RouterReload => reload(running, &pick(trouble, routers, routers), ends).await,
        Kind::RouterStall => stall(running, &pick(trouble, routers, 4), ends).await,
        Kind::RouterFreeze => {
            freeze(running, &pick(trouble, routers, 2), trouble.for_s.min(MAX_FREEZE_S)).await
        }
        Kind::DiscoveryDown => {
            running.catalog.down.set(true);
            tokio::time::sleep_until(ends).await;
            running.catalog.down.set(false);
        }
        Kind::DiscoverySlow => {
            running.catalog.slow_ms.set(200.0 + 2300.0 * rng.f64());
            tokio::time::sleep_until(ends).await;
            running.catalog.slow_ms.set(0.0);
        }
        Kind::WatchesReset => running.agents.iter().for_each(|agent| agent.reset_watches()),
        Kind::WatchesSilent => {
            running
                .agents
                .iter()
                .for_each(|agent| agent.link.set(LinkCondition { silent: true, ..LinkCondition::default() }));
            tokio::time::sleep_until(ends).await;
            running.agents.iter().for_each(|agent| agent.link.set(LinkCondition::default()));
        }
        Kind::Drains => drain(running, &servers(running, trouble, 3), ends).await,
        Kind::Join => {
            for _ in 0..rng.usize(1..=2) {
                running.list_next(true);
            }
        }
        Kind::WallBackAnHour => step_wall(running, -HOUR_MS),
        Kind::WallAheadAnHour => step_wall(running, HOUR_MS),
        Kind::WallStep => step_wall(running, WALL_STEPS_MS[rng.usize(..WALL_STEPS_MS.len())]),
        Kind::ServersRestart => {
            restart_servers(running, &servers(running, trouble, 3), 0.2 + rng.f64()).await
        }
        Kind::ClientsIdle => idle_clients(running, &pick(trouble, routers, 2), ends).await,
        Kind::System(fault) => {
            fail_system_calls(running, fault, &pick(trouble, routers, routers), ends).await
        }
        kind => match condition_change(kind) {
            Some(change) => change_servers(running, &servers(running, trouble, 4), ends, change).await,
            None if change_clients(running, kind, true) => {
                tokio::time::sleep_until(ends).await;
                change_clients(running, kind, false);
            }
            None => change_links(running, trouble, &mut rng, ends).await,
        },
    }
}

fn servers(running: &RunningPlay, trouble: &Trouble, most: usize) -> Vec<usize> {
    pick(trouble, running.listed.get(), most)
}

/// Returns the routers that no other trouble is restarting, and claims them for this one.
fn claim_routers(running: &RunningPlay, routers: &[usize]) -> Vec<usize> {
    let free = |router: &&usize| !running.routers[**router].being_restarted.replace(true);
    routers.iter().filter(free).copied().collect()
}

/// Sends SIGTERM to routers, all at once, and starts them again.
async fn restart(running: &Rc<RunningPlay>, trouble: &Trouble, routers: &[usize], series: SignalSeries) {
    let restarts: Vec<_> = claim_routers(running, routers)
        .into_iter()
        .map(|router| {
            tokio::task::spawn_local(shutdown::restart(running.clone(), router, series, trouble.pick))
        })
        .collect();
    for task in restarts {
        let _ = task.await;
    }
}

/// Sends SIGTERM to routers one after another without waiting for restarts, each with a signal series of its
/// own.
async fn restart_in_turn(running: &Rc<RunningPlay>, trouble: &Trouble, routers: &[usize]) {
    let mut rng = fastrand::Rng::with_seed(trouble.pick);
    let routers = claim_routers(running, routers);
    let interval = seconds(trouble.for_s / routers.len().max(1) as f64);
    let mut restarts = Vec::new();
    for router in routers {
        let (series, seed) = (SignalSeries::draw(&mut rng), rng.u64(..));
        restarts.push(tokio::task::spawn_local(shutdown::restart(running.clone(), router, series, seed)));
        sleep(interval).await;
    }
    for task in restarts {
        let _ = task.await;
    }
}

async fn kill(running: &Rc<RunningPlay>, routers: &[usize]) {
    let routers = claim_routers(running, routers);
    for router in &routers {
        running.routers[*router].kill().await;
        running.withdraw(*router);
    }
    sleep(Duration::from_millis(200)).await;
    for router in &routers {
        running.start_router(*router).await;
        running.routers[*router].being_restarted.set(false);
    }
}

/// Reloads the configuration repeatedly, twice in a row each time.
async fn reload(running: &Rc<RunningPlay>, routers: &[usize], ends: Instant) {
    while Instant::now() < ends {
        for index in routers {
            let router = &running.routers[*index];
            for _ in 0..2 {
                let _ = router.configure(&running.configuration(*index));
                router.signal(Signal::HUP);
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn stall(running: &Rc<RunningPlay>, routers: &[usize], ends: Instant) {
    while Instant::now() < ends {
        routers.iter().for_each(|router| running.routers[*router].signal(Signal::STOP));
        sleep(Duration::from_millis(STALL_MS)).await;
        routers.iter().for_each(|router| running.routers[*router].signal(Signal::CONT));
        sleep(Duration::from_millis(STALL_INTERVAL_MS)).await;
    }
}

async fn freeze(running: &Rc<RunningPlay>, routers: &[usize], for_s: f64) {
    routers.iter().for_each(|router| running.routers[*router].signal(Signal::STOP));
    sleep(seconds(for_s)).await;
    routers.iter().for_each(|router| running.routers[*router].signal(Signal::CONT));
}

/// Servers drain, leave and come back as newly started.
async fn drain(running: &Rc<RunningPlay>, servers: &[usize], ends: Instant) {
    let set = |health: &'static str| {
        for server in servers {
            if let Some(mut entry) = running.catalog.entry(*server) {
                entry.health = health;
                running.catalog.change(*server, entry);
            }
        }
    };
    set("draining");
    tokio::time::sleep_until(ends).await;
    set("gone");
    sleep(Duration::from_millis(300)).await;
    servers.iter().for_each(|server| running.servers[*server].crash());
    sleep(Duration::from_millis(300)).await;
    start_again(running, servers).await;
}

async fn start_again(running: &Rc<RunningPlay>, servers: &[usize]) {
    for server in servers {
        if let Err(cause) = running.servers[*server].restart().await {
            running.record.with(|observed| observed.notes.push(format!("server {server}: {cause}")));
        }
        running.list_as_restarted(*server);
    }
}

async fn restart_servers(running: &Rc<RunningPlay>, servers: &[usize], for_s: f64) {
    servers.iter().for_each(|server| running.servers[*server].crash());
    sleep(seconds(for_s)).await;
    start_again(running, servers).await;
}

/// Steps the wall clock of all machines; it keeps the offset when the trouble ends.
fn step_wall(running: &RunningPlay, step_ms: i64) {
    let offset_ms = running.catalog.wall_offset_ms.get() as i64 + step_ms;
    running.catalog.wall_offset_ms.set(offset_ms as f64);
    for router in &running.routers {
        let _ = router.control.set_wall_offset_ms(offset_ms);
    }
}

type ConditionChange = fn(&mut ServerCondition, bool);

/// How a trouble changes the condition of a server; none if it is not a trouble of servers.
fn condition_change(kind: Kind) -> Option<ConditionChange> {
    Some(match kind {
        Kind::ServersHang => |condition, on| condition.hangs = on,
        Kind::ServersHangMidway => |condition, on| condition.hangs_midway = on,
        Kind::ServersLong => |condition, on| condition.streams_on = on,
        Kind::ServersDecline => |condition, on| condition.declines = on,
        Kind::ServersFail => |condition, on| condition.fails = on,
        Kind::ServersBreak => |condition, on| condition.breaks = on,
        Kind::ServersBreakMidway => |condition, on| condition.breaks_midway = on,
        Kind::ServersBabble => |condition, on| condition.sends_garbage = on,
        Kind::ServersDeaf => |condition, on| condition.not_accepting = on,
        Kind::ServersCloseIdle => {
            |condition, on| condition.idle_ms = if on { 30.0 } else { ServerCondition::default().idle_ms }
        }
        Kind::ServersSlow => |condition, on| condition.slowdown = if on { 12.0 } else { 1.0 },
        _ => return None,
    })
}

async fn change_servers(
    running: &Rc<RunningPlay>,
    servers: &[usize],
    ends: Instant,
    change: ConditionChange,
) {
    let set = |on| {
        for server in servers {
            let mut condition = running.servers[*server].condition.get();
            change(&mut condition, on);
            running.servers[*server].condition.set(condition);
        }
    };
    set(true);
    tokio::time::sleep_until(ends).await;
    set(false);
}

/// Changes the behavior of clients. Returns whether the trouble is one of clients.
fn change_clients(running: &RunningPlay, kind: Kind, on: bool) -> bool {
    let mut behavior = running.clients.behavior.get();
    let share_if_on = |share: f64| if on { share } else { 0.0 };
    match kind {
        Kind::ClientsLeave => behavior.leave_share = share_if_on(0.4),
        Kind::ClientsHalf => behavior.half_share = share_if_on(0.2),
        Kind::ClientsPieces => behavior.piece_share = share_if_on(0.5),
        Kind::ClientsHurried => behavior.hurried_share = share_if_on(0.4),
        _ => return false,
    }
    running.clients.behavior.set(behavior);
    true
}

/// Opens connections that send nothing.
async fn idle_clients(running: &Rc<RunningPlay>, routers: &[usize], ends: Instant) {
    let mut open = Vec::new();
    for router in routers {
        for _ in 0..IDLE_CONNECTIONS_PER_ROUTER {
            if let Ok(stream) = TcpStream::connect(running.routers[*router].listen).await {
                open.push(stream);
            }
        }
    }
    tokio::time::sleep_until(ends).await;
}

async fn change_links(running: &Rc<RunningPlay>, trouble: &Trouble, rng: &mut fastrand::Rng, ends: Instant) {
    let change = |condition: &mut LinkCondition, on: bool, rng: &mut fastrand::Rng| match trouble.kind {
        Kind::LinkDelay => condition.delay_ms = if on { 20.0 + 120.0 * rng.f64() } else { 0.0 },
        Kind::LinkSilent => condition.silent = on,
        Kind::LinkReset => condition.resets = on,
        Kind::LinkTrickle => condition.trickles = on,
        _ => condition.last_byte_ms = if on { 20.0 + 100.0 * rng.f64() } else { 0.0 },
    };
    let servers = servers(running, trouble, 5);
    for on in [true, false] {
        for server in &servers {
            let link = &running.servers[*server].link;
            let mut condition = link.condition();
            change(&mut condition, on, rng);
            link.set(condition);
        }
        if on {
            tokio::time::sleep_until(ends).await;
        }
    }
}

/// The share of the calls concerned that a fault affects.
fn fault_rate(fault: Fault) -> f64 {
    match fault {
        Fault::ReadShort | Fault::WriteShort => 0.2,
        Fault::ReadBroken | Fault::WriteBroken => 0.004,
        Fault::ReadInterrupted | Fault::WriteInterrupted | Fault::WaitInterrupted => 0.05,
        Fault::WriteStall => 0.02,
        Fault::BindFails | Fault::ListenFails | Fault::OpenFails => 0.6,
        _ => 0.25,
    }
}

/// The longest stall before a write, in ms.
const MAX_WRITE_STALL_MS: f64 = 140.0;

async fn fail_system_calls(running: &Rc<RunningPlay>, fault: Fault, routers: &[usize], ends: Instant) {
    for router in routers {
        let control = &running.routers[*router].control;
        let _ = control.set_stall_ms(MAX_WRITE_STALL_MS);
        let _ = control.set_rate(fault, fault_rate(fault));
    }
    tokio::time::sleep_until(ends).await;
    for router in routers {
        let _ = running.routers[*router].control.set_rate(fault, 0.0);
    }
}
