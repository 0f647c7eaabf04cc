#include "standins/support/daemon.h"
#include "standins/support/http_server.h"
#include "standins/support/node_link.h"
#include "standins/support/options.h"
#include "standins/support/target_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iostream>
#include <memory>

namespace {

namespace asio = boost::asio;
using namespace ragwortpin;
using namespace ragwortpin::standins;

constexpr program_summary Program{
    "ragwortpin-target-standin",
    "Stand-in for a target: serves requests with simulated service times and announces itself to the node of its instance."};

/** Upper limit of options in milliseconds: one hour. */
constexpr double MaxMilliseconds{3'600'000};

/** Upper limit of options that are counts or factors. */
constexpr double MaxCount{1'000'000};

/** Interval at which a draining target checks whether it is idle. */
constexpr milliseconds DrainPollInterval{50};

struct command_line
{
    target_settings target;
    std::optional<endpoint> listen;
    std::optional<endpoint> nodeAdmin;
    std::size_t maxConnections{300};
    std::int64_t serviceTimeMs{10};
    std::int64_t coldStartMs{0};
    std::int64_t loadReportDelayMs{0};
    std::int64_t drainIdleMs{500};
    std::int64_t drainTimeoutMs{10'000};
    std::size_t loadOverride{0};
    bool overridesLoad{false};
};

std::error_code parseDownstream(const std::string &text, std::vector<downstream_call> &calls)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0 || text.substr(colon + 1, 1) != "/") {
        return option_errc::NotAMethodAndPath;
    }
    calls.push_back({text.substr(0, colon), text.substr(colon + 1)});
    return {};
}

std::error_code parseDistribution(const std::string &text, service_time_distribution &distribution)
{
    if (text != "exponential" && text != "fixed") {
        return option_errc::UnknownValue;
    }
    distribution = text == "fixed" ? service_time_distribution::Fixed : service_time_distribution::Exponential;
    return {};
}

std::vector<option_definition> makeServiceOptions(command_line &line)
{
    auto &target = line.target;
    return {
        textOption("service", "NAME", "name of the service that this target provides; required", target.service),
        numberOption("slots", "N", "number of requests run concurrently (35)", 1, MaxCount, target.slots),
        numberOption("connections",
                     "N",
                     "maximum number of open connections; further ones are closed immediately (300)",
                     1,
                     MaxCount,
                     line.maxConnections),
        numberOption("service-time-ms", "X", "mean service time (10)", 0, MaxMilliseconds, line.serviceTimeMs),
        {"service-time-law",
         "WORD",
         "distribution of the service time: exponential or fixed (exponential)",
         [&target](const std::string &text) {
             return parseDistribution(text, target.distribution);
         }},
        numberOption("seed", "N", "random seed of the service times (1)", 0, 1e15, target.seed),
        numberOption(
            "cold-start-ms", "X", "time after the start during which --cold-factor applies (0)", 0, MaxMilliseconds, line.coldStartMs),
        numberOption("cold-factor", "F", "multiplier of the service time during the cold start (1)", 0, MaxCount, target.coldFactor),
        numberOption("answer-bytes", "N", "size of a response body (256)", 0, MaxCount, target.responseBytes),
        {"downstream",
         "METHOD:PATH",
         "downstream call made through --egress for each request; may be repeated",
         [&target](const std::string &text) {
             return parseDownstream(text, target.downstream);
         }},
        endpointOption("egress", "egress listener of the node of this instance", target.egress),
    };
}

std::vector<option_definition> makeOptions(command_line &line)
{
    auto options = makeServiceOptions(line);
    options.push_back(endpointOption("listen", "address to listen on; required", line.listen));
    options.push_back(endpointOption("node-admin", "admin listener of the node that the target is announced to", line.nodeAdmin));
    options.push_back(numberOption(
        "load-lag-ms", "X", "delay with which the load is reported to the node (0)", 0, MaxMilliseconds, line.loadReportDelayMs));
    auto overrideOption = numberOption(
        "load-lie", "N", "load to report instead of the actual number of requests in flight", 0, MaxCount, line.loadOverride);
    overrideOption.apply = [&line, storeValue = overrideOption.apply](const std::string &text) {
        line.overridesLoad = true;
        return storeValue(text);
    };
    options.push_back(std::move(overrideOption));
    options.push_back(
        numberOption("drain-idle-ms", "X", "idle time after which a draining target exits (500)", 0, MaxMilliseconds, line.drainIdleMs));
    options.push_back(numberOption("drain-limit-ms",
                                   "X",
                                   "maximum time from the stop signal until the target exits (10000)",
                                   0,
                                   MaxMilliseconds,
                                   line.drainTimeoutMs));
    return options;
}

/** Returns an error message for the first required option that is missing, or null if none is. */
const char *findMissingOption(const command_line &line)
{
    if (!line.listen) {
        return "--listen is missing; specify an address, for example --listen=127.0.0.1:9100";
    }
    if (line.target.service.empty()) {
        return "--service is missing; specify the name of the service that the target provides";
    }
    if (!line.target.downstream.empty() && !line.target.egress) {
        return "--downstream requires --egress; specify the egress listener of the node of this instance";
    }
    return nullptr;
}

node_link_settings makeLinkSettings(const command_line &line)
{
    node_link_settings settings{*line.nodeAdmin,
                                line.target.service,
                                line.target.slots,
                                line.maxConnections,
                                *line.listen,
                                milliseconds{line.loadReportDelayMs},
                                {}};
    if (line.overridesLoad) {
        settings.loadOverride = line.loadOverride;
    }
    return settings;
}

/**
 * Asks the node to drain the target, waits until no request has been in flight for the idle time or until the drain limit has
 * passed, and stops the io_context. Without a link there is no node to ask.
 */
asio::awaitable<void> drainAndStop(asio::io_context &context, const command_line &line, target_service &service, node_link *link)
{
    logInfo(line.target.service + " starts draining, requests in flight: " + std::to_string(service.inFlight()));
    const auto deadline = monotonicNow() + milliseconds{line.drainTimeoutMs};
    if (link != nullptr) {
        const bool confirmed = co_await link->drain();
        logInfo(confirmed ? "node confirmed the drain" : "node did not confirm the drain; it may still send requests");
    }
    asio::steady_timer timer{context};
    auto idleSince = monotonicNow();
    while (monotonicNow() < deadline && monotonicNow() < idleSince + milliseconds{line.drainIdleMs}) {
        timer.expires_after(DrainPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
        idleSince = service.inFlight() > 0 ? monotonicNow() : idleSince;
    }
    logInfo(line.target.service + " stopped, requests in flight: " + std::to_string(service.inFlight()));
    context.stop();
}

int run(const command_line &line)
{
    startLogging();
    asio::io_context context{1};
    target_service service{context, line.target};
    http_server server{context, {*line.listen, line.maxConnections}, [&service](http_request request, exchange_pointer current) {
                           return service.handle(std::move(request), std::move(current));
                       }};
    std::unique_ptr<node_link> link;
    if (line.nodeAdmin) {
        link = std::make_unique<node_link>(context, makeLinkSettings(line), [&service] {
            return service.inFlight();
        });
        link->start();
    }
    server.start();
    logInfo(line.target.service + " target listens on " + toText(*line.listen));
    runUntilStopped(context, [&] {
        asio::co_spawn(context, drainAndStop(context, line, service, link.get()), asio::detached);
    });
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    command_line line;
    if (const auto status = parseOptions(Program, makeOptions(line), {argv, static_cast<std::size_t>(argc)})) {
        return *status;
    }
    if (const auto *missing = findMissingOption(line)) {
        return rejectUsage(Program, missing);
    }
    line.target.serviceTime = milliseconds{line.serviceTimeMs};
    line.target.coldStart = milliseconds{line.coldStartMs};
    try {
        return run(line);
    } catch (const std::exception &error) {
        std::cerr << Program.name << ": " << error.what() << "; choose a free address with --listen\n";
        return 1;
    }
}
