#ifndef RAGWORTPIN_RUNTIME_MAILBOX_H
#define RAGWORTPIN_RUNTIME_MAILBOX_H

#include "ragwortpin/runtime/bounded_ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace ragwortpin {

/**
 * Bounded ring from one producer thread to the thread that runs an io_context. Sending wakes the consumer with at most one
 * outstanding post, however many values wait. The mailbox must outlive the io_context's run().
 */
template<typename Value>
class mailbox
{
public:
    using receiver = std::function<void(Value)>;

    mailbox(boost::asio::io_context &consumer, std::size_t capacity, receiver function)
        : m_consumer{consumer}
        , m_ring{capacity}
        , m_receiver{std::move(function)}
    { }

    /** Hands a value to the consumer. Returns false, and counts it, when the ring is full. Producer thread only. */
    [[nodiscard]] bool trySend(Value value)
    {
        if (!m_ring.tryPush(std::move(value))) {
            return false;
        }
        if (!m_wakePending.exchange(true)) {
            boost::asio::post(m_consumer, [this] {
                drain();
            });
        }
        return true;
    }

    /** Number of values rejected since construction. */
    [[nodiscard]] std::uint64_t rejected() const noexcept
    {
        return m_ring.rejected();
    }

private:
    void drain()
    {
        m_wakePending.store(false);
        while (auto value = m_ring.tryPop()) {
            m_receiver(std::move(*value));
        }
    }

    boost::asio::io_context &m_consumer;
    bounded_ring<Value> m_ring;
    receiver m_receiver;
    std::atomic<bool> m_wakePending{false};
};

} // namespace ragwortpin

#endif
