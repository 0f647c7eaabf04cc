#ifndef RAGWORTPIN_MEMORY_FWD_H
#define RAGWORTPIN_MEMORY_FWD_H

namespace ragwortpin {

class memory_budget;
class memory_reservation;
struct memory_usage;
struct transfer_progress;

} // namespace ragwortpin

#endif
