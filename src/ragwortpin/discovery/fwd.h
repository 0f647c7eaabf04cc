#ifndef RAGWORTPIN_DISCOVERY_FWD_H
#define RAGWORTPIN_DISCOVERY_FWD_H

namespace ragwortpin {

struct discovery_settings;
struct discovery_result;

} // namespace ragwortpin

#endif
