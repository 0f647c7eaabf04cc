#ifndef RAGWORTPIN_NODE_NODE_H
#define RAGWORTPIN_NODE_NODE_H

#include "ragwortpin/node/fwd.h"
#include "ragwortpin/node/head_duty.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/operators/admin_server.h"
#include "ragwortpin/store/etcd_codec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortpin {

/** A listener that a deployment adds, or the reason why it cannot listen. */
struct listener_result
{
    std::shared_ptr<void> listener;
    /** Error message; empty on success. */
    std::string problem;
};

/** Interfaces that a deployment replaces or adds. */
struct node_extensions
{
    /** Protocol that encodes the calls to the store and decodes the replies. */
    store_protocol protocol{etcdProtocol()};
    /** Reads the newest configuration. It may keep state, so each node needs a function object of its own. */
    head_reader reader{readHead};
    /**
     * Whether the reader validates configurations by the deployment's own rules. The node then skips its own validation, which is
     * meant for configurations written by operators: its rules for names and importances do not apply to the deployment.
     */
    bool readerChecks{false};
    /** Prefix of the configuration keys in the store that are watched for changes. */
    std::string watchPrefix;
    /** Adds listeners that run on the admin thread; may be empty. */
    std::function<listener_result(boost::asio::io_context &context, const admin_callbacks &services, metrics_registry &metrics)> listen;
};

/** A node: its components, each with a thread of its own, and the mailboxes between them. */
class node
{
public:
    /** The source may be empty; otherwise it is called on one thread, about once a second and with each reload(). */
    node(node_settings settings, signing_keys keys, node_extensions extensions = {}, settings_source source = {});
    node(const node &) = delete;
    node &operator=(const node &) = delete;
    ~node();

    /** Binds all addresses and starts all threads. Returns an error message; empty on success. */
    [[nodiscard]] std::string start();

    /**
     * Reads the settings again and applies those that can change at run time, which are the seeds and the target. Logs the names of
     * changed settings that need a restart. The node also does so by itself when the file changes. May be called from any thread.
     */
    void reload();

    /** Begins a graceful shutdown. May be called from any thread, but not from a signal handler. */
    void requestShutdown();

    /** Blocks until the shutdown is complete. */
    void wait();

private:
    class impl;

    std::unique_ptr<impl> m_impl;
};

} // namespace ragwortpin

#endif
