#ifndef RAGWORTPIN_TELEMETRY_SPAN_EXPORTER_H
#define RAGWORTPIN_TELEMETRY_SPAN_EXPORTER_H

#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/telemetry/span.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortpin {

/**
 * Sends spans in batches to an OTLP/HTTP collector, from the telemetry thread. Spans beyond the buffer and batches that the
 * collector does not take are counted and dropped; requests never wait for telemetry.
 */
class span_exporter
{
public:
    span_exporter(boost::asio::io_context &context, endpoint collector, std::string instance, metrics_registry &metrics);

    /** Buffers a span, and starts an export when a batch is full. */
    void add(span value);

    /** Exports what is buffered. To be called about once a second. */
    void flush();

private:
    boost::asio::awaitable<void> send(std::vector<span> batch);

    boost::asio::io_context &m_context;
    http_client_pool m_client;
    endpoint m_collector;
    std::string m_instance;
    counter &m_exported;
    counter &m_dropped;
    std::vector<span> m_buffer;
    bool m_sending{false};
};

} // namespace ragwortpin

#endif
