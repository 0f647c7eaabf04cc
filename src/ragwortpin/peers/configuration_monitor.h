#ifndef RAGWORTPIN_PEERS_CONFIGURATION_MONITOR_H
#define RAGWORTPIN_PEERS_CONFIGURATION_MONITOR_H

#include "ragwortpin/peers/control_duty.h"

#include <cstdint>
#include <optional>
#include <system_error>

namespace ragwortpin::internal {

/** Age from which on the proof of the configuration in force is logged as old, but at least twice the interval of reads. */
inline constexpr seconds OldProofAge{2};

/**
 * Logs the changes of state of the configuration distribution: reads of the head that fail and succeed again, failed pulls, and a proof
 * that gets old. Observes the state only; nothing depends on it. Must only be used on the control thread.
 */
class configuration_monitor
{
public:
    /** Records a sign that a newer configuration than the one in force may exist. Only the first one until the next change counts. */
    void recordSignal(time_point now, change_signal signal);

    /** Returns where the content that the state returned last comes from. Must be called before it is recorded as applied. */
    [[nodiscard]] configuration_origin originOf(time_point now, const spread_state &spread) const;

    /** Forgets the sign of the configuration that came into force. */
    void recordApplied();

    /** Logs what the reply to a read of the head changed. */
    void observeHead(time_point now, const spread_state &spread, const head_reply &reply);

    /** Logs what changed since the last call. The error is that of the reply that was handled in between, if any. */
    void observe(time_point now, const spread_state &spread, const poll_position &position, std::error_code error = {});

private:
    void observeReads(time_point now, const spread_state &spread, const poll_position &position, std::error_code error);
    void observePull(time_point now, const spread_state &spread, std::error_code error);
    void observeProof(time_point now, const spread_state &spread, const poll_position &position);

    struct heard_signal
    {
        time_point at{};
        change_signal signal{change_signal::Read};
    };

    std::optional<heard_signal> m_signal;
    /** Time of the last read of the head that succeeded. */
    std::optional<time_point> m_readAt;
    /** Time of the first of the failed reads; empty while reads succeed. */
    std::optional<time_point> m_failingSince;
    std::uint64_t m_failuresBefore{0};
    std::uint64_t m_pollFailures{0};
    std::uint64_t m_pullFailures{0};
    std::uint64_t m_unprovenClaims{0};
    std::optional<pull_request> m_pull;
    std::uint64_t m_pullRevision{0};
    bool m_isProofOld{false};
    time_point m_proofOldSince{};
};

} // namespace ragwortpin::internal

#endif
