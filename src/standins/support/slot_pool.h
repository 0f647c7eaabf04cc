#ifndef RAGWORTPIN_STANDINS_SUPPORT_SLOT_POOL_H
#define RAGWORTPIN_STANDINS_SUPPORT_SLOT_POOL_H

#include "standins/support/exchange.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <list>

namespace ragwortpin::standins {

/** Fixed number of slots with a FIFO wait queue. Not thread-safe: runs on the single thread of its io_context. */
class slot_pool
{
public:
    explicit slot_pool(std::size_t slots) noexcept;

    /** Waits for a slot. Returns false, without a slot, if the exchange is cancelled while waiting. */
    [[nodiscard]] boost::asio::awaitable<bool> acquire(exchange_pointer current);

    /** Releases a slot and assigns it to the first waiter in the queue, if any. */
    void release();

    [[nodiscard]] std::size_t slots() const noexcept;

    /** Returns the number of slots in use plus the number of waiters in the queue. */
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

/** Waits for the given duration, or until the exchange is cancelled. */
[[nodiscard]] boost::asio::awaitable<void> waitFor(boost::asio::steady_timer::duration span, exchange_pointer current);

} // namespace ragwortpin::standins

#endif
