#ifndef RAGWORTPIN_RIGHTS_FWD_H
#define RAGWORTPIN_RIGHTS_FWD_H

namespace ragwortpin {

enum class rights_errc;
struct rights_settings;
struct rights_identity;
struct rights_message;
struct rights_output;
struct rights_state;
struct token_bucket;
struct token_decision;
struct slot_table;
struct slot_record;

} // namespace ragwortpin

#endif
