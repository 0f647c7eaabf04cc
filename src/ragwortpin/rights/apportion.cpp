#include "ragwortpin/rights/apportion.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <string>

namespace ragwortpin {

namespace {

constexpr std::uint64_t FnvOffsetBasis{14695981039346656037ULL};
constexpr std::uint64_t FnvPrime{1099511628211ULL};

[[nodiscard]] constexpr std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = FnvOffsetBasis) noexcept
{
    for (const char byte : bytes) {
        seed = (seed ^ static_cast<unsigned char>(byte)) * FnvPrime;
    }
    return seed;
}

/** Mixes the bits with the finalizer of SplitMix64, so that every input bit affects every bit of the result. */
[[nodiscard]] constexpr std::uint64_t mixBits(std::uint64_t value) noexcept
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/**
 * Returns a lower bound of the seats that the Sainte-Laguë method gives to a share, as a starting point that saves most of the
 * one-by-one allocations.
 */
[[nodiscard]] std::uint32_t minSeats(double share, std::uint32_t total, std::size_t parts) noexcept
{
    const auto seats = std::floor(share * (total - static_cast<double>(parts) / 2.0) - 1.0);
    return seats > 0.0 ? static_cast<std::uint32_t>(seats) : 0;
}

[[nodiscard]] std::uint32_t wholeTokens(double burst) noexcept
{
    constexpr double Largest{1e9};
    return burst >= 1.0 ? static_cast<std::uint32_t>(std::min(burst, Largest)) : 0;
}

} // namespace

std::vector<std::uint32_t> apportion(std::uint32_t total, const std::vector<double> &shares)
{
    std::vector<std::uint32_t> seats(shares.size(), 0);
    const auto sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    if (sum <= 0.0) {
        return seats;
    }
    std::transform(shares.begin(), shares.end(), seats.begin(), [&](double share) {
        return minSeats(share / sum, total, shares.size());
    });
    const auto quotient = [&](std::size_t part) {
        return shares[part] / (2.0 * seats[part] + 1.0);
    };
    for (auto allocated = std::accumulate(seats.begin(), seats.end(), 0U); allocated < total; ++allocated) {
        std::size_t next{0};
        for (std::size_t part{1}; part < shares.size(); ++part) {
            next = quotient(part) > quotient(next) ? part : next;
        }
        ++seats[next];
    }
    return seats;
}

slot_share slotShare(const workspace &workspace,
                     const std::vector<availability_zone> &zones,
                     std::string_view zone,
                     std::uint32_t slotsPerZone,
                     std::uint32_t index)
{
    std::vector<double> shares(zones.size());
    std::transform(zones.begin(), zones.end(), shares.begin(), [](const availability_zone &item) {
        return item.share;
    });
    const auto sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    const auto found = std::find_if(zones.begin(), zones.end(), [zone](const availability_zone &item) {
        return item.name == zone;
    });
    if (found == zones.end() || slotsPerZone == 0 || sum <= 0.0) {
        return {};
    }
    const auto position = static_cast<std::size_t>(found - zones.begin());
    const auto zoneTokens = apportion(wholeTokens(workspace.burst), shares)[position];
    const auto first = static_cast<std::uint32_t>(hashBytes(workspace.name) % slotsPerZone);
    const auto rank = (index + slotsPerZone - first) % slotsPerZone;
    const auto extra = rank < zoneTokens % slotsPerZone ? 1U : 0U;
    // Shares that sum to more than 1 are scaled down, because they would exceed the rate. A sum below 1 only leaves some of it unused.
    const auto fraction = found->share / std::max(sum, 1.0);
    return {workspace.rate * fraction / slotsPerZone, zoneTokens / slotsPerZone + extra};
}

std::uint64_t digestShares(const std::vector<availability_zone> &zones, std::uint32_t slotsPerZone)
{
    auto digest = hashBytes(std::to_string(slotsPerZone));
    for (const auto &zone : zones) {
        digest = hashBytes(zone.name, digest * FnvPrime);
        digest = mixBits(digest ^ std::bit_cast<std::uint64_t>(zone.share));
    }
    return digest;
}

std::string_view choosePool(std::string_view workspace, const std::vector<std::string_view> &instances)
{
    const auto seed = hashBytes(workspace);
    std::string_view best;
    std::uint64_t bestScore{0};
    for (const auto instance : instances) {
        const auto score = mixBits(hashBytes(instance, seed));
        if (best.empty() || score > bestScore) {
            best = instance;
            bestScore = score;
        }
    }
    return best;
}

} // namespace ragwortpin
