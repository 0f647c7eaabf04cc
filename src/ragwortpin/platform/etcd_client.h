#ifndef RAGWORTPIN_PLATFORM_ETCD_CLIENT_H
#define RAGWORTPIN_PLATFORM_ETCD_CLIENT_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/platform/store.h"

#include <memory>
#include <vector>

namespace ragwortpin {

/** Where the store is and how long a call may take. */
struct etcd_settings
{
    /** Tried in turn, beginning with the one that answered last. */
    std::vector<endpoint> endpoints;
    /** Time for a whole call over all endpoints. */
    duration timeout{seconds{2}};

    bool operator==(const etcd_settings &) const = default;
};

/**
 * Blocking client of the etcd v3 JSON gateway with kept-alive connections. Reads go to the next endpoint after any failure;
 * a transaction only if no byte of it was sent, so that it is never done twice. Not thread-safe: each thread has its own.
 */
class etcd_client
{
public:
    explicit etcd_client(etcd_settings settings);
    ~etcd_client();
    etcd_client(const etcd_client &) = delete;
    etcd_client &operator=(const etcd_client &) = delete;

    /** Performs one call within the timeout. */
    [[nodiscard]] store_reply call(const store_request &request);

private:
    class connection;

    std::unique_ptr<connection> m_connection;
};

/** Returns a call that owns its client. Copies share the client and belong to one thread. */
[[nodiscard]] store_call makeStoreCall(etcd_settings settings);

} // namespace ragwortpin

#endif
