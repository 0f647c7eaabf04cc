#ifndef RAGWORTPIN_MEMBERSHIP_FWD_H
#define RAGWORTPIN_MEMBERSHIP_FWD_H

namespace ragwortpin {

enum class instance_state : unsigned char;
struct instance_record;
struct membership_view;

enum class member_status : unsigned char;
enum class membership_message_kind : unsigned char;
struct peer_address;
struct member_update;
struct membership_message;
struct membership_output;

struct membership_options;
struct membership_counters;
struct member;
struct membership_state;

} // namespace ragwortpin

#endif
