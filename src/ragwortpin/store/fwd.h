#ifndef RAGWORTPIN_STORE_FWD_H
#define RAGWORTPIN_STORE_FWD_H

namespace ragwortpin {

struct store_entry;
struct store_compare;
struct store_write;
struct store_range;
struct store_transaction;
struct store_watch;
struct store_message;
struct store_protocol;
struct store_reply;
enum class store_errc;
struct etcd_request;
struct store_settings;
class store_client;

} // namespace ragwortpin

#endif
