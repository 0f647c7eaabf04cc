#ifndef RAGWORTPIN_TESTS_MEMBERSHIP_FLEET_GENERATORS_H
#define RAGWORTPIN_TESTS_MEMBERSHIP_FLEET_GENERATORS_H

#include "bench/fleet/faults.h"

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

/** Generates between one and `maxCount` faults of the given kinds. */
inline std::vector<ragwortpin::fleet_bench::fleet_fault> genFaults(std::vector<ragwortpin::fleet_bench::fleet_fault_kind> kinds,
                                                                   int maxCount)
{
    std::vector<ragwortpin::fleet_bench::fleet_fault> faults;
    const auto count = *rc::gen::inRange(1, maxCount + 1);
    for (int index{0}; index < count; ++index) {
        const auto kind = *rc::gen::elementOf(kinds);
        const auto subject = *rc::gen::inRange<std::uint8_t>(0, 16);
        const auto tenths = *rc::gen::inRange<std::uint8_t>(0, 100);
        faults.push_back({kind, subject, tenths});
    }
    return faults;
}

/** Generates options for a small fleet with drifting clocks, on a network that loses, duplicates, delays and reorders datagrams. */
inline ragwortpin::fleet_bench::fleet_options genFleet(std::size_t nodes, std::size_t zones)
{
    ragwortpin::fleet_bench::fleet_options options;
    options.nodes = nodes;
    options.zones = zones;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    options.loss = *rc::gen::inRange(0, 21) / 100.0;
    options.duplication = *rc::gen::inRange(0, 21) / 100.0;
    options.maxDelay = ragwortpin::milliseconds{*rc::gen::inRange(2, 80)};
    options.clockDrift = 0.02;
    options.contentBytes = 2'000;
    options.startsSynchronized = *rc::gen::arbitrary<bool>();
    return options;
}

#endif
