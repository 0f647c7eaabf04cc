#ifndef RAGWORTPIN_RUNTIME_MAILBOX_H
#define RAGWORTPIN_RUNTIME_MAILBOX_H

#include "ragwortpin/runtime/bounded_ring.h"
#include "ragwortpin/runtime/guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace ragwortpin {

/**
 * Bounded queue from one producer thread to the thread that runs an io_context. Sending wakes the consumer through at most one
 * outstanding post, regardless of the number of queued values. Values that are queued when the io_context is stopped are not delivered.
 * The mailbox must outlive run() of the io_context. Values are constructed in the queue
 * and handed on by reference: GCC 12 reports the alternatives that a variant does not hold as maybe uninitialised when the variant is moved
 * through inlined calls, on some processors and at some optimisation levels.
 */
template<typename Value>
class mailbox
{
public:
    using receiver = std::function<void(Value &&)>;

    mailbox(boost::asio::io_context &consumer, std::size_t capacity, receiver function)
        : m_consumer{consumer}
        , m_ring{capacity}
        , m_receiver{std::move(function)}
    { }

    /**
     * Constructs a value from the argument in the queue, for a variant from one of its alternatives. If the queue is full, counts a
     * rejection, leaves the argument as it is and returns false. Producer thread only.
     */
    template<typename Argument = Value>
    requires std::constructible_from<Value, Argument &&>
    [[nodiscard]] bool trySend(Argument &&argument)
    {
        if (!m_ring.tryPush(std::forward<Argument>(argument))) {
            return false;
        }
        if (!m_isDrainPosted.exchange(true)) {
            boost::asio::post(m_consumer, [this] {
                drain();
            });
        }
        return true;
    }

    /** Returns the number of values rejected since construction. */
    [[nodiscard]] std::uint64_t rejected() const noexcept
    {
        return m_ring.rejected();
    }

private:
    void drain()
    {
        m_isDrainPosted.store(false);
        // Values left when the consumer stops are dropped: each may be a blocking call, and the process waits for this handler to end.
        while (!m_consumer.stopped()) {
            auto value = m_ring.tryPop();
            if (!value) {
                return;
            }
            runGuarded("mailbox", [this, &value] {
                m_receiver(std::move(*value));
            });
        }
    }

    boost::asio::io_context &m_consumer;
    bounded_ring<Value> m_ring;
    receiver m_receiver;
    std::atomic<bool> m_isDrainPosted{false};
};

} // namespace ragwortpin

#endif
