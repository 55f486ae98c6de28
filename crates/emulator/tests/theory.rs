//! Checks the server model against closed-form results of queueing theory.

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

/// Mean time in ms from arrival to end at a server, and mean number in the system, for Poisson arrivals and
/// exponentially distributed work.
fn mean_sojourn_ms(kind: Kind, per_ms: f64, work_ms: f64, count: u64) -> (f64, f64) {
    let reads = kind.role == Role::Reader;
    let mut rng = SmallRng::seed_from_u64(11);
    let (gaps, works) = (Exp::new(per_ms).unwrap(), Exp::new(1.0 / work_ms).unwrap());
    let mut server = Server::new(kind.clone());
    let mut arrived: BTreeMap<u64, f64> = BTreeMap::new();
    let (mut next_arrival_ms, mut next_id, mut sojourn_sum_ms, mut done) = (gaps.sample(&mut rng), 0, 0.0, 0);
    let (mut area, mut before_ms, mut events) = (0.0, 0.0, Vec::new());
    while done < count {
        let step_ms = server.step_end_ms().unwrap_or(f64::INFINITY);
        let now_ms = step_ms.min(next_arrival_ms);
        area += arrived.len() as f64 * (now_ms - before_ms);
        before_ms = now_ms;
        if step_ms <= next_arrival_ms {
            server.step(now_ms, &mut events);
        } else {
            let size = works.sample(&mut rng);
            let (tokens, answer) =
                if reads { (size * kind.read_tokens_per_ms, 0) } else { (1.0, size.ceil() as u32) };
            let prompt = Rc::from([(next_id, tokens)].as_slice());
            arrived.insert(next_id, now_ms);
            server
                .arrive(
                    now_ms,
                    Work { id: next_id, prompt, tokens, answer, fetches: !reads, hold: None },
                    &mut events,
                )
                .unwrap();
            next_id += 1;
            next_arrival_ms = now_ms + gaps.sample(&mut rng);
        }
        while let Some(event) = events.pop() {
            match event {
                ServerEvent::Fetch(id) => server.fetched(now_ms, id, true, &mut events),
                ServerEvent::Read { id, .. } | ServerEvent::Finished { id } => {
                    server.release_state(now_ms, id, &mut events);
                    sojourn_sum_ms += now_ms - arrived.remove(&id).unwrap();
                    done += 1;
                }
                _ => {}
            }
        }
    }
    (sojourn_sum_ms / done as f64, area / before_ms)
}

fn assert_near(found: f64, expected: f64, tolerance: f64) {
    assert!((found / expected - 1.0).abs() < tolerance, "found {found}, expected {expected}");
}

#[test]
fn one_slot_behaves_as_an_m_m_1_queue() {
    for load in [0.3, 0.6, 0.8] {
        let work_ms = 40.0;
        let (sojourn_ms, in_system) =
            mean_sojourn_ms(kind(Role::Reader, 1), load / work_ms, work_ms, 100_000);
        assert_near(sojourn_ms, work_ms / (1.0 - load), 0.05);
        // Little's law at the configured arrival rate.
        assert_near(in_system, load / work_ms * sojourn_ms, 0.02);
    }
}

/// Mean sojourn time in M/M/c by the Erlang C formula.
fn erlang_sojourn_ms(servers: usize, load: f64, work_ms: f64) -> f64 {
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
fn several_slots_behave_as_an_m_m_c_queue() {
    let work_ms = 200.0;
    for (slots, load) in [(2, 0.7), (8, 0.8)] {
        let per_ms = load * slots as f64 / (work_ms + 0.5);
        let (sojourn_ms, _) = mean_sojourn_ms(kind(Role::Writer, slots), per_ms, work_ms, 100_000);
        // Half a token more on average for rounding up, and half for the step in progress at the arrival.
        assert_near(sojourn_ms, erlang_sojourn_ms(slots, load, work_ms + 0.5) + 0.5, 0.05);
    }
}
