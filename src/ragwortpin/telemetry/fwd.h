#ifndef RAGWORTPIN_TELEMETRY_FWD_H
#define RAGWORTPIN_TELEMETRY_FWD_H

namespace ragwortpin {

struct span;
class span_exporter;

} // namespace ragwortpin

#endif
