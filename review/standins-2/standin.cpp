#include "standin.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto Start = std::chrono::steady_clock::now();

std::mutex recordMutex;
std::ofstream recordFile;

std::mutex processMutex;
std::vector<pid_t> processes;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

message makeResponse(int status, const std::string &body)
{
    message response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = body;
    return response;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> values;
    const auto question = target.find('?');
    std::stringstream query{question == std::string::npos ? std::string{} : target.substr(question + 1)};
    std::string part;
    while (std::getline(query, part, '&')) {
        const auto equals = part.find('=');
        std::string decoded;
        const auto text = equals == std::string::npos ? std::string{} : part.substr(equals + 1);
        for (std::size_t index{0}; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                decoded.push_back(static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16)));
                index += 2;
            } else {
                decoded.push_back(text[index]);
            }
        }
        values[part.substr(0, equals)] = decoded;
    }
    return values;
}

} // namespace

long elapsedMs()
{
    return static_cast<long>(std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - Start).count());
}

long long unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(long time)
{
    std::this_thread::sleep_for(milliseconds{time});
}

void sleepUntilMs(long time)
{
    sleepMs(std::max(0L, time - elapsedMs()));
}

void openRecord(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f  ", static_cast<double>(elapsedMs()) / 1000.0);
    const std::lock_guard lock{recordMutex};
    recordFile << time.data() << line << std::endl;
    std::cout << time.data() << line << std::endl;
}

std::string message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return {};
}

connection::connection(int descriptor)
    : m_descriptor{descriptor}
{
    const int on{1};
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    close();
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

void connection::close()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void connection::reset()
{
    const linger none{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    ::close(m_descriptor);
    m_descriptor = -1;
}

bool connection::fill(long deadlineMs)
{
    const long left{deadlineMs - elapsedMs()};
    pollfd waiting{m_descriptor, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const auto count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::isClosedByPeer() const
{
    pollfd state{m_descriptor, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0;
}

std::optional<message> connection::read(bool isResponse, long timeoutMs, bool isHead)
{
    const long deadline{elapsedMs() + timeoutMs};
    for (;;) {
        std::size_t end{0};
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        message result;
        std::stringstream head{m_buffer.substr(0, end)};
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        std::stringstream first{line};
        if (isResponse) {
            std::string version;
            first >> version >> result.status;
        } else {
            first >> result.method >> result.target;
        }
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            result.headers.emplace_back(line.substr(0, colon), value);
        }
        if (isResponse && result.status >= 100 && result.status < 200) {
            continue;
        }
        if (isHead || result.status == 204 || result.status == 304) {
            return result;
        }
        if (lower(result.header("Transfer-Encoding")) == "chunked") {
            for (;;) {
                std::size_t lineEnd{0};
                while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(deadline)) {
                        return std::nullopt;
                    }
                }
                const auto size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
                m_buffer.erase(0, lineEnd + 2);
                while (m_buffer.size() < size + 2) {
                    if (!fill(deadline)) {
                        return std::nullopt;
                    }
                }
                result.body += m_buffer.substr(0, size);
                m_buffer.erase(0, size + 2);
                if (size == 0) {
                    return result;
                }
            }
        }
        const auto length = result.header("Content-Length");
        const std::size_t size{length.empty() ? 0 : std::stoul(length)};
        while (m_buffer.size() < size) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        result.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return result;
    }
}

bool connection::write(const std::string &bytes)
{
    std::size_t sent{0};
    while (sent < bytes.size()) {
        const auto count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string serialiseRequest(const message &request)
{
    std::string text{request.method + ' ' + request.target + " HTTP/1.1\r\n"};
    for (const auto &[name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

std::string serialiseResponse(const message &response)
{
    std::string text{"HTTP/1.1 " + std::to_string(response.status) + " Answer\r\n"};
    for (const auto &[name, value] : response.headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

listener::listener(const std::string &address, std::uint16_t port, handler serve)
    : m_descriptor{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    , m_serve{std::move(serve)}
{
    const int on{1};
    setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto local = socketAddress(address, port);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(m_descriptor, 512) != 0) {
        std::cerr << "cannot listen at " << address << ':' << port << ": " << std::strerror(errno) << '\n';
        killAllNodes();
        std::_Exit(2);
    }
    m_thread = std::thread{[this] { accept(); }};
}

listener::~listener()
{
    stop();
}

void listener::stop()
{
    if (m_isStopped.exchange(true)) {
        return;
    }
    ::shutdown(m_descriptor, SHUT_RDWR);
    m_thread.join();
    ::close(m_descriptor);
    const std::lock_guard lock{m_mutex};
    for (const auto &open : m_connections) {
        if (const auto alive = open.lock()) {
            alive->close();
        }
    }
}

void listener::accept()
{
    while (!m_isStopped) {
        const int descriptor{::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC)};
        if (descriptor < 0) {
            continue;
        }
        auto opened = std::make_shared<connection>(descriptor);
        {
            const std::lock_guard lock{m_mutex};
            std::erase_if(m_connections, [](const auto &known) { return known.expired(); });
            m_connections.push_back(opened);
        }
        std::thread{[serve = m_serve, opened] {
            constexpr long IdleMs{110000};
            while (auto request = opened->read(false, IdleMs)) {
                if (!serve(*request, *opened)) {
                    break;
                }
            }
        }}.detach();
    }
}

std::unique_ptr<connection> connectTo(const std::string &address, std::uint16_t port, long timeoutMs)
{
    const int descriptor{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
    const auto remote = socketAddress(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0) {
        pollfd waiting{descriptor, POLLOUT, 0};
        int error{0};
        socklen_t size{sizeof error};
        const bool isReady{errno == EINPROGRESS && ::poll(&waiting, 1, static_cast<int>(timeoutMs)) > 0};
        if (!isReady || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(descriptor);
            return nullptr;
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<connection>(descriptor);
}

answer exchange(const std::string &address, std::uint16_t port, const message &request, long timeoutMs)
{
    answer result;
    const auto open = connectTo(address, port);
    if (!open) {
        return result;
    }
    result.isConnected = true;
    if (!open->write(serialiseRequest(request))) {
        return result;
    }
    if (auto response = open->read(true, timeoutMs, request.method == "HEAD")) {
        result.status = response->status;
        result.response = std::move(*response);
    }
    return result;
}

/** Ports below the range of ephemeral ones are tried in turn, so that none is returned twice. */
std::uint16_t freePort(const std::string &address)
{
    constexpr unsigned FirstPort{12000};
    constexpr unsigned Ports{16000};
    static unsigned next{static_cast<unsigned>(::getpid()) * 97U};
    for (unsigned tried{0}; tried < Ports; ++tried) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % Ports);
        const auto local = socketAddress(address, port);
        bool isFree{true};
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int descriptor{::socket(AF_INET, type | SOCK_CLOEXEC, 0)};
            isFree = isFree && ::bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0;
            ::close(descriptor);
        }
        if (isFree) {
            return port;
        }
    }
    std::cerr << "no free port at " << address << '\n';
    std::_Exit(2);
}

namespace {
constexpr const char *Base64Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}

std::string base64Encode(const std::string &bytes)
{
    std::string text;
    for (std::size_t index{0}; index < bytes.size(); index += 3) {
        unsigned group{0};
        for (std::size_t offset{0}; offset < 3; ++offset) {
            group = group << 8U | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
        }
        for (unsigned offset{0}; offset < 4; ++offset) {
            const bool isPadding{index + offset > bytes.size()};
            text.push_back(isPadding ? '=' : Base64Alphabet[group >> (18U - 6U * offset) & 63U]);
        }
    }
    return text;
}

std::string base64Decode(const std::string &text)
{
    std::string bytes;
    unsigned group{0};
    unsigned bits{0};
    for (const char character : text) {
        const auto *found = std::strchr(Base64Alphabet, character);
        if (character == '=' || found == nullptr) {
            break;
        }
        group = group << 6U | static_cast<unsigned>(found - Base64Alphabet);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>(group >> bits & 255U));
        }
    }
    return bytes;
}

store::store(std::string address, std::uint16_t port)
    : m_address{std::move(address)}
    , m_port{port}
{
    m_listener = std::make_unique<listener>(m_address, m_port, [this](const message &request, connection &from) { return serve(request, from); });
}

void store::setMode(store_mode mode)
{
    m_mode = mode;
    m_changed.notify_all();
}

void store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock{m_mutex};
    ++m_revision;
    auto &entry = m_items[key];
    entry = {value, m_revision, entry.created == 0 ? m_revision : entry.created};
    m_events.push_back({m_revision, key, value});
    m_changed.notify_all();
}

std::optional<std::string> store::get(const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional{found->second.value};
}

bool store::serve(const message &request, connection &from)
{
    sleepMs(m_delayMs);
    if (m_mode == store_mode::Silent) {
        // Nothing is done and nothing more is heard on this connection.
        while (!from.isClosedByPeer()) {
            sleepMs(20);
        }
        return false;
    }
    const auto response = m_mode == store_mode::Busy ? makeResponse(503, "{}") : answerTo(request);
    if (m_mode == store_mode::Silent) {
        while (!from.isClosedByPeer()) {
            sleepMs(20);
        }
        return false;
    }
    return from.write(serialiseResponse(response));
}

message store::answerTo(const message &request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    auto query = parseQuery(request.target);
    if (path == "/-/kv-key") {
        return readKey(query["key"]);
    }
    if (path == "/-/kv-range") {
        return readRange(query["path_prefix"], query["after"]);
    }
    if (path == "/-/kv-watch") {
        return watch(query["path_prefix"], std::stoull(query["after"]), std::stol(query["wait_ms"]));
    }
    if (path == "/-/kv-txn") {
        return transact(request.body);
    }
    return makeResponse(404, "{}");
}

std::string store::itemJson(const std::string &key, const item &value, bool withAt) const
{
    Json::Value object{Json::objectValue};
    object["key"] = key;
    object["value"] = base64Encode(value.value);
    object["revision"] = Json::UInt64{value.revision};
    object["created_rev"] = Json::UInt64{value.created};
    object["lease"] = 0;
    if (withAt) {
        object["at"] = Json::UInt64{m_revision};
    }
    return writeJson(object);
}

message store::readKey(const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_items.find(key);
    return found == m_items.end() ? makeResponse(404, "{}") : makeResponse(200, itemJson(key, found->second, true));
}

message store::readRange(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock{m_mutex};
    std::string items;
    std::size_t count{0};
    bool hasMore{false};
    for (auto entry = m_items.lower_bound(prefix); entry != m_items.end() && entry->first.starts_with(prefix); ++entry) {
        if (!after.empty() && entry->first <= after) {
            continue;
        }
        if (count == pageSize) {
            hasMore = true;
            break;
        }
        items += (items.empty() ? "" : ",") + itemJson(entry->first, entry->second, false);
        ++count;
    }
    return makeResponse(
        200, "{\"items\":[" + items + "],\"has_more\":" + (hasMore ? "true" : "false") + ",\"at\":" + std::to_string(m_revision) + "}");
}

message store::watch(const std::string &prefix, std::uint64_t after, long waitMs)
{
    std::unique_lock lock{m_mutex};
    const auto until = std::chrono::steady_clock::now() + milliseconds{std::min(waitMs, 30000L)};
    for (;;) {
        std::string events;
        for (const auto &change : m_events) {
            if (change.revision > after && change.key.starts_with(prefix)) {
                const auto found = m_items.find(change.key);
                if (found != m_items.end()) {
                    events += (events.empty() ? "" : ",") + itemJson(change.key, {*change.value, change.revision, found->second.created}, false);
                }
            }
        }
        const bool isOver{m_mode != store_mode::Up || std::chrono::steady_clock::now() >= until};
        if (!events.empty() || isOver) {
            return makeResponse(200, "{\"events\":[" + events + "],\"at\":" + std::to_string(m_revision) + "}");
        }
        m_changed.wait_until(lock, until);
    }
}

message store::transact(const std::string &body)
{
    Json::Value call;
    std::stringstream{body} >> call;
    std::vector<std::string> written;
    message response;
    {
        const std::lock_guard lock{m_mutex};
        bool holds{true};
        std::string items;
        for (const auto &row : call["precondition"]) {
            const auto key = row["key"].asString();
            const auto found = m_items.find(key);
            holds = holds && row["revision"].asUInt64() == (found == m_items.end() ? 0 : found->second.revision);
            if (found != m_items.end()) {
                items += (items.empty() ? "" : ",") + itemJson(key, found->second, false);
            }
        }
        if (!holds) {
            return makeResponse(412, "{\"items\":[" + items + "],\"at\":" + std::to_string(m_revision) + "}");
        }
        if (!call["writes"].empty() || !call["deletes"].empty()) {
            ++m_revision;
        }
        for (const auto &write : call["writes"]) {
            const auto key = write["key"].asString();
            auto &entry = m_items[key];
            entry = {base64Decode(write["value"].asString()), m_revision, entry.created == 0 ? m_revision : entry.created};
            m_events.push_back({m_revision, key, entry.value});
            written.push_back(key);
        }
        for (const auto &key : call["deletes"]) {
            m_items.erase(key.asString());
        }
        m_changed.notify_all();
        response = makeResponse(200, "{\"revision\":" + std::to_string(m_revision) + "}");
    }
    for (const auto &key : written) {
        if (onWrite) {
            onWrite(key);
        }
    }
    return response;
}

machine makeMachine(const std::string &name, const std::string &zone, const std::string &service, const std::string &ip, const std::string &directory)
{
    machine host;
    host.name = name;
    host.zone = zone;
    host.service = service;
    host.ip = ip;
    for (auto *port : {&host.inbound, &host.outbound, &host.ready, &host.control, &host.internal, &host.metrics, &host.app}) {
        *port = freePort(ip);
    }
    host.directory = directory + "/" + name;
    std::filesystem::create_directories(host.directory);
    return host;
}

/** Writes deploy/settings.template as the platform fills it in for the machine. Only the ports of internal listeners differ. */
void writeSettings(const machine &host, const settings_options &options)
{
    const auto at = [&host](std::uint16_t port) { return '"' + host.ip + ':' + std::to_string(port) + '"'; };
    std::string zones;
    for (const auto &zone : options.zones) {
        zones += (zones.empty() ? "\"" : ",\"") + zone + '"';
    }
    std::ofstream file{host.directory + "/settings.yaml"};
    file << "instance: \"" << host.name << "\"\navailability_zone: \"" << host.zone << "\"\navailability_zones: [" << zones << "]\nservice: \""
         << host.service << "\"\ntarget: " << at(host.app) << "\naddresses:\n  callers: " << at(host.outbound) << "\n  peers: " << at(host.inbound)
         << "\n  egress: " << at(host.internal) << "\n  gossip: " << at(host.internal) << "\n  admin: " << at(host.metrics)
         << "\nannouncements: " << at(host.control) << "\nreadiness: " << at(host.ready) << "\nplatform:\n  endpoints: [\"" << options.storeAddress
         << "\"]\n  timeout_ms: 1200\nnetwork_secret: \"" << options.storeAddress
         << "\"\ndiscovery_prefix: \"ragwortpin/nodes/\"\nlimits:\n  header_bytes: 65536\n  request_body_bytes: 67108864\n  connections: 2000\n"
         << "  memory_mb: " << options.memoryMb << "\n  idle_timeout_ms: 120000\ngrace: \"" << options.grace
         << "\"\nconfiguration:\n  zone_poll_interval_ms: 1100\n  start_grace_ms: 0\n  start_spread_ms: 150\n  watch: true\n"
         << "  longest_proof_age_ms: 4600\noverload:\n  cold_start: false\n  adaptive_limit: false\n  used_slots: 0.95\n"
         << "  longest_queue_delay_ms: 400\n  shed_by_level: false\n  plan_admission: true\n  repeat_arrivals: true\n"
         << "  fleet_repeat_part: 0.2\n  fleet_repeat_requests: 48\nrate_method: shared\n";
}

void startNode(machine &host)
{
    const auto settings = "RAGWORTPIN_SETTINGS=" + host.directory + "/settings.yaml";
    const auto log = host.directory + "/node.log";
    const std::string program{"target/ragwortpin-platform-node"};
    std::vector<std::string> kept{settings, "PATH=/usr/bin:/bin", "HOME=/", "LANG=C"};
    std::vector<char *> environment;
    for (auto &entry : kept) {
        environment.push_back(entry.data());
    }
    environment.push_back(nullptr);
    std::vector<char *> arguments{const_cast<char *>(program.c_str()), nullptr};
    const pid_t child{::fork()};
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int descriptor{::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644)};
        ::dup2(descriptor, 1);
        ::dup2(descriptor, 2);
        ::execve(program.c_str(), arguments.data(), environment.data());
        std::_Exit(127);
    }
    host.process = child;
    const std::lock_guard lock{processMutex};
    processes.push_back(child);
}

void signalNode(const machine &host, int signal)
{
    if (host.process > 0) {
        ::kill(host.process, signal);
    }
}

int waitNode(machine &host, long timeoutMs)
{
    const long deadline{elapsedMs() + timeoutMs};
    while (host.process > 0 && elapsedMs() < deadline) {
        int status{0};
        if (::waitpid(host.process, &status, WNOHANG) == host.process) {
            const std::lock_guard lock{processMutex};
            std::erase(processes, host.process);
            host.process = -1;
            return status;
        }
        sleepMs(5);
    }
    return -1;
}

bool isRunning(machine &host)
{
    return host.process > 0 && waitNode(host, 1) == -1;
}

bool waitReady(const machine &host, long timeoutMs)
{
    const long deadline{elapsedMs() + timeoutMs};
    while (elapsedMs() < deadline) {
        message request;
        request.method = "GET";
        request.target = "/-/ready";
        request.headers.emplace_back("Host", "node");
        if (exchange(host.ip, host.ready, request, 1000).status == 200) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

void killAllNodes()
{
    const std::lock_guard lock{processMutex};
    for (const auto process : processes) {
        ::kill(process, SIGCONT);
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    processes.clear();
}

int sendHeartbeat(const machine &host, const heartbeat &value)
{
    Json::Value body{Json::objectValue};
    body["service"] = value.service;
    body["address"] = value.address;
    body["zone"] = value.zone;
    body["version"] = "v1";
    body["slots"] = value.slots;
    body["state"] = value.state;
    body["cold_left"] = "0ms";
    body["sequence"] = Json::UInt64{value.sequence};
    body["born"] = Json::Int64{value.born};
    message request;
    request.method = "POST";
    request.target = "/-/Instances.Heartbeat/" + value.id;
    request.headers = {{"Host", "node"}, {"Content-Type", "application/json"}};
    request.body = writeJson(body);
    return exchange(host.ip, host.control, request, 1000).status;
}

int sendDeregister(const machine &host, const std::string &id)
{
    message request;
    request.method = "POST";
    request.target = "/-/Instances.Deregister/" + id;
    request.headers = {{"Host", "node"}};
    return exchange(host.ip, host.control, request, 1000).status;
}

} // namespace review
