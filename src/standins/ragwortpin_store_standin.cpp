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
                                  "Stand-in for the platform's key-value service, over the etcd v3 JSON gateway."};

/** Period at which leases are checked. */
constexpr milliseconds LeaseCheckPeriod{100};

/** Time after which a hanging call looks again whether the outage has ended. */
constexpr milliseconds HangCheckPeriod{50};

/** Time after which an idle watch looks for events. */
constexpr milliseconds WatchCheckPeriod{20};

struct store_daemon
{
    store_state state;
    store_faults faults;
    std::array<std::uint64_t, StoreCallKinds> calls{};
    std::uint64_t callsTotal{0};
};

reply noAnswer()
{
    reply answer;
    answer.closeWithoutAnswer = true;
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

reply answerFaults(store_daemon &daemon, const std::string &body)
{
    const auto order = parseStoreFaults(daemon.faults, body);
    if (!order) {
        return badRequest("send JSON with outage (none, refuse, hang), delay_ms, lose_next_answers or expire_leases\n");
    }
    daemon.faults = order->faults;
    if (order->expireLeases) {
        logChange("expired leases: " + std::to_string(expireAllLeases(daemon.state)));
    }
    logChange("faults: " + body);
    reply answer;
    answer.body = "{}";
    return answer;
}

reply answerStats(const store_daemon &daemon)
{
    Json::Value stats{Json::objectValue};
    for (std::size_t index{0}; index < StoreCallKinds; ++index) {
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

asio::awaitable<void> streamEvents(store_daemon &daemon, watch_request request, send_piece send, exchange_pointer current)
{
    auto next = request.startRevision > 0 ? request.startRevision : daemon.state.revision + 1;
    const auto created = watchCreated(daemon.state);
    bool open = co_await send(created);
    while (open && !current->cancelled && daemon.faults.outage == store_outage::None) {
        const auto events = watchEvents(daemon.state, request.range, next);
        next = std::max(next, daemon.state.revision + 1);
        if (!events.empty()) {
            open = co_await send(events);
        }
        co_await waitFor(WatchCheckPeriod, current);
    }
}

reply answerWatch(store_daemon &daemon, const std::string &body)
{
    const auto request = parseWatch(body);
    if (!request) {
        return badRequest("send a create_request with a base64 key\n");
    }
    reply answer;
    answer.stream = [&daemon, request = *request](send_piece send, exchange_pointer current) {
        return streamEvents(daemon, request, std::move(send), std::move(current));
    };
    return answer;
}

/** Waits out the delay and an outage. False when the call must take no effect. */
asio::awaitable<bool> passFaults(store_daemon &daemon, exchange_pointer current)
{
    if (daemon.faults.outage == store_outage::Refuse) {
        co_return false;
    }
    if (daemon.faults.outage == store_outage::Hang) {
        while (daemon.faults.outage == store_outage::Hang && !current->cancelled) {
            co_await waitFor(HangCheckPeriod, current);
        }
        co_return false;
    }
    if (daemon.faults.delay > milliseconds::zero()) {
        co_await waitFor(daemon.faults.delay, current);
    }
    co_return true;
}

asio::awaitable<reply> answerStoreCall(store_daemon &daemon, store_call_kind kind, std::string body, exchange_pointer current)
{
    ++daemon.callsTotal;
    ++daemon.calls[static_cast<std::size_t>(kind)];
    const bool performed = co_await passFaults(daemon, current);
    if (!performed) {
        co_return noAnswer();
    }
    if (kind == store_call_kind::Watch) {
        co_return answerWatch(daemon, body);
    }
    expireLeases(daemon.state, monotonicNow());
    auto done = answerCall(daemon.state, kind, body, monotonicNow());
    if (daemon.faults.loseNextAnswers > 0) {
        --daemon.faults.loseNextAnswers;
        co_return noAnswer();
    }
    reply answer;
    answer.status = done.status;
    answer.body = std::move(done.body);
    co_return answer;
}

asio::awaitable<reply> answerRequest(store_daemon &daemon, http_request request, exchange_pointer current)
{
    const std::string path{request.target()};
    if (path == "/standin/faults") {
        co_return answerFaults(daemon, request.body());
    }
    if (path == "/standin/stats") {
        co_return answerStats(daemon);
    }
    if (const auto kind = parseCallKind(path)) {
        reply answer = co_await answerStoreCall(daemon, *kind, std::move(request.body()), std::move(current));
        co_return answer;
    }
    reply answer
        = badRequest("unknown path; the calls are /v3/kv/{range,put,txn,deleterange}, /v3/lease/{grant,keepalive,revoke}, /v3/watch\n");
    answer.status = 404;
    co_return answer;
}

asio::awaitable<void> checkLeases(store_daemon &daemon)
{
    asio::steady_timer timer{co_await asio::this_coro::executor};
    for (;;) {
        timer.expires_after(LeaseCheckPeriod);
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
                           return answerRequest(daemon, std::move(request), std::move(current));
                       }};
    server.start();
    asio::co_spawn(context, checkLeases(daemon), asio::detached);
    logChange("store stand-in listens on " + toText(listen));
    runUntilStopped(context, [&context] {
        context.stop();
    });
    logChange("store stand-in stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::optional<endpoint> listen;
    const std::vector<option_row> rows{endpointOption("listen", "address to listen on; required", listen)};
    if (const auto status = parseOptions(Program, rows, {argv, static_cast<std::size_t>(argc)})) {
        return *status;
    }
    if (!listen) {
        return rejectUsage(Program, "--listen is missing; give for example --listen=127.0.0.1:7000");
    }
    try {
        return run(*listen);
    } catch (const std::exception &error) {
        std::cerr << Program.name << ": " << error.what() << "; choose a free address with --listen\n";
        return 1;
    }
}
