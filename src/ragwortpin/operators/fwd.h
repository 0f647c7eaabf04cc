#ifndef RAGWORTPIN_OPERATORS_FWD_H
#define RAGWORTPIN_OPERATORS_FWD_H

namespace ragwortpin {

struct node_status;
struct admin_callbacks;
class admin_server;
enum class operator_command : unsigned char;
enum class exit_code : int;
struct command_line;
struct command_line_result;
struct command_environment;
struct file_content;
struct node_report;

} // namespace ragwortpin

#endif
