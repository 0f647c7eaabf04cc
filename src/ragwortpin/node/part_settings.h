#ifndef RAGWORTPIN_NODE_PART_SETTINGS_H
#define RAGWORTPIN_NODE_PART_SETTINGS_H

#include "ragwortpin/claims/claims.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/peers/control_duty.h"

#include <string>
#include <vector>

namespace ragwortpin {

/** Converts endpoints to peer addresses. */
[[nodiscard]] std::vector<peer_address> toPeerAddresses(const std::vector<endpoint> &endpoints);

/** Returns the settings of the control thread, with a new random seed. */
[[nodiscard]] control_settings toControlSettings(const node_settings &settings, const signing_keys &keys);

/** Returns the settings of the claims thread. */
[[nodiscard]] claim_settings toClaimSettings(const node_settings &settings);

/** Returns the names of the groups of settings that differ; "others" stands for differences outside the named groups. */
[[nodiscard]] std::vector<std::string> changedSettings(const node_settings &before, const node_settings &after);

} // namespace ragwortpin

#endif
