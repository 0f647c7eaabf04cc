#include "ragwortpin/operators/admin_server.h"

#include <json/json.h>

#include <boost/asio/ip/address.hpp>

#include <limits>
#include <memory>
#include <optional>

namespace ragwortpin {

namespace {

constexpr std::uint64_t MaxBodyBytes{16UL * 1024UL};
constexpr std::size_t MaxConnections{64};
constexpr int MaxJsonDepth{8};

http_limits adminLimits()
{
    http_limits limits;
    limits.requestBodyBytes = MaxBodyBytes;
    limits.connections = MaxConnections;
    return limits;
}

http_response jsonResponse(http::status status, const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return makeResponse(status, "application/json", Json::writeString(builder, value) + '\n');
}

http_response errorResponse(http::status status, const std::string &message)
{
    Json::Value value;
    value["error"] = message;
    return jsonResponse(status, value);
}

std::optional<Json::Value> parseObject(const std::string &body)
{
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = MaxJsonDepth;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    std::string errors;
    try {
        const bool parsed = reader->parse(body.data(), body.data() + body.size(), &value, &errors);
        return parsed && value.isObject() ? std::optional{value} : std::nullopt;
    } catch (const Json::Exception &) {
        return std::nullopt;
    }
}

std::optional<std::uint32_t> readCount(const Json::Value &object, const char *name, std::uint32_t minimum, std::uint32_t maximum)
{
    const auto &value = object[name];
    if (!value.isUInt() || value.asUInt() < minimum || value.asUInt() > maximum) {
        return std::nullopt;
    }
    return value.asUInt();
}

std::optional<target_announcement> parseAnnouncement(const Json::Value &object)
{
    constexpr std::uint32_t MaxSlots{100'000};
    const auto slots = readCount(object, "slots", 1, MaxSlots);
    const auto connections = readCount(object, "connections", 1, MaxSlots);
    const auto port = readCount(object, "port", 1, std::numeric_limits<std::uint16_t>::max());
    if (!slots || !connections || !port || !object["service"].isString() || !object["address"].isString()) {
        return std::nullopt;
    }
    const auto address = object["address"].asString();
    boost::system::error_code error;
    boost::asio::ip::make_address(address, error);
    if (error || object["service"].asString().empty()) {
        return std::nullopt;
    }
    return target_announcement{.service = object["service"].asString(),
                               .address = {address, static_cast<std::uint16_t>(*port)},
                               .slots = *slots,
                               .connections = *connections};
}

Json::Value toJson(const node_status &status)
{
    Json::Value value;
    value["instance"] = status.instance;
    value["availability_zone"] = status.availabilityZone;
    value["service"] = status.service;
    value["state"] = std::string{toToken(status.state)};
    value["revision"] = static_cast<Json::UInt64>(status.revision);
    value["configuration"] = status.configuration;
    value["instances"] = static_cast<Json::UInt64>(status.instances);
    return value;
}

http_response acceptanceResponse(bool accepted)
{
    if (accepted) {
        return makeResponse(http::status::no_content, "application/json", {});
    }
    return errorResponse(http::status::service_unavailable, "the node is busy; send the message again in a second");
}

} // namespace

std::string_view toToken(instance_state state) noexcept
{
    switch (state) {
    case instance_state::Starting:
        return "starting";
    case instance_state::Ready:
        return "ready";
    case instance_state::Draining:
        return "draining";
    case instance_state::Gone:
        break;
    }
    return "gone";
}

admin_server::admin_server(boost::asio::io_context &context, admin_callbacks services, const metrics_registry &metrics)
    : m_services{std::move(services)}
    , m_metrics{metrics}
    , m_server{context,
               adminLimits(),
               [this](http_request request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                   co_return handleRequest(request);
               },
               [](refusal_kind) {}}
{ }

boost::system::error_code admin_server::listen(const endpoint &local)
{
    return m_server.listen(local);
}

void admin_server::close()
{
    m_server.closeIdleConnections();
}

http_response admin_server::handleRequest(const http_request &request) const
{
    const auto target = toStd(request.target());
    const auto path = target.substr(0, target.find('?'));
    if (request.method() == http::verb::get || request.method() == http::verb::head) {
        return handleGet(path);
    }
    if (request.method() == http::verb::post) {
        return handlePost(path, request.body());
    }
    return errorResponse(http::status::method_not_allowed, "use GET, or POST for /target/announce, /target/drain and /target/load");
}

http_response admin_server::handleGet(std::string_view path) const
{
    if (path == "/healthz") {
        return makeResponse(http::status::ok, "text/plain", "alive\n");
    }
    if (path == "/metrics") {
        return makeResponse(http::status::ok, "text/plain; version=0.0.4", m_metrics.toPrometheus());
    }
    const auto status = m_services.status();
    if (path == "/status") {
        return jsonResponse(http::status::ok, toJson(status));
    }
    if (path == "/readyz") {
        const bool ready = status.state == instance_state::Ready;
        return jsonResponse(ready ? http::status::ok : http::status::service_unavailable, toJson(status));
    }
    return errorResponse(http::status::not_found, "there are /healthz, /readyz, /metrics and /status");
}

http_response admin_server::handlePost(std::string_view path, const std::string &body) const
{
    if (path == "/target/drain") {
        return acceptanceResponse(m_services.drain());
    }
    const auto object = parseObject(body);
    if (path == "/target/announce") {
        const auto announcement = object ? parseAnnouncement(*object) : std::nullopt;
        if (!announcement) {
            return errorResponse(
                http::status::bad_request,
                "send a JSON object with service, address (IP number), port, slots and connections (whole numbers from 1)");
        }
        const auto error = m_services.announce(*announcement);
        if (error && error != announcement_errc::NodeBusy) {
            return errorResponse(http::status::conflict, error.message());
        }
        return acceptanceResponse(!error);
    }
    if (path == "/target/load") {
        const auto inFlight = object ? readCount(*object, "in_flight", 0, std::numeric_limits<std::uint32_t>::max()) : std::nullopt;
        const auto slots = object ? readCount(*object, "slots", 0, std::numeric_limits<std::uint32_t>::max()) : std::nullopt;
        if (!inFlight || !slots) {
            return errorResponse(http::status::bad_request, "send a JSON object with in_flight and slots (whole numbers)");
        }
        return acceptanceResponse(m_services.reportLoad({*inFlight, *slots}));
    }
    return errorResponse(http::status::not_found, "there are /target/announce, /target/drain and /target/load");
}

} // namespace ragwortpin
