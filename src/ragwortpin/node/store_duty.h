#ifndef RAGWORTPIN_NODE_STORE_DUTY_H
#define RAGWORTPIN_NODE_STORE_DUTY_H

#include "ragwortpin/discovery/discovery.h"
#include "ragwortpin/node/events.h"
#include "ragwortpin/runtime/mailbox.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/store/store.h"
#include "ragwortpin/targets/departure_record.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace ragwortpin {

/** Receivers of the results of a store_duty. Called on its thread. */
struct store_duty_outputs
{
    std::function<void(rate_reply_event)> handleRateReply;
    /** Called once, with the departures that were stored before this process started. Returns false if it has to be called again. */
    std::function<bool(restore_event)> handleRestore;
    /** Called with the number of a confirmation once every departure received before it is stored. */
    std::function<void(std::uint64_t)> handleDeparturesStored;
    /** Called after each discovery run. */
    std::function<void(const discovery_result &)> handleDiscovery;
};

/** Settings of the discovery that a store_duty runs by itself. */
struct store_duty_settings
{
    /** An empty prefix disables discovery. */
    discovery_settings discovery;
    /** Key under which the departures of the target are stored; empty if they are not. */
    std::string departureKey{};
    /** Mean interval between discovery runs: the initial one, and the one used after a few successful runs. */
    duration initialDiscoveryInterval{milliseconds{700}};
    duration discoveryInterval{seconds{20}};
    std::uint64_t randomSeed{0};
};

/** Shortest time between two writes of departures. Anybody who reaches the announcements listener can report any number of them. */
inline constexpr milliseconds MinDepartureWriteInterval{100};

/** Worker thread that makes the blocking store calls for workspace rates, discovery and departures. */
class store_duty
{
public:
    store_duty(store_call call, store_duty_settings settings, store_duty_outputs outputs, metrics_registry &metrics);
    store_duty(const store_duty &) = delete;
    store_duty &operator=(const store_duty &) = delete;
    ~store_duty();

    void start();

    /** Waits for the store call in progress, then ends the thread. Pending requests are discarded. */
    void stop();

    /**
     * Queues departures to store. Returns false and leaves the argument as it is if the mailbox is full. Called on the thread that
     * sends to fromData.
     */
    [[nodiscard]] bool tryStore(departure_update &update);

    /** Returns whether departures were queued and are not stored yet. May be called from any thread. */
    [[nodiscard]] bool hasUnstoredDepartures() const noexcept
    {
        return m_openDepartureUpdates.load() > 0;
    }

private:
    void scheduleDiscovery(duration delay);
    void runDiscovery();
    void runCommand(const store_command &command);
    void handleEra(std::uint64_t era);
    void syncDepartures();
    [[nodiscard]] bool loadDepartures();
    [[nodiscard]] bool restoreDepartures();
    [[nodiscard]] std::optional<duration> storeDepartures();
    void logDeparturesNotStored(const std::string &problem) const;

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    boost::asio::steady_timer m_discoveryTimer;
    boost::asio::steady_timer m_departureTimer;
    store_call m_call;
    store_duty_settings m_settings;
    std::mt19937_64 m_random;
    unsigned m_successfulDiscoveries{0};
    bool m_areDeparturesRestored{false};
    /** What the store holds; nothing if that is not known, as before the first read and after a write without a response. */
    std::optional<departure_reading> m_storedDepartures;
    /** Era of the store in the last reply that reported one; 0 before. */
    std::uint64_t m_era{0};
    /** Departures that are not stored yet. */
    departure_update m_unstoredDepartures;
    time_point m_nextDepartureWriteAt{};
    /** Updates that m_unstoredDepartures consists of, and those queued and not stored, which include them. */
    std::size_t m_receivedDepartureUpdates{0};
    std::atomic<std::size_t> m_openDepartureUpdates{0};
    store_duty_outputs m_outputs;
    counter &m_calls;
    counter &m_failures;
    std::thread m_thread;

public:
    /** Commands from the data thread. */
    mailbox<store_command> fromData;
};

} // namespace ragwortpin

#endif
