#include "ragwortpin/memory/policy.h"

namespace ragwortpin {

namespace {

/** Lowest rate, in bytes per second, of a transfer that may hold memory while other messages are refused for want of it. */
constexpr double MinTransferRate{16.0 * 1024.0};

/** Returns the part of the limit that a message may use, in twelfths. */
std::size_t usableTwelfths(memory_use use, std::size_t bytes) noexcept
{
    if (use == memory_use::Response) {
        return 12;
    }
    return bytes <= SmallRequestBytes ? 11 : 10;
}

} // namespace

std::size_t messageMemory(std::size_t processMemory) noexcept
{
    return processMemory / 5 * 3;
}

bool canReserve(const memory_usage &usage, memory_use use, std::size_t held, std::size_t added) noexcept
{
    const auto usable = usage.limit / 12 * usableTwelfths(use, held + added);
    return usage.reserved <= usable && added <= usable - usage.reserved;
}

bool isTooSlow(const transfer_progress &progress, time_point now) noexcept
{
    const auto observed = now - progress.since;
    return observed >= TransferRatePeriod && static_cast<double>(progress.bytes) < MinTransferRate * toSeconds(observed);
}

} // namespace ragwortpin
