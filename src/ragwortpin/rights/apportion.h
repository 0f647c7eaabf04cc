#ifndef RAGWORTPIN_RIGHTS_APPORTION_H
#define RAGWORTPIN_RIGHTS_APPORTION_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/rights/fwd.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Part of a workspace's rate and burst that belongs to one slot. */
struct slot_share
{
    /** Tokens a second. */
    double rate{0.0};
    /** Whole tokens. */
    std::uint32_t cap{0};

    bool operator==(const slot_share &) const = default;
};

/**
 * Apportions whole tokens to shares by the Sainte-Laguë method. The result sums to the total, and no part shrinks when the
 * total grows, so nodes that differ in a workspace's burst never allow more than the larger one together. Parts with
 * share zero get nothing; if all are zero the result is all zero.
 */
[[nodiscard]] std::vector<std::uint32_t> apportion(std::uint32_t total, const std::vector<double> &shares);

/** Share of one slot in a workspace. Every node computes the same from the same objects. */
[[nodiscard]] slot_share slotShare(const workspace &workspace,
                                   const std::vector<availability_zone> &zones,
                                   std::string_view zone,
                                   std::uint32_t slotsPerZone,
                                   std::uint32_t index);

/** Digest of the availability zones' shares and the number of slots; equal digests mean equal shares. */
[[nodiscard]] std::uint64_t digestShares(const std::vector<availability_zone> &zones, std::uint32_t slotsPerZone);

/** Chooses the pool of a workspace among instance names by rendezvous hashing; empty when there are none. */
[[nodiscard]] std::string_view choosePool(std::string_view workspace, const std::vector<std::string_view> &instances);

} // namespace ragwortpin

#endif
