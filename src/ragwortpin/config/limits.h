#ifndef RAGWORTPIN_CONFIG_LIMITS_H
#define RAGWORTPIN_CONFIG_LIMITS_H

#include "ragwortpin/config/yaml_reader.h"

#include <cstddef>

namespace ragwortpin::limits {

/** Maximum length of an object name, in bytes. */
inline constexpr std::size_t NameLength{63};
/** Maximum length of a route's path, in bytes. */
inline constexpr std::size_t PathLength{1024};
/** Rate limit of a workspace, in requests per second. */
inline constexpr number_range Rate{1.0, 1e6};
/** Burst limit of a workspace: the number of requests that it may send at once. */
inline constexpr number_range Burst{1.0, 1e6};
/** Weight of a workspace, and of a service within a split. */
inline constexpr number_range Weight{0.01, 1000.0};
/** Ratio of retries to first attempts. */
inline constexpr number_range RetryRatio{0.0, 1.0};
/** Fraction of every workspace's rate and burst that an availability zone holds. */
inline constexpr number_range Share{0.0, 1.0};
/** Rank of an importance; 0 is shed last. */
inline constexpr integer_range Rank{0, 1000};
/** Time limit for a whole request. */
inline constexpr milliseconds_range Deadline{milliseconds{10}, milliseconds{600'000}};
/** Number of connections that each target of a service accepts; 0 selects the number that the target announces. */
inline constexpr integer_range Connections{0, 100'000};
/** Number of targets that one request may be sent to. */
inline constexpr integer_range Attempts{1, 10};
/** Response time within which an answer is fully useful to the caller; 0 if unspecified. */
inline constexpr milliseconds_range LatencyObjective{milliseconds{0}, milliseconds{600'000}};
/** Maximum length of a route's host, in bytes. */
inline constexpr std::size_t HostLength{253};
/** Maximum number of services in a route's split. */
inline constexpr std::size_t SplitParts{16};
/** Maximum deviation of the sum of all availability zones' shares from 1. */
inline constexpr double ShareTolerance{1e-6};
/** Maximum size of an encoded configuration, in bytes. The store accepts values of up to a megabyte. */
inline constexpr std::size_t EncodedBytes{1'000'000};

} // namespace ragwortpin::limits

#endif
