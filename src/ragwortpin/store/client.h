#ifndef RAGWORTPIN_STORE_CLIENT_H
#define RAGWORTPIN_STORE_CLIENT_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/store/etcd_codec.h"
#include "ragwortpin/store/store.h"

#include <memory>
#include <vector>

namespace ragwortpin {

/** Where the store is and how long a call may take. */
struct store_settings
{
    /** Tried in turn, beginning with the one that answered last. */
    std::vector<endpoint> endpoints;
    /** Time for a whole call over all endpoints; a watch has its own wait on top. */
    duration timeout{seconds{2}};
    /** How calls are written; the etcd v3 JSON gateway unless set. */
    store_protocol protocol{etcdProtocol()};
};

/**
 * Blocking client of a store with kept-alive connections. Reads go to the next endpoint after any failure;
 * a transaction only if no byte of it was sent, so that it is never done twice. Not thread-safe: each thread has its own.
 */
class store_client
{
public:
    explicit store_client(store_settings settings);
    ~store_client();
    store_client(const store_client &) = delete;
    store_client &operator=(const store_client &) = delete;

    /** Performs one call within the timeout. */
    [[nodiscard]] store_reply call(const store_request &request);

private:
    class connection;

    std::unique_ptr<connection> m_connection;
};

/** Returns a call that owns its client. Copies share the client and belong to one thread. */
[[nodiscard]] store_call makeStoreCall(store_settings settings);

} // namespace ragwortpin

#endif
