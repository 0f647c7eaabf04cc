#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <unistd.h>

namespace review {

namespace {
constexpr long HeartbeatMs{1500};
std::string temporaryDirectory;
} // namespace

worker::worker(machine &host, std::string id, long workMs)
    : m_host{host}
    , m_id{std::move(id)}
    , m_workMs{workMs}
{
    m_listener = std::make_unique<listener>(host.ip, host.app, [this](const message &request, connection &from) { return serve(request, from); });
}

worker::~worker()
{
    stopHeartbeats();
    stop();
}

void worker::startHeartbeats()
{
    m_isBeating = true;
    m_beats = std::thread{[this] {
        while (m_isBeating) {
            static_cast<void>(beat());
            for (long waited{0}; waited < HeartbeatMs && m_isBeating; waited += 20) {
                sleepMs(20);
            }
        }
    }};
}

void worker::stopHeartbeats()
{
    m_isBeating = false;
    if (m_beats.joinable()) {
        m_beats.join();
    }
}

heartbeat worker::nextHeartbeat()
{
    return {m_id, m_host.service, m_host.ip + ':' + std::to_string(m_host.app), m_host.zone, 40, m_state, ++m_sequence, m_born};
}

int worker::beat()
{
    return sendHeartbeat(m_host, nextHeartbeat());
}

std::vector<run> worker::runs()
{
    const std::lock_guard lock{m_mutex};
    return m_runs;
}

void worker::stop()
{
    if (m_listener) {
        m_listener->stop();
    }
}

bool worker::serve(const message &request, connection &from)
{
    const auto id = request.header("X-Ragwortpin-Attempt-Id");
    message response;
    response.headers = {{"X-Ragwortpin-Attempt-Id", id}, {"Keep-Alive", "timeout=10"}};
    const auto expected = request.header("X-Ragwortpin-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        response.status = 421;
        response.headers.emplace_back("X-Ragwortpin-Instance-Id", m_id);
        record("worker " + m_id + " answers 421 to " + id + ", which expects " + expected);
        return from.write(serialiseResponse(response));
    }
    {
        const std::lock_guard lock{m_mutex};
        m_runs.push_back({id, m_id, request.header("X-Ragwortpin-Caller-Service"), request.header("X-Ragwortpin-Tenant"), elapsedMs()});
    }
    record("worker " + m_id + " runs " + id);
    const long end{elapsedMs() + m_workMs};
    while (elapsedMs() < end) {
        sleepMs(std::min(5L, end - elapsedMs()));
        if (from.isClosedByPeer()) {
            record("worker " + m_id + " drops " + id + ": its connection was closed");
            return false;
        }
    }
    response.status = 200;
    response.headers.emplace_back("X-Ragwortpin-Server-Seal", "seal." + m_id + '.' + id);
    response.headers.emplace_back("X-Ragwortpin-Server-Load", "1,0,40");
    response.body = "answer of " + m_id + " to " + id;
    return from.write(serialiseResponse(response));
}

fleet::fleet(const std::vector<machine_spec> &specs, const std::string &configuration, long workMs)
{
    std::string pattern{std::filesystem::temp_directory_path() / "review-XXXXXX"};
    if (::mkdtemp(pattern.data()) == nullptr) {
        std::cerr << "cannot create a temporary folder\n";
        std::_Exit(2);
    }
    directory = pattern;
    temporaryDirectory = directory;
    const int net{static_cast<int>(::getpid() % 200) + 20};
    const auto ip = [net](std::size_t number) { return "127.0." + std::to_string(net) + '.' + std::to_string(number + 1); };
    platform = std::make_unique<store>(ip(0), freePort(ip(0)));
    platform->put("op/config", configuration);
    options.storeAddress = platform->address();
    for (const auto &spec : specs) {
        if (std::find(options.zones.begin(), options.zones.end(), spec.zone) == options.zones.end()) {
            options.zones.push_back(spec.zone);
        }
    }
    for (const auto &spec : specs) {
        machines.push_back(std::make_unique<machine>(makeMachine(spec.name, spec.zone, spec.service, ip(machines.size() + 1), directory)));
        workers.push_back(std::make_unique<worker>(*machines.back(), "i-" + spec.name + "-1", workMs));
        writeSettings(*machines.back(), options);
        startNode(*machines.back());
    }
    for (std::size_t index{0}; index < machines.size(); ++index) {
        constexpr long StartMs{15000};
        if (!waitReady(*machines[index], StartMs)) {
            record("the node of " + machines[index]->name + " is not ready");
            finish(2);
        }
        workers[index]->startHeartbeats();
    }
}

fleet::~fleet()
{
    killAllNodes();
}

machine &fleet::host(const std::string &name)
{
    return **std::find_if(machines.begin(), machines.end(), [&name](const auto &candidate) { return candidate->name == name; });
}

worker &fleet::workerOf(const std::string &name)
{
    const auto found = std::find_if(machines.begin(), machines.end(), [&name](const auto &candidate) { return candidate->name == name; });
    return *workers[static_cast<std::size_t>(found - machines.begin())];
}

answer sendAsClient(const machine &host, const std::string &method, const std::string &hostName, const std::string &path, const std::string &id,
                    const std::string &key, long deadlineMs, const std::string &body)
{
    message request;
    request.method = method;
    request.target = path;
    request.headers = {{"Host", hostName}, {"X-Ragwortpin-Attempt-Id", id}, {"X-Ragwortpin-Deadline-Ms", std::to_string(deadlineMs)}};
    if (!key.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + key);
    }
    request.body = body;
    record("client sends " + id + " (" + method + ' ' + path + ") to " + host.name);
    auto result = exchange(host.ip, host.outbound, request, deadlineMs);
    record("client gets " + (result.status == 0 ? std::string{result.isConnected ? "no answer" : "no connection"} : std::to_string(result.status)) + " to "
           + id);
    return result;
}

bool waitServed(const machine &host, const std::string &method, const std::string &hostName, const std::string &path, const std::string &key, long timeoutMs)
{
    const long deadline{elapsedMs() + timeoutMs};
    for (int count{0}; elapsedMs() < deadline; ++count) {
        if (sendAsClient(host, method, hostName, path, "warm-" + host.name + '-' + std::to_string(elapsedMs()), key, 2000).status == 200) {
            return true;
        }
        sleepMs(200);
    }
    return false;
}

std::string routeText(const std::string &name, const std::string &hostName, const std::string &prefix, const std::string &kind, const std::string &service,
                      int maxAttempts, int priority, const std::string &timeout)
{
    return R"({"resource_kind":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":")" + hostName + R"(","path_prefix":")" + prefix
        + R"(","kind":")" + kind + R"(","timeout":")" + timeout + R"(","target_latency":"1500ms","priority":)" + std::to_string(priority)
        + R"(,"service":")" + service + R"(","max_attempts":)" + std::to_string(maxAttempts) + R"(,"public":false}})";
}

std::string configurationText(int version, const std::vector<std::string> &keys, const std::vector<std::string> &routes, const std::vector<std::string> &services)
{
    std::string entries;
    for (const auto &route : routes) {
        entries += route + ',';
    }
    for (const auto &service : services) {
        entries += R"({"resource_kind":"services","metadata":{"name":")" + service
            + R"("},"spec":{"health_path":"/health","max_conns":300,"protocol":"h1","tls":false}},)";
    }
    std::string list;
    for (const auto &key : keys) {
        list += (list.empty() ? "\"" : ",\"") + key + '"';
    }
    return R"({"version":)" + std::to_string(version) + R"(,"resource_list":[)" + entries
        + R"({"resource_kind":"tenants","metadata":{"name":"family"},"spec":{"api_keys":[)" + list + R"(],"rate_per_s":0,"burst":0}},)"
        + R"({"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";
}

void finish(int status)
{
    killAllNodes();
    if (!temporaryDirectory.empty() && std::getenv("REVIEW_KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(temporaryDirectory, ignored);
    }
    std::_Exit(status);
}

} // namespace review
