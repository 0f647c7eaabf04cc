#ifndef RAGWORTPIN_NODE_FWD_H
#define RAGWORTPIN_NODE_FWD_H

namespace ragwortpin {

struct node_settings;
struct node_addresses;

} // namespace ragwortpin

#endif
