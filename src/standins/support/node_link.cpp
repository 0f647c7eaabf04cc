#include "standins/support/node_link.h"

#include "standins/support/daemon.h"
#include "standins/support/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;

/** Interval between announcements while the node has not confirmed the last one. */
constexpr seconds UnconfirmedAnnounceInterval{1};

/** Interval between announcements while the node confirms them. */
constexpr seconds ConfirmedAnnounceInterval{5};

constexpr seconds LoadReportInterval{1};
constexpr seconds CallTimeout{1};

/** Maximum number of connections to the admin listener of the node. */
constexpr std::size_t MaxAdminConnections{4};

std::string makeAnnouncement(const node_link_settings &settings)
{
    Json::Value body{Json::objectValue};
    body["service"] = settings.service;
    body["slots"] = static_cast<Json::UInt64>(settings.slots);
    body["connections"] = static_cast<Json::UInt64>(settings.maxConnections);
    body["address"] = settings.address.host;
    body["port"] = settings.address.port;
    return writeJson(body);
}

} // namespace

node_link::node_link(asio::io_context &context, node_link_settings settings, std::function<std::size_t()> inFlight)
    : m_context{context}
    , m_settings{std::move(settings)}
    , m_inFlight{std::move(inFlight)}
    , m_client{context, MaxAdminConnections}
{ }

void node_link::start()
{
    asio::co_spawn(m_context, announcePeriodically(), asio::detached);
    asio::co_spawn(m_context, reportLoadPeriodically(), asio::detached);
}

asio::awaitable<bool> node_link::drain()
{
    m_draining = true;
    const bool confirmed = co_await post("/target/drain", "{}");
    co_return confirmed;
}

asio::awaitable<void> node_link::announcePeriodically()
{
    asio::steady_timer timer{m_context};
    while (!m_draining) {
        const bool confirmed = co_await post("/target/announce", makeAnnouncement(m_settings));
        if (confirmed != m_announced) {
            m_announced = confirmed;
            logInfo(m_settings.service + (confirmed ? " announced to node " : " announcement no longer confirmed by node ")
                    + toText(m_settings.nodeAdmin));
        }
        timer.expires_after(confirmed ? ConfirmedAnnounceInterval : UnconfirmedAnnounceInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> node_link::reportLoadPeriodically()
{
    asio::steady_timer timer{m_context};
    while (!m_draining) {
        timer.expires_after(LoadReportInterval);
        co_await timer.async_wait(asio::use_awaitable);
        Json::Value body{Json::objectValue};
        body["in_flight"] = static_cast<Json::UInt64>(reportedLoad(monotonicNow()));
        body["slots"] = static_cast<Json::UInt64>(m_settings.slots);
        if (m_announced && !m_draining) {
            co_await post("/target/load", writeJson(body));
        }
    }
}

asio::awaitable<bool> node_link::post(const char *path, std::string body)
{
    http_request request;
    request.version(11);
    request.method(boost::beast::http::verb::post);
    request.target(path);
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = std::move(body);
    const auto result = co_await m_client.send(m_settings.nodeAdmin, std::move(request), CallTimeout, nullptr);
    co_return !result.error && result.response.result_int() / 100 == 2;
}

std::size_t node_link::reportedLoad(time_point now)
{
    m_samples.push_back({now, m_inFlight()});
    while (m_samples.size() > 1 && m_samples[1].sampledAt + m_settings.loadReportDelay <= now) {
        m_samples.pop_front();
    }
    return m_settings.loadOverride.value_or(m_samples.front().inFlight);
}

} // namespace ragwortpin::standins
