#include "ragwortpin/node/shutdown.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr shutdown_settings Settings{.announcePeriod = seconds{2}, .finishTimeout = seconds{3}};
constexpr time_point Start{seconds{100}};

/** State of a node at a time after the start of the shutdown, and the expected step. */
struct shutdown_moment
{
    milliseconds at;
    remaining_work work;
    shutdown_step expected;
};

} // namespace

TEST_CASE("the time until the process is killed is left to requests that have begun")
{
    CHECK(divideGrace(seconds{6}) == shutdown_settings{milliseconds{2700}, milliseconds{2700}});
    CHECK(divideGrace(seconds{10}) == shutdown_settings{milliseconds{2700}, milliseconds{6300}});
    CHECK(divideGrace(seconds{2}) == shutdown_settings{milliseconds{900}, milliseconds{900}});
}

TEST_CASE("a shutdown answers what was received before it finishes")
{
    struct shutdown_case
    {
        std::string name;
        std::vector<shutdown_moment> moments;
    };
    const remaining_work nothing{};
    const remaining_work request{.requests = 1};
    const remaining_work unread{.unreadConnections = 1};
    const remaining_work rates{.holdsRates = true};
    const remaining_work departures{.holdsDepartures = true};
    const std::vector<shutdown_case> cases{
        {"idle node",
         {{milliseconds{1900}, nothing, shutdown_step::Wait},
          {milliseconds{2000}, nothing, shutdown_step::CloseListeners},
          {milliseconds{2000}, nothing, shutdown_step::CloseIdleConnections},
          {milliseconds{2100}, nothing, shutdown_step::Finish},
          {milliseconds{2200}, nothing, shutdown_step::Wait}}},
        {"request in flight",
         {{milliseconds{2000}, request, shutdown_step::Wait},
          {milliseconds{2500}, nothing, shutdown_step::CloseListeners},
          {milliseconds{2600}, request, shutdown_step::Wait},
          {milliseconds{2700}, nothing, shutdown_step::Finish}}},
        {"request received in part that arrives late",
         {{milliseconds{2000}, unread, shutdown_step::CloseListeners},
          {milliseconds{2100}, unread, shutdown_step::CloseIdleConnections},
          {milliseconds{2200}, request, shutdown_step::Wait},
          {milliseconds{2300}, nothing, shutdown_step::Finish}}},
        {"request received in part that never arrives",
         {{milliseconds{2000}, unread, shutdown_step::CloseListeners},
          {milliseconds{2900}, unread, shutdown_step::CloseIdleConnections},
          {milliseconds{3000}, unread, shutdown_step::Finish}}},
        {"rates not handed over",
         {{milliseconds{2000}, rates, shutdown_step::CloseListeners},
          {milliseconds{3500}, rates, shutdown_step::CloseIdleConnections},
          {milliseconds{3600}, nothing, shutdown_step::Finish}}},
        {"departures that are stored late",
         {{milliseconds{2000}, departures, shutdown_step::CloseListeners},
          {milliseconds{3500}, departures, shutdown_step::CloseIdleConnections},
          {milliseconds{3600}, nothing, shutdown_step::Finish}}},
        {"departures that cannot be stored",
         {{milliseconds{2000}, departures, shutdown_step::CloseListeners},
          {milliseconds{4900}, departures, shutdown_step::CloseIdleConnections},
          {milliseconds{5000}, departures, shutdown_step::Finish}}},
        {"request that does not end",
         {{milliseconds{4900}, request, shutdown_step::Wait}, {milliseconds{5000}, request, shutdown_step::Finish}}},
    };
    for (const auto &entry : cases) {
        shutdown_progress progress{.startedAt = Start};
        for (const auto &moment : entry.moments) {
            CAPTURE(entry.name, moment.at.count());
            CHECK(advanceShutdown(progress, moment.work, Settings, Start + moment.at) == moment.expected);
        }
    }
}

TEST_CASE("a node that was not asked to stop does not shut down")
{
    shutdown_progress progress;
    CHECK_FALSE(isAnnouncePeriodOver(progress, Settings, Start));
    CHECK(advanceShutdown(progress, {}, Settings, Start) == shutdown_step::Wait);
}
