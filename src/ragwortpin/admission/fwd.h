#ifndef RAGWORTPIN_ADMISSION_FWD_H
#define RAGWORTPIN_ADMISSION_FWD_H

namespace ragwortpin {

struct shed_level;
struct concurrency_limit_options;
struct concurrency_limit;
struct demand_estimate;
struct admission_options;
struct admission_request;
struct admission_decision;
struct admission_changes;
struct admission_state;
struct completion;
struct processing_limit_options;
struct processing_limit;
struct shed_level_cache;
struct first_hop_decision;

} // namespace ragwortpin

#endif
