#include "ragwortpin/targets/in_flight.h"

#include "ragwortpin/identity/digest.h"

#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t TokenBytes{16};

} // namespace

void beginCall(in_flight_request &request, const std::shared_ptr<call_control> &control, time_point now)
{
    if (request.activeCalls == 0) {
        request.callsActiveSince = now;
    }
    ++request.activeCalls;
    std::erase_if(request.calls, [](const std::weak_ptr<call_control> &call) {
        return call.expired();
    });
    request.calls.push_back(control);
}

void endCall(in_flight_request &request, time_point now)
{
    --request.activeCalls;
    if (request.activeCalls == 0) {
        request.downstreamTime += now - request.callsActiveSince;
    }
}

void cancelCalls(in_flight_request &request)
{
    const auto calls = std::exchange(request.calls, {});
    for (const auto &call : calls) {
        if (const auto control = call.lock()) {
            control->cancel();
        }
    }
}

std::string in_flight_table::add(std::shared_ptr<in_flight_request> request)
{
    auto token = randomHex(TokenBytes);
    m_requests.emplace(token, std::move(request));
    return token;
}

std::shared_ptr<in_flight_request> in_flight_table::find(std::string_view token) const
{
    const auto found = m_requests.find(std::string{token});
    return found == m_requests.end() ? nullptr : found->second;
}

void in_flight_table::remove(const std::string &token)
{
    m_requests.erase(token);
}

} // namespace ragwortpin
