#include "platform_fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

constexpr std::size_t Mebibyte{1024UL * 1024UL};
constexpr std::size_t UploadBytes{60 * Mebibyte};
/** Memory at which the platform ends a node: limits.memory_mb of its settings. */
constexpr std::size_t MemoryLimit{260 * Mebibyte};

http_limits uploadLimits()
{
    http_limits limits;
    limits.requestBodyBytes = 64 * Mebibyte;
    return limits;
}

/** Uploads a body through a node and returns the beginning of the response; empty if the connection ended without one. */
std::string upload(const std::string &ip, const std::string &id)
{
    boost::asio::io_context context{1};
    boost::asio::ip::tcp::socket socket{context};
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address(ip), OutboundPort}, error);
    const auto head = "POST /book/1 HTTP/1.1\r\nHost: book.example\r\nAuthorization: Bearer " + std::string{PlatformApiKey}
        + "\r\nX-Ragwortpin-Attempt-Id: " + id + "\r\nX-Ragwortpin-Deadline-Ms: 10000\r\nContent-Length: " + std::to_string(UploadBytes)
        + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(head), error);
    const std::string part(Mebibyte, 'u');
    for (std::size_t sent{0}; !error && sent < UploadBytes; sent += part.size()) {
        boost::asio::write(socket, boost::asio::buffer(part), error);
    }
    std::string answer(4096, '\0');
    error = {};
    answer.resize(socket.read_some(boost::asio::buffer(answer), error));
    return answer;
}

} // namespace

TEST_CASE("uploads within the limits that arrive together do not take a node over its memory or cut other requests")
{
    constexpr std::size_t Uploads{8};
    fleet_fixture fleet{"127.0.34.", uploadLimits()};
    std::atomic<bool> isDone{false};
    std::atomic<std::size_t> mostResident{0};
    std::thread monitor{[&] {
        while (!isDone) {
            for (const auto *host : {&fleet.front.host, &fleet.back.host}) {
                mostResident = std::max(mostResident.load(), host->residentBytes("node"));
            }
            std::this_thread::sleep_for(milliseconds{2});
        }
    }};
    std::vector<std::future<std::string>> uploads;
    for (std::size_t index{0}; index < Uploads; ++index) {
        uploads.push_back(std::async(std::launch::async, upload, fleet.front.spec.ip, "upload-" + std::to_string(index)));
    }
    std::size_t served{0};
    constexpr std::size_t OtherRequests{20};
    for (std::size_t index{0}; index < OtherRequests; ++index) {
        served += fleet.front.send(http::verb::post, "book", "other-" + std::to_string(index)).status == 200 ? 1 : 0;
    }
    const auto runs = [&](const std::string &id) {
        const auto all = fleet.back.target.runs();
        return std::count_if(all.begin(), all.end(), [&id](const target_run &run) {
            return run.id == id;
        });
    };
    std::size_t accepted{0};
    for (std::size_t index{0}; index < Uploads; ++index) {
        const auto answer = uploads[index].get();
        const bool isAccepted{answer.starts_with("HTTP/1.1 200")};
        const bool isRefused{answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After: ") != std::string::npos};
        CAPTURE(answer);
        CHECK((isAccepted || isRefused));
        CHECK(runs("upload-" + std::to_string(index)) == (isAccepted ? 1 : 0));
        accepted += isAccepted ? 1 : 0;
    }
    isDone = true;
    monitor.join();
    CHECK(accepted >= 1);
    CHECK(served == OtherRequests);
    INFO("resident memory at most " << mostResident / Mebibyte << " MiB, " << accepted << " uploads accepted");
    CHECK(mostResident < MemoryLimit);
    CHECK(fleet.front.host.isRunning("node"));
    CHECK(fleet.back.host.isRunning("node"));
}
