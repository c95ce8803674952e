use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use cuminarch_engine::{Arrival, Refusal, RefusalReason};
use cuminarch_http::{RequestHead, ResponseHead};
use cuminarch_protocol::{HeaderField, UpstreamSignals};
use cuminarch_types::{Outcome, ParseError, RequestId};

use super::{
    AnswerClass, CallPlan, CallerInterface, CredentialFault, IncomingRequest, KeyField,
    LocalAnswer, ParsedRequest, RegistrationError, RegistrationResult, Side, UpstreamCall,
    with_account,
};
use crate::headers::{self, CallerHeaders};

/// Path at which callers get idempotency keys.
const KEYS_PATH: &str = "/.cuminarch/keys";
/// Field with the key of a client account.
const KEY_FIELD: KeyField = KeyField { name: headers::AUTHORIZATION, scheme: headers::KEY_SCHEME };
/// Default delay after which a caller may retry.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Cuminarch's own interface, described in `docs/callers.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeInterface;

impl CallerInterface for NativeInterface {
    fn parse_request(&self, request: &IncomingRequest<'_>) -> ParsedRequest {
        let caller = match CallerHeaders::parse(&request.head.fields) {
            Ok(caller) => caller,
            Err(field) => {
                let text = format!("malformed header field {field}");
                return ParsedRequest::Answer(self.error_answer(400, &text));
            }
        };
        let root = caller.root.unwrap_or_else(random_request_id);
        let accounts = request.policy.accounts();
        // Calls of the own upstream carry no key.
        let is_public = request.side == Side::Upstream;
        let held = match KEY_FIELD.identify(accounts, is_public, &request.head.fields) {
            Ok(held) => held,
            Err(fault) => {
                let answer = match fault {
                    CredentialFault::AccountSetAside => self.error_answer(503, fault.as_str()),
                    _ => unauthorized_answer(fault.as_str()),
                };
                return ParsedRequest::Unauthorized { answer, route: None, fault };
            }
        };
        if request.head.method == "POST" && request.head.path() == KEYS_PATH {
            return ParsedRequest::MintKey(root);
        }
        let service = caller.service.clone().unwrap_or_else(|| request.own_service.clone());
        let is_inbound = service == *request.own_service && request.side == Side::Caller;
        let (method, target) = (&request.head.method, &request.head.target);
        let arrival = if is_inbound {
            Arrival::inbound(root, method, target)
        } else {
            Arrival::outbound(service.clone(), root, method, target)
        };
        let arrival = arrival
            .with_parent(caller.parent.filter(|_| request.side == Side::Upstream))
            .with_send(caller.resend)
            .with_remaining(caller.remaining)
            .with_key(caller.key);
        let arrival = match &held {
            Some(held) => {
                let rule = request.policy.rule(&service, method, target);
                with_account(arrival, held, is_public).with_rule(held.account.rule(rule))
            }
            None => arrival,
        };
        let mut fields = headers::end_to_end_fields(&request.head.fields);
        if accounts.requires_key() {
            fields.retain(|field| field.name != headers::AUTHORIZATION);
        }
        fields.retain(|field| field.name != "expect" && !headers::is_interface_field(&field.name));
        if let Some(held) = &held {
            fields.push(HeaderField::new(headers::ACCOUNT, held.account.name.as_str()));
        }
        ParsedRequest::Call(Box::new(CallPlan {
            arrival,
            service,
            route: None,
            fields,
            echoed_fields: Vec::new(),
            may_run_concurrently: false,
        }))
    }

    fn account_field(&self) -> &'static str {
        headers::ACCOUNT
    }

    fn is_attempt_field(&self, _name: &str) -> bool {
        false
    }

    fn add_upstream_fields(&self, call: &UpstreamCall<'_>, fields: &mut Vec<HeaderField>) {
        fields.push(HeaderField::new("via", headers::VIA_VALUE));
        let token = headers::format_request_id(call.root, call.call);
        fields.push(HeaderField::new(headers::REQUEST, token));
        fields.push(HeaderField::new(headers::REMAINING_MS, call.remaining_ms.to_string()));
    }

    fn classify_answer(&self, _request: &[HeaderField], answer: &ResponseHead) -> AnswerClass {
        AnswerClass::Current { is_failure: answer.status >= 500 }
    }

    fn answer_fields(&self, answer: &ResponseHead) -> Vec<HeaderField> {
        let mut fields = headers::end_to_end_fields(&answer.fields);
        // Entry nodes read the signals, too.
        fields.retain(|field| {
            !headers::is_interface_field(&field.name) || headers::is_upstream_signal(&field.name)
        });
        fields
    }

    fn upstream_signals(&self, fields: &[HeaderField]) -> Result<UpstreamSignals, ParseError> {
        headers::parse_upstream_signals(fields, headers::RATE_LIMIT, headers::LEAVING)
    }

    fn add_answer_fields(&self, outcome: Outcome, root: RequestId, fields: &mut Vec<HeaderField>) {
        fields.push(HeaderField::new(headers::OUTCOME, outcome.as_str()));
        fields.push(HeaderField::new(headers::REQUEST, root.to_string()));
    }

    fn refusal(&self, refusal: &Refusal, root: RequestId, _echo: &[HeaderField]) -> LocalAnswer {
        let text = format!("{}: {}\n", refusal.outcome, refusal.reason.as_str());
        let mut answer = LocalAnswer::new(status_of(refusal))
            .with_body(text)
            .with_field(headers::REASON, refusal.reason.as_str());
        if refusal.reason == RefusalReason::Draining {
            answer = answer.with_close();
        }
        if let Some(retry_after_s) = retry_after_s(refusal) {
            answer = answer.with_field("retry-after", retry_after_s.to_string());
        }
        if let Some(bound) = &refusal.bound_to {
            answer = answer.with_field(headers::BOUND_KEY, bound.to_string());
        }
        self.add_answer_fields(refusal.outcome, root, &mut answer.fields);
        answer
    }

    fn error_answer(&self, status: u16, text: &str) -> LocalAnswer {
        LocalAnswer::new(status)
            .with_body(format!("{text}\n"))
            .with_field(headers::OUTCOME, Outcome::NotRun.as_str())
    }

    fn refuses_while_draining(&self) -> bool {
        true
    }

    fn rejects_length_with_chunked(&self) -> bool {
        false
    }

    fn parse_registration(&self, _head: &RequestHead, _body: &[u8]) -> RegistrationResult {
        let answer = self.error_answer(404, "upstreams do not register here");
        RegistrationResult::Refused(RegistrationError::UnknownCall, answer)
    }
}

/// Returns the answer to a request without a valid key.
fn unauthorized_answer(reason: &str) -> LocalAnswer {
    LocalAnswer::new(401)
        .with_body(format!("{}: the key is {reason}\n", Outcome::NotRun))
        .with_field(headers::OUTCOME, Outcome::NotRun.as_str())
        .with_field("www-authenticate", headers::KEY_SCHEME)
}

const fn status_of(refusal: &Refusal) -> u16 {
    match (refusal.outcome, refusal.reason) {
        (_, RefusalReason::KeyConflict) => 422,
        (Outcome::Completed, _) | (_, RefusalReason::KeyInProgress) => 409,
        (Outcome::Unknown, RefusalReason::DeadlineExceeded) => 504,
        (Outcome::Unknown, _) => 502,
        (Outcome::NotRun, RefusalReason::CredentialWithdrawn) => 401,
        (Outcome::NotRun, RefusalReason::BudgetExhausted | RefusalReason::AllotmentExceeded) => 429,
        (Outcome::NotRun, _) => 503,
    }
}

/// Returns the delay in seconds, rounded up, after which a retry makes sense; `None` if a retry
/// cannot change the outcome.
fn retry_after_s(refusal: &Refusal) -> Option<u64> {
    if refusal.reason == RefusalReason::CredentialWithdrawn {
        return None;
    }
    let default = (refusal.outcome == Outcome::NotRun).then_some(DEFAULT_RETRY_AFTER);
    let time = refusal.retry_after.or(default)?;
    Some(time.as_secs() + u64::from(time.subsec_nanos() > 0)).map(|seconds| seconds.max(1))
}

/// Returns an id for a request that has none.
#[must_use]
pub fn random_request_id() -> RequestId {
    let high = RandomState::new().hash_one(0_u8);
    let low = RandomState::new().hash_one(1_u8);
    RequestId::new(u128::from(high) << 64 | u128::from(low))
}
