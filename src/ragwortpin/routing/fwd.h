#ifndef RAGWORTPIN_ROUTING_FWD_H
#define RAGWORTPIN_ROUTING_FWD_H

namespace ragwortpin {

struct routing_options;
struct routed_instance;
struct routing_state;
struct load_report;
struct attempt_result;

} // namespace ragwortpin

#endif
