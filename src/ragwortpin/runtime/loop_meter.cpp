#include "ragwortpin/runtime/loop_meter.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

void loop_meter::run(boost::asio::io_context &context)
{
    while (!context.stopped()) {
        const auto busySince = monotonicNow();
        const auto handlers = static_cast<duration::rep>(context.poll());
        const auto idleSince = monotonicNow();
        // Waits for an event and runs its handler. The handler is taken to last as long as those before did on average.
        if (context.run_one() == 0) {
            return;
        }
        const duration handlerTime{handlers > 0 ? (idleSince - busySince) / handlers : duration::zero()};
        m_idle += std::max(duration::zero(), monotonicNow() - idleSince - handlerTime);
    }
}

double loop_meter::takeUtilisation(time_point now) noexcept
{
    const double elapsed{toSeconds(now - std::exchange(m_takenAt, now))};
    const double idle{toSeconds(std::exchange(m_idle, duration::zero()))};
    return elapsed > 0.0 ? std::clamp(1.0 - idle / elapsed, 0.0, 1.0) : 1.0;
}

} // namespace ragwortpin
