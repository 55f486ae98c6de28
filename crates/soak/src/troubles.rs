//! Brings troubles about and ends them.

use std::rc::Rc;
use std::time::Duration;

use paddleproxy_faults::Fault;
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::link::Weather;
use crate::plan::{Kind, Trouble};
use crate::play::Stage;
use crate::record::Window;
use crate::server::Mood;
use crate::shutdown::{self, Series};

/// Steps of the wall clock, in ms.
const WALL_STEPS_MS: [i64; 4] = [-7_000, 7_000, -1_500, 1_500];
const HOUR_MS: i64 = 3_600_000;
/// How long a router is stopped, and how long it runs in between, in ms.
const STALL_MS: u64 = 130;
const RUNS_MS: u64 = 220;
/// A router stands still for so long at most, in s.
const FROZEN_S: f64 = 2.5;
/// Connections that idle clients open at one router.
const IDLE_CONNECTIONS: usize = 400;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// One trouble, from its beginning to its end.
pub async fn befall(stage: Rc<Stage>, trouble: Trouble, began_s: f64) {
    stage.until_s(began_s + trouble.at_s).await;
    let from_ms = stage.record.now_ms();
    let window = Window { trouble: trouble.kind.name().to_owned(), from_ms, to_ms: f64::INFINITY };
    let row = stage.record.with(|seen| {
        seen.windows.push(window);
        seen.windows.len() - 1
    });
    let ends = Instant::now() + seconds(trouble.for_s);
    bring_about(&stage, &trouble, ends).await;
    let now_ms = stage.record.now_ms();
    stage.record.with(|seen| seen.windows[row].to_ms = now_ms);
}

/// Some of so many, drawn by the trouble's own seed; as many as may be for seed 0.
fn some(trouble: &Trouble, of: usize, most: usize) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(trouble.pick);
    let mut all: Vec<usize> = (0..of).collect();
    rng.shuffle(&mut all);
    let most = most.clamp(1, of.max(1));
    all.truncate(if trouble.pick == 0 { most } else { rng.usize(1..=most) });
    all
}

async fn bring_about(stage: &Rc<Stage>, trouble: &Trouble, ends: Instant) {
    let routers = stage.plan.routers;
    let mut rng = fastrand::Rng::with_seed(!trouble.pick);
    match trouble.kind {
        Kind::RouterRestart => restart(stage, trouble, &some(trouble, routers, 2), Series::TERM).await,
        Kind::RouterSeries => restart_in_turn(stage, trouble, &some(trouble, routers, routers / 2)).await,
        Kind::RouterBatch => {
            restart(stage, trouble, &some(trouble, routers, routers / 2), Series::TERM).await
        }
        Kind::ReloadThenStop => {
            restart(stage, trouble, &some(trouble, routers, 3), Series::RELOAD_FIRST).await
        }
        Kind::RouterKill => kill(stage, &some(trouble, routers, 4)).await,
        Kind::RouterReload => reload(stage, &some(trouble, routers, routers), ends).await,
        Kind::RouterStall => stall(stage, &some(trouble, routers, 4), ends).await,
        Kind::RouterFreeze => freeze(stage, &some(trouble, routers, 2), trouble.for_s.min(FROZEN_S)).await,
        Kind::DiscoveryDown => {
            stage.catalog.down.set(true);
            tokio::time::sleep_until(ends).await;
            stage.catalog.down.set(false);
        }
        Kind::DiscoverySlow => {
            stage.catalog.slow_ms.set(200.0 + 2300.0 * rng.f64());
            tokio::time::sleep_until(ends).await;
            stage.catalog.slow_ms.set(0.0);
        }
        Kind::WatchesReset => stage.agents.iter().for_each(|agent| agent.reset_watches()),
        Kind::WatchesSilent => {
            stage
                .agents
                .iter()
                .for_each(|agent| agent.link.set(Weather { silent: true, ..Weather::default() }));
            tokio::time::sleep_until(ends).await;
            stage.agents.iter().for_each(|agent| agent.link.set(Weather::default()));
        }
        Kind::Drains => drain(stage, &servers(stage, trouble, 3), ends).await,
        Kind::Join => {
            for _ in 0..rng.usize(1..=2) {
                stage.list_next(true);
            }
        }
        Kind::WallBackAnHour => step_wall(stage, -HOUR_MS),
        Kind::WallAheadAnHour => step_wall(stage, HOUR_MS),
        Kind::WallStep => step_wall(stage, WALL_STEPS_MS[rng.usize(..WALL_STEPS_MS.len())]),
        Kind::ServersRestart => restart_servers(stage, &servers(stage, trouble, 3), 0.2 + rng.f64()).await,
        Kind::ClientsIdle => idle_clients(stage, &some(trouble, routers, 2), ends).await,
        Kind::System(fault) => system(stage, fault, &some(trouble, routers, routers), ends).await,
        kind => match mood(kind) {
            Some(change) => moody(stage, &servers(stage, trouble, 4), ends, change).await,
            None if manners(stage, kind, true) => {
                tokio::time::sleep_until(ends).await;
                manners(stage, kind, false);
            }
            None => links(stage, trouble, &mut rng, ends).await,
        },
    }
}

fn servers(stage: &Stage, trouble: &Trouble, most: usize) -> Vec<usize> {
    some(trouble, stage.listed.get(), most)
}

/// Those that no other trouble is restarting; they are this one's from now on.
fn taken(stage: &Stage, routers: &[usize]) -> Vec<usize> {
    let free = |router: &&usize| !stage.routers[**router].being_restarted.replace(true);
    routers.iter().filter(free).copied().collect()
}

/// Tells routers to end, all at once, and starts them again.
async fn restart(stage: &Rc<Stage>, trouble: &Trouble, routers: &[usize], series: Series) {
    let each: Vec<_> = taken(stage, routers)
        .into_iter()
        .map(|router| {
            tokio::task::spawn_local(shutdown::restart(stage.clone(), router, series, trouble.pick))
        })
        .collect();
    for task in each {
        let _ = task.await;
    }
}

/// Tells routers to end one after another, before the first is there again, each with a series of signals of its own.
async fn restart_in_turn(stage: &Rc<Stage>, trouble: &Trouble, routers: &[usize]) {
    let mut rng = fastrand::Rng::with_seed(trouble.pick);
    let routers = taken(stage, routers);
    let apart = seconds(trouble.for_s / routers.len().max(1) as f64);
    let mut each = Vec::new();
    for router in routers {
        let (series, seed) = (Series::draw(&mut rng), rng.u64(..));
        each.push(tokio::task::spawn_local(shutdown::restart(stage.clone(), router, series, seed)));
        sleep(apart).await;
    }
    for task in each {
        let _ = task.await;
    }
}

async fn kill(stage: &Rc<Stage>, routers: &[usize]) {
    let routers = taken(stage, routers);
    for router in &routers {
        stage.routers[*router].kill().await;
        stage.withdraw(*router);
    }
    sleep(Duration::from_millis(200)).await;
    for router in &routers {
        stage.start_router(*router).await;
        stage.routers[*router].being_restarted.set(false);
    }
}

/// New configurations in a row, at times two without a pause.
async fn reload(stage: &Rc<Stage>, routers: &[usize], ends: Instant) {
    while Instant::now() < ends {
        for router in routers {
            let place = &stage.routers[*router];
            for _ in 0..2 {
                let _ = place.configure(&stage.configuration(*router));
                place.signal(Signal::HUP);
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn stall(stage: &Rc<Stage>, routers: &[usize], ends: Instant) {
    while Instant::now() < ends {
        routers.iter().for_each(|router| stage.routers[*router].signal(Signal::STOP));
        sleep(Duration::from_millis(STALL_MS)).await;
        routers.iter().for_each(|router| stage.routers[*router].signal(Signal::CONT));
        sleep(Duration::from_millis(RUNS_MS)).await;
    }
}

async fn freeze(stage: &Rc<Stage>, routers: &[usize], for_s: f64) {
    routers.iter().for_each(|router| stage.routers[*router].signal(Signal::STOP));
    sleep(seconds(for_s)).await;
    routers.iter().for_each(|router| stage.routers[*router].signal(Signal::CONT));
}

/// Servers drain, go and come back as new.
async fn drain(stage: &Rc<Stage>, servers: &[usize], ends: Instant) {
    let set = |health: &'static str| {
        for server in servers {
            if let Some(mut entry) = stage.catalog.entry(*server) {
                entry.health = health;
                stage.catalog.change(*server, entry);
            }
        }
    };
    set("draining");
    tokio::time::sleep_until(ends).await;
    set("gone");
    sleep(Duration::from_millis(300)).await;
    servers.iter().for_each(|server| stage.servers[*server].die());
    sleep(Duration::from_millis(300)).await;
    revive(stage, servers).await;
}

async fn revive(stage: &Rc<Stage>, servers: &[usize]) {
    for server in servers {
        if let Err(cause) = stage.servers[*server].revive().await {
            stage.record.with(|seen| seen.notes.push(format!("server {server}: {cause}")));
        }
        stage.restarted(*server);
    }
}

async fn restart_servers(stage: &Rc<Stage>, servers: &[usize], for_s: f64) {
    servers.iter().for_each(|server| stage.servers[*server].die());
    sleep(seconds(for_s)).await;
    revive(stage, servers).await;
}

/// Every machine reads the same clock; it stays where it was stepped to.
fn step_wall(stage: &Stage, step_ms: i64) {
    let offset_ms = stage.catalog.wall_offset_ms.get() as i64 + step_ms;
    stage.catalog.wall_offset_ms.set(offset_ms as f64);
    for router in &stage.routers {
        let _ = router.control.set_wall_offset_ms(offset_ms);
    }
}

type Change = fn(&mut Mood, bool);

/// How a trouble changes a server's mood.
fn mood(kind: Kind) -> Option<Change> {
    Some(match kind {
        Kind::ServersHang => |mood, on| mood.hangs = on,
        Kind::ServersHangMidway => |mood, on| mood.hangs_midway = on,
        Kind::ServersLong => |mood, on| mood.long = on,
        Kind::ServersDecline => |mood, on| mood.declines = on,
        Kind::ServersFail => |mood, on| mood.fails = on,
        Kind::ServersBreak => |mood, on| mood.breaks = on,
        Kind::ServersBreakMidway => |mood, on| mood.breaks_midway = on,
        Kind::ServersBabble => |mood, on| mood.babbles = on,
        Kind::ServersDeaf => |mood, on| mood.deaf = on,
        Kind::ServersCloseIdle => |mood, on| mood.idle_ms = if on { 30.0 } else { Mood::default().idle_ms },
        Kind::ServersSlow => |mood, on| mood.slowness = if on { 12.0 } else { 1.0 },
        _ => return None,
    })
}

async fn moody(stage: &Rc<Stage>, servers: &[usize], ends: Instant, change: Change) {
    let set = |on| {
        for server in servers {
            let mut mood = stage.servers[*server].mood.get();
            change(&mut mood, on);
            stage.servers[*server].mood.set(mood);
        }
    };
    set(true);
    tokio::time::sleep_until(ends).await;
    set(false);
}

/// Sets how clients behave; whether the trouble is one of clients.
fn manners(stage: &Stage, kind: Kind, on: bool) -> bool {
    let mut manners = stage.clients.manners.get();
    let part = |share: f64| if on { share } else { 0.0 };
    match kind {
        Kind::ClientsLeave => manners.leaves = part(0.4),
        Kind::ClientsHalf => manners.halves = part(0.2),
        Kind::ClientsPieces => manners.pieces = part(0.5),
        Kind::ClientsHurried => manners.hurried = part(0.4),
        _ => return false,
    }
    stage.clients.manners.set(manners);
    true
}

/// Connections that say nothing.
async fn idle_clients(stage: &Rc<Stage>, routers: &[usize], ends: Instant) {
    let mut open = Vec::new();
    for router in routers {
        for _ in 0..IDLE_CONNECTIONS {
            if let Ok(stream) = TcpStream::connect(stage.routers[*router].listen).await {
                open.push(stream);
            }
        }
    }
    tokio::time::sleep_until(ends).await;
}

async fn links(stage: &Rc<Stage>, trouble: &Trouble, rng: &mut fastrand::Rng, ends: Instant) {
    let change = |weather: &mut Weather, on: bool, rng: &mut fastrand::Rng| match trouble.kind {
        Kind::LinkDelay => weather.delay_ms = if on { 20.0 + 120.0 * rng.f64() } else { 0.0 },
        Kind::LinkSilent => weather.silent = on,
        Kind::LinkReset => weather.resets = on,
        Kind::LinkTrickle => weather.trickles = on,
        _ => weather.last_byte_ms = if on { 20.0 + 100.0 * rng.f64() } else { 0.0 },
    };
    let servers = servers(stage, trouble, 5);
    for on in [true, false] {
        for server in &servers {
            let link = &stage.servers[*server].link;
            let mut weather = link.weather();
            change(&mut weather, on, rng);
            link.set(weather);
        }
        if on {
            tokio::time::sleep_until(ends).await;
        }
    }
}

/// The part of calls that a fault hits.
fn rate(fault: Fault) -> f64 {
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
const WRITE_STALL_MS: f64 = 140.0;

async fn system(stage: &Rc<Stage>, fault: Fault, routers: &[usize], ends: Instant) {
    for router in routers {
        let control = &stage.routers[*router].control;
        let _ = control.set_stall_ms(WRITE_STALL_MS);
        let _ = control.set_rate(fault, rate(fault));
    }
    tokio::time::sleep_until(ends).await;
    for router in routers {
        let _ = stage.routers[*router].control.set_rate(fault, 0.0);
    }
}
