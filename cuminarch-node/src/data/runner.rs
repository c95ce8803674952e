//! Carries one call from its arrival to its answer.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use cuminarch_config::Route;
use cuminarch_engine::{Action, Arrival, Refusal, RefusalReason};
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::{AnswerHead, HeaderField, Receipt, RoutedCall, UpstreamRecord};
use cuminarch_routing::Splitter;
use cuminarch_types::{Outcome, RequestId, ServiceName, ZoneName};
use flume::Sender;
use log::{info, warn};

use super::answer::{Answer, AnswerBody, AnswerSource, BrokenAnswerLog};
use super::body::RequestBody;
use super::detached::CompletionFlag;
use super::driver::{CallGuard, Driver};
use super::limits::DataLimits;
use super::link_client::send_call;
use super::link_hello::LinkHello;
use super::link_pool::LinkPool;
use super::local::{LocalRun, run_local};
use super::tasks::Tasks;
use super::upstream_pool::UpstreamPool;
use crate::decisions::LogRateLimiter;
use crate::event::NodeEvent;
use crate::interface::CallerInterface;
use crate::metrics::Metrics;

/// Everything that tasks of the data thread share.
#[derive(Clone)]
pub struct DataContext {
    pub driver: Driver,
    pub upstream: UpstreamPool,
    pub links: LinkPool,
    pub own_service: ServiceName,
    pub own_zone: ZoneName,
    pub hello: LinkHello,
    pub metrics: Arc<Metrics>,
    pub tasks: Tasks,
    pub interface: Arc<dyn CallerInterface>,
    pub decisions: Rc<LogRateLimiter>,
    /// Bounds that the settings give; the policy may give others.
    pub settings_limits: DataLimits,
    pub splitter: Rc<RefCell<Splitter>>,
    /// Told of changes of the own upstream.
    pub upstream_changes: Sender<UpstreamRecord>,
}

impl DataContext {
    /// Bounds on what callers and peers may send.
    pub fn limits(&self) -> DataLimits {
        self.settings_limits.with_caller_limits(self.driver.policy().caller_limits())
    }

    /// Chooses among the services that a route leads to.
    pub fn choose_service(&self, route: &Route) -> ServiceName {
        self.splitter.borrow_mut().choose(route).clone()
    }

    /// Passes news of the own upstream to the other duties. Connections to an
    /// earlier lifetime are of no use.
    pub fn publish_upstream(&self, record: UpstreamRecord) {
        self.upstream.clear();
        if self.upstream_changes.try_send(record).is_err() {
            self.metrics.record_full_ring();
            warn!("{} ring=upstreams", NodeEvent::RingFull);
        }
    }

    /// Starts a task; a panic in it ends the data thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task);
    }
}

/// A request on its way.
pub struct CallRequest {
    pub root: RequestId,
    pub service: ServiceName,
    pub method: CompactString,
    pub target: CompactString,
    pub headers: Arc<Vec<HeaderField>>,
    pub body: RequestBody,
    pub body_len_bytes: Option<u64>,
    pub routed: Option<RoutedCall>,
    pub idempotent: bool,
    /// Whether it came from another node, or is for the own upstream.
    pub is_inbound: bool,
    pub received_at: Instant,
}

impl CallRequest {
    /// The id under which logs name the request.
    pub fn label(&self, context: &DataContext) -> CompactString {
        let own = context.interface.request_label(&self.headers);
        own.unwrap_or_else(|| CompactString::from(self.root.to_string()))
    }

    /// Name of its route for logs.
    pub fn route(&self) -> &str {
        self.routed.as_ref().map_or("-", |routed| routed.route.as_str())
    }

    /// Whether running it twice does no harm.
    pub const fn is_idempotent(&self) -> bool {
        self.idempotent
    }
}

/// How a call ended for its caller.
pub enum Reply {
    /// An answer that is passed on as it comes.
    Answer(Box<Answer>),
    /// A final answer of the node.
    Refusal(Refusal, Receipt),
}

/// Runs a call to its answer.
pub async fn run_call(
    context: &DataContext,
    arrival: Arrival,
    mut request: CallRequest,
    progress: &CompletionFlag,
) -> Reply {
    let mut guard = context.driver.begin(arrival);
    let mut until;
    while let Some(action) = guard.next().await {
        let answer = match action {
            Action::RunLocal { keep_answer, remaining, instance, .. } => {
                until = answer_deadline(&request, remaining);
                if keep_answer {
                    progress.set_must_finish();
                }
                let local = LocalRun { call: guard.call(), remaining, keep_answer, instance };
                let body =
                    std::mem::replace(&mut request.body, RequestBody::Buffered(Bytes::new()));
                let run = run_local(context, local, &request, body);
                run_unless_interrupted(&mut guard, run).await
            }
            Action::Forward { attempt, forward, .. } => {
                until = answer_deadline(&request, forward.remaining);
                let send = send_call(context, guard.call(), attempt, &forward, &mut request);
                run_unless_interrupted(&mut guard, send).await
            }
            Action::Replay { answer, receipt, .. } => {
                guard.end(Outcome::Completed);
                return replayed(*answer, receipt);
            }
            Action::Refuse { refusal, receipt, .. } => {
                guard.end(refusal.outcome);
                log_refusal(context, &request, &refusal);
                return Reply::Refusal(refusal, receipt);
            }
            _ => continue,
        };
        match answer {
            Ok(Some((head, source))) => {
                return reply_with_answer(context, guard, &request, (head, source), until);
            }
            Ok(None) => {}
            Err(action) => {
                let reply = reply_after_interrupt(&mut guard, action).await;
                if let Reply::Refusal(refusal, _) = &reply {
                    log_refusal(context, &request, refusal);
                }
                return reply;
            }
        }
    }
    reply_without_answer()
}

/// When an answer is broken off that takes much longer than the time limit of its route:
/// what comes without end would hold its connections and a slot for ever.
fn answer_deadline(request: &CallRequest, remaining: Duration) -> Option<Instant> {
    const DEADLINE_FACTOR: u32 = 2;
    request.routed.as_ref()?;
    Instant::now().checked_add(remaining * DEADLINE_FACTOR)
}

/// The answer that has begun, which logs if it breaks off.
fn reply_with_answer(
    context: &DataContext,
    guard: CallGuard,
    request: &CallRequest,
    (head, source): (AnswerHead, AnswerSource),
    until: Option<Instant>,
) -> Reply {
    let log = BrokenAnswerLog {
        decisions: Rc::clone(&context.decisions),
        request: request.label(context),
        route: request.route().into(),
        received_at: request.received_at,
    };
    let body =
        AnswerBody::new(guard, source, head.body_len_bytes).with_log(log).with_deadline(until);
    Reply::Answer(Box::new(Answer { head, body }))
}

/// Writes why a call got a final answer of the node: at the first node for its
/// caller, at the door for another node.
fn log_refusal(context: &DataContext, request: &CallRequest, refusal: &Refusal) {
    let event = if request.is_inbound { NodeEvent::DoorRefused } else { NodeEvent::CallRefused };
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(
        request:% = request.label(context),
        route = request.route(),
        service:% = request.service,
        outcome:% = refusal.outcome,
        reason = refusal.reason.as_str(),
        why = refusal.detail.as_str(),
        age_ms = request.received_at.elapsed().as_millis() as u64,
        revision = context.driver.policy().revision().get(),
        left_out = left_out;
        "{event}"
    );
}

/// Does some work of a call, unless the engine decides otherwise meanwhile.
async fn run_unless_interrupted<T>(
    guard: &mut CallGuard,
    work: impl Future<Output = T>,
) -> Result<T, Option<Action>> {
    tokio::select! {
        biased;
        result = work => Ok(result),
        action = guard.next() => Err(action),
    }
}

fn replayed(answer: StoredAnswer, receipt: Receipt) -> Reply {
    let body = AnswerBody::buffered(Bytes::from(answer.body), receipt);
    Reply::Answer(Box::new(Answer { head: answer.head, body }))
}

/// Waits for the final answer of a call whose work was stopped.
async fn reply_after_interrupt(guard: &mut CallGuard, first: Option<Action>) -> Reply {
    let mut action = first;
    while let Some(found) = action {
        if let Action::Refuse { refusal, receipt, .. } = found {
            guard.end(refusal.outcome);
            return Reply::Refusal(refusal, receipt);
        }
        action = guard.try_next();
    }
    reply_without_answer()
}

/// Answer to a call that ended without one, such as one whose parent is over.
pub fn reply_without_answer() -> Reply {
    Reply::Refusal(Refusal::unknown(RefusalReason::ParentEnded), Receipt::default())
}
