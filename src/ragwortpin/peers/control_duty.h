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
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortpin::internal {

class control_loop;

} // namespace ragwortpin::internal

namespace ragwortpin {

/** Settings of a control_duty; constant for the lifetime of the process. */
struct control_settings
{
    /** Record that the node announces first. An incarnation of 0 is replaced by the wall clock in seconds since the Unix epoch. */
    instance_record self;
    std::vector<peer_address> seeds;
    datagram_secrets secrets;
    membership_options membership;
    spread_options spread;
    proof_options proof;
    /** Seed of the random number generator that the protocols use; has to differ between nodes. */
    std::uint64_t randomSeed{0};

    bool operator==(const control_settings &) const = default;
};

/** Where a node got a configuration from. */
enum class configuration_source : unsigned char {
    /** From its own read of the store's head. */
    Store,
    /** From the peer that it pulled the content from. */
    Peer,
};

/** First sign of a newer configuration that reached a node. */
enum class change_signal : unsigned char {
    /** The watch of the store, or another request to read the head at once. */
    Watch,
    /** The claim of a peer to have a newer revision in force. */
    Claim,
    /** A regular read of the head. */
    Read,
};

/** How a configuration came to a node, for logs and metrics. */
struct configuration_origin
{
    configuration_source source{configuration_source::Store};
    /** Name of the peer that provided the content; empty if it came from the store. */
    std::string peer{};
    /** Age of the proof of the configuration that was in force before; empty if there was none. */
    std::optional<duration> proofAge{};
    change_signal signal{change_signal::Read};
    /** Time since the first sign of a newer configuration. */
    duration heardFor{0};

    bool operator==(const configuration_origin &) const = default;
};

/** Returns the name of a source in logs. */
[[nodiscard]] std::string_view describe(configuration_source source) noexcept;

/** Returns the name of a signal in logs. */
[[nodiscard]] std::string_view describe(change_signal signal) noexcept;

/** Callbacks of a control_duty. They are always called on its thread and must not block. */
struct control_callbacks
{
    /**
     * Validates configuration content and puts it in force; returns false if the validation fails. Is never called again for
     * content that is in force, nor for a lower revision.
     */
    std::function<bool(const configuration_content &, const configuration_origin &)> applyConfiguration;
    /**
     * Starts a read of the store's head (the newest published revision) on another thread, including its content if its
     * revision is higher than the given one. The result has to be passed to control_duty::postHeadReply().
     */
    std::function<void(std::uint64_t revisionInForce)> readHead;
    /** Handles a datagram of kind Loans; may be empty. */
    std::function<void(const datagram &received, const peer_address &from)> handleLoan;
    /** Handles a datagram of kind Digest; may be empty. */
    std::function<void(const datagram &received)> handleDigest;
    /** Called with each new membership snapshot; may be empty. */
    std::function<void(const std::shared_ptr<const membership_view> &)> membershipChanged;
};

/** Events of a control_duty counted since its start. */
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
    /** Received datagrams that open() rejected, except stale ones. */
    std::uint64_t datagramsRefused{0};
    /** Received datagrams rejected because their time differs from the local wall clock by more than MaxDatagramAge. */
    std::uint64_t datagramsStale{0};
    /** Datagrams with a valid envelope whose message could not be decoded. */
    std::uint64_t messagesMalformed{0};
    /** Factor by which the mean interval between reads of the head is longer now. */
    unsigned pollBackoff{1};
    /** Peers from which no content is pulled now, because an earlier pull failed or did not prove its claim. */
    std::uint64_t peersPassedOver{0};
    /** Commands of other threads that were rejected because the command queue was full. */
    std::uint64_t commandsRejected{0};

    bool operator==(const control_counters &) const = default;
};

/**
 * Runs the membership protocol and the dissemination of configurations on a thread of its own, over one UDP socket. A second
 * thread makes the blocking pulls from peers. All member functions may be called from any thread.
 */
class control_duty
{
public:
    control_duty(control_settings settings, control_callbacks callbacks);
    control_duty(const control_duty &) = delete;
    control_duty &operator=(const control_duty &) = delete;
    ~control_duty();

    /** Opens the socket and starts the threads; must be called only once. Fails with SocketUnavailable. */
    [[nodiscard]] std::error_code start();

    /** Stops and joins the threads. Announce instance_state::Gone some hundred milliseconds before, so that it is still sent to peers. */
    void stop();

    /** Returns the newest membership snapshot; never null. */
    [[nodiscard]] std::shared_ptr<const membership_view> membership() const;

    /** Returns whether a configuration is in force, is being loaded or is unavailable. */
    [[nodiscard]] spread_status configurationStatus() const noexcept;

    /** Returns the revision of the configuration in force; 0 if there is none. */
    [[nodiscard]] std::uint64_t revisionInForce() const noexcept;

    /** Returns the latest instant at which the configuration in force was proven to be the newest; nothing before the first proof. */
    [[nodiscard]] std::optional<time_point> provenAt() const noexcept;

    /** Triggers an immediate read of the store's head because it may have changed. Returns false if the command queue is full. */
    bool requestPoll();

    /** Returns the counters, which are updated once a second. */
    [[nodiscard]] control_counters counters() const;

    /** Announces a changed record of this node. Returns false if the command queue is full; the caller then has to retry. */
    [[nodiscard]] bool setOwnRecord(instance_record record);

    /** Replaces the seeds, for example after reading the platform's records. Returns false if the command queue is full. */
    [[nodiscard]] bool setSeeds(std::vector<peer_address> seeds);

    /** Passes on the result of control_callbacks::readHead. Returns false if the command queue is full; the read then counts as failed. */
    bool postHeadReply(head_reply reply);

    /**
     * Sends each payload to each peer, without delivery guarantee. Takes one entry of the command queue. Returns false, with nothing sent,
     * if the queue is full.
     */
    bool send(std::vector<peer_address> to, datagram_kind kind, std::vector<std::string> payloads);

    /** Returns the methods that answer the control calls of peers. They are thread-safe and must not outlive this object. */
    [[nodiscard]] control_methods methods() const;

    /**
     * Drops datagrams from the availability zones for which the filter returns false, and makes no pulls from their instances;
     * for tests of network partitions. An empty filter removes the restriction. The filter is called on the thread of the control
     * duty.
     */
    void setZoneFilter(std::function<bool(const std::string &availabilityZone)> filter);

private:
    std::unique_ptr<internal::control_loop> m_loop;
};

} // namespace ragwortpin

#endif
