#ifndef RAGWORTPIN_RUNTIME_METRICS_H
#define RAGWORTPIN_RUNTIME_METRICS_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/runtime/fwd.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace ragwortpin {

/** Monotonically increasing counter. Thread-safe. */
class counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/** Streaming summary of durations: count, sum, maximum and estimated quantiles 0.5, 0.9 and 0.99. Thread-safe. */
class distribution
{
public:
    distribution();

    void record(duration value);

    /** Returns the Prometheus summary lines for the given metric name, in seconds. */
    [[nodiscard]] std::string toPrometheus(const std::string &name) const;

private:
    using accumulator = boost::accumulators::accumulator_set<double,
                                                             boost::accumulators::stats<boost::accumulators::tag::count,
                                                                                        boost::accumulators::tag::sum,
                                                                                        boost::accumulators::tag::max,
                                                                                        boost::accumulators::tag::extended_p_square>>;
    mutable std::mutex m_mutex;
    accumulator m_accumulator;
};

/**
 * Named metrics of a process. A name is a Prometheus metric name with its labels, for example
 * `ragwortpin_refusals_total{kind="overloaded"}`. Returned references stay valid for the lifetime of the registry. Thread-safe.
 */
class metrics_registry
{
public:
    /** Returns the counter with the given name, created with value 0 if it does not exist. */
    [[nodiscard]] counter &counterFor(const std::string &name);

    /** Returns the distribution with the given name, created empty if it does not exist. */
    [[nodiscard]] distribution &distributionFor(const std::string &name);

    /** Registers a gauge whose value is computed at each export. Replaces one of the same name. The function must be thread-safe. */
    void gauge(const std::string &name, std::function<double()> function);

    /** Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string toPrometheus() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<counter>> m_counters;
    std::map<std::string, std::unique_ptr<distribution>> m_distributions;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace ragwortpin

#endif
