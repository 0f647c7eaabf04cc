#ifndef RAGWORTPIN_RUNTIME_LOOP_PROBE_H
#define RAGWORTPIN_RUNTIME_LOOP_PROBE_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/runtime/fwd.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <optional>

namespace ragwortpin {

/**
 * Measures how long a descriptor that became readable waits until the event loop runs its handler. A probe is a byte that the loop
 * sends to itself through a pipe, so it waits behind the connections that are ready. Must be used on the thread that runs the loop.
 */
class loop_probe
{
public:
    /** Opens the pipe. If that fails, an error is logged and every measurement returns zero. */
    explicit loop_probe(boost::asio::io_context &context);

    /** Sends a probe, unless the previous one has not been received yet. */
    void send(time_point now);

    /**
     * Returns the shortest delay of the probes received since the last call or, if there is none, the age of the one that was sent;
     * zero if none was sent either. The shortest one leaves out single pauses of the process.
     */
    [[nodiscard]] duration takeDelay(time_point now);

private:
    [[nodiscard]] boost::asio::awaitable<void> receive();

    boost::asio::posix::stream_descriptor m_reader;
    boost::asio::posix::stream_descriptor m_writer;
    /** Time at which the probe that is under way was sent. */
    std::optional<time_point> m_sentAt;
    std::optional<duration> m_minDelay;
};

} // namespace ragwortpin

#endif
