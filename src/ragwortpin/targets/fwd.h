#ifndef RAGWORTPIN_TARGETS_FWD_H
#define RAGWORTPIN_TARGETS_FWD_H

namespace ragwortpin {

struct target_announcement;
struct in_flight_request;
class in_flight_table;
class target_gateway;
class egress_gateway;

} // namespace ragwortpin

#endif
