#ifndef RAGWORTPIN_STANDINS_SUPPORT_FWD_H
#define RAGWORTPIN_STANDINS_SUPPORT_FWD_H

namespace ragwortpin::standins {

struct stored_value;
struct stored_lease;
struct stored_event;
struct key_range;
struct put_operation;
struct range_operation;
struct delete_operation;
struct comparison;
struct transaction;
struct transaction_result;
struct store_state;
struct store_faults;
struct store_call_counts;
struct option_definition;
struct exchange;
struct reply;
class http_client;

} // namespace ragwortpin::standins

#endif
