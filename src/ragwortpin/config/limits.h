#ifndef RAGWORTPIN_CONFIG_LIMITS_H
#define RAGWORTPIN_CONFIG_LIMITS_H

#include "ragwortpin/config/yaml_reader.h"

#include <cstddef>

namespace ragwortpin::limits {

/** Longest name of an object, in bytes. */
inline constexpr std::size_t NameLength{63};
/** Longest path of a route, in bytes. */
inline constexpr std::size_t PathLength{1024};
/** Requests a second of a workspace. */
inline constexpr number_range Rate{1.0, 1e6};
/** Requests that a workspace may send at once. */
inline constexpr number_range Burst{1.0, 1e6};
/** Weight of a workspace. */
inline constexpr number_range Weight{0.01, 1000.0};
/** Retries as a fraction of first attempts. */
inline constexpr number_range RetryRatio{0.0, 1.0};
/** Share of an availability zone. */
inline constexpr number_range Share{0.0, 1.0};
/** Rank of an importance. */
inline constexpr integer_range Rank{0, 1000};
/** Time for a whole request. */
inline constexpr milliseconds_range Deadline{milliseconds{10}, milliseconds{600'000}};
/** Connections that a target of a service accepts; 0 stands for what the target announces. */
inline constexpr integer_range Connections{0, 100'000};
/** Targets that one request may be sent to. */
inline constexpr integer_range Attempts{1, 10};
/** Time within which an answer has its full use; 0 when it is not stated. */
inline constexpr milliseconds_range LatencyObjective{milliseconds{0}, milliseconds{600'000}};
/** Longest host of a route, in bytes. */
inline constexpr std::size_t HostLength{253};
/** Services that may share the requests of a route. */
inline constexpr std::size_t SplitParts{16};
/** Deviation allowed between the sum of the shares and 1. */
inline constexpr double ShareTolerance{1e-6};
/** Largest encoded configuration, in bytes; the store holds values up to a megabyte. */
inline constexpr std::size_t EncodedBytes{1'000'000};

} // namespace ragwortpin::limits

#endif
