#ifndef RAGWORTPIN_CORE_FWD_H
#define RAGWORTPIN_CORE_FWD_H

namespace ragwortpin {

struct monotonic_clock;
enum class outcome : unsigned char;
enum class refusal_kind : unsigned char;
struct refusal_description;

} // namespace ragwortpin

#endif
