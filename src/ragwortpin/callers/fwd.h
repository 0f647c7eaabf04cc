#ifndef RAGWORTPIN_CALLERS_FWD_H
#define RAGWORTPIN_CALLERS_FWD_H

namespace ragwortpin {

struct authentication;
struct route_split_state;
struct split_state;
class caller_gateway;

} // namespace ragwortpin

#endif
