#ifndef RAGWORTPIN_TARGETS_IN_FLIGHT_H
#define RAGWORTPIN_TARGETS_IN_FLIGHT_H

#include "ragwortpin/admission/shed_level.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/http/call_control.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/retries/allowance.h"
#include "ragwortpin/targets/fwd.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortpin {

/** A request that the target is working on; the calls that the target makes for it take their identity from here. */
struct in_flight_request
{
    request_context context;
    time_point deadline;
    retry_allowance escrow;
    /** Strictest shed level of the answers to the target's calls. */
    shed_level level;
    /** Calls of the target that are under way. */
    unsigned activeCalls{0};
    /** When the number of calls under way last rose from zero. */
    time_point waitingSince;
    /** Time during which at least one call was under way. */
    duration downstreamTime{0};
    /** Controls of the calls under way, cancelled together with this request. */
    std::vector<std::weak_ptr<call_control>> calls;
};

/** Records that a call of the target starts. */
void beginCall(in_flight_request &request, const std::shared_ptr<call_control> &control, time_point now);

/** Records that a call of the target ended. */
void endCall(in_flight_request &request, time_point now);

/** Cancels every call of the target that is under way. */
void cancelCalls(in_flight_request &request);

/** In-flight requests by the unguessable token that their target was given. */
class in_flight_table
{
public:
    /** Adds a request and returns its token. */
    [[nodiscard]] std::string add(std::shared_ptr<in_flight_request> request);

    /** Finds a request; null when the token names none. */
    [[nodiscard]] std::shared_ptr<in_flight_request> find(std::string_view token) const;

    /** Removes a request; its token names nothing from then on. */
    void remove(const std::string &token);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_requests.size();
    }

private:
    std::unordered_map<std::string, std::shared_ptr<in_flight_request>> m_requests;
};

} // namespace ragwortpin

#endif
