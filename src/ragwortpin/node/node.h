#ifndef RAGWORTPIN_NODE_NODE_H
#define RAGWORTPIN_NODE_NODE_H

#include "ragwortpin/node/fwd.h"
#include "ragwortpin/node/settings.h"

#include <memory>
#include <string>

namespace ragwortpin {

/** A node: its duties, one thread each, and the mailboxes between them. */
class node
{
public:
    node(node_settings settings, signing_keys keys);
    node(const node &) = delete;
    node &operator=(const node &) = delete;
    ~node();

    /** Binds all addresses and starts every duty. Returns what went wrong in words; empty on success. */
    [[nodiscard]] std::string start();

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
