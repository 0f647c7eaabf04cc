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

} // namespace ragwortpin

#endif
