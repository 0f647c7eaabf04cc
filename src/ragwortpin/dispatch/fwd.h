#ifndef RAGWORTPIN_DISPATCH_FWD_H
#define RAGWORTPIN_DISPATCH_FWD_H

namespace ragwortpin {

struct inbound_call;
struct call_answer;
class dispatcher;
class instance_directory;

} // namespace ragwortpin

#endif
