#ifndef RAGWORTPIN_BENCH_FLEET_FLEET_H
#define RAGWORTPIN_BENCH_FLEET_FLEET_H

#include "ragwortpin/membership/protocol.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/spread/protocol.h"

#include "bench/fleet/event_queue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ragwortpin::fleet_bench {

/** Size and conditions of a fleet in virtual time. */
struct fleet_options
{
    std::size_t nodes{16};
    std::size_t zones{4};
    /** Zone z belongs to region z modulo regions. */
    std::size_t regions{1};
    std::uint64_t seed{1};
    /** Fraction of datagrams lost; TCP segments lost are sent again after a timeout. */
    double loss{0.0};
    /** Fraction of datagrams delivered twice. */
    double duplication{0.0};
    /** One-way delay within a region; datagrams overtake each other within its range. */
    duration minDelay{microseconds{500}};
    duration maxDelay{milliseconds{2}};
    /** Added one-way delay between regions. */
    duration regionDelay{milliseconds{20}};
    /** Greatest fraction by which a node's clock runs fast or slow. */
    double clockDrift{0.0};
    /** Size of the published text. */
    std::size_t contentBytes{20'000};
    /** Whether all nodes know each other and the first revision from the start. */
    bool startsWarm{true};
    membership_options membership;
    spread_options spread;
};

/** Bytes and datagrams of one node, IP and UDP headers included. */
struct traffic
{
    std::uint64_t sentBytes{0};
    std::uint64_t receivedBytes{0};
    std::uint64_t sentDatagrams{0};
    /** Part of the bytes that belongs to pulls of content, with estimated TCP and HTTP headers. */
    std::uint64_t pullBytes{0};
};

/** One node of the fleet. */
struct fleet_node
{
    std::size_t index{0};
    std::string name;
    std::string zone;
    std::size_t zoneIndex{0};
    bool isUp{true};
    /** Number of starts; what was sent to an earlier process is dropped. */
    unsigned generation{0};
    /** The node does nothing until then. */
    time_point pausedUntil{};
    double clockRate{1.0};
    std::mt19937_64 random;
    membership_state membership;
    spread_state spread;
    traffic bytes;
    /** Processor time spent in protocol functions, codecs and signatures. */
    std::chrono::nanoseconds processorTime{0};
    /** Revision in force of which the observer was told last. */
    std::uint64_t observedRevision{0};
};

/** Runs the membership and spread functions of many nodes over a fake network and store in virtual time. */
class fleet
{
public:
    explicit fleet(const fleet_options &options);
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    [[nodiscard]] time_point now() const noexcept
    {
        return m_events.now();
    }
    [[nodiscard]] const std::vector<fleet_node> &nodes() const noexcept
    {
        return m_nodes;
    }
    [[nodiscard]] std::uint64_t publishedRevision() const noexcept
    {
        return m_published.revision;
    }
    [[nodiscard]] std::uint64_t storeCalls() const noexcept
    {
        return m_storeCalls;
    }

    /** Lets virtual time pass. */
    void runFor(duration span);

    /** Lets time pass until the condition holds, checked every so often; the time that took, or nothing after the limit. */
    [[nodiscard]] std::optional<duration> runUntil(const std::function<bool()> &condition, duration limit);

    /** Publishes the next revision, which changes one line of the text. */
    void publish();

    /** Makes the store fail or answer. */
    void setStoreDown(bool isDown) noexcept
    {
        m_isStoreDown = isDown;
    }

    /** Ends a process without notice. */
    void kill(std::size_t index);

    /** Starts a process anew that knows only its seeds. */
    void restart(std::size_t index);

    /** Stops a process for a time; its datagrams wait in its socket. */
    void pause(std::size_t index, duration span);

    /** Cuts the given zones off from the others and from the store. */
    void cut(const std::set<std::size_t> &zones);

    /** Ends every cut. */
    void heal();

    /** Announces a state of a node. */
    void setState(std::size_t index, instance_state state);

    /** Changes the loss of datagrams. */
    void setLoss(double loss) noexcept
    {
        m_options.loss = loss;
    }

    /** Makes a node claim a revision that it does not have, once, to every other node. */
    void forgeClaim(std::size_t index, std::uint64_t revision);

    /** Called after every event of a node. */
    void observe(std::function<void(const fleet_node &)> observer);

    /** Number of live nodes whose table says that the member is in the given state, or, without one, is dead or unknown. */
    [[nodiscard]] std::size_t countKnowing(std::size_t member, std::optional<instance_state> state) const;

    /** Whether every live node knows exactly the live nodes. */
    [[nodiscard]] bool isConverged() const;

    /** Number of live nodes that have at least the given revision in force. */
    [[nodiscard]] std::size_t countInForce(std::uint64_t revision) const;

    [[nodiscard]] std::size_t liveNodes() const;

    /** Greatest datagram seen, in bytes. */
    [[nodiscard]] std::size_t greatestDatagram() const noexcept
    {
        return m_greatestDatagram;
    }

private:
    void startNode(fleet_node &node);
    void warmUp();
    void scheduleTick(std::size_t index, time_point when);
    void tick(std::size_t index, unsigned generation);
    void sendMembership(fleet_node &node, const std::vector<membership_output> &outputs);
    void sendSpread(fleet_node &node, const std::vector<spread_output> &outputs);
    void sendDatagram(fleet_node &node, const peer_address &to, datagram_kind kind, std::string payload);
    void deliver(std::size_t from, std::size_t to, const std::shared_ptr<const std::string> &bytes);
    void receive(fleet_node &node, std::size_t from, const datagram &received);
    void noteRevision(fleet_node &node, const std::string &peer, std::uint64_t revision);
    void startPull(fleet_node &node, const pull_request &request);
    void finishPull(std::size_t index, unsigned generation, std::size_t peer, const pull_request &request);
    void readHead(fleet_node &node);
    void finishRead(std::size_t index, unsigned generation);
    void accept(fleet_node &node, std::optional<configuration_content> content);
    void notify(const fleet_node &node);
    /** Runs a step of a node now or when its pause ends, unless its process ended; charges its processor time. */
    void step(std::size_t index, unsigned generation, const std::function<void(fleet_node &)> &action);

    [[nodiscard]] duration drawDelay(std::size_t from, std::size_t to);
    [[nodiscard]] duration drawSegmentDelay(std::size_t from, std::size_t to);
    [[nodiscard]] bool mayExchange(std::size_t from, std::size_t to) const;
    [[nodiscard]] time_point localTime(const fleet_node &node) const;
    [[nodiscard]] microseconds wallClock() const;
    [[nodiscard]] std::size_t indexOf(const peer_address &address) const;

    fleet_options m_options;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<fleet_node> m_nodes;
    std::unordered_map<std::string, std::size_t> m_indexByAddress;
    std::set<std::size_t> m_cutZones;
    configuration_content m_published;
    bool m_isStoreDown{false};
    std::uint64_t m_storeCalls{0};
    std::size_t m_greatestDatagram{0};
    std::function<void(const fleet_node &)> m_observer;
};

} // namespace ragwortpin::fleet_bench

#endif
