#ifndef RAGWORTPIN_IDENTITY_FWD_H
#define RAGWORTPIN_IDENTITY_FWD_H

namespace ragwortpin {

struct request_context;
struct trace_context;
struct signing_keys;
struct context_verification;
struct api_key_extraction;
enum class identity_errc;

} // namespace ragwortpin

#endif
