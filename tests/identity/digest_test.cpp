#include "ragwortpin/identity/digest.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin;

TEST_CASE("an HMAC-SHA-256 is that of RFC 4231, in any order of secrets and threads")
{
    struct hmac_case
    {
        std::string name;
        std::string secret;
        std::string data;
        std::string expected;
    };
    const std::vector<hmac_case> cases{
        {"test case 1", std::string(20, '\x0b'), "Hi There", "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7"},
        {"test case 2", "Jefe", "what do ya want for nothing?", "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843"},
        {"test case 3",
         std::string(20, '\xaa'),
         std::string(50, '\xdd'),
         "773ea91e36800e46854db8ebd09181a72959098b3ef8c122d9635514ced565fe"},
        {"test case 6",
         std::string(131, '\xaa'),
         "Test Using Larger Than Block-Size Key - Hash Key First",
         "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54"},
        {"empty secret", "", "", "b613679a0814d9ec772f95d778c35fc5ff1697c493715653c6c712144292c5ad"},
    };
    constexpr int Rounds{3};
    const auto checkAll = [&cases] {
        for (int round{0}; round < Rounds; ++round) {
            for (const auto &entry : cases) {
                CAPTURE(entry.name);
                CHECK(toHex(hmacSha256(entry.secret, entry.data)) == entry.expected);
            }
        }
    };
    checkAll();
    std::thread{checkAll}.join();
}

TEST_CASE("random digits have the requested length and do not repeat")
{
    std::set<std::string> seen;
    for (const std::size_t bytes : {1U, 8U, 16U, 511U, 513U, 2000U}) {
        CAPTURE(bytes);
        CHECK(randomHex(bytes).size() == 2 * bytes);
    }
    constexpr std::size_t Draws{2000};
    constexpr std::size_t Bytes{16};
    for (std::size_t draw{0}; draw < Draws; ++draw) {
        seen.insert(randomHex(Bytes));
    }
    CHECK(seen.size() == Draws);
}
