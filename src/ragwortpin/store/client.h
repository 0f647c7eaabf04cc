#ifndef RAGWORTPIN_STORE_CLIENT_H
#define RAGWORTPIN_STORE_CLIENT_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/store/etcd_codec.h"
#include "ragwortpin/store/store.h"

#include <functional>
#include <memory>
#include <vector>

namespace ragwortpin {

/** Endpoints, timeout and protocol of a store client. */
struct store_settings
{
    /** Endpoints to try in order, starting with the one that last responded. */
    std::vector<endpoint> endpoints;
    /** Timeout of a call over all its endpoints. A watch adds its own wait time. */
    duration timeout{seconds{2}};
    /** Encoding of the calls; defaults to the etcd v3 JSON gateway. */
    store_protocol protocol{etcdProtocol()};
};

/**
 * Blocking store client with kept-alive connections. A read is retried at the next endpoint after any failure, a transaction
 * only if no byte of it was sent, so that it is never applied twice. Not thread-safe: each thread needs its own client.
 */
class store_client
{
public:
    explicit store_client(store_settings settings);
    ~store_client();
    store_client(const store_client &) = delete;
    store_client &operator=(const store_client &) = delete;

    /** Performs one call and returns its result or, after the timeout, an error. */
    [[nodiscard]] store_reply call(const store_request &request);

    /** Makes the call in progress and all later ones return Unreachable at once. May be called from any thread. */
    void interrupt();

private:
    class connection;

    std::unique_ptr<connection> m_connection;
};

/** Store calls of one thread, and the function that makes them return at once; see store_client::interrupt(). */
struct interruptible_store_call
{
    store_call call;
    std::function<void()> interrupt;
};

/** Returns functions that own a client. Copies of the call share the client and must be used by one thread only. */
[[nodiscard]] interruptible_store_call makeInterruptibleStoreCall(store_settings settings);

/** Returns a call that cannot be interrupted. */
[[nodiscard]] store_call makeStoreCall(store_settings settings);

} // namespace ragwortpin

#endif
