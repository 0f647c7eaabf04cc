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

/** What a target tells the node beside it. */
struct node_link_settings
{
    endpoint nodeAdmin;
    std::string service;
    std::size_t slots{0};
    std::size_t connections{0};
    endpoint address;
    /** Age of the load that is reported. */
    milliseconds loadLag{0};
    /** Reported in place of the load when set. */
    std::optional<std::size_t> loadLie;
};

/** Announces a target to its node, reports its load and tells that it leaves. */
class node_link
{
public:
    /** Asks inFlight for the load each second. */
    node_link(boost::asio::io_context &context, node_link_settings settings, std::function<std::size_t()> inFlight);

    /** Starts to announce and to report. */
    void start();

    /** Ends announcing and reporting and tells the node that the target leaves. False when the node did not confirm. */
    [[nodiscard]] boost::asio::awaitable<bool> drain();

private:
    struct load_sample
    {
        time_point at;
        std::size_t inFlight{0};
    };

    boost::asio::awaitable<void> announceRepeatedly();
    boost::asio::awaitable<void> reportRepeatedly();
    boost::asio::awaitable<bool> post(const char *path, std::string body);
    std::size_t reportedLoad(time_point now);

    boost::asio::io_context &m_context;
    node_link_settings m_settings;
    std::function<std::size_t()> m_inFlight;
    http_client m_client;
    std::deque<load_sample> m_samples;
    bool m_announced{false};
    bool m_leaving{false};
};

} // namespace ragwortpin::standins

#endif
