#ifndef RAGWORTPIN_STANDINS_SUPPORT_SLOT_POOL_H
#define RAGWORTPIN_STANDINS_SUPPORT_SLOT_POOL_H

#include "standins/support/exchange.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <list>

namespace ragwortpin::standins {

/** Fixed number of slots with a queue in order of arrival, on the thread of one io_context. */
class slot_pool
{
public:
    explicit slot_pool(std::size_t slots) noexcept;

    /** Waits for a slot. False when the exchange was cancelled before there was one. */
    [[nodiscard]] boost::asio::awaitable<bool> acquire(exchange_pointer current);

    /** Gives a slot back; the first in the queue gets it. */
    void release();

    [[nodiscard]] std::size_t slots() const noexcept;

    /** Slots in use and requests in the queue. */
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    struct waiter
    {
        boost::asio::steady_timer timer;
        bool granted{false};
    };

    std::size_t m_slots;
    std::size_t m_used{0};
    std::list<waiter> m_queue;
};

/** Waits; ends early when the exchange is cancelled. */
[[nodiscard]] boost::asio::awaitable<void> waitFor(boost::asio::steady_timer::duration span, exchange_pointer current);

} // namespace ragwortpin::standins

#endif
