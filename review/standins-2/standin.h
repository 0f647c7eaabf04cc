// Stand-ins of the review's scripts: an HTTP listener and client, the platform's store, workers, and the processes of the nodes.
// Everything listens on loopback addresses only.
#ifndef REVIEW_STANDINS_2_STANDIN_H
#define REVIEW_STANDINS_2_STANDIN_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using std::chrono::milliseconds;

/** Milliseconds since the start of the program. */
long elapsedMs();
/** Milliseconds since the Unix epoch. */
long long unixMs();
void sleepMs(long time);
/** Waits until the given time since the start of the program. */
void sleepUntilMs(long time);

/** Appends a line with the time to record.txt and to standard output. */
void record(const std::string &line);
void openRecord(const std::string &path);

struct message
{
    std::string method;
    std::string target;
    int status{0};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Returns a header field, or an empty text. */
    [[nodiscard]] std::string header(const std::string &name) const;
};

/** A connection with its read buffer. */
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /** Reads a message; nothing if the connection ended or the time passed before it was whole. */
    std::optional<message> read(bool isResponse, long timeoutMs, bool isHead = false);
    bool write(const std::string &bytes);
    [[nodiscard]] bool isClosedByPeer() const;
    void close();
    /** Closes the connection with a reset. */
    void reset();
    [[nodiscard]] int descriptor() const { return m_descriptor; }

private:
    bool fill(long deadlineMs);

    int m_descriptor;
    std::string m_buffer;
};

std::string serialiseRequest(const message &request);
std::string serialiseResponse(const message &response);

/** Listener with a thread for each connection. The handler serves one request and returns whether the connection stays open. */
class listener
{
public:
    using handler = std::function<bool(const message &, connection &)>;

    listener(const std::string &address, std::uint16_t port, handler serve);
    ~listener();

    /** Closes the listening socket and all connections. */
    void stop();

private:
    void accept();

    int m_descriptor;
    handler m_serve;
    std::atomic<bool> m_isStopped{false};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<connection>> m_connections;
    std::thread m_thread;
};

/** Connects; an empty pointer after a failure. */
std::unique_ptr<connection> connectTo(const std::string &address, std::uint16_t port, long timeoutMs = 1000);

struct answer
{
    /** 0 if no whole answer came. */
    int status{0};
    message response;
    bool isConnected{false};
};

/** Sends a request on a new connection and waits for the answer. */
answer exchange(const std::string &address, std::uint16_t port, const message &request, long timeoutMs);

/** Returns a port that is free at the address now. */
std::uint16_t freePort(const std::string &address);

std::string base64Encode(const std::string &bytes);
std::string base64Decode(const std::string &text);

enum class store_mode { Up, Silent, Busy };

/** The platform's metadata store. */
class store
{
public:
    store(std::string address, std::uint16_t port);

    void setMode(store_mode mode);
    /** Time before a call takes effect. */
    void setDelayMs(long delay) { m_delayMs = delay; }
    void put(const std::string &key, const std::string &value);
    std::optional<std::string> get(const std::string &key);
    [[nodiscard]] std::string address() const { return m_address + ":" + std::to_string(m_port); }
    /** Called for each write of a node, with the key. */
    std::function<void(const std::string &)> onWrite;
    /** Entries that one page of a range holds at most. */
    std::size_t pageSize{500};

private:
    struct item
    {
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t created{0};
    };
    struct event
    {
        std::uint64_t revision{0};
        std::string key;
        std::optional<std::string> value;
    };

    bool serve(const message &request, connection &from);
    message answerTo(const message &request);
    message readKey(const std::string &key);
    message readRange(const std::string &prefix, const std::string &after);
    message watch(const std::string &prefix, std::uint64_t after, long waitMs);
    message transact(const std::string &body);
    std::string itemJson(const std::string &key, const item &value, bool withAt) const;

    std::string m_address;
    std::uint16_t m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::uint64_t m_revision{100};
    std::atomic<store_mode> m_mode{store_mode::Up};
    std::atomic<long> m_delayMs{0};
    std::unique_ptr<listener> m_listener;
};

/** A machine: its addresses, the process of its node, and the heartbeats of its worker. */
struct machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    std::uint16_t inbound{0};
    std::uint16_t outbound{0};
    std::uint16_t ready{0};
    std::uint16_t control{0};
    std::uint16_t internal{0};
    std::uint16_t metrics{0};
    std::uint16_t app{0};
    std::string directory;
    pid_t process{-1};
};

struct settings_options
{
    std::string storeAddress;
    std::vector<std::string> zones;
    std::string grace{"6s"};
    int memoryMb{260};
};

/** Assigns addresses and ports to a machine. */
machine makeMachine(const std::string &name, const std::string &zone, const std::string &service, const std::string &ip, const std::string &directory);
void writeSettings(const machine &host, const settings_options &options);
/** Starts target/ragwortpin-platform-node with the settings of the machine. */
void startNode(machine &host);
void signalNode(const machine &host, int signal);
/** Waits for the end of the process and returns its status; -1 if it still runs. */
int waitNode(machine &host, long timeoutMs);
bool isRunning(machine &host);
bool waitReady(const machine &host, long timeoutMs);
/** Kills all nodes that were started. */
void killAllNodes();

/** Heartbeat of a worker. */
struct heartbeat
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    unsigned slots{8};
    std::string state{"ready"};
    unsigned long sequence{1};
    long long born{0};
};

/** Sends a heartbeat to the node of the machine; returns the status of the answer. */
int sendHeartbeat(const machine &host, const heartbeat &value);
int sendDeregister(const machine &host, const std::string &id);

} // namespace review

#endif
