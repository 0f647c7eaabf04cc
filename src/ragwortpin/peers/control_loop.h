#ifndef RAGWORTPIN_PEERS_CONTROL_LOOP_H
#define RAGWORTPIN_PEERS_CONTROL_LOOP_H

#include "ragwortpin/peers/configuration_monitor.h"
#include "ragwortpin/peers/control_duty.h"
#include "ragwortpin/peers/pull_worker.h"
#include "ragwortpin/peers/udp_channel.h"
#include "ragwortpin/runtime/bounded_ring.h"
#include "ragwortpin/runtime/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <variant>

namespace ragwortpin::internal {

/** Maximum number of queued commands from other threads. */
inline constexpr std::size_t CommandQueueCapacity{1024};

/** Replaces the record that this node announces. */
struct own_record_command
{
    instance_record record;
};

/** Replaces the seeds. */
struct seeds_command
{
    std::vector<peer_address> seeds;
};

/** Delivers the result of a read of the store's head. */
struct head_reply_command
{
    head_reply reply;
};

/** Delivers the result of a pull from a peer. */
struct pull_reply_command
{
    pull_reply reply;
};

/** Sends each of several datagrams to each of several peers. */
struct send_command
{
    std::vector<peer_address> to;
    datagram_kind kind;
    std::vector<std::string> payloads;
};

/** Triggers a read of the store's head, which may have changed. */
struct hint_command
{ };

/** Command from another thread; holds std::monostate only in unused entries of the ring. */
using command
    = std::variant<std::monostate, own_record_command, seeds_command, head_reply_command, pull_reply_command, send_command, hint_command>;

/** Implementation of control_duty: the thread, the state of the protocols and the data shared with other threads. */
class control_loop
{
public:
    control_loop(control_settings settings, control_callbacks callbacks);
    ~control_loop();

    std::error_code start();
    void stop();
    template<typename Command>
    bool post(Command &&value)
    {
        {
            const std::lock_guard lock{m_producerMutex};
            if (!m_commands.tryPush(std::forward<Command>(value))) {
                return false;
            }
        }
        postDrain();
        return true;
    }
    void setZoneFilter(std::function<bool(const std::string &)> filter);
    configuration_answer getConfiguration(std::uint64_t baseRevision) const;
    status_answer getStatus() const;

    [[nodiscard]] std::shared_ptr<const membership_view> view() const
    {
        return m_view.load();
    }
    [[nodiscard]] spread_status status() const noexcept
    {
        return m_status.load(std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return m_revision.load(std::memory_order_relaxed);
    }
    [[nodiscard]] std::optional<time_point> provenAt() const noexcept
    {
        const auto at = m_provenAt.load(std::memory_order_relaxed);
        return at == 0 ? std::nullopt : std::optional{time_point{duration{at}}};
    }
    [[nodiscard]] control_counters counters() const;

private:
    void run();
    void armTimer();
    void tick(time_point now);
    /** Advances the configuration distribution, and arms a timer for what is due before the next tick. */
    void tickSpread(time_point now);
    void perform(const spread_actions &actions);
    void publishView(time_point now);
    void publishCounters();
    void postDrain();
    void drainCommands();
    void execute(command &&value);
    void receive(datagram &&received, const peer_address &from);
    void receiveMembership(const datagram &received, const peer_address &from);
    void receiveSpread(const datagram &received, const peer_address &from);
    void receiveProof(const datagram &received, const peer_address &from);
    void handleHead(const head_reply &reply);
    void publishProof();
    void recordPeerRevision(const std::string &peer, std::uint64_t revision, const std::string &zone, const peer_address &control);
    void sendMembershipMessages(const std::vector<membership_output> &outputs);
    void sendDatagram(std::span<const peer_address> to, datagram_kind kind, std::string payload);
    void startPull(const pull_request &request);
    /** Puts content in force. Returns false if there is none or if it was rejected. */
    bool applyContent(std::optional<configuration_content> content);
    [[nodiscard]] bool isOwnZone(const std::string &zone) const;
    bool isZoneAllowed(const std::string &zone) const;

    control_settings m_settings;
    control_callbacks m_callbacks;
    std::mt19937_64 m_random;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_spreadTimer;
    timer_service m_timers;
    udp_channel m_channel;
    membership_state m_membership;
    spread_state m_spread;
    /** Derived from the newest membership snapshot. */
    spread_topology m_topology;
    configuration_monitor m_monitor;
    std::uint64_t m_publishedViewVersion{0};
    std::uint64_t m_messagesMalformed{0};

    std::mutex m_producerMutex;
    bounded_ring<command> m_commands{CommandQueueCapacity};

    std::atomic<std::shared_ptr<const membership_view>> m_view;
    std::atomic<spread_status> m_status{spread_status::Loading};
    std::atomic<std::uint64_t> m_revision{0};
    /** proof_state::provenAt in microseconds since the clock's epoch; 0 before the first proof. */
    std::atomic<duration::rep> m_provenAt{0};
    /** Guards the three members below, which other threads access too. */
    mutable std::mutex m_sharedDataMutex;
    control_counters m_counters;
    /** Copy of m_spread as of the last applied content; used on other threads to answer the pulls of peers. */
    std::shared_ptr<const spread_state> m_servedState;
    std::function<bool(const std::string &)> m_zoneFilter;

    pull_worker m_pulls;
    std::thread m_thread;
};

} // namespace ragwortpin::internal

#endif
