#include "ragwortpin/node/part_settings.h"

#include <random>

namespace ragwortpin {

namespace {

/** A read of the head may need a second call for the content. */
constexpr int MaxCallsPerPoll{2};
/** Maximum backoff factor of store reads while the store fails. Small because requests are refused while there is no valid proof. */
constexpr unsigned MaxProofPollBackoff{2};

} // namespace

std::vector<peer_address> toPeerAddresses(const std::vector<endpoint> &endpoints)
{
    std::vector<peer_address> addresses;
    addresses.reserve(endpoints.size());
    for (const auto &value : endpoints) {
        addresses.push_back({value.address, value.port});
    }
    return addresses;
}

control_settings toControlSettings(const node_settings &settings, const signing_keys &keys)
{
    control_settings result;
    result.self = {.name = settings.instance,
                   .availabilityZone = settings.availabilityZone,
                   .service = {},
                   .address = settings.addresses.peers.address,
                   .peersPort = settings.addresses.peers.port,
                   .gossipPort = settings.addresses.gossip.port};
    result.seeds = toPeerAddresses(settings.seeds);
    const auto &configuration = settings.configuration;
    result.spread.zonePollInterval = configuration.zonePollInterval;
    result.spread.startGrace = configuration.startGrace;
    result.spread.startSpread = configuration.startSpread;
    result.spread.pollTimeout = MaxCallsPerPoll * settings.platformTimeout;
    result.proof.queryAgeThreshold = configuration.zonePollInterval + ProofQueryDelay;
    if (configuration.maxProofAge > duration::zero()) {
        result.spread.maxPollBackoff = MaxProofPollBackoff;
    }
    result.secrets = {keys.secrets.front(), keys.secrets.size() > 1 ? keys.secrets[1] : std::string{}};
    std::random_device device;
    result.randomSeed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return result;
}

claim_settings toClaimSettings(const node_settings &settings)
{
    claim_settings result;
    result.instance = settings.instance;
    return result;
}

std::vector<std::string> changedSettings(const node_settings &before, const node_settings &after)
{
    std::vector<std::string> names;
    const auto addIfChanged = [&names](const char *name, bool isSame) {
        if (!isSame) {
            names.emplace_back(name);
        }
    };
    addIfChanged("instance", before.instance == after.instance && before.availabilityZone == after.availabilityZone);
    addIfChanged("addresses", before.addresses == after.addresses);
    addIfChanged("platform", before.platform == after.platform && before.platformTimeout == after.platformTimeout);
    addIfChanged("configuration", before.configuration == after.configuration);
    addIfChanged("overload", before.overload == after.overload);
    addIfChanged("others", !names.empty() || before == after);
    return names;
}

} // namespace ragwortpin
