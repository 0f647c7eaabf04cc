// Store, workers, clients and node processes of a case, as the pages describe them.
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include "net.h"

#include <jsoncpp/json/json.h>

#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <set>

#include <sys/types.h>

namespace review {

/** Writes lines with the time since the start to record.txt. */
class record
{
public:
    explicit record(const std::string &path)
        : m_file{path}
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock{m_mutex};
        const auto at = std::chrono::duration_cast<milliseconds>(clock_type::now() - m_start).count();
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8.3f  ", static_cast<double>(at) / 1000.0);
        m_file << stamp << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    clock_type::time_point m_start{clock_type::now()};
};

/** The platform's metadata store: PROTOCOL.md, "The platform's metadata store". Leases are not needed by the cases. */
class store
{
public:
    explicit store(const address &local);

    /** Writes a key as the operator. Returns the time of the acknowledgement. */
    clock_type::time_point put(const std::string &key, const std::string &value);

private:
    struct item
    {
        std::string value;
        std::int64_t revision{0};
        std::int64_t created{0};
    };

    struct event
    {
        std::int64_t revision{0};
        std::string key;
        std::optional<item> written;
    };

    void serve(const std::shared_ptr<connection> &open);
    message answer(const message &request);
    message read(const std::string &key);
    message range(const std::string &prefix);
    message watch(const std::string &prefix, std::int64_t after, milliseconds wait);
    message transact(const std::string &body);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision{100};
    std::map<std::string, item> m_items;
    std::vector<event> m_history;
    listener m_listener;
};

/** What a worker did with one request. */
struct arrival
{
    std::string worker;
    std::string service;
    std::string attempt;
    std::string path;
    std::string caller;
    std::string tenant;
    std::string key;
    bool ran{false};
    clock_type::time_point at;
    /** Time of the whole answer, or when the caller closed the connection. */
    clock_type::time_point endedAt;
    bool completed{false};
    bool dropped{false};
};

struct worker_settings
{
    std::string id;
    std::string service;
    std::string zone;
    address local;
    /** `control` address of the node beside it. */
    address control;
    unsigned slots{8};
    unsigned queue{16};
    /** Bytes a second that an answer without end is sent with; 0 if the worker is sound. See `endless` of worker. */
    std::size_t linkBytes{0};
};

/**
 * An application worker: PROTOCOL.md, "Workers" and "Service discovery". The last part of the path, `work-MS`, says how long it works
 * on a request. A request whose path ends with `endless` gets bytes that are no answer, without end, from a worker that is not sound.
 */
class worker
{
public:
    worker(worker_settings settings, record &log);
    ~worker();

    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    /** Sends a heartbeat now; returns whether it was acknowledged. */
    bool beat(const std::string &state = "ready");

    /** Sends heartbeats every 1.5 s until stopBeating(). */
    void startBeating();
    void stopBeating();

    bool deregister();

    /** Falls silent: what it holds is neither answered nor closed, and no connection is accepted. */
    void fallSilent();

    /** Ends: closes the listener. Connections that it holds stay silent if it fell silent before. */
    void end();

    /** Exits: closes the listener and every connection. */
    void exit();

    std::vector<arrival> arrivals() const;

    /** Heartbeat as text, with the next sequence. */
    message nextBeat(const std::string &state);

    const worker_settings &settings() const
    {
        return m_settings;
    }

private:
    struct state
    {
        mutable std::mutex mutex;
        std::condition_variable freed;
        unsigned running{0};
        unsigned waiting{0};
        std::atomic<bool> silent{false};
        std::atomic<bool> draining{false};
        std::atomic<bool> ended{false};
        std::vector<arrival> arrivals;
    };

    static void serve(const std::shared_ptr<state> &shared, const worker_settings &settings, record &log, std::shared_ptr<connection> open);

    worker_settings m_settings;
    record &m_log;
    std::shared_ptr<state> m_state{std::make_shared<state>()};
    std::unique_ptr<listener> m_listener;
    std::int64_t m_born{0};
    std::atomic<std::int64_t> m_sequence{0};
    std::atomic<bool> m_beating{false};
    std::thread m_beats;
};

/** What a client saw of one request. */
struct outcome
{
    std::string attempt;
    clock_type::time_point sentAt;
    clock_type::time_point endedAt;
    /** 0 if the connection ended, or the deadline passed, without a whole answer. */
    int status{0};
    bool closed{false};
    /** Whether the connection served an earlier request. */
    bool onKept{false};
    /** Whether the answer leaves the connection open. */
    bool keeps{true};
    std::string seal;
    std::string body;
};

struct client_request
{
    std::string method{"GET"};
    std::string host;
    std::string path;
    std::string key{};
    milliseconds deadline{6000};
    std::string body{};
};

/** Sends one request on a new connection and waits for its end. */
outcome send(const address &to, const client_request &request, const std::string &attempt, record &log);

/** A client that keeps one connection open for many requests. Opens another one after the node closed it. */
class kept_client
{
public:
    explicit kept_client(address to)
        : m_to{std::move(to)}
    { }

    outcome send(const client_request &request, const std::string &attempt, record &log);

private:
    address m_to;
    std::shared_ptr<connection> m_open;
};

/** Settings fields of one machine, as DEPLOY.md names them. */
Json::Value machineFields(const std::string &name,
                          const std::string &zone,
                          const std::vector<std::string> &zones,
                          const std::string &service,
                          const std::string &ip,
                          const std::string &storeAddress,
                          const std::string &grace);

/** Fills in a template as DEPLOY.md says. */
std::string fillTemplate(const std::string &text, const Json::Value &fields);

/** The project's node as the deploy file starts it, with the settings that its template makes of a machine's fields. */
class node
{
public:
    node(Json::Value fields, std::string folder, record &log);
    ~node();

    node(const node &) = delete;
    node &operator=(const node &) = delete;

    void start();
    void signal(int number);
    /** Whether the process has ended. */
    bool hasEnded();
    /** Status as waitpid() gives it; after hasEnded() only. */
    int endStatus() const
    {
        return m_status;
    }
    bool waitReady(milliseconds limit);
    /** Resident memory in bytes; 0 if the process does not run. */
    std::size_t memory() const;
    void writeSettings();
    void setService(const std::string &service);

    address at(const char *name) const;

private:
    Json::Value m_fields;
    std::string m_folder;
    record &m_log;
    pid_t m_process{0};
    int m_status{0};
};

/** A configuration of the operator. */
class configuration
{
public:
    configuration &service(const std::string &name);
    configuration &route(const std::string &host,
                         const std::string &prefix,
                         const std::string &service,
                         const std::string &kind,
                         const std::string &timeout,
                         bool isPublic = false);
    configuration &tenant(const std::string &name, const std::vector<std::string> &keys);
    std::string text(int version) const;

private:
    Json::Value m_list{Json::arrayValue};
    int m_routes{0};
};

/** Folder of the case, loopback prefix and switch of the disruption. */
struct setting
{
    std::string folder;
    bool trouble{true};
    /** First three parts of the loopback addresses of this run. */
    std::string net;
};

std::string seconds(clock_type::duration span);

} // namespace review

#endif
