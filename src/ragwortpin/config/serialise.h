#ifndef RAGWORTPIN_CONFIG_SERIALISE_H
#define RAGWORTPIN_CONFIG_SERIALISE_H

#include "ragwortpin/config/diff.h"
#include "ragwortpin/config/model.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortpin {

/**
 * Encodes a configuration with its revision as MessagePack, the format in the store and between nodes. Equal configurations have
 * equal encodings.
 */
[[nodiscard]] std::string encodeConfiguration(const configuration &value);

/**
 * Decodes a configuration. Returns nothing and sets the error for malformed bytes or an unknown format. Does not validate the
 * configuration.
 */
[[nodiscard]] std::optional<configuration> decodeConfiguration(std::string_view bytes, std::error_code &error);

/** Encodes a change as MessagePack. */
[[nodiscard]] std::string encodeChange(const configuration_change &change);

/** Decodes a change. Returns nothing and sets the error for malformed bytes or an unknown format. */
[[nodiscard]] std::optional<configuration_change> decodeChange(std::string_view bytes, std::error_code &error);

/** Returns config_errc::TooLarge if an encoding of the given size exceeds the store's limit, otherwise no error. */
[[nodiscard]] std::error_code checkEncodedSize(std::size_t bytes) noexcept;

/** Returns a configuration as YAML, which parseConfiguration() parses into an equal configuration except for the revision. */
[[nodiscard]] std::string toYaml(const configuration &value);

} // namespace ragwortpin

#endif
