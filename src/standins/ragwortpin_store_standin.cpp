#include "standins/support/daemon.h"
#include "standins/support/http_server.h"
#include "standins/support/json.h"
#include "standins/support/options.h"
#include "standins/support/slot_pool.h"
#include "standins/support/store_faults.h"
#include "standins/support/store_gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <iostream>

namespace {

namespace asio = boost::asio;
using namespace ragwortpin;
using namespace ragwortpin::standins;

constexpr program_summary Program{"ragwortpin-store-standin",
                                  "In-memory stand-in for the platform's key-value service that serves the etcd v3 JSON gateway API."};

/** Interval between checks for expired leases. */
constexpr milliseconds LeaseCheckInterval{100};

/** Interval at which a call that hangs during an outage checks whether the outage has ended. */
constexpr milliseconds OutagePollInterval{50};

/** Interval at which a watch checks for new events. */
constexpr milliseconds WatchPollInterval{20};

struct store_daemon
{
    store_state state;
    store_faults faults;
    std::array<std::uint64_t, StoreCallKindCount> calls{};
    std::uint64_t callsTotal{0};
};

reply makeUnansweredReply()
{
    reply answer;
    answer.closeWithoutResponse = true;
    return answer;
}

reply badRequest(const char *message)
{
    reply answer;
    answer.status = 400;
    answer.contentType = "text/plain";
    answer.body = message;
    return answer;
}

reply handleFaults(store_daemon &daemon, const std::string &body)
{
    const auto update = parseStoreFaults(daemon.faults, body);
    if (!update) {
        return badRequest(
            "invalid fault settings; send a JSON object with any of outage (none, refuse, hang), delay_ms, lose_next_answers, "
            "expire_leases\n");
    }
    daemon.faults = update->faults;
    if (update->expireLeases) {
        logInfo("leases expired on request: " + std::to_string(expireAllLeases(daemon.state)));
    }
    logInfo("fault settings changed: " + body);
    reply answer;
    answer.body = "{}";
    return answer;
}

reply handleStats(const store_daemon &daemon)
{
    Json::Value stats{Json::objectValue};
    for (std::size_t index{0}; index < StoreCallKindCount; ++index) {
        const auto token = std::string{toToken(static_cast<store_call_kind>(index))};
        stats["calls"][token] = static_cast<Json::UInt64>(daemon.calls[index]);
    }
    stats["calls_total"] = static_cast<Json::UInt64>(daemon.callsTotal);
    stats["revision"] = static_cast<Json::Int64>(daemon.state.revision);
    stats["keys"] = static_cast<Json::UInt64>(daemon.state.values.size());
    stats["leases"] = static_cast<Json::UInt64>(daemon.state.leases.size());
    reply answer;
    answer.body = writeJson(stats);
    return answer;
}

asio::awaitable<void> streamEvents(store_daemon &daemon, watch_request request, chunk_sender sendChunk, exchange_pointer current)
{
    auto next = request.startRevision > 0 ? request.startRevision : daemon.state.revision + 1;
    const auto created = makeWatchCreatedLine(daemon.state);
    bool open = co_await sendChunk(created);
    while (open && !current->cancelled && daemon.faults.outage == store_outage::None) {
        const auto events = makeWatchEventsLine(daemon.state, request.range, next);
        next = std::max(next, daemon.state.revision + 1);
        if (!events.empty()) {
            open = co_await sendChunk(events);
        }
        co_await waitFor(WatchPollInterval, current);
    }
}

reply handleWatch(store_daemon &daemon, const std::string &body)
{
    const auto request = parseWatch(body);
    if (!request) {
        return badRequest("invalid watch request; send a create_request object with a base64-encoded key\n");
    }
    reply answer;
    answer.stream = [&daemon, request = *request](chunk_sender sendChunk, exchange_pointer current) {
        return streamEvents(daemon, request, std::move(sendChunk), std::move(current));
    };
    return answer;
}

/**
 * Applies the configured outage or delay to a call. Returns false when the call must not be performed: at once during a Refuse
 * outage, and after the end of a Hang outage or the cancellation of the exchange.
 */
asio::awaitable<bool> applyFaults(store_daemon &daemon, exchange_pointer current)
{
    if (daemon.faults.outage == store_outage::Refuse) {
        co_return false;
    }
    if (daemon.faults.outage == store_outage::Hang) {
        while (daemon.faults.outage == store_outage::Hang && !current->cancelled) {
            co_await waitFor(OutagePollInterval, current);
        }
        co_return false;
    }
    if (daemon.faults.delay > milliseconds::zero()) {
        co_await waitFor(daemon.faults.delay, current);
    }
    co_return true;
}

asio::awaitable<reply> handleStoreCall(store_daemon &daemon, store_call_kind kind, std::string body, exchange_pointer current)
{
    ++daemon.callsTotal;
    ++daemon.calls[static_cast<std::size_t>(kind)];
    const bool shouldPerform = co_await applyFaults(daemon, current);
    if (!shouldPerform) {
        co_return makeUnansweredReply();
    }
    if (kind == store_call_kind::Watch) {
        co_return handleWatch(daemon, body);
    }
    expireLeases(daemon.state, monotonicNow());
    auto response = handleCall(daemon.state, kind, body, monotonicNow());
    if (daemon.faults.dropNextResponses > 0) {
        --daemon.faults.dropNextResponses;
        co_return makeUnansweredReply();
    }
    reply answer;
    answer.status = response.status;
    answer.body = std::move(response.body);
    co_return answer;
}

asio::awaitable<reply> handleRequest(store_daemon &daemon, http_request request, exchange_pointer current)
{
    const std::string path{request.target()};
    if (path == "/standin/faults") {
        co_return handleFaults(daemon, request.body());
    }
    if (path == "/standin/stats") {
        co_return handleStats(daemon);
    }
    if (const auto kind = parseCallKind(path)) {
        reply answer = co_await handleStoreCall(daemon, *kind, std::move(request.body()), std::move(current));
        co_return answer;
    }
    reply answer
        = badRequest("unknown path; use one of /v3/kv/{range,put,txn,deleterange}, /v3/lease/{grant,keepalive,revoke}, /v3/watch\n");
    answer.status = 404;
    co_return answer;
}

asio::awaitable<void> expireLeasesPeriodically(store_daemon &daemon)
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    for (;;) {
        timer.expires_after(LeaseCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        expireLeases(daemon.state, monotonicNow());
    }
}

int run(const endpoint &listen)
{
    startLogging();
    store_daemon daemon;
    asio::io_context context{1};
    http_server server{context, {listen}, [&daemon](http_request request, exchange_pointer current) {
                           return handleRequest(daemon, std::move(request), std::move(current));
                       }};
    server.start();
    asio::co_spawn(context, expireLeasesPeriodically(daemon), asio::detached);
    logInfo("store stand-in listens on " + toText(listen));
    runUntilStopped(context, [&context] {
        context.stop();
    });
    logInfo("store stand-in stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::optional<endpoint> listen;
    const std::vector<option_definition> options{endpointOption("listen", "address to listen on; required", listen)};
    if (const auto status = parseOptions(Program, options, {argv, static_cast<std::size_t>(argc)})) {
        return *status;
    }
    if (!listen) {
        return rejectUsage(Program, "--listen is missing; specify an address, for example --listen=127.0.0.1:7000");
    }
    try {
        return run(*listen);
    } catch (const std::exception &error) {
        std::cerr << Program.name << ": " << error.what() << "; choose a free address with --listen\n";
        return 1;
    }
}
