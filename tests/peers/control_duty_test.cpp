#include "ragwortpin/peers/control_duty.h"
#include "ragwortpin/peers/control_server.h"
#include "ragwortpin/peers/signature.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr const char *Loopback{"127.0.0.1"};
constexpr seconds Patience{9};
const datagram_secrets Secrets{"a shared secret", ""};

std::uint16_t freeUdpPort()
{
    asio::io_context context;
    const asio::ip::udp::socket socket{context, {asio::ip::make_address(Loopback), 0}};
    return socket.local_endpoint().port();
}

/** Serves control calls, one connection at a time. */
class control_listener
{
public:
    explicit control_listener(std::function<control_methods()> methods)
        : m_methods{std::move(methods)}
        , m_acceptor{m_context, {asio::ip::make_address(Loopback), 0}}
        , m_thread{[this] {
            run();
        }}
    { }

    ~control_listener()
    {
        m_isStopping = true;
        boost::system::error_code ignored;
        asio::ip::tcp::socket wake{m_context};
        wake.connect(m_acceptor.local_endpoint(), ignored);
        wake.close(ignored);
        m_thread.join();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    void run()
    {
        while (!m_isStopping) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket{m_context};
            m_acceptor.accept(socket, error);
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (error) {
                continue;
            }
            const auto signature = request[std::string{ControlSignatureHeader}];
            auto answer = answerControlCall(m_methods(), Secrets, request.body(), {signature.data(), signature.size()});
            http::response<http::string_body> response{static_cast<http::status>(answer.httpStatus), 11, std::move(answer.body)};
            response.set(std::string{ControlSignatureHeader}, answer.signature);
            response.prepare_payload();
            http::write(socket, response, error);
        }
    }

    std::function<control_methods()> m_methods;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

/** One node: its duty, its listener, and a store that holds the published content or fails. */
class test_node
{
public:
    test_node(const std::string &name,
              const std::string &zone,
              std::vector<peer_address> seeds,
              std::optional<configuration_content> published)
        : m_published{std::move(published)}
        , m_listener{[this] {
            return m_duty->methods();
        }}
    {
        control_settings settings;
        settings.self.name = name;
        settings.self.availabilityZone = zone;
        settings.self.address = Loopback;
        settings.self.gossipPort = freeUdpPort();
        settings.self.peersPort = m_listener.port();
        settings.self.state = instance_state::Ready;
        settings.seeds = std::move(seeds);
        settings.secrets = Secrets;
        settings.randomSeed = std::hash<std::string>{}(name);
        m_self = settings.self;
        control_callbacks callbacks;
        callbacks.applyConfiguration = [this](const configuration_content &content) {
            const auto isNewer = content.revision > m_applied;
            m_applied = content.revision;
            m_wentBack = m_wentBack || !isNewer;
            return true;
        };
        callbacks.readHead = [this](std::uint64_t revision) {
            answerHead(revision);
        };
        callbacks.handleLoan = [this](const datagram &received, const peer_address &) {
            m_loans += received.payload == "loan" ? 1 : 0;
        };
        m_duty = std::make_unique<control_duty>(std::move(settings), std::move(callbacks));
        REQUIRE_FALSE(m_duty->start());
    }

    [[nodiscard]] control_duty &duty()
    {
        return *m_duty;
    }
    [[nodiscard]] const instance_record &self() const
    {
        return m_self;
    }
    [[nodiscard]] peer_address gossip() const
    {
        return {m_self.address, m_self.gossipPort};
    }
    [[nodiscard]] std::uint64_t applied() const
    {
        return m_applied;
    }
    [[nodiscard]] bool wentBack() const
    {
        return m_wentBack;
    }
    [[nodiscard]] int loans() const
    {
        return m_loans;
    }
    [[nodiscard]] std::optional<instance_state> stateOf(const std::string &name) const
    {
        for (const auto &instance : m_duty->membership()->instances) {
            if (instance.name == name) {
                return instance.state;
            }
        }
        return std::nullopt;
    }

private:
    void answerHead(std::uint64_t revision)
    {
        head_reply reply;
        if (!m_published) {
            reply.error = std::make_error_code(std::errc::timed_out);
        } else {
            reply.revision = m_published->revision;
            reply.content = revision < m_published->revision ? m_published : std::nullopt;
        }
        m_duty->postHeadReply(reply);
    }

    std::optional<configuration_content> m_published;
    instance_record m_self;
    std::atomic<std::uint64_t> m_applied{0};
    std::atomic<bool> m_wentBack{false};
    std::atomic<int> m_loans{0};
    std::unique_ptr<control_duty> m_duty;
    control_listener m_listener;
};

bool eventually(const std::function<bool()> &condition)
{
    const auto end = monotonicNow() + Patience;
    while (!condition()) {
        if (monotonicNow() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{10});
    }
    return true;
}

} // namespace

TEST_CASE("nodes find each other and share configuration and loans over real sockets")
{
    test_node first{"node-a", "zone-1", {}, makeContent(5, "the published text")};
    test_node second{"node-b", "zone-1", {first.gossip()}, std::nullopt};
    test_node third{"node-c", "zone-2", {first.gossip()}, std::nullopt};

    REQUIRE(eventually([&] {
        return second.stateOf("node-c").has_value() && third.stateOf("node-b").has_value();
    }));
    REQUIRE(eventually([&] {
        return second.applied() == 5 && third.applied() == 5;
    }));
    REQUIRE(second.duty().configurationStatus() == spread_status::InForce);
    REQUIRE_FALSE(second.wentBack());

    auto draining = second.self();
    draining.state = instance_state::Draining;
    REQUIRE(second.duty().setOwnRecord(draining));
    REQUIRE(eventually([&] {
        return first.stateOf("node-b") == instance_state::Draining && third.stateOf("node-b") == instance_state::Draining;
    }));

    REQUIRE(eventually([&] {
        first.duty().send(third.gossip(), datagram_kind::Loans, "loan");
        return third.loans() > 0;
    }));
    REQUIRE(third.duty().counters().datagramsRefused == 0);
}

TEST_CASE("nodes cut off by the test switch learn nothing until it is lifted")
{
    test_node first{"node-a", "zone-1", {}, makeContent(5, "the published text")};
    test_node second{"node-b", "zone-2", {first.gossip()}, std::nullopt};
    const auto ownZoneOnly = [](const std::string &zone) {
        return zone == "zone-2";
    };
    second.duty().setMayExchange(ownZoneOnly);
    REQUIRE(eventually([&] {
        return second.duty().configurationStatus() == spread_status::Unavailable;
    }));
    REQUIRE(second.applied() == 0);
    second.duty().setMayExchange({});
    REQUIRE(eventually([&] {
        return second.applied() == 5 && second.stateOf("node-a").has_value();
    }));
}
