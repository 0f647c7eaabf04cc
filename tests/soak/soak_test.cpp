#include "loopback_proxy.h"

#include "system/cluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

constexpr const char *ApiKey{"example-key-generous"};
constexpr std::uint16_t ProxyOffset{2000};
constexpr std::uint16_t FirstPort{7100};
constexpr std::uint16_t PortsPerInstance{10};
constexpr std::size_t Instances{6};
/** Time after the last fault within which the fleet has to serve every route again. */
constexpr seconds RecoveryTime{30};
constexpr unsigned LoadFoundViolation{3};

const std::string Configuration{R"(availability_zones:
  - {name: zone-a, region: bengal, share: 0.5}
  - {name: zone-b, region: bengal, share: 0.5}
importances:
  - {name: purchase, rank: 0}
  - {name: browsing, rank: 1}
workspaces:
  - {name: generous, rate: 400, burst: 400}
services:
  - {name: clips}
  - {name: packages}
routes:
  - {name: clips, method: GET, path: /clips, service: clips, importance: browsing, retryable: true, deadline_ms: 4000}
  - {name: buy, method: POST, path: /packages, service: packages, importance: purchase, once: true, deadline_ms: 4000}
keys:
  - {name: generous-1, workspace: generous, sha256: 150c9e45d1ff1e72b4e82d1413d189dea4ced66ff84f93e74b29cf6a4843172b}
)"};

/** One soak run. */
struct soak_case
{
    std::uint64_t seed;
    /** Time of load, in which faults begin and end. */
    seconds length;
};

/**
 * Seeds that once failed stay in this list. 123: a node that was asked to stop while the store hung made all queued store calls before it
 * ended.
 */
std::vector<soak_case> soakCases()
{
    if (const auto *first = std::getenv("RAGWORTPIN_SOAK_FIRST_SEED")) {
        const auto *count = std::getenv("RAGWORTPIN_SOAK_SEEDS");
        const auto *length = std::getenv("RAGWORTPIN_SOAK_SECONDS");
        std::vector<soak_case> cases;
        for (std::uint64_t seed{std::stoull(first)}; cases.size() < std::stoul(count == nullptr ? "1" : count); ++seed) {
            cases.push_back({seed, seconds{std::stoi(length == nullptr ? "20" : length)}});
        }
        return cases;
    }
    return {{1, seconds{15}}, {123, seconds{15}}};
}

/** Fleet of a soak run: the store and the callers' links are behind proxies, and the schedule sends signals to all processes. */
class soak_fleet
{
public:
    explicit soak_fleet(std::uint64_t seed)
        : m_random{seed}
    {
        m_fleet.startStore();
        m_storeProxy = std::make_unique<loopback_proxy>(endpoint{m_fleet.address(), StoreProxyPort},
                                                        endpoint{m_fleet.address(), cluster::StorePort});
        const auto file = m_fleet.writeFile("configuration.yaml", Configuration);
        REQUIRE(m_fleet.runControlTool({"publish", file, "--store", m_fleet.addressOf(cluster::StorePort), "--base", "head"}) == 0);
        m_fleet.setStorePort(StoreProxyPort);
        for (std::size_t index{0}; index < Instances; ++index) {
            m_fleet.startInstance(specOf(index));
            m_callerProxies.push_back(
                std::make_unique<loopback_proxy>(endpoint{m_fleet.address(), static_cast<std::uint16_t>(portOf(index) + ProxyOffset)},
                                                 endpoint{m_fleet.address(), portOf(index)}));
        }
        waitUntilServing();
    }

    /** Runs the load tool and injects faults until it ends. Returns the status of the load tool. */
    int run(const soak_case &plan)
    {
        const auto scenario = m_fleet.writeFile("scenario.yaml", scenarioText(plan));
        m_fleet.startProgram("load", "ragwortpin-load", {"--scenario", scenario});
        const auto end = monotonicNow() + plan.length;
        while (monotonicNow() < end) {
            injectFault();
            pause(milliseconds{200}, milliseconds{1500});
        }
        endFaults();
        return m_fleet.waitForExit("load");
    }

    /** Checks that every route is served again and that no process ended on its own. */
    void checkRecovered()
    {
        waitUntilServing();
        for (std::size_t index{0}; index < Instances; ++index) {
            CHECK(m_fleet.isRunning("node-" + specOf(index).name));
            CHECK(m_fleet.isRunning("target-" + specOf(index).name));
        }
        CHECK(m_fleet.isRunning("store"));
    }

private:
    static constexpr std::uint16_t StoreProxyPort{7001};

    static std::uint16_t portOf(std::size_t index)
    {
        return static_cast<std::uint16_t>(FirstPort + index * PortsPerInstance);
    }

    static instance_spec specOf(std::size_t index)
    {
        const bool isPackages{index >= Instances / 2};
        instance_spec spec{std::string{isPackages ? "packages-" : "clips-"} + std::to_string(index),
                           index % 2 == 0 ? "zone-a" : "zone-b",
                           isPackages ? "packages" : "clips",
                           portOf(index),
                           {"--service-time-ms", "15", "--slots", "12"}};
        if (isPackages) {
            spec.targetOptions.insert(spec.targetOptions.end(), {"--downstream", "GET:/clips"});
        }
        return spec;
    }

    std::string scenarioText(const soak_case &plan)
    {
        std::string text{"duration_s: " + std::to_string(plan.length.count()) + "\nseed: " + std::to_string(plan.seed)
                         + "\nmax_connections: 300\ntimeout_ms: 5000\nnodes:\n"};
        for (std::size_t index{0}; index < Instances; ++index) {
            text += "  - " + m_fleet.addressOf(static_cast<std::uint16_t>(portOf(index) + ProxyOffset)) + '\n';
        }
        text += "targets:\n";
        for (std::size_t index{0}; index < Instances; ++index) {
            text += "  - " + m_fleet.addressOf(static_cast<std::uint16_t>(portOf(index) + TargetOffset)) + '\n';
        }
        return text + "streams:\n  - {name: read, workspace: generous, key: " + ApiKey
            + ", importance: browsing, path: /clips, rate: 60, retry: hard}\n  - {name: buy, workspace: generous, key: " + ApiKey
            + ", importance: purchase, method: POST, path: /packages, rate: 15, once: true, service: packages, body_bytes: 200}\nphases:\n"
              "  - {name: all, at_s: 0}\n";
    }

    /** Begins or ends one fault. Faults overlap; a node that was killed or stopped starts again later. */
    void injectFault()
    {
        constexpr unsigned Kinds{9};
        const auto index = static_cast<std::size_t>(m_random() % Instances);
        const auto node = "node-" + specOf(index).name;
        const auto target = "target-" + specOf(index).name;
        switch (m_random() % Kinds) {
        case 0:
            stopNode(index, SIGKILL);
            break;
        case 1:
            stopNode(index, SIGTERM);
            break;
        case 2:
            m_fleet.sendSignal(node, SIGSTOP);
            pause(milliseconds{100}, milliseconds{4000});
            m_fleet.sendSignal(node, SIGCONT);
            break;
        case 3:
            m_fleet.sendSignal(target, SIGSTOP);
            pause(milliseconds{100}, milliseconds{2000});
            m_fleet.sendSignal(target, SIGCONT);
            break;
        case 4:
            m_fleet.sendSignal(node, SIGHUP);
            break;
        case 5:
            m_callerProxies[index]->setFault(drawFault());
            break;
        case 6:
            m_storeProxy->setFault(drawFault());
            break;
        case 7:
            m_fleet.setFaults(portOf(index) + TargetOffset, R"({"cut_short":3,"late_ms":)" + std::to_string(m_random() % 400) + '}');
            break;
        default:
            endFaults();
            break;
        }
    }

    proxy_fault drawFault()
    {
        constexpr unsigned Faults{5};
        return static_cast<proxy_fault>(m_random() % Faults);
    }

    /** Stops a node with a signal and starts it again after a while. */
    void stopNode(std::size_t index, int signal)
    {
        const auto name = "node-" + specOf(index).name;
        m_fleet.sendSignal(name, signal);
        const auto status = m_fleet.waitForExit(name);
        CHECK((signal == SIGKILL || status == 0));
        pause(milliseconds{50}, milliseconds{1500});
        m_fleet.startNode(specOf(index));
    }

    void endFaults()
    {
        m_storeProxy->setFault(proxy_fault::None);
        for (std::size_t index{0}; index < Instances; ++index) {
            m_callerProxies[index]->setFault(proxy_fault::None);
            m_fleet.setFaults(portOf(index) + TargetOffset, R"({"cut_short":0,"late_ms":0})");
        }
    }

    void waitUntilServing()
    {
        const auto limit = monotonicNow() + RecoveryTime;
        for (std::size_t index{0}; index < Instances; ++index) {
            for (const bool isPurchase : {false, true}) {
                unsigned status{0};
                while (status != 200 && monotonicNow() < limit) {
                    status = sendRequest(portOf(index), isPurchase);
                    std::this_thread::sleep_for(milliseconds{100});
                }
                CAPTURE(index, isPurchase);
                CHECK(status == 200);
            }
        }
    }

    unsigned sendRequest(std::uint16_t port, bool isPurchase)
    {
        std::vector<header_field> headers{{"X-Api-Key", ApiKey}};
        if (isPurchase) {
            headers.push_back({"Idempotency-Key", "check-" + std::to_string(m_random())});
        }
        return m_fleet.request(isPurchase ? http::verb::post : http::verb::get, port, isPurchase ? "/packages" : "/clips", headers).status;
    }

    void pause(milliseconds shortest, milliseconds longest)
    {
        std::uniform_int_distribution<milliseconds::rep> length{shortest.count(), longest.count()};
        std::this_thread::sleep_for(milliseconds{length(m_random)});
    }

    std::mt19937_64 m_random;
    cluster m_fleet{"127.0.21.1"};
    std::unique_ptr<loopback_proxy> m_storeProxy;
    std::vector<std::unique_ptr<loopback_proxy>> m_callerProxies;
};

} // namespace

TEST_CASE("every promise holds while processes and links fail at random, and the fleet recovers")
{
    for (const auto &plan : soakCases()) {
        CAPTURE(plan.seed, plan.length.count());
        WARN("soak seed " << plan.seed);
        soak_fleet fleet{plan.seed};
        CHECK(fleet.run(plan) != LoadFoundViolation);
        fleet.checkRecovered();
    }
}
