#include "standins/support/store_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ragwortpin;
using namespace ragwortpin::standins;

namespace {

transaction putOnly(const std::string &key, const std::string &value, std::int64_t lease = 0)
{
    return {{}, {put_operation{key, value, lease}}, {}};
}

transaction createIfAbsent(const std::string &key, const std::string &value)
{
    return {{comparison{key, comparison_target::CreateRevision, comparison_result::Equal, 0}},
            {put_operation{key, value, 0}},
            {range_operation{{key, {}}}}};
}

struct comparison_case
{
    comparison_target target;
    comparison_result result;
    std::int64_t number;
    bool holds;
};

} // namespace

TEST_CASE("a comparison evaluates the selected property of the key")
{
    store_state state;
    REQUIRE_FALSE(apply(state, putOnly("other", "x")).error);
    REQUIRE_FALSE(apply(state, putOnly("key", "1")).error);
    REQUIRE_FALSE(apply(state, putOnly("key", "2")).error);
    using enum comparison_target;
    using enum comparison_result;
    const std::vector<comparison_case> cases{{Version, Equal, 2, true},
                                             {Version, Equal, 1, false},
                                             {CreateRevision, Equal, 3, true},
                                             {CreateRevision, Less, 3, false},
                                             {ModRevision, Equal, 4, true},
                                             {ModRevision, Greater, 3, true},
                                             {ModRevision, Less, 5, true},
                                             {ModRevision, NotEqual, 4, false},
                                             {ModRevision, Greater, 4, false}};
    for (const auto &row : cases) {
        CAPTURE(static_cast<int>(row.target), static_cast<int>(row.result), row.number);
        CHECK(holds(state, {"key", row.target, row.result, row.number}) == row.holds);
    }
    CHECK(holds(state, {"absent", ModRevision, Equal, 0}));
}

TEST_CASE("key ranges follow the rules of etcd for range_end")
{
    store_state state;
    for (const auto *key : {"a", "b", "ba", "c"}) {
        REQUIRE_FALSE(apply(state, putOnly(key, key)).error);
    }
    struct range_case
    {
        key_range range;
        std::int64_t limit;
        std::vector<std::string> keys;
        std::int64_t count;
    };
    const std::string unbounded(1, '\0');
    const std::vector<range_case> cases{{{"b", {}}, 0, {"b"}, 1},
                                        {{"b", "c"}, 0, {"b", "ba"}, 2},
                                        {{"b", "c"}, 1, {"b"}, 2},
                                        {{"b", unbounded}, 0, {"b", "ba", "c"}, 3},
                                        {{"c", "b"}, 0, {}, 0},
                                        {{"x", {}}, 0, {}, 0}};
    for (const auto &row : cases) {
        CAPTURE(row.range.key, row.range.rangeEnd, row.limit);
        const auto result = apply(state, {{}, {range_operation{row.range, row.limit}}, {}}).results.front();
        std::vector<std::string> keys;
        for (const auto &entry : result.entries) {
            keys.push_back(entry.key);
            CHECK(contains(row.range, entry.key));
        }
        CHECK(keys == row.keys);
        CHECK(result.count == row.count);
    }
}

TEST_CASE("a rejected transaction leaves the state unchanged")
{
    store_state state;
    REQUIRE_FALSE(apply(state, putOnly("key", "1")).error);
    const auto before = state;
    struct rejection_case
    {
        put_operation put;
        store_model_errc error;
    };
    const std::vector<rejection_case> cases{{{"", "x", 0}, store_model_errc::KeyEmpty},
                                            {{"key", std::string(MaxValueBytes + 1, 'x'), 0}, store_model_errc::ValueTooLarge},
                                            {{"key", "x", 99}, store_model_errc::LeaseNotFound}};
    for (const auto &row : cases) {
        const auto result = apply(state, {{}, {put_operation{"first", "x", 0}, row.put}, {}});
        CHECK(result.error == make_error_code(row.error));
        CHECK(state == before);
    }
    CHECK_FALSE(apply(state, putOnly("key", std::string(MaxValueBytes, 'x'))).error);
}

TEST_CASE("store model properties")
{
    rc::prop("exactly one of several conditional creations of a key succeeds and the others read its value",
             [](std::vector<std::string> values) {
                 RC_PRE(!values.empty());
                 store_state state;
                 std::size_t successes{0};
                 for (const auto &value : values) {
                     const auto result = apply(state, createIfAbsent("claim", value));
                     successes += result.succeeded ? 1 : 0;
                     if (!result.succeeded) {
                         RC_ASSERT(result.results.front().entries.front().value.value == values.front());
                     }
                 }
                 RC_ASSERT(successes == 1U);
             });

    rc::prop("a compare-and-swap based on an outdated revision has no effect", [] {
        store_state state;
        RC_ASSERT_FALSE(static_cast<bool>(apply(state, putOnly("head", "0")).error));
        std::vector<std::int64_t> seen{state.values["head"].modRevision};
        const auto choices = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 8U));
        for (const auto choice : choices) {
            const auto base = seen[choice % seen.size()];
            const auto current = state.values["head"].modRevision;
            const auto result = apply(state,
                                      {{comparison{"head", comparison_target::ModRevision, comparison_result::Equal, base}},
                                       {put_operation{"head", "x", 0}},
                                       {}});
            RC_ASSERT(result.succeeded == (base == current));
            RC_ASSERT((state.values["head"].modRevision > current) == result.succeeded);
            seen.push_back(state.values["head"].modRevision);
        }
    });

    rc::prop("keys of a lease exist until the lease expires and not afterwards", [] {
        store_state state;
        const time_point start{};
        const seconds ttl{*rc::gen::inRange(1, 60)};
        const auto renewals = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 90));
        std::int64_t lease{0};
        RC_ASSERT_FALSE(static_cast<bool>(grantLease(state, ttl, start, lease)));
        RC_ASSERT_FALSE(static_cast<bool>(apply(state, putOnly("owned", "x", lease)).error));
        RC_ASSERT_FALSE(static_cast<bool>(apply(state, putOnly("free", "x")).error));
        auto now = start;
        auto end = start + ttl;
        for (const auto gap : renewals) {
            now += seconds{gap};
            expireLeases(state, now);
            const bool alive = now < end;
            RC_ASSERT(state.values.contains("owned") == alive);
            RC_ASSERT(keepLeaseAlive(state, lease, now) == (alive ? ttl : seconds{0}));
            end = alive ? now + ttl : end;
        }
        expireLeases(state, end);
        RC_ASSERT_FALSE(state.values.contains("owned"));
        RC_ASSERT(state.values.contains("free"));
    });

    rc::prop("every change of a key creates one event with a higher revision than all previous events", [] {
        store_state state;
        const auto keys = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 12U));
        std::size_t changes{0};
        std::int64_t last{state.revision};
        for (const auto number : keys) {
            const auto key = std::to_string(number % 4);
            const bool erase = number >= 8;
            changes += erase && !state.values.contains(key) ? 0 : 1;
            const auto request = erase ? transaction{{}, {delete_operation{{key, {}}}}, {}} : putOnly(key, "x");
            RC_ASSERT_FALSE(static_cast<bool>(apply(state, request).error));
            RC_ASSERT(state.events.size() == changes);
            RC_ASSERT(state.revision == 1 + static_cast<std::int64_t>(changes));
            if (changes > 0) {
                RC_ASSERT(state.events.back().value.modRevision == state.revision);
            }
            RC_ASSERT(state.revision >= last);
            last = state.revision;
        }
    });
}
