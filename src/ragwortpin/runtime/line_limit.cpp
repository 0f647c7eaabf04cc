#include "ragwortpin/runtime/line_limit.h"

#include <utility>

namespace ragwortpin {

std::optional<std::uint64_t> admitLine(line_limit &limit, time_point now) noexcept
{
    if (limit.written == 0 || now - limit.periodStart >= LinePeriod) {
        limit.periodStart = now;
        limit.written = 0;
    }
    if (limit.written >= MaxLinesPerPeriod) {
        ++limit.leftOut;
        return std::nullopt;
    }
    ++limit.written;
    return std::exchange(limit.leftOut, 0);
}

} // namespace ragwortpin
