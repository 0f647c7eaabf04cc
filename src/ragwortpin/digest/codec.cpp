#include "ragwortpin/digest/digest.h"

#include "ragwortpin/peers/datagram.h"

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

constexpr std::uint32_t DigestFields{11};
constexpr std::uint32_t UsageFields{3};
constexpr std::size_t MaxItems{512};
constexpr std::size_t MaxNameBytes{64};
constexpr std::size_t MaxDepth{6};
constexpr std::uint32_t DemandFields{3};
constexpr std::uint32_t ProfileFields{4};
constexpr std::uint32_t CallFields{2};
/**
 * Workspace id of an entry among the usages which says that the report is complete. Nodes that do not know it take it for a workspace
 * without a limit.
 */
constexpr std::uint32_t CompleteReportMarker{0};
/** Number of usages that truncateToDatagram() always keeps, and the maximum encoded size of one usage. */
constexpr std::size_t MinUsages{24};
constexpr std::size_t MaxUsageBytes{20};
/** Fractional values are encoded as integers in thousandths, clamped to the range from 0 to the maximum. */
constexpr double FixedPointScale{1000.0};
constexpr double MaxFixedPointValue{1e9};

using packer = msgpack::packer<msgpack::sbuffer>;

std::uint64_t toFixedPoint(double value)
{
    return static_cast<std::uint64_t>(std::llround(std::clamp(value, 0.0, MaxFixedPointValue) * FixedPointScale));
}

double readFixedPoint(const msgpack::object &object)
{
    return static_cast<double>(object.as<std::uint64_t>()) / FixedPointScale;
}

void packProfile(packer &out, const route_profile &profile)
{
    out.pack_array(ProfileFields);
    out.pack(profile.route);
    out.pack(toFixedPoint(profile.runs));
    out.pack(toFixedPoint(profile.slotTime));
    out.pack_array(static_cast<std::uint32_t>(profile.calls.size()));
    for (const auto &item : profile.calls) {
        out.pack_array(CallFields);
        out.pack(item.route);
        out.pack(toFixedPoint(item.calls));
    }
}

void pack(packer &out, const node_digest &digest)
{
    out.pack_array(DigestFields);
    out.pack(digest.usage.instance);
    out.pack(digest.usage.incarnation);
    out.pack(digest.usage.sequence);
    out.pack(digest.availabilityZone);
    out.pack(digest.service);
    out.pack(digest.limit);
    out.pack(digest.running);
    out.pack(digest.queued);
    out.pack_array(static_cast<std::uint32_t>(digest.profiles.size()));
    for (const auto &profile : digest.profiles) {
        packProfile(out, profile);
    }
    out.pack_array(static_cast<std::uint32_t>(digest.demands.size()));
    for (const auto &demand : digest.demands) {
        out.pack_array(DemandFields);
        out.pack(demand.route);
        out.pack(demand.rank);
        out.pack(toFixedPoint(demand.requestsPerSecond));
    }
    out.pack_array(static_cast<std::uint32_t>(digest.usage.usages.size()) + (digest.usage.isComplete ? 1 : 0));
    if (digest.usage.isComplete) {
        out.pack_array(UsageFields);
        out.pack(CompleteReportMarker);
        out.pack(std::uint64_t{0});
        out.pack(std::uint64_t{0});
    }
    for (const auto &usage : digest.usage.usages) {
        out.pack_array(UsageFields);
        out.pack(usage.workspace);
        out.pack(usage.admitted);
        out.pack(toFixedPoint(usage.demand));
    }
}

std::string encodeOne(const node_digest &digest)
{
    msgpack::sbuffer buffer;
    packer out{buffer};
    pack(out, digest);
    return {buffer.data(), buffer.size()};
}

const msgpack::object_array &readArray(const msgpack::object &object, std::uint32_t size)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size) {
        throw msgpack::type_error{};
    }
    return object.via.array;
}

std::string readName(const msgpack::object &object)
{
    auto name = object.as<std::string>();
    if (name.size() > MaxNameBytes) {
        throw msgpack::type_error{};
    }
    return name;
}

workspace_usage readUsage(const msgpack::object &object)
{
    const auto &fields = readArray(object, UsageFields);
    return {fields.ptr[0].as<std::uint32_t>(), fields.ptr[1].as<std::uint64_t>(), readFixedPoint(fields.ptr[2])};
}

const msgpack::object_array &readList(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error{};
    }
    return object.via.array;
}

route_profile readProfile(const msgpack::object &object)
{
    const auto *fields = readArray(object, ProfileFields).ptr;
    route_profile profile{
        .route = fields[0].as<std::uint32_t>(), .runs = readFixedPoint(fields[1]), .slotTime = readFixedPoint(fields[2]), .calls = {}};
    const auto &calls = readList(fields[3]);
    for (std::uint32_t index{0}; index < calls.size; ++index) {
        const auto *item = readArray(calls.ptr[index], CallFields).ptr;
        profile.calls.push_back({item[0].as<std::uint32_t>(), readFixedPoint(item[1])});
    }
    return profile;
}

route_demand readDemand(const msgpack::object &object)
{
    const auto *fields = readArray(object, DemandFields).ptr;
    return {fields[0].as<std::uint32_t>(), fields[1].as<unsigned>(), readFixedPoint(fields[2])};
}

node_digest readDigest(const msgpack::object &object)
{
    const auto *fields = readArray(object, DigestFields).ptr;
    node_digest digest;
    digest.usage.instance = readName(fields[0]);
    digest.usage.incarnation = fields[1].as<std::uint64_t>();
    digest.usage.sequence = fields[2].as<std::uint64_t>();
    digest.availabilityZone = readName(fields[3]);
    digest.service = readName(fields[4]);
    digest.limit = fields[5].as<std::uint32_t>();
    digest.running = fields[6].as<std::uint32_t>();
    digest.queued = fields[7].as<std::uint32_t>();
    const auto &profiles = readList(fields[8]);
    for (std::uint32_t index{0}; index < profiles.size; ++index) {
        digest.profiles.push_back(readProfile(profiles.ptr[index]));
    }
    const auto &demands = readList(fields[9]);
    for (std::uint32_t index{0}; index < demands.size; ++index) {
        digest.demands.push_back(readDemand(demands.ptr[index]));
    }
    const auto &usages = readList(fields[10]);
    for (std::uint32_t index{0}; index < usages.size; ++index) {
        const auto usage = readUsage(usages.ptr[index]);
        if (usage.workspace == CompleteReportMarker) {
            digest.usage.isComplete = true;
        } else {
            digest.usage.usages.push_back(usage);
        }
    }
    return digest;
}

} // namespace

void truncateToDatagram(node_digest &digest)
{
    for (auto size = encodeOne(digest).size(); size > MaxDatagramPayloadBytes; size = encodeOne(digest).size()) {
        const std::size_t excess{(size - MaxDatagramPayloadBytes) / MaxUsageBytes + 1};
        auto &usages = digest.usage.usages;
        if (usages.size() > MinUsages) {
            usages.resize(usages.size() - std::min(excess, usages.size() - MinUsages));
        } else if (digest.profiles.size() > 1) {
            digest.profiles.pop_back();
        } else if (!digest.demands.empty()) {
            digest.demands.pop_back();
        } else {
            // The remaining names and the single profile are much smaller than a datagram.
            return;
        }
    }
}

std::string encodeDigests(const std::vector<const node_digest *> &digests, std::size_t &position)
{
    std::string payload;
    while (position < digests.size()) {
        auto encoded = encodeOne(*digests[position]);
        if (!payload.empty() && payload.size() + encoded.size() > MaxDatagramPayloadBytes) {
            break;
        }
        payload.append(encoded);
        ++position;
    }
    return payload;
}

std::optional<std::vector<node_digest>> decodeDigests(std::string_view payload)
{
    try {
        std::vector<node_digest> digests;
        std::size_t offset{0};
        const msgpack::unpack_limit limit{MaxItems, 0, MaxDatagramBytes, 0, 0, MaxDepth};
        while (offset < payload.size()) {
            const auto handle = msgpack::unpack(payload.data(), payload.size(), offset, nullptr, nullptr, limit);
            digests.push_back(readDigest(handle.get()));
        }
        return digests;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

} // namespace ragwortpin
