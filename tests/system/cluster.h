#ifndef RAGWORTPIN_TESTS_SYSTEM_CLUSTER_H
#define RAGWORTPIN_TESTS_SYSTEM_CLUSTER_H

#include "ragwortpin/http/client_pool.h"

#include <boost/asio/io_context.hpp>

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ragwortpin::test {

/** One header field of a request. */
struct header_field
{
    std::string name;
    std::string value;
};

/** Answer to a request of a test; status 0 when none came. */
struct test_answer
{
    unsigned status{0};
    std::string outcome;
    std::string refusal;
    std::string retryAfter;
    std::string body;
};

/** What an instance of a test is made of. */
struct instance_plan
{
    std::string name;
    std::string availabilityZone;
    std::string service;
    std::uint16_t port{0};
    std::vector<std::string> targetOptions;
};

/**
 * Real processes on one loopback address: the store's stand-in, nodes and targets. Everything it started is killed when it
 * goes out of scope. Waiting has generous limits, so that no test passes or fails by speed.
 */
class cluster
{
public:
    /** Takes a loopback address of its own, so that tests can run at the same time. */
    explicit cluster(std::string address);
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;
    ~cluster();

    void startStore();
    void startNode(const instance_plan &plan);
    void startTarget(const instance_plan &plan);

    /** Starts node and target and waits until the node is ready. */
    void startInstance(const instance_plan &plan);

    /** Runs ragwortpinctl to its end and returns its exit code. */
    int control(const std::vector<std::string> &arguments);

    /** Writes text to a file of the test and returns its path. */
    std::string writeFile(const std::string &name, const std::string &text);

    /** Sends a signal to a process by the name it was started with: store, node-NAME or target-NAME. */
    void signal(const std::string &process, int number);

    /** Waits for a process to end and returns its exit code; -1 when it was killed by a signal. */
    int waitForExit(const std::string &process);

    /** Sends a request on a fresh connection. */
    test_answer request(http::verb method,
                        std::uint16_t port,
                        const std::string &path,
                        const std::vector<header_field> &headers,
                        const std::string &body = {});

    /** Repeats until the condition holds; fails the test after a generous limit. */
    void eventually(const std::string &what, const std::function<bool()> &condition);

    /** Address of a port, as command lines want it. */
    [[nodiscard]] std::string at(std::uint16_t port) const;

    [[nodiscard]] const std::string &address() const noexcept
    {
        return m_address;
    }

    static constexpr std::uint16_t StorePort{7000};

private:
    void start(const std::string &name, const std::string &program, std::vector<std::string> arguments);
    pid_t spawn(const std::string &name, const std::string &program, std::vector<std::string> arguments);

    std::string m_address;
    std::string m_folder;
    std::map<std::string, pid_t> m_processes;
    boost::asio::io_context m_context{1};
};

/** Offset of each listener from an instance's first port. */
inline constexpr std::uint16_t EgressOffset{1};
inline constexpr std::uint16_t PeersOffset{2};
inline constexpr std::uint16_t GossipOffset{3};
inline constexpr std::uint16_t AdminOffset{4};
inline constexpr std::uint16_t TargetOffset{5};

} // namespace ragwortpin::test

#endif
