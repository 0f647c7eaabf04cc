#include "ragwortpin/node/claims_duty.h"

#include <random>
#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t CommandCapacity{256};
constexpr seconds PruneInterval{600};
constexpr seconds DropRetryInterval{2};

seconds randomPruneInterval()
{
    std::random_device randomDevice;
    std::uniform_int_distribution<long> interval{PruneInterval.count() / 2, PruneInterval.count() * 3 / 2};
    return seconds{interval(randomDevice)};
}

} // namespace

claims_duty::claims_duty(claim_settings settings, store_call call, std::function<void(claim_reply)> reply, metrics_registry &metrics)
    : m_workGuard{m_context.get_executor()}
    , m_pruneTimer{m_context}
    , m_settings{std::move(settings)}
    , m_call{std::move(call)}
    , m_reply{std::move(reply)}
    , m_claimsGranted{metrics.counterFor("ragwortpin_claims_total{verdict=\"run\"}")}
    , m_claimsNotGranted{metrics.counterFor("ragwortpin_claims_total{verdict=\"other\"}")}
    , m_unrecordedOutcomes{metrics.counterFor("ragwortpin_claim_outcomes_unrecorded_total")}
    , m_claimLatency{metrics.distributionFor("ragwortpin_claim_seconds")}
    , fromData{m_context, CommandCapacity, [this](const claim_command &command) {
                   handle(command);
               }}
{ }

claims_duty::~claims_duty()
{
    stop();
}

void claims_duty::start()
{
    schedulePruning();
    m_thread = std::thread{[this] {
        runGuardedLoop("claims", m_context);
    }};
}

void claims_duty::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void claims_duty::handle(const claim_command &command)
{
    if (const auto *acquireCommand = std::get_if<acquire_claim_command>(&command)) {
        acquireClaim(*acquireCommand);
    } else if (const auto *finishCommand = std::get_if<finish_claim_command>(&command)) {
        finishClaim(*finishCommand);
    } else if (const auto *dropCommand = std::get_if<drop_claim_command>(&command)) {
        removeClaimWithRetries(dropCommand->handle);
    }
}

void claims_duty::acquireClaim(const acquire_claim_command &command)
{
    const auto started = monotonicNow();
    auto result = claim(m_settings, m_call, m_breaker, command.request, monotonicNow);
    m_claimLatency.record(monotonicNow() - started);
    (result.verdict == claim_verdict::Run ? m_claimsGranted : m_claimsNotGranted).add();
    if (result.leftoverClaim) {
        removeClaimWithRetries(*result.leftoverClaim);
    }
    m_reply({command.id, std::move(result)});
}

void claims_duty::finishClaim(const finish_claim_command &command)
{
    std::error_code error;
    switch (command.result) {
    case outcome::Ran:
        error = recordCompleted(m_settings, m_call, command.handle, command.answer);
        break;
    case outcome::NotRun:
        error = releaseClaim(m_settings, m_call, command.handle);
        break;
    case outcome::Unknown:
        error = recordUnknownOutcome(m_settings, m_call, command.handle);
        break;
    }
    if (error) {
        m_unrecordedOutcomes.add();
    }
    m_reply({command.id, {}});
}

void claims_duty::removeClaimWithRetries(const claim_handle &abandoned)
{
    if (removeLeftoverClaim(m_call, abandoned) != claims_errc::StoreUnavailable) {
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, DropRetryInterval);
    timer->async_wait([this, timer, abandoned](boost::system::error_code error) {
        if (!error) {
            removeClaimWithRetries(abandoned);
        }
    });
}

void claims_duty::schedulePruning()
{
    m_pruneTimer.expires_after(randomPruneInterval());
    m_pruneTimer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        const auto step = pruneClaims(m_settings, m_call, m_pruneCursor, wallClockNow());
        m_pruneCursor = step.next;
        schedulePruning();
    });
}

} // namespace ragwortpin
