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

/** Encodes a configuration with its revision as MessagePack, as it is stored and sent between nodes. Equal sets give equal bytes. */
[[nodiscard]] std::string encodeConfiguration(const configuration &value);

/** Decodes a configuration; nothing, with the error set, for malformed bytes or an unknown format. Does not check the set. */
[[nodiscard]] std::optional<configuration> decodeConfiguration(std::string_view bytes, std::error_code &error);

/** Encodes a change as MessagePack. */
[[nodiscard]] std::string encodeChange(const configuration_change &change);

/** Decodes a change; nothing, with the error set, for malformed bytes or an unknown format. */
[[nodiscard]] std::optional<configuration_change> decodeChange(std::string_view bytes, std::error_code &error);

/** Returns config_errc::TooLarge for an encoding that the store would not hold. */
[[nodiscard]] std::error_code checkEncodedSize(std::size_t bytes) noexcept;

/** Writes a configuration as YAML that parseConfiguration() reads back to an equal set, apart from its revision. */
[[nodiscard]] std::string toYaml(const configuration &value);

} // namespace ragwortpin

#endif
