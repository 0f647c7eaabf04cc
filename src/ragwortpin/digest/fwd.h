#ifndef RAGWORTPIN_DIGEST_FWD_H
#define RAGWORTPIN_DIGEST_FWD_H

namespace ragwortpin {

struct node_digest;
struct digest_options;
struct digest_entry;
struct digest_state;
struct digest_output;

} // namespace ragwortpin

#endif
