#ifndef RAGWORTPIN_TARGETS_FWD_H
#define RAGWORTPIN_TARGETS_FWD_H

namespace ragwortpin {

struct target_announcement;
struct target_departure;
struct target_options;
struct announcement_history;
enum class announcement_verdict : unsigned char;
enum class announcement_errc;
struct target_assignment;
struct target_start;
struct refuted_start;
struct rival_announcement;
struct in_flight_request;
class in_flight_table;
class target_gateway;
class egress_gateway;

} // namespace ragwortpin

#endif
