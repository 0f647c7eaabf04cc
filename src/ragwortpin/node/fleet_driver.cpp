#include "ragwortpin/node/fleet_driver.h"

#include <random>

namespace ragwortpin {

namespace {

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

fleet_driver::fleet_driver(boost::asio::io_context &context,
                           const node_settings &settings,
                           digest_sender send,
                           metrics_registry &metrics)
    : m_ticked{context}
    , m_digests{startDigests({}, settings.instance, settings.availabilityZone)}
    , m_rates{makeSharedRates({}, monotonicNow())}
    , m_send{std::move(send)}
    , m_members{std::make_shared<membership_view>()}
    , m_incarnation{randomIncarnation()}
    , m_malformed{metrics.counterFor("ragwortpin_digests_malformed_total")}
    , m_waited{metrics.counterFor("ragwortpin_rate_waits_total")}
{ }

void fleet_driver::updateConfiguration(const configuration &value)
{
    applyLimits(m_rates, value.workspaces, monotonicNow());
}

void fleet_driver::updateMembers(std::shared_ptr<const membership_view> view)
{
    m_members = std::move(view);
}

void fleet_driver::receive(std::string_view sender, std::string_view payload)
{
    const auto now = monotonicNow();
    const auto digests = receiveDigests(m_digests, sender, *m_members, payload, now);
    if (!digests) {
        m_malformed.add();
        return;
    }
    for (const auto &digest : *digests) {
        noteReport(m_rates, digest.usage, now);
    }
}

void fleet_driver::tick(const target_gateway &target)
{
    const auto now = monotonicNow();
    tickRates(m_rates, now);
    const auto own = ownDigest(target);
    for (auto &output : tickDigests(m_digests, own, *m_members, now)) {
        m_send(output.to, std::move(output.payload));
    }
    m_ticked.notifyAll();
}

boost::asio::awaitable<rate_answer> fleet_driver::take(std::string workspace, std::shared_ptr<call_control> control)
{
    auto decision = takeToken(m_rates, workspace, monotonicNow());
    if (!decision.admitted && decision.mayWait) {
        m_waited.add();
        co_await m_ticked.wait();
        if (!control->cancelled()) {
            decision = takeToken(m_rates, workspace, monotonicNow());
        }
    }
    co_return rate_answer{decision.admitted, decision.retryAfter};
}

node_digest fleet_driver::ownDigest(const target_gateway &target)
{
    node_digest digest;
    digest.availabilityZone = m_digests.availabilityZone;
    if (const auto &admission = target.admission(); admission && target.takesWork()) {
        digest.service = target.announced()->service;
        digest.limit = currentLimit(admission->limit);
        digest.running = static_cast<std::uint32_t>(admission->running.size());
        digest.queued = static_cast<std::uint32_t>(admission->queue.size());
        digest.finished = admission->counters.completed;
    }
    digest.usage = {.instance = m_digests.instance, .incarnation = m_incarnation, .sequence = ++m_sequence, .usages = ownUsages(m_rates)};
    return digest;
}

} // namespace ragwortpin
