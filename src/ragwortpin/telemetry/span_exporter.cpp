#include "ragwortpin/telemetry/span_exporter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace ragwortpin {

namespace {

/** Number of buffered spans that starts an export without waiting for the next flush(). */
constexpr std::size_t ExportThresholdSpans{256};
constexpr std::size_t MaxBufferedSpans{2048};
constexpr duration ExportTimeout{seconds{2}};
/** HTTP/1.1 in the encoding of Boost.Beast. */
constexpr unsigned Http11{11};

} // namespace

span_exporter::span_exporter(boost::asio::io_context &context, endpoint collector, std::string instance, metrics_registry &metrics)
    : m_context{context}
    , m_client{context, http_limits{}}
    , m_collector{std::move(collector)}
    , m_instance{std::move(instance)}
    , m_exported{metrics.counterFor("ragwortpin_spans_exported_total")}
    , m_dropped{metrics.counterFor("ragwortpin_spans_dropped_total")}
{ }

void span_exporter::add(span value)
{
    if (m_buffer.size() >= MaxBufferedSpans) {
        m_dropped.add();
        return;
    }
    m_buffer.push_back(std::move(value));
    if (m_buffer.size() >= ExportThresholdSpans) {
        flush();
    }
}

void span_exporter::flush()
{
    if (m_exportInProgress || m_buffer.empty()) {
        return;
    }
    m_exportInProgress = true;
    auto batch = std::exchange(m_buffer, {});
    boost::asio::co_spawn(m_context, exportBatch(std::move(batch)), boost::asio::detached);
}

boost::asio::awaitable<void> span_exporter::exportBatch(std::vector<span> batch)
{
    http_request request{http::verb::post, "/v1/traces", Http11};
    request.set(http::field::host, m_collector.address);
    request.set(http::field::content_type, "application/json");
    request.body() = toOtlpJson(batch, m_instance);
    request.prepare_payload();
    auto control = std::make_shared<call_control>();
    const auto result = co_await m_client.exchange(m_collector, std::move(request), monotonicNow() + ExportTimeout, control);
    const bool isAccepted = result.response && result.response->result_int() < 300;
    (isAccepted ? m_exported : m_dropped).add(batch.size());
    m_exportInProgress = false;
}

} // namespace ragwortpin
