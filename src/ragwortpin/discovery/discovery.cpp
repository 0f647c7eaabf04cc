#include "ragwortpin/discovery/discovery.h"

#include "ragwortpin/http/address.h"

#include <algorithm>
#include <optional>

namespace ragwortpin {

namespace {

/** First key that does not begin with the prefix. */
std::string prefixEnd(std::string prefix)
{
    if (!prefix.empty()) {
        ++prefix.back();
    }
    return prefix;
}

std::error_code writeOwnEntry(const store_call &call, const std::string &key, const std::string &value, std::int64_t knownRevision)
{
    const auto reply = call(store_transaction{{{key, knownRevision}}, {{key, value, 0}}, {key}});
    if (reply.error || reply.succeeded) {
        return reply.error;
    }
    const bool stands{!reply.entries.empty() && reply.entries.front().value == value};
    return stands ? std::error_code{} : std::make_error_code(std::errc::resource_unavailable_try_again);
}

} // namespace

discovery_result discover(const store_call &call, const discovery_settings &settings, std::mt19937_64 &random)
{
    discovery_result result;
    const auto listed = call(store_range{settings.prefix, prefixEnd(settings.prefix), settings.mostEntries});
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
    result.seeds.resize(std::min(result.seeds.size(), settings.mostSeeds));
    if (!result.isRegistered) {
        result.error = writeOwnEntry(call, ownKey, ownValue, ownRevision);
        result.isRegistered = !result.error;
    }
    return result;
}

} // namespace ragwortpin
