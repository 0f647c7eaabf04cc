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
 * Sends spans in batches to an OTLP/HTTP collector. Runs on the telemetry thread. Spans are dropped and counted when the buffer
 * is full or the collector does not accept their batch, so that requests never wait for telemetry.
 */
class span_exporter
{
public:
    span_exporter(boost::asio::io_context &context, endpoint collector, std::string instance, metrics_registry &metrics);

    /** Buffers a span and starts an export when a batch is full. Drops the span when the buffer is full. */
    void add(span value);

    /** Starts an export of all buffered spans unless one is in progress. Should be called about once a second. */
    void flush();

private:
    boost::asio::awaitable<void> exportBatch(std::vector<span> batch);

    boost::asio::io_context &m_context;
    http_client_pool m_client;
    endpoint m_collector;
    std::string m_instance;
    counter &m_exported;
    counter &m_dropped;
    std::vector<span> m_buffer;
    bool m_exportInProgress{false};
};

} // namespace ragwortpin

#endif
