#include "ragwortpin/operators/fleet_status.h"

#include "ragwortpin/http/address.h"
#include "ragwortpin/http/client_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/value.h>

#include <algorithm>
#include <cstddef>
#include <memory>

namespace ragwortpin {

namespace internal {

constexpr int MaxJsonDepth{16};

http_request statusRequest(const endpoint &address)
{
    constexpr unsigned Http11{11};
    http_request request{http::verb::get, "/status", Http11};
    request.set(http::field::host, toText(address));
    return request;
}

node_report failedReport(const endpoint &address, std::string problem)
{
    node_report report;
    report.address = address;
    report.problem = std::move(problem);
    return report;
}

boost::asio::awaitable<void> queryNode(http_client_pool &pool, endpoint address, time_point deadline, node_report &report)
{
    const auto control = std::make_shared<call_control>();
    const auto result = co_await pool.exchange(address, statusRequest(address), deadline, control);
    if (result.progress != exchange_progress::Answered) {
        report = failedReport(
            address, "no answer (" + result.error.message() + "); check that the node is running and that this is its admin address");
    } else if (result.response->result() != http::status::ok) {
        report = failedReport(
            address, "answered " + std::to_string(result.response->result_int()) + " to GET /status; check that this is its admin address");
    } else {
        report = parseNodeStatus(address, result.response->body().text());
    }
}

Json::Value parseObject(std::string_view body)
{
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = MaxJsonDepth;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(body.data(), body.data() + body.size(), &value, &errors) && value.isObject()) {
            return value;
        }
    } catch (const Json::Exception &) {
        return {};
    }
    return {};
}

} // namespace internal

node_report parseNodeStatus(const endpoint &address, std::string_view body)
{
    const auto value = internal::parseObject(body);
    const bool complete = value.isObject() && value["instance"].isString() && value["state"].isString() && value["revision"].isUInt64();
    if (!complete) {
        return internal::failedReport(address, "the response is not a node's status; check that this is its admin address");
    }
    node_report report;
    report.address = address;
    report.instance = value["instance"].asString();
    report.state = value["state"].asString();
    report.revision = value["revision"].asUInt64();
    report.availabilityZone = value["availability_zone"].isString() ? value["availability_zone"].asString() : "";
    report.service = value["service"].isString() ? value["service"].asString() : "";
    return report;
}

std::vector<node_report> queryNodes(const std::vector<endpoint> &addresses, duration timeout)
{
    boost::asio::io_context context;
    http_client_pool pool{context, http_limits{}};
    std::vector<node_report> reports(addresses.size());
    const auto deadline = monotonicNow() + timeout;
    for (std::size_t index{0}; index < addresses.size(); ++index) {
        reports[index] = internal::failedReport(addresses[index], "the query ended without a result; run the command again");
        boost::asio::co_spawn(context, internal::queryNode(pool, addresses[index], deadline, reports[index]), boost::asio::detached);
    }
    context.run();
    return reports;
}

std::uint64_t newestRevision(const std::vector<node_report> &reports, std::optional<std::uint64_t> published) noexcept
{
    auto newest = published.value_or(0);
    for (const auto &report : reports) {
        newest = std::max(newest, report.revision);
    }
    return newest;
}

} // namespace ragwortpin
