#ifndef RAGWORTPIN_OVERLOAD_FWD_H
#define RAGWORTPIN_OVERLOAD_FWD_H

namespace ragwortpin {

struct call_graph;
struct route_profile;
struct route_demand;
struct service_load;
struct fleet_load;
struct admission_plan;
struct plan_state;
struct repeat_request;
struct repeat_limits;

} // namespace ragwortpin

#endif
