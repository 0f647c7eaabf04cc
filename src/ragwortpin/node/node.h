#ifndef RAGWORTPIN_NODE_NODE_H
#define RAGWORTPIN_NODE_NODE_H

#include "ragwortpin/node/fwd.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/node/store_duty.h"
#include "ragwortpin/operators/admin_server.h"
#include "ragwortpin/store/etcd_codec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortpin {

/** A listener that a deployment adds, or why it cannot listen. */
struct listener_result
{
    std::shared_ptr<void> listener;
    /** What went wrong in words; empty on success. */
    std::string problem;
};

/** What a deployment brings in place of, or besides, the node's own interfaces. */
struct node_extensions
{
    /** How calls to the store are written. */
    store_protocol protocol{etcdProtocol()};
    /** Reads the newest configuration; one function for each node, since it may keep state. */
    head_reader reader{readHead};
    /**
     * Whether the reader checks what it reads by the deployment's own rules. The node then leaves out its check of a set that
     * operators wrote, whose rules on names and importances do not bind the deployment.
     */
    bool readerChecks{false};
    /** Prefix of the configuration's keys in the store, for the watch. */
    std::string watchPrefix;
    /** Adds listeners that run on the operators' thread; may be empty. */
    std::function<listener_result(boost::asio::io_context &context, const admin_services &services, metrics_registry &metrics)> listen;
};

/** A node: its duties, one thread each, and the mailboxes between them. */
class node
{
public:
    node(node_settings settings, signing_keys keys, node_extensions extensions = {});
    node(const node &) = delete;
    node &operator=(const node &) = delete;
    ~node();

    /** Binds all addresses and starts every duty. Returns what went wrong in words; empty on success. */
    [[nodiscard]] std::string start();

    /** Takes over what may change while the node runs: the seeds. Returns the names of changed settings that need a restart. */
    [[nodiscard]] std::vector<std::string> reload(const node_settings &settings);

    /** Begins a graceful shutdown. Any thread; not from a signal handler. */
    void requestShutdown();

    /** Blocks until the shutdown is complete. */
    void wait();

private:
    class duties;

    std::unique_ptr<duties> m_duties;
};

} // namespace ragwortpin

#endif
