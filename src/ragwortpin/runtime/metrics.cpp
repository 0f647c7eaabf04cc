#include "ragwortpin/runtime/metrics.h"

#include <array>
#include <sstream>

namespace ragwortpin {

namespace {

constexpr std::array Quantiles{0.5, 0.9, 0.99};

std::string metricFamily(const std::string &name)
{
    return name.substr(0, name.find('{'));
}

void writeTypeLine(std::ostream &out, std::string &lastFamily, const std::string &name, const char *type)
{
    const auto family = metricFamily(name);
    if (family != lastFamily) {
        out << "# TYPE " << family << ' ' << type << '\n';
        lastFamily = family;
    }
}

} // namespace

distribution::distribution()
    : m_accumulator{boost::accumulators::extended_p_square_probabilities = Quantiles}
{ }

void distribution::record(duration value)
{
    const std::lock_guard lock{m_mutex};
    m_accumulator(toSeconds(value));
}

std::string distribution::toPrometheus(const std::string &name) const
{
    const std::lock_guard lock{m_mutex};
    std::ostringstream out;
    const auto count = boost::accumulators::count(m_accumulator);
    if (count > 0) {
        const auto quantiles = boost::accumulators::extended_p_square(m_accumulator);
        for (std::size_t index{0}; index < Quantiles.size(); ++index) {
            out << name << "{quantile=\"" << Quantiles[index] << "\"} " << quantiles[static_cast<std::ptrdiff_t>(index)] << '\n';
        }
        out << name << "{quantile=\"1\"} " << boost::accumulators::max(m_accumulator) << '\n';
    }
    out << name << "_sum " << boost::accumulators::sum(m_accumulator) << '\n';
    out << name << "_count " << count << '\n';
    return out.str();
}

counter &metrics_registry::counterFor(const std::string &name)
{
    const std::lock_guard lock{m_mutex};
    auto &entry = m_counters[name];
    if (!entry) {
        entry = std::make_unique<counter>();
    }
    return *entry;
}

distribution &metrics_registry::distributionFor(const std::string &name)
{
    const std::lock_guard lock{m_mutex};
    auto &entry = m_distributions[name];
    if (!entry) {
        entry = std::make_unique<distribution>();
    }
    return *entry;
}

void metrics_registry::gauge(const std::string &name, std::function<double()> function)
{
    const std::lock_guard lock{m_mutex};
    m_gauges[name] = std::move(function);
}

std::string metrics_registry::toPrometheus() const
{
    const std::lock_guard lock{m_mutex};
    std::ostringstream out;
    std::string lastFamily;
    for (const auto &[name, value] : m_counters) {
        writeTypeLine(out, lastFamily, name, "counter");
        out << name << ' ' << value->value() << '\n';
    }
    for (const auto &[name, function] : m_gauges) {
        writeTypeLine(out, lastFamily, name, "gauge");
        out << name << ' ' << function() << '\n';
    }
    for (const auto &[name, value] : m_distributions) {
        writeTypeLine(out, lastFamily, name, "summary");
        out << value->toPrometheus(name);
    }
    return out.str();
}

} // namespace ragwortpin
