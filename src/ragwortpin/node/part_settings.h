#ifndef RAGWORTPIN_NODE_PART_SETTINGS_H
#define RAGWORTPIN_NODE_PART_SETTINGS_H

#include "ragwortpin/claims/claims.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/peers/control_duty.h"

#include <string>
#include <vector>

namespace ragwortpin {

/** Turns endpoints into addresses of peers. */
[[nodiscard]] std::vector<peer_address> toPeerAddresses(const std::vector<endpoint> &endpoints);

/** Settings of the control thread; draws its random seed. */
[[nodiscard]] control_settings toControlSettings(const node_settings &settings, const signing_keys &keys);

/** Settings of the claims thread. */
[[nodiscard]] claim_settings toClaimSettings(const node_settings &settings);

/** Names the parts of the settings that differ. */
[[nodiscard]] std::vector<std::string> changedSettings(const node_settings &before, const node_settings &after);

} // namespace ragwortpin

#endif
