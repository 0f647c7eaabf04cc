#ifndef RAGWORTPIN_MEMORY_POLICY_H
#define RAGWORTPIN_MEMORY_POLICY_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/memory/fwd.h"

#include <cstddef>

namespace ragwortpin {

/** What memory is reserved for. */
enum class memory_use : unsigned char {
    /** Body of a request that has not begun to run, and what is buffered of its header section. */
    Request,
    /** Body of a response to a request that was sent. Its work is done, so it may use what new requests may not. */
    Response,
};

/** Reserved and reservable memory, in bytes. */
struct memory_usage
{
    std::size_t limit{0};
    std::size_t reserved{0};

    bool operator==(const memory_usage &) const = default;
};

/** Requests up to this size, in bytes, may use memory that larger ones may not, so that uploads do not keep them out. */
inline constexpr std::size_t SmallRequestBytes{64UL * 1024UL};

/** Returns how much of the memory of a process, in bytes, may be used for messages. The rest is for everything else that it holds. */
[[nodiscard]] std::size_t messageMemory(std::size_t processMemory) noexcept;

/**
 * Returns whether more memory may be reserved for a message that holds `held` bytes already. Large requests may use five sixths of the
 * limit, small ones eleven twelfths, and responses all of it.
 */
[[nodiscard]] bool canReserve(const memory_usage &usage, memory_use use, std::size_t held, std::size_t added) noexcept;

/** Bytes that a connection transferred since a point in time. */
struct transfer_progress
{
    time_point since{};
    std::size_t bytes{0};

    bool operator==(const transfer_progress &) const = default;
};

/** Shortest period over which the rate of a transfer is judged. */
inline constexpr seconds TransferRatePeriod{2};

/** Returns whether a transfer was observed for TransferRatePeriod, and was slower than a transfer may be while memory is short. */
[[nodiscard]] bool isTooSlow(const transfer_progress &progress, time_point now) noexcept;

} // namespace ragwortpin

#endif
