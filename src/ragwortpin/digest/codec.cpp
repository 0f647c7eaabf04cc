#include "ragwortpin/digest/digest.h"

#include "ragwortpin/peers/datagram.h"

#include <msgpack.hpp>

#include <cmath>

namespace ragwortpin {

namespace {

constexpr std::uint32_t DigestFields{10};
constexpr std::uint32_t UsageFields{3};
constexpr std::size_t MostItems{512};
constexpr std::size_t MostNameBytes{64};
constexpr std::size_t MostDepth{6};
/** Demand travels in thousandths of a request a second. */
constexpr double DemandScale{1000.0};
constexpr double MostDemand{1e9};

using packer = msgpack::packer<msgpack::sbuffer>;

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
    out.pack_array(2);
    out.pack(digest.finished);
    out.pack(digest.busyTime.count());
    out.pack_array(static_cast<std::uint32_t>(digest.usage.usages.size()));
    for (const auto &usage : digest.usage.usages) {
        out.pack_array(UsageFields);
        out.pack(usage.workspace);
        out.pack(usage.admitted);
        out.pack(static_cast<std::uint64_t>(std::llround(std::min(usage.demand, MostDemand) * DemandScale)));
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
    if (name.size() > MostNameBytes) {
        throw msgpack::type_error{};
    }
    return name;
}

workspace_usage readUsage(const msgpack::object &object)
{
    const auto &fields = readArray(object, UsageFields);
    return {fields.ptr[0].as<std::uint32_t>(),
            fields.ptr[1].as<std::uint64_t>(),
            static_cast<double>(fields.ptr[2].as<std::uint64_t>()) / DemandScale};
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
    const auto &work = readArray(fields[8], 2);
    digest.finished = work.ptr[0].as<std::uint64_t>();
    digest.busyTime = duration{work.ptr[1].as<duration::rep>()};
    const auto &usages = fields[9];
    if (usages.type != msgpack::type::ARRAY) {
        throw msgpack::type_error{};
    }
    for (std::uint32_t index{0}; index < usages.via.array.size; ++index) {
        digest.usage.usages.push_back(readUsage(usages.via.array.ptr[index]));
    }
    return digest;
}

} // namespace

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
        const msgpack::unpack_limit limit{MostItems, 0, MaxDatagramBytes, 0, 0, MostDepth};
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
