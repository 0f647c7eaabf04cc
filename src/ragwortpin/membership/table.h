#ifndef RAGWORTPIN_MEMBERSHIP_TABLE_H
#define RAGWORTPIN_MEMBERSHIP_TABLE_H

#include "ragwortpin/membership/state.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

namespace ragwortpin {

/** Hash of the fields of a record that only its instance changes, apart from name, incarnation and state. The same on all nodes. */
[[nodiscard]] std::uint32_t descriptionHash(const instance_record &record) noexcept;

/** Digest of the live part of the table. Nodes with the same live members have the same digest. */
[[nodiscard]] std::uint32_t tableDigest(const membership_state &state) noexcept;

} // namespace ragwortpin

namespace ragwortpin::internal {

/** Part of the table that a name belongs to. */
[[nodiscard]] std::size_t partOf(std::string_view name) noexcept;

/** Finds a member by name; null when it is unknown. */
[[nodiscard]] member *findMember(membership_state &state, const std::string &name);

/** Adds a member, or returns null when the table is full. */
member *insertMember(membership_state &state, const instance_record &record);

/** Replaces a member's record and status, and keeps digests, counts and the view's version in step. */
void replaceMember(membership_state &state, member &target, const instance_record &record, member_status status);

/** Forgets a member; never the node itself. */
void eraseMember(membership_state &state, std::size_t index);

/** Whether a member's process is believed to run. */
[[nodiscard]] bool isLive(const member &value) noexcept;

/** Picks a live member other than the node itself; null when none was found. */
[[nodiscard]] member *pickLive(membership_state &state, std::mt19937_64 &random);

/** Picks a live member of the node's availability zone; null when none was found. */
[[nodiscard]] member *pickLiveInOwnZone(membership_state &state, std::mt19937_64 &random);

/** Where a member receives datagrams. */
[[nodiscard]] peer_address gossipAddress(const member &value);

} // namespace ragwortpin::internal

#endif
