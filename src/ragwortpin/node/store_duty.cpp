#include "ragwortpin/node/store_duty.h"

#include "ragwortpin/runtime/guard.h"
#include "ragwortpin/runtime/logging.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t RateCallCapacity{64};
/** Pause before departures are read or stored again after a failure. */
constexpr milliseconds DepartureRetryInterval{500};

} // namespace

store_duty::store_duty(store_call call, store_duty_settings settings, store_duty_outputs outputs, metrics_registry &metrics)
    : m_workGuard{m_context.get_executor()}
    , m_discoveryTimer{m_context}
    , m_departureTimer{m_context}
    , m_settings{std::move(settings)}
    , m_random{m_settings.randomSeed}
    , m_outputs{std::move(outputs)}
    , m_calls{metrics.counterFor("ragwortpin_store_calls_total")}
    , m_failures{metrics.counterFor("ragwortpin_store_call_failures_total")}
    , fromData{m_context, RateCallCapacity, [this](const store_command &command) {
                   runCommand(command);
               }}
{
    m_call = [this, inner = std::move(call)](const store_request &request) {
        m_calls.add();
        auto reply = inner(request);
        handleEra(reply.era);
        if (reply.error) {
            m_failures.add();
        }
        return reply;
    };
}

store_duty::~store_duty()
{
    stop();
}

void store_duty::start()
{
    if (!m_settings.discovery.prefix.empty()) {
        scheduleDiscovery(duration::zero());
    }
    if (!m_settings.departureKey.empty()) {
        boost::asio::post(m_context, [this] {
            syncDepartures();
        });
    }
    m_thread = std::thread{[this] {
        runGuardedLoop("store", m_context);
    }};
}

void store_duty::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool store_duty::tryStore(departure_update &update)
{
    ++m_openDepartureUpdates;
    const bool isQueued{fromData.trySend(std::move(update))};
    if (!isQueued) {
        --m_openDepartureUpdates;
    }
    return isQueued;
}

void store_duty::runCommand(const store_command &command)
{
    if (const auto *call = std::get_if<rights_store_call>(&command)) {
        m_outputs.handleRateReply({call->token, m_call(call->request)});
    } else if (const auto *update = std::get_if<departure_update>(&command)) {
        auto &unstored = m_unstoredDepartures;
        unstored.records = mergeDepartures(std::move(unstored.records), update->records);
        unstored.confirmation = std::max(unstored.confirmation, update->confirmation);
        ++m_receivedDepartureUpdates;
        syncDepartures();
    }
}

/** Stores the departures again after the store returned from an older copy, which may lack some that it had confirmed. */
void store_duty::handleEra(std::uint64_t era)
{
    if (era == 0 || era == m_era) {
        return;
    }
    const bool hasReturned{std::exchange(m_era, era) != 0};
    if (!hasReturned || m_settings.departureKey.empty()) {
        return;
    }
    // The call that noticed it may itself be a part of storing departures.
    boost::asio::post(m_context, [this] {
        if (m_storedDepartures) {
            m_unstoredDepartures.records = mergeDepartures(std::move(m_storedDepartures->records), m_unstoredDepartures.records);
            m_storedDepartures.reset();
        }
        syncDepartures();
    });
}

/** Reads the stored departures once, then stores those that are not stored yet. After a failure, tries again until it succeeds. */
void store_duty::syncDepartures()
{
    const auto pause = restoreDepartures() ? storeDepartures() : DepartureRetryInterval;
    if (!pause) {
        m_openDepartureUpdates -= std::exchange(m_receivedDepartureUpdates, 0);
        if (const auto confirmation = std::exchange(m_unstoredDepartures.confirmation, 0); confirmation > 0) {
            m_outputs.handleDeparturesStored(confirmation);
        }
        return;
    }
    m_departureTimer.expires_after(*pause);
    m_departureTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            runGuarded("departures", [this] {
                syncDepartures();
            });
        }
    });
}

/** Reads the stored departures unless they are known. Returns whether they are. */
bool store_duty::loadDepartures()
{
    if (m_storedDepartures) {
        return true;
    }
    auto reading = readDepartures(m_call, m_settings.departureKey);
    if (reading.isMalformed) {
        logEvent(log_level::Warning, "stored_departure_malformed", {{"key", m_settings.departureKey}});
    }
    if (reading.error) {
        logDeparturesNotStored(reading.error.message());
        return false;
    }
    m_storedDepartures = std::move(reading);
    return true;
}

/** Passes on what was stored before this process started. Returns whether that was done. */
bool store_duty::restoreDepartures()
{
    if (!m_areDeparturesRestored) {
        m_areDeparturesRestored = loadDepartures() && m_outputs.handleRestore({m_storedDepartures->records});
    }
    return m_areDeparturesRestored;
}

void store_duty::logDeparturesNotStored(const std::string &problem) const
{
    if (!m_unstoredDepartures.records.empty()) {
        logForeign(log_level::Warning, "departure_not_stored", {{"problem", problem}, {"remedy", "none needed; it is tried again"}});
    }
}

/** Stores the departures that are not stored yet. Returns nothing if none is left, and otherwise the pause before the next attempt. */
std::optional<duration> store_duty::storeDepartures()
{
    auto &unstored = m_unstoredDepartures.records;
    if (unstored.empty()) {
        return std::nullopt;
    }
    if (!loadDepartures()) {
        return DepartureRetryInterval;
    }
    auto &stored = *m_storedDepartures;
    auto merged = mergeDepartures(stored.records, unstored);
    if (merged != stored.records) {
        const auto now = monotonicNow();
        if (now < m_nextDepartureWriteAt) {
            return m_nextDepartureWriteAt - now;
        }
        m_nextDepartureWriteAt = now + MinDepartureWriteInterval;
        const auto written = writeDepartures(m_call, m_settings.departureKey, merged, stored.revision);
        if (!written.revision) {
            // The write may have taken effect, or may do so later, and the entry may lack what it contained before.
            unstored = std::move(merged);
            m_storedDepartures.reset();
            logDeparturesNotStored(written.error ? written.error.message() : "the entry was changed meanwhile");
            return DepartureRetryInterval;
        }
        stored = {{}, std::move(merged), *written.revision, false};
    }
    unstored.clear();
    return std::nullopt;
}

void store_duty::scheduleDiscovery(duration delay)
{
    m_discoveryTimer.expires_after(delay);
    m_discoveryTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            runDiscovery();
        }
    });
}

/**
 * Runs discovery once and schedules the next run. The first few successful runs follow each other quickly, because nodes that
 * start together write their entries after the first runs of the others.
 */
void store_duty::runDiscovery()
{
    constexpr unsigned InitialRuns{3};
    runGuarded("discovery", [this] {
        const auto result = discover(m_call, m_settings.discovery, m_random);
        m_outputs.handleDiscovery(result);
        m_successfulDiscoveries += result.error ? 0 : 1;
    });
    const auto interval = m_successfulDiscoveries < InitialRuns ? m_settings.initialDiscoveryInterval : m_settings.discoveryInterval;
    std::uniform_real_distribution<double> jitter{0.7, 1.3};
    scheduleDiscovery(fromSeconds(toSeconds(interval) * jitter(m_random)));
}

} // namespace ragwortpin
