#include "standins/support/load_scenario.h"

#include "ragwortpin/core/error_category.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <set>

namespace ragwortpin::standins {

namespace {

constexpr std::array ScenarioErrors{
    error_text<scenario_errc>{scenario_errc::NotYaml, "the file is not valid YAML or not a YAML map; correct it at this line"},
    error_text<scenario_errc>{scenario_errc::FieldUnknown, "the field is unknown; remove it or correct its name"},
    error_text<scenario_errc>{scenario_errc::FieldMissing, "the field is missing; add it"},
    error_text<scenario_errc>{scenario_errc::ValueInvalid, "the value has the wrong format or is out of range; correct it"},
    error_text<scenario_errc>{scenario_errc::AddressNotLoopback, "the value is not a loopback address; specify 127.A.B.C:PORT"},
    error_text<scenario_errc>{scenario_errc::DuplicateName, "the stream name is used twice; rename one of the two streams"},
    error_text<scenario_errc>{scenario_errc::StreamUnknown, "no stream has this name; specify the name of an existing stream"},
    error_text<scenario_errc>{scenario_errc::RateTooHigh,
                              "the peak rate of all streams together exceeds 20000 requests per second; lower their rates or factors"},
    error_text<scenario_errc>{scenario_errc::NoAddress,
                              "the stream has no address to send to; add nodes to the scenario or addresses to the stream"},
};

const error_category ScenarioCategory{"load scenario", ScenarioErrors};

/** Reads the fields of a YAML map, collects errors, and detects fields that were never read. */
class field_reader
{
public:
    field_reader(const YAML::Node &map, std::string owner, std::vector<scenario_error> &errors)
        : m_map{map}
        , m_owner{std::move(owner)}
        , m_errors{errors}
    { }

    void fail(const YAML::Node &node, const std::string &subject, scenario_errc code)
    {
        const auto mark = node.Mark();
        m_errors.push_back({mark.is_null() ? 0 : mark.line + 1, m_owner.empty() ? subject : m_owner + "." + subject, code});
    }

    /** Reads an optional scalar field. Reports an error if the value has the wrong type or isValid rejects it. */
    template<typename Value>
    void read(const std::string &name, Value &target, const std::function<bool(const Value &)> &isValid)
    {
        m_readFields.insert(name);
        const auto node = m_map[name];
        if (!node) {
            return;
        }
        Value value{};
        if (!node.IsScalar() || !YAML::convert<Value>::decode(node, value) || !isValid(value)) {
            fail(node, name, scenario_errc::ValueInvalid);
            return;
        }
        target = value;
    }

    void readText(const std::string &name, std::string &target)
    {
        read<std::string>(name, target, [](const std::string &) {
            return true;
        });
    }

    void readNumber(const std::string &name, double minimum, double maximum, double &target)
    {
        read<double>(name, target, [minimum, maximum](const double &value) {
            return value >= minimum && value <= maximum;
        });
    }

    /** Reads an optional integer within [minimum, maximum]; minimum must not be negative. */
    template<typename Value>
    void readCount(const std::string &name, double minimum, double maximum, Value &target)
    {
        double number{-1.0};
        read<double>(name, number, [minimum, maximum](const double &value) {
            return value >= minimum && value <= maximum && std::floor(value) == value;
        });
        target = number >= 0.0 ? static_cast<Value>(number) : target;
    }

    void readAddresses(const std::string &name, std::vector<endpoint> &target)
    {
        for (const auto &node : readList(name)) {
            const auto address = node.IsScalar() ? parseEndpoint(node.Scalar()) : std::nullopt;
            if (address) {
                target.push_back(*address);
            } else {
                fail(node, name, scenario_errc::AddressNotLoopback);
            }
        }
    }

    /** Returns the items of an optional list field; empty if the field is missing or, with an error, not a list. */
    std::vector<YAML::Node> readList(const std::string &name)
    {
        m_readFields.insert(name);
        const auto node = m_map[name];
        if (!node) {
            return {};
        }
        if (!node.IsSequence()) {
            fail(node, name, scenario_errc::ValueInvalid);
            return {};
        }
        return {node.begin(), node.end()};
    }

    void require(const std::string &name)
    {
        if (!m_map[name]) {
            fail(m_map, name, scenario_errc::FieldMissing);
        }
    }

    void rejectUnknownFields()
    {
        for (const auto &field : m_map) {
            if (!m_readFields.contains(field.first.Scalar())) {
                fail(field.first, field.first.Scalar(), scenario_errc::FieldUnknown);
            }
        }
    }

private:
    YAML::Node m_map;
    std::string m_owner;
    std::vector<scenario_error> &m_errors;
    std::set<std::string> m_readFields;
};

void readRetry(field_reader &reader, client_retry &retry)
{
    std::string policy{"none"};
    reader.read<std::string>("retry", policy, [](const std::string &value) {
        return value == "none" || value == "hard";
    });
    retry = policy == "hard" ? client_retry::Hard : client_retry::None;
}

load_stream readStream(const YAML::Node &node, std::vector<scenario_error> &errors)
{
    load_stream stream;
    field_reader reader{node, "streams", errors};
    for (const auto *name : {"name", "importance", "path", "rate"}) {
        reader.require(name);
    }
    reader.readText("name", stream.name);
    reader.readText("workspace", stream.workspace);
    reader.readText("importance", stream.importance);
    reader.readText("key", stream.key);
    reader.readText("method", stream.method);
    reader.readText("service", stream.service);
    reader.readText("baseline", stream.baseline);
    reader.read<std::string>("path", stream.path, [](const std::string &value) {
        return value.starts_with('/');
    });
    reader.readNumber("rate", 0.0, MaxLoadRate, stream.rate);
    reader.read<bool>("once", stream.once, [](const bool &) {
        return true;
    });
    readRetry(reader, stream.retry);
    reader.readCount("body_bytes", 0, static_cast<double>(MaxLoadBodyBytes), stream.bodyBytes);
    reader.readAddresses("addresses", stream.addresses);
    reader.rejectUnknownFields();
    return stream;
}

bool hasStream(const load_scenario &scenario, const std::string &name)
{
    return std::ranges::find(scenario.streams, name, &load_stream::name) != scenario.streams.end();
}

load_phase readPhase(const YAML::Node &node, const load_scenario &scenario, std::vector<scenario_error> &errors)
{
    load_phase phase;
    field_reader reader{node, "phases", errors};
    std::int64_t startSeconds{0};
    reader.require("at_s");
    reader.readCount("at_s", 0, static_cast<double>(MaxLoadDuration.count()), startSeconds);
    phase.startsAt = seconds{startSeconds};
    reader.readText("name", phase.name);
    for (const auto &item : reader.readList("factors")) {
        rate_factor factor;
        field_reader factorReader{item, "factors", errors};
        factorReader.readText("stream", factor.stream);
        factorReader.readNumber("factor", 0.0, 1000.0, factor.factor);
        factorReader.rejectUnknownFields();
        if (!hasStream(scenario, factor.stream)) {
            factorReader.fail(item, factor.stream, scenario_errc::StreamUnknown);
        }
        phase.factors.push_back(factor);
    }
    reader.rejectUnknownFields();
    return phase;
}

void readStreams(field_reader &reader, load_scenario &scenario, std::vector<scenario_error> &errors)
{
    for (const auto &node : reader.readList("streams")) {
        if (!node.IsMap()) {
            reader.fail(node, "streams", scenario_errc::ValueInvalid);
            continue;
        }
        auto stream = readStream(node, errors);
        if (hasStream(scenario, stream.name)) {
            reader.fail(node, stream.name, scenario_errc::DuplicateName);
        }
        if (stream.addresses.empty() && scenario.nodes.empty()) {
            reader.fail(node, stream.name, scenario_errc::NoAddress);
        }
        scenario.streams.push_back(std::move(stream));
    }
}

void readPhases(field_reader &reader, load_scenario &scenario, std::vector<scenario_error> &errors)
{
    for (const auto &node : reader.readList("phases")) {
        if (!node.IsMap()) {
            reader.fail(node, "phases", scenario_errc::ValueInvalid);
            continue;
        }
        scenario.phases.push_back(readPhase(node, scenario, errors));
    }
    std::ranges::stable_sort(scenario.phases, {}, &load_phase::startsAt);
    if (scenario.phases.empty() || scenario.phases.front().startsAt > seconds::zero()) {
        scenario.phases.insert(scenario.phases.begin(), load_phase{"start", seconds{0}, {}});
    }
}

void checkScenario(field_reader &reader, const YAML::Node &root, const load_scenario &scenario)
{
    double rate{0.0};
    for (const auto &stream : scenario.streams) {
        rate += stream.rate * peakFactor(scenario, stream.name);
        if (!stream.baseline.empty() && !hasStream(scenario, stream.baseline)) {
            reader.fail(root["streams"], stream.baseline, scenario_errc::StreamUnknown);
        }
    }
    if (rate > MaxLoadRate) {
        reader.fail(root["streams"], "rate", scenario_errc::RateTooHigh);
    }
}

void readScenario(const YAML::Node &root, scenario_result &result)
{
    auto &scenario = result.scenario;
    field_reader reader{root, "", result.errors};
    reader.require("duration_s");
    reader.require("streams");
    std::int64_t durationSeconds{0};
    reader.readCount("duration_s", 1, static_cast<double>(MaxLoadDuration.count()), durationSeconds);
    scenario.runDuration = seconds{durationSeconds};
    reader.readCount("seed", 0, 1e15, scenario.seed);
    reader.readCount("max_connections", 1, static_cast<double>(MaxLoadConnections), scenario.maxConnections);
    std::int64_t timeout{scenario.timeout.count()};
    reader.readCount("timeout_ms", 1, 60'000, timeout);
    scenario.timeout = milliseconds{timeout};
    reader.readAddresses("nodes", scenario.nodes);
    reader.readAddresses("targets", scenario.targets);
    readStreams(reader, scenario, result.errors);
    readPhases(reader, scenario, result.errors);
    reader.rejectUnknownFields();
    checkScenario(reader, root, scenario);
}

} // namespace

std::error_code make_error_code(scenario_errc kind) noexcept
{
    return {static_cast<int>(kind), ScenarioCategory};
}

std::string toText(const scenario_error &error)
{
    return "line " + std::to_string(error.line) + ": " + error.subject + ": " + error.code.message();
}

scenario_result parseScenario(const std::string &text)
{
    scenario_result result;
    try {
        const auto root = YAML::Load(text);
        if (!root.IsMap()) {
            result.errors.push_back({1, "scenario", scenario_errc::NotYaml});
            return result;
        }
        readScenario(root, result);
    } catch (const YAML::Exception &error) {
        result.errors.push_back({error.mark.line + 1, error.msg, scenario_errc::NotYaml});
    }
    return result;
}

std::size_t phaseAt(const load_scenario &scenario, duration sinceStart) noexcept
{
    std::size_t index{0};
    while (index + 1 < scenario.phases.size() && scenario.phases[index + 1].startsAt <= sinceStart) {
        ++index;
    }
    return index;
}

double factorOf(const load_phase &phase, std::string_view stream) noexcept
{
    const auto found = std::ranges::find(phase.factors, stream, &rate_factor::stream);
    return found == phase.factors.end() ? 1.0 : found->factor;
}

double peakFactor(const load_scenario &scenario, std::string_view stream) noexcept
{
    double peak{0.0};
    for (const auto &phase : scenario.phases) {
        peak = std::max(peak, factorOf(phase, stream));
    }
    return peak;
}

} // namespace ragwortpin::standins
