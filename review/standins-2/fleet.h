// A small deployment: the store, machines with their nodes, and a worker on each machine that behaves as the pages say.
#ifndef REVIEW_STANDINS_2_FLEET_H
#define REVIEW_STANDINS_2_FLEET_H

#include "standin.h"

namespace review {

/** A request that a worker ran. */
struct run
{
    std::string id;
    std::string worker;
    std::string callerService;
    std::string tenant;
    long at{0};
};

/** One start of a worker. It listens at the machine's app address, sends heartbeats, and runs what it gets. */
class worker
{
public:
    worker(machine &host, std::string id, long workMs);
    ~worker();

    void startHeartbeats();
    void stopHeartbeats();
    /** Sends one heartbeat and returns the status of the answer. */
    int beat();
    [[nodiscard]] heartbeat nextHeartbeat();
    void setState(const std::string &state) { m_state = state; }
    void setWorkMs(long workMs) { m_workMs = workMs; }
    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] std::vector<run> runs();
    /** Ends the worker: it closes its listener and all connections. */
    void stop();

private:
    bool serve(const message &request, connection &from);

    machine &m_host;
    std::string m_id;
    long long m_born{unixMs()};
    std::atomic<unsigned long> m_sequence{0};
    std::string m_state{"ready"};
    std::atomic<long> m_workMs;
    std::mutex m_mutex;
    std::vector<run> m_runs;
    std::atomic<bool> m_isBeating{false};
    std::thread m_beats;
    std::unique_ptr<listener> m_listener;
};

struct machine_spec
{
    std::string name;
    std::string zone;
    std::string service;
};

/** The store and the machines. The constructor publishes the configuration and starts everything; it exits with 2 if that fails. */
class fleet
{
public:
    fleet(const std::vector<machine_spec> &specs, const std::string &configuration, long workMs);
    ~fleet();

    machine &host(const std::string &name);
    worker &workerOf(const std::string &name);
    settings_options options;
    std::unique_ptr<store> platform;
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<std::unique_ptr<worker>> workers;
    std::string directory;
};

/** Sends a client's request through the machine's outbound address and records it with its answer. */
answer sendAsClient(const machine &host, const std::string &method, const std::string &hostName, const std::string &path, const std::string &id,
                    const std::string &key, long deadlineMs, const std::string &body = {});

/** Waits until the request is answered with 200, for at most the given time; returns whether it was. */
bool waitServed(const machine &host, const std::string &method, const std::string &hostName, const std::string &path, const std::string &key, long timeoutMs);

/** Builds a configuration with the version, the keys of the one tenant, and routes as JSON text. */
std::string configurationText(int version, const std::vector<std::string> &keys, const std::vector<std::string> &routes, const std::vector<std::string> &services);
std::string routeText(const std::string &name, const std::string &hostName, const std::string &prefix, const std::string &kind, const std::string &service,
                      int maxAttempts, int priority, const std::string &timeout = "5000ms");

[[noreturn]] void finish(int status);

} // namespace review

#endif
