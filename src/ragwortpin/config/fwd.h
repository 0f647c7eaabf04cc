#ifndef RAGWORTPIN_CONFIG_FWD_H
#define RAGWORTPIN_CONFIG_FWD_H

namespace ragwortpin {

struct workspace;
struct api_key;
struct importance;
struct service;
struct route;
struct availability_zone;
struct configuration;
struct config_problem;
class yaml_reader;
struct configuration_text;
struct configuration_sources;
struct parsed_configuration;
enum class object_kind : unsigned char;
struct object_ref;
struct object_change;
struct configuration_change;
struct configuration_index;
struct indexed_route;
struct indexed_key;
struct route_match;
struct config_head;
struct publication_entry;
struct publication_request;
struct publication_result;
struct head_load_result;
struct configuration_load_result;
struct change_load_result;
enum class config_errc;

} // namespace ragwortpin

#endif
