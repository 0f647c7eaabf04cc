#ifndef RAGWORTPIN_MEMBERSHIP_TABLE_H
#define RAGWORTPIN_MEMBERSHIP_TABLE_H

#include "ragwortpin/membership/state.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

namespace ragwortpin {

/**
 * Returns a hash of the descriptive fields of a record: all fields but name, state, incarnation and revision. Only the instance itself
 * changes these fields. The hash is the same on all nodes.
 */
[[nodiscard]] std::uint32_t descriptionHash(const instance_record &record) noexcept;

/** Returns a digest of the live members, without their revisions. Nodes with the same live members have the same digest. */
[[nodiscard]] std::uint32_t tableDigest(const membership_state &state) noexcept;

} // namespace ragwortpin

namespace ragwortpin::internal {

/** Returns the index of the hash bucket to which a member name belongs. */
[[nodiscard]] std::size_t bucketOf(std::string_view name) noexcept;

/** Returns the member with the given name, or null if it is unknown. */
[[nodiscard]] member *findMember(membership_state &state, const std::string &name);

/** Adds a live member and returns it. Returns null and counts the rejection if the table is full. */
member *insertMember(membership_state &state, const instance_record &record);

/** Replaces the record and status of a member, and updates the bucket digests, the live count and the view version. */
void replaceMember(membership_state &state, member &target, const instance_record &record, member_status status);

/** Removes the member at the given index, which must not be 0 (the node itself). */
void eraseMember(membership_state &state, std::size_t index);

/** Returns whether a member is neither dead nor in the state Gone; suspected members count as live. */
[[nodiscard]] bool isLive(const member &value) noexcept;

/** Returns a random live member other than the node itself. Returns null if a limited number of random attempts finds none. */
[[nodiscard]] member *pickLive(membership_state &state, std::mt19937_64 &random);

/** Returns a random live member of the node's own availability zone, on the same terms as pickLive(). */
[[nodiscard]] member *pickLiveInOwnZone(membership_state &state, std::mt19937_64 &random);

/** Returns the address at which a member receives datagrams. */
[[nodiscard]] peer_address gossipAddress(const member &value);

} // namespace ragwortpin::internal

#endif
