#ifndef RAGWORTPIN_MEMORY_BUDGET_H
#define RAGWORTPIN_MEMORY_BUDGET_H

#include "ragwortpin/memory/fwd.h"
#include "ragwortpin/memory/policy.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace ragwortpin {

namespace internal {

/** State that a budget shares with its reservations, which may outlive it. */
struct memory_account
{
    memory_usage usage;
    std::optional<time_point> lastDeniedAt;
    std::uint64_t denied{0};
};

} // namespace internal

/** Memory reserved for one message. It is returned when the reservation is destroyed. Not thread-safe. */
class memory_reservation
{
public:
    /** Reserves nothing; resize() always succeeds. For messages whose size is bounded by other means. */
    memory_reservation() = default;

    memory_reservation(std::shared_ptr<internal::memory_account> account, memory_use use) noexcept
        : m_account{std::move(account)}
        , m_use{use}
    { }

    memory_reservation(memory_reservation &&other) noexcept;
    memory_reservation &operator=(memory_reservation &&other) noexcept;
    memory_reservation(const memory_reservation &) = delete;
    memory_reservation &operator=(const memory_reservation &) = delete;
    ~memory_reservation();

    /** Changes the reserved size, in bytes. Returns false and changes nothing if the budget does not allow the growth. */
    [[nodiscard]] bool resize(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_bytes;
    }

private:
    std::shared_ptr<internal::memory_account> m_account;
    memory_use m_use{memory_use::Request};
    std::size_t m_bytes{0};
};

/**
 * Memory that all messages of a process may use together. The parts that read messages reserve from it before they read. Copies share the
 * same memory. Not thread-safe.
 */
class memory_budget
{
public:
    /** Allows messages to use the given number of bytes. */
    explicit memory_budget(std::size_t limit);

    /** Returns an empty reservation that grows by resize(). */
    [[nodiscard]] memory_reservation makeReservation(memory_use use) const
    {
        return {m_account, use};
    }

    [[nodiscard]] const memory_usage &usage() const noexcept
    {
        return m_account->usage;
    }

    /** Returns how often a reservation could not grow. */
    [[nodiscard]] std::uint64_t denied() const noexcept
    {
        return m_account->denied;
    }

    /** Returns whether a reservation could not grow within the last seconds. */
    [[nodiscard]] bool isShort(time_point now) const noexcept;

private:
    std::shared_ptr<internal::memory_account> m_account;
};

} // namespace ragwortpin

#endif
