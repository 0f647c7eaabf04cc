#include "standins/support/http_server.h"

#include "raw_client.h"

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin::standins;
using namespace ragwortpin::test;

TEST_CASE("the server of the stand-ins does not run the body of a request as another request")
{
    struct request_case
    {
        std::string name;
        std::string codings;
        unsigned expectedRuns;
    };
    const std::vector<request_case> cases{
        {"unknown coding", "xchunked", 0},
        {"coding behind chunked", "chunked, gzip", 0},
        {"chunked", "chunked", 1},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        boost::asio::io_context context{1};
        unsigned runs{0};
        const endpoint address{"127.0.46.1", 8000};
        const auto run = [&runs](http_request, const exchange_pointer &) -> boost::asio::awaitable<reply> {
            ++runs;
            co_return reply{};
        };
        http_server server{context, {address, 4}, run};
        server.start();
        std::thread thread{[&context] {
            context.run();
        }};
        static_cast<void>(exchangeBytes(address.host,
                                        address.port,
                                        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: " + entry.codings
                                            + "\r\n\r\n0\r\n\r\nGET /inner HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
        context.stop();
        thread.join();
        CHECK(runs == entry.expectedRuns);
    }
}
