//! Passes events to the scheduler of one router and records its decisions.
#![allow(dead_code)] // No single test uses all helpers.

use std::collections::BTreeMap;
use std::sync::Arc;

use paddleproxy::interface::*;
use paddleproxy::Control;

/// A scheduler with a clock that tests advance, and the trace of its events and actions.
pub struct Scenario {
    control: Control,
    now_ms: f64,
    trace: String,
    /// The prefix that all prompts share.
    prefix: Option<PrefixId>,
}

pub fn worker(name: &str) -> WorkerId {
    WorkerId(Arc::from(name))
}

/// A listed worker. The first character of its name is its role (r, w or m), the second its cell and zone.
pub fn row(name: &str) -> Listing {
    let (role, cell) = name.split_at(1);
    let cell = cell[..1].parse().unwrap();
    Listing {
        worker: worker(name),
        zone: ZoneId(cell as usize),
        kind: KindId("rwm".find(role).unwrap()),
        cell: CellId(cell),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_ms: None,
    }
}

pub fn settings() -> Settings {
    let workload = |effect, group| WorkloadSettings {
        effect,
        group,
        window_ms: 5000.0,
        value: 1.0,
        latency_target_ms: 1000.0,
        target_per_token_ms: 0.0,
    };
    let kind = |role| KindSettings { role, memory_tokens: 160_000.0 };
    Settings {
        routers: 2,
        own_number: 0,
        zone: Some(ZoneId(0)),
        workloads: vec![
            workload(Effect::Idempotent, Group::All),
            workload(Effect::Tokened, Group::Cell),
            workload(Effect::NonIdempotent, Group::All),
        ],
        kinds: vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)],
        customers: Vec::new(),
        over_share_value: 1.0,
        must_subscribe: false,
        must_ask_in_ms: 0.0,
        holds_allowed: true,
        writers_read: false,
        probes_allowed: false,
        cancel_allowed: true,
        second_copies: true,
        retry_after: true,
        max_retry_after_ms: 500.0,
        max_dispatches: 5,
        resolution_ms: 2.0,
        pin_limit_ms: 500.0,
        fall_multiple: 2.5,
        fall_ms: 2000.0,
        cold_share: 0.3,
        cold_ms: 12_000.0,
        weights_act: false,
        slow_start_share: None,
        zone_distances: Vec::new(),
    }
}

/// A completion of workload 0 that arrives at time 0 with a client timeout of 4 s.
pub fn arrival(completion: u32, session: u64, prompt_tokens: f64, home_zone: Option<ZoneId>) -> Arrival {
    Arrival {
        completion: CompletionId(completion),
        workload: WorkloadId(0),
        session: SessionId(session),
        prefix: None,
        customer: None,
        client_timeout_ms: 4000.0,
        prompt_tokens,
        prefix_tokens: 0.0,
        max_tokens: 10.0,
        answer_hint_ms: None,
        home_zone,
        client_retry: false,
        resumed: false,
    }
}

/// The worker of each session's first dispatch. Sessions arrive `apart_ms` apart, each after the previous
/// completion has finished.
pub fn first_dispatches(
    rows: Vec<Listing>,
    settings: Settings,
    sessions: u32,
    prompt_tokens: f64,
    home_zone: Option<ZoneId>,
    apart_ms: f64,
) -> BTreeMap<u64, String> {
    let mut control = Control::new(settings, 7);
    let mut actions = Vec::new();
    control.handle(0.0, &Event::Listed { kind: ListKind::Whole, rows: rows.into() }, &mut actions);
    let mut first_workers = BTreeMap::new();
    for id in 1..=sessions {
        let session = u64::from(id) * 7919;
        actions.clear();
        let now_ms = f64::from(id) * apart_ms;
        let mut arrival = arrival(id, session, prompt_tokens, home_zone);
        arrival.client_timeout_ms += now_ms;
        control.handle(now_ms, &Event::Arrived(arrival), &mut actions);
        for action in &actions {
            if let Action::Dispatch { worker, .. } = action {
                first_workers.insert(session, worker.0.to_string());
            }
        }
        let (completion, seq, outcome) = (CompletionId(id), Seq(0), Outcome::Finished);
        let ended = Event::Ended { completion, seq, took_ms: 1.0, done: true, outcome, cached_tokens: 0.0 };
        control.handle(now_ms, &ended, &mut actions);
    }
    first_workers
}

impl Scenario {
    /// A router at 100 s on its clock whose saved list contains these workers.
    pub fn new(settings: Settings, workers: &[&str]) -> Self {
        let control = Control::new(settings, 7);
        let mut scenario =
            Scenario { control, now_ms: 100_000.0, trace: String::new(), prefix: Some(PrefixId(9)) };
        scenario.list(ListKind::Saved, workers.iter().map(|name| row(name)).collect());
        scenario
    }

    /// From now on prompts share no prefix.
    pub fn without_prefix(&mut self) -> &mut Self {
        self.prefix = None;
        self
    }

    pub fn pass(&mut self, ms: f64) -> &mut Self {
        self.now_ms += ms;
        self
    }

    pub fn list(&mut self, kind: ListKind, rows: Vec<Listing>) -> &mut Self {
        let names: Vec<_> = rows.iter().map(|row| format!("{} {:?}", row.worker.0, row.readiness)).collect();
        self.handle(&format!("list {}", names.join(", ")), Event::Listed { kind, rows: rows.into() })
    }

    /// A completion of workload 0 with a client timeout of 4 s.
    pub fn arrive(&mut self, id: u32, session: u64, prompt: f64) -> &mut Self {
        self.arrive_as(0, id, session, prompt)
    }

    pub fn arrive_as(&mut self, workload: usize, id: u32, session: u64, prompt: f64) -> &mut Self {
        self.arrive_with(workload, id, session, prompt)
    }

    fn arrive_with(&mut self, workload: usize, id: u32, session: u64, prompt: f64) -> &mut Self {
        let arrival = Arrival {
            workload: WorkloadId(workload),
            prefix: self.prefix,
            client_timeout_ms: self.now_ms + 4000.0,
            prefix_tokens: 1000.0,
            max_tokens: 200.0,
            ..arrival(id, session, prompt, None)
        };
        self.handle(&format!("arrive {id}, session {session}, {prompt} tokens"), Event::Arrived(arrival))
    }

    pub fn began(&mut self, id: u32, seq: u32) -> &mut Self {
        let event = Event::Began { completion: CompletionId(id), seq: Seq(seq), took_ms: 50.0 };
        self.handle(&format!("began {id}.{seq}"), event)
    }

    pub fn ended(&mut self, id: u32, seq: u32, outcome: Outcome, cached_tokens: f64) -> &mut Self {
        self.ended_after(id, seq, outcome, cached_tokens, 50.0)
    }

    pub fn ended_after(&mut self, id: u32, seq: u32, outcome: Outcome, cached: f64, took: f64) -> &mut Self {
        let event = Event::Ended {
            completion: CompletionId(id),
            seq: Seq(seq),
            took_ms: took,
            done: outcome == Outcome::Finished,
            outcome,
            cached_tokens: cached,
        };
        self.handle(&format!("ended {id}.{seq} {outcome:?}, {cached} cached"), event)
    }

    pub fn expire(&mut self, id: u32) -> &mut Self {
        self.handle(&format!("expired {id}"), Event::Expired { completion: CompletionId(id) })
    }

    pub fn timer(&mut self, id: u32) -> &mut Self {
        self.handle(&format!("timer {id}"), Event::TimerFired(Timer::Completion(CompletionId(id))))
    }

    /// The answer to a probe, with a report of the tokens that wait to be read.
    pub fn probed(&mut self, name: &str, waiting_kilotokens: f64) -> &mut Self {
        let load = LoadReport { waiting_kilotokens: Some(waiting_kilotokens), ..LoadReport::default() };
        self.handle(
            &format!("{name} reports {waiting_kilotokens}k tokens waiting"),
            Event::Reported { worker: worker(name), load },
        );
        let event = Event::Probed { worker: worker(name), answered: true, took_ms: 2.0 };
        self.handle(&format!("probed {name}"), event)
    }

    /// The answer to a probe, with a report of an empty queue and this share of the slots in use.
    pub fn probed_idle(&mut self, name: &str, share: f64) -> &mut Self {
        let load = LoadReport { queue: Some(0.0), slots_share: Some(share), ..LoadReport::default() };
        self.handle(
            &format!("{name} reports {share} of its slots in use"),
            Event::Reported { worker: worker(name), load },
        );
        let event = Event::Probed { worker: worker(name), answered: true, took_ms: 2.0 };
        self.handle(&format!("probed {name}"), event)
    }

    /// An unanswered probe.
    pub fn silent(&mut self, name: &str) -> &mut Self {
        let event = Event::Probed { worker: worker(name), answered: false, took_ms: 250.0 };
        self.handle(&format!("no answer from {name}"), event)
    }

    fn handle(&mut self, what: &str, event: Event) -> &mut Self {
        let mut actions = Vec::new();
        self.control.handle(self.now_ms, &event, &mut actions);
        self.trace.push_str(&format!("{:>6} {what}\n", self.now_ms - 100_000.0));
        for action in actions {
            let line = match action {
                Action::Dispatch { completion, worker, timeout_ms } => {
                    format!("dispatch {} to {} for {timeout_ms} ms", completion.0, worker.0)
                }
                Action::Cancel { completion, seq } => format!("cancel {}.{}", completion.0, seq.0),
                Action::Release { completion } => format!("release {}", completion.0),
                Action::RateLimit { completion, retry_after_ms } => {
                    format!("rate-limit {}, retry after {retry_after_ms} ms", completion.0)
                }
                Action::Abort { completion } => format!("abort {}", completion.0),
                Action::Arm { in_ms, .. } => format!("timer in {in_ms:.0} ms"),
                Action::Probe { worker } => format!("probe {}", worker.0),
                other => format!("{other:?}"),
            };
            self.trace.push_str(&format!("         -> {line}\n"));
        }
        self
    }

    pub fn trace(&self) -> &str {
        &self.trace
    }
}
