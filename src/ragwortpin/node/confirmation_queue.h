#ifndef RAGWORTPIN_NODE_CONFIRMATION_QUEUE_H
#define RAGWORTPIN_NODE_CONFIRMATION_QUEUE_H

#include "ragwortpin/core/time.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>

namespace ragwortpin {

/** Numbered confirmations that coroutines of one thread wait for. They arrive in order, so that each settles all earlier ones. */
class confirmation_queue
{
public:
    explicit confirmation_queue(boost::asio::io_context &context)
        : m_context{context}
    { }

    /** Returns the number of the next confirmation; the first is 1. */
    [[nodiscard]] std::uint64_t issue() noexcept
    {
        return ++m_lastIssued;
    }

    /** Waits for a confirmation. Returns whether it arrived within the time. */
    [[nodiscard]] boost::asio::awaitable<bool> wait(std::uint64_t number, duration timeout);

    /** Records that a confirmation has arrived and resumes the coroutines that wait for it or an earlier one. */
    void settle(std::uint64_t number);

private:
    boost::asio::io_context &m_context;
    std::uint64_t m_lastIssued{0};
    std::uint64_t m_lastSettled{0};
    std::multimap<std::uint64_t, boost::asio::steady_timer *> m_waiting;
};

} // namespace ragwortpin

#endif
