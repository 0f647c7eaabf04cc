#include "ragwortpin/node/rate_driver.h"

namespace ragwortpin {

rate_driver::rate_driver(boost::asio::io_context &context,
                         const rights_settings &settings,
                         const rights_identity &self,
                         rate_driver_outputs outputs,
                         metrics_registry &metrics)
    : m_changed{context}
    , m_state{makeRights(settings, self, monotonicNow())}
    , m_outputs{std::move(outputs)}
    , m_malformed{metrics.counterFor("ragwortpin_rate_messages_malformed_total")}
{ }

void rate_driver::updateConfiguration(std::shared_ptr<const configuration> value)
{
    onConfiguration(m_state, std::move(value), monotonicNow());
    flush();
}

void rate_driver::updateMembers(std::shared_ptr<const membership_view> view)
{
    m_members = view;
    onMembers(m_state, std::move(view), monotonicNow());
    flush();
}

void rate_driver::receive(std::string_view sender, std::string_view payload)
{
    std::error_code error;
    const auto message = decodeRightsMessage(payload, error);
    if (error || message.from != sender) {
        m_malformed.add();
        return;
    }
    onMessage(m_state, message, monotonicNow());
    flush();
    m_changed.notifyAll();
}

void rate_driver::receiveReply(std::uint64_t token, const store_reply &reply)
{
    onStoreReply(m_state, token, reply, monotonicNow());
    flush();
    m_changed.notifyAll();
}

void rate_driver::tick()
{
    onTick(m_state, monotonicNow());
    flush();
    m_changed.notifyAll();
}

void rate_driver::startRelease()
{
    beginRelease(m_state, monotonicNow());
    flush();
}

bool rate_driver::isReleased() const
{
    return isReleaseComplete(m_state);
}

boost::asio::awaitable<rate_limit_result> rate_driver::take(std::string workspace, std::shared_ptr<call_control> control)
{
    const auto arrived = monotonicNow();
    for (;;) {
        const auto decision = takeToken(m_state, workspace, arrived, monotonicNow());
        flush();
        if (decision.verdict != token_verdict::Wait || control->cancelled()) {
            co_return rate_limit_result{decision.verdict == token_verdict::Admitted, decision.retryAfter};
        }
        co_await m_changed.wait();
    }
}

void rate_driver::flush()
{
    auto output = takeOutput(m_state);
    for (auto &envelope : output.messages) {
        const auto *to = m_members ? findInstance(*m_members, envelope.to) : nullptr;
        if (to != nullptr) {
            m_outputs.sendMessage(*to, encodeRightsMessage(envelope.message));
        }
    }
    for (auto &call : output.storeCalls) {
        m_outputs.callStore(std::move(call));
    }
}

} // namespace ragwortpin
