#ifndef RAGWORTPIN_RUNTIME_BOUNDED_RING_H
#define RAGWORTPIN_RUNTIME_BOUNDED_RING_H

#include "ragwortpin/runtime/fwd.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace ragwortpin {

/**
 * Lock-free queue of fixed capacity between exactly one producer thread and one consumer thread. A full ring rejects further
 * values and counts the rejections; the producer decides how to handle a rejected value.
 */
template<typename Value>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : m_queue{capacity}
    { }

    /** Appends a value. If the ring is full, counts a rejection and returns false. Producer thread only. */
    [[nodiscard]] bool tryPush(Value value)
    {
        if (m_queue.push(std::move(value))) {
            return true;
        }
        m_rejected.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /** Removes and returns the oldest value; returns nullopt if the ring is empty. Consumer thread only. */
    [[nodiscard]] std::optional<Value> tryPop()
    {
        std::optional<Value> value;
        m_queue.consume_one([&value](Value &front) {
            value.emplace(std::move(front));
        });
        return value;
    }

    /** Returns the number of values rejected since construction. */
    [[nodiscard]] std::uint64_t rejected() const noexcept
    {
        return m_rejected.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<Value> m_queue;
    std::atomic<std::uint64_t> m_rejected{0};
};

} // namespace ragwortpin

#endif
