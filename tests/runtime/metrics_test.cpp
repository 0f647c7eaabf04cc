#include "ragwortpin/runtime/mailbox.h"
#include "ragwortpin/runtime/metrics.h"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace ragwortpin;

TEST_CASE("metrics are written in the Prometheus text format")
{
    metrics_registry metrics;
    metrics.counterFor("refusals_total{kind=\"a\"}").add(2);
    metrics.counterFor("refusals_total{kind=\"b\"}").add(3);
    metrics.gauge("members", [] {
        return 7.0;
    });
    for (int value{1}; value <= 100; ++value) {
        metrics.distributionFor("latency_seconds").record(milliseconds{value});
    }
    const auto text = metrics.toPrometheus();
    CHECK(text.find("# TYPE refusals_total counter\nrefusals_total{kind=\"a\"} 2\nrefusals_total{kind=\"b\"} 3\n") != std::string::npos);
    CHECK(text.find("# TYPE members gauge\nmembers 7\n") != std::string::npos);
    CHECK(text.find("latency_seconds{quantile=\"1\"} 0.1\n") != std::string::npos);
    CHECK(text.find("latency_seconds_count 100\n") != std::string::npos);
    CHECK(&metrics.counterFor("x") == &metrics.counterFor("x"));
}

TEST_CASE("a mailbox delivers every accepted value in order and wakes its consumer")
{
    constexpr int Count{20'000};
    boost::asio::io_context context{1};
    int expected{0};
    bool isOrdered{true};
    mailbox<int> box{context, 64, [&](int value) {
                         isOrdered = isOrdered && value == expected;
                         ++expected;
                         if (expected == Count) {
                             context.stop();
                         }
                     }};
    std::thread producer{[&box] {
        for (int value{0}; value < Count; ++value) {
            while (!box.trySend(value)) {
                std::this_thread::yield();
            }
        }
    }};
    const auto work = boost::asio::make_work_guard(context);
    context.run();
    producer.join();
    CHECK(expected == Count);
    CHECK(isOrdered);
}
