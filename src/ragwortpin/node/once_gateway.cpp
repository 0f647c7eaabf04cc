#include "ragwortpin/node/once_gateway.h"

#include <random>
#include <string>

namespace ragwortpin {

namespace {

/** Retry-After of calls that were refused because the store did not answer or the claims mailbox was full. */
constexpr duration StoreRetryAfter{seconds{1}};
/** Longest time that an answer is held back until its outcome is recorded. Repeated requests are answered from that record. */
constexpr duration OutcomeRecordTimeout{milliseconds{500}};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

claim_request toClaimRequest(const inbound_call &call, std::uint64_t attempt)
{
    const auto &request = call.request;
    return {.workspace = call.context.workspace,
            .idempotencyKey = std::string{request["Idempotency-Key"]},
            .fingerprint = fingerprintRequest(toStd(request.method_string()), toStd(request.target()), request.body().text()),
            .attempt = attempt,
            .wallClock = wallClockNow()};
}

call_answer replay(const recorded_answer &recorded)
{
    call_answer answer;
    answer.response = makeResponse(static_cast<http::status>(recorded.status), recorded.contentType, recorded.body);
    answer.result = outcome::Ran;
    return answer;
}

recorded_answer toRecordedAnswer(const http_response &response)
{
    return {.status = response.result_int(),
            .contentType = std::string{response[http::field::content_type]},
            .body = response.body(),
            .hasBody = true};
}

} // namespace

once_gateway::once_gateway(boost::asio::io_context &context, dispatcher &calls, claim_sender send, metrics_registry &metrics)
    : m_context{context}
    , m_dispatcher{calls}
    , m_sendCommand{std::move(send)}
    , m_lateOutcomes{metrics.counterFor("ragwortpin_claim_outcomes_late_total")}
    , m_random{randomSeed()}
{ }

boost::asio::awaitable<call_answer> once_gateway::run(inbound_call call)
{
    const auto allowance = call.context.retryAllowance;
    const auto id = ++m_lastId;
    m_pendingReplies.emplace(id, std::make_shared<pending_reply>(m_context));
    if (!m_sendCommand(acquire_claim_command{id, toClaimRequest(call, m_random())})) {
        m_pendingReplies.erase(id);
        co_return refuseCall(refusal_kind::StoreUnavailable, outcome::NotRun, allowance, StoreRetryAfter);
    }
    auto result = co_await waitForReply(id, call.deadline);
    if (!result) {
        co_return refuseCall(refusal_kind::StoreUnavailable, outcome::NotRun, allowance, StoreRetryAfter);
    }
    if (result->verdict == claim_verdict::Replay) {
        auto answer = replay(*result->answer);
        answer.unusedAllowance = allowance;
        co_return answer;
    }
    if (result->verdict == claim_verdict::Refuse) {
        co_return refuseCall(result->refusal, result->reportedOutcome, allowance, result->retryAfter);
    }
    if (call.control->cancelled()) {
        release(*result->handle);
        co_return refuseCall(refusal_kind::Cancelled, outcome::NotRun, allowance);
    }
    co_return co_await runClaimed(std::move(call), *result->handle);
}

void once_gateway::receive(claim_reply reply)
{
    const auto found = m_pendingReplies.find(reply.id);
    if (found != m_pendingReplies.end()) {
        found->second->result = std::move(reply.result);
        found->second->changed.notifyAll();
        return;
    }
    if (reply.result.verdict == claim_verdict::Run && reply.result.handle) {
        release(*reply.result.handle);
    }
}

void once_gateway::wakePendingCalls()
{
    for (auto &[id, pending] : m_pendingReplies) {
        pending->changed.notifyAll();
    }
}

boost::asio::awaitable<std::optional<claim_result>> once_gateway::waitForReply(std::uint64_t id, time_point deadline)
{
    const auto pending = m_pendingReplies.at(id);
    while (!pending->result && monotonicNow() < deadline) {
        co_await pending->changed.wait();
    }
    m_pendingReplies.erase(id);
    co_return std::move(pending->result);
}

boost::asio::awaitable<call_answer> once_gateway::runClaimed(inbound_call call, claim_handle handle)
{
    auto answer = co_await m_dispatcher.dispatch(std::move(call));
    const auto id = ++m_lastId;
    finish_claim_command finishCommand{.id = id, .handle = std::move(handle), .result = answer.result, .answer = {}};
    if (answer.result == outcome::Ran) {
        finishCommand.answer = toRecordedAnswer(answer.response);
    }
    m_pendingReplies.emplace(id, std::make_shared<pending_reply>(m_context));
    const bool sent = m_sendCommand(std::move(finishCommand));
    const auto recorded = co_await waitForReply(id, sent ? monotonicNow() + OutcomeRecordTimeout : time_point{});
    if (!recorded) {
        m_lateOutcomes.add();
    }
    co_return answer;
}

void once_gateway::release(const claim_handle &handle)
{
    if (!m_sendCommand(finish_claim_command{.id = ++m_lastId, .handle = handle, .result = outcome::NotRun, .answer = {}})) {
        m_lateOutcomes.add();
    }
}

} // namespace ragwortpin
