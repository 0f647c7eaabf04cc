#ifndef RAGWORTPIN_STANDINS_SUPPORT_STORE_GATEWAY_H
#define RAGWORTPIN_STANDINS_SUPPORT_STORE_GATEWAY_H

#include "standins/support/store_model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin::standins {

/** Kinds of calls of the etcd v3 JSON gateway that the stand-in answers. */
enum class store_call_kind : unsigned char {
    Range,
    Put,
    DeleteRange,
    Transaction,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
};

/** Number of store_call_kind values. */
inline constexpr std::size_t StoreCallKinds{8};

/** Finds the kind of call by its path, such as /v3/kv/txn. */
[[nodiscard]] std::optional<store_call_kind> parseCallKind(std::string_view path) noexcept;

/** Returns a short name of a kind of call, for counters. */
[[nodiscard]] std::string_view toToken(store_call_kind kind) noexcept;

/** Answer to a call: an HTTP status and a JSON body. */
struct gateway_answer
{
    unsigned status{200};
    std::string body;

    bool operator==(const gateway_answer &) const = default;
};

/** Answers any call except a watch. A malformed body gets status 400 and changes nothing. */
[[nodiscard]] gateway_answer answerCall(store_state &state, store_call_kind kind, std::string_view body, time_point now);

/** What a watch asks for. */
struct watch_request
{
    key_range range;
    /** First revision whose events are wanted; 0 for those after the watch was made. */
    std::int64_t startRevision{0};

    bool operator==(const watch_request &) const = default;
};

/** Parses a create_request; nothing when the body is malformed. */
[[nodiscard]] std::optional<watch_request> parseWatch(std::string_view body);

/** Line that confirms a watch. */
[[nodiscard]] std::string watchCreated(const store_state &state);

/** Line with the events in the range from the given revision on; empty when there are none. */
[[nodiscard]] std::string watchEvents(const store_state &state, const key_range &range, std::int64_t fromRevision);

/** Base64 of a byte string. */
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/** Bytes of a base64 text; nothing when it is malformed. */
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace ragwortpin::standins

#endif
