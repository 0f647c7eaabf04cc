#ifndef RAGWORTPIN_TESTS_MEMBERSHIP_FLEET_GENERATORS_H
#define RAGWORTPIN_TESTS_MEMBERSHIP_FLEET_GENERATORS_H

#include "bench/fleet/faults.h"

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

/** Faults of the given kinds, up to so many. */
inline std::vector<ragwortpin::fleet_bench::fleet_fault> genFaults(std::vector<ragwortpin::fleet_bench::fleet_fault_kind> kinds, int most)
{
    std::vector<ragwortpin::fleet_bench::fleet_fault> faults;
    const auto count = *rc::gen::inRange(1, most + 1);
    for (int index{0}; index < count; ++index) {
        const auto kind = *rc::gen::elementOf(kinds);
        const auto subject = *rc::gen::inRange<std::uint8_t>(0, 16);
        const auto tenths = *rc::gen::inRange<std::uint8_t>(0, 100);
        faults.push_back({kind, subject, tenths});
    }
    return faults;
}

/** A small fleet over a network that loses, repeats, delays and reorders, with clocks that drift. */
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
    options.startsWarm = *rc::gen::arbitrary<bool>();
    return options;
}

#endif
