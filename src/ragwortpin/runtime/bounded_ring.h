#ifndef RAGWORTPIN_RUNTIME_BOUNDED_RING_H
#define RAGWORTPIN_RUNTIME_BOUNDED_RING_H

#include "ragwortpin/runtime/fwd.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

namespace ragwortpin {

namespace internal {

/** Returns an iterator to the argument that yields it as it was passed: an lvalue as const, an rvalue to be moved from. */
template<typename Argument>
[[nodiscard]] constexpr auto forwardingIterator(std::remove_reference_t<Argument> &argument) noexcept
{
    if constexpr (std::is_lvalue_reference_v<Argument>) {
        return std::addressof(std::as_const(argument));
    } else {
        return std::make_move_iterator(std::addressof(argument));
    }
}

} // namespace internal

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

    /**
     * Constructs a value from the argument at the end of the ring. If the ring is full, counts a rejection, leaves the argument as it
     * is and returns false. Producer thread only. A variant is best given by its alternative: it is then neither copied nor moved.
     */
    template<typename Argument = Value>
    requires std::constructible_from<Value, Argument &&>
    [[nodiscard]] bool tryPush(Argument &&argument)
    {
        if (pushFrom(internal::forwardingIterator<Argument>(argument))) {
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
    template<typename Iterator>
    bool pushFrom(Iterator first)
    {
        return m_queue.push(first, std::next(first)) != first;
    }

    boost::lockfree::spsc_queue<Value> m_queue;
    std::atomic<std::uint64_t> m_rejected{0};
};

} // namespace ragwortpin

#endif
