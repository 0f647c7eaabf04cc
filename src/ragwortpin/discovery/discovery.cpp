#include "ragwortpin/discovery/discovery.h"

#include "ragwortpin/http/address.h"

#include <algorithm>
#include <optional>

namespace ragwortpin {

namespace {

/** Returns the exclusive end of the key range with the prefix, made by incrementing its last character. */
std::string prefixRangeEnd(std::string prefix)
{
    if (!prefix.empty()) {
        ++prefix.back();
    }
    return prefix;
}

std::error_code writeOwnEntry(const store_call &call, const std::string &key, const std::string &value, std::int64_t expectedRevision)
{
    const auto reply = call(store_transaction{{{key, expectedRevision}}, {{key, value, 0}}, {key}});
    if (reply.error || reply.succeeded) {
        return reply.error;
    }
    const bool isWritten{!reply.entries.empty() && reply.entries.front().value == value};
    return isWritten ? std::error_code{} : std::make_error_code(std::errc::resource_unavailable_try_again);
}

} // namespace

discovery_result discover(const store_call &call, const discovery_settings &settings, std::mt19937_64 &random)
{
    discovery_result result;
    const auto listed = call(store_range{settings.prefix, prefixRangeEnd(settings.prefix), settings.maxEntries});
    if (listed.error) {
        result.error = listed.error;
        return result;
    }
    const auto ownKey = settings.prefix + settings.instance;
    const auto ownValue = toText(endpoint{settings.self.address, settings.self.port});
    std::int64_t ownRevision{0};
    for (const auto &entry : listed.entries) {
        const auto address = parseEndpoint(entry.value);
        if (entry.key == ownKey) {
            ownRevision = entry.modRevision;
            result.isRegistered = entry.value == ownValue;
        } else if (address) {
            result.seeds.push_back({address->address, address->port});
        } else {
            ++result.malformed;
        }
    }
    std::shuffle(result.seeds.begin(), result.seeds.end(), random);
    result.seeds.resize(std::min(result.seeds.size(), settings.maxSeeds));
    if (!result.isRegistered) {
        result.error = writeOwnEntry(call, ownKey, ownValue, ownRevision);
        result.isRegistered = !result.error;
    }
    return result;
}

} // namespace ragwortpin
