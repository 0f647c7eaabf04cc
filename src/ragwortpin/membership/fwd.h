#ifndef RAGWORTPIN_MEMBERSHIP_FWD_H
#define RAGWORTPIN_MEMBERSHIP_FWD_H

namespace ragwortpin {

enum class instance_state : unsigned char;
struct instance_record;
struct membership_view;

} // namespace ragwortpin

#endif
