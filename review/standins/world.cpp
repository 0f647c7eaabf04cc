#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <random>
#include <sstream>

namespace review {

namespace {

constexpr milliseconds HeartbeatInterval{1500};
constexpr milliseconds HeartbeatTimeout{1000};
constexpr milliseconds StoreDelay{4};
constexpr milliseconds IdleLimit{10000};

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

message jsonResponse(const std::string &status, const Json::Value &body)
{
    auto result = response(status, writeJson(body));
    result.fields.emplace_back("Content-Type", "application/json");
    return result;
}

std::string base64(const std::string &bytes)
{
    static const char digits[]{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};
    std::string text;
    for (std::size_t at{0}; at < bytes.size(); at += 3) {
        std::uint32_t group{0};
        for (std::size_t index{0}; index < 3; ++index) {
            group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index{0}; index < 4; ++index) {
            text += at + index > bytes.size() ? '=' : digits[group >> (18 - 6 * index) & 63U];
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    static const std::string digits{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};
    std::string bytes;
    std::uint32_t group{0};
    int bits{0};
    for (const char digit : text) {
        const auto value = digits.find(digit);
        if (value == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    std::istringstream stream{text};
    Json::CharReaderBuilder builder;
    std::string errors;
    if (!Json::parseFromStream(builder, stream, &value, &errors)) {
        throw std::runtime_error("not JSON: " + errors);
    }
    return value;
}

/** Value of a parameter of a request's query, decoded. */
std::string queryValue(const std::string &target, const std::string &name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
        if (pair.compare(0, name.size() + 1, name + "=") == 0) {
            std::string value;
            for (std::size_t index{name.size() + 1}; index < pair.size(); ++index) {
                if (pair[index] == '%' && index + 2 < pair.size()) {
                    value += static_cast<char>(std::stoi(pair.substr(index + 1, 2), nullptr, 16));
                    index += 2;
                } else {
                    value += pair[index];
                }
            }
            return value;
        }
        at = end;
    }
    return {};
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string shorten(const std::string &text)
{
    return text.empty() ? "-" : text;
}

} // namespace

std::string seconds(clock_type::duration span)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f s", std::chrono::duration<double>(span).count());
    return text;
}

// Store

store::store(const address &local)
    : m_listener{local, [this](std::shared_ptr<connection> open) {
                     serve(open);
                 }}
{ }

clock_type::time_point store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock{m_mutex};
    auto &entry = m_items[key];
    entry.value = value;
    entry.revision = ++m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
    m_history.push_back({m_revision, key, entry});
    m_changed.notify_all();
    return clock_type::now();
}

void store::serve(const std::shared_ptr<connection> &open)
{
    for (;;) {
        const auto request = open->read(clock_type::now() + IdleLimit);
        if (!request) {
            return;
        }
        std::this_thread::sleep_for(StoreDelay);
        if (!open->send(answer(*request).encode())) {
            return;
        }
    }
}

message store::answer(const message &request)
{
    const auto target = request.word(1);
    const auto path = target.substr(0, target.find('?'));
    if (path == "/-/kv-key") {
        return read(queryValue(target, "key"));
    }
    if (path == "/-/kv-range") {
        return range(queryValue(target, "path_prefix"));
    }
    if (path == "/-/kv-watch") {
        return watch(queryValue(target, "path_prefix"),
                     std::stoll("0" + queryValue(target, "after")),
                     milliseconds{std::min(30000, std::stoi("0" + queryValue(target, "wait_ms")))});
    }
    if (path == "/-/kv-txn") {
        return transact(request.body);
    }
    return response("404 Not Found");
}

static Json::Value toJson(const std::string &key, const std::string &value, std::int64_t revision, std::int64_t created)
{
    Json::Value object{Json::objectValue};
    object["key"] = key;
    object["value"] = base64(value);
    object["revision"] = static_cast<Json::Int64>(revision);
    object["created_rev"] = static_cast<Json::Int64>(created);
    object["lease"] = 0;
    return object;
}

message store::read(const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return response("404 Not Found");
    }
    auto body = toJson(key, found->second.value, found->second.revision, found->second.created);
    body["at"] = static_cast<Json::Int64>(m_revision);
    return jsonResponse("200 OK", body);
}

message store::range(const std::string &prefix)
{
    const std::lock_guard lock{m_mutex};
    Json::Value body{Json::objectValue};
    body["items"] = Json::Value{Json::arrayValue};
    for (const auto &[key, entry] : m_items) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
            body["items"].append(toJson(key, entry.value, entry.revision, entry.created));
        }
    }
    body["has_more"] = false;
    body["at"] = static_cast<Json::Int64>(m_revision);
    return jsonResponse("200 OK", body);
}

message store::watch(const std::string &prefix, std::int64_t after, milliseconds wait)
{
    std::unique_lock lock{m_mutex};
    Json::Value events{Json::arrayValue};
    m_changed.wait_for(lock, wait, [&] {
        for (const auto &entry : m_history) {
            if (entry.revision > after && entry.key.compare(0, prefix.size(), prefix) == 0) {
                if (entry.written) {
                    events.append(toJson(entry.key, entry.written->value, entry.revision, entry.written->created));
                } else {
                    Json::Value gone{Json::objectValue};
                    gone["key"] = entry.key;
                    gone["revision"] = static_cast<Json::Int64>(entry.revision);
                    gone["tombstone"] = true;
                    events.append(gone);
                }
            }
        }
        return !events.empty();
    });
    Json::Value body{Json::objectValue};
    body["events"] = events;
    body["at"] = static_cast<Json::Int64>(m_revision);
    return jsonResponse("200 OK", body);
}

message store::transact(const std::string &text)
{
    const auto body = parseJson(text);
    const std::lock_guard lock{m_mutex};
    bool holds{true};
    Json::Value items{Json::arrayValue};
    for (const auto &row : body["precondition"]) {
        const auto found = m_items.find(row["key"].asString());
        const auto revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row["revision"].asInt64();
        if (found != m_items.end()) {
            items.append(toJson(found->first, found->second.value, found->second.revision, found->second.created));
        }
    }
    if (!holds) {
        Json::Value conflict{Json::objectValue};
        conflict["items"] = items;
        conflict["at"] = static_cast<Json::Int64>(m_revision);
        return jsonResponse("412 Precondition Failed", conflict);
    }
    for (const auto &write : body["writes"]) {
        if (write["key"].asString().rfind("op/", 0) == 0) {
            return response("403 Forbidden");
        }
    }
    if (!body["writes"].empty() || !body["deletes"].empty()) {
        ++m_revision;
    }
    for (const auto &write : body["writes"]) {
        auto &entry = m_items[write["key"].asString()];
        entry.value = fromBase64(write["value"].asString());
        entry.revision = m_revision;
        entry.created = entry.created == 0 ? m_revision : entry.created;
        m_history.push_back({m_revision, write["key"].asString(), entry});
    }
    for (const auto &key : body["deletes"]) {
        m_items.erase(key.asString());
        m_history.push_back({m_revision, key.asString(), std::nullopt});
    }
    m_changed.notify_all();
    Json::Value done{Json::objectValue};
    done["revision"] = static_cast<Json::Int64>(m_revision);
    return jsonResponse("200 OK", done);
}

// Worker

worker::worker(worker_settings settings, record &log)
    : m_settings{std::move(settings)}
    , m_log{log}
    , m_born{unixMilliseconds()}
{
    const auto shared = m_state;
    const auto copied = m_settings;
    m_listener = std::make_unique<listener>(copied.local, [shared, copied, &log](std::shared_ptr<connection> open) {
        serve(shared, copied, log, std::move(open));
    });
}

worker::~worker()
{
    stopBeating();
}

message worker::nextBeat(const std::string &state)
{
    Json::Value body{Json::objectValue};
    body["service"] = m_settings.service;
    body["address"] = m_settings.local.text();
    body["zone"] = m_settings.zone;
    body["version"] = "v1";
    body["slots"] = m_settings.slots;
    body["state"] = state;
    body["cold_left"] = "0ms";
    body["sequence"] = static_cast<Json::Int64>(++m_sequence);
    body["born"] = static_cast<Json::Int64>(m_born);
    return {"POST /-/Instances.Heartbeat/" + m_settings.id + " HTTP/1.1",
            {{"Host", m_settings.control.text()}, {"Content-Type", "application/json"}},
            writeJson(body)};
}

bool worker::beat(const std::string &state)
{
    if (state == "draining") {
        m_state->draining = true;
    }
    const auto answer = call(m_settings.control, nextBeat(state), HeartbeatTimeout);
    return answer && answer->word(1).rfind('2', 0) == 0;
}

void worker::startBeating()
{
    m_beating = true;
    m_beats = std::thread{[this] {
        auto next = clock_type::now();
        while (m_beating) {
            if (clock_type::now() >= next) {
                beat(m_state->draining ? "draining" : "ready");
                next += HeartbeatInterval;
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
    }};
}

void worker::stopBeating()
{
    m_beating = false;
    if (m_beats.joinable()) {
        m_beats.join();
    }
}

bool worker::deregister()
{
    m_state->draining = true;
    const auto answer = call(m_settings.control,
                             {"POST /-/Instances.Deregister/" + m_settings.id + " HTTP/1.1", {{"Host", m_settings.control.text()}}, {}},
                             HeartbeatTimeout);
    return answer && answer->word(1).rfind('2', 0) == 0;
}

void worker::fallSilent()
{
    stopBeating();
    m_state->silent = true;
    m_listener->stopAccepting();
}

void worker::end()
{
    stopBeating();
    m_listener.reset();
}

void worker::exit()
{
    m_state->ended = true;
    end();
    std::this_thread::sleep_for(milliseconds{20});
}

std::vector<arrival> worker::arrivals() const
{
    const std::lock_guard lock{m_state->mutex};
    return m_state->arrivals;
}

/** Sends a chunked answer whose last part never ends, at the rate of a link, until the caller closes or does not read for 5 s. */
static void sendEndless(connection &open, std::size_t linkBytes, record &log)
{
    constexpr milliseconds Step{10};
    std::string fill;
    while (fill.size() < linkBytes / 1000 * static_cast<std::size_t>(Step.count())) {
        fill += "x-filler: 0123456789abcdef\r\n";
    }
    std::size_t sent{0};
    bool isOpen{open.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n")};
    for (auto next = clock_type::now(); isOpen; next += Step) {
        std::this_thread::sleep_until(next);
        isOpen = open.send(fill);
        sent += isOpen ? fill.size() : 0;
    }
    log.line("the caller closed after " + std::to_string(sent / 1000000) + " MB");
}

void worker::serve(const std::shared_ptr<state> &shared, const worker_settings &settings, record &log, std::shared_ptr<connection> open)
{
    // Silent for good: neither an answer nor the end of the connection.
    const auto holdIfSilent = [&] {
        while (shared->silent) {
            std::this_thread::sleep_for(milliseconds{100});
        }
    };
    // Returns false if the caller closed the connection before the time. Holds for good if the worker falls silent.
    const auto waitUntil = [&](clock_type::time_point until) {
        while (clock_type::now() < until) {
            holdIfSilent();
            if (shared->ended) {
                return false;
            }
            const auto step = std::min(until, clock_type::now() + milliseconds{5});
            if (!open->waitWhileOpen(step)) {
                holdIfSilent();
                return false;
            }
        }
        holdIfSilent();
        return true;
    };
    for (;;) {
        const auto request = open->read(clock_type::now() + IdleLimit);
        holdIfSilent();
        if (!request || shared->ended) {
            return;
        }
        const auto attempt = request->field("X-Ragwortpin-Attempt-Id");
        const auto path = request->word(1);
        const auto now = clock_type::now();
        if (path == "/health") {
            auto healthy = response(shared->draining ? "503 Service Unavailable" : "200 OK");
            healthy.fields.emplace_back("X-Ragwortpin-Instance-Id", settings.id);
            open->send(healthy.encode());
            continue;
        }
        arrival seen;
        seen.worker = settings.id;
        seen.service = settings.service;
        seen.attempt = attempt;
        seen.path = path;
        seen.caller = request->field("X-Ragwortpin-Caller-Service");
        seen.tenant = request->field("X-Ragwortpin-Tenant");
        seen.key = request->field("Authorization");
        seen.at = now;
        const auto expected = request->field("X-Ragwortpin-Expect-Instance");
        message answer;
        if (!expected.empty() && expected != settings.id) {
            answer = response("421 Misdirected Request");
            answer.fields.emplace_back("X-Ragwortpin-Instance-Id", settings.id);
        } else if (attempt.empty()) {
            answer = response("400 Bad Request");
            answer.fields.emplace_back("X-Ragwortpin-Not-Executed", "1");
        }
        const auto givenMs = request->field("X-Ragwortpin-Deadline-Ms");
        const auto deadline = now + milliseconds{givenMs.empty() ? 60000 : std::stol(givenMs)};
        bool hasSlot{false};
        if (answer.start.empty()) {
            std::unique_lock lock{shared->mutex};
            if (shared->running < settings.slots) {
                ++shared->running;
                hasSlot = true;
            } else if (shared->waiting < settings.queue) {
                ++shared->waiting;
                hasSlot = shared->freed.wait_until(lock, deadline, [&] {
                    return shared->running < settings.slots;
                });
                --shared->waiting;
                shared->running += hasSlot ? 1 : 0;
            }
            if (!hasSlot) {
                answer = response("503 Service Unavailable");
                answer.fields.emplace_back("X-Ragwortpin-Not-Executed", "1");
            }
        }
        seen.ran = hasSlot;
        std::size_t index{0};
        {
            const std::lock_guard lock{shared->mutex};
            index = shared->arrivals.size();
            shared->arrivals.push_back(seen);
        }
        log.line("worker " + settings.id + " (" + settings.service + "): request " + shorten(attempt) + " " + path + ", caller service "
                 + shorten(seen.caller) + ", tenant " + shorten(seen.tenant) + ", expects " + shorten(expected) + ", "
                 + (hasSlot ? "runs" : "not run: " + answer.start.substr(9)));
        bool dropped{false};
        const bool isEndless{hasSlot && settings.linkBytes > 0 && path.size() > 7 && path.compare(path.size() - 7, 7, "endless") == 0};
        if (isEndless) {
            log.line("worker " + settings.id + ": answers " + attempt + " with bytes that are no answer, without end");
            sendEndless(*open, settings.linkBytes, log);
        }
        if (hasSlot && !isEndless) {
            const auto mark = path.find("work-");
            const milliseconds work{mark == std::string::npos ? 20 : std::stol(path.substr(mark + 5))};
            const bool late{now + work > deadline};
            dropped = !waitUntil(std::min(clock_type::now() + work, deadline));
            answer = late ? response("504 Gateway Timeout") : response("200 OK", "answer of " + settings.service + " to " + attempt + "\n");
            answer.fields.emplace_back("X-Ragwortpin-Server-Seal", "seal-" + settings.id + "-" + attempt);
        }
        answer.fields.emplace_back("X-Ragwortpin-Attempt-Id", attempt);
        const bool closes{shared->draining};
        answer.fields.emplace_back(closes ? "Connection" : "Keep-Alive", closes ? "close" : "timeout=10");
        const bool sent{!dropped && !isEndless && open->send(answer.encode())};
        {
            const std::lock_guard lock{shared->mutex};
            shared->arrivals[index].completed = hasSlot && sent;
            shared->arrivals[index].dropped = dropped;
            shared->arrivals[index].endedAt = clock_type::now();
            shared->running -= hasSlot ? 1 : 0;
        }
        shared->freed.notify_all();
        if (hasSlot) {
            log.line("worker " + settings.id + ": request " + attempt + (sent ? " answered " + answer.word(1) : " not finished"));
        }
        if (!sent || closes) {
            return;
        }
    }
}

// Client

static outcome exchange(const std::shared_ptr<connection> &open,
                        const address &to,
                        const client_request &request,
                        const std::string &attempt,
                        clock_type::time_point begin,
                        record &log)
{
    outcome result;
    result.attempt = attempt;
    result.sentAt = begin;
    message sent{request.method + " " + request.path + " HTTP/1.1",
                 {{"Host", request.host},
                  {"X-Ragwortpin-Attempt-Id", attempt},
                  {"X-Ragwortpin-Deadline-Ms", std::to_string(request.deadline.count())}},
                 request.body};
    if (!request.key.empty()) {
        sent.fields.emplace_back("Authorization", "Bearer " + request.key);
    }
    std::optional<message> answer;
    bool wasSent{false};
    if (open) {
        log.line("client sends " + attempt + " " + request.method + " " + request.host + request.path + " to " + to.text());
        wasSent = open->send(sent.encode());
        answer = wasSent ? open->read(begin + request.deadline) : std::nullopt;
    }
    result.endedAt = clock_type::now();
    if (answer) {
        result.status = std::atoi(answer->word(1).c_str());
        result.seal = answer->field("X-Ragwortpin-Server-Seal");
        result.body = answer->body;
        result.keeps = answer->field("Connection") != "close";
    } else {
        result.closed = wasSent && open->isClosedByPeer();
    }
    const auto how = answer ? std::to_string(result.status) + (result.seal.empty() ? ", no seal" : ", " + result.seal)
                            : std::string{!open               ? "no connection"
                                              : result.closed ? "connection closed without an answer"
                                                              : "no answer"};
    log.line("client's " + attempt + " ends after " + seconds(result.endedAt - result.sentAt) + ": " + how);
    return result;
}

outcome send(const address &to, const client_request &request, const std::string &attempt, record &log)
{
    const auto begin = clock_type::now();
    return exchange(connection::open(to, milliseconds{1000}), to, request, attempt, begin, log);
}

outcome kept_client::send(const client_request &request, const std::string &attempt, record &log)
{
    const auto begin = clock_type::now();
    const bool isKept{m_open && !m_open->isClosedByPeer()};
    if (!isKept) {
        m_open = connection::open(m_to, milliseconds{1000});
    }
    auto result = exchange(m_open, m_to, request, attempt, begin, log);
    result.onKept = isKept;
    if (result.status == 0 || !result.keeps) {
        m_open.reset();
    }
    return result;
}

// Settings and node

Json::Value machineFields(const std::string &name,
                          const std::string &zone,
                          const std::vector<std::string> &zones,
                          const std::string &service,
                          const std::string &ip,
                          const std::string &storeAddress,
                          const std::string &grace)
{
    Json::Value fields{Json::objectValue};
    fields["node_name"] = name;
    fields["role"] = "node";
    fields["machine_class"] = "sidecar";
    fields["serves"].append("sidecar");
    fields["ip"] = ip;
    fields["zone"] = zone;
    fields["region"] = "region";
    fields["counts_as_loss"] = false;
    fields["bootstrap"] = true;
    fields["data_dir"] = Json::Value{};
    fields["limits"]["cpu_share"] = 0.4;
    fields["limits"]["cores"] = 1;
    fields["limits"]["memory_mb"] = 260;
    fields["limits"]["max_fds"] = 4100;
    fields["limits"]["link_mbps"] = 1000.0;
    fields["limits"]["disk_mb"] = 0;
    fields["app_addr"] = ip + ":8547";
    fields["service"] = service;
    fields["listen"]["inbound"] = ip + ":8543";
    fields["listen"]["outbound"] = ip + ":8548";
    fields["listen"]["ready_addr"] = ip + ":8546";
    fields["listen"]["control"] = ip + ":8540";
    fields["internal_ports"].append(7000);
    fields["internal_ports"].append(7015);
    fields["seeds"] = Json::Value{Json::arrayValue};
    for (const auto &entry : zones) {
        fields["zones"][entry] = "region";
    }
    fields["discovery"] = "static";
    fields["entry"] = "static";
    fields["heartbeat"] = "1500ms";
    auto &platform = fields["platform"];
    platform["address"] = storeAddress;
    platform["form"] = "kv";
    platform["writes_per_s"] = 400;
    platform["reads_per_s"] = 2000;
    platform["history"] = "20s";
    platform["value_bytes"] = 1048576;
    platform["ttl_min"] = "1000ms";
    for (const char *part : {"base", "drain", "config", "cost", "retry", "recover", "pressure", "tenants", "quota", "platform"}) {
        fields["contracts"].append(part);
    }
    fields["fault_tolerance"]["machines"] = 1;
    fields["fault_tolerance"]["zones"] = 1;
    fields["fault_tolerance"]["regions"] = 0;
    auto &bounds = fields["bounds"];
    bounds["seed_lag"] = "3s";
    bounds["addr_reuse"] = "2s";
    bounds["contact"] = "3000ms";
    bounds["ack_timeout"] = "4000ms";
    bounds["catch_up"] = "4s";
    bounds["drain"] = "2000ms";
    bounds["grace"] = grace;
    bounds["loss_slack"] = "200ms";
    bounds["config_apply"] = "2000ms";
    bounds["rollback_slack"] = "250ms";
    bounds["max_stretch"] = "5000ms";
    bounds["revoke_fail_closed"] = true;
    bounds["revoke"] = "5000ms";
    bounds["retry_budget_ratio"] = 0.2;
    bounds["budget_window"] = "10s";
    bounds["retry_budget_slack"] = 49;
    bounds["quota_window"] = "5s";
    bounds["quota_overage"] = 0.1;
    bounds["quota_slack"] = 20;
    bounds["recovery"] = "15s";
    return fields;
}

namespace {

const Json::Value *lookUp(const std::vector<const Json::Value *> &scopes, const std::string &name)
{
    if (name == ".") {
        return scopes.back();
    }
    for (auto scope = scopes.rbegin(); scope != scopes.rend(); ++scope) {
        const Json::Value *at{*scope};
        std::size_t begin{0};
        while (at != nullptr && begin <= name.size()) {
            const auto end = std::min(name.find('.', begin), name.size());
            const auto part = name.substr(begin, end - begin);
            const bool isIndex{!part.empty() && std::all_of(part.begin(), part.end(), [](char digit) {
                return digit >= '0' && digit <= '9';
            })};
            if (at->isArray() && isIndex && std::stoul(part) < at->size()) {
                at = &(*at)[static_cast<Json::ArrayIndex>(std::stoul(part))];
            } else if (at->isObject() && at->isMember(part)) {
                at = &(*at)[part];
            } else {
                at = nullptr;
            }
            begin = end + 1;
        }
        if (at != nullptr && !at->isNull()) {
            return at;
        }
    }
    return nullptr;
}

std::string plain(const Json::Value &value)
{
    if (value.isArray()) {
        std::string text;
        for (const auto &entry : value) {
            text += (text.empty() ? "" : ",") + plain(entry);
        }
        return text;
    }
    return value.isString() ? value.asString() : writeJson(value);
}

struct position
{
    std::string key;
    bool isLast{true};
};

std::string fill(const std::string &text, std::vector<const Json::Value *> scopes, const position &current)
{
    std::string result;
    std::size_t at{0};
    for (;;) {
        const auto begin = text.find("{{", at);
        if (begin == std::string::npos) {
            return result + text.substr(at);
        }
        result += text.substr(at, begin - at);
        const auto end = text.find("}}", begin);
        if (end == std::string::npos) {
            throw std::runtime_error("placeholder without an end in the template");
        }
        auto name = text.substr(begin + 2, end - begin - 2);
        at = end + 2;
        if (name == "@") {
            result += current.key;
        } else if (name == ",") {
            result += current.isLast ? "" : ",";
        } else if (name[0] == '#' || name[0] == '^') {
            const bool wanted{name[0] == '#'};
            name.erase(0, 1);
            const auto close = text.find("{{/" + name + "}}", at);
            if (close == std::string::npos) {
                throw std::runtime_error("section without an end in the template: " + name);
            }
            const auto inner = text.substr(at, close - at);
            at = close + name.size() + 5;
            const auto *value = lookUp(scopes, name);
            const bool present{value != nullptr && !(value->isBool() && !value->asBool()) && !(value->isArray() && value->empty())};
            if (!wanted) {
                result += present ? "" : fill(inner, scopes, current);
            } else if (present && (value->isArray() || value->isObject())) {
                auto inside = scopes;
                inside.push_back(nullptr);
                std::size_t index{0};
                for (auto entry = value->begin(); entry != value->end(); ++entry, ++index) {
                    inside.back() = &*entry;
                    const auto key = value->isObject() ? entry.name() : std::to_string(index);
                    result += fill(inner, inside, {key, index + 1 == value->size()});
                }
            } else if (present) {
                result += fill(inner, scopes, current);
            }
        } else {
            const auto bar = name.find("|json");
            const auto *value = lookUp(scopes, name.substr(0, bar));
            if (value != nullptr) {
                result += bar == std::string::npos ? plain(*value) : writeJson(*value);
            }
        }
    }
}

std::string readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

/** Text of a field of the deploy file's only role. */
std::string deployField(const std::string &name)
{
    std::istringstream lines{readFile("deploy/system.toml")};
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name + " = \"", 0) == 0) {
            const auto begin = line.find('"') + 1;
            return line.substr(begin, line.find('"', begin) - begin);
        }
    }
    throw std::runtime_error("deploy/system.toml has no field " + name);
}

} // namespace

std::string fillTemplate(const std::string &text, const Json::Value &fields)
{
    return fill(text, {&fields}, {});
}

node::node(Json::Value fields, std::string folder, record &log)
    : m_fields{std::move(fields)}
    , m_folder{std::move(folder)}
    , m_log{log}
{
    writeSettings();
}

node::~node()
{
    if (m_process > 0 && !hasEnded()) {
        kill(m_process, SIGKILL);
        waitpid(m_process, &m_status, 0);
    }
}

void node::writeSettings()
{
    const auto path = m_folder + "/" + m_fields["node_name"].asString() + ".yaml";
    std::ofstream{path + ".new", std::ios::binary} << fillTemplate(readFile(deployField("template")), m_fields);
    std::rename((path + ".new").c_str(), path.c_str());
}

void node::setService(const std::string &service)
{
    m_fields["service"] = service;
    writeSettings();
}

void node::start()
{
    const auto name = m_fields["node_name"].asString();
    std::vector<std::string> words;
    std::istringstream run{deployField("run")};
    for (std::string word; run >> word;) {
        words.push_back(fillTemplate(word, m_fields));
    }
    std::vector<std::string> environment{"RAGWORTPIN_SETTINGS=" + m_folder + "/" + name + ".yaml"};
    for (const char *variable : {"PATH", "HOME", "JAVA_HOME", "LANG"}) {
        if (const char *value{std::getenv(variable)}) {
            environment.push_back(std::string{variable} + "=" + value);
        }
    }
    std::vector<char *> arguments;
    std::vector<char *> variables;
    for (auto &word : words) {
        arguments.push_back(word.data());
    }
    for (auto &variable : environment) {
        variables.push_back(variable.data());
    }
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    const auto log = m_folder + "/" + name + ".log";
    const pid_t parent{getpid()};
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        const int output{open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644)};
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(arguments.front(), arguments.data(), variables.data());
        _exit(127);
    }
    m_fields["bootstrap"] = false;
    m_log.line("node " + name + " starts");
}

void node::signal(int number)
{
    m_log.line("node " + m_fields["node_name"].asString() + " gets signal " + std::to_string(number));
    kill(m_process, number);
}

bool node::hasEnded()
{
    if (m_process > 0 && waitpid(m_process, &m_status, WNOHANG) == m_process) {
        m_process = 0;
        m_log.line("node " + m_fields["node_name"].asString() + " has ended");
    }
    return m_process == 0;
}

bool node::waitReady(milliseconds limit)
{
    const auto until = clock_type::now() + limit;
    while (clock_type::now() < until) {
        const auto answer = call(at("ready_addr"), {"GET /-/ready HTTP/1.1", {{"Host", at("ready_addr").text()}}, {}}, milliseconds{500});
        if (answer && answer->word(1) == "200") {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

std::size_t node::memory() const
{
    std::ifstream file{"/proc/" + std::to_string(m_process) + "/statm"};
    std::size_t total{0};
    std::size_t resident{0};
    return m_process > 0 && file >> total >> resident ? resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

address node::at(const char *name) const
{
    const auto text = std::string{name} == "app_addr" ? m_fields["app_addr"].asString() : m_fields["listen"][name].asString();
    const auto colon = text.find(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

// Configuration

configuration &configuration::service(const std::string &name)
{
    Json::Value entry{Json::objectValue};
    entry["resource_kind"] = "services";
    entry["metadata"]["name"] = name;
    entry["spec"]["health_path"] = "/health";
    entry["spec"]["max_conns"] = 532;
    entry["spec"]["protocol"] = "h1";
    entry["spec"]["tls"] = false;
    m_list.append(entry);
    return *this;
}

configuration &configuration::route(const std::string &host,
                                    const std::string &prefix,
                                    const std::string &service,
                                    const std::string &kind,
                                    const std::string &timeout,
                                    bool isPublic)
{
    Json::Value entry{Json::objectValue};
    entry["resource_kind"] = "routes";
    entry["metadata"]["name"] = "r-" + std::to_string(++m_routes);
    auto &spec = entry["spec"];
    spec["host"] = host;
    spec["path_prefix"] = prefix;
    spec["kind"] = kind;
    spec["timeout"] = timeout;
    spec["target_latency"] = "1500ms";
    spec["priority"] = 1;
    spec["service"] = service;
    spec["max_attempts"] = 2;
    spec["public"] = isPublic;
    m_list.append(entry);
    return *this;
}

configuration &configuration::tenant(const std::string &name, const std::vector<std::string> &keys)
{
    Json::Value entry{Json::objectValue};
    entry["resource_kind"] = "tenants";
    entry["metadata"]["name"] = name;
    entry["spec"]["api_keys"] = Json::Value{Json::arrayValue};
    for (const auto &key : keys) {
        entry["spec"]["api_keys"].append(key);
    }
    entry["spec"]["priority"] = 1;
    m_list.append(entry);
    return *this;
}

std::string configuration::text(int version) const
{
    Json::Value body{Json::objectValue};
    body["version"] = version;
    body["base_version"] = version - 1;
    body["resource_list"] = m_list;
    Json::Value limits{Json::objectValue};
    limits["resource_kind"] = "limits";
    limits["metadata"] = Json::Value{Json::objectValue};
    limits["spec"]["max_header_bytes"] = 16384;
    limits["spec"]["max_body_bytes"] = 67108864;
    limits["spec"]["header_timeout"] = "3000ms";
    limits["spec"]["idle_timeout"] = "15000ms";
    body["resource_list"].append(limits);
    return writeJson(body);
}

} // namespace review
