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

/** Request that the target is processing. The calls that the target makes for it inherit its context, deadline and retry escrow. */
struct in_flight_request
{
    request_context context;
    time_point deadline;
    retry_allowance escrow;
    /** Strictest shed level in the answers to the calls that the target made for this request. */
    shed_level level;
    /** Number of the target's calls that are in progress. */
    unsigned activeCalls{0};
    /** Time at which the number of calls in progress last rose from zero. */
    time_point callsActiveSince;
    /**
     * Total time during which at least one call was in progress. The period that started at callsActiveSince is added when its
     * last call ends.
     */
    duration downstreamTime{0};
    /** Controls of the calls in progress, which are cancelled when this request ends. */
    std::vector<std::weak_ptr<call_control>> calls;
};

/** Records the start of a call that the target makes for the request. */
void beginCall(in_flight_request &request, const std::shared_ptr<call_control> &control, time_point now);

/** Records the end of a call that the target made for the request. */
void endCall(in_flight_request &request, time_point now);

/** Cancels all calls in progress that the target made for the request. */
void cancelCalls(in_flight_request &request);

/** In-flight requests, indexed by the random token that was sent to the target. Tokens cannot be guessed. */
class in_flight_table
{
public:
    /** Adds a request and returns its token. */
    [[nodiscard]] std::string add(std::shared_ptr<in_flight_request> request);

    /** Returns the request with the given token; null if there is none. */
    [[nodiscard]] std::shared_ptr<in_flight_request> find(std::string_view token) const;

    /** Removes a request, which invalidates its token. */
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
