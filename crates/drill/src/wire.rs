//! The simulator's line protocol: reads batches of tab-separated lines and writes one reply for each batch.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

use anyhow::{anyhow, bail, Context, Result};
use base64::{engine::general_purpose::STANDARD, Engine};
use paddleproxy::interface::*;
use paddleproxy::Control;

use paddleproxy_platform::report;
use paddleproxy_platform::settings::{self, PlatformSettings};

/// One router: its decision module and the protocol's names for the rows of its settings.
struct Instance {
    control: Control,
    platform_settings: PlatformSettings,
}

/// A list of workers as sent. It serves several instances, so names of zones and kinds are resolved for each
/// of them.
type Rows = Vec<RawRow>;

struct RawRow {
    worker: WorkerId,
    zone: String,
    kind: String,
    cell: CellId,
    readiness: Readiness,
    weight: f64,
    started_ms: Option<f64>,
}

#[derive(Default)]
struct Adapter {
    /// By router; `None` once the instance has failed.
    instances: BTreeMap<u64, Option<Instance>>,
    /// By `set_id`.
    lists: HashMap<u32, Rows>,
    workers: HashMap<Box<str>, WorkerId>,
}

/// The fields of a line after its message name, read in order. `-` marks an absent field.
struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn raw(&mut self, field: &str) -> Result<&'a str> {
        let rest = self.rest.ok_or_else(|| anyhow!("field {field}: missing"))?;
        match rest.split_once('\t') {
            Some((part, more)) => {
                self.rest = Some(more);
                Ok(part)
            }
            None => {
                self.rest = None;
                Ok(rest)
            }
        }
    }

    fn optional(&mut self) -> Option<&'a str> {
        self.raw("").ok().filter(|part| *part != "-" && !part.is_empty())
    }

    fn text(&mut self, field: &str) -> Result<&'a str> {
        match self.raw(field)? {
            "-" | "" => bail!("field {field}: absent"),
            part => Ok(part),
        }
    }

    fn number<T: std::str::FromStr>(&mut self, field: &str) -> Result<T> {
        let part = self.text(field)?;
        part.parse().map_err(|_| anyhow!("field {field}: '{part}' is not a valid number"))
    }

    fn optional_number<T: std::str::FromStr>(&mut self, field: &str) -> Result<Option<T>> {
        let Some(part) = self.optional() else {
            return Ok(None);
        };
        part.parse().map(Some).map_err(|_| anyhow!("field {field}: '{part}' is not a valid number"))
    }

    fn seconds(&mut self, field: &str) -> Result<f64> {
        let value: f64 = self.number(field)?;
        if !value.is_finite() {
            bail!("field {field}: not a finite time");
        }
        Ok(value * 1e3)
    }

    fn flag(&mut self, field: &str) -> Result<bool> {
        match self.raw(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            part => bail!("field {field}: '{part}' is neither 1 nor 0"),
        }
    }
}

/// Serves batches until the input ends.
pub fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<()> {
    let mut adapter = Adapter::default();
    let mut line = String::new();
    let mut line_number = 0u64;
    let mut batch_ms: Option<f64> = None;
    let mut actions = Vec::new();
    let mut open_list: Option<(u32, usize)> = None;
    loop {
        line.clear();
        line_number += 1;
        if input.read_line(&mut line).with_context(|| format!("line {line_number}"))? == 0 {
            match batch_ms {
                None => return Ok(()),
                Some(_) => bail!("line {line_number}: message EOB: the batch has no end"),
            }
        }
        let text = line.trim_end_matches(['\n', '\r']);
        let (name, rest) = match text.split_once('\t') {
            Some((name, rest)) => (name, Some(rest)),
            None => (text, None),
        };
        let mut fields = Fields { rest };
        let location = || format!("line {line_number}: message {name}");
        match (name, batch_ms) {
            ("BEGIN_BATCH", None) => batch_ms = Some(fields.seconds("wall_s").with_context(location)?),
            ("", None) => {}
            (_, None) => bail!("line {line_number}: message {name}: outside a batch"),
            ("BEGIN_BATCH", Some(_)) => {
                bail!("line {line_number}: message BEGIN_BATCH: the previous batch has no end")
            }
            ("EOB", Some(_)) => {
                if let Some((_, missing)) = open_list {
                    bail!(
                        "line {line_number}: message SNAPSHOT_ROWS: field nodes_list: {missing} rows missing"
                    );
                }
                output.write_all(b"EOR\n")?;
                output.flush()?;
                batch_ms = None;
            }
            ("SNAPSHOT_ROWS", Some(_)) => {
                let set_id: u32 = fields.number("set_id").with_context(location)?;
                let count: usize = fields.number("nodes_list").with_context(location)?;
                adapter.lists.insert(set_id, Vec::new());
                open_list = (count > 0).then_some((set_id, count));
            }
            ("ROW", Some(_)) => {
                let row = adapter.row(&mut fields).with_context(location)?;
                let (set_id, left) =
                    open_list.ok_or_else(|| anyhow!("line {line_number}: message ROW: outside a list"))?;
                adapter.lists.entry(set_id).or_default().push(row);
                open_list = (left > 1).then_some((set_id, left - 1));
            }
            (_, Some(now_ms)) => {
                if let Some((_, missing)) = open_list {
                    bail!(
                        "line {line_number}: message SNAPSHOT_ROWS: field nodes_list: {missing} rows missing"
                    );
                }
                adapter.event(now_ms, name, &mut fields, &mut actions, output).with_context(location)?;
            }
        }
    }
}

impl Adapter {
    fn worker(&mut self, name: &str) -> WorkerId {
        if let Some(known) = self.workers.get(name) {
            return known.clone();
        }
        let worker = WorkerId(Arc::from(name));
        self.workers.insert(Box::from(name), worker.clone());
        worker
    }

    fn row(&mut self, fields: &mut Fields) -> Result<RawRow> {
        Ok(RawRow {
            worker: self.worker(fields.text("worker")?),
            zone: fields.text("zone")?.to_owned(),
            kind: fields.text("sku")?.to_owned(),
            cell: CellId(fields.number("unit_group")?),
            readiness: match fields.text("readiness")? {
                "U" => Readiness::Ready,
                "L" => Readiness::Draining,
                "D" => Readiness::Gone,
                other => bail!("field readiness: '{other}' is unknown"),
            },
            weight: fields.optional_number("weight")?.unwrap_or(1.0),
            started_ms: fields
                .optional_number::<f64>("ready_at_s")?
                .filter(|at| *at > 0.0)
                .map(|at| at * 1e3),
        })
    }

    fn event(
        &mut self,
        now_ms: f64,
        name: &str,
        fields: &mut Fields,
        actions: &mut Vec<Action>,
        output: &mut impl Write,
    ) -> Result<()> {
        const EVENTS: [&str; 11] = [
            "PROVISION",
            "STOP",
            "DISCOVERY",
            "NEW_REQUEST",
            "UNDER_WAY",
            "RESULT",
            "HOLD_RESULT",
            "EXPIRED",
            "CHECK_RESULT",
            "PEER",
            "TIMEOUT_FIRED",
        ];
        if !EVENTS.contains(&name) {
            return Ok(());
        }
        let router: u64 = fields.number("who")?;
        match name {
            "PROVISION" => {
                let seed: u64 = fields.number("random_seed")?;
                let conf = fields.rest.ok_or_else(|| anyhow!("field conf: missing"))?;
                match settings::parse(conf) {
                    Ok(platform_settings) => {
                        let control = Control::new(platform_settings.settings.clone(), seed);
                        self.instances.insert(router, Some(Instance { control, platform_settings }));
                    }
                    Err(cause) => {
                        self.instances.insert(router, None);
                        writeln!(output, "DIE\t{router}\t{cause}")?;
                    }
                }
                return Ok(());
            }
            "STOP" => {
                self.instances.remove(&router);
                return Ok(());
            }
            _ => {}
        }
        // A result line may carry a load report, which is an event of its own and is handled first.
        let mut load = None;
        let event = self.parse(router, name, fields, &mut load)?;
        let (Some(slot), Some(event)) = (self.instances.get_mut(&router), event) else {
            return Ok(());
        };
        let Some(instance) = slot else { return Ok(()) };
        let control = &mut instance.control;
        let outcome = catch_unwind(AssertUnwindSafe(|| {
            if let Some(report) = &load {
                control.handle(now_ms, report, actions);
            }
            control.handle(now_ms, &event, actions);
        }));
        if let Err(cause) = outcome {
            let cause = cause.downcast_ref::<String>().map(String::as_str);
            writeln!(
                output,
                "DIE\t{router}\tpanic: {}",
                cause.unwrap_or("without words").replace('\n', " ")
            )?;
            *slot = None;
            actions.clear();
        }
        for action in actions.drain(..) {
            write_action(output, router, &action)?;
        }
        Ok(())
    }

    fn parse(
        &mut self,
        router: u64,
        name: &str,
        fields: &mut Fields,
        load: &mut Option<Event>,
    ) -> Result<Option<Event>> {
        let instance = self.instances.get(&router).and_then(Option::as_ref);
        Ok(Some(match name {
            "DISCOVERY" => {
                let kind = match fields.text("kind")? {
                    "INCREMENTAL" => ListKind::Changes,
                    "FULL" => ListKind::Whole,
                    "SAVED" => ListKind::Saved,
                    "FAILED" => ListKind::Failed,
                    other => bail!("field kind: '{other}' is unknown"),
                };
                let _stamp = fields.raw("stamp")?;
                if kind == ListKind::Failed {
                    return Ok(Some(Event::Listed { kind, rows: Arc::from([]) }));
                }
                let set_id: u32 = fields.number("set_id")?;
                let rows =
                    self.lists.get(&set_id).ok_or_else(|| anyhow!("field set_id: no list {set_id}"))?;
                let Some(instance) = instance else { return Ok(None) };
                Event::Listed { kind, rows: resolve_listings(rows, &instance.platform_settings)? }
            }
            "NEW_REQUEST" => {
                let completion = CompletionId(fields.number("call")?);
                let workload = fields.text("tier_class")?;
                let session = SessionId(fields.optional_number("conversation")?.unwrap_or(0));
                let client_timeout_ms = fields.seconds("deadline_s")?;
                let prompt_tokens = fields.number("prompt_tokens")?;
                let max_tokens = fields.number("max_tokens")?;
                let hint_s: Option<f64> = fields.optional_number("cost_guess_s")?;
                let prefix = fields.optional_number("shared_prefix")?.filter(|key| *key != 0).map(PrefixId);
                let customer = fields.optional();
                let flags: u32 = fields.optional_number("bitmap")?.unwrap_or(0);
                let prefix_tokens = fields.optional_number("prefix_tokens")?.unwrap_or(0.0);
                let Some(platform_settings) = instance.map(|instance| &instance.platform_settings) else {
                    return Ok(None);
                };
                let workload = platform_settings.workloads.iter().position(|known| known == workload);
                let workload = workload.ok_or_else(|| anyhow!("field tier_class: not in the settings"))?;
                Event::Arrived(Arrival {
                    completion,
                    workload: WorkloadId(workload),
                    session,
                    prefix,
                    customer: customer
                        .and_then(|customer| {
                            platform_settings.customers.iter().position(|known| known == customer)
                        })
                        .map(CustomerId),
                    client_timeout_ms,
                    prompt_tokens,
                    prefix_tokens,
                    max_tokens,
                    answer_hint_ms: hint_s.filter(|_| flags & 1 != 0).map(|hint_s| hint_s * 1e3),
                    home_zone: None,
                    client_retry: flags & 2 != 0,
                    resumed: flags & 16 != 0,
                })
            }
            "UNDER_WAY" => {
                let completion = CompletionId(fields.number("call")?);
                let took_ms = fields.seconds("took_s")?;
                let _worker = fields.text("worker")?;
                Event::Began { completion, seq: Seq(fields.number("seq_no")?), took_ms }
            }
            "RESULT" => {
                let completion = CompletionId(fields.number("call")?);
                let took_ms = fields.seconds("took_s")?;
                let worker = fields.text("worker")?;
                let seq = Seq(fields.number("seq_no")?);
                let done = fields.flag("complete")?;
                let code = fields.text("rc")?;
                let remark: f64 = fields.optional_number("remark")?.unwrap_or(0.0);
                *load = self.load(worker, fields)?;
                let outcome = outcome(code, remark)?;
                Event::Ended { completion, seq, took_ms, done, outcome, cached_tokens: remark }
            }
            "HOLD_RESULT" => Event::HoldAnswered {
                completion: CompletionId(fields.number("call")?),
                seq: Seq(fields.number("seq_no")?),
                worker: self.worker(fields.text("worker")?),
                held: fields.number::<u32>("topic")? == 1,
            },
            "EXPIRED" => Event::Expired { completion: CompletionId(fields.number("call")?) },
            "CHECK_RESULT" => {
                let code = fields.text("rc")?;
                let took_ms = fields.seconds("took_s")?;
                let worker = fields.text("worker")?;
                *load = self.load(worker, fields)?;
                Event::Probed { worker: self.worker(worker), answered: code == "pass", took_ms }
            }
            "PEER" => {
                let peer = PeerId(fields.number("origin_peer")?);
                let payload = fields.optional().unwrap_or("");
                let payload = STANDARD.decode(payload).map_err(|_| anyhow!("field payload: not base64"))?;
                Event::PeerMessage { peer, payload }
            }
            _ => {
                let handle = fields.text("handle")?;
                match handle.strip_prefix('c').and_then(|id| id.parse().ok()) {
                    Some(id) => Event::TimerFired(Timer::Completion(CompletionId(id))),
                    None if handle == "subscribe" => Event::TimerFired(Timer::Subscribe),
                    None => return Ok(None),
                }
            }
        }))
    }

    fn load(&mut self, worker: &str, fields: &mut Fields) -> Result<Option<Event>> {
        let Some(pairs) = fields.optional() else {
            return Ok(None);
        };
        let mut load = LoadReport::default();
        for pair in pairs.split(',') {
            let (name, value) = pair
                .split_once(':')
                .and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)))
                .ok_or_else(|| anyhow!("field server_stats: '{pair}' is not a name:value pair"))?;
            report::set(&mut load, name, value);
        }
        Ok(Some(Event::Reported { worker: self.worker(worker), load }))
    }
}

fn resolve_listings(rows: &Rows, platform_settings: &PlatformSettings) -> Result<Arc<[Listing]>> {
    let position = |known: &[String], name: &str, field: &str| {
        known
            .iter()
            .position(|entry| entry == name)
            .ok_or_else(|| anyhow!("field {field}: '{name}' is not in the settings"))
    };
    rows.iter()
        .map(|row| {
            Ok(Listing {
                worker: row.worker.clone(),
                zone: ZoneId(position(&platform_settings.zones, &row.zone, "zone")?),
                kind: KindId(position(&platform_settings.kinds, &row.kind, "sku")?),
                cell: row.cell,
                readiness: row.readiness,
                weight: row.weight,
                started_ms: row.started_ms,
            })
        })
        .collect()
}

fn outcome(code: &str, remark: f64) -> Result<Outcome> {
    Ok(match code {
        "pass" => Outcome::Finished,
        "fault" => Outcome::Error,
        "no_room" if remark == 1.0 => Outcome::NoState,
        "no_room" => Outcome::Full,
        "too_slow" => Outcome::TimedOut,
        "no_route" => Outcome::ConnectFailed,
        "cut" => Outcome::Broken,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::Moot,
        "half_done" => Outcome::Read,
        other => bail!("field rc: '{other}' is unknown"),
    })
}

fn write_action(output: &mut impl Write, router: u64, action: &Action) -> Result<()> {
    match action {
        Action::Dispatch { completion, worker, timeout_ms } => {
            writeln!(output, "ISSUE\t{router}\t{}\t{}\t{:.6}", completion.0, worker.0, timeout_ms / 1e3)
        }
        Action::Cancel { completion, seq } => {
            writeln!(output, "UNDO_SEND\t{router}\t{}\t{}", completion.0, seq.0)
        }
        Action::Hold { completion, worker } => {
            writeln!(output, "AHEAD\t{router}\t{}\t{}", completion.0, worker.0)
        }
        Action::Release { completion } => writeln!(output, "FREE_STATE\t{router}\t{}", completion.0),
        Action::RateLimit { completion, retry_after_ms } => {
            writeln!(output, "REFUSE\t{router}\t{}\t{:.6}", completion.0, retry_after_ms / 1e3)
        }
        Action::Abort { completion } => writeln!(output, "GIVE_UP\t{router}\t{}", completion.0),
        Action::Arm { in_ms, timer: Timer::Completion(id) } => {
            writeln!(output, "ARM\t{router}\t{:.6}\tc{}", in_ms / 1e3, id.0)
        }
        Action::Arm { in_ms, timer: Timer::Subscribe } => {
            writeln!(output, "ARM\t{router}\t{:.6}\tsubscribe", in_ms / 1e3)
        }
        Action::Subscribe => writeln!(output, "TAIL\t{router}\t1"),
        Action::FetchList => writeln!(output, "RELOAD\t{router}"),
        Action::Probe { worker } => writeln!(output, "INSPECT\t{router}\t{}", worker.0),
        Action::CloseIdle { worker } => writeln!(output, "HANG_UP\t{router}\t{}", worker.0),
        Action::MoveStream { completion } => writeln!(output, "MIGRATE\t{router}\t{}", completion.0),
        Action::SendToPeer { peer, payload } => {
            let to = peer.map_or_else(|| "*".to_owned(), |peer| peer.0.to_string());
            let payload = if payload.is_empty() { "-".to_owned() } else { STANDARD.encode(payload) };
            writeln!(output, "ANNOUNCE\t{router}\t{to}\t{payload}")
        }
        Action::Log(text) => writeln!(output, "EMIT\t{router}\t{}", text.replace(['\n', '\r'], " ")),
    }?;
    Ok(())
}
