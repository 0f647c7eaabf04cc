#include "ragwortpin/node/head_duty.h"

#include "ragwortpin/config/publication.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/runtime/guard.h"
#include "ragwortpin/runtime/logging.h"
#include "ragwortpin/store/error.h"

#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t RequestCapacity{8};
/** Pause before a reply that was not accepted is passed on again. */
constexpr milliseconds ReplyRetryInterval{5};

} // namespace

head_reply readHead(const store_call &call, std::uint64_t revisionInForce)
{
    const auto headResult = loadHead(call);
    if (headResult.error || !headResult.head) {
        return {.error = headResult.error, .revision = 0, .content = std::nullopt};
    }
    head_reply reply{.error = {}, .revision = headResult.head->revision, .content = std::nullopt};
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

head_duty::head_duty(store_call call, head_reader reader, std::function<bool(const head_reply &)> reply, metrics_registry &metrics)
    : m_workGuard{m_context.get_executor()}
    , m_reader{std::move(reader)}
    , m_reply{std::move(reply)}
    , m_calls{metrics.counterFor("ragwortpin_store_calls_total")}
    , m_failures{metrics.counterFor("ragwortpin_store_call_failures_total")}
    , fromControl{m_context, RequestCapacity, [this](const read_head_request &request) {
                      read(request);
                  }}
{
    m_call = [this, inner = std::move(call)](const store_request &request) {
        m_calls.add();
        auto result = inner(request);
        if (result.error) {
            m_failures.add();
        } else if (result.revision > 0) {
            m_lastRevision.store(result.revision);
        }
        return result;
    };
}

head_duty::~head_duty()
{
    stop();
}

void head_duty::start()
{
    m_thread = std::thread{[this] {
        runGuardedLoop("head", m_context);
    }};
}

void head_duty::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void head_duty::read(const read_head_request &request)
{
    const auto askedAt = monotonicNow();
    head_reply reply;
    const bool isRead{runGuarded("head reader", [&] {
        reply = m_reader(m_call, request.revisionInForce);
    })};
    if (!isRead) {
        reply = {.error = store_errc::MalformedResponse, .revision = 0, .content = std::nullopt};
    }
    reply.askedAt = askedAt;
    deliver(reply);
}

/** Passes a reply on until it is accepted. The control thread asks for no other read meanwhile. */
void head_duty::deliver(const head_reply &reply)
{
    if (m_reply(reply)) {
        return;
    }
    logEvent(log_level::Warning, "head_reply_delayed", {{"remedy", "none needed; it is passed on again"}});
    while (!m_context.stopped()) {
        std::this_thread::sleep_for(ReplyRetryInterval);
        if (m_reply(reply)) {
            return;
        }
    }
}

} // namespace ragwortpin
