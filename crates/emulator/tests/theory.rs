//! The server's model against queueing theory, where theory has an answer.

use std::collections::BTreeMap;
use std::rc::Rc;

use paddleproxy::interface::Role;
use paddleproxy_emulator::server::{Kind, Server, ServerEvent, Work};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};

fn kind(role: Role, slots: usize) -> Kind {
    Kind {
        role,
        slots,
        queue: usize::MAX,
        memory_tokens: 1e12,
        read_tokens_per_ms: 10.0,
        token_ms: 1.0,
        cold_share: 1.0,
        cold_ms: 1.0,
        cold_work_ms: 1.0,
        fall_multiple: 1e9,
        fall_ms: 1.0,
    }
}

/// Mean time in ms from arrival to end at a server, for Poisson arrivals and exponential work of a mean in ms, and the
/// mean number in hand.
fn mean_stay_ms(kind: Kind, per_ms: f64, work_ms: f64, count: u64) -> (f64, f64) {
    let reads = kind.role == Role::Reader;
    let mut rng = SmallRng::seed_from_u64(11);
    let (gaps, works) = (Exp::new(per_ms).unwrap(), Exp::new(1.0 / work_ms).unwrap());
    let mut server = Server::new(kind.clone());
    let mut came: BTreeMap<u64, f64> = BTreeMap::new();
    let (mut next_ms, mut next, mut stay, mut done) = (gaps.sample(&mut rng), 0, 0.0, 0);
    let (mut area, mut before_ms, mut did) = (0.0, 0.0, Vec::new());
    while done < count {
        let step_ms = server.step_end_ms().unwrap_or(f64::INFINITY);
        let now_ms = step_ms.min(next_ms);
        area += came.len() as f64 * (now_ms - before_ms);
        before_ms = now_ms;
        if step_ms <= next_ms {
            server.step(now_ms, &mut did);
        } else {
            let size = works.sample(&mut rng);
            let (tokens, answer) =
                if reads { (size * kind.read_tokens_per_ms, 0) } else { (1.0, size.ceil() as u32) };
            let prompt = Rc::from([(next, tokens)].as_slice());
            came.insert(next, now_ms);
            server
                .arrive(
                    now_ms,
                    Work { id: next, prompt, tokens, answer, fetches: !reads, hold: None },
                    &mut did,
                )
                .unwrap();
            next += 1;
            next_ms = now_ms + gaps.sample(&mut rng);
        }
        while let Some(what) = did.pop() {
            match what {
                ServerEvent::Fetch(id) => server.fetched(now_ms, id, true, &mut did),
                ServerEvent::Read { id, .. } | ServerEvent::Finished { id } => {
                    server.release_state(now_ms, id, &mut did);
                    stay += now_ms - came.remove(&id).unwrap();
                    done += 1;
                }
                _ => {}
            }
        }
    }
    (stay / done as f64, area / before_ms)
}

fn near(found: f64, expected: f64, within: f64) {
    assert!((found / expected - 1.0).abs() < within, "found {found}, expected {expected}");
}

#[test]
fn one_slot_with_poisson_arrivals_is_m_m_1() {
    for load in [0.3, 0.6, 0.8] {
        let work_ms = 40.0;
        let (stay_ms, active_requests) =
            mean_stay_ms(kind(Role::Reader, 1), load / work_ms, work_ms, 100_000);
        near(stay_ms, work_ms / (1.0 - load), 0.05);
        // The law of Little, with the rate that was asked for.
        near(active_requests, load / work_ms * stay_ms, 0.02);
    }
}

/// Mean stay in M/M/c by Erlang's second formula.
fn erlang_stay_ms(servers: usize, load: f64, work_ms: f64) -> f64 {
    let offered = load * servers as f64;
    let mut term = 1.0;
    let mut sum = 1.0;
    for n in 1..servers {
        term *= offered / n as f64;
        sum += term;
    }
    let last = term * offered / servers as f64 / (1.0 - load);
    let waits = last / (sum + last);
    work_ms + waits * work_ms / (servers as f64 * (1.0 - load))
}

#[test]
fn slots_that_write_side_by_side_are_m_m_c() {
    let work_ms = 200.0;
    for (slots, load) in [(2, 0.7), (8, 0.8)] {
        let per_ms = load * slots as f64 / (work_ms + 0.5);
        let (stay_ms, _) = mean_stay_ms(kind(Role::Writer, slots), per_ms, work_ms, 100_000);
        // A token more for rounding up, and one for the step under way at the arrival.
        near(stay_ms, erlang_stay_ms(slots, load, work_ms + 0.5) + 0.5, 0.05);
    }
}
