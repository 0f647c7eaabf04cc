#ifndef RAGWORTPIN_RIGHTS_APPORTION_H
#define RAGWORTPIN_RIGHTS_APPORTION_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/rights/fwd.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Part of a workspace's rate and burst that is allocated to one slot. */
struct slot_share
{
    /** Tokens per second. */
    double rate{0.0};
    /** Most tokens, always whole ones, that may be stored at a time. */
    std::uint32_t cap{0};

    bool operator==(const slot_share &) const = default;
};

/**
 * Divides whole tokens among shares by the Sainte-Laguë method. The results sum to the total, and no part decreases when the
 * total increases. Nodes that use different values of a workspace's burst therefore never allow more than the larger value in
 * total. A share of zero gets no tokens; if all shares are zero, all results are zero.
 */
[[nodiscard]] std::vector<std::uint32_t> apportion(std::uint32_t total, const std::vector<double> &shares);

/**
 * Returns the part of a workspace's rate and burst that is allocated to one slot. The result depends only on the arguments, so
 * all nodes with the same configuration compute the same parts. Returns an empty part if the availability zone is not in the
 * list, if there are no slots, or if all shares are zero.
 */
[[nodiscard]] slot_share slotShare(const workspace &workspace,
                                   const std::vector<availability_zone> &zones,
                                   std::string_view zone,
                                   std::uint32_t slotsPerZone,
                                   std::uint32_t index);

/** Returns a digest of the shares of the availability zones and of the number of slots, to detect whether two nodes use the same ones. */
[[nodiscard]] std::uint64_t digestShares(const std::vector<availability_zone> &zones, std::uint32_t slotsPerZone);

/** Chooses the instance that is the pool of a workspace by rendezvous hashing. Returns an empty name if there are no instances. */
[[nodiscard]] std::string_view choosePool(std::string_view workspace, const std::vector<std::string_view> &instances);

} // namespace ragwortpin

#endif
