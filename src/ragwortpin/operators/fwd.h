#ifndef RAGWORTPIN_OPERATORS_FWD_H
#define RAGWORTPIN_OPERATORS_FWD_H

namespace ragwortpin {

struct node_status;
struct admin_services;
class admin_server;

} // namespace ragwortpin

#endif
