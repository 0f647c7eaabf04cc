#ifndef RAGWORTPIN_RATES_FWD_H
#define RAGWORTPIN_RATES_FWD_H

namespace ragwortpin {

struct shared_rate_options;
struct workspace_usage;
struct usage_report;
struct shared_bucket;
struct shared_rates;
struct rate_decision;
struct headroom_message;
struct pending_headroom_requests;

} // namespace ragwortpin

#endif
