#ifndef RAGWORTPIN_NODE_ONCE_GATEWAY_H
#define RAGWORTPIN_NODE_ONCE_GATEWAY_H

#include "ragwortpin/dispatch/call.h"
#include "ragwortpin/dispatch/dispatcher.h"
#include "ragwortpin/node/claims_duty.h"
#include "ragwortpin/runtime/async_signal.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace ragwortpin {

/** Sends a command to the claims thread. Returns false if its mailbox is full. */
using claim_sender = std::function<bool(claim_command &&)>;

/**
 * Runs calls of at-most-once routes: claims the Idempotency-Key in the platform's store, dispatches the call only while holding
 * that claim, and records its outcome. Data thread only.
 */
class once_gateway
{
public:
    once_gateway(boost::asio::io_context &context, dispatcher &calls, claim_sender send, metrics_registry &metrics);

    /** Runs a call, or answers it from the recorded answer of an earlier call with the same Idempotency-Key. */
    [[nodiscard]] boost::asio::awaitable<call_answer> run(inbound_call call);

    /** Handles a reply of the claims thread. A claim that was granted after its call stopped waiting is released. */
    void receive(claim_reply reply);

    /** Wakes the calls that wait for the store, so that those past their deadline end. Has to be called regularly. */
    void wakePendingCalls();

private:
    struct pending_reply
    {
        explicit pending_reply(boost::asio::io_context &context)
            : changed{context}
        { }

        std::optional<claim_result> result;
        async_signal changed;
    };

    [[nodiscard]] boost::asio::awaitable<std::optional<claim_result>> waitForReply(std::uint64_t id, time_point deadline);
    [[nodiscard]] boost::asio::awaitable<call_answer> runClaimed(inbound_call call, claim_handle handle);
    void release(const claim_handle &handle);

    boost::asio::io_context &m_context;
    dispatcher &m_dispatcher;
    claim_sender m_sendCommand;
    counter &m_lateOutcomes;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_reply>> m_pendingReplies;
    std::uint64_t m_lastId{0};
    std::mt19937_64 m_random;
};

} // namespace ragwortpin

#endif
