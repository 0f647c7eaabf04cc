#ifndef RAGWORTPIN_PEERS_CONTROL_DUTY_H
#define RAGWORTPIN_PEERS_CONTROL_DUTY_H

#include "ragwortpin/membership/protocol.h"
#include "ragwortpin/peers/control_rpc_jsonrpc.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/spread/proof.h"
#include "ragwortpin/spread/protocol.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortpin::internal {

class control_loop;

} // namespace ragwortpin::internal

namespace ragwortpin {

/** Settings of the control duty, fixed for the life of the process. */
struct control_settings
{
    /** What the node announces of itself at first. An incarnation of 0 is replaced by the wall clock in seconds. */
    instance_record self;
    std::vector<peer_address> seeds;
    datagram_secrets secrets;
    membership_options membership;
    spread_options spread;
    proof_options proof;
    /** Seed of the protocols' randomness; different at each node. */
    std::uint64_t randomSeed{0};

    bool operator==(const control_settings &) const = default;
};

/** What the control duty calls, always on its own thread. None of them may block. */
struct control_callbacks
{
    /** Checks content and puts it in force; returns false if it fails the check. Content never comes twice or backwards. */
    std::function<bool(const configuration_content &)> applyConfiguration;
    /**
     * Asks another thread to read the store's head, and its content if its revision is higher than the given one. The
     * answer goes to control_duty::postHeadReply().
     */
    std::function<void(std::uint64_t revisionInForce)> readHead;
    /** Handles the payload of a datagram of kind Loans. */
    std::function<void(const datagram &received, const peer_address &from)> handleLoan;
    /** Handles the payload of a datagram of kind Digest. */
    std::function<void(const datagram &received)> handleDigest;
    /** Told of each new membership snapshot; may be empty. */
    std::function<void(const std::shared_ptr<const membership_view> &)> membershipChanged;
};

/** Events of the control duty counted since start. */
struct control_counters
{
    membership_counters membership;
    spread_counters spread;
    std::uint64_t datagramsSent{0};
    std::uint64_t datagramsReceived{0};
    /** Bytes of datagrams including their IP and UDP headers. */
    std::uint64_t bytesSent{0};
    std::uint64_t bytesReceived{0};
    std::uint64_t sendFailures{0};
    /** Datagrams refused by open(), apart from stale ones. */
    std::uint64_t datagramsRefused{0};
    std::uint64_t datagramsStale{0};
    /** Datagrams whose envelope was right and whose message was not. */
    std::uint64_t messagesMalformed{0};
    /** Calls of other threads that were rejected because the ring was full. */
    std::uint64_t commandsRejected{0};

    bool operator==(const control_counters &) const = default;
};

/**
 * Thread that runs membership and the spread of configurations over one UDP socket. A second thread makes the blocking
 * pulls from peers. All member functions may be called from any thread.
 */
class control_duty
{
public:
    control_duty(control_settings settings, control_callbacks callbacks);
    control_duty(const control_duty &) = delete;
    control_duty &operator=(const control_duty &) = delete;
    ~control_duty();

    /** Opens the socket and starts the threads. Called once. */
    [[nodiscard]] std::error_code start();

    /** Stops and joins the threads. Announce the state Gone some hundred milliseconds before. */
    void stop();

    /** Newest membership snapshot; never null. */
    [[nodiscard]] std::shared_ptr<const membership_view> membership() const;

    /** Whether a configuration is in force. */
    [[nodiscard]] spread_status configurationStatus() const noexcept;

    /** Revision in force; 0 for none. */
    [[nodiscard]] std::uint64_t revisionInForce() const noexcept;

    /** Instant at which the configuration in force was the newest for certain; nothing before the first proof. */
    [[nodiscard]] std::optional<time_point> provenAt() const noexcept;

    /** Has the store's head read at once, because something hints at a change. */
    bool requestPoll();

    /** Counters, at most a tick old. */
    [[nodiscard]] control_counters counters() const;

    /** Announces a changed record of this node. False when the ring is full; the caller tries again. */
    [[nodiscard]] bool setOwnRecord(instance_record record);

    /** Replaces the seeds, for example after the platform's records were read. */
    [[nodiscard]] bool setSeeds(std::vector<peer_address> seeds);

    /** Passes on the answer to control_callbacks::readHead. A reply lost to a full ring counts as a failed read. */
    bool postHeadReply(head_reply reply);

    /** Sends a payload to a peer. It may be lost like any datagram, or rejected (false) when the ring is full. */
    bool send(const peer_address &to, datagram_kind kind, std::string payload);

    /** Methods behind the control calls of peers; thread-safe, valid while the duty lives. */
    [[nodiscard]] control_methods methods() const;

    /**
     * Restricts with which availability zones this node exchanges datagrams and pulls; for tests of partitions. An empty
     * function lifts the restriction. The function is called on the duty's threads.
     */
    void setMayExchange(std::function<bool(const std::string &availabilityZone)> mayExchange);

private:
    std::unique_ptr<internal::control_loop> m_loop;
};

} // namespace ragwortpin

#endif
