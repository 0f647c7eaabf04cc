#include "ragwortpin/peers/control_duty.h"

#include "ragwortpin/peers/control_loop.h"

#include <utility>

namespace ragwortpin {

std::string_view describe(configuration_source source) noexcept
{
    return source == configuration_source::Store ? "store" : "peer";
}

std::string_view describe(change_signal signal) noexcept
{
    switch (signal) {
    case change_signal::Watch:
        return "watch";
    case change_signal::Claim:
        return "claim";
    case change_signal::Read:
        return "read";
    }
    return {};
}

control_duty::control_duty(control_settings settings, control_callbacks callbacks)
    : m_loop{std::make_unique<internal::control_loop>(std::move(settings), std::move(callbacks))}
{ }

control_duty::~control_duty() = default;

std::error_code control_duty::start()
{
    return m_loop->start();
}

void control_duty::stop()
{
    m_loop->stop();
}

std::shared_ptr<const membership_view> control_duty::membership() const
{
    return m_loop->view();
}

spread_status control_duty::configurationStatus() const noexcept
{
    return m_loop->status();
}

std::uint64_t control_duty::revisionInForce() const noexcept
{
    return m_loop->revision();
}

std::optional<time_point> control_duty::provenAt() const noexcept
{
    return m_loop->provenAt();
}

bool control_duty::requestPoll()
{
    return m_loop->post(internal::hint_command{});
}

control_counters control_duty::counters() const
{
    return m_loop->counters();
}

bool control_duty::setOwnRecord(instance_record record)
{
    return m_loop->post(internal::own_record_command{std::move(record)});
}

bool control_duty::setSeeds(std::vector<peer_address> seeds)
{
    return m_loop->post(internal::seeds_command{std::move(seeds)});
}

bool control_duty::postHeadReply(head_reply reply)
{
    return m_loop->post(internal::head_reply_command{std::move(reply)});
}

bool control_duty::send(std::vector<peer_address> to, datagram_kind kind, std::vector<std::string> payloads)
{
    return m_loop->post(internal::send_command{std::move(to), kind, std::move(payloads)});
}

control_methods control_duty::methods() const
{
    control_methods result;
    result.getConfiguration = [this](std::uint64_t baseRevision) {
        return m_loop->getConfiguration(baseRevision);
    };
    result.getStatus = [this] {
        return m_loop->getStatus();
    };
    return result;
}

void control_duty::setZoneFilter(std::function<bool(const std::string &availabilityZone)> filter)
{
    m_loop->setZoneFilter(std::move(filter));
}

} // namespace ragwortpin
