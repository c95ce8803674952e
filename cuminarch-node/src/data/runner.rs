//! Runs a call from its arrival to its answer.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use cuminarch_config::Route;
use cuminarch_engine::{Action, Arrival, Refusal, RefusalReason};
use cuminarch_http::find_field;
use cuminarch_membership::PendingUpstream;
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::{AnswerHead, HeaderField, Member, Receipt, RoutedCall, UpstreamRecord};
use cuminarch_quarantine::RequestParts;
use cuminarch_routing::Splitter;
use cuminarch_types::{
    AccountName, Outcome, RequestDigest, RequestId, RequestIdentity, ServiceName, ZoneName,
};
use flume::Sender;
use log::{info, warn};

use super::ahead_budget::AheadBudget;
use super::answer::{Answer, AnswerBody, AnswerSource, BrokenAnswerLog};
use super::answer_pace::AnswerPace;
use super::body::RequestBody;
use super::detached::CompletionFlag;
use super::driver::{CallGuard, Driver};
use super::limits::DataLimits;
use super::link_client::send_call;
use super::link_hello::LinkHello;
use super::link_pool::LinkPool;
use super::local::{LocalRun, run_local};
use super::member_report::MemberReport;
use super::tasks::Tasks;
use super::upstream_pool::UpstreamPool;
use crate::decisions::LogRateLimiter;
use crate::event::NodeEvent;
use crate::interface::{CallerInterface, CredentialFault};
use crate::metrics::Metrics;

/// State shared by the tasks of the data thread.
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
    /// Whether calls are refused until a configuration is found.
    pub requires_config: bool,
    /// Limits of the settings; the policy may override them.
    pub settings_limits: DataLimits,
    pub splitter: Rc<RefCell<Splitter>>,
    /// Receives what this thread learns about members.
    pub member_reports: Sender<MemberReport>,
    pub ahead_budget: AheadBudget,
}

impl DataContext {
    /// Returns the limits on input from callers and peers.
    pub fn limits(&self) -> DataLimits {
        self.settings_limits.with_caller_limits(self.driver.policy().caller_limits())
    }

    /// Chooses one of the services of a route according to their weights.
    pub fn choose_service(&self, route: &Route) -> ServiceName {
        self.splitter.borrow_mut().choose(route).clone()
    }

    /// Reports a change of the local upstream to the other duties and closes the idle connections
    /// to its earlier instance.
    pub fn publish_upstream(&self, record: UpstreamRecord) {
        self.upstream.clear();
        self.report(MemberReport::Upstream(record));
    }

    /// Reports a change of the local upstream that what an earlier process knew has brought about.
    pub fn publish_history(&self, record: UpstreamRecord) {
        info!("{} upstream={record:?} source=history", NodeEvent::UpstreamChanged);
        self.publish_upstream(record);
    }

    /// Reports a registration of the local upstream that waits for what an earlier process knew.
    pub fn publish_pending(&self, pending: PendingUpstream) {
        self.report(MemberReport::UpstreamPending(pending));
    }

    /// Reports the statement of a node that refused a call as not meant for it.
    pub fn report_member(&self, member: Member) {
        self.report(MemberReport::Misdirected(Box::new(member)));
    }

    fn report(&self, report: MemberReport) {
        if self.member_reports.try_send(report).is_err() {
            self.metrics.record_full_ring();
            warn!("{} ring=members", NodeEvent::RingFull);
        }
    }

    /// Spawns a task. A panic in it ends the data thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task);
    }
}

/// A request to execute.
pub struct CallRequest {
    pub root: RequestId,
    pub service: ServiceName,
    pub method: CompactString,
    pub target: CompactString,
    pub headers: Arc<Vec<HeaderField>>,
    pub body: RequestBody,
    pub body_len_bytes: Option<u64>,
    pub routed: Option<RoutedCall>,
    /// The client account, at the entry node.
    pub account: Option<AccountName>,
    pub idempotent: bool,
    /// Set when the call begins.
    pub identity: Option<RequestIdentity>,
    /// Set if the request came from another node or is for the local upstream.
    pub is_inbound: bool,
    pub received_at: Instant,
}

impl CallRequest {
    /// Returns the id of the request for logs.
    pub fn label(&self, context: &DataContext) -> CompactString {
        let label = context.interface.request_label(&self.headers);
        label.unwrap_or_else(|| CompactString::from(self.root.to_string()))
    }

    /// Returns the name of the route for logs.
    pub fn route(&self) -> &str {
        self.routed.as_ref().map_or("-", |routed| routed.route.as_str())
    }

    /// Returns the name of the client account for logs.
    pub fn account(&self) -> &str {
        self.account.as_ref().map_or("-", AccountName::as_str)
    }

    /// Returns the identity by which the request is recognized when it returns.
    pub fn identity(&self, context: &DataContext) -> RequestIdentity {
        let interface = &context.interface;
        let field = |name: &str| find_field(&self.headers, name);
        let mut parts = RequestParts::new(&self.service, &self.method, &self.target)
            .with_host(field("host").unwrap_or_default())
            .with_account(field(interface.account_field()))
            .with_body(self.body.available(), self.body_len_bytes);
        for field in self.headers.iter() {
            if !interface.is_attempt_field(&field.name) {
                parts = parts.with_field(&field.name, &field.value);
            }
        }
        parts.identity()
    }

    /// Returns the digest of the request for logs.
    pub fn digest(&self) -> RequestDigest {
        self.identity.map_or_else(|| RequestDigest::new(0), |identity| identity.request)
    }

    /// Returns `true` if the request may run more than once.
    pub const fn is_idempotent(&self) -> bool {
        self.idempotent
    }
}

/// Result of a call for its caller.
pub enum Reply {
    /// An answer that is forwarded as it arrives.
    Answer(Box<Answer>),
    /// A final answer of the node itself.
    Refusal(Refusal, Receipt),
}

/// Runs a call until its answer begins or the node refuses it.
pub async fn run_call(
    context: &DataContext,
    arrival: Arrival,
    mut request: CallRequest,
    completion: &CompletionFlag,
) -> Reply {
    request.identity = Some(request.identity(context));
    let mut guard = context.driver.begin(arrival.with_identity(request.identity));
    let mut pace;
    while let Some(action) = guard.next().await {
        let answer = match action {
            Action::RunLocal { keep_answer, remaining, instance, .. } => {
                pace = answer_pace(&request, remaining);
                if keep_answer {
                    completion.set_must_finish();
                }
                let local = LocalRun { call: guard.call(), remaining, keep_answer, instance };
                let body =
                    std::mem::replace(&mut request.body, RequestBody::Buffered(Bytes::new()));
                let run = run_local(context, local, &request, body);
                run_unless_interrupted(&mut guard, run).await
            }
            Action::Forward { attempt, forward, .. } => {
                pace = answer_pace(&request, forward.remaining);
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
                return reply_with_answer(context, guard, &request, (head, source), pace);
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

/// Returns the limits on the duration of an answer. Only routes have a limit for one that flows.
fn answer_pace(request: &CallRequest, remaining: Duration) -> AnswerPace {
    let now = Instant::now();
    let pace = AnswerPace::new(remaining, now);
    if request.routed.is_some() { pace.with_end(remaining, now) } else { pace }
}

/// Creates the reply for an answer that has begun, with logging in case it breaks off.
fn reply_with_answer(
    context: &DataContext,
    guard: CallGuard,
    request: &CallRequest,
    (head, source): (AnswerHead, AnswerSource),
    pace: AnswerPace,
) -> Reply {
    let log = BrokenAnswerLog {
        decisions: Rc::clone(&context.decisions),
        request: request.label(context),
        route: request.route().into(),
        received_at: request.received_at,
    };
    let body = AnswerBody::new(guard, source, head.body_len_bytes).with_log(log).with_pace(pace);
    Reply::Answer(Box::new(Answer { head, body }))
}

/// Logs why the node refused a call: as an entry node for its caller, or as a serving node for
/// another node.
pub fn log_refusal(context: &DataContext, request: &CallRequest, refusal: &Refusal) {
    if refusal.reason == RefusalReason::CredentialWithdrawn {
        context.metrics.record_credential_fault(CredentialFault::Withdrawn);
    }
    let event = if request.is_inbound { NodeEvent::DoorRefused } else { NodeEvent::CallRefused };
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(
        request:% = request.label(context),
        digest:% = request.digest(),
        route = request.route(),
        account = request.account(),
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

/// Runs `work` until it ends or the engine emits another action for the call.
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

/// Returns the final answer of a call whose work was interrupted by an action.
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

/// Creates the reply for a call that ended without an answer, such as one whose parent ended.
pub fn reply_without_answer() -> Reply {
    Reply::Refusal(Refusal::unknown(RefusalReason::ParentEnded), Receipt::default())
}
