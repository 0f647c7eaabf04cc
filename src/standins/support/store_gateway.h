#ifndef RAGWORTPIN_STANDINS_SUPPORT_STORE_GATEWAY_H
#define RAGWORTPIN_STANDINS_SUPPORT_STORE_GATEWAY_H

#include "standins/support/store_model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin::standins {

/** Calls of the etcd v3 JSON gateway that the stand-in supports. */
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
inline constexpr std::size_t StoreCallKindCount{8};

/** Returns the kind of call for a path, such as /v3/kv/txn, or nullopt for an unknown path. */
[[nodiscard]] std::optional<store_call_kind> parseCallKind(std::string_view path) noexcept;

/** Returns the name of a kind of call that is used for its counter in /standin/stats. */
[[nodiscard]] std::string_view toToken(store_call_kind kind) noexcept;

/** Response to a call: HTTP status and JSON body. */
struct gateway_response
{
    unsigned status{200};
    std::string body;

    bool operator==(const gateway_response &) const = default;
};

/** Performs any call except a watch. For a malformed or rejected call, returns status 400 and leaves the state unchanged. */
[[nodiscard]] gateway_response handleCall(store_state &state, store_call_kind kind, std::string_view body, time_point now);

/** Range and start revision of a watch. */
struct watch_request
{
    key_range range;
    /** First revision whose events are reported; 0 for the revision after the one at which the watch is created. */
    std::int64_t startRevision{0};

    bool operator==(const watch_request &) const = default;
};

/** Parses the body of a watch call with its create_request. Returns nullopt if it is malformed. */
[[nodiscard]] std::optional<watch_request> parseWatch(std::string_view body);

/** Returns the line that confirms the creation of a watch. */
[[nodiscard]] std::string makeWatchCreatedLine(const store_state &state);

/** Returns a line with the events in the range from the given revision on, or an empty string if there are none. */
[[nodiscard]] std::string makeWatchEventsLine(const store_state &state, const key_range &range, std::int64_t fromRevision);

/** Encodes bytes as base64. */
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/** Decodes base64. Returns nullopt if the text is malformed. */
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace ragwortpin::standins

#endif
