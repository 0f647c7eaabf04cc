#include "ragwortpin/peers/configuration_monitor.h"

#include "ragwortpin/runtime/logging.h"

#include <algorithm>
#include <string>
#include <utility>

namespace ragwortpin::internal {

namespace {

/** Returns the time since the given one in milliseconds; empty if there was none. */
std::string millisecondsSince(std::optional<time_point> at, time_point now)
{
    return at ? toMilliseconds(now - *at) : std::string{};
}

const revision_claim *findClaim(const spread_state &spread, const std::string &peer)
{
    const auto found = std::find_if(spread.claims.begin(), spread.claims.end(), [&peer](const revision_claim &claim) {
        return claim.peer == peer;
    });
    return found == spread.claims.end() ? nullptr : &*found;
}

bool hasNewerClaim(const spread_state &spread)
{
    return std::any_of(spread.claims.begin(), spread.claims.end(), [&spread](const revision_claim &claim) {
        return claim.revision > spread.inForce.revision;
    });
}

} // namespace

void configuration_monitor::recordSignal(time_point now, change_signal signal)
{
    if (!m_signal) {
        m_signal = heard_signal{now, signal};
    }
}

configuration_origin configuration_monitor::originOf(time_point now, const spread_state &spread) const
{
    configuration_origin origin;
    origin.source = spread.lastProvider.empty() ? configuration_source::Store : configuration_source::Peer;
    origin.peer = spread.lastProvider;
    if (spread.proof.provenAt) {
        origin.proofAge = now - *spread.proof.provenAt;
    }
    if (m_signal) {
        origin.signal = m_signal->signal;
        origin.heardFor = now - m_signal->at;
    }
    return origin;
}

void configuration_monitor::recordApplied()
{
    m_signal.reset();
}

void configuration_monitor::observeHead(time_point now, const spread_state &spread, const head_reply &reply)
{
    if (reply.error) {
        return;
    }
    m_readAt = now;
    const bool isNewest{reply.revision <= spread.inForce.revision};
    if (isNewest && !spread.isPollRequested && !hasNewerClaim(spread)) {
        m_signal.reset();
    }
}

void configuration_monitor::observe(time_point now, const spread_state &spread, const poll_position &position, std::error_code error)
{
    observeReads(now, spread, position, error);
    observePull(now, spread, error);
    observeProof(now, spread, position);
}

void configuration_monitor::observeReads(time_point now, const spread_state &spread, const poll_position &position, std::error_code error)
{
    const auto failures = std::exchange(m_pollFailures, spread.counters.pollFailures);
    if (spread.pollFailed && !m_failingSince) {
        m_failingSince = now;
        m_failuresBefore = failures;
        logEvent(log_level::Warning,
                 "head_reads_failing",
                 {{"error", error ? error.message() : "no answer within " + toMilliseconds(spread.options.pollTimeout) + " ms"},
                  {"backoff", std::to_string(spread.pollBackoff)},
                  {"next_read_in_ms", toMilliseconds(nextPollDue(spread, position) - now)},
                  {"since_last_read_ms", millisecondsSince(m_readAt, now)}});
    } else if (!spread.pollFailed && m_failingSince) {
        logEvent(log_level::Info,
                 "head_reads_recovered",
                 {{"failed_for_ms", millisecondsSince(m_failingSince, now)},
                  {"failures", std::to_string(spread.counters.pollFailures - m_failuresBefore)}});
        m_failingSince.reset();
    }
}

void configuration_monitor::observePull(time_point now, const spread_state &spread, std::error_code error)
{
    const bool hasFailed{std::exchange(m_pullFailures, spread.counters.pullFailures) != spread.counters.pullFailures};
    const bool wasUnproven{std::exchange(m_unprovenClaims, spread.counters.unprovenClaims) != spread.counters.unprovenClaims};
    if (hasFailed && m_pull) {
        std::string reason{error ? error.message() : "no answer within " + toMilliseconds(spread.options.pullTimeout) + " ms"};
        if (wasUnproven) {
            reason = "the content did not prove the claim";
        }
        const auto *claim = findClaim(spread, m_pull->peer);
        logForeign(log_level::Warning,
                   "configuration_pull_failed",
                   {{"peer", m_pull->peer},
                    {"claimed_revision", std::to_string(m_pullRevision)},
                    {"revision", std::to_string(spread.inForce.revision)},
                    {"reason", reason},
                    {"passed_over_for_ms", claim != nullptr ? toMilliseconds(claim->notBefore - now) : std::string{}}});
    }
    const auto pendingId = spread.pull ? spread.pull->id : 0;
    if (pendingId == (m_pull ? m_pull->id : 0)) {
        return;
    }
    m_pull = spread.pull;
    const auto *claim = m_pull ? findClaim(spread, m_pull->peer) : nullptr;
    m_pullRevision = claim != nullptr ? claim->revision : 0;
}

void configuration_monitor::observeProof(time_point now, const spread_state &spread, const poll_position &position)
{
    const auto &proof = spread.proof;
    const bool isUsed{spread.inForce.revision > 0 && proof.options.queryAgeThreshold > duration::zero() && proof.provenAt};
    const bool isOld{isUsed && now - *proof.provenAt > std::max<duration>(OldProofAge, 2 * spread.options.zonePollInterval)};
    if (isOld == m_isProofOld) {
        return;
    }
    m_isProofOld = isOld;
    if (!isOld) {
        logForeign(log_level::Info,
                   "configuration_proof_fresh",
                   {{"revision", std::to_string(spread.inForce.revision)}, {"old_for_ms", millisecondsSince(m_proofOldSince, now)}});
        return;
    }
    m_proofOldSince = now;
    const auto readStarted = spread.pollDeadline - spread.options.pollTimeout;
    logForeign(log_level::Warning,
               "configuration_proof_old",
               {{"revision", std::to_string(spread.inForce.revision)},
                {"age_ms", millisecondsSince(proof.provenAt, now)},
                {"since_last_read_ms", millisecondsSince(m_readAt, now)},
                {"read_pending_ms", spread.isPolling ? toMilliseconds(now - readStarted) : std::string{}},
                {"next_read_in_ms", spread.isPolling ? std::string{} : toMilliseconds(nextPollDue(spread, position) - now)},
                {"backoff", std::to_string(spread.pollBackoff)}});
}

} // namespace ragwortpin::internal
