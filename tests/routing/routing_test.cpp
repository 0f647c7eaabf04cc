#include "ragwortpin/routing/routing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>
#include <string>

using namespace ragwortpin;

namespace {

std::vector<instance_summary> instancesOf(std::size_t local, std::size_t remote)
{
    std::vector<instance_summary> instances;
    for (std::size_t index{0}; index < local + remote; ++index) {
        instances.push_back(instance_summary{"instance-" + std::to_string(index), index < local, false, 10});
    }
    return instances;
}

routing_state routingAfterSlowStart(std::size_t local, std::size_t remote, time_point &now)
{
    routing_state state;
    updateInstances(state, instancesOf(local, remote), now);
    now += state.options.slowStartDuration;
    return state;
}

/** Counts how often each instance is chosen, by name, without adding load for the choices. */
std::map<std::string, int> countChoices(const routing_state &state, time_point now, int draws)
{
    std::mt19937_64 random{7};
    std::map<std::string, int> counts;
    for (int draw{0}; draw < draws; ++draw) {
        counts[state.instances[*chooseInstance(state, {}, now, random)].summary.name] += 1;
    }
    return counts;
}

void reportLoad(routing_state &state, const std::string &name, double load, time_point now)
{
    observeReport(state, *findInstance(state, name), load_report{load}, duration{0}, now);
}

} // namespace

TEST_CASE("local instances are chosen until remote ones have a clearly lower load")
{
    time_point now{};
    routing_state state{routingAfterSlowStart(2, 2, now)};
    CHECK(countChoices(state, now, 100).count("instance-2") == 0);
    reportLoad(state, "instance-0", 1.5, now);
    reportLoad(state, "instance-1", 1.5, now);
    const auto spilled = countChoices(state, now, 100);
    CHECK(spilled.count("instance-0") + spilled.count("instance-1") == 0);
    reportLoad(state, "instance-2", 1.45, now);
    reportLoad(state, "instance-3", 1.45, now);
    CHECK(countChoices(state, now, 100).count("instance-2") == 0);
    CHECK(countChoices(state, now + state.options.reportLifetime, 100).count("instance-2") == 0);
}

TEST_CASE("measured overload refusals outweigh a low load report")
{
    time_point now{};
    routing_state state{routingAfterSlowStart(2, 0, now)};
    const auto refusing = *findInstance(state, "instance-0");
    for (int attempt{0}; attempt < 10; ++attempt) {
        beginAttempt(state, refusing, now);
        observeAttempt(state, refusing, attempt_result{attempt_kind::Overloaded, {}, load_report{0.0}}, now);
    }
    reportLoad(state, "instance-1", 0.8, now);
    const auto counts = countChoices(state, now, 100);
    CHECK(counts.at("instance-1") > 60);
    CHECK(estimatedLoad(state, state.instances[refusing], now) > 1.0);
}

TEST_CASE("instances that are leaving or were already tried are not chosen")
{
    time_point now{};
    routing_state state{routingAfterSlowStart(3, 0, now)};
    const auto leaving = *findInstance(state, "instance-1");
    beginAttempt(state, leaving, now);
    observeAttempt(state, leaving, attempt_result{attempt_kind::NotServing, {}, {}}, now);
    CHECK(countChoices(state, now, 100).count("instance-1") == 0);
    std::mt19937_64 random{1};
    const std::size_t tried[]{0, 2};
    CHECK_FALSE(chooseInstance(state, tried, now, random).has_value());
    const std::size_t one[]{0};
    CHECK(chooseInstance(state, one, now, random) == std::size_t{2});
}

TEST_CASE("an instance that was not ready once is chosen again without a change of the membership")
{
    time_point now{};
    routing_state state{routingAfterSlowStart(1, 0, now)};
    beginAttempt(state, 0, now);
    observeAttempt(state, 0, attempt_result{attempt_kind::NotServing, {}, {}}, now);
    std::mt19937_64 random{1};
    now += state.options.notServingTime - milliseconds{1};
    CHECK_FALSE(chooseInstance(state, {}, now, random).has_value());
    now += milliseconds{1};
    CHECK(chooseInstance(state, {}, now, random) == std::size_t{0});
}

TEST_CASE("an instance that accepts requests and never responds is not chosen")
{
    time_point now{};
    routing_state state{routingAfterSlowStart(2, 0, now)};
    beginAttempt(state, 0, now);
    beginAttempt(state, 0, now);
    now += state.options.minStallTime + milliseconds{1};
    CHECK(countChoices(state, now, 100).count("instance-0") == 0);
}

TEST_CASE("at most half of the instances are ejected and some instance can always be chosen")
{
    rc::prop("arbitrary results at arbitrary instances", [] {
        time_point now{};
        const auto size = *rc::gen::inRange<std::size_t>(1, 9);
        routing_state state{routingAfterSlowStart(size, 0, now)};
        std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
        const auto kinds = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 12U));
        for (const unsigned drawn : kinds) {
            now += milliseconds{10};
            const std::size_t index{random() % size};
            const auto kind = drawn < 6 ? static_cast<attempt_kind>(drawn) : attempt_kind::TimedOut;
            const bool leaves{kind == attempt_kind::NotServing};
            beginAttempt(state, index, now);
            observeAttempt(state, index, attempt_result{leaves ? attempt_kind::Failed : kind, milliseconds{drawn * 50}, {}}, now);
            const auto ejected = std::count_if(state.instances.begin(), state.instances.end(), [&](const auto &instance) {
                return isEjected(instance, now);
            });
            RC_ASSERT(static_cast<std::size_t>(ejected) <= size / 2);
            RC_ASSERT(state.instances[index].inFlight == 0U);
            RC_ASSERT(chooseInstance(state, {}, now, random).has_value());
        }
    });
}

TEST_CASE("membership changes keep the measurements of remaining instances")
{
    rc::prop("instances are added and removed", [] {
        routing_state state;
        time_point now{};
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 12));
        std::map<std::string, std::uint32_t> inFlight;
        for (const std::size_t size : sizes) {
            now += milliseconds{100};
            updateInstances(state, instancesOf(size, 0), now);
            std::erase_if(inFlight, [&](const auto &entry) {
                return !findInstance(state, entry.first);
            });
            const std::string name{"instance-" + std::to_string(size - 1)};
            beginAttempt(state, *findInstance(state, name), now);
            inFlight[name] += 1;
            for (const auto &[known, count] : inFlight) {
                RC_ASSERT(state.instances[*findInstance(state, known)].inFlight == count);
            }
        }
    });
}
