#include "ragwortpin/dispatch/dispatcher.h"

#include "ragwortpin/deadlines/deadlines.h"
#include "ragwortpin/runtime/logging.h"

#include <algorithm>

namespace ragwortpin {

namespace {

/** Retry-After of calls that could not be sent to any instance. */
constexpr duration NoInstanceRetryAfter{seconds{1}};

attempt_kind classify(const call_answer &answer, const inbound_call &call)
{
    if (call.control->cancelled()) {
        return attempt_kind::Cancelled;
    }
    if (!answer.refusal) {
        constexpr unsigned FirstServerError{500};
        constexpr unsigned ServiceUnavailable{503};
        const auto status = answer.response.result_int();
        if (status == ServiceUnavailable) {
            return attempt_kind::Overloaded;
        }
        return status >= FirstServerError ? attempt_kind::Failed : attempt_kind::Answered;
    }
    switch (*answer.refusal) {
    case refusal_kind::Draining:
    case refusal_kind::NotReady:
        return attempt_kind::NotServing;
    case refusal_kind::Overloaded:
    case refusal_kind::MemoryShort:
        return attempt_kind::Overloaded;
    case refusal_kind::DeadlineExceeded:
        return answer.result == outcome::NotRun ? attempt_kind::Overloaded : attempt_kind::TimedOut;
    case refusal_kind::Cancelled:
        return attempt_kind::Cancelled;
    default:
        return attempt_kind::Failed;
    }
}

/** Returns whether the target itself answered with status 500 or 502. Another target may succeed. */
bool isFailureFromTarget(const call_answer &answer)
{
    const auto status = answer.response.result();
    return !answer.refusal && (status == http::status::internal_server_error || status == http::status::bad_gateway);
}

call_answer toAnswer(exchange_result result, const inbound_call &call, unsigned grant)
{
    if (result.progress == exchange_progress::Answered) {
        auto answer = readAnswerFields(std::move(*result.response));
        if (answer.refusal == refusal_kind::ContextInvalid) {
            // A node that cannot read the context cannot have used the grant in it.
            answer.unusedAllowance = grant;
        }
        return answer;
    }
    if (result.progress == exchange_progress::NotSent) {
        const auto kind = call.control->cancelled() ? refusal_kind::Cancelled : refusal_kind::NoInstance;
        return refuseCall(kind, outcome::NotRun, grant, NoInstanceRetryAfter);
    }
    const bool isPastDeadline = monotonicNow() >= call.deadline;
    auto answer = refuseCall(isPastDeadline ? refusal_kind::DeadlineExceeded : refusal_kind::AnswerLost, outcome::Unknown, 0);
    answer.arrivals = 1;
    return answer;
}

/** Logs that a request is not repeated although its attempts failed. Requests that cannot have reached a target are not logged. */
void logNotRepeated(const inbound_call &call, const call_answer &last, unsigned arrivals, retry_verdict verdict)
{
    if (arrivals == 0) {
        return;
    }
    logEvent(log_level::Info,
             "not_repeated",
             {{"id", call.requestId},
              {"route", call.context.route},
              {"verdict", std::string{name(verdict)}},
              {"status", std::to_string(last.response.result_int())},
              {"instance", last.instance},
              {"arrivals", std::to_string(arrivals)}});
}

std::vector<std::size_t> indicesOf(const routing_state &routing, const std::vector<std::string> &names)
{
    std::vector<std::size_t> indices;
    for (const auto &name : names) {
        if (const auto index = findInstance(routing, name)) {
            indices.push_back(*index);
        }
    }
    return indices;
}

} // namespace

dispatcher::dispatcher(dispatcher_identity self,
                       http_client_pool &client,
                       instance_directory &directory,
                       metrics_registry &metrics,
                       local_runner runLocally,
                       std::uint64_t seed,
                       dispatch_options options,
                       repeat_budget repeats)
    : m_self{std::move(self)}
    , m_client{client}
    , m_directory{directory}
    , m_runLocally{std::move(runLocally)}
    , m_random{seed}
    , m_options{options}
    , m_repeatBudget{std::move(repeats)}
    , m_attempts{metrics.counterFor("ragwortpin_attempts_total")}
    , m_retries{metrics.counterFor("ragwortpin_retries_total")}
    , m_shedAtFirstHop{metrics.counterFor("ragwortpin_shed_at_first_hop_total")}
{ }

bool dispatcher::admitNewCall(inbound_call &call)
{
    if (!m_options.shedsByLevel) {
        return true;
    }
    const auto &context = call.context;
    const double randomValue{std::uniform_real_distribution<double>{0.0, 1.0}(m_random)};
    const auto decision = admitAtFirstHop(m_shedMemory, context.route, context.workspace, context.rank, randomValue, monotonicNow());
    call.context.admitProbability = decision.probability;
    if (!decision.admitted) {
        m_shedAtFirstHop.add();
    }
    return decision.admitted;
}

boost::asio::awaitable<call_answer> dispatcher::dispatch(inbound_call call)
{
    auto escrow = makeAllowance(call.context.retryAllowance);
    auto *service = m_directory.find(call.definition.service);
    if (service == nullptr) {
        co_return refuseCall(refusal_kind::NoInstance, outcome::NotRun, unusedAllowance(escrow), NoInstanceRetryAfter);
    }
    if (call.context.depth == 0) {
        observeFirstAttempt(service->budget);
    }
    std::vector<std::string> triedInstances;
    unsigned overloadCount{0};
    unsigned arrivals{0};
    std::optional<call_answer> last;
    std::optional<call_answer> targetFailure;
    for (;;) {
        const auto instance = chooseTarget(*service, triedInstances);
        if (!instance) {
            if (last || targetFailure) {
                break;
            }
            co_return refuseCall(refusal_kind::NoInstance, outcome::NotRun, unusedAllowance(escrow), NoInstanceRetryAfter);
        }
        triedInstances.push_back(instance->name);
        const auto grant = grantToCallee(escrow, grantFor(escrow, call.definition.retryable));
        const auto started = monotonicNow();
        beginAttempt(service->routing, instance->index, started);
        m_attempts.add();
        last = co_await attempt(call, *instance, grant);
        const auto finished = monotonicNow();
        observe(*service, *instance, *last, call, finished - started);
        if (last->result == outcome::Unknown) {
            forfeitGrant(escrow, grant);
        } else {
            settleGrant(escrow, grant, last->unusedAllowance);
        }
        arrivals += last->arrivals;
        last->instance = instance->name;
        const bool isTargetFailure{isFailureFromTarget(*last)};
        if ((!last->refusal && !isTargetFailure) || call.control->cancelled()) {
            break;
        }
        overloadCount += classify(*last, call) == attempt_kind::Overloaded ? 1 : 0;
        const failed_attempt failure{.result = last->result,
                                     .refusal = last->refusal,
                                     .failedAtCallee = true,
                                     .failedAtTarget = isTargetFailure,
                                     .retryable = call.definition.retryable,
                                     .once = call.definition.once,
                                     .arrivals = arrivals,
                                     .maxArrivals = call.definition.attempts,
                                     .earlierOverloadRefusals = overloadCount > 0 ? overloadCount - 1 : 0,
                                     .remaining = call.deadline - finished,
                                     .expected = duration::zero()};
        const auto verdict = co_await grantRetry(failure, escrow, *service, call);
        if (verdict != retry_verdict::Retry) {
            logNotRepeated(call, *last, arrivals, verdict);
            break;
        }
        m_retries.add();
        if (isTargetFailure) {
            targetFailure = std::exchange(last, std::nullopt);
        }
    }
    const bool isRefused{!last || (last->refusal && !call.control->cancelled())};
    if (targetFailure && isRefused) {
        last = std::move(targetFailure);
    }
    last->unusedAllowance = unusedAllowance(escrow);
    last->arrivals = arrivals;
    co_return std::move(*last);
}

boost::asio::awaitable<retry_verdict>
dispatcher::grantRetry(failed_attempt failure, retry_allowance &escrow, service_directory &service, const inbound_call &call)
{
    if (failure.arrivals > 0 && !m_options.allowsRepeats) {
        co_return retry_verdict::BudgetSpent;
    }
    if (!m_repeatBudget) {
        co_return acquireRetry(failure, escrow, service.budget);
    }
    const auto verdict = checkRetryRules(failure);
    if (verdict != retry_verdict::Retry) {
        co_return verdict;
    }
    if (escrow.available == 0) {
        co_return retry_verdict::AllowanceSpent;
    }
    if (failure.arrivals > 0) {
        repeat_request request{call.context.route, failure.result == outcome::NotRun, failure.failedAtTarget};
        const bool isGranted{co_await m_repeatBudget(std::move(request), call.control)};
        if (!isGranted || call.control->cancelled()) {
            co_return retry_verdict::BudgetSpent;
        }
    }
    co_return spendRetry(escrow) ? retry_verdict::Retry : retry_verdict::AllowanceSpent;
}

void dispatcher::removeExpiredShedLevels(time_point now)
{
    removeRelaxedLevels(m_shedMemory, now);
}

std::optional<dispatcher::chosen_instance> dispatcher::chooseTarget(service_directory &service,
                                                                    const std::vector<std::string> &triedInstances)
{
    const auto triedIndices = indicesOf(service.routing, triedInstances);
    const auto index = chooseInstance(service.routing, triedIndices, monotonicNow(), m_random);
    if (!index) {
        return std::nullopt;
    }
    return chosen_instance{*index, service.routing.instances[*index].summary.name, service.addresses[*index]};
}

boost::asio::awaitable<call_answer> dispatcher::attempt(inbound_call call, chosen_instance instance, unsigned grant)
{
    call.context.retryAllowance = grant;
    if (instance.name == m_self.instance) {
        co_return co_await m_runLocally(std::move(call));
    }
    co_return co_await forward(std::move(call), std::move(instance), grant);
}

boost::asio::awaitable<call_answer> dispatcher::forward(inbound_call call, chosen_instance instance, unsigned grant)
{
    const auto now = monotonicNow();
    call.context.remaining = remainingForCallee(call.deadline, now);
    if (call.context.remaining <= duration::zero()) {
        co_return refuseCall(refusal_kind::DeadlineExceeded, outcome::NotRun, grant);
    }
    auto request = std::move(call.request);
    request.set(toBeast(field::Context), signContext(call.context, instance.name, wallClockNow(), m_self.keys));
    request.version(11);
    request.keep_alive(true);
    request.prepare_payload();
    const exchange_options options{.connectTimeout = m_options.connectTimeout};
    auto result = co_await m_client.exchange(instance.address, std::move(request), call.deadline, call.control, options);
    co_return toAnswer(std::move(result), call, grant);
}

void dispatcher::observe(
    service_directory &service, const chosen_instance &instance, const call_answer &answer, const inbound_call &call, duration latency)
{
    const auto now = monotonicNow();
    const auto index = findInstance(service.routing, instance.name);
    const bool hasReport = answer.result != outcome::Unknown;
    if (index) {
        const attempt_result result{.kind = classify(answer, call),
                                    .latency = latency,
                                    .report = hasReport ? std::optional<load_report>{load_report{answer.load}} : std::nullopt};
        observeAttempt(service.routing, *index, result, now);
    }
    if (hasReport) {
        observeShedLevel(m_shedMemory, call.context.route, call.context.workspace, answer.level, now);
    }
}

} // namespace ragwortpin
