#include "ragwortpin/node/platform_duty.h"

#include "ragwortpin/config/publication.h"
#include "ragwortpin/config/serialise.h"

#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t HeadRequests{8};
constexpr std::size_t RateCalls{64};

} // namespace

head_reply readHead(const store_call &call, std::uint64_t revisionInForce)
{
    const auto reading = loadHead(call);
    if (reading.error || !reading.head) {
        return {.error = reading.error, .revision = 0, .content = std::nullopt};
    }
    head_reply reply{.error = {}, .revision = reading.head->revision, .content = std::nullopt};
    if (reply.revision <= revisionInForce) {
        return reply;
    }
    const auto loaded = loadRevision(call, reply.revision);
    if (loaded.error) {
        reply.error = loaded.error;
    } else if (loaded.value) {
        reply.content = makeContent(reply.revision, encodeConfiguration(*loaded.value));
    }
    return reply;
}

platform_duty::platform_duty(store_call call, platform_duty_outputs outputs, metrics_registry &metrics)
    : m_work{m_context.get_executor()}
    , m_outputs{std::move(outputs)}
    , m_calls{metrics.counterFor("ragwortpin_store_calls_total")}
    , m_failures{metrics.counterFor("ragwortpin_store_call_failures_total")}
    , fromControl{m_context,
                  HeadRequests,
                  [this](read_head_event event) {
                      m_outputs.headRead(readHead(m_call, event.revisionInForce));
                  }}
    , fromData{m_context, RateCalls, [this](const rights_store_call &event) {
                   m_outputs.rateReply({event.token, m_call(event.request)});
               }}
{
    m_call = [this, inner = std::move(call)](const store_request &request) {
        m_calls.add();
        auto reply = inner(request);
        if (reply.error) {
            m_failures.add();
        }
        return reply;
    };
}

platform_duty::~platform_duty()
{
    stop();
}

void platform_duty::start()
{
    m_thread = std::thread{[this] {
        m_context.run();
    }};
}

void platform_duty::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace ragwortpin
