#ifndef RAGWORTPIN_STANDINS_SUPPORT_NODE_LINK_H
#define RAGWORTPIN_STANDINS_SUPPORT_NODE_LINK_H

#include "ragwortpin/core/time.h"
#include "standins/support/endpoint.h"
#include "standins/support/http_client.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace ragwortpin::standins {

/** Settings of the connection between a target and the node of its instance. */
struct node_link_settings
{
    endpoint nodeAdmin;
    std::string service;
    std::size_t slots{0};
    std::size_t maxConnections{0};
    endpoint address;
    /** Delay with which load samples are reported. */
    milliseconds loadReportDelay{0};
    /** If set, reported instead of the measured load. */
    std::optional<std::size_t> loadOverride;
};

/** Announces a target to its node, reports its load, and requests its drain. */
class node_link
{
public:
    /** Uses inFlight to sample the load of the target once a second. */
    node_link(boost::asio::io_context &context, node_link_settings settings, std::function<std::size_t()> inFlight);

    /** Starts the periodic announcements and load reports. */
    void start();

    /** Stops the announcements and load reports and asks the node to drain the target. Returns false if the node did not confirm. */
    [[nodiscard]] boost::asio::awaitable<bool> drain();

private:
    struct load_sample
    {
        time_point sampledAt;
        std::size_t inFlight{0};
    };

    boost::asio::awaitable<void> announcePeriodically();
    boost::asio::awaitable<void> reportLoadPeriodically();
    boost::asio::awaitable<bool> post(const char *path, std::string body);
    std::size_t reportedLoad(time_point now);

    boost::asio::io_context &m_context;
    node_link_settings m_settings;
    std::function<std::size_t()> m_inFlight;
    http_client m_client;
    std::deque<load_sample> m_samples;
    bool m_announced{false};
    bool m_draining{false};
};

} // namespace ragwortpin::standins

#endif
