#include "ragwortpin/config/check.h"
#include "ragwortpin/config/diff.h"
#include "ragwortpin/config/lookup.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/identity/digest.h"

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr int Rounds{5};
constexpr std::size_t Lookups{200'000};
constexpr std::size_t Services{35};
constexpr std::size_t RoutesPerService{10};
constexpr std::size_t KeysPerWorkspace{5};
constexpr std::size_t AvailabilityZones{8};

/** Returns a configuration of the size that ragwortpin is designed for, with the given number of workspaces. */
configuration makeConfiguration(std::size_t workspaces)
{
    configuration value;
    value.importances = {{"browsing", 1}, {"purchase", 0}};
    for (std::size_t index{0}; index < AvailabilityZones; ++index) {
        value.availabilityZones.push_back({"zone-" + std::to_string(index), "region", 1.0 / AvailabilityZones});
    }
    for (std::size_t index{0}; index < Services; ++index) {
        const auto name = "service-" + std::to_string(index);
        value.services.push_back({name, 0.1});
        for (std::size_t position{0}; position < RoutesPerService; ++position) {
            const auto suffix = std::to_string(index) + "-" + std::to_string(position);
            value.routes.push_back({.name = "route-" + suffix,
                                    .method = "GET",
                                    .path = "/service/" + std::to_string(index) + "/" + std::to_string(position),
                                    .service = name,
                                    .importance = "browsing"});
        }
    }
    for (std::size_t index{0}; index < workspaces; ++index) {
        const auto name = "workspace-" + std::to_string(index);
        value.workspaces.push_back({name, 100.0, 200.0, 1.0});
        for (std::size_t key{0}; key < KeysPerWorkspace; ++key) {
            const auto keyName = name + "-key-" + std::to_string(key);
            value.keys.push_back({keyName, name, sha256Hex(keyName)});
        }
    }
    sortObjects(value);
    return value;
}

/** Returns the shortest time of all rounds, in milliseconds. */
double measureMilliseconds(const std::function<void()> &work)
{
    double best{1e9};
    for (int round{0}; round < Rounds; ++round) {
        const auto start = monotonicNow();
        work();
        best = std::min(best, toSeconds(monotonicNow() - start) * 1e3);
    }
    return best;
}

/**
 * Returns the time of one lookup in nanoseconds, or -1 if a lookup failed. The results are summed up and checked so that the compiler
 * cannot remove the lookups.
 */
double measureLookupNanoseconds(const std::function<std::size_t(std::size_t)> &lookup)
{
    std::size_t found{0};
    const auto time = measureMilliseconds([&] {
        for (std::size_t index{0}; index < Lookups; ++index) {
            found += lookup(index);
        }
    });
    return found == Lookups * Rounds ? time * 1e6 / static_cast<double>(Lookups) : -1.0;
}

void printResults(std::size_t workspaces)
{
    const auto value = makeConfiguration(workspaces);
    const auto yaml = toYaml(value);
    const auto bytes = encodeConfiguration(value);
    const auto index = buildIndex(value);
    auto changed = value;
    changed.keys.pop_back();
    changed.revision = 1;
    std::error_code error;
    const auto parse = measureMilliseconds([&] {
        static_cast<void>(parseConfiguration({{"bench", yaml}}));
    });
    const auto check = measureMilliseconds([&] {
        static_cast<void>(checkConfiguration(value));
    });
    const auto decode = measureMilliseconds([&] {
        static_cast<void>(decodeConfiguration(bytes, error));
    });
    const auto build = measureMilliseconds([&] {
        static_cast<void>(buildIndex(value));
    });
    const auto apply = measureMilliseconds([&] {
        static_cast<void>(applyChange(value, makeChange(value, changed)));
    });
    const auto route = measureLookupNanoseconds([&](std::size_t round) {
        const auto &expectedRoute = value.routes[round % value.routes.size()];
        return findRoute(*index, "", "GET", expectedRoute.path + "/item") ? 1U : 0U;
    });
    const auto key = measureLookupNanoseconds([&](std::size_t round) {
        return findKey(*index, value.keys[round % value.keys.size()].sha256) != nullptr ? 1U : 0U;
    });
    std::printf("%10zu %8zu %10zu %10zu %8zu %9.2f %9.2f %9.2f %9.2f %9.2f %9.0f %9.0f\n",
                workspaces,
                value.keys.size(),
                yaml.size(),
                bytes.size(),
                encodeChange(makeChange(value, changed)).size(),
                parse,
                check,
                decode,
                build,
                apply,
                route,
                key);
}

} // namespace

int main()
{
    std::printf("%10s %8s %10s %10s %8s %9s %9s %9s %9s %9s %9s %9s\n",
                "workspaces",
                "keys",
                "yaml B",
                "encoded B",
                "change B",
                "parse ms",
                "check ms",
                "decode ms",
                "index ms",
                "apply ms",
                "route ns",
                "key ns");
    for (const std::size_t workspaces : {8, 100, 500, 1000}) {
        printResults(workspaces);
    }
}
