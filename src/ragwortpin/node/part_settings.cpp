#include "ragwortpin/node/part_settings.h"

#include <random>

namespace ragwortpin {

namespace {

/** Part of the longest proof age after which peers are asked, so that several rounds of questions fit in. */
constexpr int ProofAskDivisor{3};
/** Longest backoff of reads while the store fails, where each moment without a proof costs requests. */
constexpr unsigned ProofPollBackoff{2};

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
    if (configuration.longestProofAge > duration::zero()) {
        result.proof.askAge = configuration.longestProofAge / ProofAskDivisor;
        result.spread.maxPollBackoff = ProofPollBackoff;
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
    const auto note = [&names](const char *name, bool same) {
        if (!same) {
            names.emplace_back(name);
        }
    };
    note("instance", before.instance == after.instance && before.availabilityZone == after.availabilityZone);
    note("addresses", before.addresses == after.addresses);
    note("platform", before.platform == after.platform && before.platformTimeout == after.platformTimeout);
    note("configuration", before.configuration == after.configuration);
    note("overload", before.overload == after.overload);
    note("others", !names.empty() || before == after);
    return names;
}

} // namespace ragwortpin
