#ifndef RAGWORTPIN_RUNTIME_LOOP_METER_H
#define RAGWORTPIN_RUNTIME_LOOP_METER_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/runtime/fwd.h"

#include <boost/asio/io_context.hpp>

namespace ragwortpin {

/** Runs an event loop and measures which part of the time it is busy. Must be used on the thread that runs the loop. */
class loop_meter
{
public:
    explicit loop_meter(time_point now) noexcept
        : m_takenAt{now}
    { }

    /** Runs handlers until the context is stopped. */
    void run(boost::asio::io_context &context);

    /**
     * Returns the fraction of the time since the last call in which the loop did not wait for events: 1 if handlers were always ready.
     * Time in which handlers are ready but the thread has no processor counts as busy.
     */
    [[nodiscard]] double takeUtilisation(time_point now) noexcept;

private:
    time_point m_takenAt;
    duration m_idle{0};
};

} // namespace ragwortpin

#endif
