#ifndef RAGWORTPIN_PEERS_PULL_WORKER_H
#define RAGWORTPIN_PEERS_PULL_WORKER_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/runtime/bounded_ring.h"
#include "ragwortpin/spread/state.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace ragwortpin::internal {

/** Thread that makes blocking pulls from peers, one at a time. */
class pull_worker
{
public:
    /** @param reply called on the worker's thread with each outcome */
    pull_worker(datagram_secrets secrets, duration timeout, std::function<void(pull_reply)> reply);
    pull_worker(const pull_worker &) = delete;
    pull_worker &operator=(const pull_worker &) = delete;
    ~pull_worker();

    void start();

    /** Waits for the pull under way, then ends the thread. */
    void stop();

    /** Queues a pull. False when the ring is full; the pull then times out at its requester. */
    bool request(const pull_request &value);

private:
    void run();

    datagram_secrets m_secrets;
    duration m_timeout;
    std::function<void(pull_reply)> m_reply;
    std::mutex m_mutex;
    std::condition_variable m_ready;
    bounded_ring<pull_request> m_requests;
    bool m_isStopping{false};
    std::thread m_thread;
};

} // namespace ragwortpin::internal

#endif
