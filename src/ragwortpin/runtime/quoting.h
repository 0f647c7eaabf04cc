#ifndef RAGWORTPIN_RUNTIME_QUOTING_H
#define RAGWORTPIN_RUNTIME_QUOTING_H

#include <string>
#include <string_view>

namespace ragwortpin {

/**
 * Appends the value in double quotes to a log line. Quotes and backslashes are escaped, and bytes other than printable ASCII are written as
 * \xHH, so that no value can end its line or pass for another field.
 */
void appendQuoted(std::string &line, std::string_view value);

} // namespace ragwortpin

#endif
