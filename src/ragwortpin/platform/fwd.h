#ifndef RAGWORTPIN_PLATFORM_FWD_H
#define RAGWORTPIN_PLATFORM_FWD_H

namespace ragwortpin {

struct store_entry;
struct store_compare;
struct store_write;
struct store_range;
struct store_transaction;
struct store_reply;
enum class platform_errc;
struct etcd_call;
struct etcd_settings;
class etcd_client;

} // namespace ragwortpin

#endif
