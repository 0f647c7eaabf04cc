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

/** Hands a command to the claims thread; false when its mailbox is full. */
using claim_sender = std::function<bool(claim_command)>;

/**
 * Runs calls of once-routes: claims the Idempotency-Key in the platform's store, dispatches the call only under that claim,
 * and records how it ended. Data thread only.
 */
class once_gateway
{
public:
    once_gateway(boost::asio::io_context &context, dispatcher &calls, claim_sender send, metrics_registry &metrics);

    /** Runs one call, or answers from the record of an earlier one. */
    [[nodiscard]] boost::asio::awaitable<call_answer> run(inbound_call call);

    /** Handles an answer of the claims thread. */
    void receive(claim_reply reply);

    /** To be called regularly: wakes calls whose deadline passed while they wait for the store. */
    void wakeWaiting();

private:
    struct waiting_reply
    {
        explicit waiting_reply(boost::asio::io_context &context)
            : changed{context}
        { }

        std::optional<claim_result> result;
        async_signal changed;
    };

    [[nodiscard]] boost::asio::awaitable<std::optional<claim_result>> waitForReply(std::uint64_t id, time_point deadline);
    [[nodiscard]] boost::asio::awaitable<call_answer> runClaimed(inbound_call call, claim_handle handle);
    void release(const claim_handle &handle);

    boost::asio::io_context &m_context;
    dispatcher &m_calls;
    claim_sender m_send;
    counter &m_unrecorded;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiting_reply>> m_waiting;
    std::uint64_t m_lastId{0};
    std::mt19937_64 m_random;
};

} // namespace ragwortpin

#endif
