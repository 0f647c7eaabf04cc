#ifndef RAGWORTPIN_CLAIMS_FWD_H
#define RAGWORTPIN_CLAIMS_FWD_H

namespace ragwortpin {

enum class claims_errc;
enum class claim_verdict : unsigned char;
struct claim_settings;
struct claim_request;
struct claim_result;
struct claim_record;
struct claim_handle;
struct recorded_answer;
struct store_breaker;

} // namespace ragwortpin

#endif
