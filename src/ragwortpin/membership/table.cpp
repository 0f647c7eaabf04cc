#include "ragwortpin/membership/table.h"

#include <utility>

namespace ragwortpin {

namespace {

constexpr std::uint64_t HashOffset{0xcbf29ce484222325U};
constexpr std::uint64_t HashPrime{0x100000001b3U};
constexpr std::size_t PickAttempts{24};

constexpr std::uint64_t addByte(std::uint64_t hash, std::uint8_t byte) noexcept
{
    return (hash ^ byte) * HashPrime;
}

std::uint64_t addText(std::uint64_t hash, std::string_view text) noexcept
{
    for (const auto character : text) {
        hash = addByte(hash, static_cast<std::uint8_t>(character));
    }
    return addByte(hash, 0);
}

constexpr std::uint64_t addNumber(std::uint64_t hash, std::uint64_t number) noexcept
{
    for (unsigned shift{0}; shift < 64; shift += 8) {
        hash = addByte(hash, static_cast<std::uint8_t>(number >> shift));
    }
    return hash;
}

constexpr std::uint32_t finalizeHash(std::uint64_t hash) noexcept
{
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdU;
    hash ^= hash >> 33U;
    return static_cast<std::uint32_t>(hash);
}

std::uint32_t digestOf(const member &value) noexcept
{
    if (!internal::isLive(value)) {
        return 0;
    }
    auto hash = addText(HashOffset, value.record.name);
    hash = addNumber(hash, value.record.incarnation);
    hash = addByte(hash, static_cast<std::uint8_t>(value.record.state));
    hash = addNumber(hash, value.descriptionHash);
    return finalizeHash(hash);
}

void toggleDigest(membership_state &state, const member &value)
{
    state.bucketDigests[internal::bucketOf(value.record.name)] ^= digestOf(value);
}

void addToTotals(membership_state &state, const member &value)
{
    toggleDigest(state, value);
    state.liveMembers += internal::isLive(value) ? 1 : 0;
}

void removeFromTotals(membership_state &state, const member &value)
{
    toggleDigest(state, value);
    state.liveMembers -= internal::isLive(value) ? 1 : 0;
}

template<typename Predicate>
member *pickMatching(membership_state &state, std::mt19937_64 &random, Predicate matches)
{
    if (state.members.size() < 2) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> distribution{1, state.members.size() - 1};
    for (std::size_t attempt{0}; attempt < PickAttempts; ++attempt) {
        auto &candidate = state.members[distribution(random)];
        if (matches(candidate)) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace

std::uint32_t descriptionHash(const instance_record &record) noexcept
{
    auto hash = addText(HashOffset, record.availabilityZone);
    hash = addText(hash, record.service);
    hash = addText(hash, record.address);
    hash = addNumber(hash, record.peersPort);
    hash = addNumber(hash, record.gossipPort);
    hash = addNumber(hash, record.slots);
    hash = addNumber(hash, record.connections);
    return finalizeHash(hash);
}

std::uint32_t tableDigest(const membership_state &state) noexcept
{
    auto hash = HashOffset;
    for (const auto digest : state.bucketDigests) {
        hash = addNumber(hash, digest);
    }
    return finalizeHash(hash);
}

} // namespace ragwortpin

namespace ragwortpin::internal {

std::size_t bucketOf(std::string_view name) noexcept
{
    return finalizeHash(addText(HashOffset, name)) % MembershipBuckets;
}

member *findMember(membership_state &state, const std::string &name)
{
    const auto found = state.indexByName.find(name);
    return found == state.indexByName.end() ? nullptr : &state.members[found->second];
}

member *insertMember(membership_state &state, const instance_record &record)
{
    if (state.members.size() >= state.options.maxMembers) {
        ++state.counters.membersRefused;
        return nullptr;
    }
    state.indexByName.emplace(record.name, state.members.size());
    auto &added = state.members.emplace_back();
    added.record = record;
    added.descriptionHash = descriptionHash(record);
    addToTotals(state, added);
    ++state.viewVersion;
    return &added;
}

void replaceMember(membership_state &state, member &target, const instance_record &record, member_status status)
{
    removeFromTotals(state, target);
    target.record = record;
    target.status = status;
    target.descriptionHash = descriptionHash(record);
    addToTotals(state, target);
    ++state.viewVersion;
}

void eraseMember(membership_state &state, std::size_t index)
{
    removeFromTotals(state, state.members[index]);
    state.indexByName.erase(state.members[index].record.name);
    if (index + 1 < state.members.size()) {
        state.members[index] = std::move(state.members.back());
        state.indexByName[state.members[index].record.name] = index;
    }
    state.members.pop_back();
    ++state.viewVersion;
}

bool isLive(const member &value) noexcept
{
    return value.status != member_status::Dead && value.record.state != instance_state::Gone;
}

member *pickLive(membership_state &state, std::mt19937_64 &random)
{
    return pickMatching(state, random, isLive);
}

member *pickLiveInOwnZone(membership_state &state, std::mt19937_64 &random)
{
    const auto &zone = state.members.front().record.availabilityZone;
    return pickMatching(state, random, [&zone](const member &candidate) {
        return isLive(candidate) && candidate.record.availabilityZone == zone;
    });
}

peer_address gossipAddress(const member &value)
{
    return {value.record.address, value.record.gossipPort};
}

} // namespace ragwortpin::internal
