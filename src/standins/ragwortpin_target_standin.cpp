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

constexpr program_summary Program{"ragwortpin-target-standin",
                                  "Stand-in for a target: answers requests and announces itself to the node beside it."};

/** Largest value of an option that counts milliseconds. */
constexpr double MaxMilliseconds{3'600'000};

/** Largest value of an option that counts things. */
constexpr double MaxCount{1'000'000};

/** Period at which a leaving target looks whether it is idle. */
constexpr milliseconds DrainCheckPeriod{50};

struct command_line
{
    target_settings target;
    std::optional<endpoint> listen;
    std::optional<endpoint> nodeAdmin;
    std::size_t connections{300};
    std::int64_t serviceTimeMs{10};
    std::int64_t coldStartMs{0};
    std::int64_t loadLagMs{0};
    std::int64_t drainIdleMs{500};
    std::int64_t drainLimitMs{10'000};
    std::size_t loadLie{0};
    bool lies{false};
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

std::error_code parseLaw(const std::string &text, service_time_law &law)
{
    if (text != "exponential" && text != "fixed") {
        return option_errc::UnknownWord;
    }
    law = text == "fixed" ? service_time_law::Fixed : service_time_law::Exponential;
    return {};
}

std::vector<option_row> makeWorkRows(command_line &line)
{
    auto &target = line.target;
    return {
        textOption("service", "NAME", "service that the target belongs to; required", target.service),
        numberOption("slots", "N", "requests run at once (35)", 1, MaxCount, target.slots),
        numberOption("connections", "N", "connections beyond this number are closed at once (300)", 1, MaxCount, line.connections),
        numberOption("service-time-ms", "X", "mean service time (10)", 0, MaxMilliseconds, line.serviceTimeMs),
        {"service-time-law",
         "WORD",
         "exponential or fixed (exponential)",
         [&target](const std::string &text) {
             return parseLaw(text, target.law);
         }},
        numberOption("seed", "N", "seed of the service times (1)", 0, 1e15, target.seed),
        numberOption("cold-start-ms", "X", "time after the start with longer service times (0)", 0, MaxMilliseconds, line.coldStartMs),
        numberOption("cold-factor", "F", "factor on the service time during the cold start (1)", 0, MaxCount, target.coldFactor),
        numberOption("answer-bytes", "N", "size of an answer's body (256)", 0, MaxCount, target.answerBytes),
        {"downstream",
         "METHOD:PATH",
         "call made through --egress for each request; may be repeated",
         [&target](const std::string &text) {
             return parseDownstream(text, target.downstream);
         }},
        endpointOption("egress", "egress listener of the target's node", target.egress),
    };
}

std::vector<option_row> makeRows(command_line &line)
{
    auto rows = makeWorkRows(line);
    rows.push_back(endpointOption("listen", "address to listen on; required", line.listen));
    rows.push_back(endpointOption("node-admin", "admin listener of the node to announce to", line.nodeAdmin));
    rows.push_back(numberOption("load-lag-ms", "X", "age of the reported load (0)", 0, MaxMilliseconds, line.loadLagMs));
    auto lie = numberOption("load-lie", "N", "load to report in place of the true one", 0, MaxCount, line.loadLie);
    lie.apply = [&line, store = lie.apply](const std::string &text) {
        line.lies = true;
        return store(text);
    };
    rows.push_back(std::move(lie));
    rows.push_back(
        numberOption("drain-idle-ms", "X", "idle time after which a leaving target exits (500)", 0, MaxMilliseconds, line.drainIdleMs));
    rows.push_back(numberOption(
        "drain-limit-ms", "X", "time after which a leaving target exits at the latest (10000)", 0, MaxMilliseconds, line.drainLimitMs));
    return rows;
}

/** Returns what is missing on the command line, or null. */
const char *findMissing(const command_line &line)
{
    if (!line.listen) {
        return "--listen is missing; give for example --listen=127.0.0.1:9100";
    }
    if (line.target.service.empty()) {
        return "--service is missing; give the name of the target's service";
    }
    if (!line.target.downstream.empty() && !line.target.egress) {
        return "--downstream needs --egress; give the egress listener of the target's node";
    }
    return nullptr;
}

node_link_settings makeLinkSettings(const command_line &line)
{
    node_link_settings settings{
        *line.nodeAdmin, line.target.service, line.target.slots, line.connections, *line.listen, milliseconds{line.loadLagMs}, {}};
    if (line.lies) {
        settings.loadLie = line.loadLie;
    }
    return settings;
}

/** Tells the node, waits until the target has been idle for a while or the limit has passed, and stops. */
asio::awaitable<void> leave(asio::io_context &context, const command_line &line, target_service &service, node_link *link)
{
    logChange(line.target.service + " leaves, in flight: " + std::to_string(service.inFlight()));
    const auto limit = monotonicNow() + milliseconds{line.drainLimitMs};
    if (link != nullptr) {
        const bool confirmed = co_await link->drain();
        logChange(confirmed ? "node confirmed the drain" : "node did not confirm the drain");
    }
    asio::steady_timer timer{context};
    auto idleSince = monotonicNow();
    while (monotonicNow() < limit && monotonicNow() < idleSince + milliseconds{line.drainIdleMs}) {
        timer.expires_after(DrainCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        idleSince = service.inFlight() > 0 ? monotonicNow() : idleSince;
    }
    logChange(line.target.service + " stopped, in flight: " + std::to_string(service.inFlight()));
    context.stop();
}

int run(const command_line &line)
{
    startLogging();
    asio::io_context context{1};
    target_service service{context, line.target};
    http_server server{context, {*line.listen, line.connections}, [&service](http_request request, exchange_pointer current) {
                           return service.answer(std::move(request), std::move(current));
                       }};
    std::unique_ptr<node_link> link;
    if (line.nodeAdmin) {
        link = std::make_unique<node_link>(context, makeLinkSettings(line), [&service] {
            return service.inFlight();
        });
        link->start();
    }
    server.start();
    logChange(line.target.service + " target listens on " + toText(*line.listen));
    runUntilStopped(context, [&] {
        asio::co_spawn(context, leave(context, line, service, link.get()), asio::detached);
    });
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    command_line line;
    if (const auto status = parseOptions(Program, makeRows(line), {argv, static_cast<std::size_t>(argc)})) {
        return *status;
    }
    if (const auto *missing = findMissing(line)) {
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
