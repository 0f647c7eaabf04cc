// Many users upload at once, within the limits of the configuration. The platform ends a process whose memory exceeds memory_mb.
#include "fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

using namespace review;

namespace {
const std::string Key{"6wsjnbanfqasnmgkcuyj"};
const std::string Host{"book.example"};
constexpr std::size_t Megabyte{1000UL * 1000UL};
constexpr int MemoryMb{260};

/** Resident memory of a process in KiB; 0 if it has ended. */
long residentKib(pid_t process)
{
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

/** Uploads a body and records the answer. The connection stays open for a while, as clients keep connections for more requests. */
std::unique_ptr<connection> upload(const machine &host, const std::string &id, std::size_t bytes, bool isChunked)
{
    auto open = connectTo(host.ip, host.outbound);
    if (!open) {
        record("client gets no connection for " + id);
        return nullptr;
    }
    std::string head{"POST /book/" + id + " HTTP/1.1\r\nHost: " + Host + "\r\nX-Ragwortpin-Attempt-Id: " + id
                     + "\r\nX-Ragwortpin-Deadline-Ms: 5000\r\nAuthorization: Bearer " + Key + "\r\n"};
    // Clients differ in the size of their chunks.
    const std::string part(30000 + std::hash<std::string>{}(id) % 34000, 'u');
    std::stringstream chunkHead;
    chunkHead << std::hex << part.size() << "\r\n";
    const auto chunk = chunkHead.str() + part + "\r\n";
    bool isSent{false};
    if (isChunked) {
        isSent = open->write(head + "Transfer-Encoding: chunked\r\n\r\n");
        for (std::size_t sent{0}; isSent && sent < bytes; sent += part.size()) {
            isSent = open->write(chunk);
        }
        isSent = isSent && open->write("0\r\n\r\n");
    } else {
        isSent = open->write(head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
        for (std::size_t sent{0}; isSent && sent < bytes; sent += part.size()) {
            isSent = open->write(part.substr(0, std::min(part.size(), bytes - sent)));
        }
    }
    const auto response = open->read(true, 7000);
    record("client gets " + (response ? std::to_string(response->status) : std::string{"no answer"}) + " to " + id + ", " + std::to_string(bytes / Megabyte) + " MB"
           + (isChunked ? " in chunks" : " with a length"));
    return response && response->status == 200 ? std::move(open) : nullptr;
}

/** Lets a number of users upload bodies of different sizes one after the other for a while. */
void uploadFor(const machine &host, int users, long lengthMs, std::size_t smallest, std::size_t largest, bool isChunked, const std::string &name)
{
    const long end{elapsedMs() + lengthMs};
    std::vector<std::thread> threads;
    for (int user{0}; user < users; ++user) {
        threads.emplace_back([&, user] {
            constexpr std::size_t MaxKept{5};
            std::vector<std::unique_ptr<connection>> kept;
            for (int number{0}; elapsedMs() < end; ++number) {
                const auto bytes = smallest + (largest - smallest) * static_cast<std::size_t>((user * 7 + number * 3) % 11) / 10;
                if (auto open = upload(host, name + '-' + std::to_string(user) + '-' + std::to_string(number), bytes, isChunked)) {
                    kept.push_back(std::move(open));
                } else {
                    sleepMs(200);
                }
                if (kept.size() > MaxKept) {
                    kept.erase(kept.begin());
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

/** Requests of clients on kept connections, and those of them whose connection ended without an answer. */
struct kept_clients
{
    std::mutex mutex;
    std::vector<std::string> unanswered;
    std::atomic<int> answered{0};
};

/** Sends one small request after the other on a kept connection. */
void sendOnKeptConnection(const machine &host, int user, const std::atomic<bool> &isOver, kept_clients &clients)
{
    std::unique_ptr<connection> open;
    bool isKept{false};
    for (int number{0}; !isOver; ++number) {
        if (!open) {
            open = connectTo(host.ip, host.outbound);
            isKept = false;
        }
        message request;
        request.method = "POST";
        request.target = "/book/kept";
        const auto id = "kept-" + std::to_string(user) + '-' + std::to_string(number);
        request.headers = {{"Host", Host}, {"X-Ragwortpin-Attempt-Id", id}, {"X-Ragwortpin-Deadline-Ms", "5000"}, {"Authorization", "Bearer " + Key}};
        if (!open || !open->write(serialiseRequest(request))) {
            open.reset();
            sleepMs(50);
            continue;
        }
        const auto response = open->read(true, 7000);
        if (response) {
            ++clients.answered;
            isKept = true;
        } else {
            record("the connection of " + id + " ends without an answer");
            const std::lock_guard lock{clients.mutex};
            if (isKept) {
                clients.unanswered.push_back(id);
            }
        }
        if (!response || response->header("Connection") == "close") {
            open.reset();
        }
        if (response && response->status != 200) {
            constexpr long RetryAfterMs{200};
            sleepMs(RetryAfterMs);
        }
    }
}

/** Opens connections one after the other, sends one small request on each and keeps them open for a while. */
void openConnections(const machine &host, const std::atomic<bool> &isOver)
{
    constexpr long IntervalMs{20};
    constexpr std::size_t MaxOpen{250};
    std::vector<std::unique_ptr<connection>> opened;
    for (int number{0}; !isOver; ++number) {
        auto open = connectTo(host.ip, host.outbound);
        message request;
        request.method = "POST";
        request.target = "/book/new";
        request.headers = {{"Host", Host}, {"X-Ragwortpin-Attempt-Id", "new-" + std::to_string(number)}, {"X-Ragwortpin-Deadline-Ms", "5000"},
                           {"Authorization", "Bearer " + Key}};
        if (open && open->write(serialiseRequest(request))) {
            opened.push_back(std::move(open));
        }
        if (opened.size() > MaxOpen) {
            opened.erase(opened.begin());
        }
        sleepMs(IntervalMs);
    }
}
} // namespace

int main(int, char **argv)
{
    openRecord(argv[1]);
    const auto *value = std::getenv("TROUBLE");
    const bool isTroubled{value == nullptr || std::string{value} != "0"};
    constexpr long WorkMs{60};
    fleet deployment{{{"front", "zone-a", "profiles"}, {"back", "zone-a", "bookings"}},
                     configurationText(7, {Key}, {routeText("book", Host, "/book/", "non_idempotent", "bookings", 1, 0)}, {"bookings", "profiles"}), WorkMs};
    auto &front = deployment.host("front");
    if (!waitServed(front, "POST", Host, "/book/1", Key, 20000)) {
        finish(2);
    }
    std::atomic<bool> isOver{false};
    std::atomic<bool> isKilled{false};
    std::atomic<long> most{0};
    std::thread platform{[&] {
        while (!isOver && !isKilled) {
            for (const auto &host : deployment.machines) {
                const long resident{residentKib(host->process)};
                most = std::max(most.load(), resident);
                if (resident > MemoryMb * 1024L) {
                    signalNode(*host, SIGKILL);
                    static_cast<void>(waitNode(*host, 2000));
                    isKilled = host.get() == &front;
                    record("the platform kills the node of " + host->name + ": " + std::to_string(resident / 1024) + " MiB are more than memory_mb = "
                           + std::to_string(MemoryMb));
                    if (!isKilled) {
                        startNode(*host);
                    }
                }
            }
            sleepMs(2);
        }
    }};
    kept_clients clients;
    std::vector<std::thread> users;
    constexpr int KeptConnections{12};
    for (int user{0}; user < KeptConnections; ++user) {
        users.emplace_back([&, user] { sendOnKeptConnection(front, user, isOver, clients); });
    }
    users.emplace_back([&] { openConnections(front, isOver); });
    // Users with uploads of middle size, then a few with long ones, by turns.
    struct mix
    {
        int users;
        std::size_t smallest;
        std::size_t largest;
    };
    constexpr std::array Mixes{mix{8, 12 * Megabyte, 28 * Megabyte},
                               mix{12, 8 * Megabyte, 28 * Megabyte},
                               mix{10, 12 * Megabyte, 30 * Megabyte},
                               mix{8, 8 * Megabyte, 20 * Megabyte}};
    constexpr long PhaseMs{2000};
    // The longest burst of the site.
    constexpr long BurstMs{20000};
    const long end{elapsedMs() + BurstMs};
    for (std::size_t round{0}; elapsedMs() < end && !isKilled; ++round) {
        const auto &mixed = Mixes[round % Mixes.size()];
        uploadFor(front, isTroubled ? mixed.users : 1, PhaseMs, mixed.smallest, mixed.largest, true, "chunked-" + std::to_string(round));
        uploadFor(front, isTroubled ? 3 + static_cast<int>(round % 2) : 1, PhaseMs, 65 * Megabyte, 67 * Megabyte, false, "long-" + std::to_string(round));
    }
    sleepMs(500);
    isOver = true;
    for (auto &user : users) {
        user.join();
    }
    platform.join();
    std::size_t lost{0};
    const auto runs = deployment.workerOf("back").runs();
    for (const auto &id : clients.unanswered) {
        lost += std::any_of(runs.begin(), runs.end(), [&id](const run &done) { return done.id == id; }) ? 1 : 0;
    }
    record("resident memory was at most " + std::to_string(most / 1024) + " MiB; memory_mb is " + std::to_string(MemoryMb));
    record(std::to_string(clients.answered) + " requests on kept connections were answered; " + std::to_string(lost)
           + " had been passed on to a sound worker and lost their connection without an answer; 3 may");
    constexpr std::size_t Allowed{3};
    finish(isKilled && lost > Allowed ? 1 : 0);
}
