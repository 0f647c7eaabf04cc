#ifndef RAGWORTPIN_RETRIES_FWD_H
#define RAGWORTPIN_RETRIES_FWD_H

namespace ragwortpin {

struct retry_allowance;
struct retry_budget;
struct failed_attempt;
enum class retry_verdict : unsigned char;

} // namespace ragwortpin

#endif
