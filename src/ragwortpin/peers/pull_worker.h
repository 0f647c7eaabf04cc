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

/** Makes blocking pulls from peers on a thread of its own, one at a time. */
class pull_worker
{
public:
    /** @param onReply called on the worker's thread with the result of each pull */
    pull_worker(datagram_secrets secrets, duration timeout, std::function<void(pull_reply)> onReply);
    pull_worker(const pull_worker &) = delete;
    pull_worker &operator=(const pull_worker &) = delete;
    ~pull_worker();

    void start();

    /** Waits until the pull in progress has ended, then joins the thread. Queued pulls are not made. */
    void stop();

    /** Queues a pull. Returns false if the queue is full; no reply follows and the requester's own timeout applies. */
    bool enqueue(const pull_request &value);

private:
    void run();

    datagram_secrets m_secrets;
    duration m_timeout;
    std::function<void(pull_reply)> m_onReply;
    std::mutex m_mutex;
    std::condition_variable m_ready;
    bounded_ring<pull_request> m_requests;
    bool m_isStopping{false};
    std::thread m_thread;
};

} // namespace ragwortpin::internal

#endif
