#include "ragwortpin/peers/pull_worker.h"

#include "ragwortpin/peers/control_client.h"

#include <utility>

namespace ragwortpin::internal {

namespace {

constexpr std::size_t RequestCapacity{4};

} // namespace

pull_worker::pull_worker(datagram_secrets secrets, duration timeout, std::function<void(pull_reply)> onReply)
    : m_secrets{std::move(secrets)}
    , m_timeout{timeout}
    , m_onReply{std::move(onReply)}
    , m_requests{RequestCapacity}
{ }

pull_worker::~pull_worker()
{
    stop();
}

void pull_worker::start()
{
    m_thread = std::thread{&pull_worker::run, this};
}

void pull_worker::stop()
{
    {
        const std::lock_guard lock{m_mutex};
        m_isStopping = true;
    }
    m_ready.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool pull_worker::enqueue(const pull_request &value)
{
    {
        const std::lock_guard lock{m_mutex};
        if (!m_requests.tryPush(value)) {
            return false;
        }
    }
    m_ready.notify_one();
    return true;
}

void pull_worker::run()
{
    std::unique_lock lock{m_mutex};
    while (!m_isStopping) {
        const auto request = m_requests.tryPop();
        if (!request) {
            m_ready.wait(lock);
            continue;
        }
        lock.unlock();
        m_onReply(pullConfiguration(*request, m_secrets, m_timeout));
        lock.lock();
    }
}

} // namespace ragwortpin::internal
