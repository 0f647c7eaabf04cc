#ifndef RAGWORTPIN_CALLERS_FWD_H
#define RAGWORTPIN_CALLERS_FWD_H

namespace ragwortpin {

struct authentication;
class caller_gateway;

} // namespace ragwortpin

#endif
