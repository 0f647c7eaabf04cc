#ifndef RAGWORTPIN_SPREAD_FWD_H
#define RAGWORTPIN_SPREAD_FWD_H

namespace ragwortpin {

struct configuration_content;
struct content_patch;
struct spread_message;
struct poll_position;
struct proof_options;
struct proof_message;
struct proof_output;
struct proof_state;
struct spread_output;
struct spread_options;
struct spread_counters;
struct spread_state;
struct spread_topology;
struct spread_actions;
struct revision_claim;
struct pull_request;
struct pull_reply;
struct head_reply;
enum class spread_status : unsigned char;

} // namespace ragwortpin

#endif
