#include "cases.h"

#include <signal.h>

#include <future>

namespace review {

namespace {

using namespace std::chrono_literals;

const std::string Key{"6wsjnbanfqasnmgkcuyj"};
constexpr milliseconds StartLimit{15000};
constexpr milliseconds DrainBound{2000};
constexpr milliseconds AddressReuse{2000};

void sleepUntil(clock_type::time_point at)
{
    std::this_thread::sleep_until(at);
}

/** A worker and the node beside it. */
struct pair
{
    node *beside;
    std::unique_ptr<worker> target;
};

/** A store, one node a machine and the zones that they stand in. */
struct fleet
{
    fleet(const setting &given, record &used)
        : setting_{given}
        , log{used}
        , storage{*new store{{given.net + "1", 8545}}}
    { }

    /** Adds a machine with a node; its address ends with 2, 3, ... */
    node &add(const std::string &name, const std::string &zone, const std::string &service, const std::string &grace = "6s")
    {
        const auto ip = setting_.net + std::to_string(nodes.size() + 2);
        nodes.push_back(std::make_unique<node>(
            machineFields(name, zone, {"zone-a", "zone-b"}, service, ip, setting_.net + "1:8545", grace), setting_.folder, log));
        nodes.back()->start();
        return *nodes.back();
    }

    std::unique_ptr<worker> addWorker(const node &beside, const std::string &id, const std::string &service, unsigned slots)
    {
        return std::make_unique<worker>(worker_settings{.id = id,
                                                        .service = service,
                                                        .zone = "zone-a",
                                                        .local = beside.at("app_addr"),
                                                        .control = beside.at("control"),
                                                        .slots = slots},
                                        log);
    }

    /** Adds machines of zone-a with a worker each, which send heartbeats. */
    std::vector<pair> addService(const std::string &service, int count, unsigned slots)
    {
        std::vector<pair> added;
        for (int index{1}; index <= count; ++index) {
            auto &beside = add("sidecar-" + service + "-" + std::to_string(index), "zone-a", service);
            added.push_back({&beside, addWorker(beside, "i-" + service + "-" + std::to_string(index), service, slots)});
            added.back().target->startBeating();
        }
        return added;
    }

    void publish(const configuration &value)
    {
        storage.put("op/config", value.text(++version));
        log.line("operator: configuration " + std::to_string(version) + " is acknowledged");
    }

    /** Waits until a request is answered with success; throws if that takes too long. */
    void awaitService(const node &entry, const client_request &request)
    {
        const auto until = clock_type::now() + StartLimit;
        while (clock_type::now() < until) {
            if (send(entry.at("outbound"), request, "probe-" + std::to_string(++probes), log).status == 200) {
                return;
            }
            std::this_thread::sleep_for(200ms);
        }
        throw std::runtime_error("requests are not served before the disruption");
    }

    const setting &setting_;
    record &log;
    /** Never deleted, since its connections have threads of their own. */
    store &storage;
    std::vector<std::unique_ptr<node>> nodes;
    int version{0};
    int probes{0};
};

std::future<outcome> sendLater(const node &entry, client_request request, std::string attempt, record &log)
{
    const auto to = entry.at("outbound");
    return std::async(std::launch::async, [to, request = std::move(request), attempt = std::move(attempt), &log] {
        return send(to, request, attempt, log);
    });
}

/** The requests of a worker with the given beginning of their ids. */
std::vector<arrival> runsOf(const worker &target, const std::string &prefix)
{
    std::vector<arrival> found;
    for (const auto &entry : target.arrivals()) {
        if (entry.ran && entry.attempt.rfind(prefix, 0) == 0) {
            found.push_back(entry);
        }
    }
    return found;
}

} // namespace

/**
 * One of three workers falls silent; after `addr_reuse` its address belongs to a worker of another service. Rule ROUTE: requests that
 * waited at the node for the first worker must not be run by the second one.
 */
int reusedAddress(const setting &setting, record &log)
{
    fleet all{setting, log};
    auto &entry = all.add("sidecar-a-1", "zone-a", "profiles");
    auto front = all.addWorker(entry, "i-front", "profiles", 8);
    front->startBeating();
    auto calendar = all.addService("calendar", 3, 4);
    all.publish(configuration{}
                    .service("profiles")
                    .service("calendar")
                    .service("bookings")
                    .route("dates.example", "/dates/", "calendar", "idempotent", "3000ms")
                    .tenant("family", {Key}));
    all.awaitService(entry, {.host = "dates.example", .path = "/dates/work-20", .key = Key});
    sleepUntil(clock_type::now() + 4s);

    std::vector<std::future<outcome>> sent;
    const auto begin = clock_type::now();
    for (int index{0}; index < 18; ++index) {
        sent.push_back(
            sendLater(entry, {.host = "dates.example", .path = "/dates/work-600", .key = Key}, "r-" + std::to_string(index), log));
    }
    sleepUntil(begin + 100ms);
    std::unique_ptr<worker> second;
    if (setting.trouble) {
        auto &first = *calendar.front().target;
        log.line("worker " + first.settings().id + " falls silent");
        first.fallSilent();
        sleepUntil(begin + 100ms + AddressReuse + 100ms);
        first.end();
        calendar.front().beside->setService("bookings");
        log.line("worker i-second of service bookings starts at the address of " + first.settings().id);
        second = all.addWorker(*calendar.front().beside, "i-second", "bookings", 8);
        second->startBeating();
    }
    int wrong{0};
    for (auto &request : sent) {
        const auto seen = request.get();
        if (seen.status == 200 && seen.seal.find("i-second") != std::string::npos) {
            log.line("client's " + seen.attempt + " got 200 with the answer of i-second, service bookings");
            ++wrong;
        }
    }
    const auto foreign = second ? runsOf(*second, "r-") : std::vector<arrival>{};
    for (const auto &run : foreign) {
        log.line("ROUTE: " + run.attempt + " " + run.path + " is routed to calendar only and was run by " + run.worker + " of service "
                 + run.service);
    }
    log.line(std::to_string(foreign.size()) + " requests were run by a service that their route never named, " + std::to_string(wrong)
             + " of them were answered with success");
    return foreign.empty() ? 0 : 1;
}

/**
 * A heartbeat of another writer, with a service that nothing names, reaches a node. Rule UNASKED: requests from that machine must
 * still carry the service that runs there.
 */
int foreignHeartbeat(const setting &setting, record &log)
{
    fleet all{setting, log};
    auto &entry = all.add("sidecar-a-1", "zone-a", "profiles");
    auto &beside = all.add("sidecar-a-2", "zone-a", "bookings");
    auto front = all.addWorker(entry, "i-front", "profiles", 8);
    auto back = all.addWorker(beside, "i-back", "bookings", 8);
    front->startBeating();
    back->startBeating();
    all.publish(configuration{}
                    .service("profiles")
                    .service("bookings")
                    .route("book.example", "/book/", "bookings", "non_idempotent", "3000ms")
                    .route("look.example", "/look/", "profiles", "idempotent", "3000ms")
                    .tenant("family", {Key}));
    const client_request book{.method = "POST", .host = "book.example", .path = "/book/work-20", .key = Key, .body = "deposit"};
    const client_request look{.host = "look.example", .path = "/look/work-20", .key = Key};
    all.awaitService(entry, book);
    all.awaitService(beside, look);
    sleepUntil(clock_type::now() + 4s);
    if (setting.trouble) {
        worker_settings other = front->settings();
        other.id = "i-other";
        other.service = "nosuch9";
        other.local = {setting.net + "9", 8547};
        worker writer{other, log};
        log.line("a heartbeat of i-other, service nosuch9, is sent to the control address of sidecar-a-1");
        log.line(std::string{"it is "} + (writer.beat() ? "acknowledged" : "not acknowledged"));
    }
    // Several heartbeats of i-front, so that it could take its place again.
    int refused{0};
    for (int round{0}; round < 12; ++round) {
        sleepUntil(clock_type::now() + 500ms);
        send(entry.at("outbound"), book, "r-book-" + std::to_string(round), log);
        refused += send(beside.at("outbound"), look, "r-look-" + std::to_string(round), log).status == 200 ? 0 : 1;
    }
    int wrong{0};
    for (const auto &run : runsOf(*back, "r-book-")) {
        if (run.caller != "profiles") {
            log.line("UNASKED: " + run.attempt + " began at the machine of service profiles and ran with caller service " + run.caller);
            ++wrong;
        }
    }
    log.line(std::to_string(wrong) + " of 12 requests ran with a wrong caller service; " + std::to_string(refused)
             + " of 12 requests for the worker beside that node were not served");
    return wrong > 0 ? 1 : 0;
}

/**
 * One of three workers reports that it is draining while requests wait for it at its node. Rule DRAIN: none reaches it later than
 * `drain` after the acknowledgement.
 */
int queuedDrain(const setting &setting, record &log)
{
    fleet all{setting, log};
    auto &entry = all.add("sidecar-a-1", "zone-a", "profiles");
    auto front = all.addWorker(entry, "i-front", "profiles", 8);
    front->startBeating();
    auto bookings = all.addService("bookings", 3, 4);
    all.publish(configuration{}
                    .service("profiles")
                    .service("bookings")
                    .route("book.example", "/book/", "bookings", "non_idempotent", "5000ms")
                    .tenant("family", {Key}));
    client_request book{.method = "POST", .host = "book.example", .path = "/book/work-20", .key = Key, .body = "deposit"};
    all.awaitService(entry, book);
    sleepUntil(clock_type::now() + 4s);
    for (int index{0}; index < 90; ++index) {
        send(entry.at("outbound"), book, "warm-" + std::to_string(index), log);
    }

    std::vector<std::future<outcome>> sent;
    const auto begin = clock_type::now();
    book.path = "/book/work-2600";
    for (int index{0}; index < 12; ++index) {
        sent.push_back(sendLater(entry, book, "r-long-" + std::to_string(index), log));
    }
    sleepUntil(begin + 100ms);
    book.path = "/book/work-900";
    for (int index{0}; index < 9; ++index) {
        sent.push_back(sendLater(entry, book, "r-waiting-" + std::to_string(index), log));
    }
    sleepUntil(begin + 200ms);
    auto &leaving = *bookings.front().target;
    const auto name = leaving.settings().id;
    auto acknowledged = clock_type::time_point::max();
    if (setting.trouble) {
        leaving.stopBeating();
        if (!leaving.beat("draining")) {
            throw std::runtime_error("draining was not acknowledged");
        }
        acknowledged = clock_type::now();
        log.line(name + " reports draining and is acknowledged");
        leaving.startBeating();
        sleepUntil(acknowledged + DrainBound + 1000ms);
        leaving.deregister();
        leaving.exit();
        log.line(name + " is deregistered and exits, " + seconds(clock_type::now() - acknowledged) + " after the acknowledgement");
    }
    for (auto &request : sent) {
        request.get();
    }
    int late{0};
    for (const auto &run : leaving.arrivals()) {
        if (setting.trouble && run.ran && run.at > acknowledged + DrainBound) {
            log.line("DRAIN: " + run.attempt + " reached " + name + " " + seconds(run.at - acknowledged)
                     + " after the acknowledgement, bound 2 s" + (run.completed ? "" : "; it was not finished"));
            ++late;
        }
    }
    return late > 0 ? 1 : 0;
}

namespace {

/** Counts the requests that were cut after SIGTERM without an answer although a worker ran them. */
int countLost(const std::vector<outcome> &seen,
              const worker &target,
              clock_type::time_point term,
              milliseconds grace,
              milliseconds timeout,
              record &log)
{
    int lost{0};
    for (const auto &request : seen) {
        for (const auto &run : runsOf(target, request.attempt)) {
            if (run.attempt != request.attempt || !request.closed) {
                continue;
            }
            const auto workEnd = request.endedAt;
            const bool isTimeOver{request.endedAt >= request.sentAt + timeout};
            const bool isExcused{workEnd >= term + grace * 5 / 6 && request.sentAt <= term + 3s};
            const bool isPlanned{request.endedAt <= term + grace + 1s};
            log.line(request.attempt + ": sent " + seconds(request.sentAt - term) + " after SIGTERM, cut " + seconds(request.endedAt - term)
                     + " after it while its worker was at work" + (isTimeOver || isExcused || !isPlanned ? ", not counted" : ": LOST"));
            lost += isTimeOver || isExcused || !isPlanned ? 0 : 1;
        }
    }
    return lost;
}

} // namespace

/** A node whose zone has no other gets SIGTERM while clients go on on a public route. Rule LOST: what it passed on is answered. */
int publicAfterTerm(const setting &setting, record &log)
{
    constexpr milliseconds Grace{6000};
    fleet all{setting, log};
    auto &entry = all.add("sidecar-a-1", "zone-a", "profiles");
    auto &beside = all.add("sidecar-b-1", "zone-b", "calendar");
    auto front = all.addWorker(entry, "i-front", "profiles", 8);
    auto back = all.addWorker(beside, "i-back", "calendar", 40);
    front->startBeating();
    back->startBeating();
    all.publish(configuration{}
                    .service("profiles")
                    .service("calendar")
                    .route("dates.example", "/dates/", "calendar", "idempotent", "3000ms", true)
                    .tenant("family", {Key}));
    const client_request usual{.host = "dates.example", .path = "/dates/work-550"};
    all.awaitService(entry, usual);
    sleepUntil(clock_type::now() + 4s);
    std::vector<std::future<outcome>> sent;
    const auto begin = clock_type::now();
    auto term = clock_type::time_point::max();
    for (int index{0}; index < 75; ++index) {
        sleepUntil(begin + index * 100ms);
        if (index == 10) {
            if (setting.trouble) {
                entry.signal(SIGTERM);
            }
            term = clock_type::now();
        }
        if (entry.hasEnded()) {
            break;
        }
        sent.push_back(sendLater(entry, usual, "r-" + std::to_string(100 + index), log));
    }
    std::vector<outcome> seen;
    for (auto &request : sent) {
        seen.push_back(request.get());
    }
    return countLost(seen, *back, term, Grace, 3000ms, log) > 0 ? 1 : 0;
}

/**
 * One worker answers one request with bytes that are no answer, without end. The platform ends a process that exceeds `memory_mb`. Rule
 * LOST: the requests of others that the node passed on to sound workers are answered.
 */
int endlessAnswer(const setting &setting, record &log)
{
    constexpr std::size_t MemoryLimit{260UL * 1024 * 1024};
    constexpr std::size_t LinkBytes{125'000'000};
    constexpr milliseconds Timeout{3000};
    fleet all{setting, log};
    auto &entry = all.add("sidecar-a-1", "zone-a", "profiles");
    worker front{worker_settings{.id = "i-front",
                                 .service = "profiles",
                                 .zone = "zone-a",
                                 .local = entry.at("app_addr"),
                                 .control = entry.at("control"),
                                 .slots = 8,
                                 .linkBytes = LinkBytes},
                 log};
    front.startBeating();
    auto calendar = all.addService("calendar", 2, 16);
    all.publish(configuration{}
                    .service("profiles")
                    .service("calendar")
                    .route("dates.example", "/dates/", "calendar", "idempotent", "3000ms")
                    .route("look.example", "/look/", "profiles", "idempotent", "3000ms")
                    .tenant("family", {Key}));
    const client_request dates{.host = "dates.example", .path = "/dates/work-300", .key = Key};
    all.awaitService(entry, dates);
    all.awaitService(entry, {.host = "look.example", .path = "/look/work-20", .key = Key});
    sleepUntil(clock_type::now() + 4s);

    std::atomic<bool> stopped{false};
    std::vector<std::future<std::vector<outcome>>> clients;
    for (int index{0}; index < 12; ++index) {
        clients.push_back(std::async(std::launch::async, [&, index] {
            kept_client client{entry.at("outbound")};
            std::vector<outcome> seen;
            while (!stopped) {
                seen.push_back(client.send(dates, "r-" + std::to_string(index) + "-" + std::to_string(seen.size()), log));
                if (seen.back().status != 200) {
                    std::this_thread::sleep_for(100ms);
                }
            }
            return seen;
        }));
    }
    const auto begin = clock_type::now();
    sleepUntil(begin + 1500ms);
    auto endless = sendLater(
        entry, {.host = "look.example", .path = setting.trouble ? "/look/endless" : "/look/work-20", .key = Key}, "r-endless", log);
    std::size_t most{0};
    int kills{0};
    while (clock_type::now() < begin + 9s) {
        std::this_thread::sleep_for(5ms);
        const auto memory = entry.memory();
        most = std::max(most, memory);
        if (memory > MemoryLimit) {
            log.line("sidecar-a-1 exceeds its memory_mb of 260: " + std::to_string(memory >> 20U) + " MiB; the platform ends it");
            entry.signal(SIGKILL);
            while (!entry.hasEnded()) {
                std::this_thread::sleep_for(1ms);
            }
            ++kills;
            std::this_thread::sleep_for(500ms);
            entry.start();
        }
    }
    stopped = true;
    endless.get();
    int lost{0};
    int overdue{0};
    int late{0};
    for (auto &client : clients) {
        for (const auto &request : client.get()) {
            bool ran{false};
            for (const auto &pair : calendar) {
                for (const auto &run : runsOf(*pair.target, request.attempt)) {
                    ran = ran || run.attempt == request.attempt;
                }
            }
            if (request.closed && request.onKept && ran) {
                log.line("LOST: " + request.attempt
                         + " came on a kept connection, was passed on to a sound worker, and its connection was closed");
                ++lost;
            }
            const bool wasUnanswered{request.endedAt >= request.sentAt + Timeout};
            overdue += wasUnanswered ? 1 : 0;
            late += wasUnanswered && request.endedAt >= request.sentAt + Timeout + 500ms ? 1 : 0;
        }
    }
    log.line("memory at most " + std::to_string(most >> 20U) + " MiB, ended for its memory " + std::to_string(kills) + " times, "
             + std::to_string(lost) + " requests lost (more than three break the rule); " + std::to_string(late) + " of "
             + std::to_string(overdue) + " requests unanswered at their route's timeout had no answer 0.5 s later");
    return lost > 3 ? 1 : 0;
}

} // namespace review
